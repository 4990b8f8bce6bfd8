//! The backend servers of one pool, in the order in which this instance prefers them.

use std::time::{Duration, Instant};

use slotmap::SlotMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::estimate::Smoothed;
use super::server::Server;
use super::{AttemptReport, ServerKey};

/// Weight of a new sample in the smoothed load of other instances.
const OTHERS_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the smoothed saving of a cached prefix.
const SAVING_WEIGHT: f64 = 0.02;
/// Share of service that a cached prefix is assumed to save before any was seen.
const SAVING_PRIOR: f64 = 0.4;

/// Factor that spreads the bits of a hash over its high half.
const ODD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// One pool.
#[derive(Debug)]
pub(super) struct Pool {
    /// Servers that may receive new work; this instance's subset comes first.
    pub(super) members: Vec<ServerKey>,
    /// Hashes of the members' names, in the same order.
    pub(super) hashes: Vec<u64>,
    /// Number of leading members that make up this instance's subset.
    pub(super) subset: usize,
    /// Least declared cost among the members.
    pub(super) least_cost: f64,
    /// Position of the next member in turn.
    pub(super) turn: usize,
    service: Smoothed,
    uncached: Smoothed,
    saving: f64,
    others: f64,
}

/// Two members with the highest rendezvous weight for a prefix, best first.
#[derive(Debug, Clone, Copy)]
pub(super) struct Homes {
    pub(super) first: ServerKey,
    pub(super) second: Option<ServerKey>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            hashes: Vec::new(),
            subset: 0,
            least_cost: f64::MAX,
            turn: 0,
            service: Smoothed::default(),
            uncached: Smoothed::default(),
            saving: SAVING_PRIOR,
            others: 0.0,
        }
    }
}

impl Pool {
    /// Replaces the members; what was observed of the pool is kept.
    pub(super) fn adopt(
        &mut self,
        mut members: Vec<ServerKey>,
        servers: &SlotMap<ServerKey, Server>,
        seed: u64,
        subset_max: usize,
    ) {
        members.sort_by_key(|key| std::cmp::Reverse(subset_weight(servers[*key].hash, seed)));
        self.hashes = members.iter().map(|key| servers[*key].hash).collect();
        self.least_cost = members
            .iter()
            .map(|key| servers[*key].declared.cost)
            .fold(f64::MAX, f64::min);
        self.subset = members.len().min(subset_max);
        self.members = members;
    }

    /// Usual time of service in seconds, if any was observed.
    pub(super) fn service(&self) -> Option<f64> {
        self.service.get()
    }

    /// Usual number of other instances' attempts on a server.
    pub(super) fn others(&self) -> f64 {
        self.others
    }

    /// Share of service that a cached prefix saves.
    pub(super) fn saving(&self) -> f64 {
        self.saving
    }

    /// Takes in an answered attempt.
    pub(super) fn answered(&mut self, feedback: &AttemptReport, now: Instant) {
        let service = if feedback.service.is_zero() {
            feedback.latency
        } else {
            feedback.service
        };
        self.service.add(service, now);
        if feedback.cached_tokens == 0 {
            self.uncached.add(service, now);
        } else {
            self.learn_saving(service);
        }
    }

    /// Takes in the load of other instances on one member.
    pub(super) fn reported(&mut self, others: f64) {
        self.others += OTHERS_WEIGHT * (others - self.others);
    }

    /// Members that a prefix belongs to, by rendezvous hashing over the whole pool.
    pub(super) fn homes(&self, prefix: u64) -> Option<Homes> {
        let prefix = xxh3_64(&prefix.to_le_bytes());
        let mut best = (0_u64, None);
        let mut second = (0_u64, None);
        for (at, hash) in self.hashes.iter().enumerate() {
            let weight = home_weight(*hash, prefix);
            if weight >= best.0 {
                second = best;
                best = (weight, Some(at));
            } else if weight >= second.0 {
                second = (weight, Some(at));
            }
        }
        best.1.map(|first| Homes {
            first: self.members[first],
            second: second.1.map(|at| self.members[at]),
        })
    }

    fn learn_saving(&mut self, service: Duration) {
        let Some(uncached) = self.uncached.get().filter(|uncached| *uncached > 0.0) else {
            return;
        };
        let saved = 1.0 - service.as_secs_f64() / uncached;
        self.saving += SAVING_WEIGHT * (saved.clamp(0.0, 1.0) - self.saving);
    }
}

/// Weight of a server for an instance; the highest are its subset.
fn subset_weight(server: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&server.to_le_bytes(), seed)
}

/// Weight of a server for a prefix, both as hashes; the highest are the prefix's homes.
fn home_weight(server: u64, prefix: u64) -> u64 {
    (server ^ prefix).wrapping_mul(ODD_FACTOR)
}
