//! Ejection of failing backend servers and their gradual return.

use std::time::{Duration, Instant};

/// Weight of one result in the smoothed share of failures.
const RESULT_WEIGHT: f64 = 0.2;
/// Share of failures above which a backend server is ejected.
const EJECT_SHARE: f64 = 0.5;
/// Failures in a row that an ejection needs.
const EJECT_IN_A_ROW: u32 = 3;
/// Length of the first ejection; each further one doubles it.
const EJECTION_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time without a failure after which earlier ejections no longer count.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
/// Time over which a new or returned backend server takes up its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// How much one result speaks against a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Mark {
    /// It answered.
    Good,
    /// It refused, as busy servers do too.
    Refusal,
    /// It failed.
    Failure,
}

impl Mark {
    fn value(self) -> f64 {
        match self {
            Self::Good => 0.0,
            Self::Refusal => 0.6,
            Self::Failure => 1.0,
        }
    }
}

/// Failures of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    failing: f64,
    in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    failed_at: Option<Instant>,
    ramp_from: Option<Instant>,
}

impl Health {
    /// Health of a server that takes up its share gradually from `now`.
    pub(super) fn starting(now: Instant) -> Self {
        Self {
            ramp_from: Some(now),
            ..Self::default()
        }
    }

    /// Takes in one result; true if the server should be ejected.
    pub(super) fn mark(&mut self, mark: Mark, now: Instant) -> bool {
        self.failing += RESULT_WEIGHT * (mark.value() - self.failing);
        if mark == Mark::Good {
            self.in_a_row = 0;
            self.forgive(now);
            return false;
        }
        self.in_a_row += 1;
        self.failed_at = Some(now);
        !self.ejected(now) && self.should_eject()
    }

    /// Ejects the server; returns for how long.
    pub(super) fn eject(&mut self, now: Instant) -> Duration {
        let length = EJECTION_FIRST * 2_u32.saturating_pow(self.ejections.min(5));
        let length = length.min(EJECTION_MAX);
        self.ejections += 1;
        self.ejected_until = Some(now + length);
        self.ramp_from = Some(now + length);
        length
    }

    /// Whether the server is ejected.
    pub(super) fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection ended since the last call.
    pub(super) fn take_return(&mut self, now: Instant) -> bool {
        let returned = self.ejected_until.is_some_and(|until| now >= until);
        if returned {
            self.ejected_until = None;
        }
        returned
    }

    /// Smoothed share of failures, from 0 to 1.
    pub(super) fn failing(&self) -> f64 {
        self.failing
    }

    /// Share of its work that the server may take up, from 0 to 1.
    pub(super) fn ramp(&self, now: Instant) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let since = now.saturating_duration_since(from);
        (since.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0)
    }

    fn should_eject(&self) -> bool {
        let relapsed = self.ejections > 0 && self.in_a_row >= 2;
        let failing = self.failing > EJECT_SHARE && self.in_a_row >= EJECT_IN_A_ROW;
        relapsed || failing
    }

    fn forgive(&mut self, now: Instant) {
        let quiet = self
            .failed_at
            .is_none_or(|at| now.saturating_duration_since(at) > FORGIVE_AFTER);
        if quiet {
            self.ejections = 0;
        }
    }
}
