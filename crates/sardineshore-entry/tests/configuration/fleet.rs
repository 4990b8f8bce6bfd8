//! Simulates instances in one process, with a table, an instance list and a network that can fail.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use sardineshore_core::{
    Clock, CommitOutcome, Deployment, InstanceId, MemoryTable, Row, ServerId, StoreError, Txn,
    Version,
};
use sardineshore_entry::config::{
    ConfigDependencies, ConfigObserver, ConfigService, ConfigSettings, NoEvidence, tasks,
};
use sardineshore_entry::peers::{PeerError, PeerLink};
use sardineshore_wire::peer::{GossipMessage, LogReply};
use sardineshore_wire::platform::{
    InstanceList, ListedProcess, Listing, ObjectStore, ProcessRole, Table,
};

/// State and faults of the platform.
#[derive(Debug, Default)]
pub struct Store {
    rows: MemoryTable,
    objects: BTreeMap<String, String>,
    /// Lines of the instance list.
    pub listed: Vec<ListedProcess>,
    /// Whether all calls of the table and the object store fail.
    pub down: bool,
    /// Whether the response to the next commit is lost after the commit took effect.
    pub lose_next: bool,
    /// Whether the store goes down right after the next commit.
    pub down_after_next: bool,
    /// Rows of an outdated replica, which answers reads if set.
    pub stale_rows: Option<MemoryTable>,
    /// Calls by method.
    pub calls: BTreeMap<&'static str, u64>,
}

impl Store {
    /// Makes all later reads return the current rows.
    pub fn freeze_reads(&mut self) {
        self.stale_rows = Some(self.rows.clone());
    }

    fn readable(&self) -> &MemoryTable {
        self.stale_rows.as_ref().unwrap_or(&self.rows)
    }
}

/// The platform and the network that the instances share.
#[derive(Debug, Default)]
pub struct Simulation {
    store: Mutex<Store>,
    services: Mutex<BTreeMap<InstanceId, Arc<ConfigService>>>,
    disconnected: Mutex<BTreeSet<InstanceId>>,
    /// Bytes of requests and replies between peers, without framing.
    pub peer_bytes: AtomicU64,
    /// Exchanges between peers.
    pub exchanges: AtomicU64,
}

impl Simulation {
    /// The platform.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap()
    }

    /// Disconnects an instance from the platform and from its peers.
    pub fn disconnect(&self, name: &str) {
        self.disconnected.lock().unwrap().insert(name.into());
    }

    /// Connects an instance again.
    pub fn reconnect(&self, name: &str) {
        self.disconnected.lock().unwrap().remove(name);
    }

    fn is_disconnected(&self, name: &str) -> bool {
        self.disconnected.lock().unwrap().contains(name)
    }

    fn count(&self, value: &impl serde::Serialize) {
        let bytes = serde_json::to_vec(value).unwrap().len() as u64;
        self.peer_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Access of one instance to the simulated platform and network.
#[derive(Debug)]
struct SimulatedNode {
    simulation: Arc<Simulation>,
    me: InstanceId,
}

impl SimulatedNode {
    fn store(&self, call: &'static str) -> Result<MutexGuard<'_, Store>, StoreError> {
        let mut store = self.simulation.store();
        *store.calls.entry(call).or_default() += 1;
        if store.down || self.simulation.is_disconnected(&self.me) {
            return Err(StoreError::Unavailable);
        }
        Ok(store)
    }

    fn peer(&self, addr: &Arc<str>) -> Result<Arc<ConfigService>, PeerError> {
        let unreachable = || PeerError {
            addr: addr.clone(),
            reason: "no route".into(),
        };
        if self.simulation.is_disconnected(&self.me) || self.simulation.is_disconnected(addr) {
            return Err(unreachable());
        }
        let services = self.simulation.services.lock().unwrap();
        services.get(addr).cloned().ok_or_else(unreachable)
    }
}

#[async_trait]
impl Table for SimulatedNode {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        let mut store = self.store("commit")?;
        let commit = store.rows.commit(txn);
        store.down = std::mem::take(&mut store.down_after_next);
        if std::mem::take(&mut store.lose_next) {
            return Err(StoreError::Unconfirmed);
        }
        Ok(commit)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.store("read")?.readable().get(key).cloned())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let store = self.store("scan")?;
        Ok(store.readable().scan(prefix, after, limit))
    }
}

#[async_trait]
impl ObjectStore for SimulatedNode {
    async fn put(&self, name: &str, body: &str) -> Result<(), StoreError> {
        let mut store = self.store("put")?;
        store.objects.insert(name.into(), body.into());
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<String>, StoreError> {
        Ok(self.store("get")?.objects.get(name).cloned())
    }
}

#[async_trait]
impl InstanceList for SimulatedNode {
    async fn list(&self) -> Result<Listing, StoreError> {
        if self.simulation.is_disconnected(&self.me) {
            return Err(StoreError::Unavailable);
        }
        let mut store = self.simulation.store();
        *store.calls.entry("list").or_default() += 1;
        Ok(Listing {
            processes: store.listed.clone(),
            unreadable: 0,
        })
    }
}

#[async_trait]
impl PeerLink for SimulatedNode {
    async fn exchange(
        &self,
        addr: &Arc<str>,
        request: GossipMessage,
    ) -> Result<GossipMessage, PeerError> {
        self.simulation.count(&request);
        let reply = self.peer(addr)?.handle_exchange(request).await;
        self.simulation.count(&reply);
        self.simulation.exchanges.fetch_add(1, Ordering::Relaxed);
        Ok(reply)
    }

    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError> {
        let reply = self.peer(addr)?.log_after(after);
        self.simulation.count(&reply);
        Ok(reply)
    }

    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError> {
        let peer = self.peer(addr)?;
        let names = peer.state().membership.roster().names.to_vec();
        self.simulation.count(&names);
        Ok(names)
    }
}

/// Records the configurations that became active on one instance.
#[derive(Debug, Default)]
pub struct Recorder {
    versions: Mutex<Vec<Version>>,
    leaving: Mutex<BTreeSet<ServerId>>,
}

impl Recorder {
    /// Versions in the order in which they became active, without repetitions.
    pub fn versions(&self) -> Vec<Version> {
        let mut versions = self.versions.lock().unwrap().clone();
        versions.dedup();
        versions
    }

    /// Leaving backend servers.
    pub fn leaving(&self) -> Vec<ServerId> {
        self.leaving.lock().unwrap().iter().cloned().collect()
    }
}

impl ConfigObserver for Recorder {
    fn config_activated(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>) {
        self.versions.lock().unwrap().push(deployment.version);
        self.leaving.lock().unwrap().clone_from(leaving);
    }
}

/// One instance and its recorder.
#[derive(Debug, Clone)]
pub struct Node {
    /// Service.
    pub service: Arc<ConfigService>,
    /// Configurations that became active.
    pub recorder: Arc<Recorder>,
}

/// Starts an instance and adds it to the instance list; the caller runs its steps.
pub fn start(
    simulation: &Arc<Simulation>,
    clock: &Arc<dyn Clock>,
    settings: ConfigSettings,
) -> Node {
    let name = settings.name.clone();
    let node = build(simulation, clock, settings, None);
    simulation
        .store()
        .listed
        .push(listed(&name, ProcessRole::Entry));
    let mut services = simulation.services.lock().unwrap();
    services.insert(name, node.service.clone());
    drop(services);
    node
}

/// Access of one instance to the table.
pub fn table(simulation: &Arc<Simulation>, name: &str) -> Arc<dyn Table> {
    Arc::new(SimulatedNode {
        simulation: simulation.clone(),
        me: name.into(),
    })
}

/// Builds an instance without adding it to the instance list. It reaches its peers through `link`,
/// or through the simulation if that is `None`.
pub fn build(
    simulation: &Arc<Simulation>,
    clock: &Arc<dyn Clock>,
    settings: ConfigSettings,
    link: Option<Arc<dyn PeerLink>>,
) -> Node {
    let name = settings.name.clone();
    let simulated = Arc::new(SimulatedNode {
        simulation: simulation.clone(),
        me: name,
    });
    let recorder = Arc::new(Recorder::default());
    let dependencies = ConfigDependencies {
        clock: clock.clone(),
        table: simulated.clone(),
        objects: simulated.clone(),
        list: simulated.clone(),
        peers: link.unwrap_or(simulated),
        observer: recorder.clone(),
        evidence: Arc::new(NoEvidence),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let service = Arc::new(ConfigService::new(settings, dependencies));
    Node { service, recorder }
}

/// A line of the instance list; the address of an instance is its name.
pub fn listed(name: &str, role: ProcessRole) -> ListedProcess {
    ListedProcess {
        name: name.into(),
        addr: name.into(),
        domain: "d".into(),
        role,
        leaving: false,
    }
}

/// Runs an instance's tasks.
pub fn run(node: &Node) -> tasks::ConfigTasks {
    tasks::start(&node.service)
}
