//! Builds one entry instance from its components: request handling, configuration, peers and
//! operators.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use async_std::task::JoinHandle;
use async_trait::async_trait;
use sardineshore_core::clock::unix_ms;
use sardineshore_core::flow::quarantine::Evidence as PromptEvidence;
use sardineshore_core::quarantine::Evidence;
use sardineshore_core::{Clock, Deployment, Query, QueryResponse, ServerId};
use sardineshore_wire::peer::ClaimsServer;
use sardineshore_wire::platform::{PlatformClient, Table};
use slog::Logger;

use crate::claims::batcher::BatchingTable;
use crate::claims::peers::{ClaimsApi, PeerAddresses, RpcClaimClient};
use crate::claims::relay::{MemberRouter, RelaySettings, RelayedTable};
use crate::claims::{ClaimDependencies, expiry};
use crate::config::tasks::{self, ConfigTasks};
use crate::config::{
    ConfigDependencies, ConfigObserver, ConfigService, ConfigSettings, EvidenceExchange,
};
use crate::instance::Instance;
use crate::operator::{OperatorApi, QuarantineRelease, QueryHandler};
use crate::orders::{HttpEngineLink, LeasedOrderExecutor, OrderSettings};
use crate::peers::link::RpcPeerLink;
use crate::peers::serve::{RunningServer, serve_with_methods};
use crate::queries;
use crate::settings::Settings;

/// Maximum wait for a peer's response.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait for an engine's response to an order.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// Weak reference to the instance, for the configuration and the operators' methods. It is set
/// after both exist, because the instance itself refers to the configuration.
#[derive(Debug, Default)]
struct InstanceHandle {
    instance: OnceLock<Weak<Instance>>,
}

impl InstanceHandle {
    fn instance(&self) -> Option<Arc<Instance>> {
        self.instance.get().and_then(Weak::upgrade)
    }
}

impl ConfigObserver for InstanceHandle {
    fn config_activated(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>) {
        if let Some(instance) = self.instance() {
            instance.tables.activate(deployment, leaving);
        }
    }
}

impl EvidenceExchange for InstanceHandle {
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

    fn recent_prompts(&self) -> Vec<PromptEvidence> {
        self.instance().map_or_else(Vec::new, |instance| {
            let now = instance.clock.now();
            instance.quarantine.recent_prompt_evidence(now)
        })
    }

    fn merge_prompts(&self, evidence: Vec<PromptEvidence>) {
        if let Some(instance) = self.instance() {
            let now = instance.clock.now();
            instance.quarantine.merge_prompt_evidence(evidence, now);
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

impl QueryHandler for InstanceHandle {
    fn answer(&self, query: &Query) -> Option<QueryResponse> {
        let instance = self.instance()?;
        queries::answer(&instance, query)
    }
}

#[async_trait]
impl QuarantineRelease for InstanceHandle {
    async fn release(&self, fingerprint: Arc<str>) -> bool {
        let Some(instance) = self.instance() else {
            return false;
        };
        instance.quarantine.lift(&instance, &fingerprint)
    }
}

/// The table of the claims and the router that assigns writes and maintenance to instances.
#[derive(Debug)]
struct ClaimTable {
    table: Arc<dyn Table>,
    router: Arc<MemberRouter>,
}

/// The connected components of one entry instance.
#[derive(Debug)]
pub struct Assembly {
    /// Shared state of request handling.
    pub instance: Arc<Instance>,
    /// Configuration service, which also exchanges with peers.
    pub config: Arc<ConfigService>,
    claims: ClaimTable,
    /// Table for claims that this instance writes on behalf of others.
    batched: BatchingTable,
    callers: Arc<InstanceHandle>,
    orders: Arc<LeasedOrderExecutor>,
}

/// The running server and tasks of an [`Assembly`].
#[derive(Debug)]
pub struct RunningServices {
    serving: RunningServer,
    tasks: ConfigTasks,
    expiry_task: JoinHandle<()>,
}

impl Assembly {
    /// Creates and connects the components; nothing runs yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, log: Logger) -> Self {
        let callers = Arc::new(InstanceHandle::default());
        let platform = PlatformClient::new(settings.platform.as_str(), settings.platform_timeout);
        let platform = Arc::new(platform);
        let dependencies = ConfigDependencies {
            clock: clock.clone(),
            table: platform.clone(),
            objects: platform.clone(),
            list: platform.clone(),
            peers: Arc::new(RpcPeerLink::new(PEER_TIMEOUT)),
            observer: callers.clone(),
            evidence: callers.clone(),
            log: log.clone(),
        };
        let table = dependencies.table.clone();
        let holder = format!("{}@{}", settings.name, unix_ms(clock.wall_time()));
        let config = ConfigSettings {
            name: settings.name.clone(),
            ..ConfigSettings::default()
        };
        let config = Arc::new(ConfigService::new(config, dependencies));
        let order_settings = OrderSettings {
            holder: holder.into(),
            ..OrderSettings::default()
        };
        let engines = Arc::new(HttpEngineLink::new(ENGINE_TIMEOUT));
        let orders = LeasedOrderExecutor::new(
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

    /// Starts the server for peers and operators and the background tasks; fails if the peer
    /// address is not available.
    pub async fn start(&self) -> anyhow::Result<RunningServices> {
        let callers = self.callers.clone();
        let api = OperatorApi::new(
            self.config.clone(),
            callers.clone(),
            self.orders.clone(),
            callers,
        );
        let claims = ClaimsApi::new(self.instance.clone(), self.batched.clone()).into_rpc();
        let serving = serve_with_methods(&self.instance.settings.peer_listen, api, claims).await?;
        let tasks = tasks::start(&self.config);
        let ClaimTable { table, router } = &self.claims;
        let expiry_task = expiry::run(self.instance.clone(), table.clone(), router.clone());
        let expiry_task = async_std::task::spawn(expiry_task);
        Ok(RunningServices {
            serving,
            tasks,
            expiry_task,
        })
    }

    /// Announces to peers that the last request has finished, then stops what [`Assembly::start`]
    /// started.
    pub async fn stop(&self, running: RunningServices) {
        self.config.announce_stopped().await;
        running.tasks.cancel().await;
        running.expiry_task.cancel().await;
        let _ = running.serving.handle.stop();
    }
}
