//! Selection of a backend server for each attempt.
//!
//! [`Router`] holds the declared backend servers, what this instance has in flight on each and what
//! was observed and reported of them. It is told of every attempt's start and end and of every load
//! report, and is asked for the next choice.
//!
//! ```
//! use std::collections::BTreeSet;
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{
//!     SelectionRequest, BackendServer, Change, Deployment, AttemptReport, Router, RoutingConfig,
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
//!     deadline: now + Duration::from_secs(6),
//! };
//! let choice = router.select(&request, now).unwrap();
//! router.record_start(&choice.server, now);
//! router.record_end(&choice.server, &AttemptReport::default(), now);
//! ```

mod baseline;
mod choose;
mod config;
mod estimate;
mod health;
mod notice;
mod pool;
mod score;
mod selection;
mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use slotmap::{SlotMap, new_key_type};

pub use config::{Policy, RoutingConfig};
pub use notice::{RoutingDecision, RoutingNotice};
pub use selection::{
    AttemptReport, AttemptResult, SelectedServer, SelectionError, SelectionRequest, ServerLoad,
};

use crate::{BackendServer, Deployment, PoolId, ServerId, ServerRow};
use choose::Chooser;
use health::Health;
use pool::Pool;
use score::{Scales, duration};
use server::Server;

new_key_type! {
    /// Key of a backend server in the router.
    struct ServerKey;
}

/// Chooses backend servers for one entry instance.
#[derive(Debug)]
pub struct Router {
    cfg: RoutingConfig,
    servers: SlotMap<ServerKey, Server>,
    names: BTreeMap<ServerId, ServerKey>,
    pools: BTreeMap<PoolId, Pool>,
    rng: SmallRng,
    notices: Vec<RoutingNotice>,
    /// Time of the last event; unknown before the first.
    seen: Option<Instant>,
}

impl Router {
    /// Makes a router that knows no backend servers.
    #[must_use]
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            servers: SlotMap::with_key(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            notices: Vec::new(),
            seen: None,
        }
    }

    /// Takes over a new configuration or a new set of leaving backend servers.
    ///
    /// What was observed of a backend server is kept as long as it stays declared. A server that
    /// joins a pool with others takes up its share gradually.
    pub fn update_servers(&mut self, deployment: &Deployment, leaving: &BTreeSet<ServerId>) {
        self.cfg.objective = deployment.objective;
        self.forget_undeclared(deployment);
        let mut members: BTreeMap<PoolId, Vec<ServerKey>> = BTreeMap::new();
        for (name, declared) in &deployment.servers {
            let key = self.declare(declared, leaving.contains(name));
            let pool = members.entry(declared.pool.clone()).or_default();
            if self.servers[key].may_send() {
                pool.push(key);
            }
        }
        self.pools.retain(|name, _| members.contains_key(name));
        for (name, members) in members {
            let pool = self.pools.entry(name).or_default();
            pool.adopt(members, &self.servers, self.cfg.seed, self.cfg.max_subset);
        }
    }

    /// Chooses a backend server for one attempt.
    ///
    /// A server in [`SelectionRequest::tried_servers`] or an ejected one is chosen only if no other may receive work.
    pub fn select(
        &mut self,
        ask: &SelectionRequest<'_>,
        now: Instant,
    ) -> Result<SelectedServer, SelectionError> {
        self.seen = Some(now);
        if ask.deadline <= now {
            return Err(SelectionError::TooLate);
        }
        let pool = self
            .pools
            .get_mut(ask.pool)
            .ok_or(SelectionError::NoServer)?;
        if pool.members.is_empty() {
            return Err(SelectionError::NoServer);
        }
        if self.cfg.policy != Policy::Predicted {
            let draw = self.rng.next_u64();
            let key = baseline::choose(self.cfg.policy, pool, &self.servers, draw);
            return Ok(self.choice(key));
        }
        let scales = Scales {
            cfg: &self.cfg,
            pool,
            remaining: ask.deadline.duration_since(now).as_secs_f64(),
            now,
        };
        let chooser = Chooser {
            servers: &self.servers,
            pool,
            ask,
            scales,
            now,
        };
        chooser.choose(|| self.rng.next_u64())
    }

    /// Notes that an attempt was sent.
    pub fn record_start(&mut self, server: &ServerId, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.names, server) else {
            return;
        };
        server.started(now);
        if server.health.take_return(now) {
            self.notices.push(server.notice(RoutingDecision::Returned));
        }
    }

    /// Notes that an attempt ended; call it once for each [`record_start`](Self::record_start).
    pub fn record_end(&mut self, server: &ServerId, feedback: &AttemptReport, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.names, server) else {
            return;
        };
        let pool = self.pools.get_mut(&server.declared.pool);
        let usual = pool.as_ref().and_then(|pool| pool.service());
        let should_eject = server.finished(feedback, usual, now);
        match pool {
            Some(pool) if feedback.result == AttemptResult::Answered => {
                pool.answered(feedback, now);
            }
            _ => {}
        }
        if should_eject {
            let name = server.declared.name.clone();
            self.eject(&name, now);
        }
    }

    /// Takes in a load report; one older than the last is ignored.
    pub fn record_load(&mut self, server: &ServerId, report: &ServerLoad, now: Instant) {
        let Some(server) = find(&mut self.servers, &self.names, server) else {
            return;
        };
        let restarted = server.reported(report, now);
        if let Some(pool) = self.pools.get_mut(&server.declared.pool) {
            pool.reported(server.others(pool.others(), now));
        }
        if restarted {
            self.notices.push(server.notice(RoutingDecision::Restarted));
        }
    }

    /// Whether a backend server may receive new work: it is declared, active and not leaving.
    ///
    /// To be asked at the last moment before a send.
    #[must_use]
    pub fn accepts_work(&self, server: &ServerId) -> bool {
        self.names
            .get(server)
            .is_some_and(|key| self.servers[*key].may_send())
    }

    /// Backend servers of one pool or of all, by name.
    #[must_use]
    pub fn rows(&self, pool: Option<&str>, now: Instant) -> Vec<ServerRow> {
        self.names
            .values()
            .map(|key| &self.servers[*key])
            .filter(|server| pool.is_none_or(|pool| *server.declared.pool == *pool))
            .map(|server| server.row(now))
            .collect()
    }

    /// The backend server of this instance's subsets whose load is to be polled next, if the report
    /// or poll before is older than `age` for any.
    pub fn next_load_poll(&mut self, age: Duration, now: Instant) -> Option<LoadPoll> {
        let servers = &self.servers;
        let (key, known) = self
            .pools
            .values()
            .flat_map(|pool| &pool.members[..pool.subset])
            .map(|key| (*key, servers[*key].load_known_at()))
            .min_by_key(|(_, known)| *known)?;
        if known.is_some_and(|at| now.saturating_duration_since(at) < age) {
            return None;
        }
        let server = &mut self.servers[key];
        server.polled(now);
        Some(LoadPoll {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
        })
    }

    /// Usual time of service in a pool, if any was observed.
    #[must_use]
    pub fn usual_service_time(&self, pool: &PoolId) -> Option<Duration> {
        self.pools.get(pool)?.service().map(duration)
    }

    /// Decisions about backend servers since the last call, oldest first.
    pub fn take_notices(&mut self) -> Vec<RoutingNotice> {
        std::mem::take(&mut self.notices)
    }

    fn choice(&self, key: ServerKey) -> SelectedServer {
        let server = &self.servers[key];
        SelectedServer {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
            predicted_latency: duration(0.0),
        }
    }

    /// Ejects a server unless too few sound ones of its pool would remain.
    fn eject(&mut self, name: &ServerId, now: Instant) {
        let key = self.names[name];
        let pool = &self.pools.get(&self.servers[key].declared.pool);
        let members = pool.map_or(&[][..], |pool| &pool.members);
        let sound = members
            .iter()
            .filter(|member| !self.servers[**member].health.ejected(now))
            .count();
        let least = (members.len() as f64 * self.cfg.min_healthy_share).max(1.0);
        let server = &mut self.servers[key];
        let decision = if sound as f64 - 1.0 >= least {
            RoutingDecision::Ejected {
                length: server.health.eject(now),
            }
        } else {
            RoutingDecision::Withheld
        };
        self.notices.push(server.notice(decision));
    }

    fn forget_undeclared(&mut self, deployment: &Deployment) {
        let servers = &mut self.servers;
        self.names.retain(|name, key| {
            let keep = deployment.servers.contains_key(name);
            if !keep {
                servers.remove(*key);
            }
            keep
        });
    }

    fn declare(&mut self, declared: &BackendServer, leaving: bool) -> ServerKey {
        if let Some(key) = self.names.get(&declared.name) {
            self.servers[*key].declare(declared, leaving);
            return *key;
        }
        let joins = self
            .pools
            .get(&declared.pool)
            .is_some_and(|pool| !pool.members.is_empty());
        let health = match self.seen {
            Some(now) if joins => Health::starting(now),
            _ => Health::default(),
        };
        let server = Server::new(declared, leaving, health);
        let key = self.servers.insert(server);
        self.names.insert(declared.name.clone(), key);
        key
    }
}

/// A backend server whose load is polled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadPoll {
    /// Name.
    pub server: ServerId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: Arc<str>,
}

fn find<'a>(
    servers: &'a mut SlotMap<ServerKey, Server>,
    names: &BTreeMap<ServerId, ServerKey>,
    name: &ServerId,
) -> Option<&'a mut Server> {
    let key = names.get(name)?;
    servers.get_mut(*key)
}
