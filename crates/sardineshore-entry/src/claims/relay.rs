//! Claims of many instances travel to a few that write them together.
//!
//! A relay only joins writes: correctness stays in each transaction's own condition, and any
//! instance may write directly. An instance that gets no answer from a relay writes the same
//! transaction itself; whichever of the two takes effect first, the other one's condition fails
//! and shows the row.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sardineshore_core::membership::{Member, Membership};
use sardineshore_core::{CommitOutcome, InstanceId, Row, StoreError, Txn};
use sardineshore_wire::platform::Table;
use xxhash_rust::xxh3::xxh3_64;

use super::batcher::BatchingTable;
use crate::config::ConfigService;

/// Settings of relays.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Members that share one relay; with fewer, claims are written directly.
    pub members_per_relay: usize,
    /// Time for which a relay collects claims.
    pub window: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            members_per_relay: 25,
            window: Duration::from_millis(50),
        }
    }
}

/// Where a claim is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// By this instance, alone.
    Direct,
    /// By this instance, joined with others.
    Joined,
    /// By the instance with this peer address.
    Peer(Arc<str>),
}

/// Chooses where a claim is written.
pub trait Routes: fmt::Debug + Send + Sync {
    /// Where the claim with this row key is written.
    fn route(&self, key: &str) -> Route;

    /// Whether this instance is the one that looks after the rows with this prefix.
    fn is_ours(&self, prefix: &str) -> bool;
}

/// Passes transactions to relays.
#[async_trait]
pub trait RelayLink: fmt::Debug + Send + Sync {
    /// Asks the instance at `addr` to write; nothing if it gave no answer.
    async fn commit(&self, addr: &Arc<str>, txn: &Txn)
    -> Option<Result<CommitOutcome, StoreError>>;
}

/// A table whose claims are written by relays.
#[derive(Debug)]
pub struct RelayedTable {
    direct: Arc<dyn Table>,
    joined: BatchingTable,
    routes: Arc<dyn Routes>,
    link: Arc<dyn RelayLink>,
}

impl RelayedTable {
    /// Joins the ways to the table.
    #[must_use]
    pub fn new(
        direct: Arc<dyn Table>,
        joined: BatchingTable,
        routes: Arc<dyn Routes>,
        link: Arc<dyn RelayLink>,
    ) -> Self {
        Self {
            direct,
            joined,
            routes,
            link,
        }
    }
}

#[async_trait]
impl Table for RelayedTable {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        let key = txn.checks.first().map_or("", |check| &check.key);
        match self.routes.route(key) {
            Route::Direct => self.direct.commit(txn).await,
            Route::Joined => self.joined.commit(txn).await,
            Route::Peer(addr) => match self.link.commit(&addr, txn).await {
                Some(answer) => answer,
                None => self.direct.commit(txn).await,
            },
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.direct.read(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.direct.scan(prefix, after, limit).await
    }
}

/// Routes by rendezvous hash over the members of the instance list.
#[derive(Debug)]
pub struct MemberRoutes {
    me: InstanceId,
    settings: RelaySettings,
    config: Arc<ConfigService>,
}

impl MemberRoutes {
    /// Routes of the instance `me`.
    #[must_use]
    pub fn new(me: InstanceId, settings: RelaySettings, config: Arc<ConfigService>) -> Self {
        Self {
            me,
            settings,
            config,
        }
    }
}

impl Routes for MemberRoutes {
    fn route(&self, key: &str) -> Route {
        let state = self.config.state();
        let relays = state.membership.len() / self.settings.members_per_relay;
        if relays == 0 {
            return Route::Direct;
        }
        let relay = xxh3_64(key.as_bytes()) % relays as u64;
        match chosen(&state.membership, &format!("relay/{relay}")) {
            Some(member) if member.name == self.me => Route::Joined,
            Some(member) => Route::Peer(member.addr.clone()),
            None => Route::Direct,
        }
    }

    fn is_ours(&self, prefix: &str) -> bool {
        let state = self.config.state();
        chosen(&state.membership, prefix).is_some_and(|member| member.name == self.me)
    }
}

/// The member that a task falls to, by rendezvous hash over those that are not leaving.
fn chosen<'a>(membership: &'a Membership, task: &str) -> Option<&'a Member> {
    let weight = |name: &str| xxh3_64(format!("{task}/{name}").as_bytes());
    let staying = membership.members().filter(|member| !member.leaving);
    staying.max_by_key(|member| weight(&member.name))
}
