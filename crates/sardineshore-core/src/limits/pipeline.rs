//! Adaptive concurrency limit and queue of one pipeline's requests.

use std::time::{Duration, Instant};

use super::fair_queue::FairQueue;
use super::{AdmissionConfig, AdmissionRequest, Completion};
use crate::duration;

/// Weight of a new sample in smoothed values.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Lower bound of the factor by which the limit changes in one round of requests.
const MIN_GRADIENT: f64 = 0.5;
/// Requests admitted above the scaled limit, to probe whether more can run concurrently.
const PROBE_HEADROOM: f64 = 1.0;
/// Time added to the tolerated latency, whatever the service time.
const MIN_TOLERATED_EXCESS: Duration = Duration::from_millis(20);

/// Concurrency limit, queue and smoothed latencies of one pipeline.
#[derive(Debug)]
pub(super) struct PipelineLimiter {
    pub(super) queue: FairQueue,
    pub(super) running: usize,
    limit: f64,
    /// Whether latencies have exceeded the tolerated ratio once; until then the limit grows fast.
    is_settled: bool,
    last_end_at: Option<Instant>,
    /// Smoothed seconds between the ends of two requests while others were queued.
    end_interval: f64,
    /// Smoothed latency of admitted requests, in seconds.
    latency: f64,
    /// Smoothed service time on backend servers, in seconds.
    service: f64,
}

impl PipelineLimiter {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            queue: FairQueue::default(),
            running: 0,
            limit: cfg.initial_limit,
            is_settled: false,
            last_end_at: None,
            end_interval: 0.0,
            latency: 0.0,
            service: 0.0,
        }
    }

    /// Whether another request may run.
    pub(super) fn has_capacity(&self) -> bool {
        (self.running as f64) < self.limit
    }

    /// Maximum number of requests that run concurrently.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Time that a request needs to run: its estimate or the smoothed latency, whichever is longer.
    pub(super) fn time_needed(&self, request: &AdmissionRequest) -> Duration {
        request.cost_estimate.max(duration::from_secs(self.latency))
    }

    /// Expected time until a request at the end of its customer's queue runs.
    ///
    /// The shorter of two times: that of the whole queue, and that of the customer's queue served
    /// at the customer's share.
    pub(super) fn expected_wait(&self, request: &AdmissionRequest) -> Duration {
        let queued = self.queue.len() as f64;
        let own_queued = (self.queue.len_of(&request.customer) + 1) as f64;
        let share = 1.0 + self.queue.active_weight() / request.weight.max(f64::EPSILON);
        duration::from_secs(self.end_interval * queued.min(own_queued * share))
    }

    /// Records the end of a running request.
    ///
    /// A request that missed its deadline and took less than the smoothed latency is not a sample:
    /// it failed early.
    pub(super) fn record_end(
        &mut self,
        completion: &Completion,
        cfg: &AdmissionConfig,
        now: Instant,
    ) {
        let in_use = self.running as f64 >= self.limit / 2.0;
        self.running -= 1;
        self.record_interval(now);
        let latency = completion.latency.as_secs_f64();
        if !completion.in_time && latency <= self.latency {
            return;
        }
        smooth(&mut self.latency, latency);
        if completion.in_time && !completion.service.is_zero() {
            smooth(&mut self.service, completion.service.as_secs_f64());
        }
        if in_use {
            self.adapt(cfg);
        }
    }

    /// Moves the limit halfway to its target in each round of requests.
    ///
    /// The target is the limit, scaled by the ratio of the tolerated latency to the smoothed
    /// latency, plus `PROBE_HEADROOM`. Until the smoothed latency first exceeds the tolerated one,
    /// the limit doubles in each round.
    fn adapt(&mut self, cfg: &AdmissionConfig) {
        let tolerated = self.service * cfg.max_latency_ratio + MIN_TOLERATED_EXCESS.as_secs_f64();
        let gradient = if self.service > 0.0 {
            (tolerated / self.latency).clamp(MIN_GRADIENT, 1.0)
        } else {
            1.0
        };
        self.is_settled |= gradient < 1.0;
        let step = if self.is_settled {
            let target = self.limit * gradient + PROBE_HEADROOM;
            (target - self.limit) / (2.0 * self.limit)
        } else {
            1.0
        };
        let limit = self.limit + step;
        self.limit = limit.clamp(cfg.min_limit, cfg.max_running as f64);
    }

    fn record_interval(&mut self, now: Instant) {
        if self.queue.len() == 0 {
            self.last_end_at = None;
            return;
        }
        if let Some(at) = self.last_end_at {
            let end_interval = now.saturating_duration_since(at).as_secs_f64();
            smooth(&mut self.end_interval, end_interval);
        }
        self.last_end_at = Some(now);
    }
}

fn smooth(value: &mut f64, sample: f64) {
    *value += SAMPLE_WEIGHT * (sample - *value);
}
