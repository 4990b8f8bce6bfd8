//! Backend servers that the instance list marks as leaving, as read from the list and as reported
//! by peers.
//!
//! The list is long, so each instance reads it seldom. Changes of the marks therefore also spread
//! from instance to instance, each with the age of the reading that it comes from. The latest
//! reading of a server counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ServerId;

/// Time for which a change is reported to peers.
const NOTICE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of changes in one message to a peer.
const MAX_NOTICES: usize = 16;

/// Report to a peer that the mark of a backend server has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Name of the backend server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Whether the list marks the server as leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Time since the list was read, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// One backend server of the list that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Name of the backend server.
    pub server: ServerId,
    /// Whether the list marks the server as leaving.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    leaving: bool,
    /// When the reading began that the mark comes from.
    read_at: Instant,
    /// When this instance learned of the last change of `leaving`.
    changed_at: Instant,
}

/// Backend servers that are leaving, or were leaving at an earlier reading.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    marks: BTreeMap<ServerId, Mark>,
}

impl LeavingServers {
    /// Applies the list, whose reading began at `began`; returns whether a mark has changed.
    pub fn apply_list(&mut self, servers: &[ListedServer], began: Instant, now: Instant) -> bool {
        let mut changed = false;
        for listed in servers {
            if listed.leaving || self.marks.contains_key(&listed.server) {
                changed |= self.mark(&listed.server, listed.leaving, began, now);
            }
        }
        changed
    }

    /// Applies the notices in a peer's answer to a message that was sent at `sent`; returns whether
    /// a mark has changed.
    pub fn apply_notices(
        &mut self,
        notices: &[LeavingNotice],
        sent: Instant,
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for notice in notices {
            let age = Duration::from_millis(notice.age_ms);
            if let Some(read_at) = sent.checked_sub(age) {
                changed |= self.mark(&notice.server, notice.leaving, read_at, now);
            }
        }
        changed
    }

    /// Recent changes, to send to a peer.
    #[must_use]
    pub fn recent_notices(&self, now: Instant) -> Vec<LeavingNotice> {
        let recent =
            |mark: &&Mark| now.saturating_duration_since(mark.changed_at) <= NOTICE_LIFETIME;
        let marks = self.marks.iter().filter(|(_, mark)| recent(mark));
        let notices = marks.take(MAX_NOTICES).map(|(server, mark)| LeavingNotice {
            server: server.clone(),
            leaving: mark.leaving,
            age_ms: age_ms(now, mark.read_at),
        });
        notices.collect()
    }

    /// Names of the backend servers that are leaving.
    #[must_use]
    pub fn leaving(&self) -> BTreeSet<ServerId> {
        let leaving = self.marks.iter().filter(|(_, mark)| mark.leaving);
        leaving.map(|(server, _)| server.clone()).collect()
    }

    /// Sets the mark of a server unless a later reading is known; returns whether it has changed.
    fn mark(&mut self, server: &ServerId, leaving: bool, read_at: Instant, now: Instant) -> bool {
        let known = self.marks.get(server).copied();
        if known.is_some_and(|known| known.read_at >= read_at) {
            return false;
        }
        let changed = known.is_none_or(|known| known.leaving != leaving);
        let since = known
            .filter(|_| !changed)
            .map_or(now, |known| known.changed_at);
        let mark = Mark {
            leaving,
            read_at,
            changed_at: since,
        };
        self.marks.insert(server.clone(), mark);
        changed
    }
}

fn age_ms(now: Instant, read_at: Instant) -> u64 {
    let age = now.saturating_duration_since(read_at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
