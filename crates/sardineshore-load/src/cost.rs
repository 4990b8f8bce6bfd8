//! Cost of a run by stage and by customer, queried from the entry instances.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jsonrpsee::http_client::HttpClientBuilder;
use sardineshore_core::query::merge::merge;
use sardineshore_core::{CostGrouping, CostRow, Query, QueryResponse};
use sardineshore_wire::operator::OperatorClient;
use serde::{Deserialize, Serialize};

/// Longest time for one query to one instance.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Costs by stage and by customer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Cost of each stage of each pipeline.
    pub stages: Vec<CostRow>,
    /// Cost of each customer.
    pub customers: Vec<CostRow>,
}

impl Costs {
    /// Queries the entry instances at these peer addresses (`IP:PORT`) and adds up their answers,
    /// since each instance knows only the cost of its own attempts. Fails if one does not answer.
    pub async fn fetch(instances: &[Arc<str>]) -> anyhow::Result<Self> {
        Ok(Self {
            stages: fetch_rows(instances, CostGrouping::Stage).await?,
            customers: fetch_rows(instances, CostGrouping::Customer).await?,
        })
    }

    /// Costs since `before`, an earlier result; groups without attempts since then are left out.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            stages: difference(&self.stages, &before.stages),
            customers: difference(&self.customers, &before.customers),
        }
    }
}

async fn fetch_rows(instances: &[Arc<str>], by: CostGrouping) -> anyhow::Result<Vec<CostRow>> {
    let mut parts = Vec::new();
    for addr in instances {
        let client = HttpClientBuilder::default()
            .request_timeout(TIMEOUT)
            .build(format!("http://{addr}"))?;
        let answer = client.query(Query::Cost { by }).await;
        parts.push(answer.with_context(|| format!("no costs from {addr}"))?);
    }
    match merge(parts) {
        Some(QueryResponse::Cost(rows)) => Ok(rows),
        _ => Ok(Vec::new()),
    }
}

fn difference(rows: &[CostRow], before: &[CostRow]) -> Vec<CostRow> {
    let remainder = |row: &CostRow| {
        let Some(earlier) = before.iter().find(|earlier| earlier.group == row.group) else {
            return row.clone();
        };
        CostRow {
            group: row.group.clone(),
            attempts: row.attempts.saturating_sub(earlier.attempts),
            extra: row.extra.saturating_sub(earlier.extra),
            seconds: (row.seconds - earlier.seconds).max(0.0),
            cost: (row.cost - earlier.cost).max(0.0),
        }
    };
    let was_used = |row: &CostRow| row.attempts > 0;
    rows.iter().map(remainder).filter(was_used).collect()
}
