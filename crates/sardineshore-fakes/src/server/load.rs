//! Load reports that lag behind.

use std::time::{Duration, Instant};

use super::slots::Occupancy;

/// The occupancy that reports show, sampled no more often than the lag.
#[derive(Debug)]
pub struct LaggingLoad {
    lag: Duration,
    sampled_at: Instant,
    sample: Occupancy,
}

impl LaggingLoad {
    /// Starts with an idle sample.
    #[must_use]
    pub fn new(lag: Duration, now: Instant) -> Self {
        Self {
            lag,
            sampled_at: now,
            sample: Occupancy::default(),
        }
    }

    /// The sample to report and its age; `present` replaces a sample that is older than the lag.
    pub fn report(&mut self, present: Occupancy, now: Instant) -> (Occupancy, Duration) {
        let age = now.saturating_duration_since(self.sampled_at);
        if age < self.lag {
            return (self.sample, age);
        }
        self.sampled_at = now;
        self.sample = present;
        (present, Duration::ZERO)
    }
}
