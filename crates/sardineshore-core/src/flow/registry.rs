//! The list of servers as the store tells it, never going back.
//!
//! Entries carry the version of their last change; an older state of the store changes nothing.
//! Entries lapse while the store is away: one that is missing when the store is back gets a
//! moment to return. A removal that the store tells afterwards holds at once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::config::{Name, Server};

/// How long servers are still used whose entries are missing when the store is back.
const LAPSED_GRACE: Duration = Duration::from_millis(1700);

/// What a row says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryEntry {
    /// A server.
    Server(Server),
    /// Nothing that can be read: no server.
    Unreadable,
    /// The row was removed.
    Removed,
}

/// A row of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryRow {
    /// Id of the server.
    pub id: Name,
    /// What the row says.
    pub entry: RegistryEntry,
    /// Version of its last change.
    pub version: u64,
}

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The answer is older than what is known.
    Stale,
    /// Nothing.
    Unchanged,
    /// The list of servers.
    Changed,
}

/// All entries.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: BTreeMap<Name, (Server, u64)>,
    /// Versions at which entries were removed, so that an older state can't bring them back.
    removed: HashMap<Name, u64>,
    /// Entries that may have lapsed, and until when they are used.
    lapsed: HashMap<Name, Instant>,
    version: u64,
    lost: bool,
}

impl ServerRegistry {
    /// A call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.lost = true;
    }

    /// Whether entries may have lapsed.
    #[must_use]
    pub fn has_entries_in_grace(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// All servers that are used.
    #[must_use]
    pub fn servers(&self) -> Vec<Server> {
        self.entries.values().map(|(s, _)| s.clone()).collect()
    }

    /// Applies an answer of the store: all rows if `whole`, else changed ones.
    pub fn apply(
        &mut self,
        rows: Vec<RegistryRow>,
        whole: bool,
        version: u64,
        now: Instant,
    ) -> ApplyOutcome {
        if version < self.version {
            return ApplyOutcome::Stale;
        }
        self.version = version;
        let back = std::mem::take(&mut self.lost);
        let listed: HashSet<Name> = rows.iter().map(|row| row.id.clone()).collect();
        let mut changed = false;
        for row in rows {
            changed |= self.apply_row(row);
        }
        if whole {
            let missing: Vec<Name> = self
                .entries
                .keys()
                .filter(|id| !listed.contains(*id))
                .cloned()
                .collect();
            for id in missing {
                let serving = self
                    .entries
                    .get(&id)
                    .is_some_and(|(server, _)| server.ready);
                if back && serving {
                    self.lapsed.entry(id).or_insert(now + LAPSED_GRACE);
                } else if !self.lapsed.contains_key(&id) {
                    self.remove(&id, version);
                    changed = true;
                }
            }
        }
        let over: Vec<Name> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.remove(&id, version);
            changed = true;
        }
        if changed {
            ApplyOutcome::Changed
        } else {
            ApplyOutcome::Unchanged
        }
    }

    fn apply_row(&mut self, row: RegistryRow) -> bool {
        let known = self.entries.get(&row.id).map(|(_, version)| *version);
        let removed = self.removed.get(&row.id).copied();
        if known.max(removed).is_some_and(|v| v >= row.version) {
            if removed.is_none_or(|v| v < row.version) {
                self.lapsed.remove(&row.id);
            }
            return false;
        }
        match row.entry {
            RegistryEntry::Server(server) => {
                self.lapsed.remove(&row.id);
                self.entries.insert(row.id, (server, row.version));
            }
            RegistryEntry::Unreadable | RegistryEntry::Removed => self.remove(&row.id, row.version),
        }
        true
    }

    fn remove(&mut self, id: &Name, version: u64) {
        self.entries.remove(id);
        self.lapsed.remove(id);
        self.removed.insert(id.clone(), version);
    }
}
