//! Cached JSON-RPC clients for peers, one for each address.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use super::PeerError;

/// Maximum number of cached clients. When it is reached, all are dropped, so that clients of
/// replaced peers do not accumulate.
const MAX_CLIENTS: usize = 1_024;

/// Cached clients by peer address.
#[derive(Debug)]
pub struct PeerClients {
    timeout: Duration,
    clients: Mutex<HashMap<Arc<str>, HttpClient>>,
}

impl PeerClients {
    /// Creates an empty cache; calls of its clients fail after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            clients: Mutex::default(),
        }
    }

    /// The client of the peer at `addr` (`IP:PORT`).
    pub fn get(&self, addr: &Arc<str>) -> Result<HttpClient, PeerError> {
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
        let client = built.map_err(|err| peer_error(addr, &err))?;
        clients.insert(addr.clone(), client.clone());
        Ok(client)
    }
}

/// The error of a call to the peer at `addr`.
#[must_use]
pub fn peer_error(addr: &Arc<str>, err: &ClientError) -> PeerError {
    PeerError {
        addr: addr.clone(),
        reason: err.to_string(),
    }
}
