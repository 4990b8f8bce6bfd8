//! Events and actions of a [`ClaimMachine`](super::ClaimMachine).
//!
//! The code around the machine performs the actions and passes their results back as events.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, CommitOutcome, InstanceId, NotRunReason, Outcome, Row, ServerId, StoreError, Txn,
    UnknownReason,
};

/// Input of a claim machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Result of the last [`ClaimAction::Commit`].
    Committed(Result<CommitOutcome, StoreError>),
    /// Result of the last [`ClaimAction::ReadRow`].
    RowRead(Result<Option<Row>, StoreError>),
    /// The stage runner is about to send a non-idempotent call over an open connection.
    ///
    /// If no [`ClaimAction::Dispatch`] follows, the call must not be sent.
    DispatchRequested {
        /// Index of the stage in its pipeline, from 0.
        stage: u32,
        /// Backend server that the call would go to.
        server: ServerId,
        /// Incarnation of the process at the other end of the connection; 0 if unknown.
        incarnation: u64,
        /// Whether drain, quarantine and configuration allow the send at this moment.
        may_dispatch: bool,
    },
    /// Result of the call that was dispatched last.
    Dispatched(DispatchResult),
    /// Reply of a backend server to [`ClaimAction::AskServer`].
    Status {
        /// Backend server that was asked.
        server: ServerId,
        /// Its incarnation, read after the status; 0 if unknown.
        incarnation: u64,
        /// Status of the run.
        report: RunReport,
    },
    /// Reply of the claimant's instance to [`ClaimAction::AskPeer`].
    PeerReplied(PeerReply),
    /// The stage runner finished or gave up.
    RunEnded(RunResult),
    /// The time of the last [`ClaimAction::WakeAt`] has come.
    Tick,
}

/// Result of a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchResult {
    /// A valid answer was received.
    Answered,
    /// It provably did not run: there was no connection, or the backend server replied with a
    /// typed refusal.
    NotRun,
    /// It may have run.
    Lost(UnknownReason),
}

/// Status that a backend server reports for a run identifier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunReport {
    /// It ran and gave this answer.
    Ran(Arc<str>),
    /// It is running.
    Running,
    /// It has not begun, and the server refuses it from now on.
    Sealed,
    /// The server gave no usable reply.
    NoAnswer,
}

/// Status that the claimant's instance reports for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum PeerReply {
    /// The run is in progress.
    InFlight,
    /// It was answered.
    Answered {
        /// Body of the answer, JSON text.
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
    /// It has the answer to the whole request, JSON text.
    Answered(Arc<str>),
    /// It gave up; no call is outstanding.
    GaveUp(NotRunReason),
    /// It failed after a call that may have run.
    Failed(UnknownReason),
}

/// Action that a claim machine asks the code around it to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Commit the transaction; exactly one [`ClaimEvent::Committed`] must follow.
    Commit(Txn),
    /// Read the row with this table key; exactly one [`ClaimEvent::RowRead`] must follow.
    ReadRow(Arc<str>),
    /// Let the stage runner request dispatches: the claim is confirmed.
    Held,
    /// Send the call now, or report [`DispatchResult::NotRun`].
    Dispatch {
        /// Backend server to send it to.
        server: ServerId,
        /// Identifier under which the server runs it at most once.
        run_id: Arc<str>,
    },
    /// Ask a backend server for the status of a run, and make the server refuse the run from now
    /// on if it has not begun.
    AskServer {
        /// Backend server to ask.
        server: ServerId,
        /// Identifier of the run.
        run_id: Arc<str>,
    },
    /// Ask an instance, which may be this one, for the status of an attempt.
    AskPeer {
        /// Instance to ask.
        instance: InstanceId,
        /// Attempt whose status is wanted.
        attempt: AttemptId,
    },
    /// Tell the stage runner the result of a call whose connection was lost: it ran and gave this
    /// answer, or, if `None`, it provably did not run and may be sent again.
    Resolved(Option<Arc<str>>),
    /// Send the outcome to the caller; occurs exactly once.
    Reply {
        /// Outcome of the request.
        outcome: Outcome,
        /// Body of the answer, for [`Outcome::Answered`].
        answer: Option<Arc<str>>,
    },
    /// Send [`ClaimEvent::Tick`] at this time; replaces the time of any earlier `WakeAt`.
    WakeAt(Instant),
    /// Drop the machine: it has ended.
    Done,
}
