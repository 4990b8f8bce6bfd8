//! Estimators that tolerate outliers: samples of one server, and a pool's dependence on the load.

use std::time::{Duration, Instant};

/// Time in which the weight of evidence halves. A server that is avoided counts as usual again
/// after a few half-lives, and is tried.
const HALF_LIFE: Duration = Duration::from_secs(90);
/// Largest weight of evidence, in samples; with more, a change would show too late.
const MAX_WEIGHT: f64 = 60.0;
/// Smallest part of the difference that a sample moves the value by.
const MIN_GAIN: f64 = 0.04;
/// Largest difference of a sample that counts: a prompt that was not cached as expected, or a wait
/// behind another long prompt, multiplies the time.
const MAX_DIFFERENCE: f64 = 0.7;
/// Largest absolute value of a sample.
const MAX_SAMPLE: f64 = 1.2;
/// Weight of the assumption that a server is usual, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Samples after which a pool's trend forgets older ones.
const TREND_WINDOW: f64 = 400.0;
/// Variance of the load that is added, so that a trend over equal loads has no slope.
const LOAD_VARIANCE: f64 = 0.02;
/// Largest slope: the logarithm of the slowness at full load.
const MAX_SLOPE: f64 = 1.5;

/// Mean of samples, whose weight halves with age.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Evidence {
    value: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Evidence {
    /// Evidence with a value and weight that another instance sent.
    pub fn received(value: f64, weight: f64, now: Instant) -> Self {
        Self {
            value: value.clamp(-MAX_SAMPLE, MAX_SAMPLE),
            weight: weight.clamp(0.0, MAX_WEIGHT),
            at: Some(now),
        }
    }

    pub fn value(&self) -> f64 {
        self.value
    }

    /// Weight in samples.
    pub fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Adds samples with this mean.
    pub fn record(&mut self, mean: f64, samples: f64, now: Instant) {
        let mean = mean.clamp(-MAX_SAMPLE, MAX_SAMPLE);
        let before = self.weight(now);
        self.weight = (before + samples).min(MAX_WEIGHT);
        self.at = Some(now);
        let mut difference = mean - self.value;
        if before >= 3.0 {
            difference = difference.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
        }
        let gain = (samples / (self.weight + PRIOR_WEIGHT)).clamp(MIN_GAIN, 1.0);
        self.value += gain * difference;
    }
}

/// Linear trend of samples over the load.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Trend {
    samples: f64,
    load: f64,
    value: f64,
    variance: f64,
    covariance: f64,
}

impl Trend {
    /// A trend without slope, as another instance knows it.
    pub fn received(value: f64, samples: f64) -> Self {
        Self {
            samples,
            value,
            ..Self::default()
        }
    }

    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Mean of the samples.
    pub fn mean(&self) -> f64 {
        self.value
    }

    pub fn record(&mut self, load: f64, value: f64) {
        let mut difference = value - self.value;
        if self.samples > 10.0 {
            difference = difference.clamp(-1.0, 1.0);
        }
        self.samples = (self.samples + 1.0).min(TREND_WINDOW);
        let gain = 1.0 / self.samples;
        let load_difference = load - self.load;
        self.load += gain * load_difference;
        self.value += gain * difference;
        let remaining = load - self.load;
        self.variance += gain * (load_difference * remaining - self.variance);
        self.covariance += gain * (difference * remaining - self.covariance);
    }

    /// Value at a load.
    pub fn at(&self, load: f64) -> f64 {
        let slope = (self.covariance / (self.variance + LOAD_VARIANCE)).clamp(0.0, MAX_SLOPE);
        self.value + slope * (load - self.load)
    }
}

/// Standard deviation of values.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Spread {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Spread {
    pub fn record(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    /// 0 for less than three values.
    pub fn deviation(&self) -> f64 {
        if self.count < 3.0 {
            return 0.0;
        }
        let mean = self.sum / self.count;
        (self.squares / self.count - mean * mean).max(0.0).sqrt()
    }
}
