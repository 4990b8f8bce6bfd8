//! Relays: instances that write the claims of many others to the table in batches.
//!
//! A relay only batches writes. Correctness depends on the condition of each transaction, and any
//! instance may write directly. An instance that receives no response from a relay commits the same
//! transaction itself. Whichever of the two takes effect first, the condition of the other fails
//! and its result contains the row.

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
    /// Number of members that share one relay; with fewer members, claims are written directly.
    pub members_per_relay: usize,
    /// Time for which a relay collects claims into one batch.
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

/// How a claim is written to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WritePath {
    /// By this instance, in a write of its own.
    Direct,
    /// By this instance, batched with other claims.
    Batched,
    /// By the instance with this peer address.
    Peer(Arc<str>),
}

/// Chooses which instance writes a claim.
pub trait WriteRouter: fmt::Debug + Send + Sync {
    /// How the claim with this row key is written.
    fn route(&self, key: &str) -> WritePath;

    /// Whether the maintenance of the rows with this key prefix is assigned to this instance.
    fn is_assigned_here(&self, prefix: &str) -> bool;
}

/// Sends transactions to relays.
#[async_trait]
pub trait RelayLink: fmt::Debug + Send + Sync {
    /// Asks the instance at `addr` to commit a transaction; `None` if it does not respond.
    async fn commit(&self, addr: &Arc<str>, txn: &Txn)
    -> Option<Result<CommitOutcome, StoreError>>;
}

/// A table that commits claims through relays and reads directly.
#[derive(Debug)]
pub struct RelayedTable {
    direct: Arc<dyn Table>,
    batched: BatchingTable,
    router: Arc<dyn WriteRouter>,
    link: Arc<dyn RelayLink>,
}

impl RelayedTable {
    /// Creates a table from the direct one, the batching one and the link to relays.
    #[must_use]
    pub fn new(
        direct: Arc<dyn Table>,
        batched: BatchingTable,
        router: Arc<dyn WriteRouter>,
        link: Arc<dyn RelayLink>,
    ) -> Self {
        Self {
            direct,
            batched,
            router,
            link,
        }
    }
}

#[async_trait]
impl Table for RelayedTable {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        let key = txn.checks.first().map_or("", |check| &check.key);
        match self.router.route(key) {
            WritePath::Direct => self.direct.commit(txn).await,
            WritePath::Batched => self.batched.commit(txn).await,
            WritePath::Peer(addr) => match self.link.commit(&addr, txn).await {
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

/// Selects relays by rendezvous hashing over the members of the instance list.
#[derive(Debug)]
pub struct MemberRouter {
    this_instance: InstanceId,
    settings: RelaySettings,
    config: Arc<ConfigService>,
}

impl MemberRouter {
    /// Creates the router of the instance named `this_instance`.
    #[must_use]
    pub fn new(
        this_instance: InstanceId,
        settings: RelaySettings,
        config: Arc<ConfigService>,
    ) -> Self {
        Self {
            this_instance,
            settings,
            config,
        }
    }
}

impl WriteRouter for MemberRouter {
    fn route(&self, key: &str) -> WritePath {
        let state = self.config.state();
        let relays = state.membership.len() / self.settings.members_per_relay;
        if relays == 0 {
            return WritePath::Direct;
        }
        let relay = xxh3_64(key.as_bytes()) % relays as u64;
        match rendezvous_member(&state.membership, &format!("relay/{relay}")) {
            Some(member) if member.name == self.this_instance => WritePath::Batched,
            Some(member) => WritePath::Peer(member.addr.clone()),
            None => WritePath::Direct,
        }
    }

    fn is_assigned_here(&self, prefix: &str) -> bool {
        let state = self.config.state();
        rendezvous_member(&state.membership, prefix)
            .is_some_and(|member| member.name == self.this_instance)
    }
}

/// The member that a task is assigned to, by rendezvous hashing over members that are not leaving.
fn rendezvous_member<'a>(membership: &'a Membership, task: &str) -> Option<&'a Member> {
    let weight = |name: &str| xxh3_64(format!("{task}/{name}").as_bytes());
    let staying = membership.members().filter(|member| !member.leaving);
    staying.max_by_key(|member| weight(&member.name))
}
