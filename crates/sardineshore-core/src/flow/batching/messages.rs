//! What an owner's board is told and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use super::job::StageResults;
use crate::flow::config::{BatchSpec, Name};

/// A server of a batch pool.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchServer {
    /// Id of the server's incarnation.
    pub id: Name,
    /// Pool that it serves.
    pub pool: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Figures of its pool.
    pub spec: BatchSpec,
    /// Whether it takes new work.
    pub ready: bool,
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPiece {
    /// Id of the request.
    pub request: Name,
    /// Stage.
    pub stage: usize,
    /// Number of the piece.
    pub piece: usize,
    /// Time left for the request.
    pub time_to_deadline: Duration,
    /// Where its input comes from.
    pub input: PieceInput,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's own key.
    Key(Name),
    /// Results of earlier stages.
    Results(Vec<Name>),
}

/// Why a server did not make a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// The time left had run out.
    DeadlineExceeded,
    /// An input no longer exists.
    InputMissing,
    /// No memory for the result.
    OutOfMemory,
    /// Anything else.
    Failed,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// An end for every piece, in the order of the call.
    Answered(Vec<Result<Name, PieceError>>),
    /// The server did not take the call and says so.
    Rejected,
    /// No usable answer: the server may be gone with all it kept.
    Broken,
}

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a call to a server.
    Call {
        /// Number of the call.
        call_id: u64,
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Pieces.
        pieces: Vec<CallPiece>,
        /// Time after which the call is given up.
        timeout: Duration,
    },
    /// All stages of a job ended; these are the inputs of the request.
    Finished {
        /// Id of the request.
        request: Name,
        /// Names of the results.
        inputs: Vec<Name>,
        /// Their bytes by the failure domain that they lie in.
        bytes_by_domain: Vec<(Name, u64)>,
    },
    /// A stage of a job ended, or the job is handed over with a part of it made; a later owner can
    /// go on from there.
    StageEnded {
        /// Id of the request.
        request: Name,
        /// Its results.
        results: StageResults,
    },
    /// A job goes on at another owner.
    HandedOver {
        /// Id of the request.
        request: Name,
    },
    /// A job can't end in time.
    GivenUp {
        /// Id of the request.
        request: Name,
        /// When to come back.
        retry_after: Duration,
    },
    /// Ask a server how much memory it has left for results; see [`super::BatchScheduler::set_free_memory`].
    QueryFreeMemory {
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// Tell a server that results are not needed any more.
    ReleaseResults {
        /// Id of the server.
        server: Name,
        /// Its address.
        address: SocketAddr,
        /// Names of the results.
        handles: Vec<Name>,
    },
}

/// Answer to a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Taken on; the forecast says whether it is expected within its aim.
    Accepted {
        /// Expected to be later than its aim.
        late: bool,
    },
    /// Can't be served; nothing of it has run.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}
