//! The backend server: runs calls, answers what became of them, and forgets when it restarts.

use std::sync::Arc;

use sardineshore_core::claim::RunReport;

/// A call on its way to the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Message {
    /// Identifier of the run.
    pub(super) run_id: Arc<str>,
    /// Process at the other end of the connection; `None`: whichever is there on arrival.
    pub(super) incarnation: Option<u64>,
}

/// The backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Server {
    pub(super) incarnation: u64,
    /// Every run, in order; the witness of the model, not the server's memory.
    pub(super) runs: Vec<Arc<str>>,
    remembered: Vec<Arc<str>>,
    sealed: Vec<Arc<str>>,
}

impl Server {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            runs: Vec::new(),
            remembered: Vec::new(),
            sealed: Vec::new(),
        }
    }

    /// Whether a call reaches the process that it was sent to.
    pub(super) fn is_reached_by(&self, message: &Message) -> bool {
        message
            .incarnation
            .is_none_or(|incarnation| incarnation == self.incarnation)
    }

    /// Runs a call, unless it is sealed; a call that arrives twice runs twice.
    pub(super) fn run(&mut self, run_id: &Arc<str>) -> bool {
        if self.sealed.contains(run_id) {
            return false;
        }
        self.runs.push(run_id.clone());
        self.remembered.push(run_id.clone());
        true
    }

    /// Answers what became of a run and seals it if it has not begun.
    pub(super) fn report(&mut self, run_id: &Arc<str>) -> RunReport {
        if self.remembered.contains(run_id) {
            return RunReport::Ran(run_id.clone());
        }
        if !self.sealed.contains(run_id) {
            self.sealed.push(run_id.clone());
        }
        RunReport::Sealed
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.remembered.clear();
        self.sealed.clear();
    }
}
