//! Health of one server, from the ends of attempts alone.

use std::time::{Duration, Instant};

use super::AttemptOutcome;

/// Rest after the first break; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest: a server that is back is tried again within this time.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Rest of a server that is full.
const REJECTED_REST: Duration = Duration::from_millis(150);
/// Weight of the newest end in the rate of failures.
const ERROR_GAIN: f64 = 0.15;
/// Weight of the newest time in the averages of times.
const TIME_GAIN: f64 = 0.25;
/// Times above this part of a second count as slow.
const SLOW_SECONDS: f64 = 0.4;
/// Largest factor of slowness.
const MOST_SLOW: f64 = 8.0;

/// State of health.
#[derive(Debug, Default)]
pub(super) struct Health {
    breaks: u32,
    rests_until: Option<Instant>,
    errors: f64,
    seconds: f64,
}

impl Health {
    /// Whether new work may go to the server; after a rest one attempt at a time.
    pub fn accepts_work(&self, now: Instant, in_flight: u32) -> bool {
        self.rests_until.is_none_or(|until| now >= until) && (self.breaks == 0 || in_flight == 0)
    }

    /// Part of the newest answers that were failures.
    pub fn error_rate(&self) -> f64 {
        self.errors
    }

    /// Factor by which the server is slower than it should be.
    pub fn slowness(&self) -> f64 {
        (self.seconds / SLOW_SECONDS).clamp(1.0, MOST_SLOW)
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, end: AttemptOutcome, now: Instant) {
        match end {
            AttemptOutcome::Answered(took) => {
                self.breaks = 0;
                self.rests_until = None;
                self.errors -= ERROR_GAIN * self.errors;
                self.seconds += TIME_GAIN * (took.as_secs_f64() - self.seconds);
            }
            AttemptOutcome::Failure => self.errors += ERROR_GAIN * (1.0 - self.errors),
            AttemptOutcome::Rejected => self.rests_until = Some(now + REJECTED_REST),
            AttemptOutcome::Broken => {
                self.errors += ERROR_GAIN * (1.0 - self.errors);
                self.breaks += 1;
                let rest = FIRST_REST * 2_u32.pow(self.breaks.min(4) - 1);
                self.rests_until = Some(now + rest.min(LONGEST_REST));
            }
            AttemptOutcome::Abandoned => {}
        }
    }
}
