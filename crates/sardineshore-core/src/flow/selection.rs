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
use std::fmt::Write;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::cold::{ColdBound, ColdChange, ColdServers, ColdSpec};
use super::config::{Name, Server};
use super::evacuation::{EvacuatedDomains, EvacuationChanges};
use super::notices::{NoticeBoard, ServerNotice, ServerRun};
use super::replica::StoreVersion;
use super::speed::ServerSpeeds;
use super::turns::{RateLimit, TurnSchedule, TurnSharing};
use super::zones::{CrossingReason, PoolRoom, RoundTrips, SpilloverPrices};
pub use cost::input_transfer_cost;
use cost::{COLD_TURN_BENEFIT, Crossing, total_cost, uniform_hash};
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
    /// Servers that sustain only a low rate for some seconds.
    cold: ColdServers,
    /// What servers said about themselves.
    notices: NoticeBoard,
    /// Failure domains to which nothing, or not everything, may be sent.
    evacuations: EvacuatedDomains,
    /// How fast they are.
    speeds: ServerSpeeds,
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
        let mut has_changed = false;
        self.servers.retain(|id, _| {
            let stays = listed.contains(id);
            has_changed |= !stays;
            if !stays {
                limits.remove(id);
            }
            stays
        });
        for mut server in servers {
            server.ready &= !self.notices.is_leaving(&server.id, server.started_ms);
            match self.servers.get_mut(&server.id) {
                Some(old) if old.server.started_ms == server.started_ms => {
                    has_changed |= old.server.pool != server.pool;
                    old.server = server;
                }
                known => {
                    has_changed = true;
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
        if has_changed {
            let listed = self.pools.values().flatten();
            let listed = listed.filter_map(|id| self.servers.get(id));
            self.speeds.set_servers(listed.map(|state| &state.server));
            for (id, state) in &mut self.servers {
                state.speed = self.speeds.slot(id);
            }
        }
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().map(|state| &state.server)
    }

    /// Whether a server is listed and accepts new work.
    #[must_use]
    pub fn accepts_work(&self, id: &str, now: Instant) -> bool {
        self.started_ms(id, now).is_some()
    }

    /// Start time of a server that is listed and accepts new work.
    #[must_use]
    pub fn started_ms(&self, id: &str, now: Instant) -> Option<u64> {
        let server = &self.servers.get(id)?.server;
        let accepts = server.ready && self.may_send(server, now);
        accepts.then_some(server.started_ms)
    }

    /// Sets the time after the write of a row that evacuates a domain from which on nothing may be sent
    /// there.
    pub fn set_evacuation_bound(&mut self, bound: Option<Duration>) {
        self.evacuations = EvacuatedDomains::new(bound);
    }

    /// The evacuated domains.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuatedDomains {
        &self.evacuations
    }

    /// Failure domain of a listed server.
    #[must_use]
    pub fn domain_of(&self, id: &str) -> Option<&Name> {
        self.servers.get(id).map(|state| &state.server.domain)
    }

    /// Records all rows that evacuate domains, see [`EvacuatedDomains::replace`].
    pub fn set_evacuations(
        &mut self,
        rows: &[(Name, StoreVersion)],
        earliest: Option<Instant>,
        now: Instant,
    ) -> EvacuationChanges {
        let changes = self.evacuations.replace(rows, earliest, now);
        self.record_evacuations_ended(&changes.ended, now);
        changes
    }

    /// Records all rows of a restored store, see [`EvacuatedDomains::replace_restored`].
    pub fn set_restored_evacuations(
        &mut self,
        rows: &[(Name, StoreVersion)],
        settled_at: Instant,
        now: Instant,
    ) -> EvacuationChanges {
        let changes = self.evacuations.replace_restored(rows, settled_at, now);
        self.record_evacuations_ended(&changes.ended, now);
        changes
    }

    /// Ends the evacuations whose time has come, see [`EvacuatedDomains::update`].
    pub fn update_evacuations(&mut self, confirmed: Option<Instant>, now: Instant) -> Vec<Name> {
        let ended = self.evacuations.update(confirmed, now);
        self.record_evacuations_ended(&ended, now);
        ended
    }

    /// Records that domains return to service; every end of an evacuation comes here. Their servers may
    /// have turned cold meanwhile.
    fn record_evacuations_ended(&mut self, domains: &[Name], now: Instant) {
        for domain in domains {
            self.mark_domain_cold(domain, now);
        }
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

    /// Sets the bound on the requests that a cold server may get.
    pub fn set_cold_bound(&mut self, bound: ColdBound) {
        self.cold.set_bound(bound);
    }

    /// Replaces what is known of pools whose servers may be cold.
    pub fn set_cold_specs(&mut self, specs: impl IntoIterator<Item = (Name, ColdSpec)>) {
        self.cold.set_specs(specs);
    }

    /// Records which servers are cold by the entries that were read, new or written again, after
    /// [`Self::set_servers`] has got the list with them.
    pub fn record_entries(&mut self, entries: &[Server], now: Instant) {
        let servers = &self.servers;
        // The list may already have a later entry than one that was read.
        let is_listed = |entry: &&Server| {
            servers.get(&entry.id).is_some_and(|known| {
                let known = &known.server;
                (known.started_ms, known.cold_remaining) == (entry.started_ms, entry.cold_remaining)
            })
        };
        let entries = entries.iter().filter(is_listed);
        self.cold
            .record_reading(entries, |id| servers.contains_key(id), now);
    }

    /// Makes all servers of a failure domain that returns to service cold for the time after a start,
    /// until their next entries say something else.
    pub fn mark_domain_cold(&mut self, domain: &Name, now: Instant) {
        self.cold.mark_domain(domain, now);
    }

    /// Number of cold servers.
    #[must_use]
    pub fn cold_servers(&self, now: Instant) -> usize {
        self.cold.count(now)
    }

    /// Servers that turned cold or warm since the last call, for the log.
    pub fn take_cold_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        self.cold.take_changes(now)
    }

    /// Sets how this instance shares the turns at cold servers with the others.
    pub fn set_sharing(&mut self, sharing: TurnSharing, now: Instant) {
        self.cold.set_sharing(sharing, now);
    }

    /// Whether a server that could run the request is cold.
    #[must_use]
    pub fn has_cold_server(&self, request: &SelectionRequest, now: Instant) -> bool {
        self.untried_servers(request, now)
            .is_some_and(|mut servers| servers.any(|s| self.cold.is_cold(&s.server.id, now)))
    }

    /// Time until this instance may send a request to a server that has a rate limit, wants a pause or
    /// is cold; `None` if no such server could run it.
    #[must_use]
    pub fn next_turn(&self, request: &SelectionRequest, now: Instant) -> Option<Duration> {
        let mut first = None;
        for state in self.untried_servers(request, now)? {
            let within = first.unwrap_or(Duration::MAX);
            let wait = self.wait(&state.server, within, now);
            first = wait.map(|wait| wait.min(within)).or(first);
        }
        first
    }

    /// Time until the first server that could run the request wants requests again; `None` if one
    /// does now, or there is none.
    #[must_use]
    pub fn pause_left(&self, request: &SelectionRequest, now: Instant) -> Option<Duration> {
        let mut first = None;
        for state in self.untried_servers(request, now)? {
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

    /// Time until this instance may send to a server; `None` if it has no rate limit, wants no pause and
    /// is not cold. If the time is longer than `within`, it may be too short.
    fn wait(&self, server: &Server, within: Duration, now: Instant) -> Option<Duration> {
        let pause = self.paused_until(server, now);
        let pause = pause.map(|until| until.saturating_duration_since(now));
        let limit = self.limits.get(&server.id).zip(self.schedule.as_ref());
        let limit = limit.map(|(limit, schedule)| limit.next_turn(schedule, now));
        let cold = self.cold.next_turn(&server.id, within, now);
        pause.max(limit).max(cold)
    }

    /// Whether this instance may send a request to a server now: it wants no pause, and this instance has a
    /// turn if the server has a rate limit or is cold.
    fn has_turn(&self, state: &ServerState, now: Instant) -> bool {
        let wait = self.wait(&state.server, Duration::ZERO, now);
        wait.is_none_or(|wait| wait.is_zero())
    }

    /// Requests per second that this instance may send if all servers that could run the request have
    /// a rate limit, want a pause, are cold, or are saturated beside such with a rate limit; `None` if
    /// one is not, or none has a limit or is cold.
    #[must_use]
    pub fn limited_rate(&self, request: &SelectionRequest, now: Instant) -> Option<f64> {
        let schedule = self.schedule?;
        let (mut rate, mut has_limits, mut is_any_saturated) = (0.0, false, false);
        for state in self.untried_servers(request, now)? {
            if self.paused_until(&state.server, now).is_some() {
                continue;
            }
            let limit = self.limits.get(&state.server.id).map(RateLimit::rate);
            has_limits |= limit.is_some();
            match (limit, self.cold.rate(&state.server.id, now)) {
                (Some(limit), Some(cold)) => rate += limit.min(cold),
                (Some(one), None) | (None, Some(one)) => rate += one,
                (None, None) if state.is_saturated(now) => is_any_saturated = true,
                (None, None) => return None,
            }
        }
        // Saturated servers take requests that cold ones don't.
        let is_limited = rate > 0.0 && (has_limits || !is_any_saturated);
        is_limited.then(|| rate / schedule.instances.max(1) as f64)
    }

    /// Servers of the request's pool that are ready, were not tried, have a version that can run it and to
    /// which it may be sent.
    fn untried_servers<'a>(
        &'a self,
        request: &'a SelectionRequest,
        now: Instant,
    ) -> Option<impl Iterator<Item = &'a ServerState>> {
        let ids = self.pools.get(&request.pool)?;
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let servers = servers.filter(move |s| {
            s.server.ready
                && !request.tried.contains(&s.server.id)
                && request.version.allows(&s.server)
                && self.may_send(&s.server, now)
        });
        let is_admitted = move |s: &ServerState| self.is_admitted(&s.server, request, now);
        // Requests leave a domain gradually, and return to it so, only if there are other servers.
        let has_admitted = self.evacuations.is_empty() || servers.clone().any(is_admitted);
        Some(servers.filter(move |s| !has_admitted || is_admitted(s)))
    }

    /// Whether anything may be sent to a server that is ready.
    fn may_send(&self, server: &Server, now: Instant) -> bool {
        !self.evacuations.is_closed(&server.domain, now)
    }

    /// Whether a request is among the share that may go to a server's failure domain.
    fn is_admitted(&self, server: &Server, request: &SelectionRequest, now: Instant) -> bool {
        let domain = &server.domain;
        self.evacuations.is_empty()
            || (self.evacuations).access(domain, request.domain_share(domain), now)
    }

    /// Selects the server of the pool with the lowest cost for a request; `None` if no server is
    /// ready that was not tried, has a turn and wants no pause. Servers in back-off are selected only
    /// if no other is left.
    #[must_use]
    pub fn select(&self, request: &SelectionRequest, now: Instant) -> Option<SelectedServer> {
        // Servers without a rate limit can't take all that others don't.
        let spills = self.schedule.is_some()
            && (self.untried_servers(request, now)?)
                .any(|s| self.limits.contains_key(&s.server.id));
        let mut servers: Vec<&ServerState> = self
            .untried_servers(request, now)?
            .filter(|s| self.has_turn(s, now))
            .filter(|s| !spills || !s.is_saturated(now))
            .collect();
        let is_cold = |s: &ServerState| self.cold.is_cold(&s.server.id, now);
        let is_warm = |s: &&ServerState| s.health.is_usable(now) && !is_cold(s);
        if !self.cold.has_common_turns() && servers.iter().any(is_warm) {
            servers.retain(|s| !is_cold(s));
        }
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
        let preferred = if candidates.iter().any(|s| is_cold(s)) {
            self.preferred_beside_cold(request, &candidates, now)
        } else {
            preferred_server(request, &candidates, &self.speeds)
        };
        let loads = candidates.iter().map(|state| state.domain_load(now));
        let room = PoolRoom::new(&self.domain, loads, request.crossing_draw());
        candidates
            .into_iter()
            .map(|state| {
                let is_preferred = preferred.as_ref() == Some(&state.server.id);
                let uncached_tokens = state.uncached_tokens(request, is_preferred, now);
                let speed = self.speeds.view(state.speed, now);
                let crossing = self.crossing(&room, state, request);
                let mut cost = total_cost(state, request, crossing, uncached_tokens, &speed, now);
                if is_cold(state) {
                    cost -= COLD_TURN_BENEFIT.as_secs_f64();
                }
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
                is_cold: self.cold.is_cold(&state.server.id, now),
                uncached_tokens,
            })
    }

    /// Preferred server for a prompt prefix if cold servers are among the candidates: one of those only
    /// if it is preferred among all servers, so that it caches prompts which it will keep. Otherwise
    /// prompts whose server has no turn would move from one cold server to the next.
    fn preferred_beside_cold(
        &self,
        request: &SelectionRequest,
        candidates: &[&ServerState],
        now: Instant,
    ) -> Option<Name> {
        let all: Vec<&ServerState> = self.untried_servers(request, now)?.collect();
        let home = preferred_server(request, &all, &self.speeds)?;
        let is_settled =
            |s: &&&ServerState| s.server.id == home || !self.cold.is_cold(&s.server.id, now);
        let settled: Vec<&ServerState> = candidates.iter().filter(is_settled).copied().collect();
        preferred_server(request, &settled, &self.speeds)
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
        self.cold.record_send(&server.id, now);
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
            match outcome {
                // It tells nothing of how long the server takes once it is warm.
                AttemptOutcome::Answered(_) if server.is_cold => state.health.record_response(now),
                outcome => state.health.record(outcome, now),
            }
        }
    }

    /// Records that a server is silent in the middle of a response.
    pub fn record_silence(&mut self, id: &str, now: Instant) {
        if let Some(state) = self.servers.get_mut(id) {
            state.health.record_silence(now);
        }
    }

    /// Records the load that a server reports. Returns false if its percentage is out of range.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now: Instant) -> bool {
        if let Some(state) = self.servers.get_mut(id) {
            state.report = Some((report, now));
        }
        let percent = report.percent;
        percent.is_none_or(|percent| self.speeds.record_figure(id, percent, now))
    }

    /// Records the time from sending a request to its first output. Returns whether it says something
    /// about the speed of the server.
    pub fn record_first_output(
        &mut self,
        server: &SelectedServer,
        took: Duration,
        now: Instant,
    ) -> bool {
        let state = self.servers.get(&server.id);
        // With requests that wait, the time depends on them.
        let state = state.filter(|s| s.fresh_report(now).is_none_or(|r| r.waiting == 0));
        state.is_some_and(|state| {
            let utilization = state.utilization(now);
            let tokens = server.uncached_tokens;
            self.speeds
                .record_first_output(&server.id, tokens, utilization, took, now)
        })
    }

    /// Records the mean time between the events of a stream.
    pub fn record_event_time(&mut self, id: &str, mean: Duration, now: Instant) -> bool {
        let state = self.servers.get(id);
        let utilization = state.map_or(0.0, |state| state.utilization(now));
        self.speeds.record_event_time(id, utilization, mean, now)
    }

    /// Records the mean time between the events of a stream over the last
    /// [`PACE_WINDOW`](super::speed::PACE_WINDOW).
    pub fn record_pace(&mut self, id: &str, mean: Duration, now: Instant) {
        let state = self.servers.get(id);
        let utilization = state.map_or(0.0, |state| state.utilization(now));
        self.speeds.record_pace(id, utilization, mean, now);
    }

    /// How fast the servers are.
    #[must_use]
    pub fn speeds(&self) -> &ServerSpeeds {
        &self.speeds
    }

    /// How fast the servers are, for the exchange between instances.
    pub fn speeds_mut(&mut self) -> &mut ServerSpeeds {
        &mut self.speeds
    }

    /// Expected time from sending a request to its first output, at `likely` or at any server that
    /// could run it. `None` while the servers of the pool are not known to differ.
    #[must_use]
    pub fn run_time(
        &self,
        request: &SelectionRequest,
        likely: Option<&SelectedServer>,
        now: Instant,
    ) -> Option<Duration> {
        let (tokens, slowness) = if let Some(server) = likely {
            let speed = self.speeds.view(self.speeds.slot(&server.id), now);
            (server.uncached_tokens, speed.lasting)
        } else {
            // Servers get work in proportion to their speed.
            let servers = self.untried_servers(request, now)?;
            let speeds = servers.map(|state| 1.0 / self.speeds.view(state.speed, now).lasting);
            let (count, sum) = speeds.fold((0.0, 0.0), |(n, sum), speed| (n + 1.0, sum + speed));
            (request.tokens(), count / sum)
        };
        self.speeds.run_time(&request.pool, tokens, slowness)
    }

    /// Number of servers that could run the request and are not in back-off.
    #[must_use]
    pub fn usable_servers(&self, request: &SelectionRequest, now: Instant) -> usize {
        self.untried_servers(request, now).map_or(0, |servers| {
            servers.filter(|s| s.health.is_usable(now)).count()
        })
    }
}

/// Server that all instances prefer for a prompt prefix, by rendezvous hashing: the one with the highest
/// hash of prefix and server id, weighted by the servers' speeds. `None` if the prompt has no shared part.
fn preferred_server(
    request: &SelectionRequest,
    servers: &[&ServerState],
    speeds: &ServerSpeeds,
) -> Option<Name> {
    let prefix = request.shared_parts().last()?;
    let mut buf = String::with_capacity(prefix.id.len() + 32);
    let mut hash = |state: &ServerState| {
        buf.clear();
        let _infallible = write!(buf, "{}/{}", prefix.id, state.server.id);
        xxh3_64(buf.as_bytes())
    };
    let preferred = if servers.iter().all(|s| speeds.weight_steps(s.speed) == 0) {
        servers.iter().max_by_key(|s| hash(s))
    } else {
        // The negative logarithm of a uniform number, divided by the weight, is lowest at each server
        // with a probability in proportion to its weight. A change of one weight moves only prefixes
        // to or from that server.
        let scores = servers.iter().map(|s| {
            let uniform = (hash(s) as f64 + 0.5) / 2_f64.powi(64);
            let weight = ServerSpeeds::weight(speeds.weight_steps(s.speed));
            (-uniform.ln() / weight, s)
        });
        let lowest = scores.min_by(|a, b| a.0.total_cmp(&b.0));
        lowest.map(|(_, state)| state)
    };
    preferred.map(|s| s.server.id.clone())
}
