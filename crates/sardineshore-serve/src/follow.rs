//! Follows the store: the site and the servers, never going back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::site::{Name, Server, SiteIndex};
use slog::{Logger, debug, info, warn};

use crate::dialect::{Dialect, RowPage, StoreRow, Table};
use crate::knowledge::Knowledge;
use crate::store::{Stamped, Store, StoreFault};

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
/// How long servers whose entries lapsed while the store was away are still used.
const LAPSED_GRACE: Duration = Duration::from_millis(1700);

/// Called after the list of servers changed.
pub type OnServers = Box<dyn Fn()>;

/// Follows one store.
pub struct Follower {
    store: Rc<Store>,
    dialect: Rc<dyn Dialect>,
    knowledge: Rc<Knowledge>,
    log: Logger,
    servers: RefCell<ServerRows>,
    on_servers: OnServers,
    site_version: Cell<u64>,
    drain: Duration,
    /// A call failed since the servers were read last.
    lost: Cell<bool>,
}

impl std::fmt::Debug for Follower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

/// Entries of servers with the versions that they stand for.
#[derive(Debug, Default)]
struct ServerRows {
    entries: BTreeMap<Name, (Server, u64)>,
    /// Versions of entries that were removed, so that an older state can't bring them back.
    removed: HashMap<Name, u64>,
    lapsed: HashMap<Name, Instant>,
    version: u64,
    returned: Option<Instant>,
}

impl Follower {
    /// A follower that tells changes of the servers to `on_servers`.
    #[must_use]
    pub fn new(
        store: Rc<Store>,
        dialect: Rc<dyn Dialect>,
        knowledge: Rc<Knowledge>,
        log: Logger,
        drain: Duration,
        on_servers: OnServers,
    ) -> Self {
        Self {
            store,
            dialect,
            knowledge,
            log,
            servers: RefCell::default(),
            on_servers,
            site_version: Cell::new(0),
            drain,
            lost: Cell::new(false),
        }
    }

    /// Follows the site for ever.
    pub async fn follow_site(&self) {
        let mut known: Option<u64> = None;
        let mut failures = 0;
        let mut wait = SITE_WAIT;
        loop {
            let result = match known {
                None => self.store.read(Table::Site).await,
                Some(after) => self.store.watch(Table::Site, after, wait).await,
            };
            wait = SITE_WAIT;
            match result {
                Ok(stamped) => {
                    failures = 0;
                    let behind = known.is_some_and(|known| stamped.page.version < known);
                    if behind || !self.apply_site(&stamped.page) {
                        // An older state, or a site that can't be read, proves nothing.
                        tokio::time::sleep(FIRST_PAUSE).await;
                        known = None;
                        continue;
                    }
                    self.prove(&stamped);
                    if known.is_some() && !stamped.page.rows.is_empty() {
                        tokio::time::sleep(SITE_PAUSE).await;
                        wait = SITE_WAIT.saturating_sub(SITE_PAUSE);
                    }
                    known = Some(stamped.page.version);
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

    fn prove(&self, stamped: &Stamped) {
        self.knowledge.freshness.borrow_mut().record(
            stamped.sent,
            stamped.received,
            stamped.page.stamp_ms,
        );
    }

    /// Whether the page is no older than what is known and could be read.
    fn apply_site(&self, page: &RowPage) -> bool {
        if page.version < self.site_version.get() {
            return false;
        }
        for row in &page.rows {
            if &*row.key != self.dialect.site_key() {
                continue;
            }
            let Some(value) = &row.value else { continue };
            match self.dialect.site(value) {
                Ok(site) => {
                    let version = site.version;
                    let held = self.knowledge.site().map_or(0, |site| site.version());
                    if version < held {
                        return false;
                    }
                    if self.knowledge.adopt(SiteIndex::new(site)) {
                        info!(self.log, "configuration in force"; "version" => version, "row" => row.version);
                        (self.on_servers)();
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
    pub async fn follow_servers(&self) {
        let mut known: Option<u64> = None;
        let mut failures = 0;
        loop {
            let result = match known {
                None => self.store.read(Table::Servers).await,
                Some(after) => self.watch_servers(after).await,
            };
            match result {
                Ok(stamped) => {
                    if failures > 0 {
                        info!(self.log, "store regained"; "failures" => failures);
                    }
                    failures = 0;
                    let whole = known.is_none();
                    let changed = !stamped.page.rows.is_empty();
                    if self.apply_servers(&stamped.page, whole) {
                        known = Some(stamped.page.version);
                        if changed && !whole {
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

    async fn watch_servers(&self, after: u64) -> Result<Stamped, StoreFault> {
        let wait = if self.servers.borrow().lapsed.is_empty() {
            SERVERS_WAIT
        } else {
            LAPSED_WAIT
        };
        self.store.watch(Table::Servers, after, wait).await
    }

    fn note(&self, what: &str, fault: &StoreFault, failures: u32) {
        self.lost.set(true);
        if failures == 1 {
            warn!(self.log, "store lost"; "table" => what, "fault" => fault.to_string());
        } else {
            debug!(self.log, "store still lost"; "table" => what, "fault" => fault.to_string());
        }
    }

    fn apply_servers(&self, page: &RowPage, whole: bool) -> bool {
        let now = Instant::now();
        let mut rows = self.servers.borrow_mut();
        if page.version < rows.version {
            return false;
        }
        if self.lost.replace(false) {
            rows.returned = Some(now);
        }
        rows.version = page.version;
        let mut changed = whole;
        for row in &page.rows {
            changed |= self.apply_row(&mut rows, row, now);
        }
        if whole {
            let listed: std::collections::HashSet<&Name> =
                page.rows.iter().map(|row| &row.key).collect();
            let missing: Vec<Name> = rows
                .entries
                .keys()
                .filter(|id| !listed.contains(id))
                .cloned()
                .collect();
            for id in missing {
                self.remove(&mut rows, &id, page.version, now);
            }
        }
        let expired: Vec<Name> = rows
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            rows.lapsed.remove(&id);
            rows.entries.remove(&id);
            changed = true;
        }
        if changed || !rows.lapsed.is_empty() {
            let servers = rows.entries.values().map(|(s, _)| s.clone()).collect();
            drop(rows);
            self.knowledge.fleet.borrow_mut().set_servers(servers);
            (self.on_servers)();
        }
        true
    }

    fn apply_row(&self, rows: &mut ServerRows, row: &StoreRow, now: Instant) -> bool {
        let known = rows.entries.get(&row.key).map(|(_, version)| *version);
        let removed = rows.removed.get(&row.key).copied();
        if known
            .max(removed)
            .is_some_and(|version| version >= row.version)
        {
            rows.lapsed.remove(&row.key);
            return false;
        }
        let Some(value) = &row.value else {
            self.remove(rows, &row.key, row.version, now);
            return true;
        };
        rows.lapsed.remove(&row.key);
        match self.dialect.server(&row.key, value) {
            Ok(server) => {
                let was_ready = rows.entries.get(&row.key).map(|(s, _)| s.ready);
                if was_ready != Some(server.ready) {
                    info!(self.log, "server entry"; "server" => &*row.key, "ready" => server.ready, "pool" => &*server.pool, "row" => row.version);
                }
                rows.entries.insert(row.key.clone(), (server, row.version));
            }
            Err(fault) => {
                warn!(self.log, "server entry can't be read"; "server" => &*row.key, "fault" => format!("{fault:#}"));
                rows.entries.remove(&row.key);
                rows.removed.insert(row.key.clone(), row.version);
            }
        }
        true
    }

    /// Removes an entry; if it may have lapsed while the store was away, a little later.
    fn remove(&self, rows: &mut ServerRows, id: &Name, version: u64, now: Instant) {
        let recent = rows
            .returned
            .is_some_and(|at| now.duration_since(at) < LAPSED_GRACE);
        let serving = rows.entries.get(id).is_some_and(|(server, _)| server.ready);
        if recent && serving {
            let until = rows.returned.unwrap_or(now) + LAPSED_GRACE;
            rows.lapsed.entry(id.clone()).or_insert(until);
            return;
        }
        if rows.entries.remove(id).is_some() {
            info!(self.log, "server entry removed"; "server" => &**id, "row" => version);
        }
        rows.lapsed.remove(id);
        rows.removed.insert(id.clone(), version);
    }
}

async fn pause(failures: u32) {
    let pause = FIRST_PAUSE * failures.min(8);
    tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
}
