//! Rate limits that servers name for all instances together, and their exchange with the others.
//!
//! The instance that first sees a limit, its change or its end in a response writes it to the store,
//! one row for each server, from where all instances learn of it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::replica::TableChanges;
use sardineshore_core::flow::turns::{TurnSchedule, TurnSharing};
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::dialect::Table;
use crate::peers::Peers;
use crate::state::{SharedState, boot_time};
use crate::store::Store;

/// Relative change of a limit from which on it is told to the other instances.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
/// Delay before changes are written, in which those of other instances may arrive.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Back-off after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How often rows of servers that are gone are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);

/// Rate limits of servers as this instance and the others see them.
#[derive(Debug)]
pub struct LimitExchange {
    state: Rc<SharedState>,
    peers: Rc<Peers>,
    store: Rc<Store>,
    log: Logger,
    /// Limits in the store, in requests per second.
    rows: RefCell<BTreeMap<Name, f64>>,
    /// Servers whose rows are to be written.
    unwritten: RefCell<BTreeSet<Name>>,
    to_write: Notify,
}

impl LimitExchange {
    /// Creates an exchange that knows no limits.
    #[must_use]
    pub fn new(
        state: Rc<SharedState>,
        peers: Rc<Peers>,
        store: Rc<Store>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            state,
            peers,
            store,
            log,
            rows: RefCell::default(),
            unwritten: RefCell::default(),
            to_write: Notify::new(),
        })
    }

    /// Records the limit in a response of a server, in requests per second; `None` if it names none.
    pub fn record(&self, server: &Name, limit: Option<f64>) {
        let known = self.state.selector.borrow().limit(server);
        let unchanged = match (known, limit) {
            (None, None) => true,
            (Some(known), Some(limit)) => (limit - known).abs() <= MIN_RELATIVE_CHANGE * known,
            _ => false,
        };
        if unchanged {
            return;
        }
        info!(self.log, "server named its rate limit"; "server" => &**server, "per_second" => limit, "before" => known);
        self.state.selector.borrow_mut().set_limit(server, limit);
        self.unwritten.borrow_mut().insert(server.clone());
        self.to_write.notify_one();
    }

    /// Updates the order of turns if there are servers with limits or cold ones.
    pub fn update_schedule(&self) {
        let mut selector = self.state.selector.borrow_mut();
        let is_any_cold = selector.cold_servers(Instant::now()) > 0;
        if !selector.has_limits() && !is_any_cold {
            return;
        }
        let now = boot_time();
        let common_time = self.state.freshness.borrow().store_time(now);
        let clock = (Instant::now(), common_time.unwrap_or(now));
        selector.set_schedule(TurnSchedule {
            rank: self.peers.rank(),
            instances: self.peers.instance_count(),
            clock,
        });
        if is_any_cold {
            let own = &self.peers.this_instance().name;
            let candidates = self.peers.candidates();
            let instances = candidates.iter().map(|one| (&*one.name, &one.domain));
            let is_common = common_time.is_some() && self.state.instances_known.get();
            let sharing = TurnSharing::new(own, instances, clock, is_common);
            selector.set_sharing(sharing, clock.0);
        }
    }

    /// Applies changes of the rows in the store.
    pub fn apply(&self, changes: &TableChanges) {
        let mut rows = self.rows.borrow_mut();
        let mut selector = self.state.selector.borrow_mut();
        for row in &changes.rows {
            let limit = row.value.as_deref().map(postcard::from_bytes::<f64>);
            match limit {
                Some(Ok(limit)) if limit.is_finite() && limit >= 0.0 => {
                    rows.insert(row.key.clone(), limit);
                    selector.set_limit(&row.key, Some(limit));
                }
                Some(_) => {
                    warn!(self.log, "can't decode a rate limit"; "server" => &*row.key);
                }
                None => {
                    rows.remove(&row.key);
                    selector.set_limit(&row.key, None);
                }
            }
        }
        for server in &changes.missing {
            rows.remove(server);
            selector.set_limit(server, None);
        }
    }

    /// Applies the rows of a store that was restored from a copy. Limits that are known from before stay,
    /// and one instance writes each of them again if the copy differs. The others may not know a limit
    /// whose row this instance has not read back: it writes that itself.
    pub fn apply_restored(&self, changes: &TableChanges) {
        let before = self.rows.take();
        let (known, unknown) = (changes.rows.iter().cloned())
            .partition::<Vec<_>, _>(|row| before.contains_key(&row.key));
        for row in known {
            let limit = row.value.as_deref().map(postcard::from_bytes::<f64>);
            if let Some(Ok(limit)) = limit {
                self.rows.borrow_mut().insert(row.key, limit);
            }
        }
        self.apply(&TableChanges {
            rows: unknown,
            ..TableChanges::default()
        });
        let (candidates, own) = (self.peers.candidates(), &self.peers.this_instance().name);
        let is_mine = |server: &&Name| {
            let is_owner = || rank_owners(server, &candidates).first() == Some(own);
            !before.contains_key(*server) || is_owner()
        };
        let selector = self.state.selector.borrow();
        let servers = before.keys().chain(selector.limited_servers());
        let mine = servers.filter(is_mine).cloned();
        self.unwritten.borrow_mut().extend(mine);
        self.to_write.notify_one();
    }

    /// Writes changes of limits to the store, forever.
    pub async fn share(self: Rc<Self>) {
        loop {
            let pending = tokio::time::timeout(CLEANUP_INTERVAL, self.to_write.notified()).await;
            if pending.is_err() {
                self.queue_servers_gone();
            }
            tokio::time::sleep(WRITE_DELAY).await;
            loop {
                let next = self.unwritten.borrow_mut().pop_first();
                let Some(server) = next else { break };
                if let Err(error) = self.write(&server).await {
                    info!(self.log, "can't write a rate limit; retrying"; "server" => &*server, "fault" => error.to_string());
                    self.unwritten.borrow_mut().insert(server);
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Writes or removes the row of a server, unless the store has it already.
    async fn write(&self, server: &Name) -> Result<(), crate::store::StoreError> {
        let limit = self.state.selector.borrow().limit(server);
        let known = self.rows.borrow().get(server).copied();
        match (known, limit) {
            (None, None) => Ok(()),
            (Some(_), None) => self.store.remove(Table::Limits, server).await,
            (Some(known), Some(limit)) if (known - limit).abs() < f64::EPSILON => Ok(()),
            (_, Some(limit)) => match postcard::to_stdvec(&limit) {
                Ok(value) => self.store.put(Table::Limits, server, &value).await,
                Err(error) => {
                    warn!(self.log, "can't encode a rate limit"; "fault" => error.to_string());
                    Ok(())
                }
            },
        }
    }

    /// Queues the removal of rows of servers that are gone; each is removed by one instance.
    fn queue_servers_gone(&self) {
        let candidates = self.peers.candidates();
        let own = &self.peers.this_instance().name;
        let selector = self.state.selector.borrow();
        let listed: BTreeSet<&Name> = selector.servers().map(|server| &server.id).collect();
        let rows = self.rows.borrow();
        let gone = rows.keys().filter(|server| !listed.contains(server));
        let mine = gone.filter(|server| rank_owners(server, &candidates).first() == Some(own));
        self.unwritten.borrow_mut().extend(mine.cloned());
    }
}
