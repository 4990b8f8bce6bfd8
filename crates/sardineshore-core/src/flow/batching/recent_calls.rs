//! Average work of the recent calls of each pool.
//!
//! Calls are fuller under load than otherwise, and so take longer. A chain of stages has several of
//! them, so that its forecast is wrong by hundreds of milliseconds if it assumes the same call for
//! every load.

use std::collections::HashMap;

use crate::flow::config::Name;

/// Weight of the newest call in the average.
const CALL_WEIGHT: f64 = 0.15;

/// Work of recent calls, in pieces of the configured time, by pool.
#[derive(Debug, Default)]
pub(super) struct RecentCalls {
    work: HashMap<Name, f64>,
}

impl RecentCalls {
    /// Average work of a pool's recent calls; `None` before the first one.
    pub fn work(&self, pool: &Name) -> Option<f64> {
        self.work.get(pool).copied()
    }

    /// Records the work of a call.
    pub fn record(&mut self, pool: &Name, work: f64) {
        match self.work.get_mut(pool) {
            Some(average) => *average += CALL_WEIGHT * (work - *average),
            None => {
                self.work.insert(pool.clone(), work);
            }
        }
    }
}
