//! Adaptive limit of the attempts in flight on one backend server.

use std::time::{Duration, Instant};

/// Factor on the limit when attempts queue too long.
const QUEUEING_FACTOR: f64 = 0.9;
/// Factor on the limit when the server refuses an attempt.
const REFUSAL_FACTOR: f64 = 0.7;
/// Queueing that is tolerated, as a multiple of the time of service.
const QUEUEING_TOLERATED: f64 = 1.0;
/// Queueing that is tolerated in any case.
const QUEUEING_FLOOR: Duration = Duration::from_millis(5);
/// Least limit.
const LIMIT_MIN: f64 = 1.0;
/// Largest limit, as a multiple of the server's capacity.
const LIMIT_MAX_OF_CAPACITY: f64 = 4.0;

/// What one answer showed of the server's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSample {
    /// Attempts in flight when the answer arrived, itself included.
    pub in_flight: u32,
    /// Time that the attempt waited beyond its service and the network.
    pub queued: Duration,
    /// Time of service.
    pub service: Duration,
}

/// Limit of the attempts that one instance has in flight on one backend server.
///
/// It grows by about one for each round of answers without queueing while it is in use, and
/// shrinks by a factor, at most once in a time of service, when answers queued or were refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    shrunk_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at the server's capacity.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        let capacity = f64::from(capacity.max(1));
        Self {
            limit: capacity,
            max: capacity * LIMIT_MAX_OF_CAPACITY,
            shrunk_at: None,
        }
    }

    /// Most attempts that may be in flight.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Takes in an answer.
    pub fn answered(&mut self, sample: QueueSample, now: Instant) {
        let tolerated = sample
            .service
            .mul_f64(QUEUEING_TOLERATED)
            .max(QUEUEING_FLOOR);
        if sample.queued > tolerated {
            self.shrink(QUEUEING_FACTOR, sample.service, now);
        } else if f64::from(sample.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Takes in a refusal; `service` is the usual time of service.
    pub fn refused(&mut self, service: Duration, now: Instant) {
        self.shrink(REFUSAL_FACTOR, service, now);
    }

    fn shrink(&mut self, factor: f64, pause: Duration, now: Instant) {
        let recent = self
            .shrunk_at
            .is_some_and(|at| now.saturating_duration_since(at) < pause);
        if !recent {
            self.limit = (self.limit * factor).max(LIMIT_MIN);
            self.shrunk_at = Some(now);
        }
    }
}
