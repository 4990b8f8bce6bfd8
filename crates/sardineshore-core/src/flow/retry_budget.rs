//! Retry budget: limits the retries of each pool, so that failures don't multiply the load.
//!
//! The limit holds for all instances together over a sliding window, without communication
//! between them: each instance may retry a fraction of its own first sends, plus an equal share of
//! a fixed slack.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::config::Name;

/// Fraction of the budget that is used. The rest is a reserve for moments in which instances
/// disagree on how many of them are live.
const USABLE_FRACTION: f64 = 0.7;

/// Limit on the retries to one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per window that all instances together may make beyond the ratio.
    pub slack: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 50.0,
        }
    }
}

/// Times of the sends to one pool, oldest first.
#[derive(Debug, Default)]
struct PoolSends {
    first_sends: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// Retries that may follow.
    reserved: usize,
}

/// Retry budget of this instance, for each pool.
#[derive(Debug, Default)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    pools: HashMap<Name, PoolSends>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            pools: HashMap::new(),
        }
    }

    /// Records the first send of a request to `pool`, which adds to the budget.
    pub fn record_first_send(&mut self, pool: &Name, now: Instant) {
        let window = self.config.window;
        let sends = self.pools.entry(pool.clone()).or_default();
        sends.first_sends.push_back(now);
        expire(&mut sends.first_sends, now, window);
    }

    /// Reserves one retry and returns whether it may be sent. [`Self::use_reserved`] or
    /// [`Self::cancel_reserved`] has to follow.
    ///
    /// `instances` is the number of live instances that share the slack. One retry per window is
    /// always allowed.
    pub fn try_reserve(&mut self, pool: &Name, instances: usize, now: Instant) -> bool {
        let config = self.config;
        let sends = self.pools.entry(pool.clone()).or_default();
        expire(&mut sends.first_sends, now, config.window);
        expire(&mut sends.retries, now, config.window);
        let share = config.slack / instances.max(1) as f64;
        let allowed = USABLE_FRACTION * (config.ratio * sends.first_sends.len() as f64 + share);
        let taken = sends.retries.len() + sends.reserved;
        let within_budget = (taken + 1) as f64 <= allowed.max(1.0);
        sends.reserved += usize::from(within_budget);
        within_budget
    }

    /// Records that a reserved retry is sent.
    pub fn use_reserved(&mut self, pool: &Name, now: Instant) {
        self.cancel_reserved(pool);
        let sends = self.pools.entry(pool.clone()).or_default();
        sends.retries.push_back(now);
    }

    /// Records that a reserved retry is not sent.
    pub fn cancel_reserved(&mut self, pool: &Name) {
        if let Some(sends) = self.pools.get_mut(pool) {
            sends.reserved = sends.reserved.saturating_sub(1);
        }
    }
}

/// Removes the times that have left the window.
fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|at| now.duration_since(*at) > window)
    {
        times.pop_front();
    }
}
