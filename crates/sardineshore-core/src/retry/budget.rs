//! Retries within a budget for each pool.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{AttemptResult, PoolId};

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Most attempts of one stage of one request, the first included.
    pub attempts_max: usize,
    /// Extra attempts that each first attempt pays for.
    pub ratio: f64,
    /// Most extra attempts that can be saved up.
    pub saved_max: f64,
    /// Least time that must remain for another attempt.
    pub remaining_min: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            ratio: 0.1,
            saved_max: 10.0,
            remaining_min: Duration::from_millis(20),
        }
    }
}

/// Tokens for extra attempts: first attempts earn them, retries and hedges spend them.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    ratio: f64,
    saved_max: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    #[must_use]
    pub fn new(ratio: f64, saved_max: f64) -> Self {
        Self {
            ratio,
            saved_max,
            tokens: saved_max,
        }
    }

    /// Earns for one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.saved_max);
    }

    /// Spends for one extra attempt; false if the budget is empty.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// What follows an attempt that did not answer.
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

/// Retry budgets of all pools.
#[derive(Debug)]
pub struct Retries {
    cfg: RetryConfig,
    budgets: BTreeMap<PoolId, RetryBudget>,
}

impl Retries {
    /// Makes full budgets.
    #[must_use]
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            budgets: BTreeMap::new(),
        }
    }

    /// Notes the first attempt of a stage.
    pub fn sent(&mut self, pool: &PoolId) {
        self.budget(pool).earn();
    }

    /// Decides what follows the `tried`th attempt of a stage.
    pub fn after(
        &mut self,
        pool: &PoolId,
        result: AttemptResult,
        tried: usize,
        remaining: Duration,
        idempotent: bool,
    ) -> RetryDecision {
        let barred = self.barred(result, tried, remaining, idempotent);
        match barred {
            Some(why) => RetryDecision::GiveUp(why),
            None if self.budget(pool).spend() => RetryDecision::Retry {
                after: Duration::ZERO,
            },
            None => RetryDecision::GiveUp(GiveUp::Budget),
        }
    }

    fn barred(
        &self,
        result: AttemptResult,
        tried: usize,
        remaining: Duration,
        idempotent: bool,
    ) -> Option<GiveUp> {
        let may_have_run = result != AttemptResult::Refused;
        if matches!(result, AttemptResult::Answered | AttemptResult::Cancelled) {
            Some(GiveUp::NotNeeded)
        } else if may_have_run && !idempotent {
            Some(GiveUp::MayHaveRun)
        } else if tried >= self.cfg.attempts_max {
            Some(GiveUp::Attempts)
        } else if remaining < self.cfg.remaining_min {
            Some(GiveUp::Time)
        } else {
            None
        }
    }

    fn budget(&mut self, pool: &PoolId) -> &mut RetryBudget {
        if !self.budgets.contains_key(pool) {
            let budget = RetryBudget::new(self.cfg.ratio, self.cfg.saved_max);
            self.budgets.insert(pool.clone(), budget);
        }
        self.budgets.get_mut(pool).expect("inserted above")
    }
}
