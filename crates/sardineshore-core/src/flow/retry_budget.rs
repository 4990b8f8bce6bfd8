//! Budget of repeated sends, shared by all instances without agreement.
//!
//! The bound holds for the sum over all instances in a sliding window. Each instance spends its
//! share: a part of its own first sends and an equal part of the fixed slack.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::config::Name;

/// Part of the allowed repeats that is spent; the rest covers wrong counts of live instances.
const SPENT_PART: f64 = 0.7;

/// Bound of the repeated sends to one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats per first send.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats of all instances together beyond the ratio.
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

#[derive(Debug, Default)]
struct Counts {
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Repeats of this instance by pool.
#[derive(Debug, Default)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    pools: HashMap<Name, Counts>,
}

impl RetryBudget {
    /// A budget that nothing was spent of.
    #[must_use]
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            pools: HashMap::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, pool: &Name, now: Instant) {
        let window = self.config.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.firsts.push_back(now);
        expire(&mut counts.firsts, now, window);
    }

    /// Takes one repeat if the share of this one of `instances` allows it.
    pub fn try_acquire(&mut self, pool: &Name, instances: usize, now: Instant) -> bool {
        let config = self.config;
        let counts = self.pools.entry(pool.clone()).or_default();
        expire(&mut counts.firsts, now, config.window);
        expire(&mut counts.repeats, now, config.window);
        let share = config.slack / instances.max(1) as f64;
        let allowed = SPENT_PART * (config.ratio * counts.firsts.len() as f64 + share);
        let fits = (counts.repeats.len() + 1) as f64 <= allowed.max(1.0);
        if fits {
            counts.repeats.push_back(now);
        }
        fits
    }
}

fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|at| now.duration_since(*at) > window)
    {
        times.pop_front();
    }
}
