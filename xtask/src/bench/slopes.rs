//! What entry instances cost at rest, over their number and over the number of configured servers.
//!
//! Bytes are payload sent and received between instances and towards the platform, counted by
//! forwarders that stand in for both; polls of backend servers' load are not among them. The configured servers of one
//! pool share a few processes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_std::task;
use sardineshore_fakes::platform::Stats;
use serde::Serialize;

use super::{echo, fleet_settings, save, usage};
use crate::demo::control;
use crate::demo::fleet::{Fleet, FleetSettings};

const SETTLE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(15);
/// Backend servers that run, whatever the number that is configured.
const RUNNING_SERVERS: usize = 4;
const INSTANCES_FOR_SERVERS: usize = 3;
const SERVERS_FOR_INSTANCES: usize = 20;

#[derive(Debug, Clone, Serialize)]
struct Point {
    instances: usize,
    configured_servers: usize,
    cpu_percent_of_core: f64,
    resident_kib: f64,
    control_bytes_per_second: f64,
    store_reads_per_second: f64,
    store_writes_per_second: f64,
}

/// Measures and prints; all figures are per entry instance.
pub async fn run(programs: PathBuf, instances: &[usize], servers: &[usize]) -> anyhow::Result<()> {
    let mut points = Vec::new();
    print_header();
    for count in instances {
        points.push(measure(&programs, *count, SERVERS_FOR_INSTANCES).await?);
        print(points.last());
    }
    for count in servers
        .iter()
        .filter(|count| **count != SERVERS_FOR_INSTANCES)
    {
        points.push(measure(&programs, INSTANCES_FOR_SERVERS, *count).await?);
        print(points.last());
    }
    save("slopes", &points)
}

async fn measure(programs: &Path, instances: usize, configured: usize) -> anyhow::Result<Point> {
    let mut layout = echo::layout(RUNNING_SERVERS);
    layout.declared_per_server = configured / RUNNING_SERVERS;
    let settings = FleetSettings {
        metered: true,
        ..fleet_settings(programs.to_owned(), instances, layout, &[])?
    };
    let fleet = Fleet::start(settings).await?;
    task::sleep(SETTLE).await;
    let before = Sample::take(&fleet).await?;
    task::sleep(LENGTH).await;
    let after = Sample::take(&fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let per_instance = |amount: f64| amount / seconds / instances as f64;
    Ok(Point {
        instances,
        configured_servers: configured,
        cpu_percent_of_core: per_instance(after.cpu.saturating_sub(before.cpu).as_secs_f64())
            * 100.0,
        resident_kib: after.resident_kib as f64 / instances as f64,
        control_bytes_per_second: per_instance((after.bytes - before.bytes) as f64),
        store_reads_per_second: per_instance((after.store.reads - before.store.reads) as f64),
        store_writes_per_second: per_instance((after.store.writes - before.store.writes) as f64),
    })
}

/// Sums over all entry instances at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    cpu: Duration,
    resident_kib: u64,
    bytes: u64,
    store: Stats,
}

impl Sample {
    async fn take(fleet: &Fleet) -> anyhow::Result<Self> {
        let reply = control::get(&fleet.platform, "/v1/stats").await?;
        let mut sample = Self {
            at: Instant::now(),
            cpu: Duration::ZERO,
            resident_kib: 0,
            bytes: fleet.control_bytes(),
            store: serde_json::from_slice(&reply.body)?,
        };
        for entry in &fleet.entries {
            sample.cpu += usage::cpu_time(entry.member.pid())?;
            sample.resident_kib += usage::resident_kib(entry.member.pid())?;
        }
        Ok(sample)
    }
}

fn print_header() {
    println!(
        "| instances | configured servers | % of a core | RSS KiB | control B/s | store reads/s | store writes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
}

fn print(point: Option<&Point>) {
    let Some(point) = point else {
        return;
    };
    println!(
        "| {} | {} | {:.2} | {:.0} | {:.0} | {:.2} | {:.2} |",
        point.instances,
        point.configured_servers,
        point.cpu_percent_of_core,
        point.resident_kib,
        point.control_bytes_per_second,
        point.store_reads_per_second,
        point.store_writes_per_second
    );
}
