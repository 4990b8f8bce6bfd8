//! Health of one server, derived from the outcomes of attempts: error rate, latency and back-off.
//!
//! Like a circuit breaker, a server that breaks attempts gets no work during a back-off, and then
//! one trial attempt at a time until it responds. Attempts that break during the back-off don't
//! count: a short silence breaks all attempts that are under way at a sound server.

use std::time::{Duration, Instant};

use super::AttemptOutcome;

/// Back-off after the first broken attempt; it doubles with each trial attempt that breaks.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest back-off; bounds how long a server that has recovered stays unused.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time for which other servers are preferred to one that is silent in a response.
const SILENCE_BACKOFF: Duration = Duration::from_secs(1);
/// Back-off after a rejected attempt, in which a full server can finish requests.
const REJECTED_BACKOFF: Duration = Duration::from_millis(150);
/// Weight of the latest outcome in the moving average of outcomes.
const ERROR_RATE_GAIN: f64 = 0.15;
/// Time in which the error rate halves without new outcomes: a server that is avoided has none.
const ERROR_RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the latest latency in the moving average of latencies.
const LATENCY_GAIN: f64 = 0.25;
/// Average latency above which a server counts as slow, in seconds.
const SLOW_LATENCY_S: f64 = 0.4;
/// Upper bound of [`Health::slowdown`].
const MAX_SLOWDOWN: f64 = 8.0;

/// Health of a server.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Broken attempts since the last answered one, without those that broke during a back-off.
    broken_attempts: u32,
    backoff_until: Option<Instant>,
    /// Until when other servers are preferred, as this one is silent in the middle of a response.
    silent_until: Option<Instant>,
    /// Moving average of outcomes, from 0 (all answered) to 1 (all failed or broken), and when the
    /// latest one was recorded.
    error_rate: f64,
    error_rate_at: Option<Instant>,
    /// Moving average of the time to the first byte, in seconds.
    mean_latency_s: f64,
}

impl Health {
    /// Whether the server may get new work: not during a back-off, and after a broken attempt only
    /// one attempt at a time.
    pub fn accepts_work(&self, now: Instant, in_flight: u32) -> bool {
        self.is_usable(now)
            && self.silent_until.is_none_or(|until| now >= until)
            && (self.broken_attempts == 0 || in_flight == 0)
    }

    /// Whether the server may get new work if there is no better one: a silent one may only pause.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Whether a broken attempt keeps new work away now.
    fn is_backing_off(&self, now: Instant) -> bool {
        self.broken_attempts > 0 && self.backoff_until.is_some_and(|until| now < until)
    }

    /// Share of recent attempts that failed or broke, from 0 to 1.
    pub fn error_rate(&self, now: Instant) -> f64 {
        let age = self.error_rate_at.map(|at| now.duration_since(at));
        let half_lives = age.unwrap_or_default().as_secs_f64() / ERROR_RATE_HALF_LIFE.as_secs_f64();
        self.error_rate * (-half_lives).exp2()
    }

    /// Moves the error rate towards the latest outcome: 0 if it was answered, 1 if not.
    fn record_error(&mut self, outcome: f64, now: Instant) {
        let rate = self.error_rate(now);
        self.error_rate = rate + ERROR_RATE_GAIN * (outcome - rate);
        self.error_rate_at = Some(now);
    }

    /// Factor by which the server is slower than [`SLOW_LATENCY_S`], from 1 to [`MAX_SLOWDOWN`].
    pub fn slowdown(&self) -> f64 {
        (self.mean_latency_s / SLOW_LATENCY_S).clamp(1.0, MAX_SLOWDOWN)
    }

    /// Records that a server is silent in the middle of a response. It may only pause, so it gets no
    /// work for a while but doesn't count as broken.
    pub fn record_silence(&mut self, now: Instant) {
        self.silent_until = Some(now + SILENCE_BACKOFF);
    }

    /// Records that an attempt was answered, without the time that it took.
    pub fn record_response(&mut self, now: Instant) {
        self.broken_attempts = 0;
        self.backoff_until = None;
        self.record_error(0.0, now);
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Answered(latency) => {
                self.record_response(now);
                self.mean_latency_s += LATENCY_GAIN * (latency.as_secs_f64() - self.mean_latency_s);
            }
            AttemptOutcome::Failure => self.record_error(1.0, now),
            AttemptOutcome::Rejected => self.backoff_until = Some(now + REJECTED_BACKOFF),
            AttemptOutcome::Broken if self.is_backing_off(now) => {}
            AttemptOutcome::Broken => {
                self.record_error(1.0, now);
                self.broken_attempts += 1;
                let backoff = INITIAL_BACKOFF * 2_u32.pow(self.broken_attempts.min(4) - 1);
                self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
            }
            AttemptOutcome::Abandoned => {}
        }
    }
}
