//! Adaptive limit of one instance's attempts in flight on one backend server.

use std::time::{Duration, Instant};

/// Factor applied to the limit when attempts queue too long.
const QUEUEING_DECREASE: f64 = 0.9;
/// Factor applied to the limit when the server refuses an attempt.
const REFUSAL_DECREASE: f64 = 0.7;
/// Queueing time that does not lower the limit, as a multiple of the service time.
const TOLERATED_QUEUEING_RATIO: f64 = 1.0;
/// Queueing time that never lowers the limit.
const MIN_TOLERATED_QUEUEING: Duration = Duration::from_millis(5);
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;
/// Upper bound of the limit, as a multiple of the server's capacity.
const MAX_LIMIT_PER_CAPACITY: f64 = 4.0;

/// Queueing of one answered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSample {
    /// Number of attempts in flight when the answer arrived, this one included.
    pub in_flight: u32,
    /// Queueing time: the latency without service time and network time.
    pub queued: Duration,
    /// Service time on the backend server.
    pub service: Duration,
}

/// Limit of one instance's attempts in flight on one backend server.
///
/// Additive increase, multiplicative decrease: the limit grows by about one per round of answers
/// without queueing while at least half of it is in use, and is multiplied by a factor below one,
/// at most once per service time, when attempts queue too long or are refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the server's capacity.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        let capacity = f64::from(capacity.max(1));
        Self {
            limit: capacity,
            max: capacity * MAX_LIMIT_PER_CAPACITY,
            decreased_at: None,
        }
    }

    /// Maximum number of attempts in flight.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit to an answered attempt.
    pub fn record_answer(&mut self, sample: QueueSample, now: Instant) {
        let tolerated = sample
            .service
            .mul_f64(TOLERATED_QUEUEING_RATIO)
            .max(MIN_TOLERATED_QUEUEING);
        if sample.queued > tolerated {
            self.decrease(QUEUEING_DECREASE, sample.service, now);
        } else if f64::from(sample.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Lowers the limit after a refused attempt; `service` is the usual service time.
    pub fn record_refusal(&mut self, service: Duration, now: Instant) {
        self.decrease(REFUSAL_DECREASE, service, now);
    }

    fn decrease(&mut self, factor: f64, min_interval: Duration, now: Instant) {
        let recent = self
            .decreased_at
            .is_some_and(|at| now.saturating_duration_since(at) < min_interval);
        if !recent {
            self.limit = (self.limit * factor).max(MIN_LIMIT);
            self.decreased_at = Some(now);
        }
    }
}
