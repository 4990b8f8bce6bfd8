//! Decides when a second attempt is sent in parallel with a slow one.

use std::time::Duration;

use super::StageQuantiles;
use crate::Objective;

/// Settings of hedged attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct HedgePolicy {
    /// Multiple of the stage's 95th percentile after which an attempt counts as slow.
    pub slow_factor: f64,
    /// Multiple of the stage's 95th percentile that must remain for the second attempt.
    pub reserve_factor: f64,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self {
            slow_factor: 1.5,
            reserve_factor: 2.0,
        }
    }
}

impl HedgePolicy {
    /// Delay from the first attempt until a second attempt of an idempotent stage is sent.
    ///
    /// Where attainment has priority, the second attempt is sent as soon as the first one is slow;
    /// where cost has priority, at the last moment at which it still fits into `remaining`. `None`
    /// means no hedge: no latencies of the stage are known, or too little time remains.
    #[must_use]
    pub fn delay(
        &self,
        observed: Option<StageQuantiles>,
        objective: Objective,
        remaining: Duration,
    ) -> Option<Duration> {
        let p95 = observed?.p95;
        let latest = remaining.checked_sub(p95.mul_f64(self.reserve_factor))?;
        let slow = p95.mul_f64(self.slow_factor);
        match objective {
            Objective::Attainment => Some(slow.min(latest)),
            Objective::Cost => (latest >= slow).then_some(latest),
        }
    }
}
