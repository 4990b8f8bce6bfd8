//! Benchmark of the idle cost of entry instances, by their number and by the number of configured
//! servers.
//!
//! The byte counts are payload sent and received between instances and to the platform, as counted
//! by forwarding proxies. They don't include the polling of load from backend servers. The
//! configured servers share a few server processes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_std::task;
use sardineshore_fakes::platform::Stats;
use serde::Serialize;

use super::{echo, fleet_settings, save, usage};
use crate::demo::control;
use crate::demo::fleet::{Fleet, FleetSettings};

/// Time before the first sample, so that the start of the fleet is not measured.
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURING_TIME: Duration = Duration::from_secs(15);
/// Server processes, independent of the number of configured servers.
const RUNNING_SERVERS: usize = 4;
/// Entry instances while the number of configured servers varies.
const FIXED_INSTANCES: usize = 3;
/// Configured servers while the number of entry instances varies.
const FIXED_SERVERS: usize = 20;

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

/// Runs the benchmark, prints the result and saves it; all figures are per entry instance.
pub async fn run(programs: PathBuf, instances: &[usize], servers: &[usize]) -> anyhow::Result<()> {
    let mut points = Vec::new();
    print_header();
    for count in instances {
        points.push(measure(&programs, *count, FIXED_SERVERS).await?);
        print(points.last());
    }
    for count in servers.iter().filter(|count| **count != FIXED_SERVERS) {
        points.push(measure(&programs, FIXED_INSTANCES, *count).await?);
        print(points.last());
    }
    save("slopes", &points)
}

async fn measure(programs: &Path, instances: usize, configured: usize) -> anyhow::Result<Point> {
    let mut layout = echo::layout(RUNNING_SERVERS);
    layout.declared_per_server = configured / RUNNING_SERVERS;
    let settings = FleetSettings {
        count_bytes: true,
        ..fleet_settings(programs.to_owned(), instances, layout, &[])?
    };
    let fleet = Fleet::start(settings).await?;
    task::sleep(WARM_UP).await;
    let before = Sample::take(&fleet).await?;
    task::sleep(MEASURING_TIME).await;
    let after = Sample::take(&fleet).await?;
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let per_instance = |amount: f64| amount / seconds / instances as f64;
    Ok(Point {
        instances,
        configured_servers: configured,
        cpu_percent_of_core: per_instance(after.cpu.saturating_sub(before.cpu).as_secs_f64())
            * 100.0,
        resident_kib: after.resident_kib as f64 / instances as f64,
        control_bytes_per_second: per_instance((after.control_bytes - before.control_bytes) as f64),
        store_reads_per_second: per_instance((after.store.reads - before.store.reads) as f64),
        store_writes_per_second: per_instance((after.store.writes - before.store.writes) as f64),
    })
}

/// Counters at one time, summed over all entry instances.
#[derive(Debug, Clone, Copy)]
struct Sample {
    taken_at: Instant,
    cpu: Duration,
    resident_kib: u64,
    control_bytes: u64,
    store: Stats,
}

impl Sample {
    async fn take(fleet: &Fleet) -> anyhow::Result<Self> {
        let reply = control::get(&fleet.platform, "/v1/stats").await?;
        let mut sample = Self {
            taken_at: Instant::now(),
            cpu: Duration::ZERO,
            resident_kib: 0,
            control_bytes: fleet.control_bytes(),
            store: serde_json::from_slice(&reply.body)?,
        };
        for entry in &fleet.entries {
            sample.cpu += usage::cpu_time(entry.process.pid())?;
            sample.resident_kib += usage::resident_kib(entry.process.pid())?;
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
