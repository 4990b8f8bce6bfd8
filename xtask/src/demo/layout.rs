//! Layout of a demonstration: pipelines and backend servers for small versions of both users'
//! workloads.

use std::time::Duration;

use sardineshore_core::{BackendServer, Change, DomainId, Objective, Pipeline, Stage, StageKind};
use sardineshore_load::preset;
use sardineshore_load::workload::{PipelineLoad, Workload};

/// Names of the failure domains, to which processes are assigned in turn.
pub const DOMAINS: &[&str] = &["domain-a", "domain-b", "domain-c", "domain-d"];
/// Deadline of pipelines, longer than the deadlines that callers send.
const DEADLINE: Duration = Duration::from_secs(6);

/// Specification of a pool of identical backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSpec {
    /// Name of the pool and prefix of its server names.
    pub name: &'static str,
    /// Kind of server, as the fake server names it: `engine`, `pool` or `service`.
    pub kind: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Mean service time of one attempt, in milliseconds.
    pub service_ms: u64,
    /// Maximum number of concurrent attempts on one server.
    pub capacity: u32,
    /// Cost of one second of work, in arbitrary units.
    pub cost: f64,
    /// Whether its servers answer status queries for run identifiers.
    pub answers_status: bool,
}

/// Specification of one backend server to start.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSpec {
    /// Pool that the server belongs to.
    pub pool: PoolSpec,
    /// Declaration of the server in the configuration.
    pub declared: BackendServer,
}

const ENGINE: PoolSpec = PoolSpec {
    name: "",
    kind: "engine",
    servers: 4,
    service_ms: 60,
    capacity: 8,
    cost: 8.0,
    answers_status: false,
};

const SERVICE: PoolSpec = PoolSpec {
    name: "",
    kind: "service",
    servers: 2,
    service_ms: 10,
    capacity: 16,
    cost: 1.0,
    answers_status: false,
};

const POOL: PoolSpec = PoolSpec {
    name: "",
    kind: "pool",
    servers: 2,
    service_ms: 8,
    capacity: 16,
    cost: 2.0,
    answers_status: false,
};

/// Pools of backend servers for both workloads.
pub const POOLS: &[PoolSpec] = &[
    PoolSpec {
        name: "tangolin-encoders",
        ..POOL
    },
    PoolSpec {
        name: "tangolin-retrievers",
        ..POOL
    },
    PoolSpec {
        name: "tangolin-rerankers",
        ..POOL
    },
    PoolSpec {
        name: "tangolin-engines",
        ..ENGINE
    },
    PoolSpec {
        name: "tangolin-calendar",
        ..SERVICE
    },
    PoolSpec {
        name: "tangolin-bookings",
        answers_status: true,
        ..SERVICE
    },
    PoolSpec {
        name: "tangolin-profiles",
        ..SERVICE
    },
    PoolSpec {
        name: "mangos-encoders",
        ..POOL
    },
    PoolSpec {
        name: "mangos-engines",
        ..ENGINE
    },
    PoolSpec {
        name: "mangos-stock",
        ..SERVICE
    },
    PoolSpec {
        name: "mangos-orders",
        ..SERVICE
    },
    PoolSpec {
        name: "mangos-claims",
        ..SERVICE
    },
];

/// Kind and pool of one stage of a workload.
#[derive(Debug, Clone, Copy)]
struct StageAssignment {
    workload: &'static str,
    stage: &'static str,
    kind: StageKind,
    pool: &'static str,
}

const fn stage(
    workload: &'static str,
    stage: &'static str,
    kind: StageKind,
    pool: &'static str,
) -> StageAssignment {
    StageAssignment {
        workload,
        stage,
        kind,
        pool,
    }
}

const STAGES: &[StageAssignment] = &[
    stage("tangolin", "encode", StageKind::Encode, "tangolin-encoders"),
    stage(
        "tangolin",
        "retrieve",
        StageKind::Retrieve,
        "tangolin-retrievers",
    ),
    stage(
        "tangolin",
        "rerank",
        StageKind::Rerank,
        "tangolin-rerankers",
    ),
    stage(
        "tangolin",
        "generate",
        StageKind::Generate,
        "tangolin-engines",
    ),
    stage("tangolin", "check", StageKind::Service, "tangolin-calendar"),
    stage("tangolin", "book", StageKind::Service, "tangolin-bookings"),
    stage(
        "tangolin",
        "profile",
        StageKind::Service,
        "tangolin-profiles",
    ),
    stage("mangos", "encode", StageKind::Encode, "mangos-encoders"),
    stage("mangos", "draft", StageKind::Generate, "mangos-engines"),
    stage("mangos", "stock", StageKind::Service, "mangos-stock"),
    stage("mangos", "place", StageKind::Service, "mangos-orders"),
    stage("mangos", "claims", StageKind::Service, "mangos-claims"),
    stage("mangos", "summarise", StageKind::Generate, "mangos-engines"),
];

/// Backend servers to start, and the configuration to declare.
#[derive(Debug, Clone, PartialEq)]
pub struct Layout {
    /// Pools of backend servers.
    pub pools: Vec<PoolSpec>,
    /// Pipelines to create.
    pub pipelines: Vec<Pipeline>,
    /// Number of declared servers for each server process; they share its address.
    pub declared_per_server: usize,
}

impl Layout {
    /// Small version of both users' workloads.
    #[must_use]
    pub fn demo() -> Self {
        let workloads = workloads();
        let of_workload = |workload: &Workload| -> Vec<Pipeline> {
            let mixes = workload.pipelines.iter();
            mixes.map(|mix| pipeline(workload, mix)).collect()
        };
        Self {
            pools: POOLS.to_vec(),
            pipelines: workloads.iter().flat_map(of_workload).collect(),
            declared_per_server: 1,
        }
    }

    /// Number of server processes.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.pools.iter().map(|pool| pool.servers).sum()
    }

    /// Specifications of all backend servers, each at one of `addrs`.
    #[must_use]
    pub fn servers(&self, addrs: &[String]) -> Vec<ServerSpec> {
        let pools = self.pools.iter();
        let numbers = pools.flat_map(|pool| (0..pool.servers).map(move |i| (*pool, i)));
        let spec = |((pool, i), addr): ((PoolSpec, usize), &String)| server(pool, i, addr);
        numbers.zip(addrs).map(spec).collect()
    }

    /// Changes that declare the servers, the pipelines and the objective.
    #[must_use]
    pub fn changes(&self, servers: &[ServerSpec]) -> Vec<Change> {
        let declared = servers.iter().flat_map(|spec| self.declared(spec));
        let servers = declared.map(|server| Change::AddServer { server });
        let pipelines = self.pipelines.iter().cloned();
        let pipelines = pipelines.map(|pipeline| Change::CreatePipeline { pipeline });
        let objective = Change::SetObjective {
            objective: Objective::Attainment,
        };
        servers.chain(pipelines).chain([objective]).collect()
    }

    fn declared(&self, spec: &ServerSpec) -> Vec<BackendServer> {
        let more = (1..self.declared_per_server).map(|i| BackendServer {
            name: format!("{}-{i}", spec.declared.name).into(),
            ..spec.declared.clone()
        });
        [spec.declared.clone()].into_iter().chain(more).collect()
    }
}

/// Workloads of both users.
#[must_use]
pub fn workloads() -> Vec<Workload> {
    vec![preset::tangolin(), preset::mangos()]
}

/// Failure domain of the process of a kind with this number.
#[must_use]
pub fn domain(number: usize) -> DomainId {
    DOMAINS[number % DOMAINS.len()].into()
}

fn server(pool: PoolSpec, number: usize, addr: &str) -> ServerSpec {
    let declared = BackendServer {
        name: format!("{}-{number}", pool.name).into(),
        addr: addr.to_owned(),
        domain: domain(number),
        pool: pool.name.into(),
        capacity: pool.capacity,
        cost: pool.cost,
        answers_status: pool.answers_status,
        fencing: pool.kind == "engine" && number % 2 == 0,
        ..BackendServer::default()
    };
    ServerSpec { pool, declared }
}

fn pipeline(workload: &Workload, mix: &PipelineLoad) -> Pipeline {
    let stage = |shape: &sardineshore_load::workload::StageInfo| {
        let spec = STAGES
            .iter()
            .find(|spec| spec.workload == &*workload.name && spec.stage == &*shape.name)
            .expect("every stage of a preset is assigned to a pool");
        Stage {
            name: shape.name.clone(),
            kind: spec.kind,
            pool: spec.pool.into(),
            idempotent: shape.idempotent,
        }
    };
    Pipeline {
        name: mix.name.clone(),
        stages: mix.stages.iter().map(stage).collect(),
        deadline: DEADLINE,
    }
}
