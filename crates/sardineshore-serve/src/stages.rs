//! Client for the stages of requests: chooses a cell, submits the job to the owner of the cell, and
//! waits for its outcome.
//!
//! The owner is this instance or another one, over a link of [`Peers`]. If an owner is lost or
//! redirects the job, the job goes to the next one with the results of the stages that finished.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{Job, RefusalReason, StageResults, StoredResult};
use sardineshore_core::flow::cells::{choose_cell, home_cell, rank_owners};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::selection::input_transfer_cost;
use sardineshore_core::flow::zones::{MAX_FIGURE_AGE, SpillRequest};
use slog::{Logger, info};
use tokio::sync::oneshot;

use crate::cell::{JobCallback, JobEvent, JobOutcome, OwnedCells, RequestInputs, SubmissionId};
use crate::peers::{Link, Peers};

/// Most owners to which a job is submitted in one cell.
const MAX_OWNERS: usize = 6;

/// Runs the stages of requests, at whichever instance owns the cell.
#[derive(Debug)]
pub struct StageClient {
    cells: Rc<OwnedCells>,
    peers: Rc<Peers>,
    /// Time that each cell needed for its work when it last reported it, and when that was.
    backlogs: RefCell<HashMap<Name, (Duration, Instant)>>,
    log: Logger,
}

/// Owner to which a job was submitted.
enum Owner {
    Local(Rc<OwnedCells>, SubmissionId),
    Remote(Rc<Link>),
}

/// Keeps the results of a job in the servers that hold them, until it is dropped.
pub struct ResultGuard {
    owner: Owner,
    cell: Name,
    request: Name,
    /// Results that the request uses; this instance releases them if their owner is lost.
    results: Vec<StoredResult>,
    cells: Rc<OwnedCells>,
}

impl std::fmt::Debug for ResultGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ResultGuard")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Local(cells, submission) => {
                cells.release(&self.cell, &self.request, *submission);
            }
            Owner::Remote(link) if link.is_lost() => {
                self.cells
                    .release_results(std::mem::take(&mut self.results));
            }
            Owner::Remote(link) => link.release(&self.cell, &self.request),
        }
    }
}

/// The inputs of a request, which are kept until the guard is dropped; or why there are none.
pub type StagesResult = Result<(RequestInputs, ResultGuard), StagesRefusal>;

/// Why the stages of a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StagesRefusal {
    /// Time after which the request may be tried again.
    pub retry_after: Duration,
    /// Reason for the log.
    pub reason: &'static str,
    /// Whether a further attempt of the caller would be refused as well, or end too late.
    pub is_final: bool,
}

impl StagesRefusal {
    fn by_owner(retry_after: Duration, reason: RefusalReason) -> Self {
        Self {
            retry_after,
            reason: reason.as_str(),
            is_final: reason.is_final(),
        }
    }
}

/// The deadline passed before an owner was reached.
const NO_TIME_LEFT: &str = "no time left for an owner";
/// All owners to which the job was submitted were lost or redirected it.
const OWNERS_LOST: &str = "owners lost";

impl StageClient {
    /// A client of the owners among `peers`, this instance included.
    #[must_use]
    pub fn new(cells: Rc<OwnedCells>, peers: Rc<Peers>, log: Logger) -> Self {
        Self {
            cells,
            peers,
            backlogs: RefCell::default(),
            log,
        }
    }

    /// Runs all stages of a job. If its cell is withdrawn, the job goes on in another one with the results of
    /// the stages that finished; without further cells, in the one of all servers. `prompt_cost` is what it
    /// costs to run the request outside of the job's preferred domain instead.
    pub async fn run(&self, job: Job, prompt_cost: Duration) -> StagesResult {
        let progress = JobProgress::new();
        let mut withdrawn: Vec<Name> = Vec::new();
        // Cells whose owner was lost.
        let mut left: Vec<Name> = Vec::new();
        loop {
            let mut cells = self.cells.cells_for(job_hash_key(&job));
            cells.retain(|cell| !withdrawn.contains(cell) && !left.contains(cell));
            match self
                .run_in_cells(&job, &cells, prompt_cost, &progress)
                .await
            {
                Ok(finished) => return Ok(finished),
                Err(Failure::Withdrawn(cell)) if !withdrawn.contains(&cell) => withdrawn.push(cell),
                Err(Failure::Withdrawn(_)) => return Err(progress.owners_lost(&job)),
                Err(Failure::OwnerLost(cell)) => {
                    info!(self.log, "job leaves a cell whose owner is lost"; "request" => &*job.id, "cell" => &*cell);
                    left.push(cell);
                }
                Err(Failure::Aborted(refusal) | Failure::Refused(refusal, _)) => {
                    return Err(refusal);
                }
            }
        }
    }

    /// Runs all stages of a job; tries a second cell if the first one refuses the job.
    async fn run_in_cells(
        &self,
        job: &Job,
        cells: &[Name],
        prompt_cost: Duration,
        progress: &JobProgress,
    ) -> Result<(RequestInputs, ResultGuard), Failure> {
        let hash_key = job_hash_key(job);
        // The caller of a stream that goes on waits in the middle of an answer. In a cell whose owner was lost
        // it would wait for about a second: the lost owner's calls occupy the servers, its results their memory.
        let may_leave = job.continues && cells.len() > 1;
        let home = home_cell(hash_key, &job.preferred_domain, cells);
        let first = self.choose(hash_key, &home, cells, job, prompt_cost);
        let first_run = self
            .run_in_cell(&first, Some(&home), job, may_leave, progress)
            .await;
        let (refusal, backlog) = match first_run {
            Err(Failure::Refused(refusal, backlog)) => (refusal, backlog),
            ended => return ended,
        };
        // The refusal may have brought the load of other cells.
        let with_room = self.cells.zones().with_room(&first, hash_key, cells);
        let with_room = with_room.filter(|cell| self.is_reachable(cell));
        let second = with_room.or_else(|| {
            let others = cells.iter().filter(|cell| **cell != first);
            let shortest = others.min_by_key(|cell| self.backlog(cell));
            shortest
                .filter(|cell| self.backlog(cell) < backlog)
                .cloned()
        });
        let Some(second) = second else {
            return Err(Failure::Refused(refusal, backlog));
        };
        self.cells.zones().count_job(&home, &second, "refused");
        // The second cell accepts the job only if it can end in time; late jobs are left to the first.
        let job = Job {
            late_allowed: false,
            ..job.clone()
        };
        match self.run_in_cell(&second, None, &job, false, progress).await {
            Err(Failure::Aborted(second) | Failure::Refused(second, _)) => {
                Err(Failure::Aborted(StagesRefusal {
                    retry_after: second.retry_after.min(refusal.retry_after),
                    ..refusal
                }))
            }
            ended => ended,
        }
    }

    /// Cell to which a job is submitted first: its home unless it gains by leaving.
    fn choose(
        &self,
        hash_key: &str,
        home: &Name,
        cells: &[Name],
        job: &Job,
        prompt_cost: Duration,
    ) -> Name {
        let zones = self.cells.zones();
        // Outside of its preferred domain, either the request runs without the cached prompt or its
        // inputs are fetched from there.
        let has_preference = *home == job.preferred_domain;
        let bytes = if has_preference { input_bytes(job) } else { 0 };
        let stay_value = prompt_cost.min(input_transfer_cost(bytes));
        let request = SpillRequest {
            hash_key,
            home,
            stay_value,
            bytes,
        };
        let (chosen, reason) = if let Some(chosen) = zones.choose(&request, cells) {
            // The way to one other domain may be cut while others still report its load.
            let is_usable = chosen == *home || self.is_reachable(&chosen);
            (if is_usable { chosen } else { home.clone() }, "load")
        } else {
            let backlog = |cell: &str| self.backlog(cell);
            let preferred = &job.preferred_domain;
            (choose_cell(hash_key, preferred, cells, backlog), "backlog")
        };
        let reason = if chosen == *home { "home" } else { reason };
        zones.count_job(home, &chosen, reason);
        chosen
    }

    /// Whether nothing is known to be wrong with the link to the first owner of a cell.
    fn is_reachable(&self, cell: &str) -> bool {
        let owners = rank_owners(cell, &self.peers.candidates());
        owners
            .first()
            .is_some_and(|name| !self.peers.is_unreachable(name))
    }

    /// Time that a cell needs for its work, estimated from its last report; zero if unknown.
    fn backlog(&self, cell: &str) -> Duration {
        let backlogs = self.backlogs.borrow();
        let known = backlogs
            .get(cell)
            .filter(|(_, at)| at.elapsed() < MAX_FIGURE_AGE);
        known.map_or(Duration::ZERO, |(backlog, at)| {
            backlog.saturating_sub(at.elapsed())
        })
    }

    fn record_backlog(&self, cell: &Name, backlog: Duration) {
        let now = Instant::now();
        self.backlogs
            .borrow_mut()
            .insert(cell.clone(), (backlog, now));
    }

    /// Runs all stages in one cell, at one owner after the other as long as they redirect the job or
    /// are lost. `home` is the home cell unless another cell refused the job.
    async fn run_in_cell(
        &self,
        cell: &Name,
        home: Option<&Name>,
        job: &Job,
        may_leave: bool,
        progress: &JobProgress,
    ) -> Result<(RequestInputs, ResultGuard), Failure> {
        let JobProgress {
            start,
            finished_stages,
            accepted_before,
        } = progress;
        for _ in 0..MAX_OWNERS {
            let mut reached = None;
            for name in rank_owners(cell, &self.peers.candidates()) {
                let Some(remaining) =
                    remaining_job(job, finished_stages, accepted_before.get(), start.elapsed())
                else {
                    return Err(Failure::Aborted(StagesRefusal {
                        retry_after: Duration::ZERO,
                        reason: NO_TIME_LEFT,
                        is_final: true,
                    }));
                };
                if let Some(submitted) = self
                    .submit(&name, cell, home, remaining, finished_stages)
                    .await
                {
                    reached = Some((name, submitted));
                    break;
                }
                if may_leave {
                    return Err(Failure::OwnerLost(cell.clone()));
                }
            }
            let Some((name, (mut guard, outcome))) = reached else {
                continue;
            };
            match outcome.await {
                Ok(JobOutcome::Finished(inputs)) => {
                    self.record_backlog(cell, inputs.backlog);
                    guard.results = used_results(finished_stages, &inputs);
                    return Ok((inputs, guard));
                }
                Ok(JobOutcome::Aborted {
                    retry_after,
                    reason,
                }) => {
                    let refusal = StagesRefusal::by_owner(retry_after, reason);
                    return Err(Failure::Aborted(refusal));
                }
                Ok(JobOutcome::Refused {
                    retry_after,
                    backlog,
                    reason,
                }) => {
                    self.record_backlog(cell, backlog);
                    let refusal = StagesRefusal::by_owner(retry_after, reason);
                    return Err(Failure::Refused(refusal, backlog));
                }
                Ok(JobOutcome::Redirected { accepted }) => {
                    accepted_before.set(accepted_before.get() || accepted);
                    self.peers.back_off(&name);
                }
                Ok(JobOutcome::Withdrawn { accepted }) => {
                    accepted_before.set(accepted_before.get() || accepted);
                    return Err(Failure::Withdrawn(cell.clone()));
                }
                // The link was lost. The next attempt may reach the same owner over a new link.
                Err(_) => {
                    accepted_before.set(true);
                    info!(self.log, "owner lost"; "request" => &*job.id, "owner" => &*name);
                    if may_leave {
                        return Err(Failure::OwnerLost(cell.clone()));
                    }
                }
            }
        }
        Err(Failure::Aborted(progress.owners_lost(job)))
    }

    /// Submits a job to an instance; `None` if there is no link to it.
    async fn submit(
        &self,
        name: &Name,
        cell: &Name,
        home: Option<&Name>,
        job: Job,
        finished_stages: &FinishedStages,
    ) -> Option<(ResultGuard, oneshot::Receiver<JobOutcome>)> {
        let request = job.id.clone();
        let cell = cell.clone();
        let (callback, outcome) = job_callback(finished_stages);
        let owner = if *name == self.peers.this_instance().name {
            let submission = self.cells.submit(&cell, home, job, callback);
            Owner::Local(self.cells.clone(), submission)
        } else {
            let link = self.peers.link(name).await?;
            link.submit(cell.clone(), home.cloned(), job, callback);
            Owner::Remote(link)
        };
        let guard = ResultGuard {
            owner,
            cell,
            request,
            results: Vec::new(),
            cells: self.cells.clone(),
        };
        Some((guard, outcome))
    }
}

/// What is hashed to choose a job's cell: the key of the input, so that a retry reaches the owner that refused
/// the job before.
fn job_hash_key(job: &Job) -> &str {
    if job.key.is_empty() {
        &job.id
    } else {
        &job.key
    }
}

/// Approximate bytes of the results that are inputs of the request: those that no other stage needs.
fn input_bytes(job: &Job) -> u64 {
    let is_input = |index: &usize| {
        let mut stages = job.stages.iter();
        !stages.any(|stage| stage.pieces > 0 && stage.depends_on.contains(index))
    };
    let inputs = (0..job.stages.len()).filter(is_input);
    inputs
        .map(|index| &job.stages[index])
        .map(|stage| u64::from(stage.pieces).saturating_mul(stage.result_bytes))
        .fold(0, u64::saturating_add)
}

/// Why a cell did not run the stages.
enum Failure {
    /// The first owner of the cell is lost, and the job may run in another one.
    OwnerLost(Name),
    /// The cell accepted the job and could not complete it.
    Aborted(StagesRefusal),
    /// The cell did not accept the job; the duration is its backlog.
    Refused(StagesRefusal, Duration),
    /// The cell's failure domain is evacuated.
    Withdrawn(Name),
}

/// What owners have done for a job so far.
struct JobProgress {
    start: Instant,
    finished_stages: FinishedStages,
    /// Whether an owner had accepted the job.
    accepted_before: Cell<bool>,
}

impl JobProgress {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            finished_stages: Rc::default(),
            accepted_before: Cell::new(false),
        }
    }

    fn owners_lost(&self, job: &Job) -> StagesRefusal {
        let left = job.time_to_deadline.saturating_sub(self.start.elapsed());
        StagesRefusal {
            retry_after: left / 3,
            reason: OWNERS_LOST,
            is_final: false,
        }
    }
}

/// Results of the stages of a job that have finished, at all owners so far.
type FinishedStages = Rc<RefCell<Vec<StageResults>>>;

/// The results of a job that are inputs of the request.
fn used_results(finished_stages: &FinishedStages, inputs: &RequestInputs) -> Vec<StoredResult> {
    let finished_stages = finished_stages.borrow();
    let results = finished_stages.iter().flat_map(|stage| &stage.results);
    let used = results.filter(|result| inputs.handles.contains(&result.handle));
    used.cloned().collect()
}

/// A callback that records finished stages, and a receiver for the outcome.
fn job_callback(finished_stages: &FinishedStages) -> (JobCallback, oneshot::Receiver<JobOutcome>) {
    let (tx, rx) = oneshot::channel();
    let tx = Cell::new(Some(tx));
    let finished_stages = finished_stages.clone();
    let callback = Box::new(move |event| match event {
        JobEvent::StageFinished(results) => {
            let mut finished_stages = finished_stages.borrow_mut();
            finished_stages.retain(|known| known.stage != results.stage);
            finished_stages.push(results);
        }
        JobEvent::Ended(outcome) => {
            if let Some(tx) = tx.take() {
                // The request may have ended in the meantime.
                let _gone = tx.send(outcome);
            }
        }
    });
    (callback, rx)
}

/// The job as it is submitted to a further owner: with the time that is left and the results of
/// finished stages. `None` if no time is left.
fn remaining_job(
    job: &Job,
    finished_stages: &FinishedStages,
    accepted_before: bool,
    elapsed: Duration,
) -> Option<Job> {
    let time_to_deadline = job.time_to_deadline.checked_sub(elapsed)?;
    Some(Job {
        time_to_soft_deadline: job.time_to_soft_deadline.saturating_sub(elapsed),
        time_to_deadline,
        time_to_first_event: job.time_to_first_event.saturating_sub(elapsed),
        results: finished_stages.borrow().clone(),
        accepted_before,
        ..job.clone()
    })
}
