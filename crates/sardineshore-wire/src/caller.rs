//! The callers' HTTP form.
//!
//! `POST /v1/pipelines/NAME/requests` with a JSON body. The answer's body is the last stage's
//! output; with `accept: text/event-stream` it is a stream of events: `token` with a sequence
//! number as its id, then exactly one `done` (the number of tokens) or `failed` (an [`ErrorBody`]).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What `not-run` speaks of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunScope {
    /// This send only: an earlier send with the same idempotency key may have run.
    #[default]
    Send,
    /// Every send of the request so far.
    Request,
}

/// Body of every reply that carries no answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// `not-run` or `unknown`.
    pub outcome: Arc<str>,
    /// Reason, as in [`sardineshore_core::NotRunReason`] or [`sardineshore_core::UnknownReason`].
    pub reason: Arc<str>,
    /// The request's identifier; empty if none was assigned.
    pub request: Arc<str>,
    /// Text for people.
    pub detail: String,
    /// What `not-run` speaks of.
    pub covers: NotRunScope,
    /// Whether the same request may be sent again with a chance of success.
    pub retryable: bool,
}
