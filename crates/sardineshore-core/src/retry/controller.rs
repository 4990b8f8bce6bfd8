//! Decides whether an attempt is retried or hedged, within budgets of extra work.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::RetryBudget;
use crate::{AttemptResult, Objective, PoolId};

/// Assumed service time of an attempt before the first answer, in seconds.
const SERVICE_PRIOR: f64 = 0.05;
/// Weight of a new sample in the smoothed service time.
const SERVICE_WEIGHT: f64 = 0.05;

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Maximum number of attempts per stage of a request, the first included.
    pub max_attempts: usize,
    /// The same if the last attempt was refused, which costs the server almost nothing.
    pub max_attempts_after_refusal: usize,
    /// Budget of extra work as a share of the work of first attempts, where attainment has
    /// priority.
    pub attainment_budget_ratio: f64,
    /// Budget of extra work as a share of the work of first attempts, where cost has priority.
    pub cost_budget_ratio: f64,
    /// Budget of extra attempts of one pool for each of its first attempts, regardless of their
    /// work.
    pub pool_budget_ratio: f64,
    /// Capacity of the budgets: extra attempts of each pool, and for the instance's budget of work,
    /// attempts of the pool with the longest service time.
    pub max_saved_attempts: f64,
    /// Part of the instance's budget that hedges leave to retries, in attempts of the pool with the
    /// longest service time.
    pub hedge_reserve: f64,
    /// Back-off before the second retry; doubles with each further one. The first retry has none.
    pub base_delay: Duration,
    /// Minimum time that must remain for another attempt.
    pub min_remaining: Duration,
    /// Seed of the random jitter of the back-off.
    pub seed: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            max_attempts_after_refusal: 8,
            attainment_budget_ratio: 0.08,
            cost_budget_ratio: 0.04,
            pool_budget_ratio: 1.0,
            max_saved_attempts: 20.0,
            hedge_reserve: 5.0,
            base_delay: Duration::from_millis(20),
            min_remaining: Duration::from_millis(10),
            seed: 0,
        }
    }
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Its result.
    pub result: AttemptResult,
    /// Number of attempts of the stage so far, this one included.
    pub attempts: usize,
    /// Time that remains for the stage.
    pub remaining: Duration,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
}

/// Whether an attempt is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send another attempt after a delay.
    Retry {
        /// Back-off before the attempt.
        delay: Duration,
    },
    /// Send no further attempt.
    Stop(NoRetryReason),
}

/// Why no further attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetryReason {
    /// The attempt was answered or cancelled.
    NotNeeded,
    /// The stage is non-idempotent and may have run.
    MayHaveRun,
    /// The maximum number of attempts is reached.
    AttemptsExhausted,
    /// The budget of the pool or of the instance is exhausted.
    BudgetExhausted,
    /// Too little time remains before the deadline.
    DeadlineTooClose,
}

impl NoRetryReason {
    /// Name of the reason in kebab case, for logs and metric labels.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotNeeded => "not-needed",
            Self::MayHaveRun => "may-have-run",
            Self::AttemptsExhausted => "attempts",
            Self::BudgetExhausted => "budget",
            Self::DeadlineTooClose => "time",
        }
    }
}

/// Decides on retries and hedges for all pools, within budgets.
///
/// One budget bounds the instance's extra work in seconds of service time, so that attempts of a
/// pool with a short service time are cheap to retry. A second budget bounds the number of extra
/// attempts of each pool.
#[derive(Debug)]
pub struct RetryController {
    cfg: RetryConfig,
    objective: Objective,
    work: RetryBudget,
    pools: BTreeMap<PoolId, PoolRetries>,
    rng: SmallRng,
}

/// Budget of one pool and the service time of its attempts.
#[derive(Debug)]
struct PoolRetries {
    attempts: RetryBudget,
    /// Smoothed service time in seconds.
    work: f64,
}

impl RetryController {
    /// Creates a controller with full budgets.
    #[must_use]
    pub fn new(cfg: RetryConfig, objective: Objective) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            work: RetryBudget::new(cfg.max_saved_attempts * SERVICE_PRIOR),
            cfg,
            objective,
            pools: BTreeMap::new(),
        }
    }

    /// Sets the objective of a new configuration.
    pub fn set_objective(&mut self, objective: Objective) {
        self.objective = objective;
    }

    /// Records that the first attempt of a stage was sent, which adds to both budgets.
    pub fn record_first_send(&mut self, pool: &PoolId) {
        let ratio = match self.objective {
            Objective::Attainment => self.cfg.attainment_budget_ratio,
            Objective::Cost => self.cfg.cost_budget_ratio,
        };
        let ratio_pool = self.cfg.pool_budget_ratio;
        let pool = self.pool(pool);
        pool.attempts.deposit(ratio_pool);
        let work = pool.work;
        self.work.deposit(ratio * work);
    }

    /// Records the service time of an answered attempt.
    pub fn record_service_time(&mut self, pool: &PoolId, service: Duration) {
        let pool = self.pool(pool);
        pool.work += SERVICE_WEIGHT * (service.as_secs_f64() - pool.work);
        let work = pool.work;
        self.work.raise_capacity(self.cfg.max_saved_attempts * work);
    }

    /// Decides whether an attempt of a stage is retried.
    ///
    /// A retry spends from both budgets, except after a refusal, which caused no work.
    pub fn decide(&mut self, pool: &PoolId, ended: EndedAttempt) -> RetryDecision {
        if let Some(why) = self.stop_reason(ended) {
            return RetryDecision::Stop(why);
        }
        let refused = ended.result == AttemptResult::Refused;
        if !refused && !self.spend(pool, 0.0) {
            return RetryDecision::Stop(NoRetryReason::BudgetExhausted);
        }
        RetryDecision::Retry {
            delay: self.back_off(ended.attempts).min(ended.remaining / 4),
        }
    }

    /// Returns whether a hedge may be sent, and if so, spends from both budgets.
    pub fn try_acquire_hedge(&mut self, pool: &PoolId) -> bool {
        let service_times = self.pools.values().map(|pool| pool.work);
        let reserve = self.cfg.hedge_reserve * service_times.fold(0.0, f64::max);
        self.spend(pool, reserve)
    }

    /// Spends one attempt from both budgets if both allow it.
    fn spend(&mut self, pool: &PoolId, reserve: f64) -> bool {
        let budget = self.pool(pool);
        let (work, allowed) = (budget.work, budget.attempts.can_spend(1.0, 0.0));
        if !allowed || !self.work.can_spend(work, reserve) {
            return false;
        }
        self.pool(pool).attempts.spend(1.0);
        self.work.spend(work);
        true
    }

    fn stop_reason(&self, ended: EndedAttempt) -> Option<NoRetryReason> {
        let may_have_run = ended.result != AttemptResult::Refused;
        if matches!(
            ended.result,
            AttemptResult::Answered | AttemptResult::Cancelled
        ) {
            Some(NoRetryReason::NotNeeded)
        } else if may_have_run && !ended.idempotent {
            Some(NoRetryReason::MayHaveRun)
        } else if ended.attempts >= self.max_attempts(ended.result) {
            Some(NoRetryReason::AttemptsExhausted)
        } else if ended.remaining < self.cfg.min_remaining {
            Some(NoRetryReason::DeadlineTooClose)
        } else {
            None
        }
    }

    fn max_attempts(&self, result: AttemptResult) -> usize {
        match result {
            AttemptResult::Refused => self.cfg.max_attempts_after_refusal,
            _ => self.cfg.max_attempts,
        }
    }

    /// Back-off: none before the first retry, then exponential, of which a random half is jitter.
    fn back_off(&mut self, attempts: usize) -> Duration {
        if attempts < 2 {
            return Duration::ZERO;
        }
        let doublings = u32::try_from(attempts - 2).unwrap_or(u32::MAX).min(6);
        let full = self.cfg.base_delay * 2_u32.pow(doublings);
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn pool(&mut self, pool: &PoolId) -> &mut PoolRetries {
        self.pools
            .entry(pool.clone())
            .or_insert_with(|| PoolRetries {
                attempts: RetryBudget::new(self.cfg.max_saved_attempts),
                work: SERVICE_PRIOR,
            })
    }
}
