//! Registry of backend servers: an instance's copy of the server entries in the store.
//!
//! Each entry carries the version of its last change, and stale responses of the store are
//! ignored, so the registry never goes back to an older state. Entries expire while the store is
//! unavailable. A ready server whose entry is missing after an outage therefore stays in use for a
//! grace period, in which its entry can return. An explicit removal takes effect at once.
//!
//! A store that was restored from a copy may list servers that have left since. A server that was
//! draining stays so for the rest of its run, and one whose entry had been removed is used again
//! only after it has written a new entry, or after the time in which the store drops the entries of
//! servers that are gone.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::config::{Name, Server};
use super::replica::StoreVersion;

/// How long a server stays in use whose entry is missing after a store outage.
const GRACE_PERIOD: Duration = Duration::from_millis(1700);
/// Time beyond the lifetime of entries after which a restored entry is used whose server had left
/// before: the store has dropped it by then if the server is gone.
const RESTORED_ENTRY_MARGIN: Duration = Duration::from_millis(1400);
/// Lifetime of entries unless the deployment sets another one.
pub const DEFAULT_ENTRY_LIFETIME: Duration = Duration::from_millis(3600);

/// The content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryEntry {
    /// The entry of a server.
    Server(Server),
    /// A value that can't be decoded; treated as a removal.
    Unreadable,
    /// The row was removed from the store.
    Removed,
}

/// A row of the store's table of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryRow {
    /// Id of the server.
    pub id: Name,
    /// Content of the row.
    pub entry: RegistryEntry,
    /// Version of the store at the row's last change.
    pub version: StoreVersion,
}

/// The effect of a response on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Ignored: the response is older than the registry.
    Stale,
    /// No server changed.
    Unchanged,
    /// The servers in use changed.
    Changed,
}

/// The servers in use, with the versions of their entries.
#[derive(Debug)]
pub struct ServerRegistry {
    /// Time after which the store drops the entry of a server that is silent.
    entry_lifetime: Duration,
    entries: BTreeMap<Name, (Server, StoreVersion)>,
    /// Versions at which entries were removed, so that an older row can't restore them.
    removed: HashMap<Name, StoreVersion>,
    /// Entries that were missing after an outage, and when their grace period ends.
    grace_ends: HashMap<Name, Instant>,
    /// Start times of servers that were draining when the store was restored.
    departed: HashMap<Name, u64>,
    /// Restored entries of servers that had left before, and from when on they are used.
    held_until: HashMap<Name, Instant>,
    /// Newest version of the store that was applied; `None` at first.
    version: Option<StoreVersion>,
    /// Whether a call to the store failed since the last response.
    store_unavailable: bool,
}

impl Default for ServerRegistry {
    fn default() -> Self {
        Self::new(DEFAULT_ENTRY_LIFETIME)
    }
}

impl ServerRegistry {
    /// An empty registry, for a store that drops the entries of silent servers after `entry_lifetime`.
    #[must_use]
    pub fn new(entry_lifetime: Duration) -> Self {
        Self {
            entry_lifetime,
            entries: BTreeMap::new(),
            removed: HashMap::new(),
            grace_ends: HashMap::new(),
            departed: HashMap::new(),
            held_until: HashMap::new(),
            version: None,
            store_unavailable: false,
        }
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.store_unavailable = true;
    }

    /// Whether a call to the store failed since the last response.
    #[must_use]
    pub fn is_after_store_failure(&self) -> bool {
        self.store_unavailable
    }

    /// When [`ServerRegistry::apply`] must be called again, as the use of a server without an entry
    /// ends, or an entry is held no longer; `None` if there is neither.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        let ends = self.grace_ends.values().chain(self.held_until.values());
        ends.min().copied()
    }

    /// Number of servers in use that have no entry.
    #[must_use]
    pub fn missing_entries(&self) -> usize {
        self.grace_ends.len()
    }

    /// All servers in use.
    #[must_use]
    pub fn servers(&self) -> Vec<Server> {
        let in_use = |(id, (server, _)): (&Name, &(Server, StoreVersion))| {
            let has_left = self.held_until.contains_key(id)
                || self.departed.get(id) == Some(&server.started_ms);
            Server {
                ready: server.ready && !has_left,
                ..server.clone()
            }
        };
        self.entries.iter().map(in_use).collect()
    }

    /// Applies a response of the store: all rows if `is_snapshot`, otherwise only changed rows.
    ///
    /// `version` is the version of the store in the response. Responses without rows count too:
    /// grace periods end only in this call.
    pub fn apply(
        &mut self,
        rows: Vec<RegistryRow>,
        is_snapshot: bool,
        version: StoreVersion,
        now: Instant,
    ) -> ApplyOutcome {
        let mut missing = Vec::new();
        if is_snapshot {
            let listed: HashSet<&Name> = rows.iter().map(|row| &row.id).collect();
            let unlisted = self.entries.keys().filter(|id| !listed.contains(*id));
            missing = unlisted.cloned().collect();
        }
        self.apply_changes(rows, missing, version, now)
    }

    /// Applies changed rows, and the ids of entries that are gone without a reported removal;
    /// otherwise like [`ServerRegistry::apply`].
    pub fn apply_changes(
        &mut self,
        rows: Vec<RegistryRow>,
        missing: Vec<Name>,
        version: StoreVersion,
        now: Instant,
    ) -> ApplyOutcome {
        let before = self.version;
        if before.is_some_and(|before| version < before) {
            return ApplyOutcome::Stale;
        }
        if before.is_some_and(|before| version.era > before.era) {
            self.begin_era(&rows, now);
        }
        self.version = Some(version);
        let after_outage = std::mem::take(&mut self.store_unavailable);
        let mut changed = false;
        for row in rows {
            changed |= self.apply_row(row);
        }
        for id in missing {
            let Some((server, _)) = self.entries.get(&id) else {
                continue;
            };
            if after_outage && server.ready {
                self.grace_ends.entry(id).or_insert(now + GRACE_PERIOD);
            } else if !self.grace_ends.contains_key(&id) {
                self.remove(&id, version);
                changed = true;
            }
        }
        let held_count = self.held_until.len();
        self.held_until.retain(|_, until| now < *until);
        changed |= self.held_until.len() < held_count;
        let expired: Vec<Name> = self
            .grace_ends
            .iter()
            .filter(|(_, ends_at)| now >= **ends_at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id, version);
            changed = true;
        }
        if changed {
            ApplyOutcome::Changed
        } else {
            ApplyOutcome::Unchanged
        }
    }

    /// Remembers which servers had left, before the rows of a restored store are applied.
    fn begin_era(&mut self, rows: &[RegistryRow], now: Instant) {
        self.store_unavailable = true;
        let draining = self.entries.values().filter(|(server, _)| !server.ready);
        let draining = draining.map(|(server, _)| (server.id.clone(), server.started_ms));
        self.departed.extend(draining);
        let had_left = |id: &Name| {
            self.held_until.contains_key(id)
                || (self.removed.contains_key(id) && !self.entries.contains_key(id))
        };
        let until = now + self.entry_lifetime + RESTORED_ENTRY_MARGIN;
        let held = rows.iter().filter(|row| had_left(&row.id));
        self.held_until = held.map(|row| (row.id.clone(), until)).collect();
    }

    /// Applies one row and returns whether it is newer than what is known of the server. A row that
    /// is not newer only confirms that the entry exists, which ends a grace period, unless the
    /// entry is known to be removed since.
    fn apply_row(&mut self, row: RegistryRow) -> bool {
        let known = self.entries.get(&row.id).map(|(_, version)| *version);
        let removed = self.removed.get(&row.id).copied();
        if known.max(removed).is_some_and(|v| v >= row.version) {
            if removed.is_none_or(|v| v < row.version) {
                self.grace_ends.remove(&row.id);
            }
            return false;
        }
        match row.entry {
            RegistryEntry::Server(server) => {
                self.grace_ends.remove(&row.id);
                // A further version in the same era was written by the server itself.
                if known.is_some_and(|known| known.era == row.version.era) {
                    self.held_until.remove(&row.id);
                }
                self.entries.insert(row.id, (server, row.version));
            }
            RegistryEntry::Unreadable | RegistryEntry::Removed => self.remove(&row.id, row.version),
        }
        true
    }

    fn remove(&mut self, id: &Name, version: StoreVersion) {
        self.entries.remove(id);
        self.grace_ends.remove(id);
        self.held_until.remove(id);
        self.removed.insert(id.clone(), version);
    }
}
