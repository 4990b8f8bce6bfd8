//! A request's stages as a graph of pieces.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::config::{MAX_RANK, Name, RANKS_PER_CUSTOMER_PRIORITY};

/// One stage of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStage {
    /// Pool that works on the pieces.
    pub pool: Name,
    /// Indexes of the stages whose results every piece needs.
    pub depends_on: Vec<usize>,
    /// Number of pieces; 0 leaves the stage out.
    pub pieces: u32,
    /// Approximate bytes of one result.
    pub result_bytes: u64,
}

/// A result with the server that keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// Number of the piece.
    pub piece: usize,
    /// Name of the result.
    pub handle: Name,
    /// Id of the server.
    pub server: Name,
    /// Failure domain of the server.
    pub domain: Name,
}

/// Results of a stage: all of them, or those made so far if its owner hands the job over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageResults {
    /// Stage.
    pub stage: usize,
    /// Results.
    pub results: Vec<StoredResult>,
}

/// The stages of one request. Times are what is left when the job is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the request.
    pub id: Name,
    /// Key that names the input of stages without predecessors.
    pub key: Name,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Time left for the answer to be worth most.
    pub time_to_soft_deadline: Duration,
    /// Time left until the answer is worth nothing.
    pub time_to_deadline: Duration,
    /// Time that the request itself needs after its stages.
    pub run_time: Duration,
    /// Failure domain of the server that will run the request; empty if any will do.
    pub preferred_domain: Name,
    /// Stages.
    pub stages: Vec<JobStage>,
    /// Whether it is worth being taken on although it will be late.
    pub late_allowed: bool,
    /// What an earlier owner has made.
    pub results: Vec<StageResults>,
    /// Whether an earlier owner had taken it on: it isn't refused for the load.
    pub accepted_before: bool,
}

impl Job {
    /// Pieces of a stage that are left to make.
    #[must_use]
    pub fn pieces_left(&self, stage: usize) -> u32 {
        let known = self.results.iter().filter(|results| results.stage == stage);
        let count: usize = known.map(|results| results.results.len()).sum();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.stages[stage].pieces.saturating_sub(count)
    }

    /// Whether stages, predecessors and counts fit together.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let count = self.stages.len();
        count <= MAX_STAGES
            && self.stages.iter().enumerate().all(|(index, stage)| {
                stage.pieces <= MAX_PIECES
                    && stage
                        .depends_on
                        .iter()
                        .all(|dependency| *dependency < index)
            })
    }
}

/// Most stages of a job.
const MAX_STAGES: usize = 32;
/// Most pieces of a stage.
const MAX_PIECES: u32 = 1024;

/// How much later than its aim a job of a customer of the next rank counts.
const RANK_STEP: Duration = Duration::from_millis(400);
/// Bytes that are worth keeping within a failure domain.
const HEAVY_BYTES: u64 = 400_000;

/// A finished piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Made {
    /// Name of the result at its maker.
    pub handle: Name,
    /// Id of the server that keeps it.
    pub maker: Name,
    /// Failure domain of that server.
    pub domain: Name,
    /// When its keeper may drop it.
    pub until: Instant,
}

/// Progress of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Progress {
    /// Predecessors are not finished.
    Blocked,
    /// Queued.
    Queued,
    /// In so many calls.
    Called(u32),
    /// Finished.
    Made(Made),
}

/// Progress of one stage.
#[derive(Debug)]
pub(super) struct StageState {
    pub pieces: Vec<Progress>,
    /// Time that the job needs from the start of this stage on.
    pub tail: Duration,
    /// The stage need not start before this time: its results would only lie about.
    pub not_before: Instant,
    /// When its pieces were queued first.
    pub queued_at: Option<Instant>,
}

impl StageState {
    pub fn finished(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Progress::Made(_)))
    }
}

/// A job that was taken on.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct JobState {
    pub job: Job,
    pub sequence: u64,
    pub aim: Instant,
    pub deadline: Instant,
    /// Too late to be worth most: works with what others leave.
    pub late: bool,
    /// Waits for spare capacity before it begins.
    pub parked: bool,
    /// Goes before others in line: its caller was refused before, or an owner had taken it on.
    pub before_others: bool,
    pub stages: Vec<StageState>,
    pub rebuilds: u32,
    /// All stages ended and the results were handed over.
    pub delivered: bool,
}

impl JobState {
    /// Place of a stage among others: the latest time at which it can start, later by the
    /// customer's rank.
    pub fn urgency(&self, stage: usize) -> Instant {
        self.latest_start(stage)
            + RANK_STEP * (self.job.rank.min(MAX_RANK) / RANKS_PER_CUSTOMER_PRIORITY)
    }

    /// Latest time at which a stage can start for the job to be within its aim.
    pub fn latest_start(&self, stage: usize) -> Instant {
        self.aim
            .checked_sub(self.stages[stage].tail)
            .unwrap_or(self.aim)
    }

    /// The job with the pieces that are left to make.
    pub fn rest(&self) -> Job {
        let mut job = self.job.clone();
        for (stage, state) in job.stages.iter_mut().zip(&self.stages) {
            let left = state
                .pieces
                .iter()
                .filter(|p| !matches!(p, Progress::Made(_)));
            stage.pieces = u32::try_from(left.count()).unwrap_or(u32::MAX);
        }
        job
    }

    /// Whether another stage needs the results of `stage`.
    pub fn feeds_another(&self, stage: usize) -> bool {
        self.job
            .stages
            .iter()
            .any(|other| other.pieces > 0 && other.depends_on.contains(&stage))
    }

    /// Handles of all pieces of the given stages, in order; `None` while one is missing.
    pub fn handles(&self, stages: impl Iterator<Item = usize>) -> Option<Vec<Name>> {
        let mut handles = Vec::new();
        for stage in stages {
            for piece in &self.stages[stage].pieces {
                match piece {
                    Progress::Made(made) => handles.push(made.handle.clone()),
                    _ => return None,
                }
            }
        }
        Some(handles)
    }

    /// Results of a stage, as far as they are made.
    pub fn results_of(&self, stage: usize) -> StageResults {
        let pieces = self.stages[stage].pieces.iter().enumerate();
        let results = pieces.filter_map(|(piece, progress)| match progress {
            Progress::Made(made) => Some(StoredResult {
                piece,
                handle: made.handle.clone(),
                server: made.maker.clone(),
                domain: made.domain.clone(),
            }),
            _ => None,
        });
        StageResults {
            stage,
            results: results.collect(),
        }
    }

    /// Whether any piece is in a call.
    pub fn in_call(&self) -> bool {
        let mut pieces = self.stages.iter().flat_map(|stage| &stage.pieces);
        pieces.any(|p| matches!(p, Progress::Called(_)))
    }

    /// Failure domain in which a stage's pieces cost least to make, if it matters: near heavy
    /// inputs, or near the request's server for heavy results.
    pub fn domain_of(&self, stage: usize) -> Option<&Name> {
        let spec = &self.job.stages[stage];
        let pieces = u64::from(spec.pieces);
        let inputs: u64 = spec
            .depends_on
            .iter()
            .map(|dependency| &self.job.stages[*dependency])
            .map(|dependency| dependency.result_bytes * u64::from(dependency.pieces))
            .sum();
        if inputs * pieces >= HEAVY_BYTES {
            return spec
                .depends_on
                .iter()
                .find_map(|dependency| self.maker_domain(*dependency));
        }
        let heavy = spec.result_bytes * pieces >= HEAVY_BYTES && !self.feeds_another(stage);
        (heavy && !self.job.preferred_domain.is_empty()).then_some(&self.job.preferred_domain)
    }

    fn maker_domain(&self, stage: usize) -> Option<&Name> {
        self.stages[stage].pieces.iter().find_map(|p| match p {
            Progress::Made(made) => Some(&made.domain),
            _ => None,
        })
    }

    /// Bytes of the request's inputs by the failure domain that they lie in.
    pub fn bytes_by_domain(&self) -> Vec<(Name, u64)> {
        let mut sums: Vec<(Name, u64)> = Vec::new();
        for stage in self.final_stages() {
            for piece in &self.stages[stage].pieces {
                if let Progress::Made(made) = piece {
                    let bytes = self.job.stages[stage].result_bytes;
                    match sums.iter_mut().find(|(domain, _)| *domain == made.domain) {
                        Some((_, sum)) => *sum += bytes,
                        None => sums.push((made.domain.clone(), bytes)),
                    }
                }
            }
        }
        sums
    }

    /// Stages whose results the request itself needs.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|stage| !self.feeds_another(*stage))
    }
}
