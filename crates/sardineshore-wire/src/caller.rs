//! The callers' HTTP form.
//!
//! `POST /v1/pipelines/NAME/requests` with a JSON body. The answer's body is the last stage's
//! output; with `accept: text/event-stream` it is a stream of events: `token` with a sequence
//! number as its id, then exactly one `done` (whole answer) or `failed` (a [`Refusal`]).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Body of every reply that carries no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// `not-run` or `unknown`.
    pub outcome: Arc<str>,
    /// Reason, as in [`sardineshore_core::NotRunReason`] or [`sardineshore_core::UnknownReason`].
    pub reason: Arc<str>,
    /// The request's identifier; empty if none was assigned.
    pub request: Arc<str>,
    /// Text for people.
    pub detail: String,
    /// Whether the same request may be sent again with a chance of success.
    pub retryable: bool,
}
