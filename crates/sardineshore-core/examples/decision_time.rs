//! Measures the processor time of one server selection in pools of different sizes.
//!
//! `cargo run --release -p sardineshore-core --example decision_time`

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sardineshore_core::{
    BackendServer, Deployment, PoolId, Router, RoutingConfig, SelectionRequest, ServerLoad,
};

const ROUNDS: usize = 7;
const SELECTIONS: u32 = 100_000;

fn main() {
    for servers in [20, 100, 600] {
        let mut router = router(servers);
        for (name, prefixes) in [("without prefix", 0), ("with prefix", 1_000)] {
            let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round(&mut router, prefixes)).collect();
            rounds.sort_by(f64::total_cmp);
            let (low, mid, high) = (rounds[0], rounds[ROUNDS / 2], rounds[ROUNDS - 1]);
            println!("{servers} servers, {name}: {mid:.3} µs a choice ({low:.3} to {high:.3})");
        }
    }
}

fn router(servers: usize) -> Router {
    let mut deployment = Deployment::default();
    for at in 0..servers {
        let server = BackendServer {
            name: format!("engine-{at:03}").into(),
            addr: "127.0.0.1:9000".into(),
            domain: (at % 11).to_string().into(),
            pool: "engines".into(),
            ..BackendServer::default()
        };
        deployment.servers.insert(server.name.clone(), server);
    }
    let mut router = Router::new(RoutingConfig::default());
    router.update_servers(&deployment, &BTreeSet::new());
    for name in deployment.servers.keys() {
        let load = ServerLoad {
            running: 4,
            capacity: 8,
            ..ServerLoad::default()
        };
        router.record_load(name, &load, Instant::now());
    }
    router
}

/// Mean time of one selection in microseconds.
fn round(router: &mut Router, prefixes: u64) -> f64 {
    let pool: PoolId = "engines".into();
    let now = Instant::now();
    for at in 0..SELECTIONS {
        let request = SelectionRequest {
            pool: &pool,
            request: "r",
            customer: "c",
            prefix: (u64::from(at) % prefixes.max(1)) * prefixes.min(1) * 7_919,
            idempotent: true,
            tried_servers: &[],
            origin: None,
            deadline: now + Duration::from_secs(6),
        };
        black_box(router.select(black_box(&request), now)).expect("all servers are idle");
    }
    now.elapsed().as_secs_f64() * 1e6 / f64::from(SELECTIONS)
}
