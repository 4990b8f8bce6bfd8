//! The cells that this instance owns: a scheduler for each, whose batch calls it makes.
//!
//! A cell is a group of servers that run stages. Its owner, one instance at a time, forms the
//! batches for the requests of all instances, which submit jobs through [`crate::stages`].

mod calls;
mod runner;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calls::release_results;
use runner::CellRunner;
use sardineshore_core::flow::batching::{
    BatchServer, Job, RefusalReason, StageResults, StoredResult,
};
use sardineshore_core::flow::cells::{GLOBAL_CELL, domain_cells};
use sardineshore_core::flow::config::{BatchSpec, ConfigIndex, Name, PoolKind};
use sardineshore_core::flow::selection::ServerSelector;
use serde::{Deserialize, Serialize};
use slog::{Logger, info};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::notices::NoticeReader;
use crate::state::SharedState;
use crate::upstream::ConnectionPool;
use crate::zones::ZoneExchange;

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
            runner.set_servers(servers, &evacuated, now);
            runner.set_withdrawn(evacuated.contains(cell), self.closing.get(), now);
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
            runner.begin_handover();
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
            .filter(|runner| !runner.is_handed_over() && runner.job_count() > 0);
        busy.map(|runner| runner.cell().clone()).collect()
    }

    /// Hands a cell over, as an instance that ranks before this one is reachable again.
    pub fn hand_over(&self, cell: &Name) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            info!(self.shared.log, "cell handed over"; "cell" => &**cell);
            runner.hand_over();
        }
    }

    /// Accepts jobs again for cells that were handed over: their next owner may be lost.
    pub fn take_back(&self) {
        for runner in self.runners.borrow().values() {
            runner.take_back();
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
        runner.submit(submission, home, job, callback);
        submission
    }

    /// Forgets a job: its results were used, or no request waits for it any more. Does nothing if it
    /// was submitted again since.
    pub fn release(&self, cell: &Name, request: &str, submission: SubmissionId) {
        if let Some(runner) = self.runners.borrow().get(cell) {
            runner.release(request, submission);
        }
    }

    /// Runner of a cell, started if there is none.
    fn runner(&self, cell: &Name) -> Rc<CellRunner> {
        let mut runners = self.runners.borrow_mut();
        let runner = runners.entry(cell.clone()).or_insert_with(|| {
            info!(self.shared.log, "owner of a cell"; "cell" => &**cell);
            let servers = self.servers.borrow().get(cell).cloned().unwrap_or_default();
            let evacuated = self.evacuated.borrow();
            CellRunner::start(cell.clone(), servers, &evacuated, self.shared.clone())
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
