//! Which records in the store belong to streams that have ended.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::flow::config::Name;

/// Records of streams that one instance sees in the store, to remove those that others left behind.
///
/// A record is old once this instance has known it for longer than a stream can last. Its writer's clock,
/// or the store's, would be no proof: either may have started anew.
#[derive(Debug, Default)]
pub struct RecordSweep {
    /// Keys by partition, and when each was first seen.
    first_seen: HashMap<String, HashMap<Name, Instant>>,
}

impl RecordSweep {
    /// Takes the keys that a partition has now, and returns those whose streams have ended.
    pub fn update(
        &mut self,
        partition: &str,
        keys: impl Iterator<Item = Name>,
        lifetime: Duration,
        now: Instant,
    ) -> Vec<Name> {
        let before = self.first_seen.remove(partition).unwrap_or_default();
        let known = keys.map(|key| {
            let first_seen = before.get(&key).copied().unwrap_or(now);
            (key, first_seen)
        });
        let known: HashMap<Name, Instant> = known.collect();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime * 2;
        let old = known.iter().filter(|(_, at)| is_old(**at));
        let old = old.map(|(key, _)| key.clone()).collect();
        self.first_seen.insert(partition.to_owned(), known);
        old
    }
}
