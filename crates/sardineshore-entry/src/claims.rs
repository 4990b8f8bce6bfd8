//! Claims of non-idempotent requests: the I/O around [`sardineshore_core::claim::ClaimMachine`].
//!
//! [`Claims::begin`] starts the claim of a request while its first stages run. The runner waits for
//! [`Claim::wait_until_held`] before the first non-idempotent call, asks
//! [`Claim::authorize_dispatch`] immediately before each such call, and reports the result. A
//! [`driver`] task performs the I/O that the machine requests. It continues after the reply to the
//! caller until the row contains the outcome.

pub mod batcher;
pub mod claim;
pub mod driver;
pub mod expiry;
pub mod incarnations;
pub mod peers;
pub mod relay;

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use async_std::channel::unbounded;
use async_std::task;
use async_trait::async_trait;
pub use claim::Claim;
pub use incarnations::Incarnations;
use sardineshore_core::claim::{
    ClaimConfig, ClaimMachine, ClaimRequest, ClaimServer, ClaimedCall, IdempotencyKey, PeerReply,
    Retention,
};
use sardineshore_core::{AttemptId, Deployment, InstanceId, Stage};
use sardineshore_wire::platform::Table;

use crate::instance::Instance;
use crate::job::Job;

/// Maximum number of backend servers listed in one claim.
const MAX_CLAIM_SERVERS: usize = 8;

/// Queries to the instances that hold claims.
#[async_trait]
pub trait ClaimPeers: fmt::Debug + Send + Sync {
    /// Asks an instance for the state of one of its attempts.
    async fn ask(&self, instance: &InstanceId, attempt: &AttemptId) -> PeerReply;
}

/// Services outside the instance that claims use.
#[derive(Debug, Clone)]
pub struct ClaimDependencies {
    /// The platform's table, which stores the claim rows.
    pub table: Arc<dyn Table>,
    /// The other instances, which hold claims of their own.
    pub peers: Arc<dyn ClaimPeers>,
}

/// The active claims of one instance.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    dependencies: OnceLock<ClaimDependencies>,
    active: Mutex<HashMap<AttemptId, Arc<Claim>>>,
}

impl Claims {
    /// Creates an empty set of claims that remembers idempotency keys for `window`. Until
    /// [`Self::set_dependencies`] is called, every claim fails as if the store were unavailable.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        let retention = Retention {
            window,
            ..Retention::default()
        };
        Self {
            cfg: ClaimConfig {
                retention,
                ..ClaimConfig::default()
            },
            dependencies: OnceLock::new(),
            active: Mutex::default(),
        }
    }

    /// Sets the external services; only the first call has an effect.
    pub fn set_dependencies(&self, dependencies: ClaimDependencies) {
        let _ = self.dependencies.set(dependencies);
    }

    /// How long idempotency keys are remembered.
    #[must_use]
    pub fn retention(&self) -> &Retention {
        &self.cfg.retention
    }

    /// The state of an attempt of this instance, as reported to a peer.
    #[must_use]
    pub fn peer_reply(&self, attempt: &str) -> PeerReply {
        let claim = self.active().get(attempt).cloned();
        claim.map_or(PeerReply::NotKnown, |claim| claim.peer_reply())
    }

    /// Starts the claim of a request in a background task and returns immediately.
    #[must_use]
    pub fn begin(instance: &Arc<Instance>, job: &Job, key: IdempotencyKey) -> Arc<Claim> {
        let claims = &instance.claims;
        let now = instance.clock.now();
        let attempt = instance.new_attempt();
        let req = ClaimRequest {
            fingerprint: job.fingerprint.clone(),
            request: job.request.clone(),
            instance: instance.settings.name.clone(),
            attempt: attempt.clone(),
            run: first_claimed_call(instance, job),
            ..ClaimRequest::new(job.customer.clone(), key, job.deadline)
        };
        let machine = ClaimMachine::new(req, claims.cfg, now);
        let (tx, rx) = unbounded();
        let claim = Arc::new(Claim::new(instance, job, machine, tx));
        claims.active().insert(attempt, claim.clone());
        claim.start();
        task::spawn(driver::run(instance.clone(), claim.clone(), rx));
        claim
    }

    fn remove(&self, attempt: &AttemptId) {
        self.active().remove(attempt);
    }

    fn active(&self) -> MutexGuard<'_, HashMap<AttemptId, Arc<Claim>>> {
        self.active.lock().expect("claims lock poisoned")
    }
}

/// The first non-idempotent call of a request and the backend servers that may receive it.
fn first_claimed_call(instance: &Instance, job: &Job) -> ClaimedCall {
    let stages = &job.pipeline.stages;
    let Some(index) = stages.iter().position(|stage| !stage.idempotent) else {
        return ClaimedCall::default();
    };
    let deployment = instance.tables.deployment();
    ClaimedCall {
        stage: u32::try_from(index).unwrap_or(u32::MAX),
        last: index + 1 == stages.len(),
        servers: claim_servers(instance, &deployment, &stages[index]),
    }
}

fn claim_servers(instance: &Instance, deployment: &Deployment, stage: &Stage) -> Vec<ClaimServer> {
    let all = deployment.servers.values();
    let router = instance.tables.router();
    let usable =
        all.filter(|server| server.pool == stage.pool && router.accepts_work(&server.name));
    let limited = usable.take(MAX_CLAIM_SERVERS);
    limited
        .map(|server| ClaimServer {
            name: server.name.clone(),
            incarnation: instance.incarnations.last_known(&server.name),
            answers_status: server.answers_status,
        })
        .collect()
}
