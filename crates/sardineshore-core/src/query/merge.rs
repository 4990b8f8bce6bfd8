//! Merges the responses of several instances, each of which holds only its own part of the rows.

use std::collections::BTreeMap;

use crate::{CostRow, CustomerRow, Query, QueryResponse};

/// Whether each instance holds only a part of the rows, so that all must be queried.
#[must_use]
pub fn needs_merge(query: &Query) -> bool {
    matches!(
        query,
        Query::Customers | Query::Cost { .. } | Query::Explain { .. }
    )
}

/// Merges the responses: events in the order of their times, counters summed. `None` without
/// responses.
#[must_use]
pub fn merge(parts: Vec<QueryResponse>) -> Option<QueryResponse> {
    parts.into_iter().reduce(merge_two)
}

fn merge_two(first: QueryResponse, second: QueryResponse) -> QueryResponse {
    match (first, second) {
        (QueryResponse::Explain(mut events), QueryResponse::Explain(more)) => {
            events.extend(more);
            events.sort_by_key(|event| event.at_ms);
            QueryResponse::Explain(events)
        }
        (QueryResponse::Cost(rows), QueryResponse::Cost(more)) => {
            QueryResponse::Cost(sum_costs(rows, more))
        }
        (QueryResponse::Customers(rows), QueryResponse::Customers(more)) => {
            QueryResponse::Customers(sum_customers(rows, more))
        }
        (first, _) => first,
    }
}

fn sum_costs(rows: Vec<CostRow>, more: Vec<CostRow>) -> Vec<CostRow> {
    let mut sums = BTreeMap::new();
    for row in rows.into_iter().chain(more) {
        let group = row.group.clone();
        let sum = sums.entry(group.clone()).or_insert(CostRow {
            group,
            attempts: 0,
            extra: 0,
            seconds: 0.0,
            cost: 0.0,
        });
        sum.attempts += row.attempts;
        sum.extra += row.extra;
        sum.seconds += row.seconds;
        sum.cost += row.cost;
    }
    sums.into_values().collect()
}

fn sum_customers(rows: Vec<CustomerRow>, more: Vec<CustomerRow>) -> Vec<CustomerRow> {
    let mut sums = BTreeMap::new();
    for row in rows.into_iter().chain(more) {
        let customer = row.customer.clone();
        let sum = sums.entry(customer.clone()).or_insert(CustomerRow {
            customer,
            weight: row.weight,
            answered: 0,
            not_run: 0,
            unknown: 0,
        });
        sum.answered += row.answered;
        sum.not_run += row.not_run;
        sum.unknown += row.unknown;
    }
    sums.into_values().collect()
}
