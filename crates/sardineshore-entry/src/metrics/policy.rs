//! Metrics of routing, admission, hedges and retries.

use prometheus::{IntCounterVec, IntGauge, Registry};
use sardineshore_core::{EventKind, NoRetryReason, PoolId, RoutingNotice};

use super::{counters, gauge};

/// Metrics of routing, admission, hedges and retries.
#[derive(Debug)]
pub struct PolicyMetrics {
    hedges: IntCounterVec,
    retries: IntCounterVec,
    withheld: IntCounterVec,
    saturated: IntCounterVec,
    notices: IntCounterVec,
    not_continued: IntCounterVec,
    queued: IntGauge,
}

impl PolicyMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn new(registry: &Registry) -> Self {
        let metrics = Self {
            hedges: counters("sardine_hedges_total", "Hedges sent by pool", &["pool"]),
            retries: counters("sardine_retries_total", "Retries sent by pool", &["pool"]),
            withheld: counters(
                "sardine_retries_withheld_total",
                "Attempts without an answer that were not repeated, by pool and reason",
                &["pool", "reason"],
            ),
            saturated: counters(
                "sardine_saturated_total",
                "Waits for a pool whose servers were all at their limit, by pool",
                &["pool"],
            ),
            notices: counters(
                "sardine_routing_decisions_total",
                "Ejections and other decisions on backend servers by pool and event",
                &["pool", "event"],
            ),
            not_continued: counters(
                "sardine_stream_continuations_refused_total",
                "Continuations of streams refused for the software version, by pool and event",
                &["pool", "event"],
            ),
            queued: gauge(
                "sardine_requests_queued",
                "Requests that wait for admission",
            ),
        };
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 7] = [
            Box::new(self.hedges.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.withheld.clone()),
            Box::new(self.saturated.clone()),
            Box::new(self.notices.clone()),
            Box::new(self.not_continued.clone()),
            Box::new(self.queued.clone()),
        ];
        for collector in all {
            registry
                .register(collector)
                .expect("metric names are distinct");
        }
    }

    /// Counts a hedge.
    pub fn count_hedge(&self, pool: &PoolId) {
        self.hedges.with_label_values(&[&**pool]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, pool: &PoolId) {
        self.retries.with_label_values(&[&**pool]).inc();
    }

    /// Counts an attempt that was not retried, by reason.
    pub fn count_withheld_retry(&self, pool: &PoolId, why: NoRetryReason) {
        let reason = why.name();
        self.withheld.with_label_values(&[&**pool, reason]).inc();
    }

    /// Counts a wait for a saturated pool.
    pub fn count_saturated_wait(&self, pool: &PoolId) {
        self.saturated.with_label_values(&[&**pool]).inc();
    }

    /// Counts a decision of the router.
    pub fn count_notice(&self, notice: &RoutingNotice) {
        self.notices
            .with_label_values(&[&*notice.pool, notice.event_kind().name])
            .inc();
    }

    /// Counts a continuation of a stream that was refused for the server's software version.
    pub fn count_not_continued(&self, pool: &PoolId, event: &EventKind) {
        self.not_continued
            .with_label_values(&[&**pool, event.name])
            .inc();
    }

    /// Sets the number of requests that wait for admission.
    pub fn set_queued(&self, n: usize) {
        self.queued.set(i64::try_from(n).unwrap_or(i64::MAX));
    }
}
