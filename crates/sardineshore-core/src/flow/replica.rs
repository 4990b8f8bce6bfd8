//! An instance's copy of a table of the store, kept up to date by pages of the store or by changes
//! that another instance hands on.
//!
//! Every row carries the version of its last change, and every page the version of the store, so a
//! replica never goes back to an older state. Changes apply only where they join on: a replica that
//! doesn't know the table up to their start must get more first.
//!
//! A store that is restored from a copy begins a new era and gives out the versions after the copy
//! again. Versions of different eras have nothing in common, so a replica needs all rows then.
//!
//! ```
//! use sardineshore_core::flow::replica::{ApplyError, StoreVersion, TableChanges, TableReplica};
//!
//! let version = |number| StoreVersion { era: 1, number };
//! let mut replica = TableReplica::default();
//! let changes = TableChanges { after: version(4), version: version(7), ..TableChanges::default() };
//! assert_eq!(replica.apply(changes.clone()), Err(ApplyError::Gap));
//! let all = TableChanges { is_snapshot: true, version: version(5), ..TableChanges::default() };
//! assert!(replica.apply(all).is_ok() && replica.apply(changes).is_ok());
//! assert_eq!(replica.version(), Some(version(7)));
//! ```

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::config::Name;

/// A version of the store; those of a later era are higher.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of times that the store was restored from a copy, or a number that rises with it.
    pub era: u64,
    /// Counts the changes in one era.
    pub number: u64,
}

/// A row of a table of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key, unique in the table.
    pub key: Name,
    /// Value; `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
    /// Version of the store with the last change of the row, or with the first reading of the row in
    /// an era.
    pub version: StoreVersion,
}

/// Changes of a table between two versions of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// Version after which all changes are included.
    pub after: StoreVersion,
    /// Version of the store up to which all changes are included.
    pub version: StoreVersion,
    /// Whether `rows` are all rows of the table, whatever was known before.
    pub is_snapshot: bool,
    /// Changed rows.
    pub rows: Vec<StoreRow>,
    /// Keys of rows that are gone though the store reported no removal.
    pub missing: Vec<Name>,
}

/// Why changes can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// They describe an older state than the replica.
    #[error("the changes are older than the replica")]
    Stale,
    /// Changes between the replica and these are unknown.
    #[error("changes before these are unknown")]
    Gap,
}

/// A copy of a table.
#[derive(Debug, Clone, Default)]
pub struct TableReplica {
    /// Rows, and removals since `complete_since`.
    rows: BTreeMap<Name, StoreRow>,
    /// Version of the store up to which the table is known.
    version: Option<StoreVersion>,
    /// Oldest version after which all changes can still be told.
    complete_since: StoreVersion,
}

impl TableReplica {
    /// Version of the store up to which the table is known; `None` at first.
    #[must_use]
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Applies changes, and returns those of them that were news.
    pub fn apply(&mut self, changes: TableChanges) -> Result<TableChanges, ApplyError> {
        if self.version.is_some_and(|known| changes.version < known) {
            return Err(ApplyError::Stale);
        }
        let is_first_of_era = self
            .version
            .is_none_or(|known| known.era < changes.version.era);
        let joins_on = self.version.is_some_and(|known| known >= changes.after);
        if !changes.is_snapshot && (is_first_of_era || !joins_on) {
            return Err(ApplyError::Gap);
        }
        let mut missing = changes.missing;
        missing.retain(|key| self.rows.get(key).is_some_and(|row| row.value.is_some()));
        if changes.is_snapshot {
            let listed: HashSet<&Name> = changes.rows.iter().map(|row| &row.key).collect();
            let live = self.rows.values().filter(|row| row.value.is_some());
            let unlisted = live.filter(|row| !listed.contains(&row.key));
            missing = unlisted.map(|row| row.key.clone()).collect();
        }
        let mut news = changes.rows;
        news.retain(|row| {
            let known = self.rows.get(&row.key);
            known.is_none_or(|known| known.version < row.version)
        });
        if is_first_of_era {
            self.rows.clear();
        }
        for row in &news {
            self.rows.insert(row.key.clone(), row.clone());
        }
        for key in &missing {
            self.rows.remove(key);
        }
        if is_first_of_era || !missing.is_empty() {
            self.complete_since = changes.version;
        }
        let after = self.version.replace(changes.version).unwrap_or_default();
        Ok(TableChanges {
            after,
            version: changes.version,
            is_snapshot: is_first_of_era,
            rows: news,
            missing,
        })
    }

    /// Rows, and recent removals.
    pub fn rows(&self) -> impl Iterator<Item = &StoreRow> {
        self.rows.values()
    }

    /// What a replica that knows the table up to `known` lacks; `None` if this one knows nothing or
    /// less.
    #[must_use]
    pub fn changes_after(&self, known: Option<StoreVersion>) -> Option<TableChanges> {
        let version = self.version?;
        if known.is_some_and(|known| known > version) {
            return None;
        }
        let after = known.filter(|known| *known >= self.complete_since);
        let rows = self.rows.values().filter(|row| match after {
            Some(after) => row.version > after,
            None => row.value.is_some(),
        });
        Some(TableChanges {
            after: after.unwrap_or_default(),
            version,
            is_snapshot: after.is_none(),
            rows: rows.cloned().collect(),
            missing: Vec::new(),
        })
    }
}
