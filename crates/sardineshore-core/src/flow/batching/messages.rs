//! Inputs and outputs of the batch scheduler: servers, outcomes, and the [`Action`]s that its
//! caller carries out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::job::StageResults;
use crate::flow::config::{BatchSpec, Name};

/// A server of a batch pool.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchServer {
    /// Id of the server's incarnation.
    pub id: Name,
    /// Pool that it serves.
    pub pool: Name,
    /// Address for calls.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Limits and call times, the same for all servers of the pool.
    pub spec: BatchSpec,
    /// Whether it takes new calls; if not, its results can still be fetched.
    pub ready: bool,
    /// Until when it wants no requests of any kind.
    pub paused_until: Option<Instant>,
}

/// One piece of work in a call to a batch server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPiece {
    /// Id of the request.
    pub request: Name,
    /// Index of the stage in the job.
    pub stage: usize,
    /// Index of the piece in its stage.
    pub piece: usize,
    /// Time left until the deadline of the request.
    pub time_to_deadline: Duration,
    /// What the server computes the piece from.
    pub input: PieceInput,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// Key of the request's own input, for stages without dependencies.
    Key(Name),
    /// Handles of the results of earlier stages.
    Results(Vec<Name>),
}

/// Why a server did not compute a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// The deadline of the request had passed.
    DeadlineExceeded,
    /// The result of an earlier stage no longer exists.
    InputMissing,
    /// The server has no memory for the result.
    OutOfMemory,
    /// Any other error.
    Failed,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered with a result handle or an error for each piece, in the order of the
    /// call.
    Answered(Vec<Result<Name, PieceError>>),
    /// The server answered that it did not run the call.
    Rejected,
    /// The connection failed or the answer can't be used. The server may be lost with all its
    /// results.
    Broken,
    /// No answer arrived in time. The server may be sound and have its results.
    TimedOut,
}

/// What the caller of the scheduler has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a call to a server, and report its end with [`super::BatchScheduler::call_ended`].
    Call {
        /// Id of the call, unique within the scheduler.
        call_id: u64,
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Pieces to compute.
        pieces: Vec<CallPiece>,
        /// Time after which the call ends as [`CallOutcome::TimedOut`].
        timeout: Duration,
    },
    /// Report that all stages of a job finished and the request can run.
    Finished {
        /// Id of the request.
        request: Name,
        /// Handles of the results that are inputs of the request.
        inputs: Vec<Name>,
        /// Their bytes by the failure domain that stores them.
        bytes_by_domain: Vec<(Name, u64)>,
    },
    /// Report results of a stage, so that a later owner can continue from there. The stage has
    /// finished, or the job is handed over with a part of its pieces computed.
    StageEnded {
        /// Id of the request.
        request: Name,
        /// Results of the stage.
        results: StageResults,
    },
    /// Report that a job has to continue at another owner.
    HandedOver {
        /// Id of the request.
        request: Name,
    },
    /// Report that an accepted job was given up because it can't finish before its deadline.
    GivenUp {
        /// Id of the request.
        request: Name,
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Why it was given up.
        reason: RefusalReason,
    },
    /// Query how much memory a server has free for results, and report it with
    /// [`super::BatchScheduler::set_free_memory`].
    QueryFreeMemory {
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// Tell a server that results are no longer needed, and report its end with
    /// [`super::BatchScheduler::release_ended`].
    ReleaseResults {
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Handles of the results.
        handles: Vec<Name>,
    },
}

/// Whether a submitted job was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job was accepted.
    Accepted {
        /// Whether the forecast says that it will miss its soft deadline.
        late: bool,
    },
    /// The job can't be served; nothing of it has run.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Why it was refused.
        reason: RefusalReason,
    },
}

/// Why a job was refused or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// Its stages are inconsistent or beyond their limits.
    Invalid,
    /// A pool that it needs has no server.
    NoServer,
    /// It could not finish before its deadline even without other jobs.
    DeadlineTooClose,
    /// It would finish too late behind the jobs that were accepted before.
    Overloaded,
    /// It was parked, and would finish too late behind the jobs that start before it.
    Parked,
    /// It was started, and can't finish before its deadline any more.
    OutOfTime,
    /// Its pieces failed or lost their inputs too often.
    Failed,
    /// It was refused before, and can't be served at its second attempt either.
    RefusedAgain,
    /// Its customer asks for more than usual from an overloaded pool.
    CustomerBurst,
}

impl RefusalReason {
    /// Text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid job",
            Self::NoServer => "no server",
            Self::DeadlineTooClose => "deadline too close",
            Self::Overloaded => "overloaded",
            Self::Parked => "parked",
            Self::OutOfTime => "out of time",
            Self::Failed => "pieces failed",
            Self::RefusedAgain => "refused again",
            Self::CustomerBurst => "customer's burst",
        }
    }

    /// Whether a further attempt of the caller would be refused as well, or end too late.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::RefusedAgain | Self::DeadlineTooClose | Self::OutOfTime
        )
    }
}
