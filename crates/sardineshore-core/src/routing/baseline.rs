//! Simple selection policies, as baselines for comparison with [`Policy::Predicted`].

use slotmap::SlotMap;

use super::pool::Pool;
use super::selector::index_below;
use super::server::Server;
use super::{Policy, ServerKey};

/// Selects a member of a non-empty pool, regardless of load reports, ejection,
/// pauses and limits.
pub(super) fn select(
    policy: Policy,
    pool: &mut Pool,
    servers: &SlotMap<ServerKey, Server>,
    random: u64,
) -> ServerKey {
    let at = index_below(random, pool.members.len());
    match policy {
        Policy::RoundRobin => round_robin(pool),
        Policy::LeastInFlight => least_in_flight(pool, servers, at),
        Policy::Random | Policy::Predicted => pool.members[at],
    }
}

fn round_robin(pool: &mut Pool) -> ServerKey {
    pool.round_robin_at = (pool.round_robin_at + 1) % pool.members.len();
    pool.members[pool.round_robin_at]
}

/// Selects the member with the fewest attempts in flight; ties go to the first one from position
/// `at` on.
fn least_in_flight(pool: &Pool, servers: &SlotMap<ServerKey, Server>, at: usize) -> ServerKey {
    let (before, after) = pool.members.split_at(at);
    *after
        .iter()
        .chain(before)
        .min_by_key(|key| servers[**key].in_flight)
        .expect("the pool has members")
}
