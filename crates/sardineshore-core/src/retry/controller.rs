//! What follows an attempt that did not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::RetryBudget;
use crate::{AttemptResult, Objective, PoolId};

/// Seconds of service that an attempt is assumed to need before any was observed.
const WORK_PRIOR: f64 = 0.05;
/// Weight of a new sample in the smoothed service.
const WORK_WEIGHT: f64 = 0.05;

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Most attempts of one stage of one request, the first included.
    pub max_attempts: usize,
    /// The same where the last attempt was refused, which costs the server next to nothing.
    pub max_attempts_after_refusal: usize,
    /// Extra work as a share of the work of first attempts, where attainment goes first.
    pub attainment_budget_ratio: f64,
    /// Extra work as a share of the work of first attempts, where cost goes first.
    pub cost_budget_ratio: f64,
    /// Extra attempts of one pool that each of its first attempts pays for, whatever their work.
    pub pool_budget_ratio: f64,
    /// Extra attempts that can be saved up, on each pool and of the pool with the most work.
    pub max_saved_attempts: f64,
    /// Saved attempts of the pool with the most work that hedges leave to retries.
    pub hedge_reserve: f64,
    /// Pause before the second retry; doubled for each further one. The first has none.
    pub base_delay: Duration,
    /// Least time that must remain for another attempt.
    pub min_remaining: Duration,
    /// Seed of the random share of pauses.
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
    /// Attempts of the stage so far, this one included.
    pub attempts: usize,
    /// Time that remains for the stage.
    pub remaining: Duration,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send another attempt after a pause.
    Retry {
        /// Pause.
        delay: Duration,
    },
    /// Send no further attempt.
    Stop(NoRetryReason),
}

/// Why no further attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetryReason {
    /// The attempt answered or was given up on purpose.
    NotNeeded,
    /// The stage is non-idempotent and may have run.
    MayHaveRun,
    /// The number of attempts is used up.
    AttemptsExhausted,
    /// The pool's budget of extra attempts is used up.
    BudgetExhausted,
    /// Too little time remains.
    DeadlineTooClose,
}

impl NoRetryReason {
    /// Name of the reason in kebab case.
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

/// Retries and hedges of all pools within budgets.
///
/// One budget bounds the extra work of the instance in seconds of service, so that attempts of a
/// pool with little work are cheap to repeat; another one bounds the extra attempts of each pool.
#[derive(Debug)]
pub struct RetryController {
    cfg: RetryConfig,
    objective: Objective,
    work: RetryBudget,
    pools: BTreeMap<PoolId, PoolBudget>,
    rng: SmallRng,
}

/// Budget of one pool and the usual work of its attempts.
#[derive(Debug)]
struct PoolBudget {
    attempts: RetryBudget,
    /// Smoothed seconds of service.
    work: f64,
}

impl RetryController {
    /// Makes full budgets.
    #[must_use]
    pub fn new(cfg: RetryConfig, objective: Objective) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            work: RetryBudget::new(cfg.max_saved_attempts * WORK_PRIOR),
            cfg,
            objective,
            pools: BTreeMap::new(),
        }
    }

    /// Takes over the objective of a new configuration.
    pub fn set_objective(&mut self, objective: Objective) {
        self.objective = objective;
    }

    /// Notes the first attempt of a stage.
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

    /// Notes the time of service of an answered attempt.
    pub fn record_service_time(&mut self, pool: &PoolId, service: Duration) {
        let pool = self.pool(pool);
        pool.work += WORK_WEIGHT * (service.as_secs_f64() - pool.work);
        let work = pool.work;
        self.work.raise_capacity(self.cfg.max_saved_attempts * work);
    }

    /// Decides what follows an attempt of a stage.
    ///
    /// A retry spends from both budgets, but after a refusal, which was no work.
    pub fn decide(&mut self, pool: &PoolId, ended: EndedAttempt) -> RetryDecision {
        if let Some(why) = self.barred(ended) {
            return RetryDecision::Stop(why);
        }
        let refused = ended.result == AttemptResult::Refused;
        if !refused && !self.spend(pool, 0.0) {
            return RetryDecision::Stop(NoRetryReason::BudgetExhausted);
        }
        RetryDecision::Retry {
            delay: self.base_delay(ended.attempts).min(ended.remaining / 4),
        }
    }

    /// Whether a hedge may be sent; spends from both budgets if so.
    pub fn try_acquire_hedge(&mut self, pool: &PoolId) -> bool {
        let most = self.pools.values().map(|pool| pool.work);
        let reserve = self.cfg.hedge_reserve * most.fold(0.0, f64::max);
        self.spend(pool, reserve)
    }

    /// Spends one attempt from both budgets, if both have it.
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

    fn barred(&self, ended: EndedAttempt) -> Option<NoRetryReason> {
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

    /// None for the first retry, then doubling, with a random half.
    fn base_delay(&mut self, tried: usize) -> Duration {
        if tried < 2 {
            return Duration::ZERO;
        }
        let doublings = u32::try_from(tried - 2).unwrap_or(u32::MAX).min(6);
        let full = self.cfg.base_delay * 2_u32.pow(doublings);
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn pool(&mut self, pool: &PoolId) -> &mut PoolBudget {
        self.pools
            .entry(pool.clone())
            .or_insert_with(|| PoolBudget {
                attempts: RetryBudget::new(self.cfg.max_saved_attempts),
                work: WORK_PRIOR,
            })
    }
}
