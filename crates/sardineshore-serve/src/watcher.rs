//! Follows the store: the site and the servers, never going back.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::ConfigIndex;
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow, ServerRegistry};
use slog::{Logger, debug, info, warn};

use crate::dialect::{Dialect, RowPage, StoreRow, Table};
use crate::state::SharedState;
use crate::store::{Store, StoreError, TimedPage};

/// Longest wait for a change of the site; each answer proves the site's freshness.
const SITE_WAIT: Duration = Duration::from_millis(2400);
/// Longest wait for a change of the servers; keep-alive probes show a connection that fell silent.
const SERVERS_WAIT: Duration = Duration::from_secs(20);
/// Part of the drain bound for which changes of servers are collected into one answer.
const DRAIN_PART: f64 = 0.5;
/// Time for which changes of the site are collected.
const SITE_PAUSE: Duration = Duration::from_millis(700);
/// Pause after a failed call; it grows with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait while entries may have lapsed.
const LAPSED_WAIT: Duration = Duration::from_millis(300);
/// Called after the list of servers changed.
pub type ChangeCallback = Box<dyn Fn()>;

/// Follows one store.
pub struct StoreWatcher {
    store: Rc<Store>,
    dialect: Rc<dyn Dialect>,
    state: Rc<SharedState>,
    log: Logger,
    servers: RefCell<ServerRegistry>,
    on_change: ChangeCallback,
    site_version: Cell<u64>,
    drain: Duration,
}

impl std::fmt::Debug for StoreWatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreWatcher").finish_non_exhaustive()
    }
}

impl StoreWatcher {
    /// A watcher that tells changes of the servers to `on_change`.
    #[must_use]
    pub fn new(
        store: Rc<Store>,
        dialect: Rc<dyn Dialect>,
        state: Rc<SharedState>,
        log: Logger,
        drain: Duration,
        on_change: ChangeCallback,
    ) -> Self {
        Self {
            store,
            dialect,
            state,
            log,
            servers: RefCell::default(),
            on_change,
            site_version: Cell::new(0),
            drain,
        }
    }

    /// Follows the site for ever.
    pub async fn watch_config(&self) {
        let mut known: Option<u64> = None;
        let mut failures = 0;
        let mut wait = SITE_WAIT;
        loop {
            let result = match known {
                None => self.store.read(Table::Config).await,
                Some(after) => self.store.watch(Table::Config, after, wait).await,
            };
            wait = SITE_WAIT;
            match result {
                Ok(timed) => {
                    failures = 0;
                    let behind = known.is_some_and(|known| timed.page.version < known);
                    if behind || !self.apply_site(&timed.page) {
                        // An older state, or a site that can't be read, proves nothing.
                        tokio::time::sleep(FIRST_PAUSE).await;
                        known = None;
                        continue;
                    }
                    self.prove(&timed);
                    if known.is_some() && !timed.page.rows.is_empty() {
                        tokio::time::sleep(SITE_PAUSE).await;
                        wait = SITE_WAIT.saturating_sub(SITE_PAUSE);
                    }
                    known = Some(timed.page.version);
                }
                Err(fault) => {
                    failures += 1;
                    self.note("site", &fault, failures);
                    known = None;
                    pause(failures).await;
                }
            }
        }
    }

    fn prove(&self, timed: &TimedPage) {
        self.state.freshness.borrow_mut().record(
            timed.sent,
            timed.received,
            timed.page.store_time_ms,
        );
    }

    /// Whether the page is no older than what is known and could be read.
    fn apply_site(&self, page: &RowPage) -> bool {
        if page.version < self.site_version.get() {
            return false;
        }
        for row in &page.rows {
            if &*row.key != self.dialect.config_key() {
                continue;
            }
            let Some(value) = &row.value else { continue };
            match self.dialect.decode_config(value) {
                Ok(site) => {
                    let version = site.version;
                    let held = self.state.config().map_or(0, |site| site.version());
                    if version < held {
                        return false;
                    }
                    if self.state.install_config(ConfigIndex::new(site)) {
                        info!(self.log, "configuration in force"; "version" => version, "row" => row.version);
                        (self.on_change)();
                    }
                }
                Err(fault) => {
                    warn!(self.log, "configuration can't be read"; "row" => row.version, "fault" => format!("{fault:#}"));
                    return false;
                }
            }
        }
        self.site_version.set(page.version);
        true
    }

    /// Follows the servers for ever.
    pub async fn watch_servers(&self) {
        let mut known: Option<u64> = None;
        let mut failures = 0;
        loop {
            let result = match known {
                None => self.store.read(Table::Servers).await,
                Some(after) => self.next_servers(after).await,
            };
            match result {
                Ok(timed) => {
                    if failures > 0 {
                        info!(self.log, "store regained"; "failures" => failures);
                    }
                    failures = 0;
                    let whole = known.is_none();
                    let changed = !timed.page.rows.is_empty();
                    if self.apply_servers(&timed.page, whole) {
                        known = Some(timed.page.version);
                        if changed && !whole && !self.servers.borrow().has_entries_in_grace() {
                            tokio::time::sleep(self.drain.mul_f64(DRAIN_PART)).await;
                        }
                    } else {
                        known = None;
                        tokio::time::sleep(FIRST_PAUSE).await;
                    }
                }
                Err(fault) => {
                    failures += 1;
                    self.note("servers", &fault, failures);
                    known = None;
                    pause(failures).await;
                }
            }
        }
    }

    async fn next_servers(&self, after: u64) -> Result<TimedPage, StoreError> {
        let wait = if self.servers.borrow().has_entries_in_grace() {
            LAPSED_WAIT
        } else {
            SERVERS_WAIT
        };
        self.store.watch(Table::Servers, after, wait).await
    }

    fn note(&self, what: &str, fault: &StoreError, failures: u32) {
        self.servers.borrow_mut().record_store_failure();
        if failures == 1 {
            warn!(self.log, "store lost"; "table" => what, "fault" => fault.to_string());
        } else {
            debug!(self.log, "store still lost"; "table" => what, "fault" => fault.to_string());
        }
    }

    fn apply_servers(&self, page: &RowPage, whole: bool) -> bool {
        let rows = page.rows.iter().map(|row| self.listed(row)).collect();
        let mut registry = self.servers.borrow_mut();
        let applied = registry.apply(rows, whole, page.version, Instant::now());
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

    fn listed(&self, row: &StoreRow) -> RegistryRow {
        let entry = match &row.value {
            None => RegistryEntry::Removed,
            Some(value) => match self.dialect.decode_server(&row.key, value) {
                Ok(server) => RegistryEntry::Server(server),
                Err(fault) => {
                    warn!(self.log, "server entry can't be read"; "server" => &*row.key, "fault" => format!("{fault:#}"));
                    RegistryEntry::Unreadable
                }
            },
        };
        debug!(self.log, "server entry"; "server" => &*row.key, "row" => row.version, "entry" => ?entry);
        RegistryRow {
            id: row.key.clone(),
            entry,
            version: row.version,
        }
    }
}

async fn pause(failures: u32) {
    let pause = FIRST_PAUSE * failures.min(8);
    tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
}
