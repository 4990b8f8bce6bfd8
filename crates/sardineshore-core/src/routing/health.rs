//! Outlier detection: ejects failing backend servers and readmits them with a slow start.

use std::time::{Duration, Instant};

/// Weight of one result in the smoothed failure rate.
const RESULT_WEIGHT: f64 = 0.2;
/// Failure rate above which a backend server is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Minimum number of consecutive failures and refusals for an ejection.
const EJECT_MIN_CONSECUTIVE: u32 = 3;
/// Duration of the first ejection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time without a failure after which the count of ejections is reset.
const EJECTIONS_RESET_AFTER: Duration = Duration::from_secs(60);
/// Time over which the share of a new or readmitted backend server reaches its full value.
const SLOW_START: Duration = Duration::from_secs(10);

/// What one result says of a backend server's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HealthSample {
    /// It answered.
    Success,
    /// It refused the attempt; counts for less than a failure, since a busy server refuses too.
    Refusal,
    /// The attempt failed.
    Failure,
}

impl HealthSample {
    fn failure_weight(self) -> f64 {
        match self {
            Self::Success => 0.0,
            Self::Refusal => 0.6,
            Self::Failure => 1.0,
        }
    }
}

/// Health of one backend server: its recent failures and ejections.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    failure_rate: f64,
    /// Number of results since the last answer, refusals included.
    consecutive_failures: u32,
    /// Number of ejections since the last reset.
    ejections: u32,
    ejected_until: Option<Instant>,
    last_failure_at: Option<Instant>,
    slow_start_from: Option<Instant>,
}

impl Health {
    /// Health of a server whose slow start begins at `now`.
    pub(super) fn with_slow_start(now: Instant) -> Self {
        Self {
            slow_start_from: Some(now),
            ..Self::default()
        }
    }

    /// Records one result; returns whether the server should be ejected.
    pub(super) fn record(&mut self, sample: HealthSample, now: Instant) -> bool {
        self.failure_rate += RESULT_WEIGHT * (sample.failure_weight() - self.failure_rate);
        if sample == HealthSample::Success {
            self.consecutive_failures = 0;
            self.reset_ejections(now);
            return false;
        }
        self.consecutive_failures += 1;
        self.last_failure_at = Some(now);
        !self.is_ejected(now) && self.should_eject()
    }

    /// Ejects the server and returns the duration.
    pub(super) fn eject(&mut self, now: Instant) -> Duration {
        let duration = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        let duration = duration.min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + duration);
        self.slow_start_from = Some(now + duration);
        duration
    }

    /// Whether the server is ejected at `now`.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns true once after each ejection that has ended.
    pub(super) fn take_readmission(&mut self, now: Instant) -> bool {
        let returned = self.ejected_until.is_some_and(|until| now >= until);
        if returned {
            self.ejected_until = None;
        }
        returned
    }

    /// Smoothed failure rate, from 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Fraction of its full share that the server may receive during slow start, from 0 to 1.
    pub(super) fn slow_start_share(&self, now: Instant) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let since = now.saturating_duration_since(from);
        (since.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0)
    }

    fn should_eject(&self) -> bool {
        let relapsed = self.ejections > 0 && self.consecutive_failures >= 2;
        let is_failing = self.failure_rate > EJECT_FAILURE_RATE
            && self.consecutive_failures >= EJECT_MIN_CONSECUTIVE;
        relapsed || is_failing
    }

    fn reset_ejections(&mut self, now: Instant) {
        let is_stable = self
            .last_failure_at
            .is_none_or(|at| now.saturating_duration_since(at) > EJECTIONS_RESET_AFTER);
        if is_stable {
            self.ejections = 0;
        }
    }
}
