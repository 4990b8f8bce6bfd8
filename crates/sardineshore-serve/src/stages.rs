//! The request's side of stages: finds the owner of the cell and follows the job there.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::owners::{cell_of, ranking};
use sardineshore_core::flow::pieces::Job;
use sardineshore_core::flow::site::Name;
use slog::{Logger, info};
use tokio::sync::oneshot;

use crate::cell::{Cells, Inputs, StageEnd};
use crate::peers::{Link, Peers};

/// Most owners that a job is handed to.
const MAX_OWNERS: usize = 6;

/// Stages of requests, wherever they are made.
#[derive(Debug)]
pub struct Stages {
    cells: Rc<Cells>,
    peers: Rc<Peers>,
    log: Logger,
}

enum Owner {
    Here(Rc<Cells>),
    There(Rc<Link>),
}

/// Keeps a job's results until it is dropped.
pub struct Held {
    owner: Owner,
    cell: Name,
    request: Name,
}

impl std::fmt::Debug for Held {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Held")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Here(cells) => cells.release(&self.cell, &self.request),
            Owner::There(link) => link.release(&self.cell, &self.request),
        }
    }
}

/// Inputs of a request, kept until `held` is dropped; or when to come back.
pub type Made = Result<(Inputs, Held), Duration>;

impl Stages {
    /// Stages made by the owners among `peers`, this instance included.
    #[must_use]
    pub fn new(cells: Rc<Cells>, peers: Rc<Peers>, log: Logger) -> Self {
        Self { cells, peers, log }
    }

    /// Has all stages of a job made.
    pub async fn make(&self, job: Job) -> Made {
        let start = Instant::now();
        let cell = cell_of(&job.id, &job.near, &self.cells.names());
        let mut tries = 0;
        while tries < MAX_OWNERS {
            for name in ranking(&cell, &self.peers.candidates()) {
                let Some(current) = rest_of(&job, start.elapsed()) else {
                    return Err(Duration::ZERO);
                };
                let Some((held, ended)) = self.hand_over(&name, &cell, current).await else {
                    continue;
                };
                tries += 1;
                match ended.await {
                    Ok(StageEnd::Finished(inputs)) => return Ok((inputs, held)),
                    Ok(StageEnd::GivenUp(retry_after)) => return Err(retry_after),
                    Ok(StageEnd::Moved) => self.peers.moved(&name),
                    Err(_) => {
                        info!(self.log, "owner lost"; "request" => &*job.id, "owner" => &*name);
                        // The same owner again if a new link to it can be opened.
                        break;
                    }
                }
                if tries >= MAX_OWNERS {
                    break;
                }
            }
            tries += 1;
        }
        Err(job.time_left.saturating_sub(start.elapsed()) / 3)
    }

    async fn hand_over(
        &self,
        name: &Name,
        cell: &Name,
        job: Job,
    ) -> Option<(Held, oneshot::Receiver<StageEnd>)> {
        let request = job.id.clone();
        if *name == self.peers.own().name {
            let (tx, rx) = oneshot::channel();
            let held = Held {
                owner: Owner::Here(self.cells.clone()),
                cell: cell.clone(),
                request,
            };
            let waiter = Box::new(move |end| {
                let _gone = tx.send(end);
            });
            self.cells.submit(cell, job, waiter);
            return Some((held, rx));
        }
        let link = self.peers.link(name).await?;
        let rx = link.submit(cell.clone(), job);
        let held = Held {
            owner: Owner::There(link),
            cell: cell.clone(),
            request,
        };
        Some((held, rx))
    }
}

/// The job with what is left of its times; `None` if its time is over.
fn rest_of(job: &Job, elapsed: Duration) -> Option<Job> {
    let time_left = job.time_left.checked_sub(elapsed)?;
    Some(Job {
        aim_left: job.aim_left.saturating_sub(elapsed),
        time_left,
        ..job.clone()
    })
}
