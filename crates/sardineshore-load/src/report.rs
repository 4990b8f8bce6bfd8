//! Results of a run: outcomes, attainment, goodput, latency percentiles and fairness.
//!
//! Attainment is the share of requests that were answered completely within their deadline.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use sardineshore_wire::audit_log::CallRecord;
use serde::{Deserialize, Serialize};

use crate::cost::Costs;
use crate::run::RunResult;

/// Upper bound of the latency histogram, in microseconds; longer latencies count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How closely a run kept to its schedule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pacing {
    /// Requests that started more than 20 ms after they were due.
    pub late: u64,
    /// Longest time between when a request was due and when it started, in milliseconds.
    pub max_lag_ms: u64,
    /// Number of waits for another request to end, because too many were in flight.
    pub waits: u64,
}

/// Results of a whole run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: Arc<str>,
    /// Seed of the schedule.
    pub seed: u64,
    /// Time from the start of the run until the last outcome, in seconds.
    pub seconds: f64,
    /// How closely the schedule was kept.
    pub pacing: Pacing,
    /// All requests.
    pub total: Group,
    /// Requests by pipeline.
    pub pipelines: Vec<Group>,
    /// Requests by customer.
    pub customers: Vec<Group>,
    /// Requests that were not answered, by outcome and reason.
    pub reasons: Vec<ReasonCount>,
    /// Jain's fairness index of the customers' attainment; 1 if all have the same.
    pub fairness: f64,
    /// Cost by stage and customer, if the entry instances were queried for it.
    pub costs: Option<Costs>,
}

/// Results of a group of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the pipeline or customer, or `total`.
    pub name: Arc<str>,
    /// Number of requests.
    pub offered: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were answered completely within their deadline.
    pub in_time: u64,
    /// Requests whose outcome was `not-run`.
    pub not_run: u64,
    /// Requests whose outcome was `unknown`.
    pub unknown: u64,
    /// Requests that got no reply.
    pub no_reply: u64,
    /// Number of retries: sends beyond the first of each request.
    pub repeats: u64,
    /// Share of requests that were answered completely within their deadline, from 0 to 1.
    pub attainment: f64,
    /// Requests per second that were answered completely within their deadline.
    pub goodput: f64,
    /// Latency of the answered requests, counted from when they were due.
    pub latency: Percentiles,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Number of requests with one outcome and reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// `not-run`, `unknown` or `no-reply`.
    pub outcome: Arc<str>,
    /// Reason of the outcome.
    pub reason: Arc<str>,
    /// Number of requests.
    pub requests: u64,
}

impl Report {
    /// Computes the report of a run, without costs.
    #[must_use]
    pub fn new(workload: &Arc<str>, seed: u64, result: &RunResult) -> Self {
        let calls = &result.calls;
        let customers = groups(calls, result.elapsed, |call| call.customer.clone());
        let attainments: Vec<f64> = customers.iter().map(|group| group.attainment).collect();
        Self {
            workload: workload.clone(),
            seed,
            seconds: result.elapsed.as_secs_f64(),
            pacing: result.pacing,
            total: group("total".into(), calls, result.elapsed),
            pipelines: groups(calls, result.elapsed, |call| call.pipeline.clone()),
            fairness: jain_index(&attainments),
            customers,
            reasons: count_reasons(calls),
            costs: None,
        }
    }

    /// Adds the costs of the run.
    #[must_use]
    pub fn with_costs(mut self, costs: Option<Costs>) -> Self {
        self.costs = costs;
        self
    }
}

/// Jain's fairness index of non-negative shares, from 1/n to 1; 1 if there are none.
#[must_use]
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Histogram of the answered requests' latency in microseconds.
///
/// # Panics
///
/// Never: the bounds are constant and valid.
#[must_use]
pub fn latency_histogram<'a>(calls: impl IntoIterator<Item = &'a CallRecord>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid");
    for call in calls {
        if &*call.outcome == "answered" {
            histogram.saturating_record(call.latency_us);
        }
    }
    histogram
}

fn groups(
    calls: &[CallRecord],
    elapsed: Duration,
    key: impl Fn(&CallRecord) -> Arc<str>,
) -> Vec<Group> {
    let mut by_key: BTreeMap<Arc<str>, Vec<CallRecord>> = BTreeMap::new();
    for call in calls {
        by_key.entry(key(call)).or_default().push(call.clone());
    }
    let group = |(name, calls): (Arc<str>, Vec<CallRecord>)| group(name, &calls, elapsed);
    by_key.into_iter().map(group).collect()
}

fn group(name: Arc<str>, calls: &[CallRecord], elapsed: Duration) -> Group {
    let count = |outcome: &str| calls.iter().filter(|it| &*it.outcome == outcome).count() as u64;
    let offered = calls.len() as u64;
    let in_time = calls.iter().filter(|call| call.in_time).count() as u64;
    let sends: u64 = calls.iter().map(|call| u64::from(call.sends)).sum();
    Group {
        name,
        offered,
        answered: count("answered"),
        in_time,
        not_run: count("not-run"),
        unknown: count("unknown"),
        no_reply: count("no-reply"),
        repeats: sends - offered,
        attainment: in_time as f64 / offered.max(1) as f64,
        goodput: in_time as f64 / elapsed.as_secs_f64().max(f64::EPSILON),
        latency: percentiles(&latency_histogram(calls)),
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}

fn count_reasons(calls: &[CallRecord]) -> Vec<ReasonCount> {
    let mut counts: BTreeMap<(Arc<str>, Arc<str>), u64> = BTreeMap::new();
    for call in calls.iter().filter(|call| &*call.outcome != "answered") {
        let key = (call.outcome.clone(), call.reason.clone());
        *counts.entry(key).or_default() += 1;
    }
    let count = |((outcome, reason), requests)| ReasonCount {
        outcome,
        reason,
        requests,
    };
    counts.into_iter().map(count).collect()
}
