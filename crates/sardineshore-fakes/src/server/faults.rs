//! Faults that can be injected into a fake backend server.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The active faults; the default injects none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Factor applied to every service time; above 1 the server is a straggler.
    pub slow_factor: f64,
    /// Probability that an attempt is rejected without running.
    pub refuse: f64,
    /// Whether the next attempt that begins crashes the process; cleared by that attempt.
    pub crash_next: bool,
    /// Probability that an attempt gets the response of an earlier attempt.
    pub wrong_attempt: f64,
    /// Probability that a response is truncated.
    pub truncate: f64,
    /// Probability that a response is written twice to its connection, or that a stream repeats a
    /// token.
    pub repeat_answer: f64,
    /// Delay between the end of a run and its response, in milliseconds.
    pub late_answer_ms: u64,
    /// Delay of the replies to load queries, in milliseconds.
    pub late_load_ms: u64,
    /// Time for which a stream stops halfway before it goes on, in milliseconds.
    pub stream_pause_ms: u64,
    /// Probability that an attempt gets an error response after it ran.
    pub fail: f64,
    /// Software version that load reports show instead of the server's own; empty for its own.
    pub reported_version: Arc<str>,
    /// Whether load reports say that the server shuts down.
    pub leaving: bool,
    /// Pause that refusals ask for, in milliseconds; 0 asks for none.
    pub pause_ms: u64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            refuse: 0.0,
            crash_next: false,
            wrong_attempt: 0.0,
            truncate: 0.0,
            repeat_answer: 0.0,
            late_answer_ms: 0,
            late_load_ms: 0,
            stream_pause_ms: 0,
            fail: 0.0,
            reported_version: "".into(),
            leaving: false,
            pause_ms: 0,
        }
    }
}
