//! Benchmark of the throughput of one entry instance, with request bodies of 1 KiB.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::ensure;
use async_std::task;
use futures::future::try_join_all;
use sardineshore_wire::http::Client;
use serde::Serialize;

use super::{echo, fleet_settings, save, usage};
use crate::demo::fleet::Fleet;

const CALLERS: usize = 32;
const SERVERS: usize = 2;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURING_TIME: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct Measurement {
    callers: usize,
    body_bytes: usize,
    requests: u64,
    seconds: f64,
    cpu_seconds: f64,
    requests_per_second: f64,
    requests_per_core_second: f64,
    cpu_us_per_request: f64,
}

/// Runs the benchmark, prints the result and saves it.
pub async fn run(programs: PathBuf) -> anyhow::Result<()> {
    let settings = fleet_settings(programs, 1, echo::layout(SERVERS), &[])?;
    let fleet = Fleet::start(settings).await?;
    let entry: Arc<str> = fleet.entries[0].process.addr.as_str().into();
    send_requests_for(&entry, WARM_UP).await?;
    let pid = fleet.entries[0].process.pid();
    let cpu_before = usage::cpu_time(pid)?;
    let started = Instant::now();
    let requests = send_requests_for(&entry, MEASURING_TIME).await?;
    let seconds = started.elapsed().as_secs_f64();
    let cpu_seconds = usage::cpu_time(pid)?
        .saturating_sub(cpu_before)
        .as_secs_f64();
    let result = Measurement {
        callers: CALLERS,
        body_bytes: echo::BODY_BYTES,
        requests,
        seconds,
        cpu_seconds,
        requests_per_second: requests as f64 / seconds,
        requests_per_core_second: requests as f64 / cpu_seconds,
        cpu_us_per_request: cpu_seconds * 1e6 / requests as f64,
    };
    print(&result);
    save("throughput", &result)
}

/// Lets each caller send requests one after the other for `duration`; returns the number of
/// successful responses.
async fn send_requests_for(entry: &Arc<str>, duration: Duration) -> anyhow::Result<u64> {
    let client = Arc::new(Client::default());
    let answered = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + duration;
    let caller = |_| {
        let (client, answered, entry) = (client.clone(), answered.clone(), entry.clone());
        task::spawn(async move {
            let body = echo::body();
            while Instant::now() < until {
                let req = echo::entry_request(&entry, &body);
                let reply = client.send(&entry, req, TIMEOUT).await?;
                ensure!(reply.status == 200, "status {}", reply.status);
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        })
    };
    try_join_all((0..CALLERS).map(caller)).await?;
    Ok(answered.load(Ordering::Relaxed))
}

fn print(result: &Measurement) {
    println!(
        "| {} callers, {} bytes | |",
        result.callers, result.body_bytes
    );
    println!("| --- | --- |");
    println!("| requests/s | {:.0} |", result.requests_per_second);
    println!(
        "| requests/s per core | {:.0} |",
        result.requests_per_core_second
    );
    println!(
        "| µs of processor time per request | {:.0} |",
        result.cpu_us_per_request
    );
}
