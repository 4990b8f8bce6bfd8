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

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use slab::Slab;

use super::config::{Name, Server};
use estimate::{Evidence, Spread, Trend};
pub use exchange::{DigestKind, SpeedDigest, SpeedEntry, SpeedLink};
use figure::{Figure, FigureLevel, TRUST_AT_START, trusted_share};

/// Time to prefill one prompt token at a usual server, until the pool shows another one.
const TOKEN_PREFILL_TIME: Duration = Duration::from_micros(24);
/// Part of the time to the first output that doesn't depend on the prompt.
const FIXED_TIME: Duration = Duration::from_millis(3);
/// Uncached tokens from which on the time to the first output says something about the speed; with
/// fewer, connection and scheduling times outweigh the prefill.
const MIN_SAMPLE_TOKENS: u32 = 500;
/// Mean time between events that counts as 0; its value only decides where the trend starts.
const EVENT_TIME: Duration = Duration::from_millis(5);
/// Number of samples of a pool before its servers are compared with it.
const MIN_POOL_SAMPLES: f64 = 30.0;
/// Number of samples of a pool before its own prefill time replaces the constant.
const MIN_PREFILL_SAMPLES: f64 = 100.0;
/// Difference from the constant, as a logarithm, below which the constant still applies.
const PREFILL_DEAD_BAND: f64 = 0.18;
/// Limits of a pool's prefill time, as a factor of the constant.
const PREFILL_FACTOR: (f64, f64) = (0.5, 4.0);
/// Difference from usual, as a logarithm, up to which a server counts as usual: one of a pool whose
/// servers seem equal, and one of a pool whose servers differ. Servers that many prompts prefer seem
/// slower by up to 0.18, as their prompts wait for each other.
const DEAD_BANDS: (f64, f64) = (0.3, 0.1);
/// Standard deviation of the servers of a pool from which on they count as different. It was 0.07 for
/// equal servers in the replay, and 0.43 for speeds from 0.7 to 1.7.
const UNEVEN_SPREAD: f64 = 0.2;
/// Weight of evidence below which a server counts as usual.
const MIN_EVIDENCE: f64 = 6.0;
/// Number of standard errors by which a server must differ from usual. With 2, one server in
/// twenty of equal ones would seem to differ.
const MIN_STANDARD_ERRORS: f64 = 2.5;
/// Limits of a lasting slowness, as a logarithm.
const MAX_LASTING: f64 = 1.2;
/// How often what follows from the evidence is computed again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a pool counts as one whose servers name figures, after one that isn't usual.
const FIGURES_TIME: Duration = Duration::from_secs(30);
/// Time over which the pace of a stream is observed.
pub const PACE_WINDOW: Duration = Duration::from_millis(80);
/// Logarithm of the slowness of a stream from which on its server counts as slow at this moment; a
/// prompt that is prefilled beside it may take as much of the server.
const SLOW_PACE: f64 = 0.5;
/// Step of the weights by which prompt prefixes are assigned, as a factor.
const WEIGHT_STEP: f64 = 1.25;
/// Distance from the present weight at which it changes, in steps; above a half, so that it
/// doesn't change back and forth.
const WEIGHT_HYSTERESIS: f64 = 0.75;
/// Largest number of steps of a weight.
const MAX_WEIGHT_STEPS: f64 = 5.0;
/// Evidence needed to change a weight: prompts have to be read again at their new server.
const MIN_WEIGHT_EVIDENCE: f64 = 8.0;
/// Shortest time between two changes of a server's weight.
const WEIGHT_DWELL: Duration = Duration::from_secs(20);
/// Changes that wait to be logged at most; further ones are counted only.
const MAX_CHANGES: usize = 16;
/// Age from which a slow figure isn't passed on.
const FIGURE_SHARE_AGE: Duration = Duration::from_millis(300);
/// Slow figures that are remembered to be passed on.
const MAX_SHARED_FIGURES: usize = 64;
/// Range of the forecast of the time to the first output.
const RUN_TIME: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(600));

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

/// What is known of one server.
#[derive(Debug)]
struct ServerSpeed {
    id: Name,
    started_ms: u64,
    /// Short identification of this run of the server, in messages.
    key: u32,
    pool: usize,
    /// Samples of this instance and of those that submit jobs to it.
    seen: Evidence,
    /// What an owner of cells knows, with this instance's samples.
    told: Evidence,
    /// Sum and number of this instance's samples that were not passed on.
    unsent: (f64, u32),
    figure: Option<Figure>,
    level: FigureLevel,
    trust: f64,
    /// Whether the evidence is clear.
    is_evident: bool,
    /// Lasting slowness: logarithm and factor.
    lasting_ln: f64,
    lasting: f64,
    /// When it was last known to differ from usual.
    differed_at: Option<Instant>,
    steps: i8,
    steps_changed_at: Option<Instant>,
}

/// What is known of a pool.
#[derive(Debug)]
struct PoolSpeed {
    name: Name,
    first_output: Trend,
    events: Trend,
    /// Mean absolute deviation of samples from what was expected.
    deviation: f64,
    trust: f64,
    logged_trust: f64,
    /// Time to prefill a token, in seconds.
    token_time: f64,
    is_calibrated: bool,
    /// Whether the servers differ by more than a few.
    is_spread: bool,
    /// Number of servers that differ.
    evident: usize,
    /// Latest time at which a server named a figure that isn't usual.
    named_at: Option<Instant>,
    /// Latest time at which a server was named or seen slow or fast for a moment.
    uneven_figure_at: Option<Instant>,
    /// Whether some server differs, or named a figure that isn't usual lately.
    is_uneven: bool,
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
    /// Servers with slow figures, when each arrived and whether an owner told it.
    slow_figures: VecDeque<(Instant, usize, bool)>,
}

impl ServerSpeed {
    fn new(server: &Server, pool: usize) -> Self {
        Self {
            id: server.id.clone(),
            started_ms: server.started_ms,
            key: exchange::server_key(&server.id, server.started_ms),
            pool,
            seen: Evidence::default(),
            told: Evidence::default(),
            unsent: (0.0, 0),
            figure: None,
            level: FigureLevel::default(),
            trust: TRUST_AT_START,
            is_evident: false,
            lasting_ln: 0.0,
            lasting: 1.0,
            differed_at: None,
            steps: 0,
            steps_changed_at: None,
        }
    }

    /// The better founded evidence; what an owner told contains this instance's samples.
    fn evidence(&self, now: Instant) -> (f64, f64) {
        let (seen, told) = (self.seen.weight(now), self.told.weight(now));
        if told > seen {
            (self.told.value(), told)
        } else {
            (self.seen.value(), seen)
        }
    }

    /// Share of figures that counts.
    fn trust(&self, pool: &PoolSpeed) -> f64 {
        trusted_share(self.trust.min(pool.trust))
    }

    /// Share of a figure that counts.
    fn trust_in(&self, figure: &Figure, pools: &[PoolSpeed]) -> f64 {
        if figure.is_named() {
            self.trust(&pools[self.pool])
        } else {
            1.0
        }
    }

    /// Slowness at this moment as a factor of the lasting one.
    fn momentary(&self, pools: &[PoolSpeed], now: Instant) -> f64 {
        let Some(figure) = &self.figure else {
            return 1.0;
        };
        let excess = figure.excess(self.level.value(), now);
        if excess == 0.0 {
            return 1.0;
        }
        (excess * self.trust_in(figure, pools)).exp()
    }
}

impl PoolSpeed {
    fn new(name: Name) -> Self {
        Self {
            name,
            first_output: Trend::default(),
            events: Trend::default(),
            deviation: 0.4,
            trust: TRUST_AT_START,
            logged_trust: 1.0,
            token_time: TOKEN_PREFILL_TIME.as_secs_f64(),
            is_calibrated: false,
            is_spread: false,
            evident: 0,
            named_at: None,
            uneven_figure_at: None,
            is_uneven: false,
        }
    }

    /// Replaces the constant by the pool's own prefill time once there is evidence. Returns whether
    /// that has changed.
    fn calibrate(&mut self) -> bool {
        let ln = self.first_output.at(0.0);
        let band = if self.is_calibrated {
            PREFILL_DEAD_BAND / 2.0
        } else {
            PREFILL_DEAD_BAND
        };
        let was = self.is_calibrated;
        self.is_calibrated = self.first_output.samples() >= MIN_PREFILL_SAMPLES && ln.abs() > band;
        let factor = if self.is_calibrated {
            ln.exp().clamp(PREFILL_FACTOR.0, PREFILL_FACTOR.1)
        } else {
            1.0
        };
        self.token_time = TOKEN_PREFILL_TIME.as_secs_f64() * factor;
        was != self.is_calibrated
    }
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
        Duration::from_secs_f64(time)
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
        if pool.evident == 0 || pool.first_output.samples() < MIN_PREFILL_SAMPLES {
            return None;
        }
        // One deviation above the mean of the logarithms: about four of five take no longer.
        let factor = (pool.first_output.mean() + pool.deviation).exp() * slowness;
        let prefill = TOKEN_PREFILL_TIME.mul_f64(f64::from(tokens) * factor);
        Some((FIXED_TIME + prefill).clamp(RUN_TIME.0, RUN_TIME.1))
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
        let excess = figure.excess(server.level.value(), now);
        server.figure = Some(figure);
        if excess != 0.0 {
            let pool = &mut self.pools[server.pool];
            pool.named_at = Some(now);
            pool.uneven_figure_at = Some(now);
            pool.is_uneven = true;
        }
        if excess > 0.0 {
            self.remember_slow(slot, false, now);
        }
        true
    }

    fn remember_slow(&mut self, slot: usize, told: bool, now: Instant) {
        if self.slow_figures.len() == MAX_SHARED_FIGURES {
            self.slow_figures.pop_front();
        }
        self.slow_figures.push_back((now, slot, told));
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
        let (value, weight) = server.evidence(now);
        let known = value * weight / (weight + 2.0);
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
            pool.uneven_figure_at = Some(now);
            pool.is_uneven = true;
            self.remember_slow(slot, false, now);
        } else if server
            .figure
            .is_some_and(|figure| figure.excess(level, now) > 0.0)
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
        let utilization = utilization.clamp(0.0, 1.5);
        let trust = server.trust(pool);
        let level = server.level.value();
        // The time between events is a mean over many moments.
        let figure = match (kind, &server.figure) {
            (SampleKind::FirstOutput, Some(figure)) => figure.at_attempt(now),
            _ => None,
        };
        let figure_trust = match &server.figure {
            Some(figure) if !figure.is_named() => 1.0,
            _ => trust,
        };
        let explained = figure.map_or(trust * level, |figure| figure_trust * figure);
        let (value, weight) = server.evidence(now);
        let known = value * weight / (weight + 2.0);
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
        if let Some(figure) = figure
            && server.figure.as_ref().is_some_and(Figure::is_named)
        {
            let unexplained = ln - expected - known - trust * level;
            figure::update_trust(
                &mut server.trust,
                &mut pool.trust,
                figure - level,
                unexplained,
            );
        }
        server.seen.record(residual, 1.0, now);
        server.unsent.0 += residual.clamp(-MAX_LASTING, MAX_LASTING);
        if server.unsent.1 == 0 {
            self.unsent.push(slot);
        }
        server.unsent.1 += 1;
        self.refresh_if_due(now);
        true
    }

    /// Computes again what follows from the evidence, at most once in [`REFRESH_INTERVAL`].
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
            let least = if pool.is_spread { 0.7 } else { 1.0 } * UNEVEN_SPREAD;
            pool.is_spread = spread.deviation() > least;
            pool.evident = 0;
            if pool.calibrate() {
                changes.push(SpeedChange::Prefill {
                    pool: pool.name.clone(),
                    token_time: Duration::from_secs_f64(pool.token_time),
                });
            }
            let trust = trusted_share(pool.trust);
            if (trust - pool.logged_trust).abs() >= 0.5 {
                pool.logged_trust = trust;
                changes.push(SpeedChange::Trust {
                    pool: pool.name.clone(),
                    trust,
                });
            }
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
            let lately = pool
                .uneven_figure_at
                .is_some_and(|at| now.saturating_duration_since(at) < Duration::from_secs(10));
            pool.is_uneven = pool.evident > 0 || lately;
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

impl ServerSpeed {
    /// Updates the lasting slowness and the weight. Returns whether the change is worth a log line.
    fn update_lasting(&mut self, pool: &PoolSpeed, now: Instant) -> bool {
        let (value, weight) = self.evidence(now);
        // The standard deviation is 1.25 times the mean absolute one for a normal distribution.
        let error = 1.25 * pool.deviation / weight.max(0.01).sqrt();
        let band = if pool.is_spread {
            DEAD_BANDS.1
        } else {
            DEAD_BANDS.0
        };
        let was_evident = self.is_evident;
        self.is_evident = if was_evident {
            weight >= 1.0 && value.abs() > band / 2.0
        } else {
            weight >= MIN_EVIDENCE && value.abs() > band.max(MIN_STANDARD_ERRORS * error)
        };
        let learned = if self.is_evident { value } else { 0.0 };
        let ln = learned + self.trust(pool) * self.level.value();
        self.lasting_ln = ln.clamp(-MAX_LASTING, MAX_LASTING);
        self.lasting = if self.lasting_ln == 0.0 {
            1.0
        } else {
            self.lasting_ln.exp()
        };
        if self.lasting_ln != 0.0 {
            self.differed_at = Some(now);
        }
        let changed = self.update_weight(weight, now);
        changed || was_evident != self.is_evident
    }

    fn update_weight(&mut self, evidence: f64, now: Instant) -> bool {
        let target = -self.lasting_ln / WEIGHT_STEP.ln();
        let founded = evidence >= MIN_WEIGHT_EVIDENCE || self.lasting_ln == 0.0;
        let dwelt = self
            .steps_changed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= WEIGHT_DWELL);
        if !founded || !dwelt || (target - f64::from(self.steps)).abs() < WEIGHT_HYSTERESIS {
            return false;
        }
        let steps = target.round().clamp(-MAX_WEIGHT_STEPS, MAX_WEIGHT_STEPS);
        #[expect(clippy::cast_possible_truncation, reason = "clamped to a few steps")]
        let steps = steps as i8;
        let changed = steps != self.steps;
        if changed {
            self.steps = steps;
            self.steps_changed_at = Some(now);
        }
        changed
    }
}
