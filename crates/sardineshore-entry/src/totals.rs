//! Request counts and costs since the start of the instance, for operators' queries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::{CostGrouping, CostRow, CustomerId, CustomerRow, Deployment};

use crate::job::{Job, RequestOutcome};

/// Maximum number of customers with totals.
const MAX_CUSTOMERS: usize = 32_768;

/// Totals of one instance.
#[derive(Debug, Default)]
pub struct Totals {
    customers: BTreeMap<CustomerId, CustomerTotals>,
    stages: BTreeMap<Arc<str>, Usage>,
}

#[derive(Debug, Default)]
struct CustomerTotals {
    answered: u64,
    not_run: u64,
    unknown: u64,
    usage: Usage,
}

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    attempts: u64,
    extra: u64,
    seconds: f64,
    cost: f64,
}

/// Backend time and cost rate of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptCost {
    /// Whether the attempt was a retry or a hedge.
    pub extra: bool,
    /// Time on the backend server.
    pub service: Duration,
    /// Cost per second on the backend server.
    pub rate: f64,
}

impl Usage {
    fn add(&mut self, cost: AttemptCost) {
        let seconds = cost.service.as_secs_f64();
        self.attempts += 1;
        self.extra += u64::from(cost.extra);
        self.seconds += seconds;
        self.cost += seconds * cost.rate;
    }

    fn row(self, group: Arc<str>) -> CostRow {
        CostRow {
            group,
            attempts: self.attempts,
            extra: self.extra,
            seconds: self.seconds,
            cost: self.cost,
        }
    }
}

impl Totals {
    /// Adds an attempt to the totals of its stage and customer.
    pub fn record_attempt(&mut self, job: &Job, stage: &str, cost: AttemptCost) {
        let group = format!("{}/{stage}", job.pipeline.name);
        self.stages.entry(group.into()).or_default().add(cost);
        if let Some(totals) = self.customer(&job.customer) {
            totals.usage.add(cost);
        }
    }

    /// Counts the outcome of a request for its customer.
    pub fn record_outcome(&mut self, customer: &CustomerId, outcome: &RequestOutcome) {
        let Some(totals) = self.customer(customer) else {
            return;
        };
        match outcome {
            RequestOutcome::Answered(_) => totals.answered += 1,
            RequestOutcome::NotRun { .. } => totals.not_run += 1,
            RequestOutcome::Unknown { .. } => totals.unknown += 1,
        }
    }

    /// Costs grouped by stage or customer.
    #[must_use]
    pub fn costs(&self, by: CostGrouping) -> Vec<CostRow> {
        match by {
            CostGrouping::Stage => self
                .stages
                .iter()
                .map(|(name, usage)| usage.row(name.clone()))
                .collect(),
            CostGrouping::Customer => self
                .customers
                .iter()
                .map(|(name, totals)| totals.usage.row(name.clone()))
                .collect(),
        }
    }

    /// Customers with requests on this instance, with their weights.
    #[must_use]
    pub fn customers(&self, deployment: &Deployment) -> Vec<CustomerRow> {
        let row = |(name, totals): (&CustomerId, &CustomerTotals)| CustomerRow {
            customer: name.clone(),
            weight: deployment
                .customers
                .get(name)
                .map_or(1.0, |customer| customer.weight),
            answered: totals.answered,
            not_run: totals.not_run,
            unknown: totals.unknown,
        };
        self.customers.iter().map(row).collect()
    }

    /// Totals of a customer; `None` for new customers beyond the limit, so that memory stays
    /// bounded.
    fn customer(&mut self, name: &CustomerId) -> Option<&mut CustomerTotals> {
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(name) {
            return None;
        }
        Some(self.customers.entry(name.clone()).or_default())
    }
}
