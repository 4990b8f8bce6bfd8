//! Claims between instances over JSON-RPC.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use sardineshore_core::claim::PeerReply;
use sardineshore_core::{AttemptId, CommitOutcome, InstanceId, StoreError, Txn};
use sardineshore_wire::peer::{ClaimsClient, ClaimsServer, RelayReply};
use sardineshore_wire::platform::Table;

use super::ClaimPeers;
use super::batcher::BatchingTable;
use super::relay::RelayLink;
use crate::instance::Instance;
use crate::peers::clients::Clients;

/// Longest wait for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Peer addresses of instances.
pub trait Addresses: fmt::Debug + Send + Sync {
    /// `IP:PORT` of an instance's peer address, if it is listed.
    fn peer_addr(&self, instance: &str) -> Option<Arc<str>>;
}

/// Questions and relayed writes over JSON-RPC.
#[derive(Debug)]
pub struct RpcClaims {
    addresses: Arc<dyn Addresses>,
    clients: Clients,
}

impl RpcClaims {
    /// Creates a link to the instances at the given addresses.
    #[must_use]
    pub fn new(addresses: Arc<dyn Addresses>) -> Self {
        Self {
            addresses,
            clients: Clients::new(ASK_TIMEOUT),
        }
    }
}

#[async_trait]
impl ClaimPeers for RpcClaims {
    async fn ask(&self, instance: &InstanceId, attempt: &AttemptId) -> PeerReply {
        let Some(addr) = self.addresses.peer_addr(instance) else {
            return PeerReply::Unreachable;
        };
        match self.clients.get(&addr) {
            Ok(client) => {
                let reply = client.claim(attempt.clone()).await;
                reply.unwrap_or(PeerReply::Unreachable)
            }
            Err(_) => PeerReply::Unreachable,
        }
    }
}

#[async_trait]
impl RelayLink for RpcClaims {
    async fn commit(
        &self,
        addr: &Arc<str>,
        txn: &Txn,
    ) -> Option<Result<CommitOutcome, StoreError>> {
        let client = self.clients.get(addr).ok()?;
        match client.commit(txn.clone()).await.ok()? {
            RelayReply::Answered { commit } => Some(Ok(commit)),
            RelayReply::Failed { error } => Some(Err(error)),
        }
    }
}

/// Answers peers for one instance.
#[derive(Debug)]
pub struct ClaimsApi {
    instance: Arc<Instance>,
    table: BatchingTable,
}

impl ClaimsApi {
    /// Answers for an instance; relayed transactions are written to `table`.
    #[must_use]
    pub fn new(instance: Arc<Instance>, table: BatchingTable) -> Self {
        Self { instance, table }
    }
}

#[async_trait]
impl ClaimsServer for ClaimsApi {
    async fn claim(&self, attempt: AttemptId) -> RpcResult<PeerReply> {
        Ok(self.instance.claims.peer_reply(&attempt))
    }

    async fn commit(&self, txn: Txn) -> RpcResult<RelayReply> {
        Ok(match self.table.commit(&txn).await {
            Ok(commit) => RelayReply::Answered { commit },
            Err(error) => RelayReply::Failed { error },
        })
    }
}
