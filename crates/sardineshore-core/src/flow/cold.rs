//! Cold servers: which servers are cold until when, and whether this instance may send to one now.
//!
//! A server is cold for some seconds after its start, and may turn cold again at any time. It then
//! sustains only a low rate, which all instances share by turns, see [`super::turns`]. Servers tell in
//! their entries how much longer they are cold.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::flow::cold::{ColdBound, ColdSpec};
//!
//! let spec = ColdSpec { start: Duration::from_secs(3), per_second: 10.0 };
//! let turn = spec.shared_turn(ColdBound::default());
//! assert!(turn.rate() <= 10.0);
//! ```

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::config::{Name, Server};
use super::turns::{SharedLimit, SharedTurn, TurnSharing};
use crate::duration;

/// Shortest turn at a cold server. Instances with one or two requests per second would miss most of
/// shorter ones; in longer ones, more requests could arrive at once.
const MIN_TURN: Duration = Duration::from_millis(500);
/// Lists of instances of which each may make another set of instances hold a turn without the bound being
/// exceeded: while the list changes, or as far as some instances are cut off, there are two.
const INSTANCE_LISTS: f64 = 2.0;
/// Rate at which a server with a lower one still gets requests, in requests per second; a turn would
/// take too long otherwise.
const MIN_RATE: f64 = 0.25;
/// Share of a pool's servers up to which they are too few to serve all failure domains whose own servers
/// are cold.
const MIN_WARM_SHARE: f64 = 0.2;
/// Longest time that one entry keeps a server cold. Entries are written about every second, so a longer
/// time is an error.
const MAX_REMAINING: Duration = Duration::from_secs(60);
/// Longest time for which a turn is looked for.
const MAX_SEARCH: Duration = Duration::from_secs(30);
/// Difference from which on a later end of the cold state is reported.
const MIN_REPORTED_CHANGE: Duration = Duration::from_millis(500);

/// How long the servers of a pool are cold, and what they take until then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a server is cold after its start.
    pub start: Duration,
    /// Rate that a cold server sustains, in requests per second; more than 0.
    pub per_second: f64,
}

/// Most requests that a cold server may get in any one second from all instances together: `overage`
/// times the rate that it sustains, and `slack` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate that a cold server sustains.
    pub overage: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdSpec {
    /// The turns at a cold server. Their requests stay within the bound in any one second, which may
    /// touch one turn more than it is long, also if two sets of instances hold each turn; on average
    /// they don't exceed the rate that the server sustains.
    #[must_use]
    pub fn shared_turn(&self, bound: ColdBound) -> SharedTurn {
        let rate = self.per_second.max(MIN_RATE);
        let touched_turns = (1.0 / MIN_TURN.as_secs_f64()).ceil() + 1.0;
        let allowed = (bound.overage * rate + bound.slack) / (touched_turns * INSTANCE_LISTS);
        let sustained = rate * MIN_TURN.as_secs_f64();
        let most = allowed.min(sustained);
        let more = (2..=u16::MAX).take_while(|requests| f64::from(*requests) <= most);
        let requests = more.last().unwrap_or(1);
        let length = duration::from_secs(f64::from(requests) / rate);
        SharedTurn {
            length: length.max(MIN_TURN),
            requests: requests.into(),
        }
    }
}

/// A change of what is known about a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ColdChange {
    /// The server is cold, or stays so for longer than was known.
    Cold {
        /// Id of the server.
        id: Name,
        /// How much longer it is cold.
        remaining: Duration,
        /// Why it counts as cold.
        cause: ColdCause,
    },
    /// The server is no longer cold.
    Warm {
        /// Id of the server.
        id: Name,
    },
}

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// Its entry says so.
    Entry,
    /// It has just appeared, and its entry says nothing.
    Start,
    /// Its failure domain has returned.
    Domain,
}

impl ColdCause {
    /// Name for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Start => "start",
            Self::Domain => "domain returned",
        }
    }
}

/// What is known about one listed server.
#[derive(Debug)]
struct ServerState {
    pool: Name,
    domain: Name,
    started_ms: u64,
    /// Until when it is cold, and why.
    cold_until: Option<(Instant, ColdCause)>,
    limit: SharedLimit,
    /// End of the cold state that was reported last; `None` if the server was reported as warm.
    reported_until: Option<Instant>,
}

/// Cold servers of all pools.
#[derive(Debug, Default)]
pub struct ColdServers {
    bound: ColdBound,
    specs: HashMap<Name, (ColdSpec, SharedTurn)>,
    /// All listed servers.
    servers: HashMap<Name, ServerState>,
    /// Whether the list of servers was read.
    was_read: bool,
    /// Failure domains all of whose servers have left the list.
    lost_domains: HashSet<Name>,
    /// Failure domains that have returned since, and when.
    returned_domains: HashMap<Name, Instant>,
    sharing: Option<TurnSharing>,
    /// Pools of whose servers too few are warm.
    few_warm: HashSet<Name>,
}

impl ColdServers {
    /// Sets the bound on the requests that a cold server may get.
    pub fn set_bound(&mut self, bound: ColdBound) {
        self.bound = bound;
        for (spec, turn) in self.specs.values_mut() {
            *turn = spec.shared_turn(bound);
        }
    }

    /// Replaces what is known of the pools: servers of other pools are never cold.
    pub fn set_specs(&mut self, specs: impl IntoIterator<Item = (Name, ColdSpec)>) {
        let bound = self.bound;
        let with_turn = |(pool, spec): (Name, ColdSpec)| (pool, (spec, spec.shared_turn(bound)));
        self.specs = specs.into_iter().map(with_turn).collect();
    }

    /// Sets how this instance shares turns with the others.
    pub fn set_sharing(&mut self, sharing: TurnSharing, now: Instant) {
        self.sharing = Some(sharing);
        let has_few_warm = |pool: &&Name| {
            let in_pool = self
                .servers
                .iter()
                .filter(|(_, state)| state.pool == **pool);
            let (cold, warm): (Vec<_>, Vec<_>) = in_pool.partition(|(id, _)| self.is_cold(id, now));
            warm.len() as f64 <= MIN_WARM_SHARE * (cold.len() + warm.len()) as f64
        };
        self.few_warm = (self.specs.keys()).filter(has_few_warm).cloned().collect();
    }

    /// Whether this instance's turns are in step with those of the others. If not, nothing should be
    /// sent to a cold server while others are available.
    #[must_use]
    pub fn has_common_turns(&self) -> bool {
        self.sharing.as_ref().is_some_and(TurnSharing::is_common)
    }

    /// Records what was read from the list of servers: those of its entries that are new or were written
    /// again. `is_listed` tells which servers the list has now.
    ///
    /// An entry that says 0 ends the cold state. One that says nothing makes a server cold that has just
    /// appeared, or has restarted, since the list was first read.
    pub fn record_reading<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a Server>,
        is_listed: impl Fn(&Name) -> bool,
        now: Instant,
    ) {
        let mut domains: HashSet<Name> = HashSet::new();
        self.servers.retain(|id, state| {
            domains.insert(state.domain.clone());
            is_listed(id)
        });
        for entry in entries {
            self.record_entry(entry, now);
        }
        for state in self.servers.values() {
            domains.remove(&state.domain);
        }
        self.lost_domains.extend(domains);
        self.was_read = true;
    }

    fn record_entry(&mut self, entry: &Server, now: Instant) {
        let known = self.servers.remove(&entry.id);
        let is_known = known
            .as_ref()
            .is_some_and(|known| known.started_ms == entry.started_ms);
        let has_appeared = self.was_read && !is_known;
        let start = self.specs.get(&entry.pool).map(|(spec, _)| spec.start);
        let known_until = known.as_ref().and_then(|known| known.cold_until);
        let mut cold_until = match entry.cold_remaining {
            Some(remaining) => Some((now + remaining.min(MAX_REMAINING), ColdCause::Entry)),
            None if has_appeared => start.map(|start| (now + start, ColdCause::Start)),
            None => known_until.filter(|_| is_known),
        };
        if has_appeared && self.lost_domains.remove(&entry.domain) {
            self.returned_domains.insert(entry.domain.clone(), now);
        }
        // The first entry of a server after its domain's return may be one that was written before.
        let returned = self.returned_domains.get(&entry.domain).zip(start);
        let returns =
            returned.is_some_and(|(at, start)| now.saturating_duration_since(*at) < start);
        if has_appeared && returns {
            cold_until = later_end(cold_until, start.map(|start| now + start));
        }
        // What was sent in the current turn counts, whatever the entry says.
        let limit = known.as_ref().map(|known| known.limit.clone());
        let state = ServerState {
            pool: entry.pool.clone(),
            domain: entry.domain.clone(),
            started_ms: entry.started_ms,
            cold_until,
            limit: limit.unwrap_or_else(|| SharedLimit::new(&entry.id)),
            reported_until: known.and_then(|known| known.reported_until),
        };
        self.servers.insert(entry.id.clone(), state);
    }

    /// Makes all servers of a failure domain that returns to service cold for the time after a start,
    /// until their next entries say something else.
    pub fn mark_domain(&mut self, domain: &Name, now: Instant) {
        let specs = &self.specs;
        let in_domain = (self.servers.values_mut()).filter(|state| state.domain == *domain);
        for state in in_domain {
            let start = specs.get(&state.pool).map(|(spec, _)| spec.start);
            state.cold_until = later_end(state.cold_until, start.map(|start| now + start));
        }
    }

    /// The server and the turns at it, if it is cold.
    fn find(&self, id: &str, now: Instant) -> Option<(&ServerState, SharedTurn)> {
        if self.specs.is_empty() {
            return None;
        }
        let state = self.servers.get(id)?;
        let (_, turn) = self.specs.get(&state.pool)?;
        let is_cold = state.cold_until.is_some_and(|(until, _)| now < until);
        is_cold.then_some((state, *turn))
    }

    /// Whether a server is cold.
    #[must_use]
    pub fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.find(id, now).is_some()
    }

    /// Number of cold servers.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        let ids = self.servers.keys();
        ids.filter(|id| self.is_cold(id, now)).count()
    }

    /// Time until this instance may send a request to a server; `None` if the server is not cold. If the
    /// time is longer than `within`, it may be too short.
    #[must_use]
    pub fn next_turn(&self, id: &str, within: Duration, now: Instant) -> Option<Duration> {
        let (state, turn) = self.find(id, now)?;
        let Some(sharing) = &self.sharing else {
            return Some(turn.length);
        };
        let within = within.min(MAX_SEARCH);
        // Instances of other domains have better servers, unless too few warm ones are left.
        let domain = Some(&state.domain).filter(|_| !self.few_warm.contains(&state.pool));
        let limit = &state.limit;
        Some(limit.next_turn(turn, sharing, domain, within, now))
    }

    /// Requests per second that all instances together may send to a server; `None` if it is not cold.
    #[must_use]
    pub fn rate(&self, id: &str, now: Instant) -> Option<f64> {
        self.find(id, now).map(|(_, turn)| turn.rate())
    }

    /// Records that this instance sends a request to a server.
    pub fn record_send(&mut self, id: &str, now: Instant) {
        let turn = self.find(id, now).map(|(_, turn)| turn);
        let state = self.servers.get_mut(id);
        if let (Some(turn), Some(state), Some(sharing)) = (turn, state, &self.sharing) {
            state.limit.record_send(turn, sharing, now);
        }
    }

    /// Changes since the last call, for the log.
    pub fn take_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (id, state) in &mut self.servers {
            let has_spec = self.specs.contains_key(&state.pool);
            let cold = state
                .cold_until
                .filter(|(until, _)| has_spec && now < *until);
            match (cold, state.reported_until) {
                (Some((until, cause)), reported)
                    if reported.is_none_or(|known| until >= known + MIN_REPORTED_CHANGE) =>
                {
                    changes.push(ColdChange::Cold {
                        id: id.clone(),
                        remaining: until.saturating_duration_since(now),
                        cause,
                    });
                    state.reported_until = Some(until);
                }
                (None, Some(_)) => {
                    changes.push(ColdChange::Warm { id: id.clone() });
                    state.reported_until = None;
                }
                _ => {}
            }
        }
        changes
    }
}

/// The later end of a cold state, if the other one is due to the return of the failure domain.
fn later_end(
    known: Option<(Instant, ColdCause)>,
    returned: Option<Instant>,
) -> Option<(Instant, ColdCause)> {
    match (known, returned) {
        (Some((until, cause)), Some(end)) if until >= end => Some((until, cause)),
        (_, Some(end)) => Some((end, ColdCause::Domain)),
        (known, None) => known,
    }
}
