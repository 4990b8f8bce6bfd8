//! The configuration that operators declare: pipelines, backend servers, customers and the
//! objective. [`Change`](crate::Change)s modify it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, DomainId, PipelineId, PoolId, ServerId, Version};

/// The whole configuration at one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// Number of the last accepted command that was applied; 0 before the first.
    pub version: Version,
    /// What routing optimises first.
    pub objective: Objective,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// Customers with their own settings, by name; all others have the defaults of [`Customer`].
    pub customers: BTreeMap<CustomerId, Customer>,
}

/// What routing optimises first when meeting deadlines and saving cost conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Answers within the deadline, at a higher cost if necessary.
    #[default]
    Attainment,
    /// Low cost of each stage.
    Cost,
}

/// A sequence of stages that a request runs through under one deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pipeline {
    /// Name, unique among pipelines.
    pub name: PipelineId,
    /// Stages in the order in which they run.
    pub stages: Vec<Stage>,
    /// Longest time from admission of a request to its whole answer.
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

/// One stage of a pipeline: a call to a backend server of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: std::sync::Arc<str>,
    /// Kind of work that the stage does.
    pub kind: StageKind,
    /// Pool of backend servers that run the stage.
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

/// Kind of work that a stage does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// Turns input into vectors.
    Encode,
    /// Finds candidates for an answer.
    Retrieve,
    /// Sorts candidates by relevance.
    Rerank,
    /// Generates tokens on a model engine.
    Generate,
    /// Any other call, to an ordinary service.
    Service,
}

/// Declaration of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: ServerId,
    /// `IP:PORT` of the server's HTTP listener.
    pub addr: String,
    /// Failure domain that the server runs in.
    pub domain: DomainId,
    /// Pool that the server belongs to.
    pub pool: PoolId,
    /// Whether the server may receive new work.
    pub state: ServerState,
    /// Number of requests that the server runs at the same time without queueing; above zero.
    pub capacity: u32,
    /// Cost of one second of work, in a unit that the operators choose; zero or more.
    pub cost: f64,
    /// Whether the server answers status queries about a run (`GET /v1/requests/ID`).
    pub answers_status: bool,
    /// Whether the server refuses orders that carry an old fencing token.
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
    /// The server receives new work.
    #[default]
    Active,
    /// The server finishes its work in flight and receives no new work.
    Draining,
}

/// Settings of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Share of capacity relative to other customers when there is not enough for all; above zero.
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
