//! Quantiles of the latencies of stages over a sliding window.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::PoolId;

/// Length of one half of the window; the older half is dropped after this time.
const HALF_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 8;
/// Upper bound of the recorded latency in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of samples between two recomputations of the quantiles.
const REFRESH_INTERVAL_SAMPLES: u64 = 8;

/// Quantiles of a stage's latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageQuantiles {
    /// Median.
    pub p50: Duration,
    /// 95th percentile.
    pub p95: Duration,
}

/// Latencies of stages by pool, measured from the send of the first attempt to the answer.
#[derive(Debug, Default)]
pub struct StageLatencies {
    pools: BTreeMap<PoolId, Window>,
}

/// Sliding window of two halves; the older one is dropped as a whole.
struct Window {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    rotated_at: Instant,
    samples_since_refresh: u64,
    quantiles: Option<StageQuantiles>,
}

impl StageLatencies {
    /// Records the latency of an answered stage.
    pub fn record(&mut self, pool: &PoolId, latency: Duration, now: Instant) {
        let window = self
            .pools
            .entry(pool.clone())
            .or_insert_with(|| Window::new(now));
        window.rotate(now);
        window.record(latency);
    }

    /// Quantiles of a pool's stages; `None` if the window holds too few samples.
    #[must_use]
    pub fn quantiles(&self, pool: &PoolId, now: Instant) -> Option<StageQuantiles> {
        let window = self.pools.get(pool)?;
        let age = now.saturating_duration_since(window.rotated_at);
        window.quantiles.filter(|_| age < 2 * HALF_WINDOW)
    }
}

impl Window {
    fn new(now: Instant) -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        let empty = empty.expect("the bounds are constant and valid");
        Self {
            newer: empty.clone(),
            older: empty,
            rotated_at: now,
            samples_since_refresh: 0,
            quantiles: None,
        }
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated_at);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.reset();
        if age >= 2 * HALF_WINDOW {
            self.older.reset();
        }
        self.rotated_at = now;
        self.refresh();
    }

    fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.newer.saturating_record(us.max(1));
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= REFRESH_INTERVAL_SAMPLES {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        let mut both = self.older.clone();
        let added = both.add(&self.newer);
        debug_assert!(added.is_ok(), "both halves have the same bounds");
        self.quantiles = (both.len() >= MIN_SAMPLES).then(|| StageQuantiles {
            p50: Duration::from_micros(both.value_at_quantile(0.50)),
            p95: Duration::from_micros(both.value_at_quantile(0.95)),
        });
    }
}

impl fmt::Debug for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Window")
            .field("samples", &(self.newer.len() + self.older.len()))
            .field("quantiles", &self.quantiles)
            .finish_non_exhaustive()
    }
}
