//! Checks whether an instance's copy of a table is complete, shared by the streams that wait for one.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::Notify;

/// End of a check of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableCheckEnd {
    /// The copy holds all changes until the check began.
    Confirmed,
    /// The store responded, but the changes are not known.
    Incomplete,
    /// The store did not respond.
    Unreachable,
}

/// Checks whether the copy of a table is complete. A check serves all streams that wait when it begins.
#[derive(Debug, Default)]
pub struct TableCheck {
    asked: Notify,
    ended: Notify,
    /// When the latest check began, and how it ended.
    latest: Cell<Option<(Instant, TableCheckEnd)>>,
}

impl TableCheck {
    /// Has the copy checked soon.
    pub fn request(&self) {
        self.asked.notify_one();
    }

    /// Waits for a check that begins from now on.
    pub async fn run(&self) -> TableCheckEnd {
        let asked_at = Instant::now();
        self.request();
        loop {
            let ended = self.ended.notified();
            if let Some((_, end)) = self.latest.get().filter(|(at, _)| *at >= asked_at) {
                return end;
            }
            ended.await;
        }
    }

    /// Records the end of the check that began at `began_at`.
    pub fn finish(&self, began_at: Instant, end: TableCheckEnd) {
        self.latest.set(Some((began_at, end)));
        self.ended.notify_waiters();
    }

    /// Waits until a check is needed.
    pub async fn wait_asked(&self) {
        self.asked.notified().await;
    }
}
