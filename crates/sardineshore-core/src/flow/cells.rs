//! Divides batch servers into cells and ranks the instances as owners of a cell.
//!
//! A cell is a set of batch servers for which one instance, its owner, forms the batches. If every
//! batch pool has enough servers, each failure domain with servers of all batch pools is a cell;
//! otherwise all servers form one global cell.
//!
//! The owner of a cell is a live instance, preferably in the cell's domain, chosen by weighted
//! rendezvous hashing: every instance finds the same owner without communication. While instances
//! disagree on which of them are live, a cell may have two owners. That makes batches smaller but
//! never a result wrong.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::config::Name;

/// Servers of each pool that the failure domains need on average to be cells of their own. With
/// fewer, a domain would too often have no free server.
const MIN_SERVERS_PER_DOMAIN: usize = 2;
/// Factor for instances in the cell's own failure domain, which makes them the preferred owners.
const SAME_DOMAIN_FACTOR: f64 = 1000.0;

/// A live instance that may own cells.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerCandidate {
    /// Name of the instance.
    pub name: Name,
    /// Failure domain that the instance runs in.
    pub domain: Name,
    /// Processor share of the instance, relative to other instances; greater than 0.
    pub weight: f64,
}

/// Name of the cell that contains all servers.
pub const GLOBAL_CELL: &str = "";

/// Names of the cells that are failure domains; empty if only [`GLOBAL_CELL`] is in use.
///
/// `pools` holds, for each batch pool, the failure domain of every server.
#[must_use]
pub fn domain_cells(pools: &BTreeMap<Name, Vec<Name>>) -> Vec<Name> {
    let domains: BTreeSet<&Name> = pools.values().flatten().collect();
    let min_servers = domains.len() * MIN_SERVERS_PER_DOMAIN;
    if pools.is_empty() || pools.values().any(|servers| servers.len() < min_servers) {
        return Vec::new();
    }
    let has_all_pools = |domain: &&Name| pools.values().all(|servers| servers.contains(domain));
    domains.into_iter().filter(has_all_pools).cloned().collect()
}

/// Cell that a request belongs to: the one of its preferred failure domain if that is a cell,
/// otherwise one chosen by the hash of `hash_key`.
#[must_use]
pub fn home_cell(hash_key: &str, preferred_domain: &Name, cells: &[Name]) -> Name {
    if cells.contains(preferred_domain) {
        return preferred_domain.clone();
    }
    let count = u64::try_from(cells.len().max(1)).unwrap_or(1);
    let index = usize::try_from(xxh3_64(hash_key.as_bytes()) % count).unwrap_or(0);
    cells
        .get(index)
        .cloned()
        .unwrap_or_else(|| GLOBAL_CELL.into())
}

/// How much shorter another cell's backlog must be for a request to leave its preferred domain.
const PREFERRED_DOMAIN_MARGIN: Duration = Duration::from_millis(300);
/// How much shorter another cell's backlog must be for a request whose preferred domain is not a
/// cell.
const NO_PREFERENCE_MARGIN: Duration = Duration::from_millis(60);

/// Chooses the cell for a request by prompt prefix and load: its home cell, or a second one,
/// chosen by the hash of `hash_key`, if the backlog there is much shorter.
///
/// `preferred_domain` is the failure domain of the server selected for the request's prompt prefix,
/// or empty without a preference. `backlog` returns the known backlog of a cell.
#[must_use]
pub fn choose_cell(
    hash_key: &str,
    preferred_domain: &Name,
    cells: &[Name],
    backlog: impl Fn(&str) -> Duration,
) -> Name {
    let home = home_cell(hash_key, preferred_domain, cells);
    let others: Vec<&Name> = cells.iter().filter(|cell| **cell != home).collect();
    if others.is_empty() {
        return home;
    }
    let count = u64::try_from(others.len()).unwrap_or(1);
    let index = usize::try_from((xxh3_64(hash_key.as_bytes()) >> 32) % count).unwrap_or(0);
    let alternative = others[index];
    let margin = if home == *preferred_domain {
        PREFERRED_DOMAIN_MARGIN
    } else {
        NO_PREFERENCE_MARGIN
    };
    if backlog(&home) > backlog(alternative) + margin {
        alternative.clone()
    } else {
        home
    }
}

/// Names of the candidates in the order in which they own a cell: the owner first, then those that
/// take over if the ones before are not available.
#[must_use]
pub fn rank_owners(cell: &str, candidates: &[OwnerCandidate]) -> Vec<Name> {
    let mut ranked: Vec<(f64, &OwnerCandidate)> = candidates
        .iter()
        .map(|candidate| (score(cell, candidate), candidate))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
    ranked.into_iter().map(|(_, c)| c.name.clone()).collect()
}

/// The first `count` candidates in the order of [`rank_owners`], of as many failure domains as possible: the first
/// of each domain come before the others.
#[must_use]
pub fn rank_across_domains(key: &str, candidates: &[OwnerCandidate], count: usize) -> Vec<Name> {
    let domains: HashMap<&Name, &Name> = candidates.iter().map(|c| (&c.name, &c.domain)).collect();
    let mut used = BTreeSet::new();
    let ranked = rank_owners(key, candidates);
    let (mut chosen, others): (Vec<Name>, Vec<Name>) = ranked
        .into_iter()
        .partition(|name| used.insert(domains.get(name)));
    chosen.extend(others);
    chosen.truncate(count);
    chosen
}

/// Score of a candidate in weighted rendezvous hashing; the highest score owns the cell.
fn score(cell: &str, candidate: &OwnerCandidate) -> f64 {
    let hash = xxh3_64(format!("{cell}/{}", candidate.name).as_bytes());
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let domain_factor = if *candidate.domain == *cell {
        SAME_DOMAIN_FACTOR
    } else {
        1.0
    };
    // The weight is squared: twice the processor share makes an instance four times as likely.
    domain_factor * candidate.weight * candidate.weight / -uniform.ln()
}
