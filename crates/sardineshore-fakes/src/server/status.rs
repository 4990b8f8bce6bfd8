//! Status of run identifiers, for status queries of non-idempotent calls.

use std::collections::HashMap;
use std::sync::Arc;

use sardineshore_wire::audit_log::{ExecutionEvent, ExecutionRecord};
use sardineshore_wire::backend::RunStatus;

/// Statuses of run identifiers that have begun or were sealed.
#[derive(Debug, Default)]
pub struct RunStatuses {
    known: HashMap<Arc<str>, RunStatus>,
}

impl RunStatuses {
    /// Restores the statuses from the execution log of earlier starts. The log doesn't contain the
    /// answers of finished runs, so every run that began is reported as running.
    #[must_use]
    pub fn restore(log: &[ExecutionRecord]) -> Self {
        let mut statuses = Self::default();
        for line in log.iter().filter(|line| !line.run_id.is_empty()) {
            if line.event == ExecutionEvent::Begun {
                statuses.set(&line.run_id, RunStatus::Running);
            }
            if is_seal(line) {
                statuses.set(&line.run_id, RunStatus::Sealed);
            }
        }
        statuses
    }

    /// Records the start of a run; returns `false` if the identifier is sealed. A second run under
    /// the same identifier is allowed.
    pub fn begin(&mut self, run_id: &Arc<str>) -> bool {
        if self.known.get(run_id) == Some(&RunStatus::Sealed) {
            return false;
        }
        self.set(run_id, RunStatus::Running);
        true
    }

    /// Records the answer of a finished run.
    pub fn finish(&mut self, run_id: &Arc<str>, answer: Arc<str>) {
        self.set(run_id, RunStatus::Ran { answer });
    }

    /// Status of a run identifier.
    #[must_use]
    pub fn get(&self, run_id: &str) -> RunStatus {
        let known = self.known.get(run_id).cloned();
        known.unwrap_or(RunStatus::NotBegun)
    }

    /// Seals an identifier that has not begun, so that it never runs; returns `true` if this call
    /// sealed it.
    pub fn seal(&mut self, run_id: &Arc<str>) -> bool {
        if self.known.contains_key(run_id) {
            return false;
        }
        self.set(run_id, RunStatus::Sealed);
        true
    }

    fn set(&mut self, run_id: &Arc<str>, status: RunStatus) {
        if !run_id.is_empty() {
            self.known.insert(run_id.clone(), status);
        }
    }
}

/// Whether a log line records a seal: a refusal without an attempt.
fn is_seal(line: &ExecutionRecord) -> bool {
    line.event == ExecutionEvent::Refused && line.attempt.is_empty()
}
