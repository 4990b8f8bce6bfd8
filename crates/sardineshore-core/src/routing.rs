//! Selects a backend server for each attempt of a stage.
//!
//! [`Router`] holds the declared backend servers, the number of attempts that this instance has in
//! flight on each, and the latencies, failures and load reports of each. The caller reports the
//! start and end of every attempt and every load report, and calls [`Router::select`] for each new
//! attempt. The router performs no I/O.
//!
//! ```
//! use std::collections::BTreeSet;
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{
//!     AttemptReport, BackendServer, Change, Deployment, Router, RoutingConfig, SelectionRequest,
//! };
//!
//! let mut deployment = Deployment::default();
//! let server = BackendServer {
//!     name: "e1".into(),
//!     addr: "127.0.0.1:9001".into(),
//!     pool: "encoders".into(),
//!     ..BackendServer::default()
//! };
//! deployment.apply(&Change::AddServer { server }).unwrap();
//!
//! let mut router = Router::new(RoutingConfig::default());
//! router.update_servers(&deployment, &BTreeSet::new());
//!
//! let now = Instant::now();
//! let request = SelectionRequest {
//!     pool: &"encoders".into(),
//!     request: "r1",
//!     customer: "studio",
//!     prefix: 0,
//!     idempotent: true,
//!     tried_servers: &[],
//!     origin: None,
//!     deadline: now + Duration::from_secs(6),
//! };
//! let selected = router.select(&request, now).unwrap();
//! router.record_start(&selected.server, now);
//! router.record_end(&selected.server, &AttemptReport::default(), now);
//! ```

mod baseline;
mod config;
mod estimate;
mod health;
mod notice;
mod origin;
mod pool;
mod score;
mod selection;
mod selector;
mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use slotmap::{SlotMap, new_key_type};

pub use config::{Policy, RoutingConfig};
pub use notice::{RoutingDecision, RoutingNotice};
pub use origin::StreamOrigin;
pub use selection::{
    AttemptReport, AttemptResult, SelectedServer, SelectionError, SelectionRequest, ServerLoad,
};

use crate::{BackendServer, Deployment, PoolId, ServerId, ServerRow};
use health::Health;
use pool::Pool;
use score::{ScoringContext, duration};
use selector::Selector;
use server::Server;

new_key_type! {
    /// Key of a backend server in `Router::servers`.
    struct ServerKey;
}

/// Selects backend servers for the attempts of one entry instance.
#[derive(Debug)]
pub struct Router {
    cfg: RoutingConfig,
    servers: SlotMap<ServerKey, Server>,
    keys_by_name: BTreeMap<ServerId, ServerKey>,
    pools: BTreeMap<PoolId, Pool>,
    rng: SmallRng,
    notices: Vec<RoutingNotice>,
    /// Time of the last selection; `None` before the first.
    last_selection_at: Option<Instant>,
}

impl Router {
    /// Creates a router without backend servers.
    #[must_use]
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            servers: SlotMap::with_key(),
            keys_by_name: BTreeMap::new(),
            pools: BTreeMap::new(),
            notices: Vec::new(),
            last_selection_at: None,
        }
    }

    /// Applies a new configuration or a new set of leaving backend servers.
    ///
    /// The observations of a backend server are kept as long as it stays declared. A server that is
    /// added to a pool with other members begins with a slow start.
    pub fn update_servers(&mut self, deployment: &Deployment, leaving: &BTreeSet<ServerId>) {
        self.cfg.objective = deployment.objective;
        self.remove_undeclared(deployment);
        let mut members: BTreeMap<PoolId, Vec<ServerKey>> = BTreeMap::new();
        for (name, declared) in &deployment.servers {
            let key = self.declare(declared, leaving.contains(name));
            let pool = members.entry(declared.pool.clone()).or_default();
            if self.servers[key].accepts_work() {
                pool.push(key);
            }
        }
        self.pools.retain(|name, _| members.contains_key(name));
        for (name, members) in members {
            let pool = self.pools.entry(name).or_default();
            pool.set_members(members, &self.servers, self.cfg.seed, self.cfg.max_subset);
        }
    }

    /// Selects a backend server for one attempt.
    ///
    /// A server in [`SelectionRequest::tried_servers`] or an ejected server is selected only if no
    /// other member of the pool accepts work; one that wants a pause is not selected.
    pub fn select(
        &mut self,
        request: &SelectionRequest<'_>,
        now: Instant,
    ) -> Result<SelectedServer, SelectionError> {
        self.last_selection_at = Some(now);
        if request.deadline <= now {
            return Err(SelectionError::TooLate);
        }
        let pool = self
            .pools
            .get_mut(request.pool)
            .ok_or(SelectionError::NoServer)?;
        if pool.members.is_empty() {
            return Err(SelectionError::NoServer);
        }
        if self.cfg.policy != Policy::Predicted {
            let random = self.rng.next_u64();
            let key = baseline::select(self.cfg.policy, pool, &self.servers, random);
            return Ok(self.selected_server(key));
        }
        let scoring = ScoringContext {
            cfg: &self.cfg,
            pool,
            remaining: request.deadline.duration_since(now).as_secs_f64(),
            now,
        };
        let selector = Selector {
            servers: &self.servers,
            pool,
            request,
            scoring,
            now,
        };
        selector.select(|| self.rng.next_u64())
    }

    /// Records that an attempt was sent to a backend server.
    pub fn record_start(&mut self, server: &ServerId, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.keys_by_name, server) else {
            return;
        };
        server.record_start(now);
        if server.health.take_readmission(now) {
            self.notices.push(server.notice(RoutingDecision::Returned));
        }
    }

    /// Records the end of an attempt; call it once for each [`record_start`](Self::record_start).
    pub fn record_end(&mut self, server: &ServerId, report: &AttemptReport, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.keys_by_name, server) else {
            return;
        };
        let pool = self.pools.get_mut(&server.declared.pool);
        let usual_service = pool.as_ref().and_then(|pool| pool.service());
        let should_eject = server.record_end(report, usual_service, now);
        match pool {
            Some(pool) if report.result == AttemptResult::Answered => {
                pool.record_answer(report, now);
            }
            _ => {}
        }
        if should_eject {
            let name = server.declared.name.clone();
            self.eject(&name, now);
        }
    }

    /// Records a load report; a report older than the last one is ignored.
    pub fn record_load(&mut self, server: &ServerId, load: &ServerLoad, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.keys_by_name, server) else {
            return;
        };
        let accepted_work = server.accepts_work();
        let restarted = server.record_load(load, now);
        let accepts_work = server.accepts_work();
        if let Some(pool) = self.pools.get_mut(&server.declared.pool) {
            pool.record_other_load(server.other_load(pool.other_load(), now));
        }
        if restarted {
            self.notices.push(server.notice(RoutingDecision::Restarted));
        }
        if load.leaving && accepted_work {
            self.notices.push(server.notice(RoutingDecision::Leaving));
        }
        if accepts_work != accepted_work {
            let pool = server.declared.pool.clone();
            self.update_members(&pool);
        }
    }

    /// Records that a backend server wants no requests for a while.
    pub fn record_pause(&mut self, server: &ServerId, pause: Duration, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.keys_by_name, server) else {
            return;
        };
        let was_paused = !server.pause_left(now).is_zero();
        server.record_pause(now + pause);
        let length = server.pause_left(now);
        if !was_paused && !length.is_zero() {
            self.notices
                .push(server.notice(RoutingDecision::Paused { length }));
        }
    }

    /// Selects the members of a pool anew: its servers that accept work.
    fn update_members(&mut self, pool: &PoolId) {
        let keys = self.keys_by_name.values().copied();
        let members = keys.filter(|key| {
            let server = &self.servers[*key];
            server.declared.pool == *pool && server.accepts_work()
        });
        let members = members.collect();
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_members(members, &self.servers, self.cfg.seed, self.cfg.max_subset);
        }
    }

    /// Whether a backend server accepts new work: it is declared, active and not leaving.
    ///
    /// Callers check this immediately before each send, since the configuration may have changed
    /// since the selection.
    #[must_use]
    pub fn accepts_work(&self, server: &ServerId) -> bool {
        self.keys_by_name
            .get(server)
            .is_some_and(|key| self.servers[*key].accepts_work())
    }

    /// Backend servers of one pool, or of all pools, in the order of their names.
    #[must_use]
    pub fn rows(&self, pool: Option<&str>, now: Instant) -> Vec<ServerRow> {
        self.keys_by_name
            .values()
            .map(|key| &self.servers[*key])
            .filter(|server| pool.is_none_or(|pool| *server.declared.pool == *pool))
            .map(|server| server.row(now))
            .collect()
    }

    /// Returns the backend server whose load is to be polled next, and records the poll.
    ///
    /// It is the member of this instance's subsets with the oldest load report or poll; `None` if
    /// none of them is older than `age`.
    pub fn next_load_poll(&mut self, age: Duration, now: Instant) -> Option<LoadPoll> {
        let servers = &self.servers;
        let (key, known) = self
            .pools
            .values()
            .flat_map(|pool| &pool.members[..pool.subset])
            .filter(|key| servers[**key].pause_left(now).is_zero())
            .map(|key| (*key, servers[*key].load_known_at()))
            .min_by_key(|(_, known)| *known)?;
        if known.is_some_and(|at| now.saturating_duration_since(at) < age) {
            return None;
        }
        let server = &mut self.servers[key];
        server.record_poll(now);
        Some(LoadPoll {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
        })
    }

    /// Smoothed service time of a pool's attempts; `None` before the first one was answered.
    #[must_use]
    pub fn usual_service_time(&self, pool: &PoolId) -> Option<Duration> {
        self.pools.get(pool)?.service().map(duration)
    }

    /// Removes and returns the decisions about backend servers since the last call, oldest first.
    pub fn take_notices(&mut self) -> Vec<RoutingNotice> {
        std::mem::take(&mut self.notices)
    }

    fn selected_server(&self, key: ServerKey) -> SelectedServer {
        let server = &self.servers[key];
        SelectedServer {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
            predicted_latency: duration(0.0),
        }
    }

    /// Ejects a server unless too few healthy servers of its pool would remain.
    fn eject(&mut self, name: &ServerId, now: Instant) {
        let key = self.keys_by_name[name];
        let pool = &self.pools.get(&self.servers[key].declared.pool);
        let members = pool.map_or(&[][..], |pool| &pool.members);
        let healthy = members
            .iter()
            .filter(|member| !self.servers[**member].health.is_ejected(now))
            .count();
        let min_healthy = (members.len() as f64 * self.cfg.min_healthy_share).max(1.0);
        let server = &mut self.servers[key];
        let decision = if healthy as f64 - 1.0 >= min_healthy {
            RoutingDecision::Ejected {
                length: server.health.eject(now),
            }
        } else {
            RoutingDecision::Withheld
        };
        self.notices.push(server.notice(decision));
    }

    fn remove_undeclared(&mut self, deployment: &Deployment) {
        let servers = &mut self.servers;
        self.keys_by_name.retain(|name, key| {
            let keep = deployment.servers.contains_key(name);
            if !keep {
                servers.remove(*key);
            }
            keep
        });
    }

    fn declare(&mut self, declared: &BackendServer, leaving: bool) -> ServerKey {
        if let Some(key) = self.keys_by_name.get(&declared.name) {
            self.servers[*key].declare(declared, leaving);
            return *key;
        }
        let joins = self
            .pools
            .get(&declared.pool)
            .is_some_and(|pool| !pool.members.is_empty());
        let health = match self.last_selection_at {
            Some(now) if joins => Health::with_slow_start(now),
            _ => Health::default(),
        };
        let server = Server::new(declared, leaving, health);
        let key = self.servers.insert(server);
        self.keys_by_name.insert(declared.name.clone(), key);
        key
    }
}

/// A backend server whose load is to be polled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadPoll {
    /// Name.
    pub server: ServerId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: Arc<str>,
}

fn find<'a>(
    servers: &'a mut SlotMap<ServerKey, Server>,
    keys_by_name: &BTreeMap<ServerId, ServerKey>,
    name: &ServerId,
) -> Option<&'a mut Server> {
    let key = keys_by_name.get(name)?;
    servers.get_mut(*key)
}
