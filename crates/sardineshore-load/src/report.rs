//! Figures of a run: attainment, goodput, outcomes, percentiles, fairness.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use sardineshore_wire::audit_log::CallRecord;
use serde::{Deserialize, Serialize};

use crate::cost::Costs;
use crate::run::RunResult;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How well a run kept its schedule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pacing {
    /// Requests that started more than 20 ms after they were due.
    pub late: u64,
    /// Longest lag of a start, in milliseconds.
    pub max_lag_ms: u64,
    /// How often a start waited because too many requests were in flight.
    pub waits: u64,
}

/// Figures of a whole run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: Arc<str>,
    /// Seed.
    pub seed: u64,
    /// From the first request until the last outcome, in seconds.
    pub seconds: f64,
    /// How well the schedule was kept.
    pub pacing: Pacing,
    /// All requests.
    pub total: Group,
    /// Requests by pipeline.
    pub pipelines: Vec<Group>,
    /// Requests by customer.
    pub customers: Vec<Group>,
    /// Requests by outcome and reason, but for answered ones.
    pub reasons: Vec<ReasonCount>,
    /// Jain's index of the customers' attainment; 1 is even.
    pub fairness: f64,
    /// Cost by stage and customer, if the entry instances were asked.
    pub costs: Option<Costs>,
}

/// Figures of some requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Name.
    pub name: Arc<str>,
    /// Requests.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered completely within their deadline.
    pub in_time: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome the system called unknown.
    pub unknown: u64,
    /// Requests without a reply.
    pub no_reply: u64,
    /// Sends beyond the first of each request.
    pub repeats: u64,
    /// Share of requests answered completely within their deadline.
    pub attainment: f64,
    /// Such requests per second.
    pub goodput: f64,
    /// Percentiles of the answered requests' latency, counted from when they were due.
    pub latency: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 90 in 100 are at most this.
    pub p90_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// Number of requests with one outcome and reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Outcome.
    pub outcome: Arc<str>,
    /// Reason.
    pub reason: Arc<str>,
    /// Requests.
    pub requests: u64,
}

impl Report {
    /// Works out the figures of a run.
    #[must_use]
    pub fn new(workload: &Arc<str>, seed: u64, result: &RunResult) -> Self {
        let told = &result.told;
        let customers = groups(told, result.elapsed, |told| told.customer.clone());
        let attainments: Vec<f64> = customers.iter().map(|group| group.attainment).collect();
        Self {
            workload: workload.clone(),
            seed,
            seconds: result.elapsed.as_secs_f64(),
            pacing: result.pacing,
            total: group("total".into(), told, result.elapsed),
            pipelines: groups(told, result.elapsed, |told| told.pipeline.clone()),
            fairness: jain(&attainments),
            customers,
            reasons: reasons(told),
            costs: None,
        }
    }

    /// Adds what the run has cost.
    #[must_use]
    pub fn costs(mut self, costs: Option<Costs>) -> Self {
        self.costs = costs;
        self
    }
}

/// Jain's fairness index of non-negative shares, from 1/n to 1; 1 if there are none.
#[must_use]
pub fn jain(shares: &[f64]) -> f64 {
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
pub fn histogram<'a>(told: impl IntoIterator<Item = &'a CallRecord>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid");
    for told in told {
        if &*told.outcome == "answered" {
            histogram.saturating_record(told.latency_us);
        }
    }
    histogram
}

fn groups(
    told: &[CallRecord],
    elapsed: Duration,
    key: impl Fn(&CallRecord) -> Arc<str>,
) -> Vec<Group> {
    let mut by_key: BTreeMap<Arc<str>, Vec<CallRecord>> = BTreeMap::new();
    for told in told {
        by_key.entry(key(told)).or_default().push(told.clone());
    }
    let group = |(name, told): (Arc<str>, Vec<CallRecord>)| group(name, &told, elapsed);
    by_key.into_iter().map(group).collect()
}

fn group(name: Arc<str>, told: &[CallRecord], elapsed: Duration) -> Group {
    let count = |outcome: &str| told.iter().filter(|told| &*told.outcome == outcome).count() as u64;
    let offered = told.len() as u64;
    let in_time = told.iter().filter(|told| told.in_time).count() as u64;
    let sends: u64 = told.iter().map(|told| u64::from(told.sends)).sum();
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
        latency: percentiles(&histogram(told)),
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

fn reasons(told: &[CallRecord]) -> Vec<ReasonCount> {
    let mut counts: BTreeMap<(Arc<str>, Arc<str>), u64> = BTreeMap::new();
    for told in told.iter().filter(|told| &*told.outcome != "answered") {
        let key = (told.outcome.clone(), told.reason.clone());
        *counts.entry(key).or_default() += 1;
    }
    let count = |((outcome, reason), requests)| ReasonCount {
        outcome,
        reason,
        requests,
    };
    counts.into_iter().map(count).collect()
}
