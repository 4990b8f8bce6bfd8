//! What follows an attempt that did not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::RetryBudget;
use crate::{AttemptResult, Objective, PoolId};

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Most attempts of one stage of one request, the first included.
    pub attempts_max: usize,
    /// The same where the last attempt was refused, which costs the server next to nothing.
    pub attempts_refused_max: usize,
    /// Extra attempts that each first attempt pays for, where attainment goes first.
    pub ratio_attainment: f64,
    /// Extra attempts that each first attempt pays for, where cost goes first.
    pub ratio_cost: f64,
    /// Most extra attempts that a pool can save up.
    pub saved_max: f64,
    /// Saved attempts that hedges leave to retries.
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
            attempts_max: 3,
            attempts_refused_max: 8,
            ratio_attainment: 0.08,
            ratio_cost: 0.04,
            saved_max: 10.0,
            hedge_reserve: 3.0,
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

/// Retries and hedges of all pools, each within its budget.
#[derive(Debug)]
pub struct Retries {
    cfg: RetryConfig,
    objective: Objective,
    budgets: BTreeMap<PoolId, RetryBudget>,
    rng: SmallRng,
}

impl Retries {
    /// Makes full budgets.
    #[must_use]
    pub fn new(cfg: RetryConfig, objective: Objective) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            objective,
            budgets: BTreeMap::new(),
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
        self.budget(pool).earn(ratio);
    }

    /// Decides what follows an attempt of a stage.
    ///
    /// A retry spends one token of the pool, but after a refusal, which was no work.
    pub fn after(&mut self, pool: &PoolId, ended: EndedAttempt) -> RetryDecision {
        if let Some(why) = self.barred(ended) {
            return RetryDecision::GiveUp(why);
        }
        let refused = ended.result == AttemptResult::Refused;
        if !refused && !self.budget(pool).spend(0.0) {
            return RetryDecision::GiveUp(GiveUp::Budget);
        }
        RetryDecision::Retry {
            after: self.pause(ended.tried).min(ended.remaining / 4),
        }
    }

    /// Whether a hedge may be sent; spends one token of the pool if so.
    pub fn hedge(&mut self, pool: &PoolId) -> bool {
        let reserve = self.cfg.hedge_reserve;
        self.budget(pool).spend(reserve)
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

    fn budget(&mut self, pool: &PoolId) -> &mut RetryBudget {
        self.budgets
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::new(self.cfg.saved_max))
    }
}
