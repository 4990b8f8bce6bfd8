//! The request's side of stages: finds the owner of the cell and follows the job there.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{Job, StageResults, StoredResult};
use sardineshore_core::flow::cells::{choose_cell, rank_owners};
use sardineshore_core::flow::config::Name;
use slog::{Logger, info};
use tokio::sync::oneshot;

use crate::cell::{JobCallback, JobEvent, JobOutcome, OwnedCells, RequestInputs};
use crate::peers::{Link, Peers};

/// Most owners that a job is handed to.
const MAX_OWNERS: usize = 6;

/// Stages of requests, wherever they are made.
#[derive(Debug)]
pub struct StageClient {
    cells: Rc<OwnedCells>,
    peers: Rc<Peers>,
    /// What each cell had to do, and when it said so.
    backlogs: RefCell<HashMap<Name, (Duration, Instant)>>,
    log: Logger,
}

enum Owner {
    Here(Rc<OwnedCells>),
    There(Rc<Link>),
}

/// Keeps a job's results until it is dropped.
pub struct ResultGuard {
    owner: Owner,
    cell: Name,
    request: Name,
    /// Results that the request uses, to be given up here if their owner is lost.
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
            Owner::Here(cells) => cells.release(&self.cell, &self.request),
            Owner::There(link) if link.is_lost() => {
                self.cells
                    .release_results(std::mem::take(&mut self.results));
            }
            Owner::There(link) => link.release(&self.cell, &self.request),
        }
    }
}

/// Inputs of a request, kept until `held` is dropped; or when to come back.
pub type StagesResult = Result<(RequestInputs, ResultGuard), Duration>;

impl StageClient {
    /// Stages made by the owners among `peers`, this instance included.
    #[must_use]
    pub fn new(cells: Rc<OwnedCells>, peers: Rc<Peers>, log: Logger) -> Self {
        Self {
            cells,
            peers,
            backlogs: RefCell::default(),
            log,
        }
    }

    /// Has all stages of a job made; asks a second cell if the first one refuses.
    pub async fn run(&self, job: Job) -> StagesResult {
        let start = Instant::now();
        let cells = self.cells.cell_names();
        // By the key: a caller that comes back reaches the owner that refused it.
        let spread = if job.key.is_empty() {
            &job.id
        } else {
            &job.key
        };
        let first = choose_cell(spread, &job.preferred_domain, &cells, |cell| {
            self.backlog(cell)
        });
        let (retry_after, backlog) = match self.make_in(&first, &job, start).await {
            Ok(made) => return Ok(made),
            Err(Failed::GivenUp(retry_after)) => return Err(retry_after),
            Err(Failed::Refused(retry_after, backlog)) => (retry_after, backlog),
        };
        let others = cells.iter().filter(|cell| **cell != first);
        let shortest = others.min_by_key(|cell| self.backlog(cell));
        let Some(second) = shortest.filter(|cell| self.backlog(cell) < backlog) else {
            return Err(retry_after);
        };
        // Late work is left to the first cell: a second one only takes what it can end in time.
        let job = Job {
            late_allowed: false,
            ..job
        };
        match self.make_in(second, &job, start).await {
            Ok(made) => Ok(made),
            Err(Failed::GivenUp(wait) | Failed::Refused(wait, _)) => Err(wait.min(retry_after)),
        }
    }

    /// What a cell has to do, as far as it is known.
    fn backlog(&self, cell: &str) -> Duration {
        let backlogs = self.backlogs.borrow();
        let known = backlogs.get(cell);
        known.map_or(Duration::ZERO, |(backlog, at)| {
            backlog.saturating_sub(at.elapsed())
        })
    }

    fn note_backlog(&self, cell: &Name, backlog: Duration) {
        let now = Instant::now();
        self.backlogs
            .borrow_mut()
            .insert(cell.clone(), (backlog, now));
    }

    async fn make_in(
        &self,
        cell: &Name,
        job: &Job,
        start: Instant,
    ) -> Result<(RequestInputs, ResultGuard), Failed> {
        let made: Progress = Rc::default();
        let mut moved = false;
        for _ in 0..MAX_OWNERS {
            let mut reached = None;
            for name in rank_owners(cell, &self.peers.candidates()) {
                let Some(current) = rest_of(job, &made, moved, start.elapsed()) else {
                    return Err(Failed::GivenUp(Duration::ZERO));
                };
                if let Some(taken) = self.hand_over(&name, cell, current, &made).await {
                    reached = Some((name, taken));
                    break;
                }
            }
            let Some((name, (mut held, ended))) = reached else {
                continue;
            };
            match ended.await {
                Ok(JobOutcome::Finished(inputs)) => {
                    self.note_backlog(cell, inputs.backlog);
                    held.results = used(&made, &inputs);
                    return Ok((inputs, held));
                }
                Ok(JobOutcome::Aborted(retry_after)) => return Err(Failed::GivenUp(retry_after)),
                Ok(JobOutcome::Refused {
                    retry_after,
                    backlog,
                }) => {
                    self.note_backlog(cell, backlog);
                    return Err(Failed::Refused(retry_after, backlog));
                }
                Ok(JobOutcome::Redirected { accepted }) => {
                    moved |= accepted;
                    self.peers.back_off(&name);
                }
                // The same owner again if a new link to it can be opened.
                Err(_) => {
                    moved = true;
                    info!(self.log, "owner lost"; "request" => &*job.id, "owner" => &*name);
                }
            }
        }
        let left = job.time_to_deadline.saturating_sub(start.elapsed());
        Err(Failed::GivenUp(left / 3))
    }

    async fn hand_over(
        &self,
        name: &Name,
        cell: &Name,
        job: Job,
        made: &Progress,
    ) -> Option<(ResultGuard, oneshot::Receiver<JobOutcome>)> {
        let request = job.id.clone();
        let cell = cell.clone();
        let (callback, ended) = listen(made);
        let owner = if *name == self.peers.this_instance().name {
            self.cells.submit(&cell, job, callback);
            Owner::Here(self.cells.clone())
        } else {
            let link = self.peers.link(name).await?;
            link.submit(cell.clone(), job, callback);
            Owner::There(link)
        };
        let held = ResultGuard {
            owner,
            cell,
            request,
            results: Vec::new(),
            cells: self.cells.clone(),
        };
        Some((held, ended))
    }
}

/// Why a cell did not make the stages.
enum Failed {
    /// Given up; when to come back.
    GivenUp(Duration),
    /// Not taken on; when to come back, and what the cell has to do.
    Refused(Duration, Duration),
}

/// Stages of a job that have ended, whoever owned it.
type Progress = Rc<RefCell<Vec<StageResults>>>;

/// Those of the results made that are inputs of the request.
fn used(made: &Progress, inputs: &RequestInputs) -> Vec<StoredResult> {
    let made = made.borrow();
    let results = made.iter().flat_map(|stage| &stage.results);
    let used = results.filter(|result| inputs.handles.contains(&result.handle));
    used.cloned().collect()
}

/// A callback that notes progress and passes the end on.
fn listen(made: &Progress) -> (JobCallback, oneshot::Receiver<JobOutcome>) {
    let (tx, rx) = oneshot::channel();
    let tx = Cell::new(Some(tx));
    let made = made.clone();
    let callback = Box::new(move |event| match event {
        JobEvent::StageFinished(results) => {
            let mut made = made.borrow_mut();
            made.retain(|known| known.stage != results.stage);
            made.push(results);
        }
        JobEvent::Ended(end) => {
            if let Some(tx) = tx.take() {
                // The request may have ended meanwhile.
                let _gone = tx.send(end);
            }
        }
    });
    (callback, rx)
}

/// The job with what is left of its times; `None` if its time is over.
fn rest_of(job: &Job, made: &Progress, accepted_before: bool, elapsed: Duration) -> Option<Job> {
    let time_to_deadline = job.time_to_deadline.checked_sub(elapsed)?;
    Some(Job {
        time_to_soft_deadline: job.time_to_soft_deadline.saturating_sub(elapsed),
        time_to_deadline,
        results: made.borrow().clone(),
        accepted_before,
        ..job.clone()
    })
}
