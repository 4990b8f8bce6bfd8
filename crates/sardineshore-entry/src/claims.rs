//! Claims of non-idempotent requests: I/O around [`sardineshore_core::claim::ClaimMachine`].
//!
//! [`Claims::begin`] starts the claim of a request beside its first stages. The runner waits for
//! [`Claim::held`] before the first non-idempotent call, asks [`Claim::dispatch`] at the last
//! moment before each such call, and reports the result. A driver task carries out what the
//! machine asks for, also after the caller was told, until the row holds the outcome.

pub mod batcher;
pub mod claim;
pub mod drive;
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

/// Most backend servers that one claim names.
const MAX_NAMED_SERVERS: usize = 8;

/// Questions to the instances that hold claims.
#[async_trait]
pub trait ClaimPeers: fmt::Debug + Send + Sync {
    /// Asks an instance what became of an attempt.
    async fn ask(&self, instance: &InstanceId, attempt: &AttemptId) -> PeerReply;
}

/// What claims reach outside of the instance.
#[derive(Debug, Clone)]
pub struct ClaimPorts {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// Other instances.
    pub peers: Arc<dyn ClaimPeers>,
}

/// Claims in progress on one instance.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    ports: OnceLock<ClaimPorts>,
    open: Mutex<HashMap<AttemptId, Arc<Claim>>>,
}

impl Claims {
    /// Creates a table of claims that remembers keys for `window`. Until [`Self::connect`] is
    /// called, every claim fails as if the store were down.
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
            ports: OnceLock::new(),
            open: Mutex::default(),
        }
    }

    /// Sets what claims reach; only the first call has an effect.
    pub fn connect(&self, ports: ClaimPorts) {
        let _ = self.ports.set(ports);
    }

    /// How long keys are remembered.
    #[must_use]
    pub fn retention(&self) -> &Retention {
        &self.cfg.retention
    }

    /// What became of an attempt of this instance.
    #[must_use]
    pub fn peer_reply(&self, attempt: &str) -> PeerReply {
        let claim = self.open().get(attempt).cloned();
        claim.map_or(PeerReply::NotKnown, |claim| claim.peer_reply())
    }

    /// Begins the claim of a request; returns at once.
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
            run: run(instance, job),
            ..ClaimRequest::new(job.customer.clone(), key, job.deadline)
        };
        let machine = ClaimMachine::new(req, claims.cfg, now);
        let (tx, rx) = unbounded();
        let claim = Arc::new(Claim::new(instance, job, machine, tx));
        claims.open().insert(attempt, claim.clone());
        claim.start();
        task::spawn(drive::drive(instance.clone(), claim.clone(), rx));
        claim
    }

    fn forget(&self, attempt: &AttemptId) {
        self.open().remove(attempt);
    }

    fn open(&self) -> MutexGuard<'_, HashMap<AttemptId, Arc<Claim>>> {
        self.open.lock().expect("claims lock poisoned")
    }
}

/// Names the first non-idempotent call of a request and the servers it may go to.
fn run(instance: &Instance, job: &Job) -> ClaimedCall {
    let stages = &job.pipeline.stages;
    let Some(at) = stages.iter().position(|stage| !stage.idempotent) else {
        return ClaimedCall::default();
    };
    let deployment = instance.tables.deployment();
    ClaimedCall {
        stage: u32::try_from(at).unwrap_or(u32::MAX),
        last: at + 1 == stages.len(),
        servers: servers(instance, &deployment, &stages[at]),
    }
}

fn servers(instance: &Instance, deployment: &Deployment, stage: &Stage) -> Vec<ClaimServer> {
    let all = deployment.servers.values();
    let router = instance.tables.router();
    let usable =
        all.filter(|server| server.pool == stage.pool && router.accepts_work(&server.name));
    let named = usable.take(MAX_NAMED_SERVERS);
    named
        .map(|server| ClaimServer {
            name: server.name.clone(),
            incarnation: instance.incarnations.last_known(&server.name),
            answers_status: server.answers_status,
        })
        .collect()
}
