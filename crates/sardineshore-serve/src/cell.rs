//! The cells that this instance owns: a scheduler for each, whose batch calls it makes.
//!
//! A cell is a group of servers that run stages. Its owner, one instance at a time, forms the
//! batches for the requests of all instances, which submit jobs through [`crate::stages`].

mod calls;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use calls::{call_batch, query_free_memory, release_results};
use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, RefusalReason, SchedulerConfig,
    StageResults, StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::cells::{GLOBAL_CELL, domain_cells};
use sardineshore_core::flow::config::{BatchSpec, ConfigIndex, Name, PoolKind};
use sardineshore_core::flow::selection::ServerSelector;
use sardineshore_core::flow::zones::{DemandMeter, PoolFigures};
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::notices::NoticeReader;
use crate::state::{SharedState, elapsed_ms};
use crate::upstream::ConnectionPool;
use crate::zones::ZoneExchange;

/// Longest time between two polls of a scheduler with jobs, which finds calls that take too long.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time for a server to report its free memory.
const FREE_MEMORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a cell that was handed over accepts no jobs here.
const HANDOVER_PAUSE: Duration = Duration::from_millis(1500);
/// Most combinations of route, customer and reason in a line about refusals.
const MAX_LOGGED_REFUSALS: usize = 8;
/// How often the owner of a cell measures its figures.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// Time since the last submission after which an instance may not own a cell any more.
const OWNED_FOR: Duration = Duration::from_secs(2);
/// How often the load of a cell with jobs is logged, and its refusals.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Results of the stages that a request needs as its inputs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestInputs {
    /// Handles under which servers keep the results.
    pub handles: Vec<Name>,
    /// Their size in bytes, by the failure domain in which they are kept.
    pub bytes_by_domain: Vec<(Name, u64)>,
    /// Time that the cell needs for the work it has.
    pub backlog: Duration,
}

/// Outcome of a job for the request that waits for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// All stages finished.
    Finished(RequestInputs),
    /// Accepted but can't be completed.
    Aborted {
        /// Time after which the request may be tried again.
        retry_after: Duration,
        /// Why it can't be completed.
        reason: RefusalReason,
    },
    /// Not accepted: try again later or in another cell.
    Refused {
        /// Time after which the request may be tried again.
        retry_after: Duration,
        /// Time that the cell needs for the work it has.
        backlog: Duration,
        /// Why it was not accepted.
        reason: RefusalReason,
    },
    /// This instance is not, or no longer, the owner: submit the job to another one.
    Redirected {
        /// Whether this owner had accepted the job.
        accepted: bool,
    },
    /// The cell's failure domain is evacuated: submit the job to another cell.
    Withdrawn {
        /// Whether this owner had accepted the job.
        accepted: bool,
    },
}

/// Event of a job for the request that waits for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// A stage finished.
    StageFinished(StageResults),
    /// The job ended; this is its last event.
    Ended(JobOutcome),
}

/// Receives the events of a job.
pub type JobCallback = Box<dyn Fn(JobEvent)>;

/// One submission of a job. The job may be submitted again under its id, over another link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionId(u64);

/// The latest submission of a job that the scheduler accepted.
struct Submission {
    id: SubmissionId,
    /// `None` once the job has ended.
    callback: Option<JobCallback>,
}

/// What the runners of all cells share.
#[derive(Debug)]
struct Shared {
    dialect: Rc<dyn Dialect>,
    connections: Rc<ConnectionPool>,
    notices: Rc<NoticeReader>,
    state: Rc<SharedState>,
    zones: Rc<ZoneExchange>,
    metrics: Rc<Metrics>,
    log: Logger,
    /// Pieces per second that all servers of a pool can do nominally.
    nominal_rates: RefCell<BTreeMap<Name, f64>>,
}

/// One cell with its scheduler.
struct CellRunner {
    cell: Name,
    sched: RefCell<BatchScheduler>,
    /// Until they are released, by the id of the request.
    submissions: RefCell<HashMap<Name, Submission>>,
    wake: Notify,
    handed_over_at: Cell<Option<Instant>>,
    /// Whether the cell's failure domain is evacuated.
    is_withdrawn: Cell<bool>,
    demand: RefCell<DemandMeter>,
    submitted_at: Cell<Instant>,
    measured_at: Cell<Instant>,
    shared: Rc<Shared>,
}

/// The cells that this instance owns, which are those for which it got jobs.
pub struct OwnedCells {
    shared: Rc<Shared>,
    runners: RefCell<HashMap<Name, Rc<CellRunner>>>,
    servers: RefCell<HashMap<Name, Vec<BatchServer>>>,
    names: RefCell<Vec<Name>>,
    /// Evacuated failure domains to which nothing may be sent any more.
    evacuated: RefCell<Vec<Name>>,
    next_submission: Cell<u64>,
    closing: Cell<bool>,
}

impl std::fmt::Debug for OwnedCells {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OwnedCells").finish_non_exhaustive()
    }
}

impl OwnedCells {
    /// No cells until servers are set.
    #[must_use]
    pub fn new(
        dialect: Rc<dyn Dialect>,
        connections: Rc<ConnectionPool>,
        notices: Rc<NoticeReader>,
        zones: Rc<ZoneExchange>,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Self {
        let shared = Shared {
            dialect,
            connections,
            state: notices.state().clone(),
            notices,
            zones,
            metrics,
            log,
            nominal_rates: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
            runners: RefCell::default(),
            servers: RefCell::default(),
            names: RefCell::default(),
            evacuated: RefCell::default(),
            next_submission: Cell::new(0),
            closing: Cell::new(false),
        }
    }

    /// What is known of the load of all cells.
    #[must_use]
    pub fn zones(&self) -> &Rc<ZoneExchange> {
        &self.shared.zones
    }

    /// Names of the cells that hold the servers of one failure domain each, for a job; empty if one cell holds
    /// all servers. While a failure domain is evacuated or returns to service, its cell is
    /// among them for a share of the jobs, chosen by the hash of `hash_key`, so that its work moves gradually.
    #[must_use]
    pub fn cells_for(&self, hash_key: &str) -> Vec<Name> {
        let names = self.names.borrow();
        let selector = self.shared.state.selector.borrow();
        let (evacuations, now) = (selector.evacuations(), Instant::now());
        if evacuations.is_empty() {
            return names.clone();
        }
        let is_admitted = |domain: &&Name| {
            let hash = xxh3_64(format!("{hash_key}/{domain}").as_bytes());
            let share = (hash >> 11) as f64 / (1_u64 << 53) as f64;
            evacuations.access(domain, share, now)
        };
        let admitted: Vec<Name> = names.iter().filter(is_admitted).cloned().collect();
        if admitted.is_empty() {
            names.clone()
        } else {
            admitted
        }
    }

    /// Divides the servers of all pools that run stages into cells. The cells of closed failure domains
    /// are withdrawn; their servers are in all cells, as jobs may use the results that they keep.
    pub fn set_servers(&self, selector: &ServerSelector, config: &ConfigIndex) {
        let mut all = Vec::new();
        let mut pools: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        let mut nominal_rates: BTreeMap<Name, f64> = BTreeMap::new();
        let now = Instant::now();
        let evacuated: Vec<Name> = selector.evacuations().closed(now).cloned().collect();
        for server in selector.servers() {
            let Some(pool) = config.pool(&server.pool) else {
                continue;
            };
            if let PoolKind::Batch(spec) = &pool.kind {
                if server.ready && !evacuated.contains(&server.domain) {
                    let domains = pools.entry(server.pool.clone()).or_default();
                    domains.push(server.domain.clone());
                    let rate = nominal_rates.entry(server.pool.clone()).or_default();
                    *rate += nominal_rate(spec);
                }
                all.push(BatchServer {
                    id: server.id.clone(),
                    pool: server.pool.clone(),
                    address: server.address,
                    domain: server.domain.clone(),
                    spec: spec.clone(),
                    ready: server.ready,
                    paused_until: selector.paused_until(server, now),
                });
            }
        }
        let names = domain_cells(&pools);
        let mut cells: HashMap<Name, Vec<BatchServer>> = HashMap::new();
        for server in &all {
            let servers = cells.entry(server.domain.clone()).or_default();
            servers.push(server.clone());
        }
        for server in all.iter().filter(|s| evacuated.contains(&s.domain)) {
            let others = cells.iter_mut().filter(|(cell, _)| **cell != server.domain);
            others.for_each(|(_, servers)| servers.push(server.clone()));
        }
        cells.insert(GLOBAL_CELL.into(), all);
        for (cell, runner) in self.runners.borrow().iter() {
            let servers = cells.get(cell).cloned().unwrap_or_default();
            let mut sched = runner.sched.borrow_mut();
            sched.set_servers(servers, now);
            sched.set_evacuated(&evacuated, now);
            drop(sched);
            runner.set_withdrawn(evacuated.contains(cell), self.closing.get(), now);
            runner.wake.notify_one();
        }
        *self.evacuated.borrow_mut() = evacuated;
        *self.shared.nominal_rates.borrow_mut() = nominal_rates;
        *self.servers.borrow_mut() = cells;
        *self.names.borrow_mut() = names;
    }

    /// Refuses new jobs and hands over the others, as the instance shuts down.
    pub fn close(&self) {
        self.closing.set(true);
        for runner in self.runners.borrow().values() {
            runner.sched.borrow_mut().begin_handover();
            runner.wake.notify_one();
        }
    }

    /// Releases results whose owner is lost, except at servers that want or may get no requests.
    pub fn release_results(&self, results: Vec<StoredResult>) {
        let now = Instant::now();
        let mut by_server: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for result in results {
            by_server
                .entry(result.server)
                .or_default()
                .push(result.handle);
        }
        let servers = self.servers.borrow();
        let all = servers
            .get(GLOBAL_CELL)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for (id, handles) in by_server {
            let server = all.iter().find(|server| server.id == id);
            let is_paused = |server: &&BatchServer| server.paused_until.is_some_and(|at| at > now);
            let is_open = |server: &&BatchServer| self.shared.may_send(&server.id);
            if let Some(server) = server.filter(|s| !is_paused(s) && is_open(s)) {
                let (shared, address) = (self.shared.clone(), server.address);
                tokio::task::spawn_local(async move {
                    release_results(&shared, &id, address, &handles).await;
                });
            }
        }
    }

    /// Cells with jobs.
    #[must_use]
    pub fn cells_with_jobs(&self) -> Vec<Name> {
        let runners = self.runners.borrow();
        let busy = runners
            .values()
            .filter(|runner| !runner.is_handed_over() && runner.sched.borrow().job_count() > 0);
        busy.map(|runner| runner.cell.clone()).collect()
    }

    /// Hands a cell over, as an instance that ranks before this one is reachable again.
    pub fn hand_over(&self, cell: &Name) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            info!(self.shared.log, "cell handed over"; "cell" => &**cell);
            runner.handed_over_at.set(Some(Instant::now()));
            runner.sched.borrow_mut().begin_handover();
            runner.wake.notify_one();
        }
    }

    /// Accepts jobs again for cells that were handed over: their next owner may be lost.
    pub fn take_back(&self) {
        for runner in self.runners.borrow().values() {
            runner.handed_over_at.set(None);
        }
    }

    /// Submits a job to a cell; `callback` gets its events. The submission has to be released. `home`
    /// is the request's home cell, or `None` if another cell refused the job.
    pub fn submit(
        &self,
        cell: &Name,
        home: Option<&Name>,
        job: Job,
        callback: JobCallback,
    ) -> SubmissionId {
        let submission = SubmissionId(self.next_submission.get());
        self.next_submission.set(submission.0 + 1);
        if !self.closing.get() && self.evacuated.borrow().contains(cell) {
            callback(JobEvent::Ended(JobOutcome::Withdrawn { accepted: false }));
            return submission;
        }
        if self.closing.get() || !self.servers.borrow().contains_key(cell) {
            callback(JobEvent::Ended(JobOutcome::Redirected { accepted: false }));
            return submission;
        }
        let runner = self.runner(cell);
        if runner.is_handed_over() {
            callback(JobEvent::Ended(JobOutcome::Redirected { accepted: false }));
            return submission;
        }
        runner.sched.borrow_mut().cancel_handover(Instant::now());
        let pieces = runner.record_demand(home, &job);
        let id = job.id.clone();
        let submitted = runner.sched.borrow_mut().submit(job, Instant::now());
        debug!(self.shared.log, "job"; "request" => &*id, "cell" => &**cell, "verdict" => ?submitted);
        match submitted {
            SubmitOutcome::Refused {
                retry_after,
                reason,
            } => {
                runner.record_refused(&pieces);
                let backlog = runner.sched.borrow().backlog(Instant::now());
                let outcome = JobOutcome::Refused {
                    retry_after,
                    backlog,
                    reason,
                };
                callback(JobEvent::Ended(outcome));
            }
            SubmitOutcome::Accepted { .. } => {
                let accepted = Submission {
                    id: submission,
                    callback: Some(callback),
                };
                runner.submissions.borrow_mut().insert(id, accepted);
                runner.wake.notify_one();
            }
        }
        submission
    }

    /// Forgets a job: its results were used, or no request waits for it any more. Does nothing if it
    /// was submitted again since.
    pub fn release(&self, cell: &Name, request: &str, submission: SubmissionId) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            let mut submissions = runner.submissions.borrow_mut();
            if submissions
                .get(request)
                .is_some_and(|latest| latest.id == submission)
            {
                submissions.remove(request);
                runner.sched.borrow_mut().cancel(request, Instant::now());
            }
        }
    }

    /// Runner of a cell, started if there is none.
    fn runner(&self, cell: &Name) -> Rc<CellRunner> {
        let mut runners = self.runners.borrow_mut();
        let runner = runners.entry(cell.clone()).or_insert_with(|| {
            info!(self.shared.log, "owner of a cell"; "cell" => &**cell);
            let mut sched = BatchScheduler::new(SchedulerConfig::default());
            let servers = self.servers.borrow().get(cell).cloned().unwrap_or_default();
            sched.set_servers(servers, Instant::now());
            sched.set_evacuated(&self.evacuated.borrow(), Instant::now());
            sched.query_free_memory(Instant::now());
            let runner = Rc::new(CellRunner {
                cell: cell.clone(),
                sched: RefCell::new(sched),
                submissions: RefCell::default(),
                wake: Notify::new(),
                handed_over_at: Cell::new(None),
                is_withdrawn: Cell::new(false),
                demand: RefCell::new(DemandMeter::new(Instant::now())),
                submitted_at: Cell::new(Instant::now()),
                measured_at: Cell::new(Instant::now()),
                shared: self.shared.clone(),
            });
            tokio::task::spawn_local(run_cell(runner.clone()));
            runner
        });
        runner.clone()
    }
}

impl Shared {
    /// Whether requests may be sent to a server: its failure domain is not closed.
    fn may_send(&self, server: &Name) -> bool {
        let selector = self.state.selector.borrow();
        let domain = selector.domain_of(server);
        domain.is_none_or(|domain| !selector.evacuations().is_closed(domain, Instant::now()))
    }
}

/// Pieces per second that a server can do with full batches, if it is as fast as its pool's usual one.
fn nominal_rate(spec: &BatchSpec) -> f64 {
    let call = spec.call_overhead + spec.time_per_piece * spec.max_batch;
    f64::from(spec.max_batch) / call.as_secs_f64().max(0.001)
}

impl CellRunner {
    /// Counts the pieces of a job that was submitted, whether it is accepted or not, and returns their
    /// numbers by pool.
    fn record_demand(&self, home: Option<&Name>, job: &Job) -> Vec<(Name, u32)> {
        let now = Instant::now();
        self.submitted_at.set(now);
        let Some(home) = home.filter(|_| *self.cell != *GLOBAL_CELL && job.is_valid()) else {
            return Vec::new();
        };
        let stages = job.stages.iter().enumerate();
        let pieces: Vec<(Name, u32)> = stages
            .map(|(stage, spec)| (spec.pool.clone(), job.pieces_left(stage)))
            .filter(|(_, pieces)| *pieces > 0)
            .collect();
        let mut demand = self.demand.borrow_mut();
        for (pool, pieces) in &pieces {
            demand.record(home, pool, *pieces, now);
        }
        pieces
    }

    /// Counts that pieces which were counted before are not computed.
    fn record_refused(&self, pieces: &[(Name, u32)]) {
        let mut demand = self.demand.borrow_mut();
        for (pool, pieces) in pieces {
            demand.record_refused(pool, *pieces, Instant::now());
        }
    }

    /// Measures the figures of the cell if they are due, unless another instance may own it.
    fn measure(&self, now: Instant) {
        let is_owner = self.submitted_at.get().elapsed() < OWNED_FOR && !self.is_handed_over();
        let is_due = now.duration_since(self.measured_at.get()) >= MEASURE_INTERVAL;
        if !is_owner || !is_due || *self.cell == *GLOBAL_CELL {
            return;
        }
        self.measured_at.set(now);
        let loads = self.sched.borrow().loads(now);
        let nominal_rates = self.shared.nominal_rates.borrow();
        let pools = loads.iter().filter_map(|(pool, load)| {
            let figures = PoolFigures {
                queue: load.queue_time().min(load.backlog()),
                rate: load.rate,
                nominal: *nominal_rates.get(pool)?,
            };
            Some((pool, figures))
        });
        let figures = self.demand.borrow().figures(&self.cell, pools, now);
        if let Some(figures) = figures {
            self.shared.zones.record_own(figures);
        }
    }

    fn report_stage(&self, request: &Name, results: StageResults) {
        let submissions = self.submissions.borrow();
        let submission = submissions.get(request);
        if let Some(callback) = submission.and_then(|latest| latest.callback.as_ref()) {
            callback(JobEvent::StageFinished(results));
        }
    }

    fn finish(&self, request: &Name, outcome: JobOutcome) {
        let mut submissions = self.submissions.borrow_mut();
        let callback = submissions
            .get_mut(request)
            .and_then(|submission| submission.callback.take());
        drop(submissions);
        if let Some(callback) = callback {
            callback(JobEvent::Ended(outcome));
        }
    }

    /// Withdraws the cell, so that its jobs go on in others, or returns it to service.
    fn set_withdrawn(&self, is_withdrawn: bool, is_closing: bool, now: Instant) {
        if self.is_withdrawn.replace(is_withdrawn) == is_withdrawn {
            return;
        }
        let mut sched = self.sched.borrow_mut();
        info!(self.shared.log, "cell of an evacuated failure domain"; "cell" => &*self.cell, "withdrawn" => is_withdrawn, "jobs" => sched.job_count());
        if is_withdrawn {
            sched.begin_handover();
        } else if !is_closing {
            sched.cancel_handover(now);
        }
    }

    /// Whether the cell was handed over less than [`HANDOVER_PAUSE`] ago.
    fn is_handed_over(&self) -> bool {
        let at = self.handed_over_at.get();
        at.is_some_and(|at| at.elapsed() < HANDOVER_PAUSE)
    }
}

/// Runs a cell forever: polls its scheduler and performs the actions.
async fn run_cell(runner: Rc<CellRunner>) {
    let mut logged_at = Instant::now();
    let mut refusals_logged_at = logged_at;
    loop {
        let actions = runner.sched.borrow_mut().poll(Instant::now());
        for action in actions {
            perform(&runner, action);
        }
        if refusals_logged_at.elapsed() > LOAD_LOG_INTERVAL {
            refusals_logged_at = Instant::now();
            log_refusals(&runner);
        }
        runner.measure(Instant::now());
        let busy = runner.sched.borrow().job_count() > 0;
        if busy && logged_at.elapsed() > LOAD_LOG_INTERVAL {
            logged_at = Instant::now();
            let loads = runner.sched.borrow().loads(logged_at);
            let jobs = runner.sched.borrow().job_count();
            let text = format!("{loads:?}");
            debug!(runner.shared.log, "cell"; "cell" => &*runner.cell, "jobs" => jobs, "loads" => text);
        }
        if busy {
            let _ticked = tokio::time::timeout(BUSY_POLL_INTERVAL, runner.wake.notified()).await;
        } else {
            let _woken = tokio::time::timeout(IDLE_POLL_INTERVAL, runner.wake.notified()).await;
        }
    }
}

/// Logs which customers' requests were refused most often since the last time, and why.
fn log_refusals(runner: &CellRunner) {
    let refusals = runner.sched.borrow_mut().take_refusals();
    if refusals.is_empty() {
        return;
    }
    let total: u32 = refusals.iter().map(|refusal| refusal.count).sum();
    let most: Vec<String> = refusals
        .iter()
        .take(MAX_LOGGED_REFUSALS)
        .map(|r| {
            format!(
                "{} {} {}: {}",
                r.route,
                r.customer,
                r.reason.as_str(),
                r.count
            )
        })
        .collect();
    info!(runner.shared.log, "stages refused"; "cell" => &*runner.cell, "requests" => total, "most" => most.join(", "));
}

/// Longest time between two polls of a scheduler without jobs, which releases results.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Logs the end of a batch call; at debug level if it brought all results.
fn log_call(
    shared: &Shared,
    server: &Name,
    label: &str,
    pieces: usize,
    outcome: &CallOutcome,
    ms: u64,
) {
    let failed = match outcome {
        CallOutcome::Answered(results) => results.iter().filter(|r| r.is_err()).count(),
        CallOutcome::Rejected | CallOutcome::Broken | CallOutcome::TimedOut => pieces,
    };
    if failed > 0 {
        info!(shared.log, "call for pieces"; "server" => &**server, "end" => label, "pieces" => pieces, "failed" => failed, "ms" => ms);
    } else {
        debug!(shared.log, "call for pieces"; "server" => &**server, "end" => label, "pieces" => pieces, "ms" => ms);
    }
}

fn perform(runner: &Rc<CellRunner>, action: Action) {
    match action {
        Action::Call {
            call_id,
            server,
            address,
            pieces,
            timeout,
        } => {
            let runner = runner.clone();
            tokio::task::spawn_local(async move {
                let started = Instant::now();
                let batch_call = call_batch(&runner.shared, &server, address, &pieces);
                let called = tokio::time::timeout(timeout, batch_call).await;
                let (outcome, limit) = called.unwrap_or((CallOutcome::TimedOut, None));
                let label = match &outcome {
                    CallOutcome::Answered(_) => "answered",
                    CallOutcome::Rejected => "rejected",
                    CallOutcome::Broken => "broken",
                    CallOutcome::TimedOut => "timed out",
                };
                let shared = &runner.shared;
                shared.metrics.piece_calls.with_label_values(&[label]).inc();
                shared
                    .metrics
                    .pieces
                    .with_label_values(&[&*runner.cell])
                    .inc_by(pieces.len() as u64);
                log_call(
                    shared,
                    &server,
                    label,
                    pieces.len(),
                    &outcome,
                    elapsed_ms(started),
                );
                let now = Instant::now();
                let mut sched = runner.sched.borrow_mut();
                if let Some(limit) = limit {
                    sched.set_rate_limit(&server, limit, now);
                }
                sched.call_ended(call_id, &outcome, now);
                drop(sched);
                runner.wake.notify_one();
            });
        }
        Action::StageEnded { request, results } => runner.report_stage(&request, results),
        Action::Finished {
            request,
            inputs: handles,
            bytes_by_domain,
        } => {
            let backlog = runner.sched.borrow().backlog(Instant::now());
            let inputs = RequestInputs {
                handles,
                bytes_by_domain,
                backlog,
            };
            runner.finish(&request, JobOutcome::Finished(inputs));
        }
        Action::HandedOver { request } => {
            let outcome = if runner.is_withdrawn.get() {
                JobOutcome::Withdrawn { accepted: true }
            } else {
                JobOutcome::Redirected { accepted: true }
            };
            runner.finish(&request, outcome);
        }
        Action::GivenUp {
            request,
            retry_after,
            reason,
        } => {
            let outcome = JobOutcome::Aborted {
                retry_after,
                reason,
            };
            runner.finish(&request, outcome);
        }
        Action::ReleaseResults {
            server,
            address,
            handles,
        } => {
            let runner = runner.clone();
            tokio::task::spawn_local(async move {
                let releasing = release_results(&runner.shared, &server, address, &handles);
                let timed_out = releasing.await;
                let mut sched = runner.sched.borrow_mut();
                sched.release_ended(&server, &handles, timed_out, Instant::now());
            });
        }
        Action::QueryFreeMemory { server, address } => {
            tokio::task::spawn_local(update_free_memory(runner.clone(), server, address));
        }
    }
}

/// Asks a server for its free memory and reports it to the scheduler.
async fn update_free_memory(runner: Rc<CellRunner>, server: Name, address: SocketAddr) {
    let shared = &runner.shared;
    let query = query_free_memory(shared, &server, address);
    match tokio::time::timeout(FREE_MEMORY_TIMEOUT, query).await {
        Ok(Ok(mem)) => {
            debug!(shared.log, "room left"; "server" => &*server, "bytes" => mem.min_bytes);
            let now = Instant::now();
            runner.sched.borrow_mut().set_free_memory(&server, mem, now);
            runner.wake.notify_one();
        }
        // Calls to the server show whether its memory is full.
        Ok(Err(error)) => {
            info!(shared.log, "room unknown"; "server" => &*server, "fault" => format!("{error:#}"));
        }
        Err(_) => {
            info!(shared.log, "room unknown"; "server" => &*server, "fault" => "no response in time");
        }
    }
}
