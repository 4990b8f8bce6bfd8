//! The owner's side of a cell: drives a piece board and makes its calls.

mod calls;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calls::{ask_room, give_up, make};
use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, SchedulerConfig, StageResults,
    StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::cells::{GLOBAL_CELL, domain_cells};
use sardineshore_core::flow::config::{ConfigIndex, Name, PoolKind};
use sardineshore_core::flow::selection::ServerSelector;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info};
use tokio::sync::Notify;

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::state::elapsed_ms;
use crate::upstream::ConnectionPool;

/// How often a board with jobs looks for calls that take too long.
const TICK: Duration = Duration::from_millis(30);
/// Longest time for the answer to a question for free memory.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a cell that was handed over takes no jobs.
const RESIGNED_FOR: Duration = Duration::from_millis(1500);
/// How often a cell's load is logged.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Results that a request needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestInputs {
    /// Names of the results.
    pub handles: Vec<Name>,
    /// Their bytes by the failure domain that they lie in.
    pub bytes_by_domain: Vec<(Name, u64)>,
    /// What the cell has to do.
    pub backlog: Duration,
}

/// How a job ended for the request that waits for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// Inputs of the request, and their bytes by the failure domain that they lie in.
    Finished(RequestInputs),
    /// Can't be served; come back later.
    Aborted(Duration),
    /// Was not taken on: come back later, or ask another cell.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// What the cell has to do.
        backlog: Duration,
    },
    /// This owner doesn't take it, or hands it over: ask another one.
    Redirected {
        /// Whether it had been taken on.
        accepted: bool,
    },
}

/// What the request that waits for a job hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// A stage ended.
    StageFinished(StageResults),
    /// The job ended; nothing follows.
    Ended(JobOutcome),
}

/// Hears of a job.
pub type JobCallback = Box<dyn Fn(JobEvent)>;

/// What the boards of all cells share.
#[derive(Debug)]
struct Tools {
    dialect: Rc<dyn Dialect>,
    connections: Rc<ConnectionPool>,
    metrics: Rc<Metrics>,
    log: Logger,
}

struct Runner {
    cell: Name,
    board: RefCell<BatchScheduler>,
    callbacks: RefCell<HashMap<Name, JobCallback>>,
    wake: Notify,
    resigned_at: Cell<Option<Instant>>,
    tools: Rc<Tools>,
}

/// All cells that this instance was asked to own.
pub struct OwnedCells {
    tools: Rc<Tools>,
    runners: RefCell<HashMap<Name, Rc<Runner>>>,
    servers: RefCell<HashMap<Name, Vec<BatchServer>>>,
    names: RefCell<Vec<Name>>,
    closed: Cell<bool>,
}

impl std::fmt::Debug for OwnedCells {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OwnedCells").finish_non_exhaustive()
    }
}

impl OwnedCells {
    /// No cells yet.
    #[must_use]
    pub fn new(
        dialect: Rc<dyn Dialect>,
        connections: Rc<ConnectionPool>,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Self {
        let tools = Tools {
            dialect,
            connections,
            metrics,
            log,
        };
        Self {
            tools: Rc::new(tools),
            runners: RefCell::default(),
            servers: RefCell::default(),
            names: RefCell::default(),
            closed: Cell::new(false),
        }
    }

    /// Names of the cells that are failure domains.
    #[must_use]
    pub fn cell_names(&self) -> Vec<Name> {
        self.names.borrow().clone()
    }

    /// Divides the servers of all batch pools into cells.
    pub fn set_servers(&self, selector: &ServerSelector, site: &ConfigIndex) {
        let mut all = Vec::new();
        let mut pools: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for server in selector.servers() {
            let Some(pool) = site.pool(&server.pool) else {
                continue;
            };
            if let PoolKind::Batch(spec) = &pool.kind {
                if server.ready {
                    let domains = pools.entry(server.pool.clone()).or_default();
                    domains.push(server.domain.clone());
                }
                all.push(BatchServer {
                    id: server.id.clone(),
                    pool: server.pool.clone(),
                    address: server.address,
                    domain: server.domain.clone(),
                    spec: spec.clone(),
                    ready: server.ready,
                });
            }
        }
        let names = domain_cells(&pools);
        let mut cells: HashMap<Name, Vec<BatchServer>> = HashMap::new();
        for server in &all {
            let servers = cells.entry(server.domain.clone()).or_default();
            servers.push(server.clone());
        }
        cells.insert(GLOBAL_CELL.into(), all);
        let now = Instant::now();
        for (cell, runner) in self.runners.borrow().iter() {
            let servers = cells.get(cell).cloned().unwrap_or_default();
            runner.board.borrow_mut().set_servers(servers, now);
            runner.wake.notify_one();
        }
        *self.servers.borrow_mut() = cells;
        *self.names.borrow_mut() = names;
    }

    /// Takes no further jobs and hands over all others: the instance stops.
    pub fn close(&self) {
        self.closed.set(true);
        for runner in self.runners.borrow().values() {
            runner.board.borrow_mut().begin_handover();
            runner.wake.notify_one();
        }
    }

    /// Gives results up whose owner is lost.
    pub fn release_results(&self, results: Vec<StoredResult>) {
        let mut by_maker: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for result in results {
            by_maker
                .entry(result.server)
                .or_default()
                .push(result.handle);
        }
        let servers = self.servers.borrow();
        let all = servers
            .get(GLOBAL_CELL)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for (maker, handles) in by_maker {
            if let Some(server) = all.iter().find(|server| server.id == maker) {
                let tools = self.tools.clone();
                tokio::task::spawn_local(give_up(tools, maker, server.address, handles));
            }
        }
    }

    /// Cells with jobs.
    #[must_use]
    pub fn cells_with_jobs(&self) -> Vec<Name> {
        let runners = self.runners.borrow();
        let active = runners
            .values()
            .filter(|runner| !runner.resigned() && runner.board.borrow().job_count() > 0);
        active.map(|runner| runner.cell.clone()).collect()
    }

    /// Hands a cell over to its proper owner, which is back.
    pub fn hand_over(&self, cell: &Name) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            info!(self.tools.log, "cell handed over"; "cell" => &**cell);
            runner.resigned_at.set(Some(Instant::now()));
            runner.board.borrow_mut().begin_handover();
            runner.wake.notify_one();
        }
    }

    /// Hands a job over; `callback` gets its events.
    pub fn submit(&self, cell: &Name, job: Job, callback: JobCallback) {
        if self.closed.get() || !self.servers.borrow().contains_key(cell) {
            callback(JobEvent::Ended(JobOutcome::Redirected { accepted: false }));
            return;
        }
        let runner = self.runner(cell);
        if runner.resigned() {
            callback(JobEvent::Ended(JobOutcome::Redirected { accepted: false }));
            return;
        }
        runner.board.borrow_mut().cancel_handover(Instant::now());
        let id = job.id.clone();
        let verdict = runner.board.borrow_mut().submit(job, Instant::now());
        debug!(self.tools.log, "job"; "request" => &*id, "cell" => &**cell, "verdict" => ?verdict);
        match verdict {
            SubmitOutcome::Refused { retry_after } => {
                let backlog = runner.board.borrow().backlog(Instant::now());
                let end = JobOutcome::Refused {
                    retry_after,
                    backlog,
                };
                callback(JobEvent::Ended(end));
            }
            SubmitOutcome::Accepted { .. } => {
                runner.callbacks.borrow_mut().insert(id, callback);
                runner.wake.notify_one();
            }
        }
    }

    /// A job's results were used, or nobody waits for it any more.
    pub fn release(&self, cell: &Name, request: &str) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            runner.callbacks.borrow_mut().remove(request);
            runner.board.borrow_mut().cancel(request, Instant::now());
        }
    }

    fn runner(&self, cell: &Name) -> Rc<Runner> {
        let mut runners = self.runners.borrow_mut();
        let made = runners.entry(cell.clone()).or_insert_with(|| {
            info!(self.tools.log, "owner of a cell"; "cell" => &**cell);
            let mut board = BatchScheduler::new(SchedulerConfig::default());
            let servers = self.servers.borrow().get(cell).cloned().unwrap_or_default();
            board.set_servers(servers, Instant::now());
            board.query_free_memory(Instant::now());
            let runner = Rc::new(Runner {
                cell: cell.clone(),
                board: RefCell::new(board),
                callbacks: RefCell::default(),
                wake: Notify::new(),
                resigned_at: Cell::new(None),
                tools: self.tools.clone(),
            });
            tokio::task::spawn_local(run(runner.clone()));
            runner
        });
        made.clone()
    }
}

impl Runner {
    fn end(&self, request: &Name, end: JobOutcome) {
        let callback = self.callbacks.borrow_mut().remove(request);
        if let Some(callback) = callback {
            callback(JobEvent::Ended(end));
        }
    }

    /// Whether the cell was given to another owner a moment ago.
    fn resigned(&self) -> bool {
        let at = self.resigned_at.get();
        at.is_some_and(|at| at.elapsed() < RESIGNED_FOR)
    }
}

async fn run(runner: Rc<Runner>) {
    let mut told = Instant::now();
    loop {
        let actions = runner.board.borrow_mut().poll(Instant::now());
        for action in actions {
            perform(&runner, action);
        }
        let busy = runner.board.borrow().job_count() > 0;
        if busy && told.elapsed() > TELL_EVERY {
            told = Instant::now();
            let loads = runner.board.borrow().loads(told);
            let jobs = runner.board.borrow().job_count();
            let text = format!("{loads:?}");
            debug!(runner.tools.log, "cell"; "cell" => &*runner.cell, "jobs" => jobs, "loads" => text);
        }
        if busy {
            let _ticked = tokio::time::timeout(TICK, runner.wake.notified()).await;
        } else {
            let _woken = tokio::time::timeout(IDLE_TICK, runner.wake.notified()).await;
        }
    }
}

/// How often a board without jobs looks for results to give up.
const IDLE_TICK: Duration = Duration::from_millis(500);

fn perform(runner: &Rc<Runner>, action: Action) {
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
                let making = make(&runner.tools, &server, address, &pieces);
                let end = match tokio::time::timeout(timeout, making).await {
                    Ok(end) => end,
                    Err(_) => CallOutcome::Broken,
                };
                let label = match &end {
                    CallOutcome::Answered(_) => "answered",
                    CallOutcome::Rejected => "rejected",
                    CallOutcome::Broken => "broken",
                };
                let tools = &runner.tools;
                tools.metrics.piece_calls.with_label_values(&[label]).inc();
                tools
                    .metrics
                    .pieces
                    .with_label_values(&[&*runner.cell])
                    .inc_by(pieces.len() as u64);
                let failed = match &end {
                    CallOutcome::Answered(ends) => ends.iter().filter(|end| end.is_err()).count(),
                    CallOutcome::Rejected | CallOutcome::Broken => pieces.len(),
                };
                let ms = elapsed_ms(started);
                if failed > 0 {
                    info!(tools.log, "call for pieces"; "server" => &*server, "end" => label, "pieces" => pieces.len(), "failed" => failed, "ms" => ms);
                } else {
                    debug!(tools.log, "call for pieces"; "server" => &*server, "end" => label, "pieces" => pieces.len(), "ms" => ms);
                }
                runner
                    .board
                    .borrow_mut()
                    .call_ended(call_id, &end, Instant::now());
                runner.wake.notify_one();
            });
        }
        Action::StageEnded { request, results } => {
            if let Some(callback) = runner.callbacks.borrow().get(&request) {
                callback(JobEvent::StageFinished(results));
            }
        }
        Action::Finished {
            request,
            inputs: handles,
            bytes_by_domain,
        } => {
            let backlog = runner.board.borrow().backlog(Instant::now());
            let inputs = RequestInputs {
                handles,
                bytes_by_domain,
                backlog,
            };
            runner.end(&request, JobOutcome::Finished(inputs));
        }
        Action::HandedOver { request } => {
            runner.end(&request, JobOutcome::Redirected { accepted: true });
        }
        Action::GivenUp {
            request,
            retry_after,
        } => runner.end(&request, JobOutcome::Aborted(retry_after)),
        Action::ReleaseResults {
            server,
            address,
            handles,
        } => {
            let tools = runner.tools.clone();
            tokio::task::spawn_local(give_up(tools, server, address, handles));
        }
        Action::QueryFreeMemory { server, address } => {
            let runner = runner.clone();
            tokio::task::spawn_local(async move {
                let tools = &runner.tools;
                let asking = ask_room(tools, address);
                match tokio::time::timeout(ASK_TIMEOUT, asking).await {
                    Ok(Ok(mem)) => {
                        debug!(tools.log, "room left"; "server" => &*server, "bytes" => mem.min_bytes);
                        let now = Instant::now();
                        runner.board.borrow_mut().set_free_memory(&server, mem, now);
                        runner.wake.notify_one();
                    }
                    // Its first calls tell whether it is full.
                    Ok(Err(fault)) => {
                        info!(tools.log, "room unknown"; "server" => &*server, "fault" => format!("{fault:#}"));
                    }
                    Err(_) => {
                        info!(tools.log, "room unknown"; "server" => &*server, "fault" => "no answer in time");
                    }
                }
            });
        }
    }
}
