//! Cost of a run by stage and by customer, as the entry instances account for it.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jsonrpsee::http_client::HttpClientBuilder;
use sardineshore_core::query::merge::merge;
use sardineshore_core::{Answer, CostBy, CostRow, Query};
use sardineshore_wire::operator::OperatorClient;
use serde::{Deserialize, Serialize};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Costs by stage and by customer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// By pipeline and stage.
    pub stages: Vec<CostRow>,
    /// By customer.
    pub customers: Vec<CostRow>,
}

impl Costs {
    /// Asks the entry instances at these peer addresses (`IP:PORT`); each knows its own part.
    pub async fn read(instances: &[Arc<str>]) -> anyhow::Result<Self> {
        Ok(Self {
            stages: ask(instances, CostBy::Stage).await?,
            customers: ask(instances, CostBy::Customer).await?,
        })
    }

    /// What was added since `before`; groups without attempts are left out.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            stages: added(&self.stages, &before.stages),
            customers: added(&self.customers, &before.customers),
        }
    }
}

async fn ask(instances: &[Arc<str>], by: CostBy) -> anyhow::Result<Vec<CostRow>> {
    let mut parts = Vec::new();
    for addr in instances {
        let client = HttpClientBuilder::default()
            .request_timeout(TIMEOUT)
            .build(format!("http://{addr}"))?;
        let answer = client.query(Query::Cost { by }).await;
        parts.push(answer.with_context(|| format!("no costs from {addr}"))?);
    }
    match merge(parts) {
        Some(Answer::Cost(rows)) => Ok(rows),
        _ => Ok(Vec::new()),
    }
}

fn added(rows: &[CostRow], before: &[CostRow]) -> Vec<CostRow> {
    let rest = |row: &CostRow| {
        let Some(old) = before.iter().find(|old| old.group == row.group) else {
            return row.clone();
        };
        CostRow {
            group: row.group.clone(),
            attempts: row.attempts.saturating_sub(old.attempts),
            extra: row.extra.saturating_sub(old.extra),
            seconds: (row.seconds - old.seconds).max(0.0),
            cost: (row.cost - old.cost).max(0.0),
        }
    };
    let spent = |row: &CostRow| row.attempts > 0;
    rows.iter().map(rest).filter(spent).collect()
}
