//! Jobs of the batch scheduler: the stages of one request, and their progress.
//!
//! [`Job`] and the types of its fields are sent between instances. The other types are the
//! scheduler's own record of an accepted job.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::config::{MAX_RANK, Name, RANKS_PER_CUSTOMER_PRIORITY};

/// One stage of a job, sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStage {
    /// Pool whose servers compute the pieces.
    pub pool: Name,
    /// Indexes of the earlier stages whose results every piece needs as input.
    pub depends_on: Vec<usize>,
    /// Number of pieces; 0 skips the stage.
    pub pieces: u32,
    /// Approximate size of the result of one piece, in bytes.
    pub result_bytes: u64,
}

/// The result of one piece and the server that stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// Index of the piece in its stage.
    pub piece: usize,
    /// Handle by which the server finds the result.
    pub handle: Name,
    /// Id of the server that stores the result.
    pub server: Name,
    /// Failure domain of that server.
    pub domain: Name,
}

/// Results of a stage: all of them, or those computed so far if its owner hands the job over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageResults {
    /// Index of the stage in the job.
    pub stage: usize,
    /// Results of its finished pieces.
    pub results: Vec<StoredResult>,
}

/// The stages of one request, as submitted to the owner of a cell. All times count from the moment
/// of the submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the request.
    pub id: Name,
    /// Key of the input of stages without dependencies; also identifies retries of a caller.
    pub key: Name,
    /// Customer that sent the request; empty if its route needs no key.
    pub customer: Name,
    /// Name of the request's route.
    pub route: Name,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Time within which the answer has its full value: the rest of the route's target latency.
    pub time_to_soft_deadline: Duration,
    /// Time after which the answer has no value.
    pub time_to_deadline: Duration,
    /// Time within which the first event has to be forwarded: a caller that gets none leaves then, maybe before
    /// the deadline.
    pub time_to_first_event: Duration,
    /// Estimated time that the request itself needs after its stages.
    pub run_time: Duration,
    /// Failure domain of the server that will run the request; empty if any will do.
    pub preferred_domain: Name,
    /// Stages, each after all those that it depends on.
    pub stages: Vec<JobStage>,
    /// Whether to accept the job although it will miss its soft deadline.
    pub late_allowed: bool,
    /// Results that an earlier owner computed.
    pub results: Vec<StageResults>,
    /// Whether an earlier owner accepted the job. It is then not refused because of load.
    pub accepted_before: bool,
    /// Whether the request goes on with a stream that the caller has a part of. It was accepted when
    /// the stream began, and has no first event to be late with.
    pub continues: bool,
}

impl Job {
    /// Whether the job must not be refused because of load.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.accepted_before || self.continues
    }

    /// Number of pieces of a stage that are not among the earlier owner's results.
    #[must_use]
    pub fn pieces_left(&self, stage: usize) -> u32 {
        let known = self.results.iter().filter(|results| results.stage == stage);
        let count: usize = known.map(|results| results.results.len()).sum();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.stages[stage].pieces.saturating_sub(count)
    }

    /// Time within which the stages are of use.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.time_to_deadline.min(self.time_to_first_event)
    }

    /// Whether each stage depends only on earlier ones and the numbers of stages and pieces are
    /// within their limits.
    #[must_use]
    pub fn is_valid(&self) -> bool {
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

/// Largest number of stages of a job.
const MAX_STAGES: usize = 32;
/// Largest number of pieces of a stage.
const MAX_PIECES: u32 = 1024;

/// Time added to the latest start of a stage for each customer rank below the most urgent one.
const RANK_PENALTY: Duration = Duration::from_millis(400);
/// Transfers from this size on are kept within a failure domain, in bytes.
const LARGE_TRANSFER_BYTES: u64 = 400_000;

/// The result of a finished piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PieceResult {
    /// Handle by which the server finds the result.
    pub handle: Name,
    /// Id of the server that stores it.
    pub server: Name,
    /// Failure domain of that server.
    pub domain: Name,
    /// When the server may delete it.
    pub expires_at: Instant,
}

/// State of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Progress {
    /// Waits until the stages that it depends on have finished.
    Blocked,
    /// Waits in the queue of its pool.
    Queued,
    /// In this many running calls.
    Running(u32),
    /// Finished.
    Done(PieceResult),
}

/// Order of jobs in the queue of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Precedence {
    /// Streams that go on.
    Continued,
    /// Jobs that are expected to meet their soft deadline.
    OnTime,
    /// Jobs that will miss it.
    Late,
}

impl Precedence {
    /// All of them, the first one first.
    pub const ALL: [Self; 3] = [Self::Continued, Self::OnTime, Self::Late];
}

/// State of one stage of an accepted job.
#[derive(Debug)]
pub(super) struct StageState {
    pub pieces: Vec<Progress>,
    /// Class of its pieces in [`super::piece_times::PieceTimes`].
    pub class: usize,
    /// Least time from the start of this stage to the end of the request.
    pub remaining_time: Duration,
    /// Expected time from the start of this stage to the end of the request, waits for servers
    /// included.
    pub expected_time: Duration,
    /// Least time from the end of this stage to the end of the request.
    pub following_time: Duration,
    /// When the newest call with a piece of this stage was sent.
    pub sent_at: Option<Instant>,
    /// The stage starts no earlier than this: its results would occupy memory without being used.
    pub not_before: Instant,
    /// When its pieces were first queued.
    pub queued_at: Option<Instant>,
}

impl StageState {
    pub fn is_finished(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Progress::Done(_)))
    }

    /// Number of pieces without a result.
    pub fn unfinished_pieces(&self) -> u32 {
        let unfinished = self.pieces.iter();
        let unfinished = unfinished.filter(|p| !matches!(p, Progress::Done(_)));
        u32::try_from(unfinished.count()).unwrap_or(u32::MAX)
    }

    /// Earliest end of the request, as far as this stage is concerned. While all of its unfinished
    /// pieces are in calls, the time since these were sent is not counted again.
    pub fn earliest_end(&self, now: Instant) -> Instant {
        let sent = |p: &Progress| matches!(p, Progress::Running(_) | Progress::Done(_));
        let sent_at = self.sent_at.filter(|_| self.pieces.iter().all(sent));
        match sent_at {
            Some(at) => (at + self.remaining_time).max(now + self.following_time),
            None => now + self.remaining_time,
        }
    }
}

/// State of an accepted job.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct JobState {
    pub job: Job,
    /// Order of arrival; also tells apart jobs that use the same index one after the other.
    pub sequence: u64,
    pub soft_deadline: Instant,
    /// When its results are of no use any more.
    pub deadline: Instant,
    /// Deadline of the request, by which a retry of its caller is recognized.
    pub request_deadline: Instant,
    /// Will miss its soft deadline; its pieces go after those of all other jobs.
    pub late: bool,
    /// Late and not started: waits until its pools have spare capacity.
    pub parked: bool,
    /// Its caller was refused before.
    pub is_retry: bool,
    pub stages: Vec<StageState>,
    /// Number of calls so far in which pieces failed or inputs were missing.
    pub recomputations: u32,
    /// All stages have finished and [`super::Action::Finished`] was returned.
    pub delivered: bool,
}

impl JobState {
    /// Whether its pieces go before those of other jobs.
    pub fn precedence(&self) -> Precedence {
        match (self.job.continues, self.late) {
            (true, _) => Precedence::Continued,
            (false, false) => Precedence::OnTime,
            (false, true) => Precedence::Late,
        }
    }

    /// Whether it starts before other parked jobs of its rank, because its caller was refused before
    /// or an earlier owner had accepted it.
    pub fn is_first_in_rank(&self) -> bool {
        self.is_retry || self.job.is_accepted()
    }

    /// Priority of a stage in the queue of its pool, earliest first: its latest start plus the
    /// penalty for the customer's rank.
    pub fn urgency(&self, stage: usize) -> Instant {
        self.latest_start(stage)
            + RANK_PENALTY * (self.job.rank.min(MAX_RANK) / RANKS_PER_CUSTOMER_PRIORITY)
    }

    /// Whether any of its pieces was sent or has a result.
    pub fn has_started(&self) -> bool {
        let mut pieces = self.stages.iter().flat_map(|stage| &stage.pieces);
        pieces.any(|p| matches!(p, Progress::Running(_) | Progress::Done(_)))
            || self.stages.iter().any(|stage| stage.sent_at.is_some())
    }

    /// Priority of its earliest unfinished stage.
    pub fn first_urgency(&self) -> Instant {
        let unfinished = self.stages.iter().position(|stage| !stage.is_finished());
        unfinished.map_or(self.soft_deadline, |stage| self.urgency(stage))
    }

    /// Latest time at which a stage can start for the job to meet its soft deadline.
    pub fn latest_start(&self, stage: usize) -> Instant {
        self.soft_deadline
            .checked_sub(self.stages[stage].expected_time)
            .unwrap_or(self.soft_deadline)
    }

    /// Pools with pieces that are not finished, and the numbers of these pieces, by stage.
    pub fn unfinished_pools(&self) -> impl Iterator<Item = (&Name, u32)> {
        let stages = self.job.stages.iter().zip(&self.stages);
        let pools = stages.map(|(stage, state)| (&stage.pool, state.unfinished_pieces()));
        pools.filter(|(_, pieces)| *pieces > 0)
    }

    /// A copy of the job with only its unfinished pieces.
    pub fn remaining_job(&self) -> Job {
        let mut job = self.job.clone();
        for (stage, state) in job.stages.iter_mut().zip(&self.stages) {
            stage.pieces = state.unfinished_pieces();
        }
        job
    }

    /// Whether another stage needs the results of `stage`.
    pub fn has_dependents(&self, stage: usize) -> bool {
        self.job
            .stages
            .iter()
            .any(|other| other.pieces > 0 && other.depends_on.contains(&stage))
    }

    /// Whether other stages compute inputs of `stage`.
    pub fn has_inputs(&self, stage: usize) -> bool {
        let stages = &self.job.stages;
        let mut dependencies = stages[stage].depends_on.iter();
        dependencies.any(|dependency| stages[*dependency].pieces > 0)
    }

    /// Handles of all results of the given stages, in order; `None` if a piece is not finished.
    pub fn handles(&self, stages: impl Iterator<Item = usize>) -> Option<Vec<Name>> {
        let mut handles = Vec::new();
        for stage in stages {
            for piece in &self.stages[stage].pieces {
                match piece {
                    Progress::Done(result) => handles.push(result.handle.clone()),
                    _ => return None,
                }
            }
        }
        Some(handles)
    }

    /// Results of the finished pieces of a stage.
    pub fn results_of(&self, stage: usize) -> StageResults {
        let pieces = self.stages[stage].pieces.iter().enumerate();
        let results = pieces.filter_map(|(piece, progress)| match progress {
            Progress::Done(result) => Some(StoredResult {
                piece,
                handle: result.handle.clone(),
                server: result.server.clone(),
                domain: result.domain.clone(),
            }),
            _ => None,
        });
        StageResults {
            stage,
            results: results.collect(),
        }
    }

    /// Whether any piece is in a running call.
    pub fn has_running_piece(&self) -> bool {
        let mut pieces = self.stages.iter().flat_map(|stage| &stage.pieces);
        pieces.any(|p| matches!(p, Progress::Running(_)))
    }

    /// Failure domain in which the pieces of a stage cause the least transfer between domains:
    /// that of large inputs, or that of the request's server for large results that go to the
    /// request only. `None` if neither is large.
    pub fn preferred_domain(&self, stage: usize) -> Option<&Name> {
        let spec = &self.job.stages[stage];
        let pieces = u64::from(spec.pieces);
        let input_bytes: u64 = spec
            .depends_on
            .iter()
            .map(|dependency| &self.job.stages[*dependency])
            .map(|dependency| dependency.result_bytes * u64::from(dependency.pieces))
            .sum();
        if input_bytes * pieces >= LARGE_TRANSFER_BYTES {
            return spec
                .depends_on
                .iter()
                .find_map(|dependency| self.result_domain(*dependency));
        }
        let large =
            spec.result_bytes * pieces >= LARGE_TRANSFER_BYTES && !self.has_dependents(stage);
        (large && !self.job.preferred_domain.is_empty()).then_some(&self.job.preferred_domain)
    }

    fn result_domain(&self, stage: usize) -> Option<&Name> {
        self.stages[stage].pieces.iter().find_map(|p| match p {
            Progress::Done(result) => Some(&result.domain),
            _ => None,
        })
    }

    /// Bytes of the request's inputs by the failure domain that stores them.
    pub fn bytes_by_domain(&self) -> Vec<(Name, u64)> {
        let mut sums: Vec<(Name, u64)> = Vec::new();
        for stage in self.final_stages() {
            for piece in &self.stages[stage].pieces {
                if let Progress::Done(result) = piece {
                    let bytes = self.job.stages[stage].result_bytes;
                    match sums.iter_mut().find(|(domain, _)| *domain == result.domain) {
                        Some((_, sum)) => *sum += bytes,
                        None => sums.push((result.domain.clone(), bytes)),
                    }
                }
            }
        }
        sums
    }

    /// Stages whose results are inputs of the request itself.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|stage| !self.has_dependents(*stage))
    }
}
