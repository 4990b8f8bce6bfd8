//! Configuration of one instance: adopts versions, confirms them, accepts commands.
//!
//! [`ConfigService`] joins the core's [`ConfigLog`], [`QuorumTracker`] and [`Membership`] with the
//! platform and the peers. Each step is a method of its own, so that tests take them one by one;
//! [`tasks::start`] repeats them. What comes into force is told to an [`Adopted`].

pub mod follow;
pub mod gauges;
pub mod progress;
pub mod submit;
pub mod tasks;

use std::fmt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded};
use sardineshore_core::{Clock, Deployment, InstanceId, ServerId, Version};
use sardineshore_core::config_log::{Adoption, ConfigLog, LogEntry};
use sardineshore_core::event::config as events;
use sardineshore_core::membership::Membership;
use sardineshore_core::membership::leaving::LeavingServers;
use sardineshore_core::quarantine::Evidence;
use sardineshore_core::quorum::{QuorumConfig, QuorumTracker};
use sardineshore_wire::peer::InstancePhase;
use sardineshore_wire::platform::{InstanceList, ObjectStore, Table};
use slog::Logger;

use crate::config::gauges::ConfigGauges;
use crate::event_log::EventLog;
use crate::instance::Gate;
use crate::peers::PeerLink;

/// Takes what comes into force.
pub trait Adopted: fmt::Debug + Send + Sync {
    /// A configuration is in force from when this returns, with these backend servers leaving by
    /// the instance list. Called in the order of versions.
    fn adopted(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>);
}

/// Evidence on requests that crash backend servers, on its way between instances.
pub trait EvidenceExchange: fmt::Debug + Send + Sync {
    /// Recent evidence, for a peer.
    fn recent(&self) -> Vec<Evidence>;
    /// Takes evidence of a peer; what is known already changes nothing.
    fn merge(&self, evidence: Vec<Evidence>);
}

/// Exchanges no evidence.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoEvidence;

impl EvidenceExchange for NoEvidence {
    fn recent(&self) -> Vec<Evidence> {
        Vec::new()
    }

    fn merge(&self, _evidence: Vec<Evidence>) {}
}

/// Settings of the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigSettings {
    /// Name of this instance.
    pub name: InstanceId,
    /// Time between two exchanges with a peer.
    pub exchange_period: Duration,
    /// Reads of the head a second by all instances together.
    pub head_budget: f64,
    /// Shortest time between two reads of the head by one instance.
    pub head_period: Duration,
    /// Reads of the instance list a second by all instances together.
    pub list_budget: f64,
    /// Shortest time between two reads of the instance list by one instance.
    pub list_period: Duration,
    /// Age of the confirmation from which an instance reads the head by itself.
    pub renew_after: Duration,
    /// Longest wait for a majority to hold a written version.
    pub accept_timeout: Duration,
    /// Peers asked at the same time while a version spreads.
    pub wave: usize,
    /// Peers that an instance asks at once when it adopts a version.
    pub fanout: usize,
    /// Times of fencing.
    pub quorum: QuorumConfig,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            exchange_period: Duration::from_millis(400),
            head_budget: 20.0,
            head_period: Duration::from_millis(500),
            list_budget: 4.0,
            list_period: Duration::from_secs(1),
            renew_after: Duration::from_secs(2),
            accept_timeout: Duration::from_secs(2),
            wave: 16,
            fanout: 2,
            quorum: QuorumConfig::default(),
        }
    }
}

/// What the configuration service talks to.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Instance list.
    pub list: Arc<dyn InstanceList>,
    /// Peers.
    pub peers: Arc<dyn PeerLink>,
    /// Takes what comes into force.
    pub adopted: Arc<dyn Adopted>,
    /// Evidence that travels in exchanges.
    pub evidence: Arc<dyn EvidenceExchange>,
    /// Log.
    pub log: Logger,
}

/// What one instance knows of the configuration and its peers.
#[derive(Debug)]
pub struct ConfigState {
    /// Versions in force.
    pub log: ConfigLog,
    /// Who confirms them.
    pub quorum: QuorumTracker,
    /// Other instances.
    pub membership: Membership,
    /// Backend servers that are leaving.
    pub leaving: LeavingServers,
    /// When each peer had last confirmed its version with the store, as last told.
    pub peer_confirmed: BTreeMap<InstanceId, Instant>,
    /// A version accepted here that has yet to be told to the instances beyond the majority.
    accepted: Option<Version>,
    pub(crate) phase: InstancePhase,
    fenced: bool,
}

/// Configuration of one instance.
#[derive(Debug)]
pub struct ConfigService {
    /// Settings.
    pub settings: ConfigSettings,
    pub(crate) ports: Ports,
    event_log: EventLog,
    gauges: ConfigGauges,
    /// Taken before the locks of the instance's tables; not held across an `await`.
    state: Mutex<ConfigState>,
    /// One submission at a time; taken before `state`.
    submitting: async_std::sync::Mutex<()>,
    /// Wakes the task that tells peers of a new version or a leaving backend server.
    news: (Sender<()>, Receiver<()>),
}

impl ConfigService {
    /// Creates the service; it knows no version until its steps are taken.
    #[must_use]
    pub fn new(settings: ConfigSettings, ports: Ports) -> Self {
        let name = settings.name.clone();
        let state = ConfigState {
            log: ConfigLog::default(),
            quorum: QuorumTracker::new(name.clone(), settings.quorum.clone()),
            membership: Membership::new(name.clone()),
            leaving: LeavingServers::default(),
            peer_confirmed: BTreeMap::new(),
            accepted: None,
            phase: InstancePhase::Running,
            fenced: true,
        };
        Self {
            event_log: EventLog::new(ports.log.clone(), name, ports.clock.clone()),
            gauges: ConfigGauges::default(),
            state: Mutex::new(state),
            submitting: async_std::sync::Mutex::new(()),
            news: bounded(1),
            settings,
            ports,
        }
    }

    /// What the instance knows.
    pub fn state(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("configuration lock poisoned")
    }

    /// Whether the configuration is known to be current, so that callers may be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state().quorum.may_dispatch(self.now())
    }

    /// Tells peers from now on that this instance is leaving.
    pub fn leave(&self) {
        self.state().phase = InstancePhase::Leaving;
    }

    pub(crate) fn now(&self) -> Instant {
        self.ports.clock.now()
    }

    /// Adopts entries in order; those already in force are passed over.
    pub(crate) fn adopt(&self, entries: &[LogEntry]) {
        let mut state = self.state();
        for entry in entries {
            match state.log.adopt(entry) {
                Adoption::Adopted => self.in_force(&mut state),
                Adoption::AlreadyAdopted => {}
                Adoption::Gap | Adoption::Rejected => {
                    let text = format!("version {} after {}", entry.version, state.log.version());
                    self.event_log.warn(&events::ENTRY_UNFIT, text);
                    return;
                }
            }
        }
    }

    /// Takes a whole configuration, if its version is higher.
    pub(crate) fn restore(&self, snapshot: Deployment) {
        let mut state = self.state();
        if state.log.restore(snapshot) {
            self.in_force(&mut state);
        }
    }

    /// Puts the latest version in force, then lets it be told to peers.
    fn in_force(&self, state: &mut ConfigState) {
        let deployment = state.log.deployment().clone();
        let version = deployment.version;
        self.ports
            .adopted
            .adopted(deployment, &state.leaving.leaving());
        state.quorum.record_active_version(version, self.now());
        self.event_log
            .info(&events::VERSION_ADOPTED, format!("version {version}"));
        let _ = self.news.0.try_send(());
    }

    /// Puts a changed set of leaving backend servers in force.
    pub(crate) fn leaving_changed(&self, state: &ConfigState) {
        let leaving = state.leaving.leaving();
        let names: Vec<&str> = leaving.iter().map(|name| &**name).collect();
        self.event_log
            .info(&events::LEAVING_CHANGED, names.join(" "));
        self.ports
            .adopted
            .adopted(state.log.deployment().clone(), &leaving);
        let _ = self.news.0.try_send(());
    }

    /// Logs when the instance becomes fenced or ceases to be.
    pub fn watch_fence(&self) {
        let mut state = self.state();
        let now = self.now();
        let fenced = !state.quorum.may_dispatch(now);
        if fenced == state.fenced {
            return;
        }
        state.fenced = fenced;
        let quorum = state.quorum.status(now);
        drop(state);
        if fenced {
            self.event_log.warn(&events::FENCED, quorum.to_string());
        } else {
            self.event_log.info(&events::UNFENCED, quorum.to_string());
        }
    }
}

impl Gate for ConfigService {
    fn may_dispatch(&self) -> bool {
        self.is_ready()
    }
}
