//! Serves peers and operators over JSON-RPC on the peer address.

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

/// Largest body of a question, in bytes.
const MAX_QUESTION: u32 = 4 << 20;
/// Largest body of an answer, in bytes.
const MAX_ANSWER: u32 = 32 << 20;
/// Connections served at the same time.
const MAX_CONNECTIONS: u32 = 2_048;

/// Methods for peers.
#[derive(Debug)]
struct PeerApi {
    service: Arc<ConfigService>,
}

#[async_trait]
impl PeerServer for PeerApi {
    async fn exchange(&self, exchange: GossipMessage) -> RpcResult<GossipMessage> {
        Ok(self.service.answer(exchange).await)
    }

    async fn log(&self, after: Version) -> RpcResult<LogReply> {
        Ok(self.service.log_after(after))
    }

    async fn roster(&self) -> RpcResult<Vec<InstanceId>> {
        let names = self.service.state().membership.roster().names.clone();
        Ok(names.to_vec())
    }
}

/// A listener that serves until its handle is stopped or dropped.
#[derive(Debug)]
pub struct Serving {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Stops it.
    pub handle: ServerHandle,
}

/// Listens on `addr` (`IP:PORT`).
pub async fn serve(addr: &str, operator: OperatorApi) -> anyhow::Result<Serving> {
    serve_with(addr, operator, RpcModule::new(())).await
}

/// Listens on `addr` (`IP:PORT`) with further methods.
pub async fn serve_with(
    addr: &str,
    operator: OperatorApi,
    further: impl Into<Methods>,
) -> anyhow::Result<Serving> {
    let peer = PeerApi {
        service: operator.service().clone(),
    };
    let cfg = ServerConfig::builder()
        .max_request_body_size(MAX_QUESTION)
        .max_response_body_size(MAX_ANSWER)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = Server::builder()
        .set_config(cfg)
        .build(addr)
        .await
        .with_context(|| format!("listen {addr}"))?;
    let local = server.local_addr().context("local address")?;
    let mut methods = RpcModule::new(());
    methods.merge(further).context("further methods")?;
    methods.merge(peer.into_rpc()).context("peer methods")?;
    methods
        .merge(operator.into_rpc())
        .context("operator methods")?;
    Ok(Serving {
        addr: local,
        handle: server.start(methods),
    })
}
