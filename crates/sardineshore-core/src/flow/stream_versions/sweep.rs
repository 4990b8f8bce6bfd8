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
    /// Takes the keys that a partition has now, each with the time for which the record is kept, and returns
    /// those whose streams have ended.
    pub fn update(
        &mut self,
        partition: &str,
        records: impl Iterator<Item = (Name, Duration)>,
        now: Instant,
    ) -> Vec<Name> {
        let before = self.first_seen.remove(partition).unwrap_or_default();
        let mut known = HashMap::new();
        let mut old = Vec::new();
        for (key, retention) in records {
            let first_seen = before.get(&key).copied().unwrap_or(now);
            if now.saturating_duration_since(first_seen) >= retention * 2 {
                old.push(key.clone());
            }
            known.insert(key, first_seen);
        }
        self.first_seen.insert(partition.to_owned(), known);
        old
    }
}
