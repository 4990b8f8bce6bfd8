//! What the router is asked, what it answers, and what it is told afterwards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::{PoolId, ServerId};

/// One attempt to place: everything that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Pool of the stage.
    pub pool: &'a PoolId,
    /// Request that the attempt belongs to.
    pub request: &'a str,
    /// Customer of the request.
    pub customer: &'a str,
    /// Hash of the prompt's prefix; 0 if the stage has none.
    pub prefix: u64,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
    /// Backend servers that earlier attempts of this stage were sent to.
    pub tried_servers: &'a [ServerId],
    /// When the stage must have answered.
    pub deadline: Instant,
}

/// Where to send one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedServer {
    /// Backend server.
    pub server: ServerId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: Arc<str>,
    /// Time until its answer is expected.
    pub predicted_latency: Duration,
}

/// Why an attempt can't be placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SelectionError {
    /// No backend server of the pool may receive work.
    #[error("no backend server of the pool may receive work")]
    NoServer,
    /// Every backend server of the pool is at its concurrency limit.
    #[error("every backend server is at its limit; ask again in {retry_after:?}")]
    Saturated {
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
    /// The deadline has passed or passes before any backend server could answer.
    #[error("no backend server can answer before the deadline")]
    TooLate,
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// Result.
    pub result: AttemptResult,
    /// Time from the send to the end of the attempt, as the entry instance saw it.
    pub latency: Duration,
    /// Time that the attempt took on the backend server, as it said; zero if it said nothing.
    pub service: Duration,
    /// Prompt tokens found in the prefix cache, as the backend server said.
    pub cached_tokens: u32,
}

/// Result of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// The whole answer arrived.
    #[default]
    Answered,
    /// The backend server said that it did not run the attempt, or no connection was made.
    Refused,
    /// The backend server answered with a failure after it had begun.
    Failed,
    /// The connection broke after the attempt was sent, or the answer was invalid.
    Lost,
    /// No answer arrived in time.
    TimedOut,
    /// The entry instance gave the attempt up, for example because another attempt answered.
    Cancelled,
}

/// Load of a backend server as it reported it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that run at the same time without queueing; 0 if unknown.
    pub capacity: u32,
    /// Age of the figures when they arrived.
    pub age: Duration,
    /// Number that changes with each start of the server's process.
    pub incarnation: u64,
}
