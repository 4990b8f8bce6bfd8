//! Calls to peers over JSON-RPC.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sardineshore_core::{InstanceId, Version};
use sardineshore_wire::peer::{GossipMessage, LogReply, PeerClient};

use super::clients::{Clients, failed};
use super::{PeerError, PeerLink};

/// JSON-RPC over HTTP.
#[derive(Debug)]
pub struct RpcLink {
    clients: Clients,
}

impl RpcLink {
    /// Creates a link whose calls end after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            clients: Clients::new(timeout),
        }
    }
}

#[async_trait]
impl PeerLink for RpcLink {
    async fn exchange(
        &self,
        addr: &Arc<str>,
        question: GossipMessage,
    ) -> Result<GossipMessage, PeerError> {
        let client = self.clients.get(addr)?;
        let answer = client.exchange(question).await;
        answer.map_err(|err| failed(addr, &err))
    }

    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError> {
        let client = self.clients.get(addr)?;
        let answer = client.log(after).await;
        answer.map_err(|err| failed(addr, &err))
    }

    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError> {
        let client = self.clients.get(addr)?;
        let answer = client.roster().await;
        answer.map_err(|err| failed(addr, &err))
    }
}
