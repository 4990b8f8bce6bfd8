//! One pipeline's requests: an adaptive number of them runs, the rest waits in a fair queue.

use std::time::{Duration, Instant};

use super::fair_queue::FairQueue;
use super::{AdmissionConfig, AdmissionRequest, Completion};

/// Weight of a new sample in smoothed values.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Least factor on the limit in one round of requests.
const GRADIENT_MIN: f64 = 0.5;
/// Requests beyond the scaled limit that are let in to find out whether more can run.
const HEADROOM: f64 = 1.0;
/// Waiting inside a run that is tolerated in any case.
const STRETCH_FLOOR: Duration = Duration::from_millis(20);

/// Adaptive limit and queue of one pipeline.
#[derive(Debug)]
pub(super) struct PipelineLimiter {
    pub(super) queue: FairQueue,
    pub(super) running: usize,
    limit: f64,
    /// Whether requests were ever stretched.
    settled: bool,
    released_at: Option<Instant>,
    /// Smoothed seconds between two ends of requests while others waited.
    interval: f64,
    /// Smoothed seconds that an admitted request takes.
    latency: f64,
    /// Smoothed seconds that its stages spend on backend servers.
    service: f64,
}

impl PipelineLimiter {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            queue: FairQueue::default(),
            running: 0,
            limit: cfg.initial_limit,
            settled: false,
            released_at: None,
            interval: 0.0,
            latency: 0.0,
            service: 0.0,
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
    pub(super) fn needed(&self, offer: &AdmissionRequest) -> Duration {
        offer
            .cost_estimate
            .max(Duration::from_secs_f64(self.latency))
    }

    /// Time until a request at the end of its customer's line would run.
    ///
    /// The smaller of the whole queue's time and of the customer's line at its share.
    pub(super) fn wait(&self, offer: &AdmissionRequest) -> Duration {
        let ahead = self.queue.len() as f64;
        let own = (self.queue.len_of(&offer.customer) + 1) as f64;
        let share = 1.0 + self.queue.active_weight() / offer.weight.max(f64::EPSILON);
        Duration::from_secs_f64(self.interval * ahead.min(own * share))
    }

    /// Takes in the end of a request that ran.
    ///
    /// One that failed early tells nothing of how long requests take.
    pub(super) fn finished(&mut self, end: &Completion, cfg: &AdmissionConfig, now: Instant) {
        let used = self.running as f64 >= self.limit / 2.0;
        self.running -= 1;
        self.note_interval(now);
        let latency = end.latency.as_secs_f64();
        if !end.in_time && latency <= self.latency {
            return;
        }
        smooth(&mut self.latency, latency);
        if end.in_time && !end.service.is_zero() {
            smooth(&mut self.service, end.service.as_secs_f64());
        }
        if used {
            self.adapt(cfg);
        }
    }

    /// Moves the limit half of the way to its target in each round of requests.
    ///
    /// The target is the limit scaled by how far requests are stretched beyond what is tolerated,
    /// plus room for one more. The limit doubles in each round until requests are first stretched.
    fn adapt(&mut self, cfg: &AdmissionConfig) {
        let tolerated = self.service * cfg.max_latency_ratio + STRETCH_FLOOR.as_secs_f64();
        let gradient = if self.service > 0.0 {
            (tolerated / self.latency).clamp(GRADIENT_MIN, 1.0)
        } else {
            1.0
        };
        self.settled |= gradient < 1.0;
        let step = if self.settled {
            let target = self.limit * gradient + HEADROOM;
            (target - self.limit) / (2.0 * self.limit)
        } else {
            1.0
        };
        let limit = self.limit + step;
        self.limit = limit.clamp(cfg.min_limit, cfg.max_running as f64);
    }

    fn note_interval(&mut self, now: Instant) {
        if self.queue.len() == 0 {
            self.released_at = None;
            return;
        }
        if let Some(at) = self.released_at {
            let interval = now.saturating_duration_since(at).as_secs_f64();
            smooth(&mut self.interval, interval);
        }
        self.released_at = Some(now);
    }
}

fn smooth(value: &mut f64, sample: f64) {
    *value += SAMPLE_WEIGHT * (sample - *value);
}
