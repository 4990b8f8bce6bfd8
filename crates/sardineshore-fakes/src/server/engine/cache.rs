//! Prefix cache of a model engine, with cache events that arrive late or not at all.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use sardineshore_wire::backend::CacheEvent;
use xxhash_rust::xxh3::xxh3_64;

use crate::fault_rng::FaultRng;

/// Characters of a prompt that the cache key is computed from.
const PREFIX_CHARS: usize = 64;
/// Prompt tokens that a cached prefix covers.
const PREFIX_TOKENS: u32 = 16;
/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Settings of the prefix cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheSettings {
    /// Maximum number of cached prefixes.
    pub entries: usize,
    /// Time until readers see an event.
    pub event_lag: Duration,
    /// Probability that an event is lost, which leaves a gap in the sequence numbers.
    pub event_loss: f64,
}

impl Default for CacheSettings {
    fn default() -> Self {
        Self {
            entries: 64,
            event_lag: Duration::from_millis(500),
            event_loss: 0.05,
        }
    }
}

/// Least recently used (LRU) cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    settings: CacheSettings,
    last_used: HashMap<u64, u64>,
    use_count: u64,
    events: VecDeque<PublishedEvent>,
    next_seq: u64,
}

#[derive(Debug)]
struct PublishedEvent {
    due: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(settings: CacheSettings) -> Self {
        Self {
            settings,
            last_used: HashMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Looks up a prefix and caches it if it is missing; returns the number of tokens found.
    pub fn touch(&mut self, prefix: u64, fault_rng: &FaultRng, now: Instant) -> u32 {
        self.use_count += 1;
        if self.last_used.insert(prefix, self.use_count).is_some() {
            return PREFIX_TOKENS;
        }
        self.publish(prefix, true, fault_rng, now);
        while self.last_used.len() > self.settings.entries {
            self.evict(fault_rng, now);
        }
        0
    }

    /// Empties the cache without events, like an engine that loads another model.
    pub fn clear(&mut self) {
        self.last_used.clear();
    }

    /// Published events with a sequence number above `after`.
    #[must_use]
    pub fn events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|published| published.due <= now && published.event.seq > after)
            .map(|published| published.event.clone())
            .collect()
    }

    fn evict(&mut self, fault_rng: &FaultRng, now: Instant) {
        let oldest = self
            .last_used
            .iter()
            .min_by_key(|(_, last_used)| **last_used);
        if let Some((&prefix, _)) = oldest {
            self.last_used.remove(&prefix);
            self.publish(prefix, false, fault_rng, now);
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool, fault_rng: &FaultRng, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if fault_rng.random_bool(self.settings.event_loss) {
            return;
        }
        let event = CacheEvent {
            seq,
            prefix,
            stored,
        };
        let due = now + self.settings.event_lag;
        self.events.push_back(PublishedEvent { due, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Hash of the prefix of a prompt: XXH3 of its first 64 characters.
#[must_use]
pub fn prefix(prompt: &str) -> u64 {
    let text: String = prompt.chars().take(PREFIX_CHARS).collect();
    xxh3_64(text.as_bytes())
}
