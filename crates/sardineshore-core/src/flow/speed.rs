//! How fast each server works, compared with the usual server of its pool.
//!
//! [`ServerSpeeds`] learns the lasting speed of servers from attempts: from the time to the first
//! output, given the prompt tokens that were not cached, and from the time between events. What
//! servers say about this moment (the fourth figure of a load report) counts for a short time, and
//! only while attempts agree with it. Until there is clear evidence, every server counts as usual.
//!
//! All values are natural logarithms of a slowness inside: 0 is usual, `ln 2` takes twice as long.

mod estimate;
mod exchange;
mod figure;
mod pool;
mod server;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use slab::Slab;

use super::config::{Name, Server};
use crate::duration;
use estimate::Spread;
pub use exchange::{DigestKind, SpeedDigest, SpeedEntry, SpeedLink};
use figure::Figure;
pub(super) use pool::TOKEN_PREFILL_TIME;
use pool::{FIXED_TIME, PoolSpeed};
use server::{ServerSpeed, WEIGHT_STEP};

/// Uncached tokens from which on the time to the first output says something about the speed; with
/// fewer, connection and scheduling times outweigh the prefill.
const MIN_SAMPLE_TOKENS: u32 = 500;
/// Mean time between events that counts as 0; its value only decides where the trend starts.
const EVENT_TIME: Duration = Duration::from_millis(5);
/// Number of samples of a pool before its servers are compared with it.
const MIN_POOL_SAMPLES: f64 = 30.0;
/// Weight of evidence below which a server counts as usual.
const MIN_EVIDENCE: f64 = 6.0;
/// How often what follows from the evidence is computed again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a pool counts as one whose servers name figures, after one that isn't usual.
const FIGURES_TIME: Duration = Duration::from_secs(30);
/// Time over which the pace of a stream is observed.
pub const PACE_WINDOW: Duration = Duration::from_millis(80);
/// Logarithm of the slowness of a stream from which on its server counts as slow at this moment; a
/// prompt that is prefilled beside it may take as much of the server.
const SLOW_PACE: f64 = 0.5;
/// Changes that wait to be logged at most; further ones are counted only.
const MAX_CHANGES: usize = 16;
/// Age from which a slow figure isn't passed on.
const FIGURE_SHARE_AGE: Duration = Duration::from_millis(300);
/// Slow figures that are remembered to be passed on.
const MAX_SHARED_FIGURES: usize = 64;

/// Handle of a server, for look-ups without hashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeedSlot(usize);

impl Default for SpeedSlot {
    /// A handle of no server, which counts as usual.
    fn default() -> Self {
        Self(usize::MAX)
    }
}

/// Speed of a server as its costs need it; 1 is usual.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedView {
    /// How long work takes there in general.
    pub lasting: f64,
    /// How long it takes at this moment, as a factor of that.
    pub momentary: f64,
    /// Time to prefill a token at a usual server of the pool, in seconds.
    pub token_time: f64,
    /// Whether servers of the pool are known to differ, now or in general.
    pub is_uneven: bool,
}

/// Source of a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SampleKind {
    FirstOutput,
    Events,
}

/// A change of what is believed about a server or a pool, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum SpeedChange {
    /// A server's lasting speed or its share of prompt prefixes.
    Server {
        /// Id of the server.
        id: Name,
        /// Its lasting slowness; 1 is usual.
        slowness: f64,
        /// Its weight for prompt prefixes; 1 is usual.
        weight: f64,
        /// Weight of the evidence, in samples.
        samples: f64,
    },
    /// The prefill time of a pool.
    Prefill {
        /// Name of the pool.
        pool: Name,
        /// Time to prefill a token.
        token_time: Duration,
    },
    /// Whether the servers' figures of a pool agree with its attempts.
    Trust {
        /// Name of the pool.
        pool: Name,
        /// Weight of its figures, from 0 to 1.
        trust: f64,
    },
}

/// Speeds of all servers of all pools.
#[derive(Debug, Default)]
pub struct ServerSpeeds {
    servers: Slab<ServerSpeed>,
    by_id: HashMap<Name, usize>,
    by_key: HashMap<u32, usize>,
    /// All slots, in the order in which servers are told of to other instances.
    order: Vec<usize>,
    /// Servers with samples that were not passed on.
    unsent: Vec<usize>,
    pools: Vec<PoolSpeed>,
    by_pool: HashMap<Name, usize>,
    refreshed_at: Option<Instant>,
    changes: Vec<SpeedChange>,
    unlogged: u64,
    /// Servers with slow figures, when each arrived and whether an instance that submits jobs told it.
    slow_figures: VecDeque<(Instant, usize, bool)>,
}

impl ServerSpeeds {
    /// Replaces the list of servers. What is known of a server is kept unless it has restarted.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let mut kept = HashMap::new();
        for server in servers {
            let pool = self.pool_index(&server.pool);
            let known = self.by_id.remove(&server.id);
            let same_run = known.filter(|slot| {
                let known = &self.servers[*slot];
                known.started_ms == server.started_ms && known.pool == pool
            });
            let slot = match (same_run, known) {
                (Some(slot), _) => slot,
                (None, Some(slot)) => {
                    self.servers[slot] = ServerSpeed::new(server, pool);
                    slot
                }
                (None, None) => self.servers.insert(ServerSpeed::new(server, pool)),
            };
            kept.insert(server.id.clone(), slot);
        }
        for (_, slot) in self.by_id.drain() {
            self.servers.remove(slot);
        }
        self.by_id = kept;
        let keys = self.servers.iter().map(|(slot, server)| (server.key, slot));
        self.by_key = keys.collect();
        self.order = self.servers.iter().map(|(slot, _)| slot).collect();
        self.slow_figures.clear();
        let unsent = self
            .servers
            .iter()
            .filter(|(_, server)| server.unsent.1 > 0);
        self.unsent = unsent.map(|(slot, _)| slot).collect();
    }

    fn pool_index(&mut self, name: &Name) -> usize {
        if let Some(index) = self.by_pool.get(name) {
            return *index;
        }
        let index = self.pools.len();
        self.pools.push(PoolSpeed::new(name.clone()));
        self.by_pool.insert(name.clone(), index);
        index
    }

    /// Handle of a server.
    #[must_use]
    pub fn slot(&self, id: &str) -> SpeedSlot {
        self.by_id
            .get(id)
            .map_or_else(SpeedSlot::default, |slot| SpeedSlot(*slot))
    }

    /// Speed of a server for its costs.
    #[must_use]
    pub fn view(&self, slot: SpeedSlot, now: Instant) -> SpeedView {
        let Some(server) = self.servers.get(slot.0) else {
            return SpeedView {
                lasting: 1.0,
                momentary: 1.0,
                token_time: TOKEN_PREFILL_TIME.as_secs_f64(),
                is_uneven: false,
            };
        };
        let pool = &self.pools[server.pool];
        SpeedView {
            lasting: server.lasting,
            momentary: server.momentary(&self.pools, now),
            token_time: pool.token_time,
            is_uneven: pool.is_uneven,
        }
    }

    /// How long work takes at a server now, compared with the usual one of its pool; 1 is usual.
    #[must_use]
    pub fn slowness(&self, id: &str, now: Instant) -> f64 {
        let view = self.view(self.slot(id), now);
        view.lasting * view.momentary
    }

    /// Time that a server needs now to prefill `tokens`.
    #[must_use]
    pub fn prefill_time(&self, id: &str, tokens: u32, now: Instant) -> Duration {
        let view = self.view(self.slot(id), now);
        let time = view.token_time * view.lasting * view.momentary * f64::from(tokens);
        duration::from_secs(time)
    }

    /// Coarse steps of a server's weight for prompt prefixes; 0 is usual.
    #[must_use]
    pub fn weight_steps(&self, slot: SpeedSlot) -> i8 {
        self.servers.get(slot.0).map_or(0, |server| server.steps)
    }

    /// Weight of a server with these steps.
    #[must_use]
    pub fn weight(steps: i8) -> f64 {
        WEIGHT_STEP.powi(i32::from(steps))
    }

    /// Number of servers of all pools whose speed is known to differ from usual.
    #[must_use]
    pub fn evident_servers(&self) -> usize {
        self.pools.iter().map(|pool| pool.evident).sum()
    }

    /// Expected time from sending a request with this many uncached tokens to its first output, at a
    /// server of this lasting slowness. `None` while no server of the pool is known to differ.
    #[must_use]
    pub fn run_time(&self, pool: &str, tokens: u32, slowness: f64) -> Option<Duration> {
        let pool = &self.pools[*self.by_pool.get(pool)?];
        pool.run_time(tokens, slowness)
    }

    /// Records the percentage that a server named. Returns whether it is in range and counts.
    pub fn record_figure(&mut self, id: &str, percent: u32, now: Instant) -> bool {
        let Some(slot) = self.by_id.get(id).copied() else {
            return false;
        };
        let Some(figure) = Figure::new(percent, now) else {
            return false;
        };
        let server = &mut self.servers[slot];
        server.level.record(figure.ln());
        let excess = figure.excess(&server.level, now);
        server.figure = Some(figure);
        if excess != 0.0 {
            let pool = &mut self.pools[server.pool];
            pool.named_at = Some(now);
            pool.record_uneven_figure(now);
        }
        if excess > 0.0 {
            self.remember_slow(slot, false, now);
        }
        true
    }

    fn remember_slow(&mut self, slot: usize, from_submitter: bool, now: Instant) {
        if self.slow_figures.len() == MAX_SHARED_FIGURES {
            self.slow_figures.pop_front();
        }
        self.slow_figures.push_back((now, slot, from_submitter));
    }

    /// Ignores attempts at a server until a time, as it is slow for a reason that then ends.
    pub fn ignore_samples(&mut self, id: &str, until: Instant) {
        if let Some(slot) = self.by_id.get(id) {
            self.servers[*slot].ignored_until = Some(until);
        }
    }

    /// Records the time from sending a request to its first output, at a server that ran on
    /// `utilization` of its slots. Returns whether it says something about the speed.
    pub fn record_first_output(
        &mut self,
        id: &str,
        uncached_tokens: u32,
        utilization: f64,
        took: Duration,
        now: Instant,
    ) -> bool {
        if uncached_tokens < MIN_SAMPLE_TOKENS {
            return false;
        }
        let expected = TOKEN_PREFILL_TIME.as_secs_f64() * f64::from(uncached_tokens);
        let took = took.saturating_sub(FIXED_TIME).as_secs_f64();
        let ln = (took / expected).max(1e-3).ln();
        self.record_sample(id, SampleKind::FirstOutput, utilization, ln, now)
    }

    /// Records the mean time between the events of a stream.
    pub fn record_event_time(
        &mut self,
        id: &str,
        utilization: f64,
        mean: Duration,
        now: Instant,
    ) -> bool {
        let ln = (mean.as_secs_f64() / EVENT_TIME.as_secs_f64()).max(1e-3);
        self.record_sample(id, SampleKind::Events, utilization, ln.ln(), now)
    }

    /// Records the mean time between the events of a stream over the last moment. In a pool whose servers
    /// have named slow moments, it tells more often than they do when a server is slow.
    pub fn record_pace(&mut self, id: &str, utilization: f64, mean: Duration, now: Instant) {
        let Some(slot) = self.by_id.get(id).copied() else {
            return;
        };
        let server = &mut self.servers[slot];
        let pool = &mut self.pools[server.pool];
        let names_figures = pool
            .named_at
            .is_some_and(|at| now.saturating_duration_since(at) < FIGURES_TIME);
        if !names_figures || pool.events.samples() < MIN_POOL_SAMPLES {
            return;
        }
        let ln = (mean.as_secs_f64() / EVENT_TIME.as_secs_f64())
            .max(1e-3)
            .ln();
        let known = server.known(now);
        let excess = ln - pool.events.at(utilization) - known;
        let level = server.level.value();
        let is_slow = excess > SLOW_PACE;
        let is_old = server
            .figure
            .is_none_or(|figure| now.saturating_duration_since(figure.at()) > PACE_WINDOW);
        if !is_old {
            return;
        }
        if is_slow {
            server.figure = Some(Figure::observed(level + excess, now));
            pool.record_uneven_figure(now);
            self.remember_slow(slot, false, now);
        } else if server
            .figure
            .is_some_and(|figure| figure.excess(&server.level, now) > 0.0)
        {
            server.figure = Some(Figure::observed(level, now));
        }
    }

    fn record_sample(
        &mut self,
        id: &str,
        kind: SampleKind,
        utilization: f64,
        ln: f64,
        now: Instant,
    ) -> bool {
        let Some(slot) = self.by_id.get(id).copied() else {
            return false;
        };
        let server = &mut self.servers[slot];
        let pool = &mut self.pools[server.pool];
        if server.ignored_until.is_some_and(|until| now < until) {
            return false;
        }
        let utilization = utilization.clamp(0.0, 1.5);
        let trust = server.trust(pool);
        // The time between events is a mean over many moments.
        let (excess, is_named) = match (kind, &server.figure) {
            (SampleKind::FirstOutput, Some(figure)) => (
                figure.excess_at_attempt(&server.level, now),
                figure.is_named(),
            ),
            _ => (0.0, false),
        };
        let explained = if is_named { trust * excess } else { excess };
        let known = server.known(now);
        let trend = match kind {
            SampleKind::FirstOutput => &mut pool.first_output,
            SampleKind::Events => &mut pool.events,
        };
        trend.record(utilization, ln - explained - known);
        if trend.samples() < MIN_POOL_SAMPLES {
            return true;
        }
        let expected = trend.at(utilization);
        let residual = ln - explained - expected;
        pool.deviation += 0.02 * ((residual - known).abs().min(1.5) - pool.deviation);
        if is_named {
            let shown = ln - expected - known;
            figure::update_trust(&mut server.trust, &mut pool.trust, excess, shown);
        }
        if server.record(residual, now) {
            self.unsent.push(slot);
        }
        self.refresh_if_due(now);
        true
    }

    /// Computes again what follows from the evidence, at most once a second.
    pub fn refresh_if_due(&mut self, now: Instant) {
        let due = self
            .refreshed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if due {
            self.refreshed_at = Some(now);
            self.refresh(now);
        }
    }

    fn refresh(&mut self, now: Instant) {
        let mut changes = Vec::new();
        let mut spreads = vec![Spread::default(); self.pools.len()];
        for (_, server) in &self.servers {
            let (value, weight) = server.evidence(now);
            if weight >= MIN_EVIDENCE {
                spreads[server.pool].record(value);
            }
        }
        for (pool, spread) in self.pools.iter_mut().zip(spreads) {
            pool.update(spread, &mut changes);
        }
        for (_, server) in &mut self.servers {
            let pool = &mut self.pools[server.pool];
            if server.update_lasting(pool, now) {
                let (_, samples) = server.evidence(now);
                changes.push(SpeedChange::Server {
                    id: server.id.clone(),
                    slowness: server.lasting,
                    weight: Self::weight(server.steps),
                    samples,
                });
            }
            pool.evident += usize::from(server.lasting_ln != 0.0);
        }
        for pool in &mut self.pools {
            pool.update_uneven(now);
        }
        for change in changes {
            if self.changes.len() < MAX_CHANGES {
                self.changes.push(change);
            } else {
                self.unlogged += 1;
            }
        }
    }

    /// Changes since the last call, and how many further ones there were.
    pub fn take_changes(&mut self) -> (Vec<SpeedChange>, u64) {
        let unlogged = std::mem::take(&mut self.unlogged);
        (std::mem::take(&mut self.changes), unlogged)
    }
}
