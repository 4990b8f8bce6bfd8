//! What a claim machine is told and what it asks for.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, CommitOutcome, InstanceId, NotRunReason, Outcome, Row, ServerId, StoreError, Txn,
    UnknownReason,
};

/// What a claim machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The answer to the last [`ClaimAction::Commit`].
    Committed(Result<CommitOutcome, StoreError>),
    /// The answer to the last [`ClaimAction::ReadRow`].
    RowRead(Result<Option<Row>, StoreError>),
    /// The stage runner is about to send a non-idempotent call over an open connection.
    ///
    /// If no [`ClaimAction::Dispatch`] follows, the call must not be sent.
    DispatchRequested {
        /// Index of the stage.
        stage: u32,
        /// Backend server.
        server: ServerId,
        /// Incarnation of the process at the other end of the connection; 0 if unknown.
        incarnation: u64,
        /// Whether drain, quarantine and configuration allow the send at this moment.
        may_dispatch: bool,
    },
    /// What became of the call that was dispatched last.
    Dispatched(DispatchResult),
    /// Answer of a backend server to [`ClaimAction::AskServer`].
    Status {
        /// Backend server.
        server: ServerId,
        /// Its incarnation, read after the status; 0 if unknown.
        incarnation: u64,
        /// What became of the run.
        report: RunReport,
    },
    /// Answer of the claimant's instance to [`ClaimAction::AskPeer`].
    PeerReplied(PeerReply),
    /// The stage runner finished or gave up.
    RunEnded(RunResult),
    /// Time has passed.
    Tick,
}

/// What became of a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// The right answer came.
    Answered,
    /// It provably did not run: no connection, or a typed refusal of the backend server.
    NotRun,
    /// It may have run.
    Lost(UnknownReason),
}

/// What a backend server says of a run identifier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunReport {
    /// It ran; this was the answer.
    Ran(Arc<str>),
    /// It is running.
    Running,
    /// It has not begun and the server refuses it from now on.
    Sealed,
    /// No usable answer.
    NoAnswer,
}

/// What the claimant's instance says of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum PeerReply {
    /// The run is in progress.
    InFlight,
    /// It was answered.
    Answered {
        /// The answer's body, JSON text.
        answer: Arc<str>,
    },
    /// The attempt did not run and never will.
    NeverRuns,
    /// It ended, and may have run.
    Unknown,
    /// The instance does not know the attempt.
    NotKnown,
    /// The instance can't be reached.
    Unreachable,
}

/// How the stage runner ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// With the whole answer.
    Answered(Arc<str>),
    /// It gave up; no call is outstanding.
    GaveUp(NotRunReason),
    /// It failed after a call that may have run.
    Failed(UnknownReason),
}

/// What a claim machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Commit a transaction; exactly one [`ClaimEvent::Committed`] must follow.
    Commit(Txn),
    /// Read a row; exactly one [`ClaimEvent::RowRead`] must follow.
    ReadRow(Arc<str>),
    /// The claim is confirmed: the stage runner may ask for dispatches.
    Held,
    /// Send the call now, or report [`DispatchResult::NotRun`].
    Dispatch {
        /// Backend server.
        server: ServerId,
        /// Identifier under which it may run once.
        run_id: Arc<str>,
    },
    /// Ask a backend server what became of a run and make it refuse the run if it has not begun.
    AskServer {
        /// Backend server.
        server: ServerId,
        /// Identifier of the run.
        run_id: Arc<str>,
    },
    /// Ask an instance, which may be this one, what became of an attempt.
    AskPeer {
        /// Instance.
        instance: InstanceId,
        /// Attempt.
        attempt: AttemptId,
    },
    /// What became of a call whose connection was lost: it ran with this answer, or, if `None`,
    /// provably did not run and may be sent again.
    Resolved(Option<Arc<str>>),
    /// Tell the caller; comes exactly once.
    Reply {
        /// Outcome.
        outcome: Outcome,
        /// The answer's body, for [`Outcome::Answered`].
        answer: Option<Arc<str>>,
    },
    /// Call [`ClaimEvent::Tick`] at this time; replaces the last one.
    WakeAt(Instant),
    /// Nothing is left to do.
    Done,
}
