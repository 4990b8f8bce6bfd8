//! Instance list of the fake platform, whose changes become visible after a lag.

use std::time::{Duration, Instant};

use sardineshore_wire::platform::ListedProcess;

/// An instance list whose changes readers see only after a lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    visible: Vec<ListedProcess>,
    pending: Vec<PendingList>,
}

#[derive(Debug)]
struct PendingList {
    due: Instant,
    list: Vec<ListedProcess>,
}

impl LaggingList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Replaces the list; readers see the new list after the lag.
    pub fn replace(&mut self, list: Vec<ListedProcess>, now: Instant) {
        let due = now + self.lag;
        self.pending.push(PendingList { due, list });
    }

    /// Makes the newest list whose lag has passed visible.
    pub fn apply_due(&mut self, now: Instant) {
        let due = self.pending.partition_point(|pending| pending.due <= now);
        if let Some(pending) = self.pending.drain(..due).next_back() {
            self.visible = pending.list;
        }
    }

    /// Returns the list that readers see.
    #[must_use]
    pub fn visible(&self) -> &[ListedProcess] {
        &self.visible
    }
}
