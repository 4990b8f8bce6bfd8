//! Forecasts of when a job's request would finish, from the load of the pools that it needs.
//!
//! The scheduler accepts, parks or refuses a job by its [`Forecast`].

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use crate::duration::{LONGEST, multiplied, time_at_rate};
use crate::flow::config::{MAX_RANK, Name, RANKS_PER_CUSTOMER_PRIORITY};

/// Accepted work of one pool, in pieces of the configured time, and the speed of the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolLoad {
    /// Pieces of streams that go on, not yet in a call.
    pub continued: f64,
    /// Pieces of jobs that are not late, not yet in a call, by rank.
    pub on_time: [f64; RANK_COUNT],
    /// Pieces of late jobs that have started, not yet in a call.
    pub late: f64,
    /// Pieces of parked jobs, by rank.
    pub parked: [f64; RANK_COUNT],
    /// Pieces whose inputs are ready and that only wait for a server.
    pub queued: f64,
    /// Throughput of all available servers with full batches, in pieces per second.
    pub rate: f64,
    /// Time of a call with a typical batch: as recent ones, or fuller if more pieces are queued.
    pub call: Duration,
    /// Time of a call with a full batch.
    pub full_call: Duration,
    /// Work of a full batch.
    pub call_work: f64,
    /// Work that arrives per second, by rank.
    pub demand: [f64; RANK_COUNT],
    /// Servers that take calls.
    pub servers: u32,
    /// Time until a server wants requests again.
    pub pause: Duration,
    /// Average time until a server is free.
    pub server_wait: Duration,
}

impl PoolLoad {
    /// Work that goes before a job of this rank which is not late: that of customers
    /// with the same or a more urgent rank, and that of streams that go on.
    #[must_use]
    pub fn pieces_ahead(&self, rank: u32) -> f64 {
        let last = rank / RANKS_PER_CUSTOMER_PRIORITY * RANKS_PER_CUSTOMER_PRIORITY
            + RANKS_PER_CUSTOMER_PRIORITY
            - 1;
        self.continued + self.on_time[..=rank_index(last)].iter().sum::<f64>()
    }

    /// Work that goes before a late job of this rank if it is parked now.
    #[must_use]
    pub fn pieces_ahead_when_late(&self, rank: u32) -> f64 {
        self.started() + self.parked[..=rank_index(rank)].iter().sum::<f64>()
    }

    /// Whether more work arrives than the pool can do.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.demand.iter().sum::<f64>() > self.rate
    }

    /// Work that goes before a job of this rank which is not late, as [`Self::pieces_ahead`], with
    /// the part of equal and less urgent ranks stretched while more work arrives than the pool can
    /// do: what more urgent ranks are about to bring is reserved for them.
    #[must_use]
    pub fn pieces_ahead_with_reserve(&self, rank: u32) -> f64 {
        let ahead = self.pieces_ahead(rank);
        if !self.is_overloaded() {
            return ahead;
        }
        let more_urgent: f64 = self.demand[..rank_index(rank)].iter().sum();
        let left = (1.0 - more_urgent / self.rate).max(MIN_SHARE);
        let urgent_ahead = self.continued + self.on_time[..rank_index(rank)].iter().sum::<f64>();
        urgent_ahead + (ahead - urgent_ahead) / left
    }

    /// Work of all jobs that are not parked.
    #[must_use]
    pub fn started(&self) -> f64 {
        self.continued + self.on_time.iter().sum::<f64>() + self.late
    }

    /// Adapts the typical call to the queue: servers that become free take full batches while the
    /// queue has them.
    pub(super) fn update_call(&mut self) {
        let servers = f64::from(self.servers.max(1));
        let full = (self.queued / servers / self.call_work.max(1.0)).min(1.0);
        let more = multiplied(self.full_call.saturating_sub(self.call), full);
        self.call += more;
        self.server_wait = self.call / (2 * self.servers.max(1)) + self.pause;
    }

    /// Time that the pool needs for its queued pieces. A pool without throughput needs none for no
    /// pieces, and very long for any.
    #[must_use]
    pub fn queue_time(&self) -> Duration {
        time_at_rate(self.queued, self.rate.max(MIN_RATE)).unwrap_or(LONGEST)
    }

    /// Time that the pool needs for the pieces of all jobs that are not parked; as
    /// [`Self::queue_time`] for a pool without throughput.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        time_at_rate(self.started(), self.rate.max(MIN_RATE)).unwrap_or(LONGEST)
    }
}

/// Throughput that a pool without any counts with, in pieces per second.
pub(super) const MIN_RATE: f64 = 0.001;
/// Least share of a pool's throughput that a forecast assumes for any rank, so that none starves.
const MIN_SHARE: f64 = 0.05;

/// Number of ranks that are counted separately; the last one includes all less urgent ranks.
pub const RANK_COUNT: usize = MAX_RANK as usize + 1;

/// Index of a rank in an array of [`RANK_COUNT`] elements.
#[must_use]
pub fn rank_index(rank: u32) -> usize {
    (rank as usize).min(RANK_COUNT - 1)
}

/// Expected time until a job's request finishes, under three assumptions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Time until the request itself finishes its first output if the job goes before all late
    /// jobs.
    pub before_late: Duration,
    /// The same if it goes after all jobs except parked ones of a less urgent rank.
    pub behind_all: Duration,
    /// The same if there are no other jobs.
    pub unloaded: Duration,
}

/// Forecasts a job; `None` if a pool that it needs has no server.
#[must_use]
pub fn forecast(job: &Job, loads: &BTreeMap<Name, PoolLoad>) -> Option<Forecast> {
    let pieces_ahead = |load: &PoolLoad| {
        if job.continues {
            load.continued
        } else {
            load.pieces_ahead_with_reserve(job.rank)
        }
    };
    Some(Forecast {
        before_late: finish_time(job, loads, pieces_ahead)?,
        unloaded: finish_time(job, loads, |_| 0.0)?,
        behind_all: finish_time(job, loads, |load| load.pieces_ahead_when_late(job.rank))?,
    })
}

/// Time until the request finishes if `waiting` pieces of each pool go before the job's own. A stage
/// starts when its dependencies have finished and those pieces are done, whichever is later.
fn finish_time(
    job: &Job,
    loads: &BTreeMap<Name, PoolLoad>,
    waiting: impl Fn(&PoolLoad) -> f64,
) -> Option<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.stages.len());
    for (stage_index, stage) in job.stages.iter().enumerate() {
        let start = stage
            .depends_on
            .iter()
            .filter_map(|dependency| ends.get(*dependency))
            .max()
            .copied()
            .unwrap_or_default();
        if job.pieces_left(stage_index) == 0 {
            ends.push(start);
            continue;
        }
        let load = loads.get(&stage.pool)?;
        let ahead = time_at_rate(waiting(load), load.rate)?;
        ends.push(start.max(ahead) + load.server_wait + load.call);
    }
    Some(ends.into_iter().max().unwrap_or_default() + job.run_time)
}

/// Expected time from the start of each stage to the end of the request: the longest chain of typical
/// calls with the average waits for a free server, plus the run time of the request itself.
#[must_use]
pub fn expected_times(job: &Job, loads: &BTreeMap<Name, PoolLoad>) -> Vec<Duration> {
    let mut times = vec![Duration::ZERO; job.stages.len()];
    for stage_index in (0..job.stages.len()).rev() {
        let stage = &job.stages[stage_index];
        let own = match loads.get(&stage.pool) {
            Some(load) if stage.pieces > 0 => load.server_wait + load.call,
            _ => Duration::ZERO,
        };
        let next = job.stages[stage_index + 1..]
            .iter()
            .zip(&times[stage_index + 1..])
            .filter(|(other, _)| other.depends_on.contains(&stage_index))
            .map(|(_, time)| *time)
            .max()
            .unwrap_or(job.run_time);
        times[stage_index] = own + next;
    }
    times
}
