//! Selects the server that runs a request: by cached prompt prefix first, by load second, avoiding
//! unhealthy servers.
//!
//! [`ServerSelector::select`] estimates the cost of the request at each server of the pool and takes
//! the server with the lowest. Costs are durations; the constants below weigh their terms. Each
//! instance has a selector of its own, which learns from the instance's attempts and from the load
//! that servers report. Instances agree on the preferred server of a prompt prefix without
//! communication, by rendezvous hashing.

mod health;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::config::{Name, Server};
use super::notices::{NoticeBoard, ServerNotice, ServerRun};
use super::turns::{RateLimit, TurnSchedule};
use health::Health;

/// Time to prefill one prompt token that isn't cached.
const TOKEN_PREFILL_TIME: Duration = Duration::from_micros(24);
/// Cost of each request that waits at the server.
const WAITING_REQUEST_COST: Duration = Duration::from_millis(40);
/// Cost of full utilization (as many running requests as slots) at a server with prompts to
/// prefill; proportional to the utilization.
const FULL_LOAD_COST: Duration = Duration::from_millis(120);
/// Cost of a server in another failure domain than this instance.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(8);
/// Largest pseudo-random cost. Instances don't see each other's latest sends, so this spreads
/// requests over servers that are equal otherwise. It is less than [`CROSS_DOMAIN_COST`], so that
/// it never outweighs the failure domain.
const SPREADING_COST: Duration = Duration::from_millis(6);
/// How long a prompt part counts as cached at a server after it was last sent there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);
/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Cost of each running request, this one included, at a server that has no prompts to prefill;
/// divided by the server's slots, of which at most 4 count.
const PLAIN_REQUEST_COST: Duration = Duration::from_millis(15);
/// Cost of an error rate of 1; proportional to the error rate.
const ERROR_RATE_COST: Duration = Duration::from_millis(500);

/// Cost of prefilling a token of a shared prompt part again, in addition to [`TOKEN_PREFILL_TIME`].
const PREFIX_MISS_COST: Duration = Duration::from_micros(60);
/// Cost of a megabyte (10^6 bytes) of inputs from another failure domain.
const CROSS_DOMAIN_MB_COST: Duration = Duration::from_millis(25);

/// A part of a prompt. Prompts that begin with the same parts can share cached tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal texts have equal ids.
    pub id: Name,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Which software versions of servers can run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// All versions.
    #[default]
    Any,
    /// This version, as it began the stream that the request goes on with.
    Exactly(Name),
    /// No server: it isn't known which version began the stream.
    Unknown,
}

impl RequiredVersion {
    /// Requires the version that began a stream; `None` if it isn't known.
    #[must_use]
    pub fn of_stream(version: Option<Name>) -> Self {
        version.map_or(Self::Unknown, Self::Exactly)
    }

    fn allows(&self, server: &Server) -> bool {
        match self {
            Self::Any => true,
            Self::Exactly(version) => server.version.as_ref() == Some(version),
            Self::Unknown => false,
        }
    }
}

/// What the selection of a server for a request depends on.
#[derive(Debug, Clone, Default)]
pub struct SelectionRequest {
    /// Pool whose servers can run the request.
    pub pool: Name,
    /// Parts of the prompt in order. The last one is specific to the request, the others are shared
    /// with other requests.
    pub prompt: Vec<PromptPart>,
    /// Failure domains that store inputs of the request, each with their size in bytes.
    pub input_bytes: Vec<(Name, u64)>,
    /// Servers to exclude, as the request was already sent to them.
    pub tried: Vec<Name>,
    /// Whether servers in back-off, or silent ones, are left out even if there is no other.
    pub healthy_only: bool,
    /// Which software versions of servers can run the request.
    pub version: RequiredVersion,
    /// Software version at which the request is best run, and the cost of another one.
    pub favored_version: Option<(Name, Duration)>,
    /// Seed that differs between requests; it spreads them over servers that are equal otherwise.
    pub seed: u64,
}

impl SelectionRequest {
    fn shared_parts(&self) -> &[PromptPart] {
        &self.prompt[..self.prompt.len().saturating_sub(1)]
    }

    /// Tokens of the prompt parts that are shared with other requests.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        sum_tokens(self.shared_parts())
    }

    fn own_tokens(&self) -> u32 {
        self.prompt.last().map_or(0, |part| part.tokens)
    }

    fn tokens(&self) -> u32 {
        sum_tokens(&self.prompt)
    }
}

/// Tokens of parts of a prompt. Callers name them, so the sum may be out of range.
fn sum_tokens<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> u32 {
    let tokens = parts.into_iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

/// The server selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedServer {
    /// Id of the server.
    pub id: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: Name,
    /// Version of the server's software; `None` if it names none.
    pub version: Option<Name>,
    /// Prompt tokens that the server is expected to prefill, as they are not in its cache.
    pub uncached_tokens: u32,
}

/// How an attempt at a server ended; the health of the server follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server responded; the first byte arrived after this time.
    Answered(Duration),
    /// The server responded with an error of its own.
    Failure,
    /// The server rejected the request without running it, because it is full or draining.
    Rejected,
    /// No usable response: the connection failed or the response is invalid.
    Broken,
    /// The caller disconnected or the deadline passed; says nothing about the server.
    Abandoned,
}

/// Load of a server as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that the server runs concurrently at most.
    pub slots: u32,
}

/// A server with its load and health as this instance sees them.
#[derive(Debug)]
struct ServerState {
    server: Server,
    /// Attempts of this instance that have not ended.
    in_flight: u32,
    /// Uncached prompt tokens of these attempts that the server has not prefilled yet.
    prefill_tokens: u64,
    /// Latest load report and when it arrived.
    report: Option<(LoadReport, Instant)>,
    health: Health,
    /// Shared prompt parts sent to the server, and when each was last sent.
    recent_parts: HashMap<Name, Instant>,
}

/// Selects servers, based on the load and health of all servers of all pools.
#[derive(Debug, Default)]
pub struct ServerSelector {
    /// Failure domain of this instance.
    domain: Name,
    servers: HashMap<Name, ServerState>,
    /// Ids of each pool's servers, sorted.
    pools: HashMap<Name, Vec<Name>>,
    /// Rates that servers take from all instances together.
    limits: HashMap<Name, RateLimit>,
    /// When this instance may send to servers with such a rate.
    schedule: Option<TurnSchedule>,
    /// What servers said about themselves.
    notices: NoticeBoard,
}

impl ServerSelector {
    /// Creates a selector without servers for an instance in `domain`.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            ..Self::default()
        }
    }

    /// Replaces the list of servers. A server keeps its load, its health and its notices unless its
    /// start time differs, that is, unless it has restarted. One that has said that it leaves accepts
    /// no work, whatever its entry says.
    pub fn set_servers(&mut self, servers: Vec<Server>) {
        let listed: HashSet<Name> = servers.iter().map(|s| s.id.clone()).collect();
        let limits = &mut self.limits;
        self.servers.retain(|id, _| {
            let stays = listed.contains(id);
            if !stays {
                limits.remove(id);
            }
            stays
        });
        for mut server in servers {
            server.ready &= !self.notices.is_leaving(&server.id, server.started_ms);
            match self.servers.get_mut(&server.id) {
                Some(old) if old.server.started_ms == server.started_ms => old.server = server,
                known => {
                    if known.is_some() {
                        self.limits.remove(&server.id);
                    }
                    self.servers
                        .insert(server.id.clone(), ServerState::new(server));
                }
            }
        }
        self.pools.clear();
        for (id, state) in &self.servers {
            let pool = self.pools.entry(state.server.pool.clone()).or_default();
            pool.push(id.clone());
        }
        for ids in self.pools.values_mut() {
            ids.sort();
        }
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().map(|state| &state.server)
    }

    /// Whether a server is listed and accepts new work.
    #[must_use]
    pub fn accepts_work(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|s| s.server.ready)
    }

    /// Start time of a server that is listed and accepts new work.
    #[must_use]
    pub fn started_ms(&self, id: &str) -> Option<u64> {
        let server = &self.servers.get(id)?.server;
        server.ready.then_some(server.started_ms)
    }

    /// The listed run of a server.
    #[must_use]
    pub fn listed_run(&self, id: &Name) -> Option<ServerRun> {
        let started_ms = self.servers.get(id)?.server.started_ms;
        let id = id.clone();
        Some(ServerRun { id, started_ms })
    }

    /// Records what the run of a server to which a request was sent says about itself. A notice of an
    /// earlier run than the listed one is ignored. Returns whether it was news.
    pub fn record_notice(&mut self, run: &ServerRun, notice: ServerNotice, now: Instant) -> bool {
        let listed = self.servers.get_mut(&run.id);
        if let Some(state) = listed {
            if state.server.started_ms != run.started_ms {
                return false;
            }
            state.server.ready &= !notice.leaving;
        }
        let is_news = self.notices.record(run, notice, now);
        if is_news {
            let servers = &self.servers;
            self.notices
                .forget_unlisted(|id| servers.contains_key(id), now);
        }
        is_news
    }

    /// Whether a server has said that it shuts down.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let server = self.servers.get(id).map(|state| &state.server);
        server.is_some_and(|server| self.notices.is_leaving(id, server.started_ms))
    }

    /// Rate that a server takes from all instances together, in requests per second; `None` if it
    /// has no limit.
    #[must_use]
    pub fn limit(&self, id: &str) -> Option<f64> {
        self.limits.get(id).map(RateLimit::per_second)
    }

    /// Servers that have a rate limit.
    pub fn limited_servers(&self) -> impl Iterator<Item = &Name> {
        self.limits.keys()
    }

    /// Whether any server has a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Sets or removes the rate that a server takes from all instances together, in requests per
    /// second.
    pub fn set_limit(&mut self, id: &Name, per_second: Option<f64>) {
        match per_second {
            Some(per_second) => self
                .limits
                .entry(id.clone())
                .or_insert_with(|| RateLimit::new(id, per_second))
                .set(per_second),
            None => {
                self.limits.remove(id);
            }
        }
    }

    /// Sets when this instance may send to servers with a rate limit.
    pub fn set_schedule(&mut self, schedule: TurnSchedule) {
        self.schedule = Some(schedule);
    }

    /// Time until this instance may send a request to a server that has a rate limit or wants a pause;
    /// `None` if no such server could run it.
    #[must_use]
    pub fn next_turn(&self, request: &SelectionRequest, now: Instant) -> Option<Duration> {
        let servers = self.untried_servers(request)?;
        servers
            .filter_map(|state| self.wait(&state.server, now))
            .min()
    }

    /// Time until the first server that could run the request wants requests again; `None` if one
    /// does now, or there is none.
    #[must_use]
    pub fn pause_left(&self, request: &SelectionRequest, now: Instant) -> Option<Duration> {
        let mut first = None;
        for state in self.untried_servers(request)? {
            let until = self.paused_until(&state.server, now)?;
            first = Some(first.map_or(until, |first: Instant| first.min(until)));
        }
        first.map(|until| until.saturating_duration_since(now))
    }

    /// When a server wants requests again; `None` if it does now.
    #[must_use]
    pub fn paused_until(&self, server: &Server, now: Instant) -> Option<Instant> {
        self.notices
            .paused_until(&server.id, server.started_ms, now)
    }

    /// Time until this instance may send to a server; `None` if it has no rate limit and wants no
    /// pause.
    fn wait(&self, server: &Server, now: Instant) -> Option<Duration> {
        let pause = self.paused_until(server, now);
        let pause = pause.map(|until| until.saturating_duration_since(now));
        let limit = self.limits.get(&server.id).zip(self.schedule.as_ref());
        pause.max(limit.map(|(limit, schedule)| limit.next_turn(schedule, now)))
    }

    /// Requests per second that this instance may send if all servers that could run the request have
    /// a rate limit, want a pause or are saturated; `None` if one does not, or none has a limit.
    #[must_use]
    pub fn limited_rate(&self, request: &SelectionRequest, now: Instant) -> Option<f64> {
        let schedule = self.schedule?;
        let mut rate = 0.0;
        for state in self.untried_servers(request)? {
            if self.paused_until(&state.server, now).is_some() {
                continue;
            }
            match self.limits.get(&state.server.id) {
                Some(limit) => rate += limit.rate(),
                None if state.is_saturated(now) => {}
                None => return None,
            }
        }
        (rate > 0.0).then(|| rate / schedule.instances.max(1) as f64)
    }

    /// Servers of the request's pool that are ready, were not tried and have a version that can run it.
    fn untried_servers<'a>(
        &'a self,
        request: &'a SelectionRequest,
    ) -> Option<impl Iterator<Item = &'a ServerState>> {
        let ids = self.pools.get(&request.pool)?;
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        Some(servers.filter(|s| {
            s.server.ready
                && !request.tried.contains(&s.server.id)
                && request.version.allows(&s.server)
        }))
    }

    /// Selects the server of the pool with the lowest cost for a request; `None` if no server is
    /// ready that was not tried, has a turn and wants no pause. Servers in back-off are selected only
    /// if no other is left.
    #[must_use]
    pub fn select(&self, request: &SelectionRequest, now: Instant) -> Option<SelectedServer> {
        // Servers without a rate limit can't take all that others don't.
        let spills = self.schedule.is_some()
            && (self.untried_servers(request)?).any(|s| self.limits.contains_key(&s.server.id));
        let servers: Vec<&ServerState> = self
            .untried_servers(request)?
            .filter(|s| self.wait(&s.server, now).is_none_or(|wait| wait.is_zero()))
            .filter(|s| !spills || !s.is_saturated(now))
            .collect();
        let available: Vec<&ServerState> = servers
            .iter()
            .copied()
            .filter(|s| s.health.accepts_work(now, s.in_flight))
            .collect();
        let candidates = if available.is_empty() && !request.healthy_only {
            servers
        } else {
            available
        };
        let preferred = preferred_server(request, &candidates);
        candidates
            .into_iter()
            .map(|state| {
                let is_preferred = preferred.as_ref() == Some(&state.server.id);
                let uncached_tokens = state.uncached_tokens(request, is_preferred, now);
                let cross_domain_bytes = state.cross_domain_bytes(request);
                let missed_tokens = uncached_tokens - request.own_tokens().min(uncached_tokens);
                let request_cost = PREFIX_MISS_COST.as_secs_f64() * f64::from(missed_tokens)
                    + CROSS_DOMAIN_MB_COST.as_secs_f64() * cross_domain_bytes as f64 / 1e6
                    + version_cost(request, &state.server).as_secs_f64()
                    + SPREADING_COST.as_secs_f64() * uniform_hash(&state.server.id, request.seed);
                (
                    self.cost(state, uncached_tokens, now) + request_cost,
                    uncached_tokens,
                    state,
                )
            })
            .min_by(|a, b| {
                a.0.total_cmp(&b.0)
                    .then_with(|| a.2.server.id.cmp(&b.2.server.id))
            })
            .map(|(_, uncached_tokens, state)| SelectedServer {
                id: state.server.id.clone(),
                address: state.server.address,
                domain: state.server.domain.clone(),
                version: state.server.version.clone(),
                uncached_tokens,
            })
    }

    /// Records that a request is being sent to a server.
    pub fn record_start(
        &mut self,
        server: &SelectedServer,
        request: &SelectionRequest,
        now: Instant,
    ) {
        if let Some((limit, schedule)) = self.limits.get_mut(&server.id).zip(self.schedule) {
            limit.record_send(&schedule, now);
        }
        if let Some(state) = self.servers.get_mut(&server.id) {
            state.in_flight += 1;
            state.prefill_tokens += u64::from(server.uncached_tokens);
            for part in request.shared_parts() {
                state.recent_parts.insert(part.id.clone(), now);
            }
            if state.recent_parts.len() > RECENT_PARTS_BEFORE_CLEANUP {
                state
                    .recent_parts
                    .retain(|_, at| now.duration_since(*at) < PREFIX_CACHE_TTL);
            }
        }
    }

    /// Records that a server has finished the prefill of a request's prompt.
    pub fn record_prefill(&mut self, server: &SelectedServer) {
        if let Some(state) = self.servers.get_mut(&server.id) {
            state.prefill_tokens = state
                .prefill_tokens
                .saturating_sub(u64::from(server.uncached_tokens));
        }
    }

    /// Records the end of an attempt. `prefill_done` tells whether [`Self::record_prefill`] was
    /// called for it.
    pub fn record_end(
        &mut self,
        server: &SelectedServer,
        prefill_done: bool,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        if !prefill_done {
            self.record_prefill(server);
        }
        if let Some(state) = self.servers.get_mut(&server.id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if outcome == AttemptOutcome::Broken {
                state.recent_parts.clear();
            }
            state.health.record(outcome, now);
        }
    }

    /// Records that a server is silent in the middle of a response.
    pub fn record_silence(&mut self, id: &str, now: Instant) {
        if let Some(state) = self.servers.get_mut(id) {
            state.health.record_silence(now);
        }
    }

    /// Records the load that a server reports.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now: Instant) {
        if let Some(state) = self.servers.get_mut(id) {
            state.report = Some((report, now));
        }
    }

    /// Number of servers that could run the request and are not in back-off.
    #[must_use]
    pub fn usable_servers(&self, request: &SelectionRequest, now: Instant) -> usize {
        self.untried_servers(request).map_or(0, |servers| {
            servers.filter(|s| s.health.is_usable(now)).count()
        })
    }

    /// Cost of a request at a server due to load, distance and health; `uncached_tokens` are those
    /// of the request itself.
    fn cost(&self, state: &ServerState, uncached_tokens: u32, now: Instant) -> f64 {
        let has_prefill = uncached_tokens > 0 || state.prefill_tokens > 0;
        let report = state.fresh_report(now);
        let waiting = report.map_or(0, |r| r.waiting);
        let running = report.map_or(0, |r| r.running).max(state.in_flight);
        let tokens = state.prefill_tokens + u64::from(uncached_tokens);
        let mut cost = TOKEN_PREFILL_TIME.as_secs_f64() * tokens as f64;
        cost += WAITING_REQUEST_COST.as_secs_f64() * f64::from(waiting);
        let slots = f64::from(state.server.slots.max(1));
        if has_prefill {
            cost += FULL_LOAD_COST.as_secs_f64() * f64::from(running) / slots;
            cost += OVERLOAD_COST.as_secs_f64() * (f64::from(running) / slots - 0.9).max(0.0);
        } else {
            cost += PLAIN_REQUEST_COST.as_secs_f64() * (f64::from(running) + 1.0) / slots.min(4.0);
        }
        if state.server.domain != self.domain {
            cost += CROSS_DOMAIN_COST.as_secs_f64();
        }
        cost * state.health.slowdown()
            + ERROR_RATE_COST.as_secs_f64() * state.health.error_rate(now)
    }
}

/// Cost of a utilization (running requests per slot) that is 1 above 0.9, at a server with prompts
/// to prefill; proportionally less below that and 0 up to 0.9.
const OVERLOAD_COST: Duration = Duration::from_secs(5);
/// Share of a server's slots from which on it gets no requests that other servers with a rate limit
/// don't take.
const SATURATED_UTILIZATION: f64 = 0.6;
/// Number of recent prompt parts of a server above which the expired ones are removed.
const RECENT_PARTS_BEFORE_CLEANUP: usize = 512;

impl ServerState {
    fn new(server: Server) -> Self {
        Self {
            server,
            in_flight: 0,
            prefill_tokens: 0,
            report: None,
            health: Health::default(),
            recent_parts: HashMap::new(),
        }
    }

    /// Whether its latest report shows that it has as much to do as it can well work on.
    fn is_saturated(&self, now: Instant) -> bool {
        let slots = f64::from(self.server.slots.max(1));
        self.fresh_report(now).is_some_and(|report| {
            report.waiting > 0 || f64::from(report.running) >= SATURATED_UTILIZATION * slots
        })
    }

    /// Latest load report, unless it is too old.
    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.duration_since(*at) < MAX_REPORT_AGE)
            .map(|(report, _)| report)
    }

    /// Bytes of the request's inputs that the server would fetch from other failure domains.
    fn cross_domain_bytes(&self, request: &SelectionRequest) -> u64 {
        let cross_domain = request
            .input_bytes
            .iter()
            .filter(|(d, _)| *d != self.server.domain);
        cross_domain.map(|(_, bytes)| *bytes).sum()
    }

    /// Prompt tokens that the server would have to prefill. A part counts as cached only if all
    /// parts before it do; at the preferred server all shared parts count as cached.
    fn uncached_tokens(&self, request: &SelectionRequest, is_preferred: bool, now: Instant) -> u32 {
        let cached = request.shared_parts().iter().take_while(|part| {
            is_preferred
                || self
                    .recent_parts
                    .get(&part.id)
                    .is_some_and(|at| now.duration_since(*at) < PREFIX_CACHE_TTL)
        });
        request.tokens() - sum_tokens(cached)
    }
}

/// Cost of a server whose version is not the favored one.
fn version_cost(request: &SelectionRequest, server: &Server) -> Duration {
    match &request.favored_version {
        Some((version, cost)) if server.version.as_ref() != Some(version) => *cost,
        _ => Duration::ZERO,
    }
}

/// Pseudo-random number from 0 to 1 that depends only on server and seed.
fn uniform_hash(server: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(server.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Server that all instances prefer for a prompt prefix: the one with the highest hash of prefix
/// and server id. `None` if the prompt has no shared part.
fn preferred_server(request: &SelectionRequest, servers: &[&ServerState]) -> Option<Name> {
    let prefix = request.shared_parts().last()?;
    servers
        .iter()
        .max_by_key(|s| xxh3_64(format!("{}/{}", prefix.id, s.server.id).as_bytes()))
        .map(|s| s.server.id.clone())
}
