//! Batch scheduler for the stages that run before a request.
//!
//! Each stage of a request consists of independent pieces of work. The instance that owns a cell
//! (a group of batch servers) runs one [`BatchScheduler`] for it; the scheduler is a state machine
//! without I/O. A call to a batch server costs nearly the same time however many pieces it holds,
//! so pieces of all requests share one priority queue per pool, and a free server takes the most
//! urgent pieces that fit into its batch and memory.
//!
//! A job whose forecast meets its soft deadline goes before all late jobs. The job of a stream that
//! goes on goes before all others: its caller waits in the middle of an answer, and has less time left
//! than others. A job that can't finish before its deadline is refused on arrival.

mod calls;
mod capacity;
mod config;
mod customers;
mod demand;
mod fairness;
pub mod forecast;
mod job;
mod lifecycle;
mod messages;
mod piece_times;
mod recent_calls;
mod refusals;
mod results;
mod retries;
mod retry_times;
mod server;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use capacity::CapacityWatch;
pub use config::SchedulerConfig;
use customers::Customers;
use demand::Demand;
use fairness::Fairness;
use forecast::{MIN_RATE, PoolLoad, expected_times, forecast, rank_index};
pub use job::{Job, JobStage, StageResults, StoredResult};
use job::{JobState, PieceResult, Precedence, Progress};
pub use messages::{
    Action, BatchServer, CallOutcome, CallPiece, PieceError, PieceInput, RefusalReason,
    SubmitOutcome,
};
use piece_times::{ClassCounts, PieceTimes};
use recent_calls::RecentCalls;
pub use refusals::RefusalCount;
use refusals::Refusals;
use retries::RetryTracker;
use retry_times::RetryTimes;
pub use server::FreeMemory;
use server::ServerState;
use slab::Slab;

use super::config::Name;
use crate::duration::multiplied;

/// Sort key in a pool's queue, smallest first: precedence, urgency and sequence number of the job,
/// stage, piece.
type QueueKey = (Precedence, Instant, u64, usize, usize);

/// A piece in a running call. A later job can reuse `index`; `sequence` tells the two apart.
#[derive(Debug, Clone, Copy)]
struct SentPiece {
    index: usize,
    sequence: u64,
    stage: usize,
    piece: usize,
    result_bytes: u64,
}

/// A call that was sent and has not ended; `slow_at` is `None` once its pieces are queued again.
#[derive(Debug)]
struct RunningCall {
    pool: Name,
    server: Name,
    pieces: Vec<SentPiece>,
    classes: ClassCounts,
    reserved_bytes: u64,
    started_at: Instant,
    slow_at: Option<Instant>,
}

/// Queues, jobs and servers of one cell.
///
/// The caller reports events with the current time and carries out the [`Action`]s that
/// [`BatchScheduler::poll`] returns.
#[derive(Debug, Default)]
pub struct BatchScheduler {
    config: SchedulerConfig,
    jobs: Slab<JobState>,
    by_id: HashMap<Name, usize>,
    queues: HashMap<Name, BTreeMap<QueueKey, usize>>,
    pools: HashMap<Name, Vec<ServerState>>,
    calls: HashMap<u64, RunningCall>,
    next_call_id: u64,
    next_sequence: u64,
    /// Start times of stages that are started late on purpose, with the index of their job.
    deferred: Vec<(Instant, usize)>,
    /// Whether the cell is being handed over to another owner; no call is started meanwhile.
    handing_over: bool,
    piece_times: PieceTimes,
    recent_calls: RecentCalls,
    demand: Demand,
    customers: Customers,
    refusals: Refusals,
    capacity: CapacityWatch,
    retries: RetryTracker,
    retry_times: RetryTimes,
    fairness: Fairness,
    /// When the parked jobs are next checked for those that can't finish in time.
    next_parked_check: Option<Instant>,
    actions: Vec<Action>,
}

impl BatchScheduler {
    /// Creates a scheduler without jobs and servers.
    #[must_use]
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// A scheduler without jobs and servers that takes the place of this one. It numbers its calls and jobs
    /// on, so that what belongs to this one isn't taken for its own.
    #[must_use]
    pub fn successor(&self) -> Self {
        Self {
            next_call_id: self.next_call_id,
            next_sequence: self.next_sequence,
            ..Self::new(self.config)
        }
    }

    /// Replaces the list of servers. Results that only a removed server stored are computed again
    /// if a job still needs them.
    pub fn set_servers(&mut self, servers: Vec<BatchServer>, now: Instant) {
        let mut lost = Vec::new();
        for pool_servers in self.pools.values_mut() {
            pool_servers.retain(|known| {
                let stays = servers
                    .iter()
                    .any(|s| s.id == known.id && s.address == known.address);
                if !stays {
                    lost.push(known.id.clone());
                }
                stays
            });
        }
        for server in servers {
            let pool_servers = self.pools.entry(server.pool).or_default();
            match pool_servers.iter_mut().find(|known| known.id == server.id) {
                Some(known) => known.spec = server.spec,
                None => pool_servers.push(ServerState::new(
                    server.id.clone(),
                    server.address,
                    server.domain,
                    server.spec,
                )),
            }
            if let Some(known) = pool_servers.iter_mut().find(|known| known.id == server.id) {
                known.draining = !server.ready;
                known.paused_until = server.paused_until;
            }
        }
        for server in lost {
            self.recompute_results_of(&server, now);
        }
    }

    /// Sets the failure domains to whose servers nothing may be sent. Call it after [`Self::set_servers`].
    /// Their running calls go on, and their results can still be fetched until they expire.
    pub fn set_evacuated(&mut self, domains: &[Name], now: Instant) {
        for server in self.pools.values_mut().flatten() {
            server.set_evacuated(domains.contains(&server.domain), now);
        }
    }

    /// Accepts a job, or refuses it with the time after which the caller should retry. A job with
    /// the same id is cancelled first.
    pub fn submit(&mut self, job: Job, now: Instant) -> SubmitOutcome {
        let (route, customer) = (job.route.clone(), job.customer.clone());
        let outcome = self.decide(job, now);
        if let SubmitOutcome::Refused { reason, .. } = outcome {
            self.refusals.record(&route, &customer, reason);
        }
        outcome
    }

    /// Jobs that were refused or given up since the last call.
    pub fn take_refusals(&mut self) -> Vec<RefusalCount> {
        self.refusals.take()
    }

    fn decide(&mut self, mut job: Job, now: Instant) -> SubmitOutcome {
        if !job.is_valid() {
            return SubmitOutcome::Refused {
                retry_after: job.time_to_deadline / 3,
                reason: RefusalReason::Invalid,
            };
        }
        self.cancel(&job.id.clone(), now);
        let first_soft_deadline = self.retries.first_soft_deadline(&job, now);
        if job.continues {
            job.time_to_soft_deadline = job.time_left();
        } else if let Some(soft_deadline) = first_soft_deadline {
            job.time_to_soft_deadline = soft_deadline
                .saturating_duration_since(now)
                .min(job.time_to_soft_deadline);
        }
        if !job.is_accepted() {
            self.record_demand(&job, now);
        }
        let loads = self.loads(now);
        let Some(forecast) = forecast(&job, &loads) else {
            self.record_refusal(&job, now);
            return SubmitOutcome::Refused {
                retry_after: NO_SERVER_RETRY.min(job.time_to_deadline / 3),
                reason: RefusalReason::NoServer,
            };
        };
        let reduction = self.fairness.reduction(job.rank);
        let excess = self.excess_reduction(&job, &loads, now);
        let fair_share = self.config.soft_deadline_share - reduction.max(excess);
        let without_excess = multiplied(
            job.time_to_soft_deadline,
            self.config.soft_deadline_share - reduction,
        );
        let deficit = self.fairness.deficit(job.rank);
        let late_wait_share = self.config.late_wait_share * (1.0 - reduction)
            + self.config.more_late_wait_share * deficit;
        let share = if job.is_accepted() { 1.0 } else { fair_share };
        let late =
            !job.continues && forecast.before_late > multiplied(job.time_to_soft_deadline, share);
        if !job.is_accepted() && first_soft_deadline.is_none() {
            self.fairness.record(job.rank, !late, now);
        }
        let wait = forecast.behind_all.saturating_sub(forecast.unloaded);
        let infeasible = wait > multiplied(job.time_left(), late_wait_share)
            || forecast.behind_all > multiplied(job.time_left(), self.config.late_finish_share);
        let refuse_late = !job.is_accepted() && (infeasible || !job.late_allowed);
        let too_close = forecast.unloaded > job.time_left();
        let refused = if job.continues {
            forecast.before_late > job.time_left()
        } else {
            late && (refuse_late || too_close)
        };
        if refused {
            let reason = if too_close {
                RefusalReason::DeadlineTooClose
            } else if first_soft_deadline.is_some() && !job.is_accepted() {
                RefusalReason::RefusedAgain
            } else if excess > 0.0 && forecast.before_late <= without_excess {
                RefusalReason::CustomerBurst
            } else {
                RefusalReason::Overloaded
            };
            let retry_after = self.retry_after(&job, &loads, now);
            if !reason.is_final() {
                self.record_refusal(&job, now);
            }
            return SubmitOutcome::Refused {
                retry_after,
                reason,
            };
        }
        let is_retry = first_soft_deadline.is_some();
        let expected_times = expected_times(&job, &loads);
        self.accept(job, &expected_times, late, is_retry, now);
        SubmitOutcome::Accepted { late }
    }

    /// By how much to reduce the share of the time to its soft deadline that the forecast of a job may
    /// take, because its customer asks for more than usual from an overloaded pool.
    fn excess_reduction(
        &mut self,
        job: &Job,
        loads: &BTreeMap<Name, PoolLoad>,
        now: Instant,
    ) -> f64 {
        if job.is_accepted() {
            return 0.0;
        }
        let mut cost = 0.0;
        let mut is_overloaded = false;
        for (index, stage) in job.stages.iter().enumerate() {
            let pieces = job.pieces_left(index);
            if let Some(load) = loads.get(&stage.pool).filter(|_| pieces > 0) {
                cost += f64::from(pieces) / load.rate.max(MIN_RATE);
                is_overloaded |= load.is_overloaded();
            }
        }
        let reduction = self.customers.record(&job.customer, job.rank, cost, now);
        if is_overloaded { reduction } else { 0.0 }
    }

    /// Records the work that a new job brings to its pools.
    fn record_demand(&mut self, job: &Job, now: Instant) {
        for (index, stage) in job.stages.iter().enumerate() {
            let pieces = job.pieces_left(index);
            if pieces > 0 {
                let class = self.piece_times.class(&job.route, index);
                let work = f64::from(pieces) * self.piece_times.load(class);
                self.demand.record(&stage.pool, job.rank, work, now);
            }
        }
    }

    /// Removes a job that nobody waits for any more or whose results were used, and releases its
    /// results.
    pub fn cancel(&mut self, request: &str, now: Instant) {
        let Some(index) = self.by_id.remove(request) else {
            return;
        };
        let state = self.jobs.remove(index);
        self.unqueue(&state);
        for (stage_index, stage) in state.stages.iter().enumerate() {
            let pool = &state.job.stages[stage_index].pool;
            for progress in &stage.pieces {
                if let Progress::Done(result) = progress {
                    release_result(&mut self.pools, pool, result, now);
                }
            }
        }
    }

    /// Handles all timeouts, starts all calls that can start, and returns the actions that the
    /// caller has to carry out.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.requeue_slow_calls(now);
        self.follow_capacity(now);
        self.give_up_infeasible(now);
        self.start_deferred(now);
        self.start_parked(now);
        self.give_up_parked(now);
        if self.handing_over {
            self.hand_over();
        } else {
            self.query_due_servers(now);
            let mut pools: Vec<Name> = self.queues.keys().cloned().collect();
            pools.sort_unstable();
            for pool in pools {
                while self.start_call(&pool, now) {}
            }
        }
        self.flush_releases(now);
        std::mem::take(&mut self.actions)
    }

    /// Starts the hand-over of the cell to another owner. No further call is started, and each job
    /// is handed over once its running calls have ended. Results stay on their servers.
    pub fn begin_handover(&mut self) {
        self.handing_over = true;
    }

    /// Cancels a hand-over because the other owner is gone. That owner may have filled the servers,
    /// so their free memory is queried.
    pub fn cancel_handover(&mut self, now: Instant) {
        if std::mem::take(&mut self.handing_over) {
            self.query_free_memory(now);
        }
    }

    /// Queries the free memory of every server before its next call. Needed after another owner may
    /// have used the servers: its results occupy memory that this scheduler does not track.
    pub fn query_free_memory(&mut self, now: Instant) {
        for server in self.pools.values_mut().flatten() {
            server.query_before_calls(now);
        }
    }

    /// Records how much memory a server reports as free for results.
    pub fn set_free_memory(&mut self, server: &str, free: FreeMemory, now: Instant) {
        let mut servers = self.pools.values_mut().flatten();
        if let Some(known) = servers.find(|known| *known.id == *server) {
            known.set_free_memory(free, now);
        }
    }

    /// Sets the rate of requests that a server takes, in requests per second; `None` if it names no
    /// limit.
    pub fn set_rate_limit(&mut self, server: &str, per_second: Option<f64>, now: Instant) {
        let mut servers = self.pools.values_mut().flatten();
        if let Some(known) = servers.find(|known| *known.id == *server) {
            known.set_rate_limit(per_second, now);
        }
    }

    /// Queries the free memory of every server for which a query is due.
    fn query_due_servers(&mut self, now: Instant) {
        for server in self.pools.values_mut().flatten() {
            if server.accepts_requests(now) && server.take_due_query(now) {
                server.record_request(now);
                self.actions.push(Action::QueryFreeMemory {
                    server: server.id.clone(),
                    address: server.address,
                });
            }
        }
    }

    /// Hands over every job that has no running call, with the results of its unfinished stages;
    /// those of finished stages were reported before.
    fn hand_over(&mut self) {
        let idle: Vec<usize> = self
            .jobs
            .iter()
            .filter(|(_, state)| !state.delivered && !state.has_running_piece())
            .map(|(index, _)| index)
            .collect();
        for index in idle {
            let state = self.jobs.remove(index);
            self.by_id.remove(&state.job.id);
            self.unqueue(&state);
            for stage in 0..state.stages.len() {
                let results = state.results_of(stage);
                if !state.stages[stage].is_finished() && !results.results.is_empty() {
                    let request = state.job.id.clone();
                    self.actions.push(Action::StageEnded { request, results });
                }
            }
            let request = state.job.id;
            self.actions.push(Action::HandedOver { request });
        }
    }

    /// Number of jobs whose stages have not all finished.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.iter().filter(|(_, job)| !job.delivered).count()
    }

    /// Accepted work that is not yet in a call, and the speed, for each pool.
    #[must_use]
    pub fn loads(&self, now: Instant) -> BTreeMap<Name, PoolLoad> {
        let mut loads: BTreeMap<Name, PoolLoad> = BTreeMap::new();
        for (pool, servers) in &self.pools {
            let mut load = PoolLoad::default();
            let active = || servers.iter().filter(|server| !server.draining);
            // If all servers of a pool back off after failures, count them all: they are tried
            // again soon.
            let all_back_off = active().all(|server| !server.is_available(now));
            let usable = active().filter(|server| all_back_off || server.is_available(now));
            let mut count = 0;
            for server in usable {
                load.rate += server.pieces_per_second();
                let half = f64::from(server.spec.max_batch.div_ceil(2));
                let recent = self.recent_calls.work(pool);
                load.call = server.expected_call_time(recent.unwrap_or(half));
                load.full_call = server.expected_call_time(f64::from(server.spec.max_batch));
                load.call_work = f64::from(server.spec.max_batch);
                count += 1;
            }
            load.servers = count;
            load.demand = self.demand.of(pool, now);

            let pause = active().map(|server| server.pause_left(now)).min();
            load.pause = pause.unwrap_or_default();
            loads.insert(pool.clone(), load);
        }
        for (_, state) in self.jobs.iter().filter(|(_, job)| !job.delivered) {
            for (stage, progress) in state.job.stages.iter().zip(&state.stages) {
                let waiting = progress
                    .pieces
                    .iter()
                    .filter(|p| matches!(p, Progress::Blocked | Progress::Queued))
                    .count();
                let queued = progress
                    .pieces
                    .iter()
                    .filter(|p| matches!(p, Progress::Queued))
                    .count();
                let weight = self.piece_times.load(progress.class);
                let (waiting, queued) = (waiting as f64 * weight, queued as f64 * weight);
                let load = loads.entry(stage.pool.clone()).or_default();
                load.queued += queued;
                match (state.parked, state.late) {
                    _ if state.job.continues => load.continued += waiting,
                    (true, _) => load.parked[rank_index(state.job.rank)] += waiting,
                    (false, true) => load.late += waiting,
                    (false, false) => load.on_time[rank_index(state.job.rank)] += waiting,
                }
            }
        }
        for load in loads.values_mut() {
            load.update_call();
        }
        loads
    }

    /// Time that the busiest pool needs for the pieces of all jobs that are not parked.
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

/// Longest retry delay for a job that needs a pool without servers.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Time without calls after a server rejected one because it is full.
const REJECTED_BACKOFF: Duration = Duration::from_millis(60);
/// A call times out after this multiple of the time after which its pieces are queued again.
const CALL_TIMEOUT_FACTOR: u32 = 5;
/// Least time for a call: a sound server may be silent for a second or so.
const MIN_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its deadline a finished job is kept if its results are not reported as used.
const DELIVERED_RETENTION: Duration = Duration::from_secs(1);

/// Sort key of a piece. It changes when its job becomes late.
fn queue_key(state: &JobState, stage: usize, piece: usize) -> QueueKey {
    (
        state.precedence(),
        state.urgency(stage),
        state.sequence,
        stage,
        piece,
    )
}

/// What the server is sent for a piece.
fn call_piece(state: &JobState, stage: usize, piece: usize, now: Instant) -> CallPiece {
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

fn find_server<'a>(
    pools: &'a mut HashMap<Name, Vec<ServerState>>,
    pool: &Name,
    server: &Name,
) -> Option<&'a mut ServerState> {
    pools
        .get_mut(pool)?
        .iter_mut()
        .find(|known| known.id == *server)
}

/// Queues a result for release on the server that stores it, if that server is still listed.
fn release_result(
    pools: &mut HashMap<Name, Vec<ServerState>>,
    pool: &Name,
    result: &PieceResult,
    now: Instant,
) {
    if let Some(server) = find_server(pools, pool, &result.server) {
        server.release(&result.handle, now);
    }
}

/// Least times until the end of the request from the start and from the end of each stage: the longest
/// chain of calls, plus the run time of the request itself.
fn remaining_times(
    job: &Job,
    classes: &[usize],
    piece_times: &PieceTimes,
    pools: &HashMap<Name, Vec<ServerState>>,
) -> Vec<(Duration, Duration)> {
    let mut remaining_times = vec![(Duration::ZERO, Duration::ZERO); job.stages.len()];
    for stage_index in (0..job.stages.len()).rev() {
        let stage = &job.stages[stage_index];
        let own = pools
            .get(&stage.pool)
            .and_then(|servers| servers.first())
            .map_or(Duration::ZERO, |server| {
                let pieces = stage.pieces.min(server.spec.max_batch);
                let factor = piece_times.factor(classes[stage_index]);
                server.expected_call_time(f64::from(pieces) * factor)
            });
        let own = if stage.pieces == 0 {
            Duration::ZERO
        } else {
            own
        };
        let next = job.stages[stage_index + 1..]
            .iter()
            .zip(&remaining_times[stage_index + 1..])
            .filter(|(other, _)| other.depends_on.contains(&stage_index))
            .map(|(_, (remaining, _))| *remaining)
            .max()
            .unwrap_or(job.run_time);
        remaining_times[stage_index] = (own + next, next);
    }
    remaining_times
}
