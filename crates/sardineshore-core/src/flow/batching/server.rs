//! One server of a batch pool as its owner sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::flow::config::{BatchSpec, Name};

/// A server is left alone for so long after its first failure, and up to the second after many.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Weight of the newest call in the average slowness.
const SLOWNESS_GAIN: f64 = 0.5;
/// How long results of another owner are assumed after a server was found full or told so.
const STRANGE_TIME: Duration = Duration::from_millis(500);
/// Pause between questions for the free memory while another owner's results lie there. Servers
/// answer with a state that is some hundred milliseconds old.
const ASK_PAUSE: Duration = Duration::from_millis(400);
/// An answer is too coarse if its step is more than this part of the memory.
const COARSE_PARTS: u64 = 8;
/// Longest wait for the answer before a first call: a few times the way there and back.
const ASK_WAIT: Duration = Duration::from_millis(50);
/// Time for a server to learn what is given up.
const TELLING_TIME: Duration = Duration::from_millis(40);
/// Results given up are told at once when they fill this part of the memory.
const CROWDED_PARTS: u64 = 8;
/// Part of a server's memory that is filled with results; sizes are approximate.
const PERCENT_OF_ROOM: u64 = 92;

/// Memory that a server has left for results: at least `min_bytes`, less than a `step_bytes` more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeMemory {
    /// Least that is left.
    pub min_bytes: u64,
    /// How exactly it is told.
    pub step_bytes: u64,
}

/// State of one server.
#[derive(Debug)]
pub(super) struct Bench {
    pub id: Name,
    pub address: SocketAddr,
    pub domain: Name,
    pub spec: BatchSpec,
    pub calls: u32,
    /// Results that it keeps, with their bytes and the time they end at the latest.
    pub kept: HashMap<Name, (u64, Instant)>,
    /// Bytes of results that running calls will make.
    pub promised: u64,
    /// Observed time of a call over its expected time.
    pub slowness: f64,
    pub failures: u32,
    /// Takes no new calls; its results can still be fetched.
    pub leaving: bool,
    pub rests_until: Option<Instant>,
    /// Results that are given up, not yet told to the server.
    pub freed: Vec<Name>,
    /// Bytes of those; they count until the server is told.
    pub freed_bytes: u64,
    pub free_since: Option<Instant>,
    /// Bytes that the server was told of a moment ago; they count until that has arrived.
    told: Vec<(u64, Instant)>,
    /// Bytes of results that another owner left there, and until when they are assumed.
    strange: Option<(u64, Instant)>,
    /// When the server is asked next how much memory it has left.
    ask_at: Option<Instant>,
    /// No call is sent before the answer or this time.
    answer_by: Option<Instant>,
}

impl Bench {
    pub fn new(id: Name, address: SocketAddr, domain: Name, spec: BatchSpec) -> Self {
        Self {
            id,
            address,
            domain,
            spec,
            calls: 0,
            kept: HashMap::new(),
            promised: 0,
            slowness: 1.0,
            failures: 0,
            leaving: false,
            rests_until: None,
            freed: Vec::new(),
            freed_bytes: 0,
            free_since: None,
            told: Vec::new(),
            strange: None,
            ask_at: None,
            answer_by: None,
        }
    }

    /// Whether it takes a call now.
    pub fn is_free(&self, now: Instant) -> bool {
        let over = |until: Option<Instant>| until.is_none_or(|until| now >= until);
        self.calls < self.spec.slots.max(1) && over(self.rests_until) && over(self.answer_by)
    }

    /// Whether it takes calls now or as soon as it has ended one.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && self.rests_until.is_none_or(|until| now >= until)
    }

    /// Expected time of a call with so many pieces.
    pub fn call_time(&self, pieces: u32) -> Duration {
        self.spec.call_overhead + self.spec.time_per_piece * pieces
    }

    /// Bytes that still fit.
    pub fn room(&mut self, now: Instant) -> u64 {
        let strange = self.strange.filter(|(_, until)| *until > now);
        let room = self.room_for_known(now);
        room.saturating_sub(strange.map_or(0, |(bytes, _)| bytes))
    }

    /// The server had no memory for a result: what doesn't belong to known results is taken by
    /// others for a while.
    pub fn found_full(&mut self, now: Instant) {
        let free = self.room_for_known(now);
        self.strange = Some((free, now + STRANGE_TIME));
        self.ask_at.get_or_insert(now);
    }

    /// Asks for the free memory and waits a little for the answer.
    pub fn ask_first(&mut self, now: Instant) {
        self.ask_at = Some(now);
        self.answer_by = Some(now + ASK_WAIT);
    }

    /// Whether the server is asked for its free memory now; true once a question.
    pub fn asks_now(&mut self, now: Instant) -> bool {
        let due = !self.leaving && self.ask_at.is_some_and(|at| now >= at);
        if due {
            self.ask_at = None;
        }
        due
    }

    /// The server told how much it has left: what known results don't explain belongs to another
    /// owner. Too coarse an answer doesn't undo that the server was found full.
    pub fn set_free_memory(&mut self, free: FreeMemory, now: Instant) {
        self.answer_by = None;
        let hidden = self.spec.result_memory_bytes / 100 * (100 - PERCENT_OF_ROOM);
        let known = self.room_for_known(now);
        let most = free.min_bytes + free.step_bytes;
        let strange = known.saturating_sub(most.saturating_sub(hidden));
        if strange > 0 {
            self.strange = Some((strange, now + STRANGE_TIME));
            self.ask_at = Some(now + ASK_PAUSE);
        } else if free.step_bytes * COARSE_PARTS <= self.spec.result_memory_bytes {
            self.strange = None;
        }
    }

    fn room_for_known(&mut self, now: Instant) -> u64 {
        self.kept.retain(|_, (_, until)| *until > now);
        let held: u64 = self.kept.values().map(|(bytes, _)| *bytes).sum();
        let room = self.spec.result_memory_bytes / 100 * PERCENT_OF_ROOM;
        self.told.retain(|(_, until)| *until > now);
        let told: u64 = self.told.iter().map(|(bytes, _)| *bytes).sum();
        room.saturating_sub(held + self.promised + self.freed_bytes + told)
    }

    pub fn succeeded(&mut self, took: Duration, pieces: u32) {
        self.failures = 0;
        let ratio = took.as_secs_f64() / self.call_time(pieces).as_secs_f64().max(0.001);
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
    }

    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        let rest = FIRST_REST * 2_u32.saturating_pow(self.failures.min(4) - 1);
        self.rests_until = Some(now + rest.min(LONGEST_REST));
    }

    /// Whether the server has to be told which results are given up.
    pub fn frees_are_due(&self, now: Instant, delay: Duration) -> bool {
        let crowded = self.freed_bytes * CROWDED_PARTS > self.spec.result_memory_bytes;
        let waited = self
            .free_since
            .is_some_and(|since| now.duration_since(since) >= delay);
        !self.freed.is_empty() && (crowded || waited)
    }

    /// Results to tell the server of.
    pub fn take_freed(&mut self, now: Instant) -> Vec<Name> {
        self.free_since = None;
        self.told.push((self.freed_bytes, now + TELLING_TIME));
        self.freed_bytes = 0;
        std::mem::take(&mut self.freed)
    }

    /// Gives a result up; it is told later, together with others.
    pub fn release(&mut self, handle: &Name, now: Instant) {
        if let Some((bytes, _)) = self.kept.remove(handle) {
            self.freed_bytes += bytes;
            self.freed.push(handle.clone());
            self.free_since.get_or_insert(now);
        }
    }
}
