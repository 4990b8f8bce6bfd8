//! Claims between instances over JSON-RPC.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::http_client::HttpClientBuilder;
use sardineshore_core::claim::PeerReply;
use sardineshore_core::{AttemptId, InstanceId};
use sardineshore_wire::peer::{ClaimsClient, ClaimsServer};

use super::ClaimPeers;
use crate::instance::Instance;

const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Peer addresses of instances.
pub trait Addresses: fmt::Debug + Send + Sync {
    /// `IP:PORT` of an instance's peer address, if it is listed.
    fn peer_addr(&self, instance: &str) -> Option<Arc<str>>;
}

/// Questions over JSON-RPC.
#[derive(Debug)]
pub struct RpcClaims {
    addresses: Arc<dyn Addresses>,
}

impl RpcClaims {
    /// Creates a link to the instances at the given addresses.
    #[must_use]
    pub fn new(addresses: Arc<dyn Addresses>) -> Self {
        Self { addresses }
    }
}

#[async_trait]
impl ClaimPeers for RpcClaims {
    async fn ask(&self, instance: &InstanceId, attempt: &AttemptId) -> PeerReply {
        let Some(addr) = self.addresses.peer_addr(instance) else {
            return PeerReply::Unreachable;
        };
        let client = HttpClientBuilder::default()
            .request_timeout(ASK_TIMEOUT)
            .build(format!("http://{addr}"));
        match client {
            Ok(client) => {
                let reply = client.claim(attempt.clone()).await;
                reply.unwrap_or(PeerReply::Unreachable)
            }
            Err(_) => PeerReply::Unreachable,
        }
    }
}

/// Answers peers for one instance.
#[derive(Debug)]
pub struct ClaimsApi {
    instance: Arc<Instance>,
}

impl ClaimsApi {
    /// Answers for an instance.
    #[must_use]
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }
}

#[async_trait]
impl ClaimsServer for ClaimsApi {
    async fn claim(&self, attempt: AttemptId) -> RpcResult<PeerReply> {
        Ok(self.instance.claims.peer_reply(&attempt))
    }
}
