//! Recent demand of each rank at each pool.
//!
//! While more work arrives at a pool than it can do, less urgent jobs are admitted to what the more
//! urgent ones are about to leave of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::forecast::{RANK_COUNT, rank_index};
use crate::flow::config::Name;

/// Time constant of the averages. Shorter than a burst, longer than a cluster of arrivals.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Work that arrived at one pool, in pieces of the configured time per second, weighted by age.
#[derive(Debug, Clone, Copy)]
struct PoolDemand {
    by_rank: [f64; RANK_COUNT],
    updated_at: Instant,
}

impl PoolDemand {
    /// Factor by which the averages have decreased by `now`.
    fn decay(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Work that arrives at each pool, whether it is admitted or not.
#[derive(Debug, Default)]
pub(super) struct Demand {
    pools: HashMap<Name, PoolDemand>,
}

impl Demand {
    /// Records work that a job of a rank brings to a pool.
    pub fn record(&mut self, pool: &Name, rank: u32, work: f64, now: Instant) {
        if !self.pools.contains_key(pool) {
            let demand = PoolDemand {
                by_rank: [0.0; RANK_COUNT],
                updated_at: now,
            };
            self.pools.insert(pool.clone(), demand);
        }
        let Some(demand) = self.pools.get_mut(pool) else {
            return;
        };
        let decay = demand.decay(now);
        for work in &mut demand.by_rank {
            *work *= decay;
        }
        demand.updated_at = now;
        demand.by_rank[rank_index(rank)] += work / TIME_CONSTANT.as_secs_f64();
    }

    /// Work per second that each rank brings to a pool.
    pub fn of(&self, pool: &Name, now: Instant) -> [f64; RANK_COUNT] {
        let Some(demand) = self.pools.get(pool) else {
            return [0.0; RANK_COUNT];
        };
        let decay = demand.decay(now);
        demand.by_rank.map(|work| work * decay)
    }
}
