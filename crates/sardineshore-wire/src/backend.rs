//! The backend servers' HTTP form.
//!
//! * `POST /v1/run`: runs one stage; the reply repeats the request, stage and attempt headers. A
//!   server that did not run it answers 503 with `x-sardine-run: not-run`. With
//!   `accept: text/event-stream` the reply is a stream of [`StreamItem`] as event data.
//! * `POST /v1/cancel`: a [`CancelRequest`]; stops an attempt that nobody waits for.
//! * `GET /v1/load`: a [`LoadReport`].
//! * `GET /v1/requests/RUN_ID`: a [`RunStatus`], from servers that answer it. `?seal=true` makes
//!   the server refuse the identifier from then on if it has not begun.
//! * `POST /v1/orders`: a [`FencedOrder`], answered with an [`OrderReply`].
//! * `GET /v1/cache-events?after=N`: a list of [`CacheEvent`].

use std::sync::Arc;

use sardineshore_core::{EngineAction, FencingToken};
use serde::{Deserialize, Serialize};

/// Load of one backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// Number that changes with each start of the server's process.
    pub incarnation: u64,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that run at the same time without queueing.
    pub capacity: u32,
    /// Age of the figures when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Time that the answered attempt took on the server, in microseconds; 0 in polled reports.
    pub service_us: u64,
    /// Prompt tokens found in the prefix cache for the answered attempt.
    pub cached_tokens: u32,
}

/// Body of a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request.
    pub request: Arc<str>,
    /// Attempt.
    pub attempt: Arc<str>,
}

/// What became of a run identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "status")]
pub enum RunStatus {
    /// It ran; this was the answer.
    Ran {
        /// The answer's body, JSON text.
        answer: Arc<str>,
    },
    /// It is running.
    Running,
    /// It has not begun, but may yet.
    NotBegun,
    /// It has not begun and the server will refuse it from now on.
    Sealed,
}

/// One item of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "item")]
pub enum StreamItem {
    /// One token.
    Token {
        /// Number of the token, from 0 without gaps.
        seq: u64,
        /// Text.
        text: Arc<str>,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens of the whole answer.
        tokens: u64,
    },
}

/// An order under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Identifier; the same order sent twice takes effect once.
    pub id: Arc<str>,
    /// Fencing token of the sender's lease.
    pub fence: FencingToken,
    /// What to do.
    pub action: EngineAction,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OrderReply {
    /// The order was carried out.
    Done,
    /// The order is being carried out.
    InProgress,
    /// The fencing token is older than one seen before.
    Fenced {
        /// Highest number seen.
        highest: FencingToken,
    },
    /// Another order is being carried out.
    Busy,
}

/// One change of a prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub seq: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    /// Whether it was stored (or evicted).
    pub stored: bool,
}
