//! Tokens for extra attempts.

/// Tokens for extra attempts: first attempts earn them, retries and hedges spend them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RetryBudget {
    saved_max: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    #[must_use]
    pub fn new(saved_max: f64) -> Self {
        Self {
            saved_max,
            tokens: saved_max,
        }
    }

    /// Raises the most that can be saved up; what it is raised by is there at once.
    pub fn raise_capacity(&mut self, saved_max: f64) {
        if saved_max > self.saved_max {
            self.tokens += saved_max - self.saved_max;
            self.saved_max = saved_max;
        }
    }

    /// Earns tokens for one first attempt.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.saved_max);
    }

    /// Whether `tokens` can be spent so that `reserve` remains.
    #[must_use]
    pub fn can_spend(&self, tokens: f64, reserve: f64) -> bool {
        self.tokens >= tokens + reserve
    }

    /// Spends tokens.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
