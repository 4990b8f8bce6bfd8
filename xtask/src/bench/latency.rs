//! Benchmark of the latency that one entry instance adds to a direct call of a backend server.
//!
//! Direct calls and calls through the instance alternate, so that both see the same conditions.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::ensure;
use hdrhistogram::Histogram;
use http_types::Request;
use sardineshore_wire::http::Client;
use serde::Serialize;

use super::{echo, fleet_settings, save};
use crate::demo::fleet::Fleet;

const WARM_UP_CALLS: u32 = 500;
const CALLS: u32 = 5_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct Measurement {
    calls: u32,
    direct_p50_us: u64,
    direct_p99_us: u64,
    entry_p50_us: u64,
    entry_p99_us: u64,
    added_p50_us: u64,
    added_p99_us: u64,
}

/// Runs the benchmark, prints the result and saves it.
pub async fn run(programs: PathBuf) -> anyhow::Result<()> {
    let settings = fleet_settings(programs, 1, echo::layout(1), &[])?;
    let fleet = Fleet::start(settings).await?;
    let (entry, server) = (&fleet.entries[0].process.addr, &fleet.servers[0].addr);
    let client = Client::default();
    let body = echo::body();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut via_entry = Histogram::<u64>::new(3)?;
    for call in 0..WARM_UP_CALLS + CALLS {
        let direct_us =
            measure_call_us(&client, server, echo::server_request(server, &body)).await?;
        let via_entry_us =
            measure_call_us(&client, entry, echo::entry_request(entry, &body)).await?;
        if call >= WARM_UP_CALLS {
            direct.record(direct_us)?;
            via_entry.record(via_entry_us)?;
        }
    }
    let added = |quantile: f64| {
        let via_entry = via_entry.value_at_quantile(quantile);
        via_entry.saturating_sub(direct.value_at_quantile(quantile))
    };
    let result = Measurement {
        calls: CALLS,
        direct_p50_us: direct.value_at_quantile(0.5),
        direct_p99_us: direct.value_at_quantile(0.99),
        entry_p50_us: via_entry.value_at_quantile(0.5),
        entry_p99_us: via_entry.value_at_quantile(0.99),
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
    };
    print(&result);
    save("latency", &result)
}

async fn measure_call_us(client: &Client, addr: &str, req: Request) -> anyhow::Result<u64> {
    let started = Instant::now();
    let reply = client.send(addr, req, TIMEOUT).await?;
    let elapsed = started.elapsed();
    ensure!(
        reply.status == 200,
        "{addr} responded with status {}",
        reply.status
    );
    Ok(u64::try_from(elapsed.as_micros())?)
}

fn print(result: &Measurement) {
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
