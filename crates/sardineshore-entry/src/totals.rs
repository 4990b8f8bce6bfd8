//! Counts and costs since the start of the instance, for operators' queries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::{CostGrouping, CostRow, CustomerId, CustomerRow, Deployment};

use crate::job::{Job, RequestOutcome};

const MAX_CUSTOMERS: usize = 32_768;

/// Totals of one instance.
#[derive(Debug, Default)]
pub struct Totals {
    customers: BTreeMap<CustomerId, CustomerTotals>,
    stages: BTreeMap<Arc<str>, Spent>,
}

#[derive(Debug, Default)]
struct CustomerTotals {
    answered: u64,
    not_run: u64,
    unknown: u64,
    spent: Spent,
}

#[derive(Debug, Default, Clone, Copy)]
struct Spent {
    attempts: u64,
    extra: u64,
    seconds: f64,
    cost: f64,
}

/// What one attempt used.
#[derive(Debug, Clone, Copy)]
pub struct AttemptCost {
    /// Whether an earlier attempt of the same request and stage was sent.
    pub extra: bool,
    /// Time on the backend server.
    pub service: Duration,
    /// Cost of one second there.
    pub rate: f64,
}

impl Spent {
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
    /// Counts an attempt.
    pub fn attempt(&mut self, job: &Job, stage: &str, cost: AttemptCost) {
        let group = format!("{}/{stage}", job.pipeline.name);
        self.stages.entry(group.into()).or_default().add(cost);
        if let Some(totals) = self.customer(&job.customer) {
            totals.spent.add(cost);
        }
    }

    /// Counts how a request ended.
    pub fn finished(&mut self, customer: &CustomerId, finished: &RequestOutcome) {
        let Some(totals) = self.customer(customer) else {
            return;
        };
        match finished {
            RequestOutcome::Answered(_) => totals.answered += 1,
            RequestOutcome::NotRun { .. } => totals.not_run += 1,
            RequestOutcome::Unknown { .. } => totals.unknown += 1,
        }
    }

    /// Costs by stage or customer.
    #[must_use]
    pub fn costs(&self, by: CostGrouping) -> Vec<CostRow> {
        match by {
            CostGrouping::Stage => self
                .stages
                .iter()
                .map(|(name, spent)| spent.row(name.clone()))
                .collect(),
            CostGrouping::Customer => self
                .customers
                .iter()
                .map(|(name, totals)| totals.spent.row(name.clone()))
                .collect(),
        }
    }

    /// Customers seen here, with their weights.
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

    /// Totals of a customer; none once too many names were seen, so that memory stays bounded.
    fn customer(&mut self, name: &CustomerId) -> Option<&mut CustomerTotals> {
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(name) {
            return None;
        }
        Some(self.customers.entry(name.clone()).or_default())
    }
}
