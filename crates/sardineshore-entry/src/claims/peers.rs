//! JSON-RPC calls between instances about claims: status queries and relayed writes.

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
use crate::peers::clients::PeerClients;

/// Maximum wait for a peer's response.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Lookup of the peer addresses of instances.
pub trait PeerAddresses: fmt::Debug + Send + Sync {
    /// Peer address (`IP:PORT`) of an instance, if the instance list contains it.
    fn peer_addr(&self, instance: &str) -> Option<Arc<str>>;
}

/// Client for status queries and relayed writes.
#[derive(Debug)]
pub struct RpcClaimClient {
    addresses: Arc<dyn PeerAddresses>,
    clients: PeerClients,
}

impl RpcClaimClient {
    /// Creates a client that looks up instances in `addresses`.
    #[must_use]
    pub fn new(addresses: Arc<dyn PeerAddresses>) -> Self {
        Self {
            addresses,
            clients: PeerClients::new(PEER_CALL_TIMEOUT),
        }
    }
}

#[async_trait]
impl ClaimPeers for RpcClaimClient {
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
impl RelayLink for RpcClaimClient {
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

/// Server side of the claim calls of one instance.
#[derive(Debug)]
pub struct ClaimsApi {
    instance: Arc<Instance>,
    table: BatchingTable,
}

impl ClaimsApi {
    /// Serves peers on behalf of `instance`; relayed transactions are committed to `table`.
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
