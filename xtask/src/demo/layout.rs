//! What runs in a demonstration: pipelines and backend servers of both users' workloads, in small.

use std::time::Duration;

use sardineshore_core::{BackendServer, Change, DomainId, Objective, Pipeline, Stage, StageKind};
use sardineshore_load::preset;
use sardineshore_load::workload::{PipelineMix, Workload};

/// Failure domains.
pub const DOMAINS: &[&str] = &["domain-a", "domain-b", "domain-c", "domain-d"];
/// Deadline of pipelines beyond what callers ask for.
const DEADLINE: Duration = Duration::from_secs(6);

/// A pool of backend servers that are alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolPlan {
    /// Name.
    pub name: &'static str,
    /// `engine`, `pool` or `service`, as the stand-in calls it.
    pub kind: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Mean time of one attempt in milliseconds.
    pub service_ms: u64,
    /// Attempts that run at the same time on one server.
    pub capacity: u32,
    /// Cost of one second of work.
    pub cost: f64,
    /// Whether its servers answer what became of a run identifier.
    pub answers_status: bool,
}

/// One backend server to start.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerPlan {
    /// Its pool.
    pub pool: PoolPlan,
    /// Its declaration.
    pub declared: BackendServer,
}

const ENGINE: PoolPlan = PoolPlan {
    name: "",
    kind: "engine",
    servers: 4,
    service_ms: 60,
    capacity: 8,
    cost: 8.0,
    answers_status: false,
};

const SERVICE: PoolPlan = PoolPlan {
    name: "",
    kind: "service",
    servers: 2,
    service_ms: 10,
    capacity: 16,
    cost: 1.0,
    answers_status: false,
};

const POOL: PoolPlan = PoolPlan {
    name: "",
    kind: "pool",
    servers: 2,
    service_ms: 8,
    capacity: 16,
    cost: 2.0,
    answers_status: false,
};

/// Pools of both workloads.
pub const POOLS: &[PoolPlan] = &[
    PoolPlan {
        name: "tangolin-encoders",
        ..POOL
    },
    PoolPlan {
        name: "tangolin-retrievers",
        ..POOL
    },
    PoolPlan {
        name: "tangolin-rerankers",
        ..POOL
    },
    PoolPlan {
        name: "tangolin-engines",
        ..ENGINE
    },
    PoolPlan {
        name: "tangolin-calendar",
        ..SERVICE
    },
    PoolPlan {
        name: "tangolin-bookings",
        answers_status: true,
        ..SERVICE
    },
    PoolPlan {
        name: "tangolin-profiles",
        ..SERVICE
    },
    PoolPlan {
        name: "mangos-encoders",
        ..POOL
    },
    PoolPlan {
        name: "mangos-engines",
        ..ENGINE
    },
    PoolPlan {
        name: "mangos-stock",
        ..SERVICE
    },
    PoolPlan {
        name: "mangos-orders",
        ..SERVICE
    },
    PoolPlan {
        name: "mangos-claims",
        ..SERVICE
    },
];

/// Which kind of stage runs where.
#[derive(Debug, Clone, Copy)]
struct StagePlan {
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
) -> StagePlan {
    StagePlan {
        workload,
        stage,
        kind,
        pool,
    }
}

const STAGES: &[StagePlan] = &[
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

/// What runs behind the entry instances, and what is declared.
#[derive(Debug, Clone, PartialEq)]
pub struct Layout {
    /// Pools of backend servers.
    pub pools: Vec<PoolPlan>,
    /// Pipelines.
    pub pipelines: Vec<Pipeline>,
    /// Declared servers for each one that runs; they share its address.
    pub declared_per_server: usize,
}

impl Layout {
    /// Both users' workloads in small.
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

    /// Number of backend servers that run.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.pools.iter().map(|pool| pool.servers).sum()
    }

    /// Backend servers, each at one of `addrs`.
    #[must_use]
    pub fn servers(&self, addrs: &[String]) -> Vec<ServerPlan> {
        let pools = self.pools.iter();
        let numbers = pools.flat_map(|pool| (0..pool.servers).map(move |i| (*pool, i)));
        let plan = |((pool, i), addr): ((PoolPlan, usize), &String)| server(pool, i, addr);
        numbers.zip(addrs).map(plan).collect()
    }

    /// The configuration that operators declare.
    #[must_use]
    pub fn changes(&self, servers: &[ServerPlan]) -> Vec<Change> {
        let declared = servers.iter().flat_map(|plan| self.declared(plan));
        let servers = declared.map(|server| Change::AddServer { server });
        let pipelines = self.pipelines.iter().cloned();
        let pipelines = pipelines.map(|pipeline| Change::CreatePipeline { pipeline });
        let objective = Change::SetObjective {
            objective: Objective::Attainment,
        };
        servers.chain(pipelines).chain([objective]).collect()
    }

    fn declared(&self, plan: &ServerPlan) -> Vec<BackendServer> {
        let more = (1..self.declared_per_server).map(|i| BackendServer {
            name: format!("{}-{i}", plan.declared.name).into(),
            ..plan.declared.clone()
        });
        [plan.declared.clone()].into_iter().chain(more).collect()
    }
}

/// Both workloads.
#[must_use]
pub fn workloads() -> Vec<Workload> {
    vec![preset::tangolin(), preset::mangos()]
}

/// Failure domain of the number-th process of a kind.
#[must_use]
pub fn domain(number: usize) -> DomainId {
    DOMAINS[number % DOMAINS.len()].into()
}

fn server(pool: PoolPlan, number: usize, addr: &str) -> ServerPlan {
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
    ServerPlan { pool, declared }
}

fn pipeline(workload: &Workload, mix: &PipelineMix) -> Pipeline {
    let stage = |shape: &sardineshore_load::workload::StageShape| {
        let plan = STAGES
            .iter()
            .find(|plan| plan.workload == &*workload.name && plan.stage == &*shape.name)
            .expect("every stage of a preset has a plan");
        Stage {
            name: shape.name.clone(),
            kind: plan.kind,
            pool: plan.pool.into(),
            idempotent: shape.idempotent,
        }
    };
    Pipeline {
        name: mix.name.clone(),
        stages: mix.stages.iter().map(stage).collect(),
        deadline: DEADLINE,
    }
}
