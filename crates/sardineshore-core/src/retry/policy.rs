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
    pub attempts_max: usize,
    /// The same where the last attempt was refused, which costs the server next to nothing.
    pub attempts_refused_max: usize,
    /// Extra work as a share of the work of first attempts, where attainment goes first.
    pub ratio_attainment: f64,
    /// Extra work as a share of the work of first attempts, where cost goes first.
    pub ratio_cost: f64,
    /// Extra attempts of one pool that each of its first attempts pays for, whatever their work.
    pub ratio_pool: f64,
    /// Extra attempts that can be saved up, on each pool and of the pool with the most work.
    pub saved_max: f64,
    /// Saved attempts of the pool with the most work that hedges leave to retries.
    pub hedge_reserve: f64,
    /// Pause before the second retry; doubled for each further one. The first has none.
    pub pause: Duration,
    /// Least time that must remain for another attempt.
    pub remaining_min: Duration,
    /// Seed of the random share of pauses.
    pub seed: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            attempts_max: 5,
            attempts_refused_max: 8,
            ratio_attainment: 0.08,
            ratio_cost: 0.04,
            ratio_pool: 1.0,
            saved_max: 20.0,
            hedge_reserve: 5.0,
            pause: Duration::from_millis(20),
            remaining_min: Duration::from_millis(10),
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
    pub tried: usize,
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
        after: Duration,
    },
    /// Send no further attempt.
    GiveUp(GiveUp),
}

/// Why no further attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// The attempt answered or was given up on purpose.
    NotNeeded,
    /// The stage is non-idempotent and may have run.
    MayHaveRun,
    /// The number of attempts is used up.
    Attempts,
    /// The pool's budget of extra attempts is used up.
    Budget,
    /// Too little time remains.
    Time,
}

impl GiveUp {
    /// Name of the reason in kebab case.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotNeeded => "not-needed",
            Self::MayHaveRun => "may-have-run",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Time => "time",
        }
    }
}

/// Retries and hedges of all pools within budgets.
///
/// One budget bounds the extra work of the instance in seconds of service, so that attempts of a
/// pool with little work are cheap to repeat; another one bounds the extra attempts of each pool.
#[derive(Debug)]
pub struct Retries {
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

impl Retries {
    /// Makes full budgets.
    #[must_use]
    pub fn new(cfg: RetryConfig, objective: Objective) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            work: RetryBudget::new(cfg.saved_max * WORK_PRIOR),
            cfg,
            objective,
            pools: BTreeMap::new(),
        }
    }

    /// Takes over the objective of a new configuration.
    pub fn adopt(&mut self, objective: Objective) {
        self.objective = objective;
    }

    /// Notes the first attempt of a stage.
    pub fn sent(&mut self, pool: &PoolId) {
        let ratio = match self.objective {
            Objective::Attainment => self.cfg.ratio_attainment,
            Objective::Cost => self.cfg.ratio_cost,
        };
        let ratio_pool = self.cfg.ratio_pool;
        let pool = self.pool(pool);
        pool.attempts.earn(ratio_pool);
        let work = pool.work;
        self.work.earn(ratio * work);
    }

    /// Notes the time of service of an answered attempt.
    pub fn answered(&mut self, pool: &PoolId, service: Duration) {
        let pool = self.pool(pool);
        pool.work += WORK_WEIGHT * (service.as_secs_f64() - pool.work);
        let work = pool.work;
        self.work.raise(self.cfg.saved_max * work);
    }

    /// Decides what follows an attempt of a stage.
    ///
    /// A retry spends from both budgets, but after a refusal, which was no work.
    pub fn after(&mut self, pool: &PoolId, ended: EndedAttempt) -> RetryDecision {
        if let Some(why) = self.barred(ended) {
            return RetryDecision::GiveUp(why);
        }
        let refused = ended.result == AttemptResult::Refused;
        if !refused && !self.spend(pool, 0.0) {
            return RetryDecision::GiveUp(GiveUp::Budget);
        }
        RetryDecision::Retry {
            after: self.pause(ended.tried).min(ended.remaining / 4),
        }
    }

    /// Whether a hedge may be sent; spends from both budgets if so.
    pub fn hedge(&mut self, pool: &PoolId) -> bool {
        let most = self.pools.values().map(|pool| pool.work);
        let reserve = self.cfg.hedge_reserve * most.fold(0.0, f64::max);
        self.spend(pool, reserve)
    }

    /// Spends one attempt from both budgets, if both have it.
    fn spend(&mut self, pool: &PoolId, reserve: f64) -> bool {
        let budget = self.pool(pool);
        let (work, allowed) = (budget.work, budget.attempts.has(1.0, 0.0));
        if !allowed || !self.work.has(work, reserve) {
            return false;
        }
        self.pool(pool).attempts.spend(1.0);
        self.work.spend(work);
        true
    }

    fn barred(&self, ended: EndedAttempt) -> Option<GiveUp> {
        let may_have_run = ended.result != AttemptResult::Refused;
        if matches!(
            ended.result,
            AttemptResult::Answered | AttemptResult::Cancelled
        ) {
            Some(GiveUp::NotNeeded)
        } else if may_have_run && !ended.idempotent {
            Some(GiveUp::MayHaveRun)
        } else if ended.tried >= self.attempts_max(ended.result) {
            Some(GiveUp::Attempts)
        } else if ended.remaining < self.cfg.remaining_min {
            Some(GiveUp::Time)
        } else {
            None
        }
    }

    fn attempts_max(&self, result: AttemptResult) -> usize {
        match result {
            AttemptResult::Refused => self.cfg.attempts_refused_max,
            _ => self.cfg.attempts_max,
        }
    }

    /// None for the first retry, then doubling, with a random half.
    fn pause(&mut self, tried: usize) -> Duration {
        if tried < 2 {
            return Duration::ZERO;
        }
        let doublings = u32::try_from(tried - 2).unwrap_or(u32::MAX).min(6);
        let full = self.cfg.pause * 2_u32.pow(doublings);
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn pool(&mut self, pool: &PoolId) -> &mut PoolBudget {
        self.pools
            .entry(pool.clone())
            .or_insert_with(|| PoolBudget {
                attempts: RetryBudget::new(self.cfg.saved_max),
                work: WORK_PRIOR,
            })
    }
}
