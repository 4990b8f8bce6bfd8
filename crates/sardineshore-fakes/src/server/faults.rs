//! Faults of a backend server that can be injected.

use serde::{Deserialize, Serialize};

/// The set of faults in force; the default has none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Factor on every service time; 10 makes a straggler.
    pub slow_factor: f64,
    /// Probability that an attempt is refused without running.
    pub refuse: f64,
    /// Whether the next attempt that begins crashes the process.
    pub crash_next: bool,
    /// Probability that an attempt is answered with an earlier attempt's answer.
    pub wrong_attempt: f64,
    /// Probability that an answer is cut short.
    pub truncate: f64,
    /// Probability that an answer is written twice on its connection.
    pub repeat_answer: f64,
    /// Milliseconds between the end of a run and its answer.
    pub late_answer_ms: u64,
    /// Probability that an attempt is answered with a failure after it ran.
    pub fail: f64,
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
            fail: 0.0,
        }
    }
}
