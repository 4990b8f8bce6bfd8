//! The execution log of the stand-ins and the callers' log of the load tool: JSON lines.
//!
//! Audits compare these logs; the product's own counters are not evidence.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One line of a backend server's execution log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Backend server.
    pub server: Arc<str>,
    /// What happened.
    pub event: ExecutionEvent,
    /// Request.
    pub request: Arc<str>,
    /// Attempt.
    pub attempt: Arc<str>,
    /// Stage.
    pub stage: Arc<str>,
    /// Run identifier of a non-idempotent call, or empty.
    pub run_id: Arc<str>,
    /// Tag that the caller put into its input (`"tag"`), or empty.
    pub tag: Arc<str>,
}

/// What a backend server did with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEvent {
    /// The request arrived and is about to run; its effect may have happened from here on.
    Begun,
    /// It finished and the answer was written.
    Finished,
    /// It was refused without running.
    Refused,
    /// It was cancelled.
    Cancelled,
    /// It crashed the server.
    Crashed,
    /// The server started.
    Started,
}

/// One line of the load tool's log: what one caller was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Unix time in milliseconds at which the request was due.
    pub due_ms: u64,
    /// Microseconds from when it was due until the whole reply was read.
    pub latency_us: u64,
    /// Customer.
    pub customer: Arc<str>,
    /// Pipeline.
    pub pipeline: Arc<str>,
    /// `IP:PORT` of the entry instance that was asked last; empty if none could be reached.
    pub entry: Arc<str>,
    /// Request, as told by the entry instance; empty if no reply came.
    pub request: Arc<str>,
    /// Tag that the caller put into its input, unique per logical request.
    pub tag: Arc<str>,
    /// Idempotency key, or empty.
    pub key: Arc<str>,
    /// `answered`, `not-run`, `unknown`, or `no-reply`.
    pub outcome: Arc<str>,
    /// Reason, or empty.
    pub reason: Arc<str>,
    /// Tag found in the answer, or empty.
    pub answer_tag: Arc<str>,
    /// Whether the answer was complete (all stages, all tokens in order).
    pub whole: bool,
    /// Whether the whole answer came within the deadline.
    pub in_time: bool,
    /// How often this logical request was sent.
    pub sends: u32,
}
