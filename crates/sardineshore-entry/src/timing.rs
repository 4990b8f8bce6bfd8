//! Observed latencies of stages, and the time limits and hedge delays derived from them.

use std::time::{Duration, Instant};

use sardineshore_core::{
    DeadlineSplitter, HedgePolicy, NotRunReason, Objective, PoolId, StageLatencies,
};

/// Stage latencies observed by this instance.
#[derive(Debug, Default)]
pub struct StageTiming {
    latencies: StageLatencies,
    time_budget: DeadlineSplitter,
    hedge_policy: HedgePolicy,
}

impl StageTiming {
    /// Records the latency of an answered stage.
    pub fn record_latency(&mut self, pool: &PoolId, latency: Duration, now: Instant) {
        self.latencies.record(pool, latency, now);
    }

    /// Time limit for the first of the remaining stages, which are given by their pools. Fails if
    /// the remaining time is too short for all of them, except for occasional probes.
    pub fn stage_time_limit(
        &mut self,
        remaining: Duration,
        pools: &[PoolId],
        now: Instant,
    ) -> Result<Duration, NotRunReason> {
        self.time_budget
            .split(remaining, pools, &self.latencies, now)
    }

    /// Delay after which an idempotent stage gets a second attempt; `None` if it gets none.
    #[must_use]
    pub fn hedge_delay(
        &self,
        pool: &PoolId,
        objective: Objective,
        remaining: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let observed = self.latencies.quantiles(pool, now);
        self.hedge_policy.delay(observed, objective, remaining)
    }
}
