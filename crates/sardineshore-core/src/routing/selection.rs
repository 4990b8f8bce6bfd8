//! Inputs and results of server selection: the request, the selected server, and the reports of
//! attempts and load that the router learns from.

use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::StreamOrigin;
use crate::{PoolId, ServerId};

/// An attempt that needs a backend server, with everything that the selection depends on.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Pool of the stage.
    pub pool: &'a PoolId,
    /// Identifier of the request that the attempt belongs to.
    pub request: &'a str,
    /// Customer of the request.
    pub customer: &'a str,
    /// Hash of the prompt's prefix, for affinity to a server that caches it; 0 if the stage has
    /// none.
    pub prefix: u64,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
    /// Backend servers that earlier attempts of this stage were sent to.
    pub tried_servers: &'a [ServerId],
    /// Process that began the stream which this attempt continues; `None` if it begins one, or if
    /// the answer isn't streamed.
    pub origin: Option<&'a StreamOrigin>,
    /// When the stage must have answered.
    pub deadline: Instant,
}

/// The backend server to which an attempt is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedServer {
    /// Name of the backend server.
    pub server: ServerId,
    /// `IP:PORT` of its HTTP listener.
    pub addr: Arc<str>,
    /// Predicted time until its answer; zero for policies without prediction.
    pub predicted_latency: Duration,
}

/// Why no backend server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SelectionError {
    /// No backend server of the pool accepts work, or the pool does not exist.
    #[error("no backend server of the pool may receive work")]
    NoServer,
    /// No backend server of the pool has the software version that began the stream.
    #[error("no backend server of the pool has the software version that began the stream")]
    NoSameVersion,
    /// Every backend server of the pool is at its concurrency limit or wants a pause.
    #[error("every backend server is at its limit; ask again in {retry_after:?}")]
    Saturated {
        /// Expected time until one of them takes an attempt.
        retry_after: Duration,
    },
    /// The deadline has passed, or the best candidate can't answer before it.
    #[error("no backend server can answer before the deadline")]
    TooLate,
}

/// Result and measured times of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// Result.
    pub result: AttemptResult,
    /// Time from the send to the end of the attempt, measured by the entry instance.
    pub latency: Duration,
    /// Service time as the backend server reported it; zero if it reported none.
    pub service: Duration,
    /// Prompt tokens found in the prefix cache, as reported by the backend server.
    pub cached_tokens: u32,
}

/// Result of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// The complete answer arrived.
    #[default]
    Answered,
    /// The backend server rejected the attempt without running it, or no connection was made.
    Refused,
    /// The backend server reported a failure after it had begun to run the attempt.
    Failed,
    /// The connection broke after the attempt was sent, or the answer was invalid.
    Lost,
    /// No answer arrived in time.
    TimedOut,
    /// The entry instance cancelled the attempt, for example because another attempt answered
    /// first.
    Cancelled,
}

/// Load of a backend server, as it reported it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Number of requests that it can run concurrently without queueing; 0 if unknown.
    pub capacity: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
    /// Number that changes with each start of the server's process; a change means a restart.
    pub incarnation: u64,
    /// Whether it shuts down and wants no new work.
    pub leaving: bool,
    /// Version of its software; `None` if it names none.
    pub version: Option<Arc<str>>,
}
