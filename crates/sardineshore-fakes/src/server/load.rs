//! Sampling of the load, so that load reports lag behind like those of a real server.

use std::time::{Duration, Instant};

use super::slots::Occupancy;

/// Holds the occupancy that load reports show; a new sample is taken only after the lag.
#[derive(Debug)]
pub struct LoadSampler {
    lag: Duration,
    sampled_at: Instant,
    sample: Occupancy,
}

impl LoadSampler {
    /// Creates a sampler whose first sample is an idle server.
    #[must_use]
    pub fn new(lag: Duration, now: Instant) -> Self {
        Self {
            lag,
            sampled_at: now,
            sample: Occupancy::default(),
        }
    }

    /// Returns the sample to report and its age. `current` replaces a sample that is as old as the
    /// lag or older.
    pub fn report(&mut self, current: Occupancy, now: Instant) -> (Occupancy, Duration) {
        let age = now.saturating_duration_since(self.sampled_at);
        if age < self.lag {
            return (self.sample, age);
        }
        self.sampled_at = now;
        self.sample = current;
        (current, Duration::ZERO)
    }
}
