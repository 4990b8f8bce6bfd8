//! Orders to engines, each under the lease of its engine's pool: I/O around
//! [`sardineshore_core::lease`].
//!
//! An instance takes the pool's lease for an order and gives it up after it, unless the order's
//! fate is not known: then the lease runs out, so that the next holder waits for a late arrival.

mod run;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use http_types::{Method, Request, Url};
use sardineshore_core::lease::LeaseConfig;
use sardineshore_core::{
    BackendServer, Clock, CommandId, Deployment, EngineAction, EngineOrder, InstanceId, PoolId,
    ServerId,
};
use sardineshore_wire::backend::{FencedOrder, OrderReply};
use sardineshore_wire::http::Client;
use sardineshore_wire::operator::OrderOutcome;
use sardineshore_wire::platform::Table;

use crate::config::ConfigService;
use crate::operator::Orders;
use run::Run;

/// Sends orders to engines.
#[async_trait]
pub trait EngineLink: fmt::Debug + Send + Sync {
    /// Sends an order; nothing if no answer came, though it may arrive.
    async fn send(&self, addr: &str, order: &FencedOrder) -> Option<OrderReply>;
}

/// HTTP to engines.
#[derive(Debug)]
pub struct HttpEngines {
    client: Client,
    timeout: Duration,
}

impl HttpEngines {
    /// Creates a link whose calls end after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: Client::default(),
            timeout,
        }
    }
}

#[async_trait]
impl EngineLink for HttpEngines {
    async fn send(&self, addr: &str, order: &FencedOrder) -> Option<OrderReply> {
        let url = Url::parse(&format!("http://{addr}/v1/orders")).ok()?;
        let mut req = Request::new(Method::Post, url);
        req.set_body(serde_json::to_vec(order).expect("an order serializes"));
        req.insert_header("content-type", "application/json");
        let reply = self.client.send(addr, req, self.timeout).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }
}

/// Settings of orders.
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// Holder that leases name; unique for each start of a process.
    pub holder: InstanceId,
    /// Longest time for one order, the wait for the lease included.
    pub patience: Duration,
    /// Leases; whether engines refuse old fencing tokens is taken from the deployment.
    pub lease: LeaseConfig,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            holder: "entry".into(),
            patience: Duration::from_secs(50),
            lease: LeaseConfig::default(),
        }
    }
}

/// Sends operators' orders.
#[derive(Debug)]
pub struct EngineOrders {
    settings: OrderSettings,
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    engines: Arc<dyn EngineLink>,
    config: Arc<ConfigService>,
    /// One order at a time for each pool.
    turns: Mutex<BTreeMap<PoolId, Arc<async_std::sync::Mutex<()>>>>,
}

impl EngineOrders {
    /// Creates the sender of orders.
    #[must_use]
    pub fn new(
        settings: OrderSettings,
        clock: Arc<dyn Clock>,
        table: Arc<dyn Table>,
        engines: Arc<dyn EngineLink>,
        config: Arc<ConfigService>,
    ) -> Self {
        Self {
            settings,
            clock,
            table,
            engines,
            config,
            turns: Mutex::default(),
        }
    }

    fn turn(&self, pool: &PoolId) -> Arc<async_std::sync::Mutex<()>> {
        let mut turns = self.turns.lock().expect("turn lock poisoned");
        turns.entry(pool.clone()).or_default().clone()
    }

    /// The engine, if this instance may order it now.
    fn engine(&self, server: &str, deployment: &Deployment) -> Result<BackendServer, String> {
        if !self.config.is_ready() {
            return Err("the configuration is not confirmed".into());
        }
        let found = deployment.servers.get(server).cloned();
        found.ok_or_else(|| format!("server {server:?} is not declared"))
    }
}

#[async_trait]
impl Orders for EngineOrders {
    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> OrderOutcome {
        let deployment = self.config.state().log.deployment().clone();
        let engine = match self.engine(&server, &deployment) {
            Ok(engine) => engine,
            Err(reason) => return OrderOutcome::NotSent { reason },
        };
        let turn = self.turn(&engine.pool);
        let _one_at_a_time = turn.lock().await;
        let fencing = pool_is_fencing(&deployment, &engine.pool);
        let order = EngineOrder {
            command,
            server,
            action,
        };
        Run::new(self, &engine, fencing).carry_out(order).await
    }
}

fn pool_is_fencing(deployment: &Deployment, pool: &str) -> bool {
    let mut members = deployment.servers.values();
    members.all(|server| &*server.pool != pool || server.fencing)
}
