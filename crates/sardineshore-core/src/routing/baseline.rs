//! Simple policies that the predicted choice is measured against.

use slotmap::SlotMap;

use super::choose::below;
use super::pool::Pool;
use super::server::Server;
use super::{Policy, ServerKey};

/// Chooses a member of a pool that has some, regardless of load reports, ejection and limits.
pub(super) fn choose(
    policy: Policy,
    pool: &mut Pool,
    servers: &SlotMap<ServerKey, Server>,
    draw: u64,
) -> ServerKey {
    let random = below(draw, pool.members.len());
    match policy {
        Policy::RoundRobin => in_turn(pool),
        Policy::LeastInFlight => least_in_flight(pool, servers, random),
        Policy::Random | Policy::Predicted => pool.members[random],
    }
}

fn in_turn(pool: &mut Pool) -> ServerKey {
    pool.turn = (pool.turn + 1) % pool.members.len();
    pool.members[pool.turn]
}

/// Ties go to the first member from a random position on.
fn least_in_flight(pool: &Pool, servers: &SlotMap<ServerKey, Server>, random: usize) -> ServerKey {
    let (before, after) = pool.members.split_at(random);
    *after
        .iter()
        .chain(before)
        .min_by_key(|key| servers[**key].in_flight)
        .expect("the pool has members")
}
