//! The owner of batch servers: queues pieces of many requests, forms batches, places them.
//!
//! A call costs the same time whatever it holds, so pieces of all requests meet in one queue a
//! pool and a free server takes the most urgent ones that fit. Jobs that can be in time go before
//! jobs that can't; a job that can't end before its deadline is refused at once.

mod bench;
pub mod forecast;
mod job;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slab::Slab;

use bench::Bench;
use forecast::{Forecast, PoolLoad, forecast, rank_index};
pub use job::{Job, JobStep, KeptResult, StepResults};
use job::{JobState, Made, Progress, StepState};

use super::site::{BatchSpec, Name};

/// How work waits and is turned away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoardConfig {
    /// Part of its aim that a job's forecast may take; forecasts are short of what comes between.
    pub aim_part: f64,
    /// Part of the time left that a late job's forecast may take.
    pub late_part: f64,
    /// A call that takes so many times its expected time is repeated elsewhere.
    pub suspect_factor: f64,
    /// Time beyond that, for links and queues.
    pub suspect_slack: Duration,
    /// Longest time for which released results wait to be told to their keeper.
    pub free_delay: Duration,
    /// Most times that a job's lost results are made again.
    pub rebuilds: u32,
    /// Late jobs begin while each of their pools needs less than this for what has begun.
    pub spare_backlog: Duration,
    /// Part of its slack for which a piece waits for a server in its own failure domain.
    pub domain_part: f64,
    /// Slack that is kept for other waits.
    pub domain_reserve: Duration,
    /// Longest such wait.
    pub domain_wait: Duration,
    /// A stage whose results only the request needs starts so long before it has to.
    pub early: Duration,
}

impl Default for BoardConfig {
    fn default() -> Self {
        Self {
            aim_part: 0.72,
            late_part: 0.25,
            suspect_factor: 1.6,
            suspect_slack: Duration::from_millis(120),
            free_delay: Duration::from_millis(120),
            rebuilds: 3,
            spare_backlog: Duration::from_millis(150),
            domain_part: 0.5,
            domain_reserve: Duration::from_millis(200),
            domain_wait: Duration::from_millis(150),
            early: Duration::from_millis(250),
        }
    }
}

impl BoardConfig {
    /// Whether a piece still waits for a server in its own failure domain.
    fn waits_for_domain(&self, state: &JobState, step: usize, now: Instant) -> bool {
        let Some(since) = state.steps[step].queued_at else {
            return false;
        };
        let slack = state
            .urgency(step)
            .saturating_duration_since(since + self.domain_reserve);
        let wait = slack.mul_f64(self.domain_part).min(self.domain_wait);
        now < since + wait
    }
}

/// A server of a batch pool.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchServer {
    /// Id of the server's incarnation.
    pub id: Name,
    /// Pool that it serves.
    pub pool: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Figures of its pool.
    pub spec: BatchSpec,
    /// Whether it takes new work.
    pub ready: bool,
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceAsk {
    /// Id of the request.
    pub request: Name,
    /// Stage.
    pub step: usize,
    /// Number of the piece.
    pub piece: usize,
    /// Time left for the request.
    pub left: Duration,
    /// Where its input comes from.
    pub source: PieceSource,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceSource {
    /// The request's own key.
    Key(Name),
    /// Results of earlier stages.
    Results(Vec<Name>),
}

/// Why a server did not make a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceFault {
    /// The time left had run out.
    Late,
    /// An input no longer exists.
    InputGone,
    /// No memory for the result.
    NoRoom,
    /// Anything else.
    Failed,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// An end for every piece, in the order of the call.
    Answered(Vec<Result<Name, PieceFault>>),
    /// The server did not take the call and says so.
    Rejected,
    /// No usable answer: the server may be gone with all it kept.
    Broken,
}

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a call to a server.
    Call {
        /// Number of the call.
        call: u64,
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Pieces.
        pieces: Vec<PieceAsk>,
        /// Time after which the call is given up.
        patience: Duration,
    },
    /// All stages of a job ended; these are the inputs of the request.
    Finished {
        /// Id of the request.
        request: Name,
        /// Names of the results.
        inputs: Vec<Name>,
        /// Their bytes by the failure domain that they lie in.
        domains: Vec<(Name, u64)>,
    },
    /// A stage of a job ended; a later owner can go on from there.
    StageEnded {
        /// Id of the request.
        request: Name,
        /// Its results.
        made: StepResults,
    },
    /// A job goes on at another owner.
    HandedOver {
        /// Id of the request.
        request: Name,
    },
    /// A job can't end in time.
    GivenUp {
        /// Id of the request.
        request: Name,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tell a server that results are not needed any more.
    Free {
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Names of the results.
        handles: Vec<Name>,
    },
}

/// Answer to a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Taken on; the forecast says whether it is expected within its aim.
    Accepted {
        /// Expected to be later than its aim.
        late: bool,
    },
    /// Can't be served; nothing of it has run.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Place in a pool's queue: late jobs last, then by urgency, then in order of arrival.
type Place = (bool, Instant, u64, usize, usize);

/// A piece in a call; the sequence tells jobs apart that used the same index.
#[derive(Debug, Clone, Copy)]
struct FlownPiece {
    index: usize,
    sequence: u64,
    step: usize,
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
pub struct PieceBoard {
    config: BoardConfig,
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
    out: Vec<Action>,
}

impl PieceBoard {
    /// A board without jobs and servers.
    #[must_use]
    pub fn new(config: BoardConfig) -> Self {
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
    pub fn submit(&mut self, job: Job, now: Instant) -> Verdict {
        if !job.is_sound() {
            return Verdict::Refused {
                retry_after: job.time_left / 3,
            };
        }
        self.cancel(&job.id.clone(), now);
        let Some(forecast) = forecast(&job, &self.loads(now)) else {
            return Verdict::Refused {
                retry_after: NO_SERVER_RETRY.min(job.time_left / 3),
            };
        };
        let late = forecast.urgent > job.aim_left.mul_f64(self.config.aim_part);
        let hopeless = forecast.behind_all > job.time_left.mul_f64(self.config.late_part);
        if late && (hopeless || !job.late_allowed) {
            let retry_after = self.retry_after(&job, forecast);
            return Verdict::Refused { retry_after };
        }
        self.take_on(job, late, now);
        Verdict::Accepted { late }
    }

    /// Forgets a job: nobody waits for it any more, or its results were used.
    pub fn cancel(&mut self, request: &str, now: Instant) {
        let Some(index) = self.by_id.remove(request) else {
            return;
        };
        let state = self.jobs.remove(index);
        self.unqueue(&state);
        for (number, step) in state.steps.iter().enumerate() {
            let pool = &state.job.steps[number].pool;
            for progress in &step.pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, pool, made, now);
                }
            }
        }
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self, call: u64, end: &CallEnd, now: Instant) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        let mut broken = false;
        let bench = find(&mut self.benches, &flight.pool, &flight.server);
        if let Some(bench) = bench {
            bench.calls = bench.calls.saturating_sub(1);
            bench.promised = bench.promised.saturating_sub(flight.bytes);
            match end {
                CallEnd::Answered(_) => {
                    let pieces = u32::try_from(flight.pieces.len()).unwrap_or(u32::MAX);
                    bench.succeeded(now.duration_since(flight.started), pieces);
                }
                CallEnd::Rejected => bench.rests_until = Some(now + REJECTED_REST),
                CallEnd::Broken => {
                    bench.failed(now);
                    broken = true;
                }
            }
        }
        for (position, piece) in flight.pieces.iter().enumerate() {
            let result = match end {
                CallEnd::Answered(ends) => ends.get(position).cloned(),
                CallEnd::Rejected | CallEnd::Broken => None,
            };
            self.piece_ended(&flight, *piece, result, now);
        }
        if broken {
            self.remake_results_of(&flight.server, now);
        }
    }

    /// Starts all calls that can start and returns what to do.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.suspect_slow_calls(now);
        self.give_up_hopeless(now);
        self.start_deferred(now);
        self.begin_parked(now);
        if self.closing {
            self.hand_over();
        } else {
            let pools: Vec<Name> = self.queues.keys().cloned().collect();
            for pool in pools {
                while self.start_call(&pool, now) {}
            }
        }
        self.flush_freed(now);
        std::mem::take(&mut self.out)
    }

    /// Starts or ends the hand-over to another owner: no call is started, and jobs leave when
    /// their running calls have ended. Their results stay with their makers.
    pub fn set_closing(&mut self, closing: bool) {
        self.closing = closing;
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
            let request = state.job.id;
            self.out.push(Action::HandedOver { request });
        }
    }

    fn unqueue(&mut self, state: &JobState) {
        for (number, step) in state.steps.iter().enumerate() {
            let Some(queue) = self.queues.get_mut(&state.job.steps[number].pool) else {
                continue;
            };
            for (piece, progress) in step.pieces.iter().enumerate() {
                if *progress == Progress::Queued {
                    queue.remove(&place(state, number, piece));
                }
            }
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
                let full = bench.call_time(bench.spec.batch);
                let speed = bench.slowness.max(1.0);
                load.rate += f64::from(bench.spec.batch) / full.as_secs_f64().max(0.001) / speed;
                load.call = bench.call_time(bench.spec.batch.div_ceil(2));
                count += 1;
            }
            load.gap = load.call / (2 * count.max(1));
            loads.insert(pool.clone(), load);
        }
        for (_, state) in self.jobs.iter().filter(|(_, job)| !job.delivered) {
            for (step, progress) in state.job.steps.iter().zip(&state.steps) {
                let waiting = progress
                    .pieces
                    .iter()
                    .filter(|p| matches!(p, Progress::Blocked | Progress::Queued))
                    .count() as u64;
                let load = loads.entry(step.pool.clone()).or_default();
                match (state.parked, state.late) {
                    (true, _) => load.parked += waiting,
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

    fn retry_after(&self, job: &Job, forecast: Forecast) -> Duration {
        let excess = forecast.urgent.saturating_sub(job.aim_left);
        // Arrivals spread over half the wait so that those who return don't meet.
        let spread = f64::from(u32::try_from(self.next_sequence % 16).unwrap_or(0)) / 32.0;
        excess
            .mul_f64(1.0 + spread)
            .max(SHORTEST_RETRY)
            .min(job.time_left / 3)
    }

    fn take_on(&mut self, job: Job, late: bool, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let tails = tails(&job, &self.benches);
        let longest = tails.iter().max().copied().unwrap_or_default();
        let feeds = |number: usize| job.steps.iter().any(|step| step.after.contains(&number));
        let steps = job
            .steps
            .iter()
            .zip(tails)
            .enumerate()
            .map(|(number, (step, tail))| {
                let alone = step.after.is_empty() && !feeds(number);
                let spare = longest.saturating_sub(tail + self.config.early);
                StepState {
                    pieces: vec![Progress::Blocked; step.pieces as usize],
                    tail,
                    not_before: if alone { now + spare } else { now },
                    queued_at: None,
                }
            })
            .collect();
        let id = job.id.clone();
        let state = JobState {
            sequence,
            aim: now + job.aim_left,
            deadline: now + job.time_left,
            late,
            parked: late,
            steps,
            rebuilds: 0,
            delivered: false,
            job,
        };
        let index = self.jobs.insert(state);
        self.by_id.insert(id, index);
        self.take_results(index, now);
        self.advance(index, now);
    }

    /// Takes over results that an earlier owner had made, as far as their makers are known.
    fn take_results(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        for made in std::mem::take(&mut state.job.made) {
            let Some(spec) = state.job.steps.get(made.step) else {
                continue;
            };
            let Some(benches) = self.benches.get_mut(&spec.pool) else {
                continue;
            };
            let known = |result: &KeptResult| benches.iter().any(|b| b.id == result.maker);
            let whole = made.results.len() == state.steps[made.step].pieces.len();
            if !whole || !made.results.iter().all(known) {
                continue;
            }
            for (piece, result) in made.results.into_iter().enumerate() {
                let Some(bench) = benches.iter_mut().find(|b| b.id == result.maker) else {
                    continue;
                };
                let until = now + bench.spec.keep / 2;
                bench
                    .kept
                    .insert(result.handle.clone(), (spec.bytes, until));
                state.steps[made.step].pieces[piece] = Progress::Made(Made {
                    handle: result.handle,
                    maker: result.maker,
                    domain: result.domain,
                    until,
                });
            }
        }
    }

    /// Queues every blocked piece whose predecessors are finished; hands over a finished job.
    fn advance(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        if state.delivered || state.parked {
            return;
        }
        let finished: Vec<bool> = state.steps.iter().map(StepState::finished).collect();
        for number in 0..state.steps.len() {
            let step = &state.job.steps[number];
            if !step.after.iter().all(|before| finished[*before]) {
                continue;
            }
            if now < state.steps[number].not_before {
                self.deferred.push((state.steps[number].not_before, index));
                continue;
            }
            state.steps[number].queued_at.get_or_insert(now);
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] != Progress::Blocked {
                    continue;
                }
                state.steps[number].pieces[piece] = Progress::Queued;
                let place = place(state, number, piece);
                let queue = self
                    .queues
                    .entry(state.job.steps[number].pool.clone())
                    .or_default();
                queue.insert(place, index);
            }
        }
        if finished.iter().all(|finished| *finished) {
            let inputs = state.handles(state.last_steps()).unwrap_or_default();
            state.delivered = true;
            self.out.push(Action::Finished {
                request: state.job.id.clone(),
                inputs,
                domains: state.bytes_by_domain(),
            });
        }
    }

    fn piece_ended(
        &mut self,
        flight: &Flight,
        flown: FlownPiece,
        result: Option<Result<Name, PieceFault>>,
        now: Instant,
    ) {
        let FlownPiece {
            index, step, piece, ..
        } = flown;
        let wanted = self
            .jobs
            .get(index)
            .is_some_and(|state| state.sequence == flown.sequence)
            && !matches!(
                self.jobs[index].steps[step].pieces[piece],
                Progress::Made(_)
            );
        match result {
            Some(Ok(handle)) => self.keep(flight, flown, handle, wanted, now),
            Some(Err(fault)) if wanted => {
                self.uncall(index, step, piece);
                match fault {
                    PieceFault::InputGone => self.remake_inputs(index, step, now),
                    PieceFault::Late => {}
                    PieceFault::NoRoom => {
                        if let Some(b) = find(&mut self.benches, &flight.pool, &flight.server) {
                            b.found_full(now);
                        }
                    }
                    PieceFault::Failed => self.count_rebuild(index),
                }
            }
            None if wanted => self.uncall(index, step, piece),
            Some(Err(_)) | None => {}
        }
        if self.jobs.contains(index) {
            self.advance(index, now);
        }
    }

    fn keep(
        &mut self,
        flight: &Flight,
        flown: FlownPiece,
        handle: Name,
        wanted: bool,
        now: Instant,
    ) {
        let FlownPiece {
            index, step, piece, ..
        } = flown;
        let Some(bench) = find(&mut self.benches, &flight.pool, &flight.server) else {
            if wanted {
                self.uncall(index, step, piece);
            }
            return;
        };
        let until = now + bench.spec.keep;
        bench.kept.insert(handle.clone(), (flown.bytes, until));
        if !wanted {
            bench.release(&handle, now);
            return;
        }
        let made = Made {
            handle,
            maker: flight.server.clone(),
            domain: bench.domain.clone(),
            until,
        };
        let state = &mut self.jobs[index];
        if state.steps[step].pieces[piece] == Progress::Queued {
            let place = place(state, step, piece);
            if let Some(queue) = self.queues.get_mut(&flight.pool) {
                queue.remove(&place);
            }
        }
        state.steps[step].pieces[piece] = Progress::Made(made);
        if state.steps[step].finished() {
            self.out.push(Action::StageEnded {
                request: state.job.id.clone(),
                made: state.results_of(step),
            });
        }
        self.release_used_inputs(index, step, now);
    }

    /// Results that no unfinished stage and not the request itself needs are given up.
    fn release_used_inputs(&mut self, index: usize, step: usize, now: Instant) {
        let state = &self.jobs[index];
        if !state.steps[step].finished() {
            return;
        }
        for before in &state.job.steps[step].after {
            let needed = state
                .job
                .steps
                .iter()
                .zip(&state.steps)
                .any(|(other, progress)| other.after.contains(before) && !progress.finished());
            if needed {
                continue;
            }
            let pool = &state.job.steps[*before].pool;
            for progress in &state.steps[*before].pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, pool, made, now);
                }
            }
        }
    }

    /// A piece left a call without a result: it is queued again unless another call has it.
    fn uncall(&mut self, index: usize, step: usize, piece: usize) {
        let progress = &mut self.jobs[index].steps[step].pieces[piece];
        match progress {
            Progress::Called(1) => *progress = Progress::Blocked,
            Progress::Called(count) => *count -= 1,
            Progress::Blocked | Progress::Queued | Progress::Made(_) => {}
        }
    }

    fn count_rebuild(&mut self, index: usize) {
        self.jobs[index].rebuilds += 1;
    }

    /// Makes the inputs of a stage again: one of them is gone.
    fn remake_inputs(&mut self, index: usize, step: usize, now: Instant) {
        self.count_rebuild(index);
        let state = &mut self.jobs[index];
        for before in state.job.steps[step].after.clone() {
            let pool = state.job.steps[before].pool.clone();
            for progress in &mut state.steps[before].pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, &pool, made, now);
                    *progress = Progress::Blocked;
                }
            }
        }
        self.block_dependents(index);
    }

    /// Makes again what a lost server kept and somebody still needs.
    fn remake_results_of(&mut self, server: &Name, now: Instant) {
        let indexes: Vec<usize> = self.jobs.iter().map(|(index, _)| index).collect();
        for index in indexes {
            let state = &mut self.jobs[index];
            if state.delivered {
                continue;
            }
            let mut lost = false;
            for step in 0..state.steps.len() {
                let needed = !state.feeds_another(step)
                    || state
                        .job
                        .steps
                        .iter()
                        .zip(&state.steps)
                        .any(|(other, p)| other.after.contains(&step) && !p.finished());
                if !needed {
                    continue;
                }
                for progress in &mut state.steps[step].pieces {
                    if matches!(progress, Progress::Made(made) if made.maker == *server) {
                        *progress = Progress::Blocked;
                        lost = true;
                    }
                }
            }
            if lost {
                self.block_dependents(index);
                self.advance(index, now);
            }
        }
    }

    /// Queued pieces whose predecessors are no longer finished wait again.
    fn block_dependents(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let finished: Vec<bool> = state.steps.iter().map(StepState::finished).collect();
        for number in 0..state.steps.len() {
            let blocked = state.job.steps[number].after.iter().any(|b| !finished[*b]);
            if !blocked {
                continue;
            }
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] == Progress::Queued {
                    let place = place(state, number, piece);
                    if let Some(queue) = self.queues.get_mut(&state.job.steps[number].pool) {
                        queue.remove(&place);
                    }
                    state.steps[number].pieces[piece] = Progress::Blocked;
                }
            }
        }
    }

    /// Pieces of calls that take too long are queued again, for another server.
    fn suspect_slow_calls(&mut self, now: Instant) {
        let mut slow = Vec::new();
        for flight in self.flights.values_mut() {
            if flight.suspect_at.is_some_and(|at| now >= at) {
                flight.suspect_at = None;
                slow.extend(flight.pieces.iter().copied());
                if let Some(bench) = find(&mut self.benches, &flight.pool, &flight.server) {
                    bench.slowness = bench.slowness.max(self.config.suspect_factor);
                }
            }
        }
        for flown in slow {
            let FlownPiece {
                index, step, piece, ..
            } = flown;
            let Some(state) = self.jobs.get_mut(index) else {
                continue;
            };
            if state.sequence != flown.sequence {
                continue;
            }
            let progress = &mut state.steps[step].pieces[piece];
            if matches!(progress, Progress::Called(_)) {
                // Its inputs may have to be made again first.
                *progress = Progress::Blocked;
                self.advance(index, now);
            }
        }
    }

    /// Gives up jobs that can't end before their deadline, and puts late ones behind the others.
    fn give_up_hopeless(&mut self, now: Instant) {
        let mut hopeless = Vec::new();
        let mut delayed = Vec::new();
        for (index, state) in &self.jobs {
            if state.delivered {
                if now > state.deadline + DELIVERED_KEPT {
                    hopeless.push((state.job.id.clone(), None));
                }
                continue;
            }
            let rest = state
                .steps
                .iter()
                .filter(|step| !step.finished())
                .map(|step| step.tail)
                .max()
                .unwrap_or_default();
            if now + rest > state.deadline || state.rebuilds > self.config.rebuilds {
                let left = state.deadline.saturating_duration_since(now);
                hopeless.push((state.job.id.clone(), Some(left / 3)));
            } else if !state.late && now + rest > state.aim {
                delayed.push(index);
            }
        }
        for (request, retry_after) in hopeless {
            self.cancel(&request, now);
            if let Some(retry_after) = retry_after {
                self.out.push(Action::GivenUp {
                    request,
                    retry_after,
                });
            }
        }
        for index in delayed {
            self.make_late(index);
        }
    }

    /// Late jobs begin while their pools have spare capacity, the most urgent first.
    fn begin_parked(&mut self, now: Instant) {
        let mut parked: Vec<(u32, Instant, usize)> = self
            .jobs
            .iter()
            .filter(|(_, state)| state.parked)
            .map(|(index, state)| (state.job.rank, state.aim, index))
            .collect();
        if parked.is_empty() {
            return;
        }
        parked.sort_unstable();
        let mut loads = self.loads(now);
        for (_, _, index) in parked {
            let steps = &self.jobs[index].job.steps;
            let spare = steps.iter().filter(|step| step.pieces > 0).all(|step| {
                let load = loads.get(&step.pool);
                load.is_some_and(|load| load.backlog() < self.config.spare_backlog)
            });
            if !spare {
                continue;
            }
            for step in steps {
                if let Some(load) = loads.get_mut(&step.pool) {
                    load.late += u64::from(step.pieces);
                }
            }
            self.jobs[index].parked = false;
            self.advance(index, now);
        }
    }

    fn start_deferred(&mut self, now: Instant) {
        let due: Vec<usize> = self
            .deferred
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, index)| *index)
            .collect();
        if due.is_empty() {
            return;
        }
        self.deferred.retain(|(at, _)| *at > now);
        for index in due {
            if self.jobs.contains(index) {
                self.advance(index, now);
            }
        }
    }

    fn make_late(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let mut moved = Vec::new();
        for number in 0..state.steps.len() {
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] == Progress::Queued {
                    moved.push((number, piece, place(state, number, piece)));
                }
            }
        }
        state.late = true;
        for (number, piece, old) in moved {
            let new = place(&self.jobs[index], number, piece);
            let pool = &self.jobs[index].job.steps[number].pool;
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&old);
                queue.insert(new, index);
            }
        }
    }

    /// Starts one call of a pool if a server is free and pieces wait that it may take.
    fn start_call(&mut self, pool: &Name, now: Instant) -> bool {
        let Some(queue) = self.queues.get_mut(pool) else {
            return false;
        };
        if queue.is_empty() {
            return false;
        }
        let Some(benches) = self.benches.get_mut(pool) else {
            return false;
        };
        let served: HashSet<Name> = benches
            .iter()
            .filter(|bench| bench.is_usable(now))
            .map(|bench| bench.domain.clone())
            .collect();
        let mut free: Vec<&mut Bench> = benches
            .iter_mut()
            .filter(|bench| !bench.leaving && bench.is_free(now))
            .collect();
        free.sort_by(|a, b| {
            let by_failures = a.failures.cmp(&b.failures);
            by_failures.then(a.slowness.total_cmp(&b.slowness))
        });
        let mut chosen = None;
        for bench in free {
            let mut room = bench.room(now);
            let mut taken = Vec::new();
            let mut bytes = 0;
            // Own pieces first: under load a piece has waited because of the load, and results
            // that cross domains would not shorten any queue.
            for (late, foreign) in [(false, false), (false, true), (true, false), (true, true)] {
                for (place, index) in queue.iter().filter(|(place, _)| place.0 == late) {
                    if taken.len() >= bench.spec.batch.max(1) as usize {
                        break;
                    }
                    let state = &self.jobs[*index];
                    let size = state.job.steps[place.3].bytes;
                    let domain = state.domain_of(place.3);
                    let crosses = domain.is_some_and(|d| *d != bench.domain && served.contains(d));
                    let waits = crosses && self.config.waits_for_domain(state, place.3, now);
                    if crosses != foreign || waits || size > room {
                        continue;
                    }
                    room -= size;
                    bytes += size;
                    taken.push((*place, *index));
                }
            }
            if !taken.is_empty() {
                chosen = Some((bench, taken, bytes));
                break;
            }
        }
        let Some((bench, taken, bytes)) = chosen else {
            return false;
        };
        let mut pieces = Vec::with_capacity(taken.len());
        let mut flown = Vec::with_capacity(taken.len());
        for (place, index) in taken {
            queue.remove(&place);
            let (_, _, sequence, step, piece) = place;
            let state = &mut self.jobs[index];
            state.steps[step].pieces[piece] = Progress::Called(1);
            pieces.push(ask(state, step, piece, now));
            flown.push(FlownPiece {
                index,
                sequence,
                step,
                piece,
                bytes: state.job.steps[step].bytes,
            });
        }
        let expected = bench.call_time(u32::try_from(pieces.len()).unwrap_or(u32::MAX));
        let suspect = expected.mul_f64(self.config.suspect_factor) + self.config.suspect_slack;
        bench.calls += 1;
        bench.promised += bytes;
        let call = self.next_call;
        self.next_call += 1;
        self.out.push(Action::Call {
            call,
            server: bench.id.clone(),
            address: bench.address,
            pieces,
            patience: suspect * PATIENCE_FACTOR,
        });
        let flight = Flight {
            pool: pool.clone(),
            server: bench.id.clone(),
            pieces: flown,
            bytes,
            started: now,
            suspect_at: Some(now + suspect),
        };
        self.flights.insert(call, flight);
        true
    }

    fn flush_freed(&mut self, now: Instant) {
        for bench in self.benches.values_mut().flatten() {
            if bench.frees_are_due(now, self.config.free_delay) {
                self.out.push(Action::Free {
                    server: bench.id.clone(),
                    address: bench.address,
                    handles: bench.take_freed(now),
                });
            }
        }
    }
}

/// Wait that is asked for when a pool has no server.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Shortest wait that is asked for.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Pause of a server that rejected a call because it is full.
const REJECTED_REST: Duration = Duration::from_millis(60);
/// Calls are given up after so many times the time at which they are repeated elsewhere.
const PATIENCE_FACTOR: u32 = 5;
/// How long a finished job is remembered beyond its deadline if nobody says it was used.
const DELIVERED_KEPT: Duration = Duration::from_secs(1);

fn place(state: &JobState, step: usize, piece: usize) -> Place {
    (state.late, state.urgency(step), state.sequence, step, piece)
}

fn ask(state: &JobState, step: usize, piece: usize, now: Instant) -> PieceAsk {
    let spec = &state.job.steps[step];
    let source = if spec.after.is_empty() {
        PieceSource::Key(state.job.key.clone())
    } else {
        let handles = state.handles(spec.after.iter().copied());
        PieceSource::Results(handles.unwrap_or_default())
    };
    PieceAsk {
        request: state.job.id.clone(),
        step,
        piece,
        left: state.deadline.saturating_duration_since(now),
        source,
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
    let mut tails = vec![Duration::ZERO; job.steps.len()];
    for number in (0..job.steps.len()).rev() {
        let step = &job.steps[number];
        let own = benches
            .get(&step.pool)
            .and_then(|benches| benches.first())
            .map_or(Duration::ZERO, |b| {
                b.call_time(step.pieces.min(b.spec.batch))
            });
        let own = if step.pieces == 0 {
            Duration::ZERO
        } else {
            own
        };
        let next = job.steps[number + 1..]
            .iter()
            .zip(&tails[number + 1..])
            .filter(|(other, _)| other.after.contains(&number))
            .map(|(_, tail)| *tail)
            .max()
            .unwrap_or(job.run_time);
        tails[number] = own + next;
    }
    tails
}
