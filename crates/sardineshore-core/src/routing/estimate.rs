//! Exponentially smoothed durations, used for service times of servers and pools.

use std::time::{Duration, Instant};

/// Weight of a new sample after the first few.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Exponentially smoothed duration in seconds; the arithmetic mean over the first samples.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Smoothed {
    value: f64,
    samples: u32,
    at: Option<Instant>,
}

impl Smoothed {
    /// Adds one sample.
    pub(super) fn add(&mut self, sample: Duration, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.value += weight * (sample.as_secs_f64() - self.value);
        self.at = Some(now);
    }

    /// Adds a sample of which only a lower bound is known; ignored unless it is above the estimate.
    pub(super) fn add_lower_bound(&mut self, bound: Duration, now: Instant) {
        if bound.as_secs_f64() > self.value {
            self.add(bound, now);
        }
    }

    /// Smoothed seconds; `None` before the first sample.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// Smoothed seconds, weighted with `prior` by the age of the last sample.
    pub(super) fn decayed(&self, prior: f64, half_life: Duration, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return prior;
        };
        let weight = age_weight(now.saturating_duration_since(at), half_life);
        prior + weight * (self.value - prior)
    }
}

/// Weight of an observation by its age: 1 when new, one half at `half_life`.
pub(super) fn age_weight(age: Duration, half_life: Duration) -> f64 {
    1.0 / (1.0 + age.as_secs_f64() / half_life.as_secs_f64())
}
