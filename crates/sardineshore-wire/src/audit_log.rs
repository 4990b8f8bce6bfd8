//! Lines of the two logs that audits compare, as JSON lines.
//!
//! The stand-ins of backend servers write the execution log ([`ExecutionRecord`]), the load tool
//! writes the call log ([`CallRecord`]). An audit relies on these logs only, not on the counters
//! of the programs that it audits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One line of a backend server's execution log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Unix time of the event, in milliseconds.
    pub at_ms: u64,
    /// Name of the backend server.
    pub server: Arc<str>,
    /// What happened.
    pub event: ExecutionEvent,
    /// Identifier of the request.
    pub request: Arc<str>,
    /// Identifier of the attempt.
    pub attempt: Arc<str>,
    /// Name of the stage.
    pub stage: Arc<str>,
    /// Run identifier of a non-idempotent call; empty for other calls.
    pub run_id: Arc<str>,
    /// Tag that the caller put into its input (field `"tag"`); empty without one.
    pub tag: Arc<str>,
}

/// What a backend server did with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEvent {
    /// The attempt is about to run; from here on it may have had its effect.
    Begun,
    /// The attempt finished and its answer was written.
    Finished,
    /// The attempt was rejected without running.
    Refused,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt crashed the server.
    Crashed,
    /// The server process started; the line belongs to no attempt.
    Started,
}

/// One line of the load tool's call log: the outcome of one logical request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Unix time in milliseconds at which the request was due.
    pub due_ms: u64,
    /// Time from when the request was due until its reply was read to the end, in microseconds.
    pub latency_us: u64,
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// `IP:PORT` of the entry instance that got the last send; empty if none could be reached.
    pub entry: Arc<str>,
    /// Request identifier from the entry instance's reply; empty without a reply.
    pub request: Arc<str>,
    /// Tag that the caller put into its input, unique per logical request.
    pub tag: Arc<str>,
    /// Idempotency key; empty if none was sent.
    pub key: Arc<str>,
    /// `answered`, `not-run`, `unknown`, or `no-reply`.
    pub outcome: Arc<str>,
    /// Reason of the outcome; empty for `answered`.
    pub reason: Arc<str>,
    /// Tag found in the answer; empty without one.
    pub answer_tag: Arc<str>,
    /// Whether the answer was complete: all stages, and all tokens in order.
    pub whole: bool,
    /// Whether the complete answer came within the deadline.
    pub in_time: bool,
    /// Number of times that this logical request was sent, retries included.
    pub sends: u32,
}
