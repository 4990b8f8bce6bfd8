//! The outcome of one attempt of a stage.

use std::sync::Arc;

use sardineshore_core::{AttemptResult, NotRunReason, UnknownReason};
use sardineshore_wire::http::ClientError;

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// Answered, with the stage's output.
    Answered(Arc<[u8]>),
    /// The attempt provably did not run.
    NotRun {
        /// Reason for the caller, if no other attempt follows.
        reason: NotRunReason,
        /// Description of the failure.
        detail: String,
    },
    /// The attempt was sent and may have run.
    MayHaveRun {
        /// Result for routing.
        result: AttemptResult,
        /// Reason for the caller.
        reason: UnknownReason,
        /// Description of the failure.
        detail: String,
    },
}

impl AttemptOutcome {
    /// Result for routing and retries.
    #[must_use]
    pub fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(_) => AttemptResult::Answered,
            Self::NotRun { .. } => AttemptResult::Refused,
            Self::MayHaveRun { result, .. } => *result,
        }
    }

    /// Outcome of an attempt that provably did not run.
    pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
        }
    }

    /// Outcome of an attempt that was sent and ended without an answer.
    pub fn may_have_run(
        result: AttemptResult,
        reason: UnknownReason,
        detail: impl Into<String>,
    ) -> Self {
        Self::MayHaveRun {
            result,
            reason,
            detail: detail.into(),
        }
    }
}

impl From<ClientError> for AttemptOutcome {
    fn from(err: ClientError) -> Self {
        let detail = err.to_string();
        match err {
            ClientError::NotSent(_) | ClientError::ConnectTimedOut => {
                Self::not_run(NotRunReason::NoServer, detail)
            }
            ClientError::ReplyLost(_) => {
                Self::may_have_run(AttemptResult::Lost, UnknownReason::ConnectionLost, detail)
            }
            ClientError::TimedOut => Self::may_have_run(
                AttemptResult::TimedOut,
                UnknownReason::DeadlineExceeded,
                detail,
            ),
        }
    }
}
