//! Added latency of one entry instance over a direct call, alternating in one run.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::ensure;
use hdrhistogram::Histogram;
use http_types::Request;
use sardineshore_wire::http::Client;
use serde::Serialize;

use super::{echo, fleet_settings, save};
use crate::demo::fleet::Fleet;

const WARM_UP: u32 = 500;
const CALLS: u32 = 5_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct Result {
    calls: u32,
    direct_p50_us: u64,
    direct_p99_us: u64,
    entry_p50_us: u64,
    entry_p99_us: u64,
    added_p50_us: u64,
    added_p99_us: u64,
}

/// Measures and prints.
pub async fn run(programs: PathBuf) -> anyhow::Result<()> {
    let settings = fleet_settings(programs, 1, echo::layout(1), &[])?;
    let fleet = Fleet::start(settings).await?;
    let (entry, server) = (&fleet.entries[0].member.addr, &fleet.servers[0].addr);
    let client = Client::default();
    let body = echo::body();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for call in 0..WARM_UP + CALLS {
        let took_direct = time(&client, server, echo::to_server(server, &body)).await?;
        let took_through = time(&client, entry, echo::to_entry(entry, &body)).await?;
        if call >= WARM_UP {
            direct.record(took_direct)?;
            through.record(took_through)?;
        }
    }
    let added = |quantile: f64| {
        let through = through.value_at_quantile(quantile);
        through.saturating_sub(direct.value_at_quantile(quantile))
    };
    let result = Result {
        calls: CALLS,
        direct_p50_us: direct.value_at_quantile(0.5),
        direct_p99_us: direct.value_at_quantile(0.99),
        entry_p50_us: through.value_at_quantile(0.5),
        entry_p99_us: through.value_at_quantile(0.99),
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
    };
    print(&result);
    save("latency", &result)
}

async fn time(client: &Client, addr: &str, req: Request) -> anyhow::Result<u64> {
    let started = Instant::now();
    let reply = client.send(addr, req, TIMEOUT).await?;
    let took = started.elapsed();
    ensure!(reply.status == 200, "{addr} answered with {}", reply.status);
    Ok(u64::try_from(took.as_micros())?)
}

fn print(result: &Result) {
    println!(
        "| {} calls each, alternating | p50 µs | p99 µs |",
        result.calls
    );
    println!("| --- | --- | --- |");
    println!(
        "| direct | {} | {} |",
        result.direct_p50_us, result.direct_p99_us
    );
    println!(
        "| through one entry instance | {} | {} |",
        result.entry_p50_us, result.entry_p99_us
    );
    println!(
        "| added | {} | {} |",
        result.added_p50_us, result.added_p99_us
    );
}
