//! Tokens for extra attempts.

/// Tokens for extra attempts: first attempts earn them, retries and hedges spend them.
#[derive(Debug, Clone, PartialEq)]
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

    /// Earns `ratio` tokens for one first attempt.
    pub fn earn(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.saved_max);
    }

    /// Spends one token if more than `reserve` remain afterwards; false if not.
    pub fn spend(&mut self, reserve: f64) -> bool {
        let enough = self.tokens >= 1.0 + reserve;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
