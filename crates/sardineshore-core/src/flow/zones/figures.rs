//! Figures about the load of a cell, as its owner measures them and instances pass them on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::config::Name;

/// Unit of [`CellFigures`]: one capacity of all cells together is this number.
pub const CAPACITY_UNIT: f64 = 1e6;
/// Time over which arrivals are averaged. In the replays of `tests/zones.rs`, 1 s let queues grow to
/// 0.5 s in waves of 17 s before the figures showed them.
pub(super) const AVERAGING_TIME: Duration = Duration::from_millis(600);
/// Queue below which a pool keeps up with what arrives.
const NO_QUEUE: Duration = Duration::from_millis(50);
/// Most failure domains of which a cell reports arrivals.
const MAX_HOMES: usize = 16;

/// Load of a cell at its busiest pool. Capacity and demand count in millionths of the nominal
/// capacity of all cells, so that cells of different size can be compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellFigures {
    /// Name of the cell.
    pub cell: Name,
    /// Age of the figures when they are sent, in milliseconds.
    pub age_ms: u32,
    /// Time that the pool needs for the pieces that wait for a server, in milliseconds.
    pub queue_ms: u32,
    /// Work that the cell can do, per second.
    pub capacity: u32,
    /// Work that arrived for the first time, per second, by the home cell of its requests.
    pub demand: Vec<(Name, u32)>,
}

/// Pieces that arrive at a cell, by home cell and pool.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    started_at: Instant,
    /// Decayed sums of pieces and when they were last updated.
    sums: BTreeMap<(Name, Name), (f64, Instant)>,
    /// The same of the pieces of refused jobs, by pool.
    refused: BTreeMap<Name, (f64, Instant)>,
}

impl DemandMeter {
    /// A meter that has seen nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            sums: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Records pieces for a pool of a request whose home is this cell or another one.
    pub fn record(&mut self, home: &Name, pool: &Name, pieces: u32, now: Instant) {
        let key = (home.clone(), pool.clone());
        add(self.sums.entry(key).or_insert((0.0, now)), pieces, now);
    }

    /// Records that pieces which were recorded before are not computed, as their job was refused.
    pub fn record_refused(&mut self, pool: &Name, pieces: u32, now: Instant) {
        let sum = self.refused.entry(pool.clone()).or_insert((0.0, now));
        add(sum, pieces, now);
    }

    /// Time that the sums cover: less than usual until a few averaging times after the start.
    fn covered(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        let covered = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        AVERAGING_TIME.as_secs_f64() * covered.max(0.1)
    }

    /// Pieces per second for a pool, by home.
    pub fn rates<'a>(
        &'a self,
        pool: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a Name, f64)> {
        let time = self.covered(now);
        let of_pool = self.sums.iter().filter(move |((_, of), _)| **of == *pool);
        of_pool.map(move |((home, _), (sum, at))| (home, decayed(*sum, *at, now) / time))
    }

    /// Figures of a cell from its pools; `None` if it has none. `pools` holds for each pool the time
    /// of its queue, the rate at which the cell serves pieces, and the nominal rate of all cells.
    #[must_use]
    pub fn figures<'a>(
        &self,
        cell: &Name,
        pools: impl Iterator<Item = (&'a Name, PoolFigures)>,
        now: Instant,
    ) -> Option<CellFigures> {
        let load = |(pool, figures): &(&'a Name, PoolFigures)| {
            let rate: f64 = self.rates(pool, now).map(|(_, rate)| rate).sum();
            rate / figures.rate.max(0.001) + figures.queue.as_secs_f64()
        };
        let loads = pools.map(|pool| (load(&pool), pool));
        let (_, (pool, busiest)) = loads.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let units = |rate: f64| in_units(rate / busiest.nominal.max(0.001));
        let mut demand: Vec<(Name, u32)> = self
            .rates(pool, now)
            .map(|(home, rate)| (home.clone(), units(rate)))
            .filter(|(_, rate)| *rate > 0)
            .collect();
        demand.truncate(MAX_HOMES);
        // Pieces of some stages take less time than usual. Without a queue, the pool can do what it
        // was given, whatever its nominal rate.
        let arriving: f64 = self.rates(pool, now).map(|(_, rate)| rate).sum();
        let refused = self.refused.get(pool);
        let refused = refused.map_or(0.0, |(sum, at)| decayed(*sum, *at, now) / self.covered(now));
        let rate = if busiest.queue < NO_QUEUE {
            busiest.rate.max(arriving - refused)
        } else {
            busiest.rate
        };
        Some(CellFigures {
            cell: cell.clone(),
            age_ms: 0,
            queue_ms: u32::try_from(busiest.queue.as_millis()).unwrap_or(u32::MAX),
            capacity: units(rate),
            demand,
        })
    }
}

/// What a cell's figures depend on for each of its pools.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolFigures {
    /// Time that the pool needs for the pieces that wait for a server.
    pub queue: Duration,
    /// Pieces per second that the cell's servers of the pool can do.
    pub rate: f64,
    /// Pieces per second that the pool's servers in all cells do nominally.
    pub nominal: f64,
}

/// A share of the capacity of all cells in whole units, at most the largest number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and an invalid number becomes 0"
)]
fn in_units(share: f64) -> u32 {
    (share * CAPACITY_UNIT) as u32
}

fn add(sum: &mut (f64, Instant), pieces: u32, now: Instant) {
    *sum = (decayed(sum.0, sum.1, now) + f64::from(pieces), now);
}

fn decayed(sum: f64, at: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(at);
    sum * (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
