//! A checked request on its way through the instance, and its possible outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::claim::IdempotencyKey;
use sardineshore_core::{
    CustomerId, Fingerprint, NotRunReason, Pipeline, RequestId, UnknownReason,
};
use sardineshore_wire::caller::NotRunScope;

/// A request that was checked against the active configuration.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifier, assigned by this instance.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Pipeline as configured when the request was accepted.
    pub pipeline: Arc<Pipeline>,
    /// `Idempotency-Key` of a non-idempotent request; `None` for an idempotent one.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller asked for a streamed answer.
    pub streamed: bool,
    /// Fingerprint of the pipeline's name and the body.
    pub fingerprint: Fingerprint,
    /// Body of the request: the caller's JSON document.
    pub body: Arc<[u8]>,
    /// Hash of the beginning of the prompt, for prefix caches; 0 without a prompt.
    pub prefix: u64,
    /// Time when the request arrived.
    pub arrived: Instant,
    /// Time by which the complete answer must be sent.
    pub deadline: Instant,
}

impl Job {
    /// Time until the deadline; zero after it.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered, with the complete answer.
    Answered(Arc<[u8]>),
    /// The request did not run.
    NotRun {
        /// Reason for the caller.
        reason: NotRunReason,
        /// Explanation in plain text.
        detail: String,
        /// Whether this also covers earlier sends with the same idempotency key.
        covers: NotRunScope,
    },
    /// The request may have run.
    Unknown {
        /// Reason for the caller.
        reason: UnknownReason,
        /// Explanation in plain text.
        detail: String,
    },
}

impl RequestOutcome {
    /// Outcome of a request whose claim proves that no send of it has run.
    pub fn never_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
            covers: NotRunScope::Request,
        }
    }

    /// Outcome of a request of which this send did not run.
    pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
            covers: NotRunScope::Send,
        }
    }

    /// Outcome of a request that may have run.
    pub fn unknown(reason: UnknownReason, detail: impl Into<String>) -> Self {
        Self::Unknown {
            reason,
            detail: detail.into(),
        }
    }
}
