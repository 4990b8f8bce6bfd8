//! Backend servers that the instance list marks as leaving, spread by instances that have read it.
//!
//! The list is long and each instance reads it seldom; what one has read of a leaving server
//! travels in exchanges, with the age of the reading. The latest reading counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ServerId;

/// Time for which a change is told to peers.
const NOTICE_LIFETIME: Duration = Duration::from_secs(10);
/// Changes told in one exchange.
const MAX_NOTICES: usize = 16;

/// A backend server whose mark has changed, as told to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Backend server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Whether it is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Age of the reading of the list, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// One backend server of a reading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Backend server.
    pub server: ServerId,
    /// Whether it is leaving.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    leaving: bool,
    read: Instant,
    changed: Instant,
}

/// Marks of backend servers that are or were leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    marks: BTreeMap<ServerId, Mark>,
}

impl LeavingServers {
    /// Takes a reading of the list that began at `began`; returns whether a mark changed.
    pub fn apply_list(&mut self, servers: &[ListedServer], began: Instant, now: Instant) -> bool {
        let mut changed = false;
        for listed in servers {
            if listed.leaving || self.marks.contains_key(&listed.server) {
                changed |= self.mark(&listed.server, listed.leaving, began, now);
            }
        }
        changed
    }

    /// Takes the notices of an answer to an exchange sent at `sent`; returns whether a mark
    /// changed.
    pub fn apply_notices(
        &mut self,
        notices: &[LeavingNotice],
        sent: Instant,
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for notice in notices {
            let age = Duration::from_millis(notice.age_ms);
            if let Some(read) = sent.checked_sub(age) {
                changed |= self.mark(&notice.server, notice.leaving, read, now);
            }
        }
        changed
    }

    /// Recent changes, for a peer.
    #[must_use]
    pub fn recent_notices(&self, now: Instant) -> Vec<LeavingNotice> {
        let recent = |mark: &&Mark| now.saturating_duration_since(mark.changed) <= NOTICE_LIFETIME;
        let marks = self.marks.iter().filter(|(_, mark)| recent(mark));
        let told = marks.take(MAX_NOTICES).map(|(server, mark)| LeavingNotice {
            server: server.clone(),
            leaving: mark.leaving,
            age_ms: age_ms(now, mark.read),
        });
        told.collect()
    }

    /// Backend servers that are leaving.
    #[must_use]
    pub fn leaving(&self) -> BTreeSet<ServerId> {
        let leaving = self.marks.iter().filter(|(_, mark)| mark.leaving);
        leaving.map(|(server, _)| server.clone()).collect()
    }

    fn mark(&mut self, server: &ServerId, leaving: bool, read: Instant, now: Instant) -> bool {
        let known = self.marks.get(server).copied();
        if known.is_some_and(|known| known.read >= read) {
            return false;
        }
        let changed = known.is_none_or(|known| known.leaving != leaving);
        let since = known
            .filter(|_| !changed)
            .map_or(now, |known| known.changed);
        let mark = Mark {
            leaving,
            read,
            changed: since,
        };
        self.marks.insert(server.clone(), mark);
        changed
    }
}

fn age_ms(now: Instant, read: Instant) -> u64 {
    let age = now.saturating_duration_since(read);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
