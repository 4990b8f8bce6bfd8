//! Backend server in the model of claims: runs calls, answers status queries and loses its memory
//! on a restart.

use std::sync::Arc;

use sardineshore_core::claim::RunReport;

/// A call on its way to the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Message {
    /// Run identifier of the call.
    pub(super) run_id: Arc<str>,
    /// Incarnation at the other end of the connection; `None` if the call accepts any.
    pub(super) incarnation: Option<u64>,
}

/// State of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Server {
    pub(super) incarnation: u64,
    /// Every run, in order. The invariants read this; the server itself doesn't, and a restart
    /// keeps it.
    pub(super) runs: Vec<Arc<str>>,
    known_runs: Vec<Arc<str>>,
    sealed_runs: Vec<Arc<str>>,
}

impl Server {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            runs: Vec::new(),
            known_runs: Vec::new(),
            sealed_runs: Vec::new(),
        }
    }

    /// Whether the process that the call was sent to is still running.
    pub(super) fn is_reached_by(&self, message: &Message) -> bool {
        message
            .incarnation
            .is_none_or(|incarnation| incarnation == self.incarnation)
    }

    /// Runs a call and returns `true`, unless its run identifier is sealed. A call that arrives
    /// twice runs twice.
    pub(super) fn run(&mut self, run_id: &Arc<str>) -> bool {
        if self.sealed_runs.contains(run_id) {
            return false;
        }
        self.runs.push(run_id.clone());
        self.known_runs.push(run_id.clone());
        true
    }

    /// Answers a status query; seals the run if it has not begun.
    pub(super) fn report(&mut self, run_id: &Arc<str>) -> RunReport {
        if self.known_runs.contains(run_id) {
            return RunReport::Ran(run_id.clone());
        }
        if !self.sealed_runs.contains(run_id) {
            self.sealed_runs.push(run_id.clone());
        }
        RunReport::Sealed
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.known_runs.clear();
        self.sealed_runs.clear();
    }
}
