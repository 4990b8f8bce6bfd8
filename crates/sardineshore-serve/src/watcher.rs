//! Keeps [`SharedState`] and the list of instances up to date from the store: reads and watches its
//! tables, or takes what another instance hands on, see [`crate::relay`].
//!
//! A response that shows an older state of the store than a previous one changes nothing; the
//! whole table is then read again.
//!
//! [`restore`] handles a store that comes back from a copy.

mod restore;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use restore::RESTORE_SETTLE_TIME;
use sardineshore_core::flow::config::{ConfigIndex, Name};
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow, ServerRegistry};
use sardineshore_core::flow::replica::{ApplyError, TableChanges, TableReplica};
use slog::{Logger, debug, info, warn};
use tokio::sync::Notify;

use crate::attempt::Dispatcher;
use crate::crashes::CrashMonitor;
use crate::dialect::{Dialect, StoreRow, StoreVersion, Table};
use crate::limits::LimitExchange;
use crate::peers::{InstanceInfo, Peers};
use crate::relay::{Applied, KnownVersions, ReaderMessage, Stamp, StoreRelay};
use crate::settings::Bounds;
use crate::state::{SharedState, boot_time};
use crate::store::{Store, StoreError, TimedPage};

/// Longest time for which one call waits for a change of the configuration. It is short because
/// each response, also one without changes, confirms the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(2400);
/// The same while others follow this instance: they notice its loss by missing confirmations.
const READER_CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Longest time for which one call waits for a change of the servers or instances. It can be long
/// because TCP keep-alive probes detect a dead connection.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Fraction of the drain bound to wait after a change of the servers, so that one call returns
/// several changes.
const SERVERS_DELAY_FRACTION: f64 = 0.5;
/// The same while others follow this instance, which hear of a change later.
const READER_SERVERS_DELAY_FRACTION: f64 = 0.15;
/// Delay after a change of the configuration, so that one call returns several changes.
const CONFIG_DELAY: Duration = Duration::from_millis(700);
/// Delay after a change of the instances, so that one call returns many starts.
const INSTANCES_DELAY: Duration = Duration::from_millis(1200);
/// Delay after new evidence about crashes, so that one call returns that of several instances.
const CRASHES_DELAY: Duration = Duration::from_millis(100);
/// Delay after a change of rate limits, so that one call returns those of several servers.
const LIMITS_DELAY: Duration = Duration::from_millis(150);
/// Back-off after the first failed call; it grows by this much with each further failure.
const BACKOFF_STEP: Duration = Duration::from_millis(100);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The same while another instance will hand on the store's next response.
const FOLLOWER_BACKOFF_STEP: Duration = Duration::from_millis(500);
const FOLLOWER_MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Delay after a change of the servers while some of those in use have no entry.
const MISSING_SERVERS_DELAY: Duration = Duration::from_millis(150);
/// Time after the last of them was dropped for which followers may still use them, as they count
/// from when they got the change.
const MISSING_SERVERS_TAIL: Duration = Duration::from_millis(700);
/// Longest time for which one call waits for a change in this time.
const MISSING_SERVERS_TAIL_WAIT: Duration = Duration::from_millis(150);
/// Margin after which the store's response ends the use of servers without an entry.
const MISSING_SERVERS_MARGIN: Duration = Duration::from_millis(5);
/// Longest time at its start for which an instance waits to follow another one.
const FIRST_READER_WAIT: Duration = Duration::from_millis(600);
/// Time from the first start of all instances after which they have registered.
const GROWING_TIME: Duration = Duration::from_millis(1500);
/// How often a follower compares the store's clock with its own, which may drift apart.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(120);
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

/// Watches the tables of one store.
pub struct StoreWatcher {
    store: Rc<Store>,
    dialect: Rc<dyn Dialect>,
    state: Rc<SharedState>,
    peers: Rc<Peers>,
    relay: Rc<StoreRelay>,
    crashes: Rc<CrashMonitor>,
    limits: Rc<LimitExchange>,
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
    /// When a restored store may confirm the configuration; `None` if it may.
    settled_at: Cell<Option<Instant>>,
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
            log,
            servers: RefCell::new(ServerRegistry::new(bounds.entry_lifetime)),
            instances: RefCell::default(),
            replicas: RefCell::default(),
            on_change,
            drain_bound: bounds.drain,
            config_usable: Cell::new(true),
            settled_at: Cell::new(None),
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
            let awaits_first_reader =
                matches!(table, Table::Servers | Table::Crashes | Table::Limits);
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

    /// Whether all instances have just started for the first time: there is no configuration, and
    /// this instance is not listed.
    fn is_first_start(&self) -> bool {
        let own = &self.peers.this_instance().name;
        self.state.config().is_none()
            && !self.instances.borrow().contains_key(own)
            && self.started_at.elapsed() < GROWING_TIME
    }

    /// At the first start of all instances, waits for a reader: there are no servers yet. Otherwise
    /// an instance reads the servers itself, as the link of one reader can't carry them to all.
    async fn wait_at_first_start(&self) {
        let listed = async {
            while self.version(Table::Instances).is_none() {
                tokio::time::sleep(BACKOFF_STEP / 20).await;
            }
        };
        let _unknown = tokio::time::timeout(FIRST_READER_WAIT, listed).await;
        if self.is_first_start() {
            self.wait_for_first_reader().await;
        }
    }

    /// Waits for a reader to follow, for a while after the start of the instance.
    async fn wait_for_first_reader(&self) {
        let longest = if self.state.config().is_none() {
            GROWING_TIME + FIRST_READER_WAIT
        } else {
            FIRST_READER_WAIT
        };
        let left = longest.saturating_sub(self.started_at.elapsed());
        let _none = tokio::time::timeout(left, self.relay.wait_for_expected_reader()).await;
    }

    /// Longest time for which one call waits for a change of a table.
    fn longest_wait(&self, table: Table) -> Duration {
        match table {
            Table::Config if self.relay.has_subscribers() => READER_CONFIG_WAIT,
            Table::Config => CONFIG_WAIT,
            Table::Servers => self.longest_servers_wait(),
            Table::Instances if !self.unlisted_instances.borrow().is_empty() => RESTORE_SETTLE_TIME,
            Table::Instances | Table::Crashes | Table::Limits => LONG_WAIT,
        }
    }

    /// Longest time for which one call waits for a change of the servers. Only a response of the store
    /// ends the use of servers without an entry.
    fn longest_servers_wait(&self) -> Duration {
        let now = Instant::now();
        if let Some(end) = self.servers.borrow().next_end() {
            self.missing_until.set(Some(end.max(now)));
            return end.saturating_duration_since(now) + MISSING_SERVERS_MARGIN;
        }
        let tail = self.missing_until.get().map(|at| at + MISSING_SERVERS_TAIL);
        if tail.is_some_and(|tail| now < tail) && self.relay.has_subscribers() {
            MISSING_SERVERS_TAIL_WAIT
        } else {
            LONG_WAIT
        }
    }

    /// Delay after a change, so that one call returns several changes.
    fn delay_after_change(&self, table: Table) -> Duration {
        match table {
            Table::Config => CONFIG_DELAY.min(self.longest_wait(table) / 2),
            Table::Servers if self.servers.borrow().next_end().is_some() => MISSING_SERVERS_DELAY,
            Table::Servers if self.relay.has_subscribers() => {
                self.drain_bound.mul_f64(READER_SERVERS_DELAY_FRACTION)
            }
            Table::Servers => self.drain_bound.mul_f64(SERVERS_DELAY_FRACTION),
            Table::Instances => INSTANCES_DELAY,
            Table::Crashes => CRASHES_DELAY,
            Table::Limits => LIMITS_DELAY,
        }
    }

    /// Waits while another instance is followed. For the configuration, calls the store now and then
    /// to compare the clocks; for the servers, to end the use of those without an entry if the other
    /// instance hands on no response in time.
    async fn wait_as_follower(&self, table: Table) {
        loop {
            let left = CLOCK_CHECK_INTERVAL.saturating_sub(self.clock_checked_at.get().elapsed());
            let end = self.servers.borrow().next_end();
            let overdue = end.map(|end| end + MISSING_SERVERS_TAIL_WAIT * 2);
            let overdue_in = overdue.map(|at| at.saturating_duration_since(Instant::now()));
            tokio::select! {
                () = self.relay.wait_must_read(true) => return,
                () = self.check_clock.notified(), if table == Table::Config => {}
                () = tokio::time::sleep(left), if table == Table::Config => {}
                () = self.servers_applied.notified(), if table == Table::Servers => continue,
                () = tokio::time::sleep(overdue_in.unwrap_or(LONG_WAIT)),
                    if table == Table::Servers => if overdue_in.is_none() { continue },
            }
            if table == Table::Config {
                self.clock_checked_at.set(Instant::now());
            }
            let Some(after) = self.version(table) else {
                return;
            };
            match self.store.watch(table, after, Duration::ZERO).await {
                Ok(timed) => {
                    let _not_news = self.apply_page(table, timed, Some(after));
                }
                Err(error) => {
                    debug!(self.log, "call to the store as a follower failed"; "table" => ?table, "fault" => error.to_string());
                    tokio::time::sleep(MAX_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until the last call for the configuration succeeded, since the last reader was lost.
    async fn wait_until_reachable(&self) {
        loop {
            let changed = self.reachable_changed.notified();
            if self.reachable.get() == Some(self.relay.lost_reader_count()) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = self.relay.wait_must_read(false) => return,
            }
        }
    }

    /// Waits until the store is reachable again after an outage.
    async fn wait_outage_end(&self) {
        let outages = self.outages.get();
        loop {
            let changed = self.reachable_changed.notified();
            if self.outages.get() != outages {
                return;
            }
            changed.await;
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

    /// Time before the next call, after so many failures in a row.
    fn backoff(&self, failures: u32) -> Duration {
        let (step, max) = if self.relay.is_subscribed() && !self.relay.has_subscribers() {
            (FOLLOWER_BACKOFF_STEP, FOLLOWER_MAX_BACKOFF)
        } else {
            (BACKOFF_STEP, MAX_BACKOFF)
        };
        let spread = rand::rng().random_range(0.75..1.25);
        (step * failures).min(max).mul_f64(spread)
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
        let (sent, received, store_time_ms) =
            (timed.sent, timed.received, timed.page.store_time_ms);
        let changes = TableChanges {
            after: after.unwrap_or_default(),
            version: timed.page.version,
            is_snapshot: after.is_none(),
            rows: timed.page.rows,
            missing: Vec::new(),
        };
        let (changes, applied) = self.apply_changes(table, changes)?;
        let mut stamp = None;
        if table == Table::Config && applied.is_ok() && self.is_settled() {
            let mut freshness = self.state.freshness.borrow_mut();
            freshness.record(sent, received, store_time_ms);
            self.clock_checked_at.set(Instant::now());
            self.store_time_ms.set(Some(store_time_ms));
            let age = freshness.age(boot_time()).unwrap_or_default();
            stamp = Some(Stamp { store_time_ms, age });
        }
        self.relay.publish(ReaderMessage::Changes {
            table,
            changes,
            stamp,
            after_outage,
        });
        applied
    }

    /// Applies changes of a table to its replica and to what depends on it. Returns those that were
    /// news, and whether they could be used.
    fn apply_changes(
        &self,
        table: Table,
        changes: TableChanges,
    ) -> Result<(TableChanges, Result<(), PageError>), ApplyError> {
        let restored = self.compare_restored(table, &changes);
        let news = self.replicas.borrow_mut()[table_index(table)].apply(changes)?;
        let applied = match restored {
            Some(restored) => self.apply_restored(table, &news, &restored),
            None => self.apply_news(table, &news),
        };
        let own = &self.peers.this_instance().name;
        let is_listed = self.instances.borrow().contains_key(own);
        // An instance that was not listed before has started for the first time.
        let knows_all = self.known_versions().iter().all(Option::is_some);
        if knows_all || (is_listed && self.was_unlisted.get()) {
            self.relay.handle_instances();
        } else if table == Table::Instances && !is_listed {
            self.was_unlisted.set(true);
        }
        Ok((news, applied))
    }

    /// Applies changes that are news to what depends on the table.
    fn apply_news(&self, table: Table, news: &TableChanges) -> Result<(), PageError> {
        match table {
            Table::Config => {
                if news
                    .rows
                    .iter()
                    .any(|row| *row.key == *self.dialect.config_key())
                {
                    // Written since the store was restored.
                    self.settled_at.set(None);
                }
                self.apply_config(news)
            }
            Table::Servers => {
                self.apply_servers(news);
                Ok(())
            }
            Table::Instances => {
                self.apply_instances(news);
                Ok(())
            }
            Table::Crashes => {
                self.crashes.apply_rows(&news.rows);
                self.state.crashes_known.set(true);
                Ok(())
            }
            Table::Limits => {
                self.limits.apply(news);
                Ok(())
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

    /// Applies changes of the configuration. Fails if the newest one can't be used; nothing is
    /// confirmed then.
    fn apply_config(&self, changes: &TableChanges) -> Result<(), PageError> {
        for row in &changes.rows {
            if &*row.key != self.dialect.config_key() {
                continue;
            }
            let Some(value) = &row.value else { continue };
            self.config_usable.set(false);
            match self.dialect.decode_config(value) {
                Ok(config) => {
                    let version = config.version;
                    let current = self.state.config().map_or(0, |config| config.version());
                    if version < current {
                        warn!(self.log, "configuration is older than the active one"; "version" => version, "active" => current, "row" => row.version.number);
                        continue;
                    }
                    self.config_usable.set(true);
                    if self.state.install_config(ConfigIndex::new(config)) {
                        info!(self.log, "new configuration is active"; "version" => version, "row" => row.version.number);
                        (self.on_change)();
                    }
                }
                Err(error) => {
                    warn!(self.log, "can't decode configuration; keeping the previous one"; "row" => row.version.number, "fault" => format!("{error:#}"));
                }
            }
        }
        if self.config_usable.get() {
            Ok(())
        } else {
            Err(PageError::UnusableConfig)
        }
    }

    /// Applies changes of the servers.
    fn apply_servers(&self, changes: &TableChanges) {
        let rows = changes.rows.iter().map(|row| self.decode_entry(row));
        let mut registry = self.servers.borrow_mut();
        let (missing, version) = (changes.missing.clone(), changes.version);
        self.state.servers_known.set(true);
        let applied = registry.apply_changes(rows.collect(), missing, version, Instant::now());
        self.servers_applied.notify_waiters();
        if applied == ApplyOutcome::Changed {
            let servers = registry.servers();
            drop(registry);
            let ready = servers.iter().filter(|server| server.ready).count();
            info!(self.log, "servers"; "listed" => servers.len(), "ready" => ready, "version" => version.number, "era" => version.era);
            self.state.selector.borrow_mut().set_servers(servers);
            (self.on_change)();
        }
    }

    /// Applies changes of the instances.
    fn apply_instances(&self, changes: &TableChanges) {
        let mut instances = self.instances.borrow_mut();
        let mut unlisted = self.unlisted_instances.borrow_mut();
        for row in &changes.rows {
            unlisted.remove(&row.key);
            let info = row.value.as_deref().map(postcard::from_bytes);
            match info {
                Some(Ok(info)) => instances.insert(row.key.clone(), info),
                Some(Err(_)) | None => instances.remove(&row.key),
            };
        }
        let now = Instant::now();
        let mut missing = changes.missing.clone();
        let expired = unlisted.iter().filter(|(_, until)| now >= **until);
        missing.extend(expired.map(|(name, _)| name.clone()));
        unlisted.retain(|_, until| now < *until);
        for name in &missing {
            instances.remove(name);
        }
        if !changes.rows.is_empty() || !missing.is_empty() {
            self.peers
                .set_instances(instances.values().cloned().collect());
            info!(self.log, "instances"; "listed" => instances.len(), "version" => changes.version.number);
        }
    }

    /// Decodes a row of the table of servers.
    fn decode_entry(&self, row: &StoreRow) -> RegistryRow {
        let entry = match &row.value {
            None => RegistryEntry::Removed,
            Some(value) => match self.dialect.decode_server(&row.key, value) {
                Ok(server) => RegistryEntry::Server(server),
                Err(error) => {
                    warn!(self.log, "can't decode server entry; the server gets no requests"; "server" => &*row.key, "fault" => format!("{error:#}"));
                    RegistryEntry::Unreadable
                }
            },
        };
        debug!(self.log, "read server entry"; "server" => &*row.key, "row" => row.version.number, "entry" => ?entry);
        RegistryRow {
            id: row.key.clone(),
            entry,
            version: row.version,
        }
    }
}
