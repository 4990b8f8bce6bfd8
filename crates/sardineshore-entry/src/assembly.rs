//! Joins the parts of one entry instance: callers' side, configuration, peers and operators.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use async_std::task::JoinHandle;
use async_trait::async_trait;
use sardineshore_core::{Clock, Deployment, Query, QueryResponse, ServerId};
use sardineshore_core::clock::unix_ms;
use sardineshore_core::quarantine::Evidence;
use sardineshore_wire::peer::ClaimsServer;
use sardineshore_wire::platform::{PlatformClient, Table};
use slog::Logger;

use crate::queries;
use crate::claims::{ClaimDependencies, expiry};
use crate::claims::batcher::BatchingTable;
use crate::claims::peers::{ClaimsApi, PeerAddresses, RpcClaimClient};
use crate::claims::relay::{MemberRouter, RelaySettings, RelayedTable};
use crate::config::{Adopted, ConfigService, ConfigSettings, EvidenceExchange, Ports};
use crate::config::tasks::{self, ConfigTasks};
use crate::instance::Instance;
use crate::operator::{OperatorApi, Queries, Releases};
use crate::orders::{EngineOrders, HttpEngines, OrderSettings};
use crate::peers::link::RpcLink;
use crate::peers::serve::{Serving, serve_with};
use crate::settings::Settings;

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an engine's answer to an order.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// The callers' side of the instance, as the configuration reaches it.
#[derive(Debug, Default)]
struct CallersSide {
    instance: OnceLock<Weak<Instance>>,
}

impl CallersSide {
    fn instance(&self) -> Option<Arc<Instance>> {
        self.instance.get().and_then(Weak::upgrade)
    }
}

impl Adopted for CallersSide {
    fn adopted(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>) {
        if let Some(instance) = self.instance() {
            instance.tables.adopt(deployment, leaving);
        }
    }
}

impl EvidenceExchange for CallersSide {
    fn recent(&self) -> Vec<Evidence> {
        let Some(instance) = self.instance() else {
            return Vec::new();
        };
        let now_ms = unix_ms(instance.clock.wall_time());
        instance.quarantine.recent_evidence(now_ms)
    }

    fn merge(&self, evidence: Vec<Evidence>) {
        if let Some(instance) = self.instance() {
            let now_ms = unix_ms(instance.clock.wall_time());
            instance.quarantine.merge(evidence, now_ms);
        }
    }
}

impl PeerAddresses for ConfigService {
    fn peer_addr(&self, instance: &str) -> Option<Arc<str>> {
        let state = self.state();
        state
            .membership
            .member(instance)
            .map(|member| member.addr.clone())
    }
}

impl Queries for CallersSide {
    fn answer(&self, query: &Query) -> Option<QueryResponse> {
        let instance = self.instance()?;
        queries::answer(&instance, query)
    }
}

#[async_trait]
impl Releases for CallersSide {
    async fn release(&self, fingerprint: Arc<str>) -> bool {
        let Some(instance) = self.instance() else {
            return false;
        };
        let now_ms = unix_ms(instance.clock.wall_time());
        instance.quarantine.lift(&fingerprint, now_ms)
    }
}

/// Where claims are kept, and who looks after them.
#[derive(Debug)]
struct ClaimTable {
    table: Arc<dyn Table>,
    router: Arc<MemberRouter>,
}

/// An entry instance whose parts know one another.
#[derive(Debug)]
pub struct Assembly {
    /// Callers' side.
    pub instance: Arc<Instance>,
    /// Configuration and peers.
    pub config: Arc<ConfigService>,
    claims: ClaimTable,
    /// Writes of claims relayed for other instances.
    batched: BatchingTable,
    callers: Arc<CallersSide>,
    orders: Arc<EngineOrders>,
}

/// The running side of configuration and peers.
#[derive(Debug)]
pub struct Running {
    serving: Serving,
    tasks: ConfigTasks,
    expiring: JoinHandle<()>,
}

impl Assembly {
    /// Joins the parts; nothing runs yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, log: Logger) -> Self {
        let callers = Arc::new(CallersSide::default());
        let platform = PlatformClient::new(settings.platform.as_str(), settings.platform_timeout);
        let platform = Arc::new(platform);
        let ports = Ports {
            clock: clock.clone(),
            table: platform.clone(),
            objects: platform.clone(),
            list: platform.clone(),
            peers: Arc::new(RpcLink::new(PEER_TIMEOUT)),
            adopted: callers.clone(),
            evidence: callers.clone(),
            log: log.clone(),
        };
        let table = ports.table.clone();
        let holder = format!("{}@{}", settings.name, unix_ms(clock.wall_time()));
        let config = ConfigSettings {
            name: settings.name.clone(),
            ..ConfigSettings::default()
        };
        let config = Arc::new(ConfigService::new(config, ports));
        let order_settings = OrderSettings {
            holder: holder.into(),
            ..OrderSettings::default()
        };
        let engines = Arc::new(HttpEngines::new(ENGINE_TIMEOUT));
        let orders = EngineOrders::new(
            order_settings,
            clock.clone(),
            table,
            engines,
            config.clone(),
        );
        let instance = Arc::new(Instance::new(settings, clock, config.clone(), log));
        config.gauges().register(instance.metrics.registry());
        let _ = callers.instance.set(Arc::downgrade(&instance));
        let relay = RelaySettings::default();
        let batched = BatchingTable::new(platform.clone(), relay.window);
        let peers = Arc::new(RpcClaimClient::new(config.clone()));
        let name = instance.settings.name.clone();
        let router = Arc::new(MemberRouter::new(name, relay, config.clone()));
        let table = RelayedTable::new(platform, batched.clone(), router.clone(), peers.clone());
        let table: Arc<dyn Table> = Arc::new(table);
        instance.claims.set_dependencies(ClaimDependencies {
            table: table.clone(),
            peers,
        });
        Self {
            instance,
            config,
            batched,
            claims: ClaimTable { table, router },
            callers,
            orders: Arc::new(orders),
        }
    }

    /// Serves peers and operators, and follows the configuration.
    pub async fn start(&self) -> anyhow::Result<Running> {
        let callers = self.callers.clone();
        let api = OperatorApi::new(
            self.config.clone(),
            callers.clone(),
            self.orders.clone(),
            callers,
        );
        let claims = ClaimsApi::new(self.instance.clone(), self.batched.clone()).into_rpc();
        let serving = serve_with(&self.instance.settings.peer_listen, api, claims).await?;
        let tasks = tasks::start(&self.config);
        let ClaimTable { table, router } = &self.claims;
        let expiring = expiry::run(self.instance.clone(), table.clone(), router.clone());
        let expiring = async_std::task::spawn(expiring);
        Ok(Running {
            serving,
            tasks,
            expiring,
        })
    }

    /// Tells peers that the last work has ended, then ends what [`Assembly::start`] began.
    pub async fn stop(&self, running: Running) {
        self.config.tell_stopped().await;
        running.tasks.cancel().await;
        running.expiring.cancel().await;
        let _ = running.serving.handle.stop();
    }
}
