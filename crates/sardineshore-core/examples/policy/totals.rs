//! Totals of one run, the figures computed from them, and their range over the seeds.

use std::fmt;
use std::time::Duration;

use crate::scenario::{CUSTOMERS, RUN_LENGTH};

/// Totals of one run; work is in seconds of service time.
#[derive(Default)]
pub struct Totals {
    pub offered: [f64; CUSTOMERS],
    pub in_time: [f64; CUSTOMERS],
    pub latencies: Vec<Duration>,
    pub work: f64,
    pub extra_work: f64,
    pub cost: f64,
    pub prefixed: f64,
    pub hits: f64,
}

impl Totals {
    pub fn heading() -> &'static str {
        "attainment | others' attainment | goodput/s | p50 ms | p99 ms | cost/answer | extra work % | \
         Jain | hits %"
    }

    pub fn figures(&mut self) -> Vec<f64> {
        let offered: f64 = self.offered.iter().sum();
        let in_time: f64 = self.in_time.iter().sum();
        let others = self.in_time[1..].iter().sum::<f64>() / self.offered[1..].iter().sum::<f64>();
        self.latencies.sort();
        vec![
            in_time / offered,
            others,
            in_time / RUN_LENGTH.as_secs_f64(),
            self.quantile(0.50),
            self.quantile(0.99),
            self.cost / in_time,
            100.0 * self.extra_work / (self.work - self.extra_work),
            self.jain_index(),
            100.0 * self.hits / self.prefixed.max(1.0),
        ]
    }

    fn quantile(&self, share: f64) -> f64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an index"
        )]
        let at = (self.latencies.len() as f64 * share) as usize;
        self.latencies
            .get(at)
            .map_or(f64::NAN, |latency| latency.as_secs_f64() * 1e3)
    }

    /// Jain's fairness index between customers of the share of requests that were answered in time.
    fn jain_index(&self) -> f64 {
        let shares = self
            .in_time
            .iter()
            .zip(&self.offered)
            .map(|(done, all)| done / all);
        let (sum, squares) = shares.fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
        sum * sum / (CUSTOMERS as f64 * squares)
    }
}

/// Mean and half of the range of one figure over the seeds.
pub struct SeedRange {
    mean: f64,
    half_range: f64,
}

impl SeedRange {
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            half_range: (high - low) / 2.0,
        }
    }
}

impl fmt::Display for SeedRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = if self.mean.abs() < 2.0 { 3 } else { 1 };
        write!(f, "{:.digits$} ±{:.digits$}", self.mean, self.half_range)
    }
}
