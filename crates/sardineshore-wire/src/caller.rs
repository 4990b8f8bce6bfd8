//! HTTP API that entry instances offer to callers.
//!
//! `POST /v1/pipelines/NAME/requests` with a JSON body. The answer's body is the last stage's
//! output. With `accept: text/event-stream` it is a stream of server-sent events: `token` with a
//! sequence number as its id, then exactly one `done` (the number of tokens) or `failed` (an
//! [`ErrorBody`]).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What the outcome `not-run` applies to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunScope {
    /// Only this send: an earlier send with the same idempotency key may have run.
    #[default]
    Send,
    /// Every send of the request so far.
    Request,
}

/// Body of a reply without an answer, and data of the `failed` event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// `not-run` or `unknown`.
    pub outcome: Arc<str>,
    /// Text of a [`sardineshore_core::NotRunReason`] or [`sardineshore_core::UnknownReason`].
    pub reason: Arc<str>,
    /// Identifier of the request; empty if none was assigned.
    pub request: Arc<str>,
    /// Explanation for people.
    pub detail: String,
    /// What `not-run` applies to.
    pub covers: NotRunScope,
    /// Whether sending the same request again may succeed.
    pub retryable: bool,
}
