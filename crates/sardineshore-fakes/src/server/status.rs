//! What became of run identifiers.

use std::collections::HashMap;
use std::sync::Arc;

use sardineshore_wire::backend::RunStatus;
use sardineshore_wire::witness::{Execution, ExecutionEvent};

/// Run identifiers that began or were sealed.
#[derive(Debug, Default)]
pub struct Statuses {
    known: HashMap<Arc<str>, RunStatus>,
}

impl Statuses {
    /// Restores what a log of an earlier start tells. The answers of finished runs are not in the
    /// log, so every run that began counts as running: the server can't say how it ended.
    #[must_use]
    pub fn restore(log: &[Execution]) -> Self {
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

    /// Notes that a run begins; false if its identifier is sealed. A second run is not refused.
    pub fn begin(&mut self, run_id: &Arc<str>) -> bool {
        if self.known.get(run_id) == Some(&RunStatus::Sealed) {
            return false;
        }
        self.set(run_id, RunStatus::Running);
        true
    }

    /// Notes the answer of a run.
    pub fn finish(&mut self, run_id: &Arc<str>, answer: Arc<str>) {
        self.set(run_id, RunStatus::Ran { answer });
    }

    /// What became of a run identifier.
    #[must_use]
    pub fn get(&self, run_id: &str) -> RunStatus {
        let known = self.known.get(run_id).cloned();
        known.unwrap_or(RunStatus::NotBegun)
    }

    /// Seals an identifier that has not begun; true if it is sealed by this call.
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

/// A seal is logged as a refusal that belongs to no attempt.
fn is_seal(line: &Execution) -> bool {
    line.event == ExecutionEvent::Refused && line.attempt.is_empty()
}
