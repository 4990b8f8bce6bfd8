//! HTTP API of the backend servers, which the entry instances call.
//!
//! * `POST /v1/run`: runs one stage; the reply repeats the request, stage and attempt headers. A
//!   server that did not run the stage answers 503 with `x-sardine-run: not-run`; if it adds
//!   `retry-after` in seconds, it wants no requests from this instance for that time. With
//!   `accept: text/event-stream` the reply is a stream of server-sent events whose data is a
//!   [`StreamItem`].
//! * `POST /v1/cancel`: a [`CancelRequest`]; stops an attempt whose result is no longer needed.
//! * `GET /v1/load`: a [`LoadReport`].
//! * `GET /v1/requests/RUN_ID`: a [`RunStatus`]; not every server supports it. With `?seal=true`
//!   a server that has not started the run rejects its identifier from then on.
//! * `POST /v1/orders`: a [`FencedOrder`], answered with an [`OrderReply`].
//! * `GET /v1/cache-events?after=N`: a list of [`CacheEvent`] with a number above `N`.

use std::sync::Arc;

use sardineshore_core::{EngineAction, FencingToken};
use serde::{Deserialize, Serialize};

/// Load of one backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Name of the server.
    pub server: Arc<str>,
    /// Number that changes whenever the server's process starts, so that a restart is detected.
    pub incarnation: u64,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that wait in the server's queue.
    pub queued: u32,
    /// Number of requests that can run concurrently before the server queues.
    pub capacity: u32,
    /// Age of these values when the server sent them, in milliseconds.
    pub age_ms: u64,
    /// Time that the attempt of this reply took on the server, in microseconds; 0 in a report
    /// that was polled from `/v1/load`.
    pub service_us: u64,
    /// Prompt tokens of this reply's attempt that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Whether the server shuts down and wants no new work; final for this incarnation.
    pub leaving: bool,
    /// Version of the server's software; empty if unknown. A stream continues on another server only
    /// if both report the same version.
    pub version: Arc<str>,
}

/// Body of `POST /v1/cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the attempt to stop.
    pub attempt: Arc<str>,
}

/// State of the run with a given identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "status")]
pub enum RunStatus {
    /// The run has finished.
    Ran {
        /// Body of its answer, JSON text.
        answer: Arc<str>,
    },
    /// The run is in progress.
    Running,
    /// The run has not started, but may still start.
    NotBegun,
    /// The run has not started, and the server rejects its identifier from now on.
    Sealed,
}

/// One item of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "item")]
pub enum StreamItem {
    /// One token.
    Token {
        /// Sequence number, from 0 without gaps.
        seq: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens in the complete answer.
        tokens: u64,
    },
}

/// A management order for a server, sent by the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Identifier of the order; an order that is sent twice takes effect once.
    pub id: Arc<str>,
    /// Fencing token of the sender's lease.
    pub fence: FencingToken,
    /// What the server is to do.
    pub action: EngineAction,
}

/// Reply of a server to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OrderReply {
    /// The order is complete.
    Done,
    /// The order is in progress.
    InProgress,
    /// Rejected: the server has seen a higher fencing token.
    Fenced {
        /// Highest token that the server has seen.
        highest: FencingToken,
    },
    /// Rejected: another order is in progress.
    Busy,
}

/// One change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; if false, it was evicted.
    pub stored: bool,
}
