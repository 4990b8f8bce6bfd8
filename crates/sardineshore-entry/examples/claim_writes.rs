//! Measures the number of table writes per claim and the wait that batching adds.
//!
//! `cargo run --release -p sardineshore-entry --example claim_writes -- INSTANCES CLAIMS_PER_SECOND`
//! sends claims at random times for five seconds, through as many relays as that number of
//! instances has.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use futures::future::join_all;
use rand::Rng;
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};
use sardineshore_entry::claims::batcher::BatchingTable;
use sardineshore_entry::claims::relay::RelaySettings;
use sardineshore_wire::platform::Table;

const LENGTH: Duration = Duration::from_secs(5);

/// A table that only counts writes.
#[derive(Debug, Default)]
struct CountingTable {
    writes: AtomicUsize,
}

#[async_trait]
impl Table for CountingTable {
    async fn commit(&self, _: &Txn) -> Result<CommitOutcome, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        Ok(CommitOutcome::Applied { revision: 1 })
    }

    async fn read(&self, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn scan(&self, _: &str, _: &str, _: usize) -> Result<Vec<Row>, StoreError> {
        Ok(Vec::new())
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default| {
        args.next()
            .and_then(|arg| arg.parse().ok())
            .unwrap_or(default)
    };
    let (instances, rate): (usize, usize) = (number(100), number(2_100));
    let settings = RelaySettings::default();
    let relays = instances / settings.members_per_relay;
    let table = Arc::new(CountingTable::default());
    let direct: Arc<dyn Table> = table.clone();
    let batched =
        |_| Arc::new(BatchingTable::new(table.clone(), settings.window)) as Arc<dyn Table>;
    let tables: Vec<Arc<dyn Table>> = match relays {
        0 => vec![direct],
        relays => (0..relays).map(batched).collect(),
    };
    let claims = rate * 5;
    let waits = task::block_on(join_all(
        (0..claims).map(|n| claim(tables[n % tables.len()].clone(), n)),
    ));
    let mean = waits.iter().sum::<Duration>() / u32::try_from(claims).unwrap_or(1);
    let writes = table.writes.load(Ordering::Relaxed);
    println!(
        "{instances} instances, {relays} relays, {rate} claims/s: {:.0} writes/s, {:.3} per claim, \
         mean wait {mean:.1?}",
        writes as f64 / LENGTH.as_secs_f64(),
        writes as f64 / claims as f64,
    );
}

async fn claim(table: Arc<dyn Table>, n: usize) -> Duration {
    let due = LENGTH.mul_f64(rand::rng().random_range(0.0..1.0));
    task::sleep(due).await;
    let started = Instant::now();
    let answer = table.commit(&Txn::insert(format!("claim/{n}"), "v")).await;
    debug_assert!(answer.is_ok(), "the table answers");
    started.elapsed()
}
