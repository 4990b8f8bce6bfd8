//! Which instance forms the batches of which servers.
//!
//! The servers of all batch pools are divided into cells: one for each failure domain where every
//! pool has enough servers there, else one for all. Each cell has one owner among the live
//! instances, in its domain if there is one, by weighted rendezvous hashing: every instance finds the same owner without
//! agreement, and two owners for a moment cost thin batches, never a wrong answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::config::Name;

/// Servers of each pool that a failure domain has on average where it is a cell of its own; with
/// fewer, a domain would be too often without a free server.
const SERVERS_PER_DOMAIN: usize = 2;
/// Factor of the weight of an instance in the cell's own domain.
const OWN_DOMAIN: f64 = 1000.0;

/// An instance as a candidate for ownership.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerCandidate {
    /// Name of the instance.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Relative processor share.
    pub weight: f64,
}

/// Name of the cell that holds all servers.
pub const GLOBAL_CELL: &str = "";

/// Names of the cells besides [`GLOBAL_CELL`]: the failure domains that are cells of their own.
///
/// `pools` holds the failure domain of every server, by pool.
#[must_use]
pub fn domain_cells(pools: &BTreeMap<Name, Vec<Name>>) -> Vec<Name> {
    let domains: BTreeSet<&Name> = pools.values().flatten().collect();
    let enough = domains.len() * SERVERS_PER_DOMAIN;
    if pools.is_empty() || pools.values().any(|servers| servers.len() < enough) {
        return Vec::new();
    }
    let complete = |domain: &&Name| pools.values().all(|servers| servers.contains(domain));
    domains.into_iter().filter(complete).cloned().collect()
}

/// Cell of a request whose server is in `near`.
#[must_use]
pub fn home_cell(request: &str, near: &Name, cells: &[Name]) -> Name {
    if cells.contains(near) {
        return near.clone();
    }
    let count = u64::try_from(cells.len().max(1)).unwrap_or(1);
    let index = usize::try_from(xxh3_64(request.as_bytes()) % count).unwrap_or(0);
    cells
        .get(index)
        .cloned()
        .unwrap_or_else(|| GLOBAL_CELL.into())
}

/// Backlog by which another cell has to be shorter for a request that is bound to one.
const BOUND_MARGIN: Duration = Duration::from_millis(300);
/// The same for a request that any cell can serve.
const FREE_MARGIN: Duration = Duration::from_millis(60);

/// Cell of a request by prefix and load: its own, or a second one that is chosen by the request's
/// hash if that has much less to do. `backlog` gives what each cell is known to have to do.
#[must_use]
pub fn choose_cell(
    request: &str,
    near: &Name,
    cells: &[Name],
    backlog: impl Fn(&str) -> Duration,
) -> Name {
    let first = home_cell(request, near, cells);
    let others: Vec<&Name> = cells.iter().filter(|cell| **cell != first).collect();
    if others.is_empty() {
        return first;
    }
    let count = u64::try_from(others.len()).unwrap_or(1);
    let index = usize::try_from((xxh3_64(request.as_bytes()) >> 32) % count).unwrap_or(0);
    let second = others[index];
    let margin = if first == *near {
        BOUND_MARGIN
    } else {
        FREE_MARGIN
    };
    if backlog(&first) > backlog(second) + margin {
        second.clone()
    } else {
        first
    }
}

/// Candidates of a cell, the owner first.
#[must_use]
pub fn rank_owners(cell: &str, candidates: &[OwnerCandidate]) -> Vec<Name> {
    let mut ranked: Vec<(f64, &OwnerCandidate)> = candidates
        .iter()
        .map(|candidate| (score(cell, candidate), candidate))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
    ranked.into_iter().map(|(_, c)| c.name.clone()).collect()
}

fn score(cell: &str, candidate: &OwnerCandidate) -> f64 {
    let hash = xxh3_64(format!("{cell}/{}", candidate.name).as_bytes());
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    // Squared: an instance with twice the processor share is four times as likely an owner.
    let near = if *candidate.domain == *cell {
        OWN_DOMAIN
    } else {
        1.0
    };
    near * candidate.weight * candidate.weight / -unit.ln()
}
