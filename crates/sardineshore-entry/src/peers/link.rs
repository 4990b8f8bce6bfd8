//! Calls to peers over JSON-RPC.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use sardineshore_core::{InstanceId, Version};
use sardineshore_wire::peer::{Exchange, LogReply, PeerClient};

use super::{PeerError, PeerLink};

/// Clients kept; all are dropped when there are more, so that those of replaced peers go.
const MAX_CLIENTS: usize = 1_024;

/// JSON-RPC over HTTP, with one client for each peer.
#[derive(Debug)]
pub struct RpcLink {
    timeout: Duration,
    clients: Mutex<HashMap<Arc<str>, HttpClient>>,
}

impl RpcLink {
    /// Creates a link whose calls end after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            clients: Mutex::default(),
        }
    }

    fn client(&self, addr: &Arc<str>) -> Result<HttpClient, PeerError> {
        let mut clients = self.clients.lock().expect("client lock poisoned");
        if let Some(client) = clients.get(addr) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let built = HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .build(format!("http://{addr}"));
        let client = built.map_err(|err| failed(addr, &err))?;
        clients.insert(addr.clone(), client.clone());
        Ok(client)
    }
}

#[async_trait]
impl PeerLink for RpcLink {
    async fn exchange(&self, addr: &Arc<str>, question: Exchange) -> Result<Exchange, PeerError> {
        let client = self.client(addr)?;
        let answer = client.exchange(question).await;
        answer.map_err(|err| failed(addr, &err))
    }

    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError> {
        let client = self.client(addr)?;
        let answer = client.log(after).await;
        answer.map_err(|err| failed(addr, &err))
    }

    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError> {
        let client = self.client(addr)?;
        let answer = client.roster().await;
        answer.map_err(|err| failed(addr, &err))
    }
}

fn failed(addr: &Arc<str>, err: &ClientError) -> PeerError {
    PeerError {
        addr: addr.clone(),
        reason: err.to_string(),
    }
}
