//! Selects the server that runs a request: by cached prompt prefix first, by load second, avoiding
//! unhealthy servers.
//!
//! [`ServerSelector::select`] estimates the cost of the request at each server of the pool and takes
//! the server with the lowest; module `cost` weighs the terms. Each instance has a selector of its
//! own, which learns from the instance's attempts and from the load that servers report. Instances
//! agree on the preferred server of a prompt prefix without communication, by rendezvous hashing.

mod cost;
mod health;
mod request;
mod server;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::config::{Name, Server};
use super::notices::{NoticeBoard, ServerNotice, ServerRun};
use super::turns::{RateLimit, TurnSchedule};
use super::zones::{CrossingReason, PoolRoom, RoundTrips, SpilloverPrices};
pub use cost::input_transfer_cost;
use cost::{Crossing, total_cost, uniform_hash};
pub use request::{
    AttemptOutcome, LoadReport, PromptPart, RequiredVersion, SelectedServer, SelectionRequest,
};
use server::ServerState;

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
    /// Measured round trips to failure domains.
    round_trips: RoundTrips,
    prices: SpilloverPrices,
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

    /// Sets the prices of traffic between failure domains and of late responses.
    pub fn set_prices(&mut self, prices: SpilloverPrices) {
        self.prices = prices;
    }

    /// Sets the measured round trips to failure domains.
    pub fn set_round_trips(&mut self, round_trips: RoundTrips) {
        self.round_trips = round_trips;
    }

    /// Why a request goes to the domain of the server that was selected for it.
    #[must_use]
    pub fn crossing_reason(
        &self,
        server: &SelectedServer,
        request: &SelectionRequest,
    ) -> CrossingReason {
        if server.domain == self.domain {
            CrossingReason::Home
        } else if request.input_bytes.iter().any(|(d, _)| *d == server.domain) {
            CrossingReason::Inputs
        } else if request.shared_tokens() > 0 {
            CrossingReason::Prompt
        } else {
            CrossingReason::Load
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
        let loads = candidates.iter().map(|state| state.domain_load(now));
        let room = PoolRoom::new(&self.domain, loads, request.crossing_draw());
        candidates
            .into_iter()
            .map(|state| {
                let is_preferred = preferred.as_ref() == Some(&state.server.id);
                let uncached_tokens = state.uncached_tokens(request, is_preferred, now);
                let crossing = self.crossing(&room, state, request);
                let cost = total_cost(state, request, crossing, uncached_tokens, now);
                (cost, uncached_tokens, state)
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

    /// What a server costs due to its failure domain.
    fn crossing(
        &self,
        room: &PoolRoom<'_>,
        state: &ServerState,
        request: &SelectionRequest,
    ) -> Crossing {
        let (domain, seed) = (&state.server.domain, request.seed);
        let (round_trips, prices) = (&self.round_trips, &self.prices);
        let draw = |domain: &Name| uniform_hash(domain, seed);
        let input_bytes = state.cross_domain_bytes(request);
        Crossing {
            domain: room.crossing_cost(domain, round_trips, prices, request.body_bytes, draw),
            input_price: prices.time_worth(input_bytes).as_secs_f64(),
        }
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
            state.record_parts(request, now);
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
