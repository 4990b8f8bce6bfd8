//! Prefix cache with few entries, and its late and gapped events.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use sardineshore_wire::backend::CacheEvent;
use xxhash_rust::xxh3::xxh3_64;

use crate::dice::Dice;

/// Characters of a prompt that form its prefix.
const PREFIX_CHARS: usize = 64;
/// Tokens of one cached prefix.
const PREFIX_TOKENS: u32 = 16;
/// Events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Settings of the prefix cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheSettings {
    /// Prefixes that fit.
    pub entries: usize,
    /// Time until an event is published.
    pub event_lag: Duration,
    /// Probability that an event is never published.
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

/// Prefixes in use, the least recently used of which are evicted.
#[derive(Debug)]
pub struct PrefixCache {
    settings: CacheSettings,
    used: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<Published>,
    next_seq: u64,
}

#[derive(Debug)]
struct Published {
    due: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(settings: CacheSettings) -> Self {
        Self {
            settings,
            used: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Uses a prefix, which is cached from then on; tokens that were found in the cache.
    pub fn touch(&mut self, prefix: u64, dice: &Dice, now: Instant) -> u32 {
        self.uses += 1;
        if self.used.insert(prefix, self.uses).is_some() {
            return PREFIX_TOKENS;
        }
        self.publish(prefix, true, dice, now);
        while self.used.len() > self.settings.entries {
            self.evict(dice, now);
        }
        0
    }

    /// Empties the cache without events, as an engine does that loads another model.
    pub fn clear(&mut self) {
        self.used.clear();
    }

    /// Published events after a number.
    #[must_use]
    pub fn events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|published| published.due <= now && published.event.seq > after)
            .map(|published| published.event.clone())
            .collect()
    }

    fn evict(&mut self, dice: &Dice, now: Instant) {
        let oldest = self.used.iter().min_by_key(|(_, used)| **used);
        if let Some((&prefix, _)) = oldest {
            self.used.remove(&prefix);
            self.publish(prefix, false, dice, now);
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool, dice: &Dice, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if dice.roll(self.settings.event_loss) {
            return;
        }
        let event = CacheEvent {
            seq,
            prefix,
            stored,
        };
        let due = now + self.settings.event_lag;
        self.events.push_back(Published { due, event });
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
