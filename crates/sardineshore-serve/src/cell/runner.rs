//! One cell that this instance owns: its scheduler, whose actions it performs, and the submissions of
//! its jobs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, RefusalReason, SchedulerConfig,
    StageResults, SubmitOutcome,
};
use sardineshore_core::flow::cells::GLOBAL_CELL;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::zones::{DemandMeter, PoolFigures};
use slog::{debug, error, info};
use tokio::sync::Notify;

use super::calls::{call_batch, query_free_memory, release_results};
use super::{JobCallback, JobEvent, JobOutcome, RequestInputs, Shared, SubmissionId};
use crate::containment::{Panicked, contain};
use crate::state::elapsed_ms;

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

/// The latest submission of a job that the scheduler accepted.
struct Submission {
    id: SubmissionId,
    /// `None` once the job has ended.
    callback: Option<JobCallback>,
}

/// One cell with its scheduler.
pub(super) struct CellRunner {
    cell: Name,
    sched: RefCell<BatchScheduler>,
    /// The servers that the scheduler was told of, and the evacuated failure domains.
    servers: RefCell<(Vec<BatchServer>, Vec<Name>)>,
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

impl CellRunner {
    /// Starts a cell with these servers, to those of which nothing may be sent that are in evacuated
    /// failure domains.
    pub fn start(
        cell: Name,
        servers: Vec<BatchServer>,
        evacuated: &[Name],
        shared: Rc<Shared>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let runner = Rc::new(Self {
            cell,
            sched: RefCell::new(BatchScheduler::new(SchedulerConfig::default())),
            servers: RefCell::default(),
            submissions: RefCell::default(),
            wake: Notify::new(),
            handed_over_at: Cell::new(None),
            is_withdrawn: Cell::new(false),
            demand: RefCell::new(DemandMeter::new(now)),
            submitted_at: Cell::new(now),
            measured_at: Cell::new(now),
            shared,
        });
        runner.set_servers(servers, evacuated, now);
        runner.with_sched(|sched| sched.query_free_memory(now));
        tokio::task::spawn_local(run_cell(runner.clone()));
        runner
    }

    /// Does something with the scheduler; `None` if that panics. The cell then starts anew, and its jobs
    /// are redirected: other owners may be able to complete them.
    fn with_sched<T>(&self, work: impl FnOnce(&mut BatchScheduler) -> T) -> Option<T> {
        match contain(|| work(&mut self.sched.borrow_mut())) {
            Ok(result) => Some(result),
            Err(panicked) => {
                self.start_anew(&panicked);
                None
            }
        }
    }

    /// Replaces the scheduler after a panic, and redirects its jobs.
    fn start_anew(&self, panicked: &Panicked) {
        let waiting: Vec<Name> = self.submissions.borrow().keys().cloned().collect();
        error!(self.shared.log, "panic in a cell, which starts anew"; "cell" => &*self.cell, "fault" => panicked.to_string(), "jobs" => waiting.len());
        self.shared
            .metrics
            .contained_panics
            .with_label_values(&["cell"])
            .inc();
        let mut next = self.sched.borrow().successor();
        let (servers, evacuated) = &*self.servers.borrow();
        let now = Instant::now();
        let is_ready = contain(|| {
            next.set_servers(servers.clone(), now);
            next.set_evacuated(evacuated, now);
            next.query_free_memory(now);
        });
        if is_ready.is_err() {
            // Without servers it refuses all jobs until there is another list.
            next = next.successor();
        }
        *self.sched.borrow_mut() = next;
        for request in waiting {
            self.finish(&request, JobOutcome::Redirected { accepted: true });
        }
    }

    /// Time that the cell needs for the work it has.
    fn backlog(&self) -> Duration {
        self.with_sched(|sched| sched.backlog(Instant::now()))
            .unwrap_or_default()
    }

    /// Name of the cell.
    pub fn cell(&self) -> &Name {
        &self.cell
    }

    /// Replaces the list of servers and the failure domains to whose servers nothing may be sent.
    pub fn set_servers(&self, servers: Vec<BatchServer>, evacuated: &[Name], now: Instant) {
        *self.servers.borrow_mut() = (servers.clone(), evacuated.to_vec());
        self.with_sched(|sched| {
            sched.set_servers(servers, now);
            sched.set_evacuated(evacuated, now);
        });
        self.wake.notify_one();
    }

    /// Number of jobs whose stages have not all finished.
    pub fn job_count(&self) -> usize {
        self.sched.borrow().job_count()
    }

    /// Accepts no further jobs and hands over the others.
    pub fn begin_handover(&self) {
        self.with_sched(BatchScheduler::begin_handover);
        self.wake.notify_one();
    }

    /// Hands the cell over to an instance that ranks before this one, and accepts no jobs for a while.
    pub fn hand_over(&self) {
        self.handed_over_at.set(Some(Instant::now()));
        self.begin_handover();
    }

    /// Accepts jobs again after [`Self::hand_over`].
    pub fn take_back(&self) {
        self.handed_over_at.set(None);
    }

    /// Submits a job; `callback` gets its events. See [`super::OwnedCells::submit`].
    pub fn submit(
        &self,
        submission: SubmissionId,
        home: Option<&Name>,
        job: Job,
        callback: JobCallback,
    ) {
        self.with_sched(|sched| sched.cancel_handover(Instant::now()));
        let pieces = self.record_demand(home, &job);
        let (id, deadline) = (job.id.clone(), job.time_to_deadline);
        let submitted = self.with_sched(|sched| sched.submit(job, Instant::now()));
        // No other owner is to get a job that makes the scheduler panic.
        let submitted = submitted.unwrap_or(SubmitOutcome::Refused {
            retry_after: deadline / 3,
            reason: RefusalReason::Failed,
        });
        debug!(self.shared.log, "job"; "request" => &*id, "cell" => &*self.cell, "verdict" => ?submitted);
        match submitted {
            SubmitOutcome::Refused {
                retry_after,
                reason,
            } => {
                self.record_refused(&pieces);
                let outcome = JobOutcome::Refused {
                    retry_after,
                    backlog: self.backlog(),
                    reason,
                };
                callback(JobEvent::Ended(outcome));
            }
            SubmitOutcome::Accepted { .. } => {
                let accepted = Submission {
                    id: submission,
                    callback: Some(callback),
                };
                self.submissions.borrow_mut().insert(id, accepted);
                self.wake.notify_one();
            }
        }
    }

    /// Forgets a job, unless it was submitted again since.
    pub fn release(&self, request: &str, submission: SubmissionId) {
        let mut submissions = self.submissions.borrow_mut();
        let latest = submissions.get(request);
        if latest.is_none_or(|latest| latest.id != submission) {
            return;
        }
        submissions.remove(request);
        drop(submissions);
        self.with_sched(|sched| sched.cancel(request, Instant::now()));
    }

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
        let Some(loads) = self.with_sched(|sched| sched.loads(now)) else {
            return;
        };
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
    pub fn set_withdrawn(&self, is_withdrawn: bool, is_closing: bool, now: Instant) {
        if self.is_withdrawn.replace(is_withdrawn) == is_withdrawn {
            return;
        }
        info!(self.shared.log, "cell of an evacuated failure domain"; "cell" => &*self.cell, "withdrawn" => is_withdrawn, "jobs" => self.job_count());
        if is_withdrawn {
            self.with_sched(BatchScheduler::begin_handover);
        } else if !is_closing {
            self.with_sched(|sched| sched.cancel_handover(now));
        }
    }

    /// Whether the cell was handed over less than [`HANDOVER_PAUSE`] ago.
    pub fn is_handed_over(&self) -> bool {
        let at = self.handed_over_at.get();
        at.is_some_and(|at| at.elapsed() < HANDOVER_PAUSE)
    }
}

/// Runs a cell forever: polls its scheduler and performs the actions.
async fn run_cell(runner: Rc<CellRunner>) {
    let mut logged_at = Instant::now();
    let mut refusals_logged_at = logged_at;
    loop {
        let actions = runner.with_sched(|sched| sched.poll(Instant::now()));
        for action in actions.unwrap_or_default() {
            perform(&runner, action);
        }
        if refusals_logged_at.elapsed() > LOAD_LOG_INTERVAL {
            refusals_logged_at = Instant::now();
            log_refusals(&runner);
        }
        runner.measure(Instant::now());
        let busy = runner.job_count() > 0;
        if busy && logged_at.elapsed() > LOAD_LOG_INTERVAL {
            logged_at = Instant::now();
            let loads = runner.with_sched(|sched| sched.loads(logged_at));
            let jobs = runner.job_count();
            let text = format!("{:?}", loads.unwrap_or_default());
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
                runner.with_sched(|sched| {
                    if let Some(limit) = limit {
                        sched.set_rate_limit(&server, limit, now);
                    }
                    sched.call_ended(call_id, &outcome, now);
                });
                runner.wake.notify_one();
            });
        }
        Action::StageEnded { request, results } => runner.report_stage(&request, results),
        Action::Finished {
            request,
            inputs: handles,
            bytes_by_domain,
        } => {
            let backlog = runner.backlog();
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
                runner.with_sched(|sched| {
                    sched.release_ended(&server, &handles, timed_out, Instant::now());
                });
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
            runner.with_sched(|sched| sched.set_free_memory(&server, mem, now));
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
