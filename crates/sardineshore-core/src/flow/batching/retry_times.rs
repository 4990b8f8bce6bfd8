//! When refused callers should retry.
//!
//! A caller retries once and waits for at most a third of the time it has left. If the pools that it
//! needs will have done their backlog by then, it is promised a time after that, and the next caller
//! a later one. Otherwise its delay is as long as it follows, to let the burst pass.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::forecast::PoolLoad;
use crate::duration::{multiplied, time_at_rate};
use crate::flow::config::Name;

/// Share of the longest delay over which retries are spread that no time could be promised to, and
/// the number of steps.
const SPREAD: f64 = 0.35;
const SPREAD_STEPS: u32 = 16;
/// Least spare share of a pool's throughput for a promise. With less, the time until the backlog is
/// done is too uncertain.
const MIN_SPARE_SHARE: f64 = 0.1;
/// Shortest delay. Retries are recognized from [`super::retries`]' least delay on.
const MIN_DELAY: Duration = Duration::from_millis(300);

/// Retry times that were promised to callers.
#[derive(Debug, Default)]
pub(super) struct RetryTimes {
    /// Time up to which the spare capacity of a pool is promised.
    promised_until: HashMap<Name, Instant>,
    next_step: u32,
}

impl RetryTimes {
    /// Delay after which a caller should retry whose job still needs this many pieces of these pools; at
    /// most `longest`, which is as long as callers follow. No time is promised while a pool has no
    /// throughput to spare, or none at all.
    pub fn promise<'a>(
        &mut self,
        needs: impl Iterator<Item = (&'a Name, &'a PoolLoad, f64)>,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let mut at = now + MIN_DELAY;
        let mut promised = Vec::new();
        for (pool, load, pieces) in needs {
            let demand: f64 = load.demand.iter().sum();
            let spare = load.rate - demand;
            if spare < load.rate * MIN_SPARE_SHARE {
                return self.spread(longest);
            }
            let parked: f64 = load.parked.iter().sum();
            let Some(backlog) = time_at_rate(load.started() + parked, spare) else {
                return self.spread(longest);
            };
            let free_at = self.promised_until.get(pool).copied().unwrap_or(now);
            let free_at = free_at.max(now + backlog);
            at = at.max(free_at);
            let own_time = time_at_rate(pieces, spare).unwrap_or_default();
            promised.push((pool, own_time));
        }
        if at > now + longest {
            return self.spread(longest);
        }
        for (pool, time) in promised {
            self.promised_until.insert(pool.clone(), at + time);
        }
        at.saturating_duration_since(now)
    }

    /// A delay near the longest one. They differ, so that callers don't all retry at the same time.
    fn spread(&mut self, longest: Duration) -> Duration {
        self.next_step = (self.next_step + 1) % SPREAD_STEPS;
        let share = 1.0 - SPREAD * f64::from(self.next_step) / f64::from(SPREAD_STEPS);
        multiplied(longest, share)
    }
}
