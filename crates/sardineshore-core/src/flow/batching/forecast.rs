//! When a job's stages would end, from the work that was promised already.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use crate::flow::config::{MAX_RANK, Name, RANKS_PER_CUSTOMER_PRIORITY};

/// Work promised to one pool and how fast the pool works.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolLoad {
    /// Pieces of jobs that can be in time, not yet in a call, by rank.
    pub urgent: [u64; RANKS],
    /// Pieces of late jobs that have begun, not yet in a call.
    pub late: u64,
    /// Pieces of late jobs that have not begun, by rank.
    pub parked: [u64; RANKS],
    /// Pieces that could be in a call if a server were free.
    pub queued: u64,
    /// Pieces a second with full batches.
    pub rate: f64,
    /// Time of a call with a typical batch.
    pub call: Duration,
    /// Average time until a server becomes free.
    pub gap: Duration,
}

impl PoolLoad {
    /// Pieces that go before a job of a rank: those of customers that are no less urgent.
    #[must_use]
    pub fn ahead_of(&self, rank: u32) -> u64 {
        let last = rank / RANKS_PER_CUSTOMER_PRIORITY * RANKS_PER_CUSTOMER_PRIORITY
            + RANKS_PER_CUSTOMER_PRIORITY
            - 1;
        self.urgent[..=rank_index(last)].iter().sum()
    }

    /// Pieces that go before a late job of a rank that joins the line now.
    #[must_use]
    pub fn ahead_in_line(&self, rank: u32) -> u64 {
        self.begun() + self.parked[..=rank_index(rank)].iter().sum::<u64>()
    }

    /// Pieces of all jobs that have begun.
    #[must_use]
    pub fn begun(&self) -> u64 {
        self.urgent.iter().sum::<u64>() + self.late
    }

    /// Time that the pool needs for what could be in a call now.
    #[must_use]
    pub fn queue_time(&self) -> Duration {
        Duration::from_secs_f64(self.queued as f64 / self.rate.max(0.001))
    }

    /// Time that the pool needs for all that has begun.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f64(self.begun() as f64 / self.rate.max(0.001))
    }
}

/// Ranks that are told apart; the last one holds all beyond it.
pub const RANKS: usize = MAX_RANK as usize + 1;

/// Index of a rank among those that are told apart.
#[must_use]
pub fn rank_index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// What a forecast says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Time until the request itself would end its first output, ahead of all late jobs.
    pub urgent: Duration,
    /// The same behind all jobs but late ones that are less urgent and have not begun.
    pub behind_all: Duration,
    /// The same without any other job.
    pub alone: Duration,
}

/// Forecast of a job; `None` if a pool it needs has no server.
#[must_use]
pub fn forecast(job: &Job, loads: &BTreeMap<Name, PoolLoad>) -> Option<Forecast> {
    Some(Forecast {
        urgent: path(job, loads, |load| load.ahead_of(job.rank))?,
        alone: path(job, loads, |_| 0)?,
        behind_all: path(job, loads, |load| load.ahead_in_line(job.rank))?,
    })
}

fn path(
    job: &Job,
    loads: &BTreeMap<Name, PoolLoad>,
    waiting: impl Fn(&PoolLoad) -> u64,
) -> Option<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.stages.len());
    for (number, stage) in job.stages.iter().enumerate() {
        let start = stage
            .depends_on
            .iter()
            .filter_map(|dependency| ends.get(*dependency))
            .max()
            .copied()
            .unwrap_or_default();
        if job.pieces_left(number) == 0 {
            ends.push(start);
            continue;
        }
        let load = loads.get(&stage.pool)?;
        if load.rate <= 0.0 {
            return None;
        }
        let ahead = Duration::from_secs_f64(waiting(load) as f64 / load.rate);
        ends.push(start.max(ahead) + load.gap + load.call);
    }
    Some(ends.into_iter().max().unwrap_or_default() + job.run_time)
}
