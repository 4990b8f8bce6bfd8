//! The configuration that operators declare: pipelines, backend servers, customers, objective.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, DomainId, PipelineId, PoolId, ServerId, Version};

/// Everything that operators have declared, at one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// Version of the last change applied; 0 before the first.
    pub version: Version,
    /// What routing weighs first.
    pub objective: Objective,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// Customers with settings of their own, by name; others take the default.
    pub customers: BTreeMap<CustomerId, Customer>,
}

/// What routing weighs first where attainment and cost disagree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Answer within the deadline, at a higher cost where needed.
    #[default]
    Attainment,
    /// Keep the cost of each stage low.
    Cost,
}

/// A sequence of stages under one deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pipeline {
    /// Name, unique in the deployment.
    pub name: PipelineId,
    /// Stages in the order in which they run.
    pub stages: Vec<Stage>,
    /// Longest time from admission to the whole answer.
    pub deadline: Duration,
}

impl Default for Pipeline {
    fn default() -> Self {
        Self {
            name: "".into(),
            stages: Vec::new(),
            deadline: Duration::from_secs(6),
        }
    }
}

impl Pipeline {
    /// Whether every stage may run more than once for the same request.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.idempotent)
    }
}

/// One step of a pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stage {
    /// Name, unique in its pipeline.
    pub name: std::sync::Arc<str>,
    /// What the stage does.
    pub kind: StageKind,
    /// Pool of backend servers that serve it.
    pub pool: PoolId,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
}

impl Default for Stage {
    fn default() -> Self {
        Self {
            name: "".into(),
            kind: StageKind::Service,
            pool: "".into(),
            idempotent: true,
        }
    }
}

/// Kinds of stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// Turns input into vectors.
    Encode,
    /// Finds candidates.
    Retrieve,
    /// Orders candidates.
    Rerank,
    /// Generates tokens on a model engine.
    Generate,
    /// Any other call to a plain service.
    Service,
}

/// A backend server and what operators have said of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique in the deployment.
    pub name: ServerId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: String,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Pool it serves.
    pub pool: PoolId,
    /// Whether it may receive new work.
    pub state: ServerState,
    /// Requests it runs at the same time without queueing.
    pub capacity: u32,
    /// Cost of one second of work, in the deployment's own unit.
    pub cost: f64,
    /// Whether it answers what became of a request (`GET /v1/requests/ID`).
    pub answers_status: bool,
    /// Whether it refuses orders that carry an old fencing token.
    pub fencing: bool,
}

impl Default for BackendServer {
    fn default() -> Self {
        Self {
            name: "".into(),
            addr: String::new(),
            domain: "".into(),
            pool: "".into(),
            state: ServerState::Active,
            capacity: 8,
            cost: 1.0,
            answers_status: false,
            fencing: false,
        }
    }
}

/// Whether a backend server may receive new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Receives new work.
    #[default]
    Active,
    /// Finishes its work in flight and receives no new work.
    Draining,
}

/// Settings of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Share of capacity relative to other customers under contention.
    pub weight: f64,
}

impl Default for Customer {
    fn default() -> Self {
        Self {
            name: "".into(),
            weight: 1.0,
        }
    }
}
