//! Read-only answers to operators' queries about requests, backend servers and costs.

use sardineshore_core::{Query, QueryResponse};

use crate::instance::Instance;

/// Answers a query from this instance's tables; `None` if it concerns instances or versions.
#[must_use]
pub fn answer(instance: &Instance, query: &Query) -> Option<QueryResponse> {
    let now = instance.clock.now();
    let tables = &instance.tables;
    match query {
        Query::Pipelines => {
            let deployment = tables.deployment();
            Some(QueryResponse::Pipelines(
                deployment.pipelines.values().cloned().collect(),
            ))
        }
        Query::Servers { pool } => Some(QueryResponse::Servers(
            tables.router().rows(pool.as_deref(), now),
        )),
        Query::Customers => {
            let deployment = tables.deployment();
            Some(QueryResponse::Customers(
                tables.totals().customers(&deployment),
            ))
        }
        Query::Cost { by } => Some(QueryResponse::Cost(tables.totals().costs(*by))),
        Query::Explain { request } => {
            Some(QueryResponse::Explain(instance.event_log.explain(request)))
        }
        Query::Quarantine => Some(QueryResponse::Quarantine(
            instance.quarantine.rows(instance),
        )),
        Query::Instances | Query::Versions => None,
    }
}
