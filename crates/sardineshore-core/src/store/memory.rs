//! In-memory table that defines how transactions are applied, for models, fakes and tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Check, CommitOutcome, Row, Txn};
use crate::Revision;

/// In-memory table.
///
/// ```
/// use sardineshore_core::{CommitOutcome, MemoryTable, Txn};
///
/// let mut table = MemoryTable::default();
/// let insert = Txn::insert("a", "1");
/// assert_eq!(table.commit(&insert), CommitOutcome::Applied { revision: 1 });
/// assert!(matches!(table.commit(&insert), CommitOutcome::Conflict { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemoryTable {
    rows: BTreeMap<Arc<str>, Row>,
    /// Revision of the last commit; 0 before the first.
    revision: Revision,
}

impl MemoryTable {
    /// Commits a transaction: applies all of its writes, or none if a check does not hold.
    pub fn commit(&mut self, txn: &Txn) -> CommitOutcome {
        let failed: Vec<&Check> = txn
            .checks
            .iter()
            .filter(|check| !self.holds(check))
            .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|check| self.get(&check.key).cloned());
            return CommitOutcome::Conflict {
                rows: rows.collect(),
            };
        }
        self.revision += 1;
        for key in &txn.deletes {
            self.rows.remove(key);
        }
        for put in &txn.puts {
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                revision: self.revision,
            };
            self.rows.insert(put.key.clone(), row);
        }
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    /// The row with this key, if it exists.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// At most `limit` rows whose key begins with `prefix` and is greater than `after`, in key
    /// order.
    #[must_use]
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let selected = |row: &&Row| row.key.starts_with(prefix) && *row.key > *after;
        self.rows
            .values()
            .filter(selected)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Replaces the value of every row by `edit` of it, outside of any transaction; revisions do
    /// not change.
    pub fn edit_values(&mut self, edit: impl Fn(&str) -> String) {
        for row in self.rows.values_mut() {
            row.value = edit(&row.value).into();
        }
    }

    fn holds(&self, check: &Check) -> bool {
        self.get(&check.key).map_or(0, |row| row.revision) == check.revision
    }
}
