//! Observed latencies of stages, and what follows from them: time for a stage, time of a hedge.

use std::time::{Duration, Instant};

use sardineshore_core::{
    DeadlineSplitter, HedgePolicy, NotRunReason, Objective, PoolId, StageLatencies,
};

/// Latencies of stages as this instance saw them.
#[derive(Debug, Default)]
pub struct StageTiming {
    latencies: StageLatencies,
    time_budget: DeadlineSplitter,
    hedge_policy: HedgePolicy,
}

impl StageTiming {
    /// Takes in the latency of an answered stage.
    pub fn record_latency(&mut self, pool: &PoolId, latency: Duration, now: Instant) {
        self.latencies.record(pool, latency, now);
    }

    /// Time that the first of the remaining stages, named by their pools, may take.
    pub fn stage_time_limit(
        &mut self,
        remaining: Duration,
        pools: &[PoolId],
        now: Instant,
    ) -> Result<Duration, NotRunReason> {
        self.time_budget
            .split(remaining, pools, &self.latencies, now)
    }

    /// Delay after which a second attempt of an idempotent stage is sent, if any.
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
