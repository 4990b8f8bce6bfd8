//! Watches the store and keeps [`SharedState`] up to date: the configuration and the list of
//! servers.
//!
//! A response that shows an older state of the store than a previous one changes nothing; the
//! whole table is then read again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::ConfigIndex;
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow, ServerRegistry};
use slog::{Logger, debug, info, warn};

use crate::dialect::{Dialect, RowPage, StoreRow, Table};
use crate::state::SharedState;
use crate::store::{Store, StoreError, TimedPage};

/// Longest time for which one call waits for a change of the configuration. It is short because
/// each response, also one without changes, confirms the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(2400);
/// Longest time for which one call waits for a change of the servers. It can be long because
/// TCP keep-alive probes detect a dead connection.
const SERVERS_WAIT: Duration = Duration::from_secs(20);
/// Fraction of the drain bound to wait after a change of the servers, so that one call returns
/// several changes.
const SERVERS_DELAY_FRACTION: f64 = 0.5;
/// Delay after a change of the configuration, so that one call returns several changes.
const CONFIG_DELAY: Duration = Duration::from_millis(700);
/// Back-off after the first failed call; it grows by this much with each further failure.
const BACKOFF_STEP: Duration = Duration::from_millis(100);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time for which one call waits for a change of the servers while some of those in use
/// have no entry: they are dropped unless it returns in time.
const MISSING_SERVERS_WAIT: Duration = Duration::from_millis(300);
/// Called after the configuration or the list of servers changed.
pub type ChangeCallback = Box<dyn Fn()>;

/// Watches the tables of one store.
pub struct StoreWatcher {
    store: Rc<Store>,
    dialect: Rc<dyn Dialect>,
    state: Rc<SharedState>,
    log: Logger,
    servers: RefCell<ServerRegistry>,
    on_change: ChangeCallback,
    /// Version of the store up to which the configuration is known.
    config_version: Cell<u64>,
    /// Longest time for which a server that leaves may still get requests.
    drain_bound: Duration,
}

impl std::fmt::Debug for StoreWatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreWatcher").finish_non_exhaustive()
    }
}

impl StoreWatcher {
    /// A watcher that updates `state` and then calls `on_change`. `drain_bound` is the longest time
    /// for which a server that leaves may still get requests.
    #[must_use]
    pub fn new(
        store: Rc<Store>,
        dialect: Rc<dyn Dialect>,
        state: Rc<SharedState>,
        log: Logger,
        drain_bound: Duration,
        on_change: ChangeCallback,
    ) -> Self {
        Self {
            store,
            dialect,
            state,
            log,
            servers: RefCell::default(),
            on_change,
            config_version: Cell::new(0),
            drain_bound,
        }
    }

    /// Watches the configuration forever.
    pub async fn watch_config(&self) {
        let mut known_version: Option<u64> = None;
        let mut failures = 0;
        let mut wait = CONFIG_WAIT;
        loop {
            let result = match known_version {
                None => self.store.read(Table::Config).await,
                Some(after) => self.store.watch(Table::Config, after, wait).await,
            };
            wait = CONFIG_WAIT;
            match result {
                Ok(timed) => {
                    failures = 0;
                    let is_older = known_version.is_some_and(|known| timed.page.version < known);
                    if is_older || !self.apply_config(&timed.page) {
                        // An older state or an unreadable configuration confirms nothing.
                        tokio::time::sleep(BACKOFF_STEP).await;
                        known_version = None;
                        continue;
                    }
                    self.record_confirmation(&timed);
                    if known_version.is_some() && !timed.page.rows.is_empty() {
                        tokio::time::sleep(CONFIG_DELAY).await;
                        wait = CONFIG_WAIT.saturating_sub(CONFIG_DELAY);
                    }
                    known_version = Some(timed.page.version);
                }
                Err(error) => {
                    failures += 1;
                    self.log_failure("site", &error, failures);
                    known_version = None;
                    back_off(failures).await;
                }
            }
        }
    }

    /// Records that the store confirmed the configuration.
    fn record_confirmation(&self, timed: &TimedPage) {
        self.state.freshness.borrow_mut().record(
            timed.sent,
            timed.received,
            timed.page.store_time_ms,
        );
    }

    /// Applies a page; false if it is older than what is known or can't be decoded.
    fn apply_config(&self, page: &RowPage) -> bool {
        if page.version < self.config_version.get() {
            return false;
        }
        for row in &page.rows {
            if &*row.key != self.dialect.config_key() {
                continue;
            }
            let Some(value) = &row.value else { continue };
            match self.dialect.decode_config(value) {
                Ok(config) => {
                    let version = config.version;
                    let current = self.state.config().map_or(0, |config| config.version());
                    if version < current {
                        return false;
                    }
                    if self.state.install_config(ConfigIndex::new(config)) {
                        info!(self.log, "new configuration is active"; "version" => version, "row" => row.version);
                        (self.on_change)();
                    }
                }
                Err(error) => {
                    warn!(self.log, "can't decode configuration; keeping the previous one"; "row" => row.version, "fault" => format!("{error:#}"));
                    return false;
                }
            }
        }
        self.config_version.set(page.version);
        true
    }

    /// Watches the servers forever.
    pub async fn watch_servers(&self) {
        let mut known_version: Option<u64> = None;
        let mut failures = 0;
        loop {
            let result = match known_version {
                None => self.store.read(Table::Servers).await,
                Some(after) => self.next_servers(after).await,
            };
            match result {
                Ok(timed) => {
                    if failures > 0 {
                        info!(self.log, "store is reachable again"; "failures" => failures);
                    }
                    failures = 0;
                    let is_snapshot = known_version.is_none();
                    let changed = !timed.page.rows.is_empty();
                    if self.apply_servers(&timed.page, is_snapshot) {
                        known_version = Some(timed.page.version);
                        if changed && !is_snapshot && !self.servers.borrow().has_entries_in_grace()
                        {
                            tokio::time::sleep(self.drain_bound.mul_f64(SERVERS_DELAY_FRACTION))
                                .await;
                        }
                    } else {
                        known_version = None;
                        tokio::time::sleep(BACKOFF_STEP).await;
                    }
                }
                Err(error) => {
                    failures += 1;
                    self.log_failure("servers", &error, failures);
                    known_version = None;
                    back_off(failures).await;
                }
            }
        }
    }

    /// Waits for the next changes of the servers.
    async fn next_servers(&self, after: u64) -> Result<TimedPage, StoreError> {
        let wait = if self.servers.borrow().has_entries_in_grace() {
            MISSING_SERVERS_WAIT
        } else {
            SERVERS_WAIT
        };
        self.store.watch(Table::Servers, after, wait).await
    }

    fn log_failure(&self, table: &str, error: &StoreError, failures: u32) {
        self.servers.borrow_mut().record_store_failure();
        if failures == 1 {
            warn!(self.log, "call to the store failed; retrying"; "table" => table, "fault" => error.to_string());
        } else {
            debug!(self.log, "call to the store failed again"; "table" => table, "fault" => error.to_string());
        }
    }

    /// Applies a page, all rows if `is_snapshot`; false if it is older than what is known.
    fn apply_servers(&self, page: &RowPage, is_snapshot: bool) -> bool {
        let rows = page.rows.iter().map(|row| self.decode_entry(row)).collect();
        let mut registry = self.servers.borrow_mut();
        let applied = registry.apply(rows, is_snapshot, page.version, Instant::now());
        let servers = registry.servers();
        drop(registry);
        match applied {
            ApplyOutcome::Stale => return false,
            ApplyOutcome::Unchanged => {}
            ApplyOutcome::Changed => {
                info!(self.log, "servers"; "listed" => servers.len(), "version" => page.version);
                self.state.selector.borrow_mut().set_servers(servers);
                (self.on_change)();
            }
        }
        true
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
        debug!(self.log, "read server entry"; "server" => &*row.key, "row" => row.version, "entry" => ?entry);
        RegistryRow {
            id: row.key.clone(),
            entry,
            version: row.version,
        }
    }
}

/// Waits before the next call, after so many failures in a row.
async fn back_off(failures: u32) {
    let delay = BACKOFF_STEP * failures.min(8);
    tokio::time::sleep(delay.min(MAX_BACKOFF)).await;
}
