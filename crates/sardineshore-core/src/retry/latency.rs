//! Observed latencies of stages over a sliding window.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::PoolId;

/// Time after which a half of the window is replaced.
const HALF_WINDOW: Duration = Duration::from_secs(10);
/// Samples that a quantile needs.
const SAMPLES_MIN: u64 = 8;
/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Significant decimal digits that are kept.
const DIGITS: u8 = 2;
/// Samples between two recomputations of the quantiles.
const REFRESH_EVERY: u64 = 8;

/// Quantiles of a stage's latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageQuantiles {
    /// Half of the stages took no longer.
    pub p50: Duration,
    /// 95 of 100 stages took no longer.
    pub p95: Duration,
}

/// Latencies of the stages of each pool, from the first attempt's send to the answer.
#[derive(Debug, Default)]
pub struct StageLatencies {
    pools: BTreeMap<PoolId, Window>,
}

/// Two halves of a sliding window; the older one is dropped as a whole.
struct Window {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    turned_at: Instant,
    since_refresh: u64,
    quantiles: Option<StageQuantiles>,
}

impl StageLatencies {
    /// Takes in the latency of an answered stage.
    pub fn record(&mut self, pool: &PoolId, latency: Duration, now: Instant) {
        let window = self
            .pools
            .entry(pool.clone())
            .or_insert_with(|| Window::new(now));
        window.turn(now);
        window.record(latency);
    }

    /// Quantiles of a pool's stages, if enough were observed lately.
    #[must_use]
    pub fn quantiles(&self, pool: &PoolId, now: Instant) -> Option<StageQuantiles> {
        let window = self.pools.get(pool)?;
        let age = now.saturating_duration_since(window.turned_at);
        window.quantiles.filter(|_| age < 2 * HALF_WINDOW)
    }
}

impl Window {
    fn new(now: Instant) -> Self {
        let empty = Histogram::new_with_bounds(1, LATENCY_MAX_US, DIGITS);
        let empty = empty.expect("the bounds are constant and valid");
        Self {
            newer: empty.clone(),
            older: empty,
            turned_at: now,
            since_refresh: 0,
            quantiles: None,
        }
    }

    fn turn(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.turned_at);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.reset();
        if age >= 2 * HALF_WINDOW {
            self.older.reset();
        }
        self.turned_at = now;
        self.refresh();
    }

    fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.newer.saturating_record(us.max(1));
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_EVERY {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        let mut both = self.older.clone();
        let added = both.add(&self.newer);
        debug_assert!(added.is_ok(), "both halves have the same bounds");
        self.quantiles = (both.len() >= SAMPLES_MIN).then(|| StageQuantiles {
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
