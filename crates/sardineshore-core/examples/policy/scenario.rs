//! Scenarios, each with a load and a fault, and the variants of the policies that are compared in
//! them.

use std::time::Duration;

use sardineshore_core::Policy;

/// Simulated duration of a run.
pub const RUN_LENGTH: Duration = Duration::from_secs(60);
/// Deadline of a request.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Start and end of a scenario's fault or burst, from the start of the run.
pub const FAULT: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(30));
/// Number of customers, each with the same weight.
pub const CUSTOMERS: usize = 5;
/// Pools in the order of the stages.
pub const POOLS: [PoolPlan; 3] = [
    PoolPlan {
        name: "encode",
        servers: 5,
        capacity: 8,
        service_ms: 30.0,
    },
    PoolPlan {
        name: "rerank",
        servers: 5,
        capacity: 8,
        service_ms: 50.0,
    },
    PoolPlan {
        name: "generate",
        servers: 10,
        capacity: 8,
        service_ms: 400.0,
    },
];
/// Requests per second that the slowest pool can serve.
pub const CAPACITY: f64 = 200.0;

/// A pool of identical servers.
pub struct PoolPlan {
    pub name: &'static str,
    pub servers: usize,
    pub capacity: u32,
    pub service_ms: f64,
}

/// A load and a fault.
pub struct Scenario {
    pub name: &'static str,
    /// Load as a share of [`CAPACITY`].
    pub load: f64,
    /// Factor on the load during the fault.
    pub burst: f64,
    /// Factor on the load of the first customer.
    pub greedy: f64,
    /// Factor on the service time of the first server of the pool `generate`.
    pub straggler: f64,
    /// Index of the pool that fails during the fault, and the share of its attempts that fail.
    pub failing: Option<(usize, f64)>,
    /// Number of distinct prefixes; 0 for none.
    pub prefixes: u64,
}

const STEADY: Scenario = Scenario {
    name: "steady-0.5",
    load: 0.5,
    burst: 1.0,
    greedy: 1.0,
    straggler: 1.0,
    failing: None,
    prefixes: 0,
};

pub const SCENARIOS: &[Scenario] = &[
    STEADY,
    Scenario {
        name: "steady-0.8",
        load: 0.8,
        ..STEADY
    },
    Scenario {
        name: "steady-1.0",
        load: 1.0,
        ..STEADY
    },
    Scenario {
        name: "steady-1.5",
        load: 1.5,
        ..STEADY
    },
    Scenario {
        name: "steady-2.0",
        load: 2.0,
        ..STEADY
    },
    Scenario {
        name: "straggler",
        load: 0.6,
        straggler: 10.0,
        ..STEADY
    },
    Scenario {
        name: "burst",
        load: 0.5,
        burst: 5.0,
        ..STEADY
    },
    Scenario {
        name: "within-share",
        load: 0.6,
        ..STEADY
    },
    Scenario {
        name: "greedy",
        load: 0.6,
        greedy: 10.0,
        ..STEADY
    },
    Scenario {
        name: "failing-stage",
        load: 0.6,
        failing: Some((1, 0.5)),
        ..STEADY
    },
    Scenario {
        name: "retry-storm",
        load: 0.8,
        failing: Some((2, 0.9)),
        ..STEADY
    },
    Scenario {
        name: "prefixes",
        load: 0.6,
        prefixes: 200,
        ..STEADY
    },
];

/// A combination of policies to compare.
pub struct Variant {
    pub name: &'static str,
    pub policy: Policy,
    pub retries: RetryPlan,
    pub admission: bool,
    pub instances: usize,
}

/// How failed and slow attempts are retried.
#[derive(Clone, Copy, PartialEq)]
pub enum RetryPlan {
    Budget,
    None,
    Unlimited,
}

const FULL: Variant = Variant {
    name: "sardineshore",
    policy: Policy::Predicted,
    retries: RetryPlan::Budget,
    admission: true,
    instances: 9,
};

pub const VARIANTS: &[Variant] = &[
    FULL,
    Variant {
        name: "round-robin",
        policy: Policy::RoundRobin,
        ..FULL
    },
    Variant {
        name: "random",
        policy: Policy::Random,
        ..FULL
    },
    Variant {
        name: "least-in-flight",
        policy: Policy::LeastInFlight,
        ..FULL
    },
    Variant {
        name: "no-retry",
        retries: RetryPlan::None,
        ..FULL
    },
    Variant {
        name: "unlimited-retry",
        retries: RetryPlan::Unlimited,
        ..FULL
    },
    Variant {
        name: "no-admission",
        admission: false,
        ..FULL
    },
    Variant {
        name: "one-instance",
        instances: 1,
        ..FULL
    },
];
