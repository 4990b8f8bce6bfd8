//! Benchmark of the memory that idle connections cost: one entry instance with 10,000 of them.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use async_std::net::TcpStream;
use async_std::task;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use serde::Serialize;

use super::{echo, fleet_settings, save, usage};
use crate::demo::control;
use crate::demo::fleet::Fleet;

const CONNECTIONS: usize = 10_000;
const ENTRY_ARGS: &[&str] = &["--receive-timeout=120s", "--max-connections=12000"];
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_POLLS: usize = 100;

#[derive(Debug, Serialize)]
struct Measurement {
    connections: usize,
    accepted: usize,
    before_kib: u64,
    after_kib: u64,
    kib_per_connection: f64,
}

/// Runs the benchmark, prints the result and saves it.
pub async fn run(programs: PathBuf) -> anyhow::Result<()> {
    raise_file_limit()?;
    let settings = fleet_settings(programs, 1, echo::layout(1), ENTRY_ARGS)?;
    let fleet = Fleet::start(settings).await?;
    let entry = &fleet.entries[0].process;
    let before_kib = usage::resident_kib(entry.pid())?;
    let mut open = Vec::with_capacity(CONNECTIONS);
    for number in 0..CONNECTIONS {
        let stream = TcpStream::connect(&entry.addr).await;
        open.push(stream.with_context(|| format!("failed to open connection {number}"))?);
    }
    let accepted = wait_accepted(&entry.addr).await?;
    let after_kib = usage::resident_kib(entry.pid())?;
    let result = Measurement {
        connections: open.len(),
        accepted,
        before_kib,
        after_kib,
        kib_per_connection: after_kib.saturating_sub(before_kib) as f64 / open.len() as f64,
    };
    print(&result);
    save("idle", &result)
}

/// Polls the connection gauge of the instance until it shows all connections or the polls are used
/// up; returns the last value.
async fn wait_accepted(addr: &str) -> anyhow::Result<usize> {
    let mut last = 0;
    for _ in 0..MAX_POLLS {
        last = connection_gauge(addr).await?;
        if last >= CONNECTIONS {
            break;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(last)
}

async fn connection_gauge(addr: &str) -> anyhow::Result<usize> {
    let reply = control::get(addr, "/metrics").await?;
    let text = String::from_utf8(reply.body)?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("sardine_connections "));
    Ok(line
        .context("the metrics have no gauge of connections")?
        .trim()
        .parse()?)
}

/// Raises the soft limit of open files to the hard limit, as each connection needs a descriptor.
fn raise_file_limit() -> anyhow::Result<()> {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, hard, hard)
        .context("failed to raise the limit of open files")
}

fn print(result: &Measurement) {
    println!("| connections | accepted | RSS before KiB | RSS after KiB | KiB each |");
    println!("| --- | --- | --- | --- | --- |");
    println!(
        "| {} | {} | {} | {} | {:.2} |",
        result.connections,
        result.accepted,
        result.before_kib,
        result.after_kib,
        result.kib_per_connection
    );
}
