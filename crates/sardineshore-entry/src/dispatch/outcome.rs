//! How one attempt of a stage ended.

use std::sync::Arc;

use sardineshore_core::{AttemptResult, NotRunReason, UnknownReason};
use sardineshore_wire::http::ClientError;

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// With the stage's output.
    Answered(Arc<[u8]>),
    /// It provably did not run.
    NotRun {
        /// Reason to tell the caller, if no other attempt follows.
        reason: NotRunReason,
        /// What happened.
        detail: String,
    },
    /// It may have run.
    MayHaveRun {
        /// Result, for routing.
        result: AttemptResult,
        /// Reason to tell the caller.
        reason: UnknownReason,
        /// What happened.
        detail: String,
    },
}

impl AttemptOutcome {
    /// Result, for routing and retries.
    #[must_use]
    pub fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(_) => AttemptResult::Answered,
            Self::NotRun { .. } => AttemptResult::Refused,
            Self::MayHaveRun { result, .. } => *result,
        }
    }

    /// An attempt that provably did not run.
    pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
        }
    }

    /// An attempt that ended without an answer after it was sent.
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
            ClientError::NotSent(_) => Self::not_run(NotRunReason::NoServer, detail),
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
