//! The owner of batch servers: queues pieces of many requests, forms batches, places them.
//!
//! A call costs the same time whatever it holds, so pieces of all requests meet in one queue a
//! pool and a free server takes the most urgent ones that fit. Jobs that can be in time go before
//! jobs that can't; a job that can't end before its deadline is refused at once.

mod calls;
mod config;
mod fairness;
pub mod forecast;
mod job;
mod lifecycle;
mod messages;
mod results;
mod retries;
mod server;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub use config::SchedulerConfig;
use fairness::Fairness;
use forecast::{PoolLoad, forecast, rank_index};
pub use job::{Job, JobStage, StageResults, StoredResult};
use job::{JobState, Made, Progress};
pub use messages::{
    Action, BatchServer, CallOutcome, CallPiece, PieceError, PieceInput, SubmitOutcome,
};
use retries::Returns;
use server::Bench;
pub use server::FreeMemory;
use slab::Slab;

use super::config::Name;

/// Place in a pool's queue: late jobs last, then by urgency, then in order of arrival.
type Place = (bool, Instant, u64, usize, usize);

/// A piece in a call; the sequence tells jobs apart that used the same index.
#[derive(Debug, Clone, Copy)]
struct FlownPiece {
    index: usize,
    sequence: u64,
    stage: usize,
    piece: usize,
    bytes: u64,
}

#[derive(Debug)]
struct Flight {
    pool: Name,
    server: Name,
    pieces: Vec<FlownPiece>,
    bytes: u64,
    started: Instant,
    suspect_at: Option<Instant>,
}

/// All jobs and servers of one cell.
#[derive(Debug, Default)]
pub struct BatchScheduler {
    config: SchedulerConfig,
    jobs: Slab<JobState>,
    by_id: HashMap<Name, usize>,
    queues: HashMap<Name, BTreeMap<Place, usize>>,
    benches: HashMap<Name, Vec<Bench>>,
    flights: HashMap<u64, Flight>,
    next_call: u64,
    next_sequence: u64,
    /// Jobs with a stage that starts later, and when.
    deferred: Vec<(Instant, usize)>,
    /// Starts no calls: another owner takes over.
    closing: bool,
    returns: Returns,
    fairness: Fairness,
    /// When the line of late jobs is looked through next.
    parked_check: Option<Instant>,
    out: Vec<Action>,
}

impl BatchScheduler {
    /// A board without jobs and servers.
    #[must_use]
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Replaces the list of servers. Results kept by servers that are gone are made again.
    pub fn set_servers(&mut self, servers: Vec<BatchServer>, now: Instant) {
        let mut lost = Vec::new();
        for benches in self.benches.values_mut() {
            benches.retain(|bench| {
                let stays = servers
                    .iter()
                    .any(|s| s.id == bench.id && s.address == bench.address);
                if !stays {
                    lost.push(bench.id.clone());
                }
                stays
            });
        }
        for server in servers {
            let benches = self.benches.entry(server.pool).or_default();
            match benches.iter_mut().find(|bench| bench.id == server.id) {
                Some(bench) => bench.spec = server.spec,
                None => benches.push(Bench::new(
                    server.id.clone(),
                    server.address,
                    server.domain,
                    server.spec,
                )),
            }
            if let Some(bench) = benches.iter_mut().find(|bench| bench.id == server.id) {
                bench.leaving = !server.ready;
            }
        }
        for server in lost {
            self.remake_results_of(&server, now);
        }
    }

    /// Takes a job on, or says when to come back.
    pub fn submit(&mut self, mut job: Job, now: Instant) -> SubmitOutcome {
        if !job.is_sound() {
            return SubmitOutcome::Refused {
                retry_after: job.time_to_deadline / 3,
            };
        }
        self.cancel(&job.id.clone(), now);
        let first_aim = self.returns.first_aim(&job, now);
        if let Some(aim) = first_aim {
            job.time_to_soft_deadline = aim
                .saturating_duration_since(now)
                .min(job.time_to_soft_deadline);
        }
        let Some(forecast) = forecast(&job, &self.loads(now)) else {
            self.remember_refused(&job, now);
            return SubmitOutcome::Refused {
                retry_after: NO_SERVER_RETRY.min(job.time_to_deadline / 3),
            };
        };
        let fair_part = self.config.aim_part - self.fairness.reduction(job.rank);
        let aim_part = if job.accepted_before { 1.0 } else { fair_part };
        let late = forecast.urgent > job.time_to_soft_deadline.mul_f64(aim_part);
        if !job.accepted_before && first_aim.is_none() {
            self.fairness.record(job.rank, !late, now);
        }
        let wait = forecast.behind_all.saturating_sub(forecast.alone);
        let hopeless = wait > job.time_to_deadline.mul_f64(self.config.late_part)
            || forecast.behind_all > job.time_to_deadline.mul_f64(self.config.time_part);
        let unwanted = !job.accepted_before && (hopeless || !job.late_allowed);
        if late && (unwanted || forecast.alone > job.time_to_deadline) {
            let retry_after = self.retry_after(&job);
            self.next_sequence += 1;
            self.remember_refused(&job, now);
            return SubmitOutcome::Refused { retry_after };
        }
        let before_others = first_aim.is_some() || job.accepted_before;
        self.take_on(job, late, before_others, now);
        SubmitOutcome::Accepted { late }
    }

    /// Forgets a job: nobody waits for it any more, or its results were used.
    pub fn cancel(&mut self, request: &str, now: Instant) {
        let Some(index) = self.by_id.remove(request) else {
            return;
        };
        let state = self.jobs.remove(index);
        self.unqueue(&state);
        for (number, stage) in state.stages.iter().enumerate() {
            let pool = &state.job.stages[number].pool;
            for progress in &stage.pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, pool, made, now);
                }
            }
        }
    }

    /// Starts all calls that can start and returns what to do.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.suspect_slow_calls(now);
        self.give_up_hopeless(now);
        self.start_deferred(now);
        self.begin_parked(now);
        self.give_up_parked(now);
        if self.closing {
            self.hand_over();
        } else {
            self.ask_rooms(now);
            let pools: Vec<Name> = self.queues.keys().cloned().collect();
            for pool in pools {
                while self.start_call(&pool, now) {}
            }
        }
        self.flush_freed(now);
        std::mem::take(&mut self.out)
    }

    /// Starts the hand-over to another owner: no call is started, and jobs leave when their
    /// running calls have ended. Their results stay with their makers.
    pub fn begin_handover(&mut self) {
        self.closing = true;
    }

    /// Ends the hand-over: the other owner is gone.
    pub fn cancel_handover(&mut self, now: Instant) {
        if std::mem::take(&mut self.closing) {
            self.query_free_memory(now);
        }
    }

    /// Another owner may have worked before: its results fill memory that this one knows nothing
    /// of, so every server is asked before its first call.
    pub fn query_free_memory(&mut self, now: Instant) {
        for bench in self.benches.values_mut().flatten() {
            bench.ask_first(now);
        }
    }

    /// A server told how much memory it has left for results.
    pub fn set_free_memory(&mut self, server: &str, free: FreeMemory, now: Instant) {
        let mut benches = self.benches.values_mut().flatten();
        if let Some(bench) = benches.find(|bench| *bench.id == *server) {
            bench.set_free_memory(free, now);
        }
    }

    fn ask_rooms(&mut self, now: Instant) {
        for bench in self.benches.values_mut().flatten() {
            if bench.asks_now(now) {
                self.out.push(Action::QueryFreeMemory {
                    server: bench.id.clone(),
                    address: bench.address,
                });
            }
        }
    }

    fn hand_over(&mut self) {
        let idle: Vec<usize> = self
            .jobs
            .iter()
            .filter(|(_, state)| !state.delivered && !state.in_call())
            .map(|(index, _)| index)
            .collect();
        for index in idle {
            let state = self.jobs.remove(index);
            self.by_id.remove(&state.job.id);
            self.unqueue(&state);
            for stage in 0..state.stages.len() {
                let results = state.results_of(stage);
                if !state.stages[stage].finished() && !results.results.is_empty() {
                    let request = state.job.id.clone();
                    self.out.push(Action::StageEnded { request, results });
                }
            }
            let request = state.job.id;
            self.out.push(Action::HandedOver { request });
        }
    }

    /// Jobs that are not finished.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.iter().filter(|(_, job)| !job.delivered).count()
    }

    /// Work promised to each pool.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<Name, PoolLoad> {
        let mut loads: BTreeMap<Name, PoolLoad> = BTreeMap::new();
        for (pool, benches) in &self.benches {
            let mut load = PoolLoad::default();
            let staying = || benches.iter().filter(|bench| !bench.leaving);
            // A pool whose servers all rest after failures is tried again soon.
            let resting = staying().all(|bench| !bench.is_usable(now));
            let usable = staying().filter(|bench| resting || bench.is_usable(now));
            let mut count = 0;
            for bench in usable {
                let full = bench.call_time(bench.spec.max_batch);
                let speed = bench.slowness.max(1.0);
                load.rate +=
                    f64::from(bench.spec.max_batch) / full.as_secs_f64().max(0.001) / speed;
                load.call = bench.call_time(bench.spec.max_batch.div_ceil(2));
                count += 1;
            }
            load.gap = load.call / (2 * count.max(1));
            loads.insert(pool.clone(), load);
        }
        for (_, state) in self.jobs.iter().filter(|(_, job)| !job.delivered) {
            for (stage, progress) in state.job.stages.iter().zip(&state.stages) {
                let waiting = progress
                    .pieces
                    .iter()
                    .filter(|p| matches!(p, Progress::Blocked | Progress::Queued))
                    .count() as u64;
                let queued = progress
                    .pieces
                    .iter()
                    .filter(|p| matches!(p, Progress::Queued))
                    .count() as u64;
                let load = loads.entry(stage.pool.clone()).or_default();
                load.queued += queued;
                match (state.parked, state.late) {
                    (true, _) => load.parked[rank_index(state.job.rank)] += waiting,
                    (false, true) => load.late += waiting,
                    (false, false) => load.urgent[rank_index(state.job.rank)] += waiting,
                }
            }
        }
        loads
    }

    /// Time that the busiest pool needs for all that has begun.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> Duration {
        let loads = self.loads(now);
        loads
            .values()
            .map(PoolLoad::backlog)
            .max()
            .unwrap_or_default()
    }
}

/// Wait that is asked for when a pool has no server.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Part of the longest wait over which returns are spread, and in how many steps.
const SPREAD_PART: f64 = 0.35;
const SPREAD_STEPS: u64 = 16;
/// Pause of a server that rejected a call because it is full.
const REJECTED_REST: Duration = Duration::from_millis(60);
/// Calls are given up after so many times the time at which they are repeated elsewhere.
const PATIENCE_FACTOR: u32 = 5;
/// How long a finished job is remembered beyond its deadline if nobody says it was used.
const DELIVERED_KEPT: Duration = Duration::from_secs(1);

fn place(state: &JobState, stage: usize, piece: usize) -> Place {
    (
        state.late,
        state.urgency(stage),
        state.sequence,
        stage,
        piece,
    )
}

fn ask(state: &JobState, stage: usize, piece: usize, now: Instant) -> CallPiece {
    let spec = &state.job.stages[stage];
    let input = if spec.depends_on.is_empty() {
        PieceInput::Key(state.job.key.clone())
    } else {
        let handles = state.handles(spec.depends_on.iter().copied());
        PieceInput::Results(handles.unwrap_or_default())
    };
    CallPiece {
        request: state.job.id.clone(),
        stage,
        piece,
        time_to_deadline: state.deadline.saturating_duration_since(now),
        input,
    }
}

fn find<'a>(
    benches: &'a mut HashMap<Name, Vec<Bench>>,
    pool: &Name,
    server: &Name,
) -> Option<&'a mut Bench> {
    benches.get_mut(pool)?.iter_mut().find(|b| b.id == *server)
}

fn release(benches: &mut HashMap<Name, Vec<Bench>>, pool: &Name, made: &Made, now: Instant) {
    if let Some(bench) = find(benches, pool, &made.maker) {
        bench.release(&made.handle, now);
    }
}

/// Shortest time that a job needs from the start of each stage's calls on.
fn tails(job: &Job, benches: &HashMap<Name, Vec<Bench>>) -> Vec<Duration> {
    let mut tails = vec![Duration::ZERO; job.stages.len()];
    for number in (0..job.stages.len()).rev() {
        let stage = &job.stages[number];
        let own = benches
            .get(&stage.pool)
            .and_then(|benches| benches.first())
            .map_or(Duration::ZERO, |b| {
                b.call_time(stage.pieces.min(b.spec.max_batch))
            });
        let own = if stage.pieces == 0 {
            Duration::ZERO
        } else {
            own
        };
        let next = job.stages[number + 1..]
            .iter()
            .zip(&tails[number + 1..])
            .filter(|(other, _)| other.depends_on.contains(&number))
            .map(|(_, tail)| *tail)
            .max()
            .unwrap_or(job.run_time);
        tails[number] = own + next;
    }
    tails
}
