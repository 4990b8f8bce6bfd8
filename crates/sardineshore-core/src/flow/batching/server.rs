//! The scheduler's view of one batch server: its running calls, health and result memory.
//!
//! A server stores results until they are released or expire. The scheduler tracks the memory that
//! its own results occupy, and asks the server when another owner may have left results there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::duration::{from_secs, multiplied};
use crate::flow::config::{BatchSpec, Name};

/// Time without calls after a server's first failure; it doubles with each further failure up to
/// the maximum.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the newest call in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.5;
/// How long memory counts as occupied by another owner after a server ran out of memory or
/// reported less than expected.
const FOREIGN_RESULTS_TTL: Duration = Duration::from_millis(500);
/// Interval between queries of the free memory while another owner's results occupy some of it. A
/// server's report can be some hundred milliseconds old.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// A report is too coarse if its step is more than the memory divided by this.
const COARSE_PARTS: u64 = 8;
/// Longest time that calls wait for a report of the free memory: a few round trips.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);
/// Time until a release that was sent takes effect on the server.
const RELEASE_LATENCY: Duration = Duration::from_millis(40);
/// Released results are reported at once when they occupy more than the memory divided by this.
const URGENT_RELEASE_PARTS: u64 = 8;
/// Share of a server's memory that is filled with results, in percent; below 100 because sizes of
/// results are approximate.
const USABLE_PERCENT: u64 = 92;

/// Memory that a server reports as free for results, rounded down: it has at least `min_bytes` and
/// less than `min_bytes + step_bytes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeMemory {
    /// Lower bound of the free memory, in bytes.
    pub min_bytes: u64,
    /// Resolution of the report, in bytes.
    pub step_bytes: u64,
}

/// Rate at which a server with a lower limit still gets requests, in requests per second: its
/// responses tell when the limit ends.
const MIN_RATE: f64 = 0.25;

/// State of one batch server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub id: Name,
    pub address: SocketAddr,
    pub domain: Name,
    pub spec: BatchSpec,
    pub running_calls: u32,
    /// Handles of the results that it stores, with their bytes and when they expire.
    pub stored: HashMap<Name, (u64, Instant)>,
    /// Bytes reserved for the results of running calls.
    pub reserved_bytes: u64,
    /// Moving average of the observed time of a call divided by its expected time.
    pub slowness: f64,
    pub consecutive_failures: u32,
    /// Whether it takes no new calls; its results can still be fetched.
    pub draining: bool,
    /// Whether nothing may be sent to it.
    evacuated: bool,
    /// No call is sent before this time.
    pub backoff_until: Option<Instant>,
    /// No request of any kind is sent before this time.
    pub paused_until: Option<Instant>,
    /// Released results of which the server has not been told yet, with their bytes and when they
    /// expire.
    pending_release: Vec<(Name, u64, Instant)>,
    /// Bytes of those; they count as occupied until the server is told.
    pending_release_bytes: u64,
    release_pending_since: Option<Instant>,
    /// Results that the server was told to release and has not confirmed.
    unconfirmed_release: HashMap<Name, (u64, Instant)>,
    /// Bytes that the server was just told to release, and until when they count as occupied.
    sent_releases: Vec<(u64, Instant)>,
    /// Bytes presumably occupied by another owner's results, and until when that is assumed.
    foreign: Option<(u64, Instant)>,
    /// When the free memory is queried next.
    query_at: Option<Instant>,
    /// No call is sent before a report of the free memory arrives or this time has passed.
    report_deadline: Option<Instant>,
    /// Requests per second that the server takes, if it names a limit.
    rate_limit: Option<f64>,
    /// Nothing is sent to a server with a limit before this time.
    next_request_at: Option<Instant>,
}

impl ServerState {
    pub fn new(id: Name, address: SocketAddr, domain: Name, spec: BatchSpec) -> Self {
        Self {
            id,
            address,
            domain,
            spec,
            running_calls: 0,
            stored: HashMap::new(),
            reserved_bytes: 0,
            slowness: 1.0,
            consecutive_failures: 0,
            draining: false,
            evacuated: false,
            backoff_until: None,
            paused_until: None,
            pending_release: Vec::new(),
            pending_release_bytes: 0,
            release_pending_since: None,
            unconfirmed_release: HashMap::new(),
            sent_releases: Vec::new(),
            foreign: None,
            query_at: None,
            report_deadline: None,
            rate_limit: None,
            next_request_at: None,
        }
    }

    /// Sets the rate of requests that the server takes, in requests per second; `None` if it names
    /// no limit.
    pub fn set_rate_limit(&mut self, per_second: Option<f64>, now: Instant) {
        let was_limited = std::mem::replace(&mut self.rate_limit, per_second).is_some();
        if per_second.is_none() {
            self.next_request_at = None;
        } else if !was_limited {
            self.record_request(now);
        }
    }

    /// Sets whether nothing may be sent to it. Its results expire by themselves meanwhile. Afterwards its
    /// free memory is queried, as other owners may have used it.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Instant) {
        self.draining |= evacuated;
        if evacuated {
            self.pending_release.clear();
            self.pending_release_bytes = 0;
            self.release_pending_since = None;
        }
        if std::mem::replace(&mut self.evacuated, evacuated) && !evacuated {
            self.query_before_calls(now);
        }
    }

    /// Whether a request of any kind can be sent now: its failure domain is not evacuated, its rate limit
    /// allows it, and it wants no pause.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.evacuated
            && self.next_request_at.is_none_or(|at| now >= at)
            && self.pause_left(now).is_zero()
    }

    /// Time for which it wants no requests.
    pub fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that a request of any kind is sent to it.
    pub fn record_request(&mut self, now: Instant) {
        self.next_request_at = self
            .rate_limit
            .map(|per_second| now + from_secs(1.0 / per_second.max(MIN_RATE)));
    }

    /// Pieces per second that it can work on in full batches.
    pub fn pieces_per_second(&self) -> f64 {
        let batch = f64::from(self.spec.max_batch);
        let full = self.expected_call_time(batch).as_secs_f64();
        let rate = batch / full.max(0.001) / self.slowness.max(1.0);
        self.rate_limit
            .map_or(rate, |limit| rate.min(limit.max(MIN_RATE) * batch))
    }

    /// Whether a call can be sent to it now. Does not consider [`Self::draining`].
    pub fn has_free_slot(&self, now: Instant) -> bool {
        let passed = |until: Option<Instant>| until.is_none_or(|until| now >= until);
        self.running_calls < self.spec.slots.max(1)
            && passed(self.backoff_until)
            && passed(self.report_deadline)
            && self.accepts_requests(now)
    }

    /// Whether it takes calls now or once a running call has ended.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.draining
            && self.backoff_until.is_none_or(|until| now >= until)
            && self.pause_left(now).is_zero()
    }

    /// Expected time of a call with this much work, in pieces of the configured time.
    pub fn expected_call_time(&self, work: f64) -> Duration {
        self.spec.call_overhead + multiplied(self.spec.time_per_piece, work)
    }

    /// Free memory for further results, in bytes, as far as it is known.
    pub fn free_bytes(&mut self, now: Instant) -> u64 {
        let foreign = self.foreign.filter(|(_, until)| *until > now);
        let free = self.own_free_bytes(now);
        free.saturating_sub(foreign.map_or(0, |(bytes, _)| bytes))
    }

    /// Records that the server had no memory for a result. All memory that the scheduler's own
    /// results don't occupy counts as occupied by another owner for a while.
    pub fn record_out_of_memory(&mut self, now: Instant) {
        let free = self.own_free_bytes(now);
        self.foreign = Some((free, now + FOREIGN_RESULTS_TTL));
        self.query_at.get_or_insert(now);
    }

    /// Schedules a query of the free memory, and holds back calls for a short time after it until the
    /// report arrives.
    pub fn query_before_calls(&mut self, at: Instant) {
        self.query_at = Some(at);
        self.report_deadline = Some(at + MAX_REPORT_WAIT);
    }

    /// Whether the free memory has to be queried now. Returns true once for each scheduled query.
    pub fn take_due_query(&mut self, now: Instant) -> bool {
        let due = !self.draining && self.query_at.is_some_and(|at| now >= at);
        if due {
            self.query_at = None;
        }
        due
    }

    /// Records a report of the free memory. Occupied memory that the scheduler's own results don't
    /// account for belongs to another owner. A report that is too coarse does not clear an earlier
    /// out-of-memory error.
    pub fn set_free_memory(&mut self, free: FreeMemory, now: Instant) {
        self.report_deadline = None;
        let unused = self.spec.result_memory_bytes / 100 * (100 - USABLE_PERCENT);
        let expected = self.own_free_bytes(now);
        let most = free.min_bytes + free.step_bytes;
        let foreign = expected.saturating_sub(most.saturating_sub(unused));
        if foreign > 0 {
            self.foreign = Some((foreign, now + FOREIGN_RESULTS_TTL));
            self.query_at = Some(now + QUERY_INTERVAL);
        } else if free.step_bytes * COARSE_PARTS <= self.spec.result_memory_bytes {
            self.foreign = None;
        }
    }

    /// Free memory if only the scheduler's own results occupied it, in bytes.
    fn own_free_bytes(&mut self, now: Instant) -> u64 {
        self.stored.retain(|_, (_, until)| *until > now);
        let stored: u64 = self.stored.values().map(|(bytes, _)| *bytes).sum();
        let free = self.spec.result_memory_bytes / 100 * USABLE_PERCENT;
        self.sent_releases.retain(|(_, until)| *until > now);
        let sent_releases: u64 = self.sent_releases.iter().map(|(bytes, _)| *bytes).sum();
        free.saturating_sub(
            stored + self.reserved_bytes + self.pending_release_bytes + sent_releases,
        )
    }

    /// Records a call that ended with results, and updates the slowness.
    pub fn record_success(&mut self, took: Duration, work: f64) {
        self.consecutive_failures = 0;
        let ratio = took.as_secs_f64() / self.expected_call_time(work).as_secs_f64().max(0.001);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Records a failed call, and backs off from the server.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        let backoff = FIRST_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures.min(4) - 1);
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records a call that was given up without an answer, and backs off from the server. It may still
    /// work on the call: its free memory is queried before the next one.
    pub fn record_timeout(&mut self, now: Instant) {
        self.record_failure(now);
        self.query_before_calls(self.backoff_until.unwrap_or(now));
    }

    /// Whether the server has to be told of its released results now: they occupy much of its
    /// memory or were collected for `delay`.
    pub fn release_is_due(&self, now: Instant, delay: Duration) -> bool {
        let crowded =
            self.pending_release_bytes * URGENT_RELEASE_PARTS > self.spec.result_memory_bytes;
        let waited = self
            .release_pending_since
            .is_some_and(|since| now.duration_since(since) >= delay);
        !self.pending_release.is_empty() && (crowded || waited)
    }

    /// Takes the released results of which the server has to be told.
    pub fn take_pending_release(&mut self, now: Instant) -> Vec<Name> {
        self.release_pending_since = None;
        self.sent_releases
            .push((self.pending_release_bytes, now + RELEASE_LATENCY));
        self.pending_release_bytes = 0;
        let mut handles = Vec::with_capacity(self.pending_release.len());
        for (handle, bytes, expires_at) in self.pending_release.drain(..) {
            self.unconfirmed_release
                .insert(handle.clone(), (bytes, expires_at));
            handles.push(handle);
        }
        handles
    }

    /// Records the end of a release. If the server was silent, it is told again later.
    pub fn release_ended(&mut self, handles: &[Name], timed_out: bool, now: Instant) {
        for handle in handles {
            let unconfirmed = self.unconfirmed_release.remove(handle);
            let remaining = unconfirmed.filter(|(_, expires_at)| timed_out && *expires_at > now);
            if let Some((bytes, expires_at)) = remaining {
                self.add_pending_release(handle.clone(), bytes, expires_at, now);
            }
        }
    }

    fn add_pending_release(&mut self, handle: Name, bytes: u64, expires_at: Instant, now: Instant) {
        if self.evacuated {
            return;
        }
        self.pending_release_bytes += bytes;
        self.pending_release.push((handle, bytes, expires_at));
        self.release_pending_since.get_or_insert(now);
    }

    /// Releases a result. The server is told later, together with other results.
    pub fn release(&mut self, handle: &Name, now: Instant) {
        if let Some((bytes, expires_at)) = self.stored.remove(handle) {
            self.add_pending_release(handle.clone(), bytes, expires_at, now);
        }
    }
}
