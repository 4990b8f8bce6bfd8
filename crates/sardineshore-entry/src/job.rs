//! One admitted request and the ways it can end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::claim::IdempotencyKey;
use sardineshore_core::{
    CustomerId, Fingerprint, NotRunReason, Pipeline, RequestId, UnknownReason,
};
use sardineshore_wire::caller::NotRunScope;

/// One admitted request.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifier.
    pub request: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// Pipeline as declared when the request was admitted.
    pub pipeline: Arc<Pipeline>,
    /// `Idempotency-Key` of a non-idempotent request.
    pub key: Option<IdempotencyKey>,
    /// Whether the answer shall be streamed.
    pub streamed: bool,
    /// Fingerprint of pipeline and body.
    pub fingerprint: Fingerprint,
    /// JSON document of the caller.
    pub body: Arc<[u8]>,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the whole answer is due.
    pub deadline: Instant,
}

impl Job {
    /// Time that remains until the deadline.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With its whole answer.
    Answered(Arc<[u8]>),
    /// Without having run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// Text for people.
        detail: String,
        /// Whether earlier sends with the same key did not run either.
        covers: NotRunScope,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
        /// Text for people.
        detail: String,
    },
}

impl RequestOutcome {
    /// Ends a request whose claim proves that no send of it has run.
    pub fn never_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
            covers: NotRunScope::Request,
        }
    }

    /// Ends this send of a request as not run.
    pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
            covers: NotRunScope::Send,
        }
    }

    /// Ends a request with unknown outcome.
    pub fn unknown(reason: UnknownReason, detail: impl Into<String>) -> Self {
        Self::Unknown {
            reason,
            detail: detail.into(),
        }
    }
}
