//! Token bucket rate limiter for the services of the fake platform.

use std::time::Instant;

/// Allows a number of calls per second, with bursts of up to 100 ms worth of calls.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

const BURST_SECONDS: f64 = 0.1;

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        let burst = (per_second * BURST_SECONDS).max(1.0);
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Takes one token; returns `false` if the bucket is empty.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        let filled = self.tokens + elapsed.as_secs_f64() * self.per_second;
        self.tokens = filled.min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
