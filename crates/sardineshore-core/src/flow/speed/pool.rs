//! What is known of the servers of a pool together.

use std::time::{Duration, Instant};

use super::SpeedChange;
use super::estimate::{Spread, Trend};
use super::figure::{TRUST_AT_START, trusted_share};
use crate::duration;
use crate::flow::config::Name;

/// Time to prefill one prompt token at a usual server, until the pool shows another one.
pub(in crate::flow) const TOKEN_PREFILL_TIME: Duration = Duration::from_micros(24);
/// Part of the time to the first output that doesn't depend on the prompt.
pub(super) const FIXED_TIME: Duration = Duration::from_millis(3);
/// Number of samples of a pool before its own prefill time replaces the constant.
const MIN_PREFILL_SAMPLES: f64 = 100.0;
/// Difference from the constant, as a logarithm, below which the constant still applies.
const PREFILL_DEAD_BAND: f64 = 0.18;
/// Limits of a pool's prefill time, as a factor of the constant.
const PREFILL_FACTOR: (f64, f64) = (0.5, 4.0);
/// Standard deviation of the servers of a pool from which on they count as different. It was 0.07 for
/// equal servers in the replay, and 0.43 for speeds from 0.7 to 1.7.
const UNEVEN_SPREAD: f64 = 0.2;
/// Range of the forecast of the time to the first output.
const RUN_TIME: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(600));
/// Time for which a pool counts as uneven after a server was slow or fast for a moment.
const UNEVEN_TIME: Duration = Duration::from_secs(10);

/// What is known of a pool.
#[derive(Debug)]
pub(super) struct PoolSpeed {
    pub name: Name,
    pub first_output: Trend,
    pub events: Trend,
    /// Mean absolute deviation of samples from what was expected.
    pub deviation: f64,
    pub trust: f64,
    pub logged_trust: f64,
    /// Time to prefill a token, in seconds.
    pub token_time: f64,
    pub is_calibrated: bool,
    /// Whether the servers differ by more than a few.
    pub is_spread: bool,
    /// Number of servers that differ.
    pub evident: usize,
    /// Latest time at which a server named a figure that isn't usual.
    pub named_at: Option<Instant>,
    /// Latest time at which a server was named or seen slow or fast for a moment.
    pub uneven_figure_at: Option<Instant>,
    /// Whether some server differs, or named a figure that isn't usual lately.
    pub is_uneven: bool,
}

impl PoolSpeed {
    pub fn new(name: Name) -> Self {
        Self {
            name,
            first_output: Trend::default(),
            events: Trend::default(),
            deviation: 0.4,
            trust: TRUST_AT_START,
            logged_trust: 1.0,
            token_time: TOKEN_PREFILL_TIME.as_secs_f64(),
            is_calibrated: false,
            is_spread: false,
            evident: 0,
            named_at: None,
            uneven_figure_at: None,
            is_uneven: false,
        }
    }

    /// Replaces the constant by the pool's own prefill time once there is evidence. Returns whether
    /// that has changed.
    pub fn calibrate(&mut self) -> bool {
        let ln = self.first_output.at(0.0);
        let band = if self.is_calibrated {
            PREFILL_DEAD_BAND / 2.0
        } else {
            PREFILL_DEAD_BAND
        };
        let was = self.is_calibrated;
        self.is_calibrated = self.first_output.samples() >= MIN_PREFILL_SAMPLES && ln.abs() > band;
        let factor = if self.is_calibrated {
            ln.exp().clamp(PREFILL_FACTOR.0, PREFILL_FACTOR.1)
        } else {
            1.0
        };
        self.token_time = TOKEN_PREFILL_TIME.as_secs_f64() * factor;
        was != self.is_calibrated
    }

    /// Updates what follows from the samples and from the servers' `spread`; adds changes to the list.
    /// Servers that differ are counted again afterwards.
    pub fn update(&mut self, spread: Spread, changes: &mut Vec<SpeedChange>) {
        let least = if self.is_spread { 0.7 } else { 1.0 } * UNEVEN_SPREAD;
        self.is_spread = spread.deviation() > least;
        self.evident = 0;
        if self.calibrate() {
            changes.push(SpeedChange::Prefill {
                pool: self.name.clone(),
                token_time: duration::from_secs(self.token_time),
            });
        }
        let trust = trusted_share(self.trust);
        if (trust - self.logged_trust).abs() >= 0.5 {
            self.logged_trust = trust;
            changes.push(SpeedChange::Trust {
                pool: self.name.clone(),
                trust,
            });
        }
    }

    /// Records that a server is slow or fast for a moment.
    pub fn record_uneven_figure(&mut self, now: Instant) {
        self.uneven_figure_at = Some(now);
        self.is_uneven = true;
    }

    /// Updates whether servers are known to differ, once those that do are counted.
    pub fn update_uneven(&mut self, now: Instant) {
        let lately = self
            .uneven_figure_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNEVEN_TIME);
        self.is_uneven = self.evident > 0 || lately;
    }

    /// Expected time to the first output; see [`super::ServerSpeeds::run_time`].
    pub fn run_time(&self, tokens: u32, slowness: f64) -> Option<Duration> {
        if self.evident == 0 || self.first_output.samples() < MIN_PREFILL_SAMPLES {
            return None;
        }
        // One deviation above the mean of the logarithms: about four of five take no longer.
        let factor = (self.first_output.mean() + self.deviation).exp() * slowness;
        let prefill = duration::multiplied(TOKEN_PREFILL_TIME, f64::from(tokens) * factor);
        Some((FIXED_TIME + prefill).clamp(RUN_TIME.0, RUN_TIME.1))
    }
}
