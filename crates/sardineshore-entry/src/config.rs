//! The configuration service of one instance: activates new versions, confirms that the active one
//! is current, and accepts operators' commands.
//!
//! [`ConfigService`] connects the core's [`ConfigLog`], [`QuorumTracker`] and [`Membership`] to the
//! platform and the peers. Each step is a separate method, so that tests can run the steps one at
//! a time; [`tasks::start`] runs them repeatedly. A [`ConfigObserver`] receives each configuration
//! that becomes active.

pub mod gauges;
pub mod polling;
pub mod progress;
pub mod submit;
pub mod tasks;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded};
use sardineshore_core::config_log::{Adoption, ConfigLog, LogEntry};
use sardineshore_core::event::config as events;
use sardineshore_core::flow::quarantine::Evidence as PromptEvidence;
use sardineshore_core::membership::Membership;
use sardineshore_core::membership::leaving::LeavingServers;
use sardineshore_core::quarantine::Evidence;
use sardineshore_core::quorum::{QuorumConfig, QuorumTracker};
use sardineshore_core::{Clock, Deployment, InstanceId, ServerId, Version};
use sardineshore_wire::peer::InstancePhase;
use sardineshore_wire::platform::{InstanceList, ObjectStore, Table};
use slog::Logger;

use crate::config::gauges::ConfigGauges;
use crate::event_log::EventLog;
use crate::instance::DispatchGate;
use crate::peers::PeerLink;

/// Receives each configuration that becomes active.
pub trait ConfigObserver: fmt::Debug + Send + Sync {
    /// Activates a configuration; it is active when this returns. `leaving` holds the backend
    /// servers that leave according to the instance list. Called in the order of versions.
    fn config_activated(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>);
}

/// Source and destination of the crash evidence that instances exchange.
pub trait EvidenceExchange: fmt::Debug + Send + Sync {
    /// Recent evidence, to send to a peer.
    fn recent(&self) -> Vec<Evidence>;
    /// Merges evidence from a peer; known evidence is ignored.
    fn merge(&self, evidence: Vec<Evidence>);
    /// Recent evidence about beginnings of prompts, to send to a peer.
    fn recent_prompts(&self) -> Vec<PromptEvidence>;
    /// Merges evidence from a peer about beginnings of prompts; known evidence is ignored.
    fn merge_prompts(&self, evidence: Vec<PromptEvidence>);
}

/// An exchange that provides and keeps no evidence.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoEvidence;

impl EvidenceExchange for NoEvidence {
    fn recent(&self) -> Vec<Evidence> {
        Vec::new()
    }

    fn merge(&self, _evidence: Vec<Evidence>) {}

    fn recent_prompts(&self) -> Vec<PromptEvidence> {
        Vec::new()
    }

    fn merge_prompts(&self, _evidence: Vec<PromptEvidence>) {}
}

/// Settings of the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigSettings {
    /// Name of this instance.
    pub name: InstanceId,
    /// Mean time between two exchanges with peers.
    pub exchange_interval: Duration,
    /// Reads of the log head per second, by all instances together.
    pub head_reads_per_second: f64,
    /// Minimum time between two reads of the log head by one instance.
    pub min_head_interval: Duration,
    /// Reads of the instance list per second, by all instances together.
    pub list_reads_per_second: f64,
    /// Minimum time between two reads of the instance list by one instance.
    pub min_list_interval: Duration,
    /// Age of the confirmation from which an instance reads the log head without waiting for its
    /// share of the reads.
    pub confirmation_refresh_age: Duration,
    /// Maximum wait until a majority holds a written version.
    pub accept_timeout: Duration,
    /// Maximum number of simultaneous exchanges while a version is replicated.
    pub max_parallel_exchanges: usize,
    /// Number of random peers that an instance contacts when it activates a version.
    pub gossip_fanout: usize,
    /// Time limits of fencing.
    pub quorum: QuorumConfig,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            exchange_interval: Duration::from_millis(400),
            head_reads_per_second: 20.0,
            min_head_interval: Duration::from_millis(500),
            list_reads_per_second: 4.0,
            min_list_interval: Duration::from_secs(1),
            confirmation_refresh_age: Duration::from_secs(2),
            accept_timeout: Duration::from_secs(2),
            max_parallel_exchanges: 16,
            gossip_fanout: 2,
            quorum: QuorumConfig::default(),
        }
    }
}

/// Services that the configuration service uses.
#[derive(Debug, Clone)]
pub struct ConfigDependencies {
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
    /// Receives each configuration that becomes active.
    pub observer: Arc<dyn ConfigObserver>,
    /// Crash evidence to exchange with peers.
    pub evidence: Arc<dyn EvidenceExchange>,
    /// Log.
    pub log: Logger,
}

/// State of the configuration and the peers, as known to one instance.
#[derive(Debug)]
pub struct ConfigState {
    /// The configuration log up to the active version.
    pub log: ConfigLog,
    /// Contact with store and peers, which confirms that the active version is current.
    pub quorum: QuorumTracker,
    /// Other instances.
    pub membership: Membership,
    /// Backend servers that are leaving.
    pub leaving: LeavingServers,
    /// Time at which each peer last confirmed its version with the store, as it reported.
    pub peer_confirmed: BTreeMap<InstanceId, Instant>,
    /// Number of entries of the instance list that name no process.
    unreadable_listed: usize,
    /// A version accepted here that was not yet replicated to the instances beyond the majority.
    accepted_version: Option<Version>,
    pub(crate) phase: InstancePhase,
    fenced: bool,
}

/// The configuration service of one instance.
#[derive(Debug)]
pub struct ConfigService {
    /// Settings.
    pub settings: ConfigSettings,
    pub(crate) dependencies: ConfigDependencies,
    event_log: EventLog,
    gauges: ConfigGauges,
    /// Locked before the instance's tables; never held across an `await`.
    state: Mutex<ConfigState>,
    /// Serializes submissions; locked before `state`.
    submit_lock: async_std::sync::Mutex<()>,
    /// Wakes the task that announces a new version or a leaving backend server to peers.
    update_signal: (Sender<()>, Receiver<()>),
}

impl ConfigService {
    /// Creates the service; it has no version until its steps run.
    #[must_use]
    pub fn new(settings: ConfigSettings, dependencies: ConfigDependencies) -> Self {
        let name = settings.name.clone();
        let state = ConfigState {
            log: ConfigLog::default(),
            quorum: QuorumTracker::new(name.clone(), settings.quorum.clone()),
            membership: Membership::new(name.clone()),
            leaving: LeavingServers::default(),
            peer_confirmed: BTreeMap::new(),
            unreadable_listed: 0,
            accepted_version: None,
            phase: InstancePhase::Running,
            fenced: true,
        };
        Self {
            event_log: EventLog::new(dependencies.log.clone(), name, dependencies.clock.clone()),
            gauges: ConfigGauges::default(),
            state: Mutex::new(state),
            submit_lock: async_std::sync::Mutex::new(()),
            update_signal: bounded(1),
            settings,
            dependencies,
        }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("configuration lock poisoned")
    }

    /// Whether the configuration is confirmed to be current, so that callers may be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state().quorum.may_dispatch(self.now())
    }

    /// Announces to peers, from the next exchange on, that this instance is leaving.
    pub fn announce_leaving(&self) {
        self.state().phase = InstancePhase::Leaving;
    }

    pub(crate) fn now(&self) -> Instant {
        self.dependencies.clock.now()
    }

    /// Applies log entries in order and skips those that are already active. Stops at an entry that
    /// leaves a gap or cannot be applied.
    pub(crate) fn adopt(&self, entries: &[LogEntry]) {
        let mut state = self.state();
        for entry in entries {
            match state.log.adopt(entry) {
                Adoption::Adopted => self.activate(&mut state),
                Adoption::AlreadyAdopted => {}
                Adoption::Gap | Adoption::Rejected => {
                    let text = format!(
                        "cannot apply version {} after version {}",
                        entry.version,
                        state.log.version()
                    );
                    self.event_log.warn(&events::ENTRY_UNFIT, text);
                    return;
                }
            }
        }
    }

    /// Replaces the configuration by a snapshot if its version is higher.
    pub(crate) fn restore_snapshot(&self, snapshot: Deployment) {
        let mut state = self.state();
        if state.log.restore(snapshot) {
            self.activate(&mut state);
        }
    }

    /// Activates the latest version and triggers its announcement to peers.
    fn activate(&self, state: &mut ConfigState) {
        let deployment = state.log.deployment().clone();
        let version = deployment.version;
        self.dependencies
            .observer
            .config_activated(deployment, &state.leaving.leaving());
        state.quorum.record_active_version(version, self.now());
        self.event_log
            .info(&events::VERSION_ADOPTED, format!("version {version}"));
        let _ = self.update_signal.0.try_send(());
    }

    /// Activates a changed set of leaving backend servers and triggers its announcement to peers.
    pub(crate) fn activate_leaving(&self, state: &ConfigState) {
        let leaving = state.leaving.leaving();
        let names: Vec<&str> = leaving.iter().map(|name| &**name).collect();
        self.event_log
            .info(&events::LEAVING_CHANGED, names.join(" "));
        self.dependencies
            .observer
            .config_activated(state.log.deployment().clone(), &leaving);
        let _ = self.update_signal.0.try_send(());
    }

    /// Logs when the instance becomes fenced or is no longer fenced.
    pub fn log_fencing_change(&self) {
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

impl DispatchGate for ConfigService {
    fn may_dispatch(&self) -> bool {
        self.is_ready()
    }
}
