//! Choice of a backend server for each attempt.
//!
//! [`Router`] holds the declared backend servers, what this instance has in flight on each and what
//! was observed and reported of them. It is told of every attempt's start and end and of every load
//! report, and is asked for the next choice.
//!
//! ```
//! use std::collections::BTreeSet;
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{
//!     Ask, BackendServer, Change, Deployment, Feedback, Router, RoutingConfig,
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
//! router.adopt(&deployment, &BTreeSet::new());
//!
//! let now = Instant::now();
//! let ask = Ask {
//!     pool: &"encoders".into(),
//!     request: "r1",
//!     customer: "studio",
//!     prefix: 0,
//!     idempotent: true,
//!     tried: &[],
//!     deadline: now + Duration::from_secs(6),
//! };
//! let choice = router.choose(&ask, now).unwrap();
//! router.started(&choice.server, now);
//! router.finished(&choice.server, &Feedback::default(), now);
//! ```

mod ask;
mod config;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

pub use ask::{Ask, AttemptResult, Choice, Feedback, LoadFigures, NoChoice};
pub use config::{Policy, RoutingConfig};

use crate::{BackendServer, Deployment, PoolId, ServerId, ServerRow, ServerState};

new_key_type! {
    /// Key of a backend server in the router.
    struct ServerKey;
}

#[derive(Debug)]
struct Server {
    declared: BackendServer,
    addr: Arc<str>,
    leaving: bool,
    in_flight: u32,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    figures: LoadFigures,
    at: Instant,
}

/// Chooses backend servers for one entry instance.
#[derive(Debug)]
pub struct Router {
    cfg: RoutingConfig,
    servers: SlotMap<ServerKey, Server>,
    names: BTreeMap<ServerId, ServerKey>,
    pools: BTreeMap<PoolId, Vec<ServerKey>>,
}

impl Server {
    fn may_send(&self) -> bool {
        self.declared.state == ServerState::Active && !self.leaving
    }
}

impl Router {
    /// Makes a router that knows no backend servers.
    #[must_use]
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            cfg,
            servers: SlotMap::with_key(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Takes over a new configuration or a new set of leaving backend servers.
    ///
    /// What was observed of a backend server is kept as long as it stays declared.
    pub fn adopt(&mut self, deployment: &Deployment, leaving: &BTreeSet<ServerId>) {
        self.cfg.objective = deployment.objective;
        self.forget_undeclared(deployment);
        self.pools.clear();
        for (name, declared) in &deployment.servers {
            let key = self.declare(declared, leaving.contains(name));
            self.pools
                .entry(declared.pool.clone())
                .or_default()
                .push(key);
        }
    }

    /// Chooses a backend server for one attempt.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Result<Choice, NoChoice> {
        if ask.deadline <= now {
            return Err(NoChoice::TooLate);
        }
        let pool = self.pools.get(ask.pool).ok_or(NoChoice::NoServer)?;
        pool.iter()
            .map(|key| &self.servers[*key])
            .filter(|server| server.may_send())
            .min_by_key(|server| (ask.tried.contains(&server.declared.name), server.in_flight))
            .map(|server| Choice {
                server: server.declared.name.clone(),
                addr: server.addr.clone(),
                predicted: Duration::ZERO,
            })
            .ok_or(NoChoice::NoServer)
    }

    /// Notes that an attempt was sent.
    pub fn started(&mut self, server: &ServerId, _now: Instant) {
        if let Some(server) = self.find_mut(server) {
            server.in_flight += 1;
        }
    }

    /// Notes that an attempt ended; call it once for each [`started`](Self::started).
    pub fn finished(&mut self, server: &ServerId, _feedback: &Feedback, _now: Instant) {
        if let Some(server) = self.find_mut(server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Takes in a load report.
    pub fn reported(&mut self, server: &ServerId, report: &LoadFigures, now: Instant) {
        if let Some(server) = self.find_mut(server) {
            server.report = Some(Report {
                figures: *report,
                at: now.checked_sub(report.age).unwrap_or(now),
            });
        }
    }

    /// Whether a backend server may receive new work: it is declared, active and not leaving.
    ///
    /// To be asked at the last moment before a send.
    #[must_use]
    pub fn may_send(&self, server: &ServerId) -> bool {
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

    fn find_mut(&mut self, server: &ServerId) -> Option<&mut Server> {
        let key = self.names.get(server)?;
        self.servers.get_mut(*key)
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
            let server = &mut self.servers[*key];
            server.addr = declared.addr.as_str().into();
            server.declared = declared.clone();
            server.leaving = leaving;
            return *key;
        }
        let key = self.servers.insert(Server {
            declared: declared.clone(),
            addr: declared.addr.as_str().into(),
            leaving,
            in_flight: 0,
            report: None,
        });
        self.names.insert(declared.name.clone(), key);
        key
    }
}

impl Server {
    fn row(&self, now: Instant) -> ServerRow {
        let figures = self.report.map(|report| report.figures).unwrap_or_default();
        ServerRow {
            server: self.declared.clone(),
            in_flight: self.in_flight,
            running: figures.running,
            queued: figures.queued,
            report_age_ms: self.report.map(|report| age_ms(report.at, now)),
            ejected: false,
            leaving: self.leaving,
        }
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
