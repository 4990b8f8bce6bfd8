//! Calls to peers over JSON-RPC.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sardineshore_core::{InstanceId, Version};
use sardineshore_wire::peer::{GossipMessage, LogReply, PeerClient};

use super::clients::{PeerClients, peer_error};
use super::{PeerError, PeerLink};

/// Calls to peers over JSON-RPC and HTTP.
#[derive(Debug)]
pub struct RpcPeerLink {
    clients: PeerClients,
}

impl RpcPeerLink {
    /// Creates a link whose calls fail after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            clients: PeerClients::new(timeout),
        }
    }
}

#[async_trait]
impl PeerLink for RpcPeerLink {
    async fn exchange(
        &self,
        addr: &Arc<str>,
        request: GossipMessage,
    ) -> Result<GossipMessage, PeerError> {
        let client = self.clients.get(addr)?;
        let reply = client.exchange(request).await;
        reply.map_err(|err| peer_error(addr, &err))
    }

    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError> {
        let client = self.clients.get(addr)?;
        let reply = client.log(after).await;
        reply.map_err(|err| peer_error(addr, &err))
    }

    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError> {
        let client = self.clients.get(addr)?;
        let reply = client.roster().await;
        reply.map_err(|err| peer_error(addr, &err))
    }
}
