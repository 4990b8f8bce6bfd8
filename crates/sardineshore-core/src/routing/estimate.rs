//! Smoothed estimates of durations.

use std::time::{Duration, Instant};

/// Weight of a new sample once the estimate has settled.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Exponentially smoothed duration in seconds; plain mean over the first samples.
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

    /// Adds a sample of which only a lower bound is known; ignored if it tells nothing new.
    pub(super) fn add_at_least(&mut self, bound: Duration, now: Instant) {
        if bound.as_secs_f64() > self.value {
            self.add(bound, now);
        }
    }

    /// Smoothed seconds, if there was a sample.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// Smoothed seconds, drawn towards `prior` as the last sample grows older.
    pub(super) fn faded(&self, prior: f64, half_life: Duration, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return prior;
        };
        let weight = freshness(now.saturating_duration_since(at), half_life);
        prior + weight * (self.value - prior)
    }
}

/// Weight of information by its age: 1 when new, one half at `half_life`.
pub(super) fn freshness(age: Duration, half_life: Duration) -> f64 {
    1.0 / (1.0 + age.as_secs_f64() / half_life.as_secs_f64())
}
