//! The JSON-RPC server for peers and operators on the peer address.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::{Methods, RpcModule};
use sardineshore_core::{InstanceId, Version};
use sardineshore_wire::operator::OperatorServer;
use sardineshore_wire::peer::{GossipMessage, LogReply, PeerServer};

use crate::config::ConfigService;
use crate::operator::OperatorApi;

/// Maximum size of a request body, in bytes.
const MAX_REQUEST_BYTES: u32 = 4 << 20;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u32 = 32 << 20;
/// Maximum number of simultaneous connections.
const MAX_CONNECTIONS: u32 = 2_048;

/// The JSON-RPC methods for peers.
#[derive(Debug)]
struct PeerApi {
    service: Arc<ConfigService>,
}

#[async_trait]
impl PeerServer for PeerApi {
    async fn exchange(&self, exchange: GossipMessage) -> RpcResult<GossipMessage> {
        Ok(self.service.handle_exchange(exchange).await)
    }

    async fn log(&self, after: Version) -> RpcResult<LogReply> {
        Ok(self.service.log_after(after))
    }

    async fn roster(&self) -> RpcResult<Vec<InstanceId>> {
        let names = self.service.state().membership.roster().names.clone();
        Ok(names.to_vec())
    }
}

/// A server that runs until its handle is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Handle that stops the server.
    pub handle: ServerHandle,
}

/// Serves peers and operators on `addr` (`IP:PORT`).
pub async fn serve(addr: &str, operator: OperatorApi) -> anyhow::Result<RunningServer> {
    serve_with_methods(addr, operator, RpcModule::new(())).await
}

/// Serves peers, operators and additional methods on `addr` (`IP:PORT`).
pub async fn serve_with_methods(
    addr: &str,
    operator: OperatorApi,
    extra_methods: impl Into<Methods>,
) -> anyhow::Result<RunningServer> {
    let peer = PeerApi {
        service: operator.service().clone(),
    };
    let cfg = ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = Server::builder()
        .set_config(cfg)
        .build(addr)
        .await
        .with_context(|| format!("listen {addr}"))?;
    let local = server.local_addr().context("local address")?;
    let mut methods = RpcModule::new(());
    methods.merge(extra_methods).context("further methods")?;
    methods.merge(peer.into_rpc()).context("peer methods")?;
    methods
        .merge(operator.into_rpc())
        .context("operator methods")?;
    Ok(RunningServer {
        addr: local,
        handle: server.start(methods),
    })
}
