//! Rate limit by a token bucket.

use std::time::Instant;

/// Allows a number of calls per second, with bursts up to a tenth of a second's worth.
#[derive(Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

const BURST_SECONDS: f64 = 0.1;

impl Bucket {
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

    /// Takes one token; false if there is none.
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
