//! Outcomes that are reported to callers: answered, not run, or unknown.

use serde::{Deserialize, Serialize};

/// The three outcomes of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The complete answer follows.
    Answered,
    /// No stage with an effect has run or will run for this request.
    NotRun {
        /// Reason.
        reason: NotRunReason,
    },
    /// The request may have run, completely or in part; sardineshore never retries it by itself.
    Unknown {
        /// Reason.
        reason: UnknownReason,
    },
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The caller sent too slowly.
    SlowSender,
    /// The pipeline is not declared.
    UnknownPipeline,
    /// A non-idempotent request has no `Idempotency-Key`.
    KeyMissing,
    /// The `Idempotency-Key` is not a version 7 UUID.
    KeyMalformed,
    /// The time in the key is older than the retention window, or in the future.
    KeyExpired,
    /// The key was used with a different request.
    KeyReused,
    /// The deadline is malformed, zero or above the limit.
    BadDeadline,
    /// The request can't finish within its deadline.
    DeadlineUnreachable,
    /// The queue of the customer or of the instance is full.
    Overloaded,
    /// No backend server of a stage accepts work.
    NoServer,
    /// The claim could not be confirmed in time.
    StoreUnavailable,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The instance is shutting down.
    Stopping,
    /// The instance can't confirm that its configuration is current.
    ConfigurationUnconfirmed,
}

impl NotRunReason {
    /// HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing | Self::KeyMalformed | Self::BadDeadline => 400,
            Self::UnknownPipeline => 404,
            Self::SlowSender => 408,
            Self::KeyReused => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::DeadlineUnreachable
            | Self::NoServer
            | Self::StoreUnavailable
            | Self::Stopping
            | Self::ConfigurationUnconfirmed => 503,
        }
    }

    /// Whether the same request may succeed if it is sent again later.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self.status(), 408 | 429 | 503)
    }
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The deadline passed while a stage was running.
    DeadlineExceeded,
    /// The connection to a backend server broke after the request was sent.
    ConnectionLost,
    /// Another instance claimed the key, and its result can't be obtained.
    ClaimantUnreachable,
    /// A backend server's answer belonged to another request or was incomplete.
    AnswerInvalid,
    /// A backend server reported a failure after it had begun to run the call.
    ServerFailed,
}

impl UnknownReason {
    /// HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::DeadlineExceeded | Self::ClaimantUnreachable => 504,
            Self::ConnectionLost | Self::AnswerInvalid | Self::ServerFailed => 502,
        }
    }
}
