//! Operators' orders to engines, each sent under the lease of the engine's pool: the I/O around
//! [`sardineshore_core::lease`].
//!
//! An instance acquires the pool's lease for an order and releases it afterwards. If the effect of
//! the order is unknown, it lets the lease expire instead, so that the next holder waits until a
//! delayed order can no longer arrive.

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
use crate::operator::OrderExecutor;
use run::OrderRun;

/// Sends orders to engines.
#[async_trait]
pub trait EngineLink: fmt::Debug + Send + Sync {
    /// Sends an order; `None` if no response was received. The order may still arrive.
    async fn send(&self, addr: &str, order: &FencedOrder) -> Option<OrderReply>;
}

/// Sends orders over HTTP.
#[derive(Debug)]
pub struct HttpEngineLink {
    client: Client,
    timeout: Duration,
}

impl HttpEngineLink {
    /// Creates a link whose calls fail after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: Client::default(),
            timeout,
        }
    }
}

#[async_trait]
impl EngineLink for HttpEngineLink {
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
    /// Name of the lease holder; unique for each start of the process.
    pub holder: InstanceId,
    /// Maximum time for one order, including the wait for the lease.
    pub order_timeout: Duration,
    /// Lease settings; its `fencing` is replaced according to the deployment.
    pub lease: LeaseConfig,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            holder: "entry".into(),
            order_timeout: Duration::from_secs(50),
            lease: LeaseConfig::default(),
        }
    }
}

/// Executes operators' orders under leases.
#[derive(Debug)]
pub struct LeasedOrderExecutor {
    settings: OrderSettings,
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    engines: Arc<dyn EngineLink>,
    config: Arc<ConfigService>,
    /// Serializes the orders of each pool.
    pool_locks: Mutex<BTreeMap<PoolId, Arc<async_std::sync::Mutex<()>>>>,
}

impl LeasedOrderExecutor {
    /// Creates an executor that keeps leases in `table` and sends orders through `engines`.
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
            pool_locks: Mutex::default(),
        }
    }

    fn pool_lock(&self, pool: &PoolId) -> Arc<async_std::sync::Mutex<()>> {
        let mut pool_locks = self.pool_locks.lock().expect("pool lock poisoned");
        pool_locks.entry(pool.clone()).or_default().clone()
    }

    /// The engine's declaration; fails if this instance must not send orders now.
    fn engine(&self, server: &str, deployment: &Deployment) -> Result<BackendServer, String> {
        if !self.config.is_ready() {
            return Err("the configuration is not confirmed".into());
        }
        let found = deployment.servers.get(server).cloned();
        found.ok_or_else(|| format!("server {server:?} is not declared"))
    }
}

#[async_trait]
impl OrderExecutor for LeasedOrderExecutor {
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
        let pool_lock = self.pool_lock(&engine.pool);
        let _guard = pool_lock.lock().await;
        let fencing = pool_checks_fencing(&deployment, &engine.pool);
        let order = EngineOrder {
            command,
            server,
            action,
        };
        OrderRun::new(self, &engine, fencing).execute(order).await
    }
}

fn pool_checks_fencing(deployment: &Deployment, pool: &str) -> bool {
    let mut members = deployment.servers.values();
    members.all(|server| &*server.pool != pool || server.fencing)
}
