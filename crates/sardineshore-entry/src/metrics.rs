//! Metrics in the Prometheus text format.

mod policy;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

pub use policy::PolicyMetrics;

use crate::job::{Job, RequestOutcome};
use crate::reply;

/// Maximum number of customers with their own label; the others share one, so that memory stays
/// bounded.
const MAX_LABELLED_CUSTOMERS: usize = 64;
const OTHER_CUSTOMERS: &str = "other";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 6.0, 10.0,
];

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    stage_latency: HistogramVec,
    in_flight: IntGauge,
    connections: IntGauge,
    customers: Mutex<BTreeSet<String>>,
    /// Metrics of routing, admission and retries.
    pub policy: PolicyMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counters(
                "sardine_requests_total",
                "Requests by pipeline, outcome and reason",
                &["pipeline", "outcome", "reason"],
            ),
            latency: histograms(
                "sardine_request_seconds",
                "Time from arrival to the whole answer, by customer",
                &["customer"],
            ),
            attempts: counters(
                "sardine_attempts_total",
                "Attempts by stage and result",
                &["pipeline", "stage", "result"],
            ),
            stage_latency: histograms(
                "sardine_attempt_seconds",
                "Time of an attempt, by stage",
                &["pipeline", "stage"],
            ),
            in_flight: gauge("sardine_requests_in_flight", "Requests in flight"),
            connections: gauge("sardine_connections", "Open connections of callers"),
            customers: Mutex::default(),
            policy: PolicyMetrics::new(&registry),
            registry,
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let all: [Box<dyn prometheus::core::Collector>; 6] = [
            Box::new(self.requests.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.stage_latency.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.connections.clone()),
        ];
        for collector in all {
            self.registry
                .register(collector)
                .expect("metric names are distinct");
        }
    }

    /// The registry, to which other modules add their metrics.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Records the outcome and latency of a request.
    pub fn record_outcome(&self, job: &Job, finished: &RequestOutcome, latency: Duration) {
        let (outcome, reason) = match finished {
            RequestOutcome::Answered(_) => ("answered", "".into()),
            RequestOutcome::NotRun { reason, .. } => ("not-run", reply::serialized_name(reason)),
            RequestOutcome::Unknown { reason, .. } => ("unknown", reply::serialized_name(reason)),
        };
        self.requests
            .with_label_values(&[&*job.pipeline.name, outcome, &reason])
            .inc();
        let customer = self.customer_label(&job.customer);
        self.latency
            .with_label_values(&[&customer])
            .observe(latency.as_secs_f64());
    }

    /// Records the result and latency of an attempt.
    pub fn record_attempt(&self, job: &Job, stage: &str, result: &str, latency: Duration) {
        let pipeline = &*job.pipeline.name;
        self.attempts
            .with_label_values(&[pipeline, stage, result])
            .inc();
        self.stage_latency
            .with_label_values(&[pipeline, stage])
            .observe(latency.as_secs_f64());
    }

    /// Sets the gauge of requests in flight.
    pub fn set_in_flight(&self, n: usize) {
        self.in_flight.set(i64::try_from(n).unwrap_or(i64::MAX));
    }

    /// Adds to the gauge of open connections: 1 for an opened one, -1 for a closed one.
    pub fn add_connections(&self, change: i64) {
        self.connections.add(change);
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        debug_assert!(encoded.is_ok(), "encoding into memory does not fail");
        buf
    }

    fn customer_label(&self, name: &str) -> String {
        let mut known = self.customers.lock().expect("label lock poisoned");
        if known.contains(name) {
            return name.to_owned();
        }
        if known.len() >= MAX_LABELLED_CUSTOMERS {
            return OTHER_CUSTOMERS.to_owned();
        }
        known.insert(name.to_owned());
        name.to_owned()
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("a constant name is valid")
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    HistogramVec::new(opts, labels).expect("a constant name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("a constant name is valid")
}
