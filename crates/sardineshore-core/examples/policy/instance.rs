//! The state machines of one simulated entry instance.

use std::collections::BTreeSet;

use sardineshore_core::{
    AdmissionConfig, AdmissionController, BackendServer, DeadlineSplitter, Deployment, HedgePolicy,
    Objective, RetryConfig, RetryController, Router, RoutingConfig, StageLatencies,
};

use crate::backend::Backend;
use crate::scenario::{POOLS, RetryPlan, Variant};

/// A simulated entry instance.
pub struct Instance {
    pub domain: usize,
    pub router: Router,
    pub admission: AdmissionController,
    pub retries: RetryController,
    pub hedges: HedgePolicy,
    pub deadlines: DeadlineSplitter,
    pub latencies: StageLatencies,
}

impl Instance {
    pub fn new(variant: &Variant, objective: Objective, servers: &[Backend], seed: u64) -> Self {
        let domain = usize::try_from(seed % 4).unwrap_or(0);
        let mut router = Router::new(RoutingConfig {
            local_domain: domain.to_string().into(),
            policy: variant.policy,
            seed,
            ..RoutingConfig::default()
        });
        router.update_servers(&deployment(objective, servers), &BTreeSet::new());
        Self {
            domain,
            router,
            admission: AdmissionController::new(AdmissionConfig::default()),
            retries: RetryController::new(retries(variant.retries, seed), objective),
            hedges: HedgePolicy::default(),
            deadlines: DeadlineSplitter::default(),
            latencies: StageLatencies::default(),
        }
    }
}

fn retries(retry_plan: RetryPlan, seed: u64) -> RetryConfig {
    let cfg = RetryConfig {
        seed,
        ..RetryConfig::default()
    };
    match retry_plan {
        RetryPlan::Budget => cfg,
        RetryPlan::None => RetryConfig {
            max_attempts: 1,
            max_attempts_after_refusal: 1,
            hedge_reserve: f64::MAX,
            ..cfg
        },
        RetryPlan::Unlimited => RetryConfig {
            max_attempts: 20,
            max_attempts_after_refusal: 20,
            max_saved_attempts: 1e12,
            ..cfg
        },
    }
}

fn deployment(objective: Objective, servers: &[Backend]) -> Deployment {
    let mut deployment = Deployment {
        objective,
        ..Deployment::default()
    };
    for server in servers {
        let declared = BackendServer {
            name: server.name.clone(),
            addr: "127.0.0.1:1".into(),
            domain: server.domain.to_string().into(),
            pool: POOLS[server.pool].name.into(),
            capacity: server.capacity,
            cost: server.cost,
            ..BackendServer::default()
        };
        deployment.servers.insert(server.name.clone(), declared);
    }
    deployment
}
