//! Instances in one process around a table, an instance list and a network with fault switches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use sardineshore_core::{Clock, CommitOutcome, Deployment, InstanceId, MemoryTable, Row, ServerId, StoreError, Txn, Version};
use sardineshore_entry::config::{ConfigDependencies, ConfigObserver, ConfigService, ConfigSettings, NoEvidence, tasks};
use sardineshore_entry::peers::{PeerError, PeerLink};
use sardineshore_wire::peer::{GossipMessage, LogReply};
use sardineshore_wire::platform::{InstanceList, ListedProcess, ObjectStore, ProcessRole, Table};

/// What the platform holds, and its faults.
#[derive(Debug, Default)]
pub struct Store {
    rows: MemoryTable,
    objects: BTreeMap<String, String>,
    /// Lines of the instance list.
    pub listed: Vec<ListedProcess>,
    /// Whether all calls of the table and the object store are refused.
    pub down: bool,
    /// Whether the confirmation of the next commit is lost after it took effect.
    pub lose_next: bool,
    /// Whether the store goes down right after the next commit.
    pub down_after_next: bool,
    /// Rows as an older replica answers reads with them.
    pub stale: Option<MemoryTable>,
    /// Calls by method.
    pub calls: BTreeMap<&'static str, u64>,
}

impl Store {
    /// Reads are answered from now on as of this moment.
    pub fn go_stale(&mut self) {
        self.stale = Some(self.rows.clone());
    }

    fn readable(&self) -> &MemoryTable {
        self.stale.as_ref().unwrap_or(&self.rows)
    }
}

/// Everything that the instances share.
#[derive(Debug, Default)]
pub struct World {
    store: Mutex<Store>,
    services: Mutex<BTreeMap<InstanceId, Arc<ConfigService>>>,
    cut: Mutex<BTreeSet<InstanceId>>,
    /// Bytes of questions and answers between peers, without framing.
    pub peer_bytes: AtomicU64,
    /// Exchanges between peers.
    pub exchanges: AtomicU64,
}

impl World {
    /// The platform.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap()
    }

    /// Cuts an instance from the platform and from its peers.
    pub fn cut(&self, name: &str) {
        self.cut.lock().unwrap().insert(name.into());
    }

    /// Connects an instance again.
    pub fn heal(&self, name: &str) {
        self.cut.lock().unwrap().remove(name);
    }

    fn is_cut(&self, name: &str) -> bool {
        self.cut.lock().unwrap().contains(name)
    }

    fn count(&self, value: &impl serde::Serialize) {
        let bytes = serde_json::to_vec(value).unwrap().len() as u64;
        self.peer_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The world as one instance reaches it.
#[derive(Debug)]
struct Reach {
    world: Arc<World>,
    me: InstanceId,
}

impl Reach {
    fn store(&self, call: &'static str) -> Result<MutexGuard<'_, Store>, StoreError> {
        let mut store = self.world.store();
        *store.calls.entry(call).or_default() += 1;
        if store.down || self.world.is_cut(&self.me) {
            return Err(StoreError::Unavailable);
        }
        Ok(store)
    }

    fn peer(&self, addr: &Arc<str>) -> Result<Arc<ConfigService>, PeerError> {
        let unreachable = || PeerError {
            addr: addr.clone(),
            reason: "no route".into(),
        };
        if self.world.is_cut(&self.me) || self.world.is_cut(addr) {
            return Err(unreachable());
        }
        let services = self.world.services.lock().unwrap();
        services.get(addr).cloned().ok_or_else(unreachable)
    }
}

#[async_trait]
impl Table for Reach {
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
impl ObjectStore for Reach {
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
impl InstanceList for Reach {
    async fn list(&self) -> Result<Vec<ListedProcess>, StoreError> {
        if self.world.is_cut(&self.me) {
            return Err(StoreError::Unavailable);
        }
        let mut store = self.world.store();
        *store.calls.entry("list").or_default() += 1;
        Ok(store.listed.clone())
    }
}

#[async_trait]
impl PeerLink for Reach {
    async fn exchange(
        &self,
        addr: &Arc<str>,
        question: GossipMessage,
    ) -> Result<GossipMessage, PeerError> {
        self.world.count(&question);
        let answer = self.peer(addr)?.answer(question).await;
        self.world.count(&answer);
        self.world.exchanges.fetch_add(1, Ordering::Relaxed);
        Ok(answer)
    }

    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError> {
        let reply = self.peer(addr)?.log_after(after);
        self.world.count(&reply);
        Ok(reply)
    }

    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError> {
        let peer = self.peer(addr)?;
        let names = peer.state().membership.roster().names.to_vec();
        self.world.count(&names);
        Ok(names)
    }
}

/// Records what came into force on one instance.
#[derive(Debug, Default)]
pub struct Recorder {
    versions: Mutex<Vec<Version>>,
    leaving: Mutex<BTreeSet<ServerId>>,
}

impl Recorder {
    /// Versions in the order in which they came into force, without repetitions.
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

/// One instance with what it has put in force.
#[derive(Debug, Clone)]
pub struct Node {
    /// Service.
    pub service: Arc<ConfigService>,
    /// What came into force.
    pub recorder: Arc<Recorder>,
}

/// Starts an instance; it is listed, and its steps are the caller's to take.
pub fn start(world: &Arc<World>, clock: &Arc<dyn Clock>, settings: ConfigSettings) -> Node {
    let name = settings.name.clone();
    let node = build(world, clock, settings, None);
    world.store().listed.push(listed(&name, ProcessRole::Entry));
    let mut services = world.services.lock().unwrap();
    services.insert(name, node.service.clone());
    drop(services);
    node
}

/// The table as one instance reaches it.
pub fn table(world: &Arc<World>, name: &str) -> Arc<dyn Table> {
    Arc::new(Reach {
        world: world.clone(),
        me: name.into(),
    })
}

/// Builds an instance that is not listed, with a link to its peers if not through the world.
pub fn build(
    world: &Arc<World>,
    clock: &Arc<dyn Clock>,
    settings: ConfigSettings,
    link: Option<Arc<dyn PeerLink>>,
) -> Node {
    let name = settings.name.clone();
    let reach = Arc::new(Reach {
        world: world.clone(),
        me: name,
    });
    let recorder = Arc::new(Recorder::default());
    let dependencies = ConfigDependencies {
        clock: clock.clone(),
        table: reach.clone(),
        objects: reach.clone(),
        list: reach.clone(),
        peers: link.unwrap_or(reach),
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
