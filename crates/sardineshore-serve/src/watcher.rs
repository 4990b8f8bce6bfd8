//! Keeps [`SharedState`] and the list of instances up to date from the store: reads and watches its
//! tables, or takes what another instance hands on, see [`crate::relay`].
//!
//! A response that shows an older state of the store than a previous one changes nothing; the
//! whole table is then read again.
//!
//! Module `waits` tells how long calls wait, `tables` applies what they bring, `evacuation` the rows that evacuate
//! failure domains, and `restore` handles a store that comes back from a copy.

mod evacuation;
mod restore;
mod tables;
mod waits;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::registry::ServerRegistry;
use sardineshore_core::flow::replica::{ApplyError, TableChanges, TableReplica};
use sardineshore_core::flow::store_era::StoreEra;
use slog::{Logger, debug, info, warn};
use tokio::sync::Notify;
use waits::{BACKOFF_STEP, CONFIG_WAIT, INSTANCES_DELAY, MAX_BACKOFF};

use crate::attempt::Dispatcher;
use crate::crashes::CrashMonitor;
use crate::dialect::{Dialect, StoreVersion, Table};
use crate::limits::LimitExchange;
use crate::peers::{InstanceInfo, Peers};
use crate::relay::{Applied, KnownVersions, ReaderMessage, Stamp, StoreRelay};
use crate::settings::Bounds;
use crate::state::{SharedState, boot_time};
use crate::store::{Store, StoreError, TimedPage};
use crate::stream_versions::{TableCheckEnd, VersionRecords};

/// Delay before the registration of the instance is checked or tried again.
const REGISTRATION_DELAY: Duration = Duration::from_millis(400);

/// Called after the configuration or the list of servers changed.
pub type ChangeCallback = Box<dyn Fn()>;

/// Why a response or a message was not applied.
#[derive(Debug, thiserror::Error)]
enum PageError {
    #[error(transparent)]
    NotApplicable(#[from] ApplyError),
    #[error("the configuration can't be decoded or is older than the active one")]
    UnusableConfig,
}

/// Time after which an instance that reads the store has its list of servers checked, unless a response
/// with the configuration has shown that the list is complete. Far below
/// [`sardineshore_core::flow::stream_versions::NEW_VERSION_DELAY`].
const MAX_LIST_AGE: Duration = Duration::from_millis(900);
/// How often that time is looked at.
const LIST_AGE_INTERVAL: Duration = Duration::from_millis(250);

/// A response of the store with the configuration.
#[derive(Debug, Clone, Copy)]
struct ConfigResponse {
    /// Version of the store.
    version: StoreVersion,
    /// When the call was sent and its response received, as [`boot_time`].
    sent: Duration,
    received: Duration,
    /// Reading of the store's clock, in milliseconds.
    store_time_ms: u64,
}

/// Watches the tables of one store.
pub struct StoreWatcher {
    store: Rc<Store>,
    dialect: Rc<dyn Dialect>,
    state: Rc<SharedState>,
    peers: Rc<Peers>,
    relay: Rc<StoreRelay>,
    crashes: Rc<CrashMonitor>,
    limits: Rc<LimitExchange>,
    versions: Rc<VersionRecords>,
    log: Logger,
    servers: RefCell<ServerRegistry>,
    instances: RefCell<BTreeMap<Name, InstanceInfo>>,
    /// In the order of [`Table::ALL`].
    replicas: RefCell<[TableReplica; Table::ALL.len()]>,
    on_change: ChangeCallback,
    /// Longest time for which a server that leaves may still get requests.
    drain_bound: Duration,
    /// Whether the newest configuration that was read is the active one.
    config_usable: Cell<bool>,
    /// Whether the store's responses confirm the configuration. Its times are [`boot_time`].
    era: RefCell<StoreEra>,
    /// Latest response that did not confirm the configuration as far as was known, and when it was produced.
    unconfirmed: Cell<Option<(ConfigResponse, Duration)>>,
    /// Instances whose rows a restored store lacks, and when they are dropped.
    unlisted_instances: RefCell<BTreeMap<Name, Instant>>,
    instances_restored: Notify,
    started_at: Instant,
    /// Whether this instance had no row in the first list of instances.
    was_unlisted: Cell<bool>,
    /// Newest time of the store that confirmed the configuration.
    store_time_ms: Cell<Option<u64>>,
    /// [`StoreRelay::lost_reader_count`] as of the last successful call for the configuration;
    /// `None` after a failed one. The other tables are read only while the store is known to be
    /// reachable.
    reachable: Cell<Option<u64>>,
    reachable_changed: Notify,
    /// Number of times that a call for the configuration succeeded after a failed one.
    outages: Cell<u64>,
    /// Notified when changes of the servers were applied.
    servers_applied: Notify,
    /// When the use of servers without an entry ends, or last ended.
    missing_until: Cell<Option<Instant>>,
    clock_checked_at: Cell<Instant>,
    check_clock: Notify,
    /// Notified when a domain is evacuated or returns.
    evacuations_changed: Notify,
}

impl std::fmt::Debug for StoreWatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreWatcher").finish_non_exhaustive()
    }
}

/// Position of a table in [`Table::ALL`].
fn table_index(table: Table) -> usize {
    match table {
        Table::Config => 0,
        Table::Servers => 1,
        Table::Instances => 2,
        Table::Crashes => 3,
        Table::Limits => 4,
        Table::BaseVersions => 5,
    }
}

impl StoreWatcher {
    /// A watcher that updates `state` and then calls `on_change`, and updates the instances of
    /// `peers`.
    #[must_use]
    pub fn new(
        store: Rc<Store>,
        state: Rc<SharedState>,
        peers: Rc<Peers>,
        dispatcher: &Dispatcher,
        log: Logger,
        bounds: &Bounds,
        on_change: ChangeCallback,
    ) -> Self {
        Self {
            dialect: store.dialect().clone(),
            store,
            state,
            relay: peers.relay().clone(),
            peers,
            crashes: dispatcher.crashes().clone(),
            limits: dispatcher.limits().clone(),
            versions: dispatcher.versions().clone(),
            log,
            servers: RefCell::new(ServerRegistry::new(bounds.entry_lifetime)),
            instances: RefCell::default(),
            replicas: RefCell::default(),
            on_change,
            drain_bound: bounds.drain,
            config_usable: Cell::new(true),
            era: RefCell::new(StoreEra::new(dispatcher.versions().is_first_start())),
            unconfirmed: Cell::new(None),
            unlisted_instances: RefCell::default(),
            instances_restored: Notify::new(),
            started_at: Instant::now(),
            was_unlisted: Cell::new(false),
            store_time_ms: Cell::new(None),
            reachable: Cell::new(Some(0)),
            reachable_changed: Notify::new(),
            outages: Cell::new(0),
            servers_applied: Notify::new(),
            missing_until: Cell::new(None),
            clock_checked_at: Cell::new(Instant::now()),
            check_clock: Notify::new(),
            evacuations_changed: Notify::new(),
        }
    }

    /// Starts all tasks; they run until the runtime stops.
    pub fn start(self: &Rc<Self>) {
        for table in Table::ALL {
            let watcher = self.clone();
            tokio::task::spawn_local(async move { watcher.watch(table).await });
        }
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.follow().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.greet_subscribers().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.register().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.check_servers().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.check_base_rows().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.keep_list_complete().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.write_settled_era().await });
        let watcher = self.clone();
        tokio::task::spawn_local(async move { watcher.follow_evacuations().await });
    }

    fn version(&self, table: Table) -> Option<StoreVersion> {
        self.replicas.borrow()[table_index(table)].version()
    }

    fn known_versions(&self) -> KnownVersions {
        Table::ALL.map(|table| self.version(table))
    }

    /// Watches a table forever: reads it, or waits while another instance hands it on.
    async fn watch(&self, table: Table) {
        let mut failures = 0;
        let mut wait = self.longest_wait(table);
        // Whether all rows have to be read, not only the changes.
        let mut read_all = true;
        loop {
            if !self.relay.must_read() {
                self.wait_as_follower(table).await;
                (failures, wait) = (0, Duration::ZERO);
                read_all = self.version(table).is_none();
            }
            if table != Table::Config {
                self.wait_until_reachable().await;
            }
            let awaits_first_reader = !matches!(table, Table::Config | Table::Instances);
            if awaits_first_reader && self.version(table).is_none() {
                self.wait_at_first_start().await;
                if !self.relay.must_read() {
                    continue;
                }
            }
            let after = self.version(table).filter(|_| !read_all);
            let call = async {
                match after {
                    None => self.store.read(table).await,
                    Some(after) => {
                        let wait = wait.min(self.time_to_settle(table));
                        self.store.watch(table, after, wait).await
                    }
                }
            };
            // The first subscriber needs a confirmation that is more recent than the last one.
            let awaits_subscriber = table == Table::Config && !self.relay.has_subscribers();
            let result = tokio::select! {
                biased;
                () = self.relay.wait_must_read(false) => continue,
                // The store may have lost a call that it got during an outage.
                () = self.wait_outage_end(), if table != Table::Config => continue,
                () = self.relay.wait_for_subscriber(), if awaits_subscriber => {
                    wait = Duration::ZERO;
                    continue;
                }
                result = call => result,
            };
            match result {
                Ok(timed) => {
                    if failures > 0 {
                        info!(self.log, "store is reachable again"; "table" => ?table, "failures" => failures);
                    }
                    failures = 0;
                    let changed = !timed.page.rows.is_empty();
                    // A check of the list may have brought later changes in the meantime.
                    if after.is_some() && self.version(table) > after.max(Some(timed.page.version))
                    {
                        continue;
                    }
                    if let Err(error) = self.apply_page(table, timed, after) {
                        warn!(self.log, "page of the store not applied; reading all rows"; "table" => ?table, "fault" => error.to_string());
                        read_all = true;
                        tokio::time::sleep(MAX_BACKOFF).await;
                        continue;
                    }
                    read_all = false;
                    let mut waited = Duration::ZERO;
                    if after.is_none() && table == Table::Instances {
                        if self.is_first_start() {
                            tokio::time::sleep(INSTANCES_DELAY).await;
                        }
                    } else if after.is_none() {
                        self.wait_for_first_reader().await;
                    } else if changed {
                        let delay = self.delay_after_change(table);
                        tokio::time::sleep(delay).await;
                        if table == Table::Config {
                            waited = delay;
                        }
                    }
                    wait = self.longest_wait(table).saturating_sub(waited);
                }
                Err(error) => {
                    failures += 1;
                    read_all = true;
                    self.record_failure(table, &error, failures);
                    tokio::time::sleep(self.backoff(failures)).await;
                }
            }
        }
    }

    /// Records a failed call.
    fn record_failure(&self, table: Table, error: &StoreError, failures: u32) {
        self.servers.borrow_mut().record_store_failure();
        if failures == 1 {
            warn!(self.log, "call to the store failed; retrying"; "table" => ?table, "fault" => error.to_string());
        } else {
            debug!(self.log, "call to the store failed again"; "table" => ?table, "fault" => error.to_string());
        }
        let is_reachable = matches!(error, StoreError::HistoryGone | StoreError::Restored);
        if table == Table::Config && !is_reachable {
            self.reachable.set(None);
            let age = self.state.freshness.borrow().age(boot_time());
            if age.is_none_or(|age| age >= CONFIG_WAIT / 2) {
                self.relay.publish(ReaderMessage::StoreFailed);
            }
        }
    }

    /// Applies a response of the store to a read, or to a watch of the changes after a version, and
    /// hands it on.
    fn apply_page(
        &self,
        table: Table,
        timed: TimedPage,
        after: Option<StoreVersion>,
    ) -> Result<(), PageError> {
        if table == Table::Config {
            let before = self.reachable.replace(Some(self.relay.lost_reader_count()));
            self.outages
                .set(self.outages.get() + u64::from(before.is_none()));
            self.reachable_changed.notify_waiters();
        }
        let after_outage = self.servers.borrow().is_after_store_failure();
        let response = ConfigResponse {
            version: timed.page.version,
            sent: timed.sent,
            received: timed.received,
            store_time_ms: timed.page.store_time_ms,
        };
        let changes = TableChanges {
            after: after.unwrap_or_default(),
            version: timed.page.version,
            is_snapshot: after.is_none(),
            rows: timed.page.rows,
            missing: Vec::new(),
        };
        let (changes, applied) = self.apply_changes(table, changes)?;
        let stamp = if table == Table::Config && applied.is_ok() {
            self.handle_response(response)
        } else {
            None
        };
        if matches!(table, Table::Config | Table::Servers) {
            let mut freshness = self.state.freshness.borrow_mut();
            let (sent, received) = (response.sent, response.received);
            let produced = freshness.date(sent, received, response.store_time_ms);
            drop(freshness);
            self.record_list_complete(response.version, produced);
        }
        self.relay.publish(ReaderMessage::Changes {
            table,
            changes,
            stamp,
            after_outage,
        });
        applied
    }

    /// Records that the store confirmed the configuration.
    fn confirm(&self, response: ConfigResponse) -> Stamp {
        let ConfigResponse {
            sent,
            received,
            store_time_ms,
            ..
        } = response;
        let mut freshness = self.state.freshness.borrow_mut();
        freshness.record(sent, received, store_time_ms);
        self.clock_checked_at.set(Instant::now());
        self.store_time_ms.set(Some(store_time_ms));
        let age = freshness.age(boot_time()).unwrap_or_default();
        Stamp { store_time_ms, age }
    }

    /// Applies changes of a table to its replica and to what depends on it. Returns those that were
    /// news, and whether they could be used.
    fn apply_changes(
        &self,
        table: Table,
        changes: TableChanges,
    ) -> Result<(TableChanges, Result<(), PageError>), ApplyError> {
        self.versions.record_era(changes.version.era);
        let now = boot_time();
        self.era.borrow_mut().record_era(changes.version.era, now);
        let restored = self.compare_restored(table, &changes);
        if table == Table::Servers {
            if restored.is_some() {
                self.versions.record_list_reread();
            } else if self.may_have_missed_servers(&changes) {
                self.versions.record_list_gap();
            }
        }
        let is_first = self.version(table).is_none();
        let news = self.replicas.borrow_mut()[table_index(table)].apply(changes)?;
        let applied = match restored {
            Some(restored) => self.apply_restored(table, &news, &restored),
            None => self.apply_news(table, &news),
        };
        let own = &self.peers.this_instance().name;
        let is_listed = self.instances.borrow().contains_key(own);
        if is_first && table == Table::Instances {
            self.era.borrow_mut().record_first_list(is_listed);
            if is_listed {
                self.versions.record_earlier_run();
            }
            self.recheck_response();
        }
        // An instance that was not listed before has started for the first time.
        let knows_all = self.known_versions().iter().all(Option::is_some);
        if knows_all || (is_listed && self.was_unlisted.get()) {
            self.relay.handle_instances();
        } else if table == Table::Instances && !is_listed {
            self.was_unlisted.set(true);
        }
        Ok((news, applied))
    }

    /// Whether entries of servers may have come and gone since the list was known last, so that their
    /// versions were never seen.
    fn may_have_missed_servers(&self, changes: &TableChanges) -> bool {
        let replicas = self.replicas.borrow();
        let replica = &replicas[table_index(Table::Servers)];
        if changes.is_snapshot {
            return replica.version().is_some();
        }
        let was_listed = |key: &Name| {
            let mut rows = replica.rows();
            rows.any(|row| row.key == *key && row.value.is_some())
        };
        let mut removed = changes.rows.iter().filter(|row| row.value.is_none());
        removed.any(|row| !was_listed(&row.key))
    }

    /// Records that the list of servers was complete at a time, if it holds all changes up to this version of
    /// the store.
    fn record_list_complete(&self, version: StoreVersion, at: Duration) {
        let listed = self.version(Table::Servers);
        let is_complete =
            listed.is_some_and(|listed| listed.era == version.era && listed >= version);
        if is_complete {
            self.versions.record_list_complete(version.era, at);
        }
    }

    /// Has the list of servers checked whenever it was last known to be complete too long ago, forever.
    async fn keep_list_complete(&self) {
        loop {
            tokio::time::sleep(LIST_AGE_INTERVAL).await;
            let is_reachable = self.reachable.get().is_some();
            let is_read = self.version(Table::Servers).is_some() && self.relay.must_read();
            if is_reachable && is_read && self.versions.list_age() > MAX_LIST_AGE {
                self.versions.list_check().request();
            }
        }
    }

    /// Asks the store for changes of the servers whenever the version of a stream depends on it, forever.
    async fn check_servers(&self) {
        loop {
            self.versions.list_check().wait_asked().await;
            let began_at = Instant::now();
            let end = self.check_table(Table::Servers).await;
            self.versions.record_list_check(began_at, end);
        }
    }

    /// The same for base versions and the stated life of streams. They change seldom, so that the store may
    /// not have all changes since they were read last.
    async fn check_base_rows(&self) {
        loop {
            self.versions.rows_check().wait_asked().await;
            let began_at = Instant::now();
            let mut end = self.check_table(Table::BaseVersions).await;
            if end == TableCheckEnd::Incomplete {
                let read = self.store.read(Table::BaseVersions).await;
                let applied = read.map(|timed| self.apply_page(Table::BaseVersions, timed, None));
                end = match applied {
                    Ok(Ok(()) | Err(PageError::NotApplicable(ApplyError::Stale))) => {
                        TableCheckEnd::Confirmed
                    }
                    Ok(Err(_)) => TableCheckEnd::Incomplete,
                    Err(_) => TableCheckEnd::Unreachable,
                };
            }
            self.versions.rows_check().finish(began_at, end);
        }
    }

    async fn check_table(&self, table: Table) -> TableCheckEnd {
        let Some(after) = self.version(table) else {
            return TableCheckEnd::Incomplete;
        };
        let checked = self.store.watch(table, after, Duration::ZERO).await;
        let applied = checked.map(|timed| self.apply_page(table, timed, Some(after)));
        match applied {
            // A replica that is ahead of the response holds what the response brings.
            Ok(Ok(()) | Err(PageError::NotApplicable(ApplyError::Stale))) => {
                TableCheckEnd::Confirmed
            }
            Ok(Err(error)) => {
                info!(self.log, "check of a table not applied"; "table" => ?table, "fault" => error.to_string());
                TableCheckEnd::Incomplete
            }
            Err(error) => {
                info!(self.log, "can't check a table"; "table" => ?table, "fault" => error.to_string());
                match error {
                    StoreError::HistoryGone | StoreError::Restored => TableCheckEnd::Incomplete,
                    _ => TableCheckEnd::Unreachable,
                }
            }
        }
    }

    /// Applies what a reader of the store hands on.
    fn apply_message(&self, message: ReaderMessage, received: Duration) -> Applied {
        let ReaderMessage::Changes {
            table,
            changes,
            stamp,
            after_outage,
        } = message
        else {
            return Applied::Unconfirmed;
        };
        if table == Table::Servers && after_outage {
            self.servers.borrow_mut().record_store_failure();
        }
        let version = changes.version;
        match self.apply_changes(table, changes) {
            Ok((_, Ok(()))) => {}
            Ok((_, Err(_))) | Err(ApplyError::Stale) => return Applied::Unconfirmed,
            Err(ApplyError::Gap) => return Applied::Gap,
        }
        let Some(Stamp { store_time_ms, age }) = stamp else {
            return Applied::Unconfirmed;
        };
        let mut freshness = self.state.freshness.borrow_mut();
        let confirmed_at = freshness.record_relayed(store_time_ms, age, received);
        let Some(confirmed_at) = confirmed_at else {
            warn!(self.log, "the store's clock has changed"; "store_time_ms" => store_time_ms);
            self.check_clock.notify_one();
            return Applied::Unconfirmed;
        };
        self.store_time_ms.set(Some(store_time_ms));
        drop(freshness);
        self.record_list_complete(version, confirmed_at);
        Applied::Confirmed(confirmed_at)
    }

    /// Follows other instances that read the store, forever.
    async fn follow(&self) {
        let apply = |message, received| self.apply_message(message, received);
        let known = || self.known_versions();
        self.relay.follow(self.peers.clone(), known, apply).await;
    }

    /// Sends new subscribers what they lack, forever.
    async fn greet_subscribers(&self) {
        loop {
            for (tx, known) in self.relay.take_new_subscribers().await {
                for (index, table) in Table::ALL.into_iter().enumerate() {
                    let changes = self.replicas.borrow()[index].changes_after(known[index]);
                    let Some(changes) = changes else { continue };
                    let age = self.state.freshness.borrow().age(boot_time());
                    let stamp = (self.store_time_ms.get().zip(age))
                        .filter(|_| table == Table::Config && self.config_usable.get())
                        .map(|(store_time_ms, age)| Stamp { store_time_ms, age });
                    let message = ReaderMessage::Changes {
                        table,
                        changes,
                        stamp,
                        after_outage: self.servers.borrow().is_after_store_failure(),
                    };
                    StoreRelay::send(&tx, message);
                }
                if self.reachable.get().is_none() {
                    StoreRelay::send(&tx, ReaderMessage::StoreFailed);
                }
            }
        }
    }

    /// Registers this instance in the store, and again whenever the store was restored from a copy. Its
    /// row stays when it stops, as the next start has the same name and address; it is written only if
    /// it has changed.
    async fn register(&self) {
        let own = self.peers.this_instance().clone();
        let Ok(value) = postcard::to_stdvec(&own) else {
            return;
        };
        loop {
            self.wait_until_reachable().await;
            if self.version(Table::Instances).is_some() {
                let put = if self.is_registered(&own.name, &value) {
                    Ok(())
                } else {
                    self.store.put(Table::Instances, &own.name, &value).await
                };
                match put {
                    Ok(()) => self.instances_restored.notified().await,
                    Err(error) => {
                        info!(self.log, "can't register the instance; retrying"; "fault" => error.to_string());
                        tokio::time::sleep(REGISTRATION_DELAY).await;
                    }
                }
            }
            tokio::time::sleep(BACKOFF_STEP / 4).await;
        }
    }

    /// Whether the store has the row of this instance, as far as it is known.
    fn is_registered(&self, name: &Name, value: &[u8]) -> bool {
        let replicas = self.replicas.borrow();
        let mut rows = replicas[table_index(Table::Instances)].rows();
        rows.any(|row| row.key == *name && row.value.as_deref() == Some(value))
    }
}
