//! Which server runs a request: by prompt prefix first, by load second, away from sick servers.

mod health;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::config::{Name, Server};
use health::Health;

/// Time to read one prompt token that isn't cached, before the pool's own speed is known.
const TOKEN_TIME: Duration = Duration::from_micros(24);
/// Cost of a request that waits at a server.
const WAITING_COST: Duration = Duration::from_millis(40);
/// Cost of a full set of running requests.
const FULL_COST: Duration = Duration::from_millis(120);
/// Cost of leaving the failure domain.
const DOMAIN_COST: Duration = Duration::from_millis(8);
/// Most that chance adds to a server's cost: instances don't see each other's newest sends, so
/// equal servers are told apart by request. Below the cost of leaving the failure domain.
const SPREAD_COST: Duration = Duration::from_millis(6);
/// How long a part of a prompt that was sent to a server counts as cached there.
const CACHED_FOR: Duration = Duration::from_secs(20);
/// A load report older than this counts for nothing.
const REPORT_AGE: Duration = Duration::from_millis(1500);
/// Cost of one plain request in flight.
const PLAIN_COST: Duration = Duration::from_millis(15);
/// Cost of a server whose every answer is a failure.
const ERROR_COST: Duration = Duration::from_millis(500);

/// Cost of reading a shared token again, beside its time.
const REREAD_COST: Duration = Duration::from_micros(60);
/// Cost of a million bytes of inputs from another failure domain.
const FOREIGN_MB_COST: Duration = Duration::from_millis(25);

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; the same text has the same id.
    pub id: Name,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request needs of a server.
#[derive(Debug, Clone, Default)]
pub struct SelectionRequest {
    /// Pool that serves it.
    pub pool: Name,
    /// Parts of its prompt in order; the last one belongs to the request itself.
    pub prompt: Vec<PromptPart>,
    /// Bytes of its inputs by the failure domain that they lie in.
    pub input_bytes: Vec<(Name, u64)>,
    /// Servers that were tried already.
    pub tried: Vec<Name>,
    /// Differs from request to request: spreads requests over servers that are equal otherwise.
    pub seed: u64,
}

impl SelectionRequest {
    fn shared(&self) -> &[PromptPart] {
        &self.prompt[..self.prompt.len().saturating_sub(1)]
    }

    /// Tokens of the parts that other requests share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    fn own_tokens(&self) -> u32 {
        self.prompt.last().map_or(0, |part| part.tokens)
    }

    fn tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }
}

/// A server that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedServer {
    /// Id of the server.
    pub id: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Prompt tokens that it is expected to read.
    pub uncached_tokens: u32,
}

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered, its first byte after this time.
    Answered(Duration),
    /// Answered with a failure of its own.
    Failure,
    /// Rejected as not run: full or leaving.
    Rejected,
    /// No usable answer.
    Broken,
    /// The caller left or time ran out: says nothing of the server.
    Abandoned,
}

/// What a server reported of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at most.
    pub slots: u32,
}

#[derive(Debug)]
struct Member {
    server: Server,
    in_flight: u32,
    unread: u64,
    report: Option<(LoadReport, Instant)>,
    health: Health,
    sent: HashMap<Name, Instant>,
}

/// All servers with what is known of them.
#[derive(Debug, Default)]
pub struct ServerSelector {
    domain: Name,
    members: HashMap<Name, Member>,
    pools: HashMap<Name, Vec<Name>>,
}

impl ServerSelector {
    /// A fleet seen from a failure domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            ..Self::default()
        }
    }

    /// Replaces the list of servers; what is known of those that stay is kept.
    pub fn set_servers(&mut self, servers: Vec<Server>) {
        let listed: HashSet<Name> = servers.iter().map(|s| s.id.clone()).collect();
        self.members.retain(|id, _| listed.contains(id));
        for server in servers {
            match self.members.get_mut(&server.id) {
                Some(old) if old.server.started_ms == server.started_ms => old.server = server,
                _ => {
                    self.members.insert(server.id.clone(), Member::new(server));
                }
            }
        }
        self.pools.clear();
        for (id, member) in &self.members {
            let pool = self.pools.entry(member.server.pool.clone()).or_default();
            pool.push(id.clone());
        }
        for ids in self.pools.values_mut() {
            ids.sort();
        }
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.members.values().map(|member| &member.server)
    }

    /// Whether a server is listed and takes new work.
    #[must_use]
    pub fn accepts_work(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|m| m.server.ready)
    }

    /// Best server of a pool for a request; `None` if there is none.
    #[must_use]
    pub fn select(&self, need: &SelectionRequest, now: Instant) -> Option<SelectedServer> {
        let members: Vec<&Member> = self
            .pools
            .get(&need.pool)?
            .iter()
            .filter_map(|id| self.members.get(id))
            .filter(|m| m.server.ready && !need.tried.contains(&m.server.id))
            .collect();
        let rested: Vec<&Member> = members
            .iter()
            .copied()
            .filter(|m| m.health.accepts_work(now, m.in_flight))
            .collect();
        let candidates = if rested.is_empty() { members } else { rested };
        let home = home_of(need, &candidates);
        candidates
            .into_iter()
            .map(|member| {
                let at_home = home.as_ref() == Some(&member.server.id);
                let uncached_tokens = member.unread_of(need, at_home, now);
                let moved = member.foreign_bytes(need);
                let reread = uncached_tokens - need.own_tokens().min(uncached_tokens);
                let price = REREAD_COST.as_secs_f64() * f64::from(reread)
                    + FOREIGN_MB_COST.as_secs_f64() * moved as f64 / 1e6
                    + SPREAD_COST.as_secs_f64() * chance(&member.server.id, need.seed);
                (
                    self.cost(member, uncached_tokens, now) + price,
                    uncached_tokens,
                    member,
                )
            })
            .min_by(|a, b| {
                a.0.total_cmp(&b.0)
                    .then_with(|| a.2.server.id.cmp(&b.2.server.id))
            })
            .map(|(_, uncached_tokens, member)| SelectedServer {
                id: member.server.id.clone(),
                address: member.server.address,
                domain: member.server.domain.clone(),
                uncached_tokens,
            })
    }

    /// Records that a request goes to a server.
    pub fn record_start(&mut self, place: &SelectedServer, need: &SelectionRequest, now: Instant) {
        if let Some(member) = self.members.get_mut(&place.id) {
            member.in_flight += 1;
            member.unread += u64::from(place.uncached_tokens);
            for part in need.shared() {
                member.sent.insert(part.id.clone(), now);
            }
            if member.sent.len() > SENT_REMEMBERED {
                member
                    .sent
                    .retain(|_, at| now.duration_since(*at) < CACHED_FOR);
            }
        }
    }

    /// Records that a server has read a request's prompt.
    pub fn record_prefill(&mut self, place: &SelectedServer) {
        if let Some(member) = self.members.get_mut(&place.id) {
            member.unread = member
                .unread
                .saturating_sub(u64::from(place.uncached_tokens));
        }
    }

    /// Records the end of an attempt; `record_prefill` came before if `read` is set.
    pub fn record_end(
        &mut self,
        place: &SelectedServer,
        read: bool,
        end: AttemptOutcome,
        now: Instant,
    ) {
        if !read {
            self.record_prefill(place);
        }
        if let Some(member) = self.members.get_mut(&place.id) {
            member.in_flight = member.in_flight.saturating_sub(1);
            if end == AttemptOutcome::Broken {
                member.sent.clear();
            }
            member.health.record(end, now);
        }
    }

    /// Records what a server says of its load.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.report = Some((report, now));
        }
    }

    /// Usable servers of a pool.
    #[must_use]
    pub fn usable_servers(&self, pool: &str, now: Instant) -> usize {
        self.pools.get(pool).map_or(0, |ids| {
            ids.iter()
                .filter_map(|id| self.members.get(id))
                .filter(|m| m.server.ready && m.health.accepts_work(now, 0))
                .count()
        })
    }

    fn cost(&self, member: &Member, unread: u32, now: Instant) -> f64 {
        let engine = unread > 0 || member.unread > 0;
        let report = member.fresh_report(now);
        let waiting = report.map_or(0, |r| r.waiting);
        let running = report.map_or(0, |r| r.running).max(member.in_flight);
        let tokens = member.unread + u64::from(unread);
        let mut cost = TOKEN_TIME.as_secs_f64() * tokens as f64;
        cost += WAITING_COST.as_secs_f64() * f64::from(waiting);
        let slots = f64::from(member.server.slots.max(1));
        if engine {
            cost += FULL_COST.as_secs_f64() * f64::from(running) / slots;
            cost += OVERFULL_COST.as_secs_f64() * (f64::from(running) / slots - 0.9).max(0.0);
        } else {
            cost += PLAIN_COST.as_secs_f64() * f64::from(running + 1) / slots.min(4.0);
        }
        if member.server.domain != self.domain {
            cost += DOMAIN_COST.as_secs_f64();
        }
        cost * member.health.slowness() + ERROR_COST.as_secs_f64() * member.health.error_rate()
    }
}

/// Cost of running more requests than a server's slots.
const OVERFULL_COST: Duration = Duration::from_secs(5);
/// Parts remembered per server before old ones are dropped.
const SENT_REMEMBERED: usize = 512;

impl Member {
    fn new(server: Server) -> Self {
        Self {
            server,
            in_flight: 0,
            unread: 0,
            report: None,
            health: Health::default(),
            sent: HashMap::new(),
        }
    }

    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.duration_since(*at) < REPORT_AGE)
            .map(|(report, _)| report)
    }

    /// Bytes of inputs that would come from other failure domains.
    fn foreign_bytes(&self, need: &SelectionRequest) -> u64 {
        let foreign = need
            .input_bytes
            .iter()
            .filter(|(d, _)| *d != self.server.domain);
        foreign.map(|(_, bytes)| *bytes).sum()
    }

    /// Tokens that the server would read: a part counts as cached if all before it are.
    fn unread_of(&self, need: &SelectionRequest, at_home: bool, now: Instant) -> u32 {
        let cached: u32 = need
            .shared()
            .iter()
            .take_while(|part| {
                at_home
                    || self
                        .sent
                        .get(&part.id)
                        .is_some_and(|at| now.duration_since(*at) < CACHED_FOR)
            })
            .map(|part| part.tokens)
            .sum();
        need.tokens() - cached
    }
}

/// A number from 0 to 1 that is the same for the same server and request.
fn chance(server: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(server.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Server that all instances send a prompt to first: the highest hash of prompt and server.
fn home_of(need: &SelectionRequest, members: &[&Member]) -> Option<Name> {
    let last = need.shared().last()?;
    members
        .iter()
        .max_by_key(|m| xxh3_64(format!("{}/{}", last.id, m.server.id).as_bytes()))
        .map(|m| m.server.id.clone())
}
