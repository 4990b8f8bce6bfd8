//! Token bucket for extra attempts.

/// Token bucket for extra attempts: first attempts deposit tokens, retries and hedges spend them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RetryBudget {
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget that holds at most `capacity` tokens.
    #[must_use]
    pub fn new(capacity: f64) -> Self {
        Self {
            capacity,
            tokens: capacity,
        }
    }

    /// Raises the capacity and adds the difference to the tokens; a lower capacity has no effect.
    pub fn raise_capacity(&mut self, capacity: f64) {
        if capacity > self.capacity {
            self.tokens += capacity - self.capacity;
            self.capacity = capacity;
        }
    }

    /// Adds tokens for one first attempt, up to the capacity.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Whether at least `reserve` tokens remain after spending `tokens`.
    #[must_use]
    pub fn can_spend(&self, tokens: f64, reserve: f64) -> bool {
        self.tokens >= tokens + reserve
    }

    /// Removes tokens; the caller checks [`Self::can_spend`] first.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
