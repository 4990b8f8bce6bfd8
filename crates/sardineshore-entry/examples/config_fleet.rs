//! Measures how fast versions become active, and the control traffic and processor time of the
//! instances.
//!
//! `cargo run --release -p sardineshore-entry --example config_fleet -- INSTANCES [COMMANDS]`
//! runs all instances in one process, with their tasks and the system clock, over an in-process
//! table and network. Bytes between peers are those of the JSON bodies; `config_bytes` measures
//! the overhead of JSON-RPC and HTTP.

#[path = "../tests/configuration/fleet.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod fleet;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep};
use fleet::{Node, Simulation, listed, run, start};
use sardineshore_core::{Change, Clock, SystemClock};
use sardineshore_entry::config::ConfigSettings;
use sardineshore_wire::operator::{Submission, SubmitReply};
use sardineshore_wire::platform::ProcessRole;

const REST: Duration = Duration::from_secs(20);
const OUTAGE: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(5);
const LEAVING_SERVERS: usize = 10;
const BACKEND_SERVERS: usize = 600;
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let mut args = std::env::args().skip(1);
    let instances = args
        .next()
        .map_or(9, |text| text.parse().expect("a number"));
    let commands = args
        .next()
        .map_or(20, |text| text.parse().expect("a number"));
    block_on(measure(instances, commands));
}

async fn measure(instances: usize, commands: usize) {
    let simulation = Arc::<Simulation>::default();
    let nodes = started(&simulation, instances).await;
    at_rest(&simulation, &nodes).await;
    in_force(&nodes, commands).await;
    leaving(&simulation, &nodes).await;
    outage(&simulation, &nodes).await;
}

async fn started(simulation: &Arc<Simulation>, instances: usize) -> Vec<Node> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    for n in 0..BACKEND_SERVERS {
        let line = listed(&format!("engine-{n:03}"), ProcessRole::Backend);
        simulation.store().listed.push(line);
    }
    let settings = |n| ConfigSettings {
        name: format!("entry-{n:03}").into(),
        ..ConfigSettings::default()
    };
    let nodes: Vec<_> = (0..instances)
        .map(|n| start(simulation, &clock, settings(n)))
        .collect();
    for node in &nodes {
        // The tasks run until the process ends.
        let _ = run(node);
    }
    while !nodes.iter().all(|node| node.service.is_ready()) {
        sleep(TICK).await;
    }
    sleep(REST).await;
    nodes
}

/// Measures messages, bytes, calls and processor time without changes.
async fn at_rest(simulation: &Arc<Simulation>, nodes: &[Node]) {
    simulation.store().calls.clear();
    let bytes = simulation.peer_bytes.load(Ordering::Relaxed);
    let exchanges = simulation.exchanges.load(Ordering::Relaxed);
    let cpu = cpu_seconds();
    sleep(REST).await;
    let per = nodes.len() as f64 * REST.as_secs_f64();
    let exchanges = simulation.exchanges.load(Ordering::Relaxed) - exchanges;
    let bytes = simulation.peer_bytes.load(Ordering::Relaxed) - bytes;
    let cpu = (cpu_seconds() - cpu) / per;
    let calls = simulation.store().calls.clone();
    let call = |name| calls.get(name).copied().unwrap_or(0) as f64 / per;
    println!("instances {}", nodes.len());
    println!("exchanges/s per instance {:.2}", exchanges as f64 / per);
    println!(
        "bytes per exchange, both bodies {:.0}",
        bytes as f64 / exchanges as f64
    );
    println!(
        "head reads/s per instance {:.2}, of all {:.1}",
        call("read"),
        call("read") * nodes.len() as f64
    );
    println!("list reads/s per instance {:.3}", call("list"));
    println!(
        "list bytes {}",
        serde_json::to_vec(&simulation.store().listed)
            .unwrap()
            .len()
    );
    println!("processor time per instance {:.3} % of a core", cpu * 100.0);
}

/// Measures the time from submission until a version is accepted, is active on all instances, and
/// is reported as active.
async fn in_force(nodes: &[Node], commands: usize) {
    let (mut accepted, mut adopted, mut known) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..commands {
        let writer = &nodes[number % nodes.len()].service;
        let change = Change::SetWeight {
            name: "customer".into(),
            weight: 1.0 + number as f64,
        };
        let submission = Submission {
            command: format!("c-{number}").into(),
            operator: "ana".into(),
            changes: vec![change],
        };
        let started = Instant::now();
        let reply = writer.submit(submission).await;
        let SubmitReply::Accepted { version } = reply else {
            println!("not accepted: {reply:?}");
            continue;
        };
        accepted.push(started.elapsed());
        let lacks = |node: &Node| node.service.state().log.version() < version;
        while nodes.iter().any(lacks) {
            sleep(TICK).await;
        }
        adopted.push(started.elapsed());
        while !writer.progress(version).in_force {
            sleep(TICK).await;
        }
        known.push(started.elapsed());
    }
    print("accepted", accepted);
    print("adopted by all", adopted);
    print("known to be in force", known);
}

/// Measures the time from a change of the instance list until all instances stop using a server.
async fn leaving(simulation: &Arc<Simulation>, nodes: &[Node]) {
    let mut times = Vec::new();
    for number in 0..LEAVING_SERVERS {
        simulation.store().listed[number].leaving = true;
        let started = Instant::now();
        let lacks = |node: &Node| node.recorder.leaving().len() <= number;
        while nodes.iter().any(lacks) {
            sleep(TICK).await;
        }
        times.push(started.elapsed());
    }
    print("leaving server known to all", times);
}

/// Measures how many instances may still dispatch while the store is down.
async fn outage(simulation: &Arc<Simulation>, nodes: &[Node]) {
    simulation.store().down = true;
    let started = Instant::now();
    let exchanges = simulation.exchanges.load(Ordering::Relaxed);
    let mut fewest = nodes.len();
    while started.elapsed() < OUTAGE {
        let ready = nodes.iter().filter(|node| node.service.is_ready()).count();
        fewest = fewest.min(ready);
        sleep(10 * TICK).await;
    }
    println!("store down for {OUTAGE:?}: fewest instances that may dispatch {fewest}");
    let exchanges = simulation.exchanges.load(Ordering::Relaxed) - exchanges;
    let rate = exchanges as f64 / OUTAGE.as_secs_f64() / nodes.len() as f64;
    println!("store down: exchanges/s per instance {rate:.2}");
}

fn print(what: &str, mut times: Vec<Duration>) {
    times.sort();
    if let (Some(least), Some(most)) = (times.first(), times.last()) {
        let median = times[times.len() / 2];
        println!(
            "{what}: least {least:.1?}, median {median:.1?}, most {most:.1?} of {}",
            times.len()
        );
    }
}

/// Processor time of this process, user and system.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("procfs is mounted");
    let (_, rest) = stat.rsplit_once(')').expect("the name ends with a bracket");
    let ticks = rest.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / CLOCK_TICKS_PER_SECOND
}
