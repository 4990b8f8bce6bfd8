//! The backend servers of one pool, this instance's subset first, with the pool's smoothed
//! observations.

use std::time::{Duration, Instant};

use slotmap::SlotMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::estimate::Smoothed;
use super::server::Server;
use super::{AttemptReport, ServerKey};

/// Weight of a new sample in the smoothed load of other instances.
const OTHER_LOAD_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the smoothed saving by a cached prefix.
const CACHE_SAVING_WEIGHT: f64 = 0.02;
/// Share of the service time that a cached prefix is assumed to save before the first observation.
const CACHE_SAVING_PRIOR: f64 = 0.4;

/// Odd multiplier that mixes the bits of a hash into its high half.
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Members and observations of one pool.
#[derive(Debug)]
pub(super) struct Pool {
    /// Servers that accept new work; this instance's subset comes first.
    pub(super) members: Vec<ServerKey>,
    /// Hashes of the members' names, in the same order.
    pub(super) hashes: Vec<u64>,
    /// Number of leading members that make up this instance's subset.
    pub(super) subset: usize,
    /// Lowest declared cost among the members.
    pub(super) min_cost: f64,
    /// Index of the last member selected by round robin.
    pub(super) round_robin_at: usize,
    service: Smoothed,
    uncached: Smoothed,
    cache_saving: f64,
    other_load: f64,
}

/// The two members with the highest rendezvous weight for a prefix, highest first.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreferredServers {
    pub(super) first: ServerKey,
    pub(super) second: Option<ServerKey>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            hashes: Vec::new(),
            subset: 0,
            min_cost: f64::MAX,
            round_robin_at: 0,
            service: Smoothed::default(),
            uncached: Smoothed::default(),
            cache_saving: CACHE_SAVING_PRIOR,
            other_load: 0.0,
        }
    }
}

impl Pool {
    /// Replaces the members; the observations of the pool are kept.
    pub(super) fn set_members(
        &mut self,
        mut members: Vec<ServerKey>,
        servers: &SlotMap<ServerKey, Server>,
        seed: u64,
        subset_max: usize,
    ) {
        members.sort_by_key(|key| std::cmp::Reverse(subset_weight(servers[*key].hash, seed)));
        self.hashes = members.iter().map(|key| servers[*key].hash).collect();
        self.min_cost = members
            .iter()
            .map(|key| servers[*key].declared.cost)
            .fold(f64::MAX, f64::min);
        self.subset = members.len().min(subset_max);
        self.members = members;
    }

    /// Smoothed service time in seconds; `None` before the first answer.
    pub(super) fn service(&self) -> Option<f64> {
        self.service.get()
    }

    /// Smoothed number of other instances' attempts on one server.
    pub(super) fn other_load(&self) -> f64 {
        self.other_load
    }

    /// Share of the service time that a cached prefix saves.
    pub(super) fn cache_saving(&self) -> f64 {
        self.cache_saving
    }

    /// Records an answered attempt.
    pub(super) fn record_answer(&mut self, report: &AttemptReport, now: Instant) {
        let service = if report.service.is_zero() {
            report.latency
        } else {
            report.service
        };
        self.service.add(service, now);
        if report.cached_tokens == 0 {
            self.uncached.add(service, now);
        } else {
            self.update_cache_saving(service);
        }
    }

    /// Records the load of other instances on one member.
    pub(super) fn record_other_load(&mut self, load: f64) {
        self.other_load += OTHER_LOAD_WEIGHT * (load - self.other_load);
    }

    /// Members preferred for a prefix, by rendezvous hashing over the whole pool.
    pub(super) fn preferred_servers(&self, prefix: u64) -> Option<PreferredServers> {
        let prefix = xxh3_64(&prefix.to_le_bytes());
        let mut best = (0_u64, None);
        let mut second = (0_u64, None);
        for (at, hash) in self.hashes.iter().enumerate() {
            let weight = prefix_weight(*hash, prefix);
            if weight >= best.0 {
                second = best;
                best = (weight, Some(at));
            } else if weight >= second.0 {
                second = (weight, Some(at));
            }
        }
        best.1.map(|first| PreferredServers {
            first: self.members[first],
            second: second.1.map(|at| self.members[at]),
        })
    }

    fn update_cache_saving(&mut self, service: Duration) {
        let Some(uncached) = self.uncached.get().filter(|uncached| *uncached > 0.0) else {
            return;
        };
        let saved = 1.0 - service.as_secs_f64() / uncached;
        self.cache_saving += CACHE_SAVING_WEIGHT * (saved.clamp(0.0, 1.0) - self.cache_saving);
    }
}

/// Rendezvous weight of a server for an instance; those with the highest weights form its subset.
fn subset_weight(server: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&server.to_le_bytes(), seed)
}

/// Rendezvous weight of a server for a prefix, both given as hashes; the two highest are preferred
/// for the prefix.
fn prefix_weight(server: u64, prefix: u64) -> u64 {
    (server ^ prefix).wrapping_mul(MIX_MULTIPLIER)
}
