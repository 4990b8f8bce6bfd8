//! One pipeline's requests: an adaptive number of them runs, the rest waits in a fair queue.

use std::time::{Duration, Instant};

use super::fair_queue::FairQueue;
use super::{AdmissionConfig, Completion, Offer};

/// Weight of a new sample in smoothed values.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Factor on the limit when a request took too long for the work in it.
const STRETCH_FACTOR: f64 = 0.95;
/// Factor on the limit when a request missed its deadline.
const LATE_FACTOR: f64 = 0.9;
/// Waiting inside a run that is tolerated in any case.
const STRETCH_FLOOR: Duration = Duration::from_millis(20);

/// Adaptive limit and queue of one pipeline.
#[derive(Debug)]
pub(super) struct Gate {
    pub(super) queue: FairQueue,
    pub(super) running: usize,
    limit: f64,
    shrunk_at: Option<Instant>,
    released_at: Option<Instant>,
    /// Smoothed seconds between two ends of requests while others waited.
    interval: f64,
    /// Smoothed seconds that an admitted request takes.
    latency: f64,
}

impl Gate {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            queue: FairQueue::default(),
            running: 0,
            limit: cfg.running_first,
            shrunk_at: None,
            released_at: None,
            interval: 0.0,
            latency: 0.0,
        }
    }

    /// Whether another request may run.
    pub(super) fn open(&self) -> bool {
        (self.running as f64) < self.limit
    }

    /// Most requests that run at once.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Time that a request needs once it runs, by its estimate and by what others took.
    pub(super) fn needed(&self, offer: &Offer) -> Duration {
        offer
            .cost_estimate
            .max(Duration::from_secs_f64(self.latency))
    }

    /// Time until a request at the end of its customer's line would run.
    ///
    /// The smaller of the whole queue's time and of the customer's line at its share.
    pub(super) fn wait(&self, offer: &Offer) -> Duration {
        let ahead = self.queue.len() as f64;
        let own = (self.queue.len_of(&offer.customer) + 1) as f64;
        let share = 1.0 + self.queue.active_weight() / offer.weight.max(f64::EPSILON);
        Duration::from_secs_f64(self.interval * ahead.min(own * share))
    }

    /// Takes in the end of a request that ran.
    pub(super) fn finished(&mut self, end: &Completion, cfg: &AdmissionConfig, now: Instant) {
        let used = self.running as f64 >= self.limit / 2.0;
        self.running -= 1;
        self.note_interval(now);
        self.latency += SAMPLE_WEIGHT * (end.latency.as_secs_f64() - self.latency);
        let tolerated = end.service.mul_f64(cfg.stretch_max) + STRETCH_FLOOR;
        if !end.in_time {
            self.shrink(LATE_FACTOR, end.latency, cfg, now);
        } else if !end.service.is_zero() && end.latency > tolerated {
            self.shrink(STRETCH_FACTOR, end.latency, cfg, now);
        } else if used {
            self.limit = (self.limit + 1.0 / self.limit).min(cfg.running_max as f64);
        }
    }

    fn note_interval(&mut self, now: Instant) {
        if self.queue.len() == 0 {
            self.released_at = None;
            return;
        }
        if let Some(at) = self.released_at {
            let interval = now.saturating_duration_since(at).as_secs_f64();
            self.interval += SAMPLE_WEIGHT * (interval - self.interval);
        }
        self.released_at = Some(now);
    }

    /// Shrinks the limit at most once in the time of a request.
    fn shrink(&mut self, factor: f64, pause: Duration, cfg: &AdmissionConfig, now: Instant) {
        let recent = self
            .shrunk_at
            .is_some_and(|at| now.saturating_duration_since(at) < pause);
        if !recent {
            self.limit = (self.limit * factor).max(cfg.running_min);
            self.shrunk_at = Some(now);
        }
    }
}
