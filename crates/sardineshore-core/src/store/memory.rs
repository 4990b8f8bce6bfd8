//! What a transaction of the table means, in memory: for models, stand-ins and tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Check, CommitOutcome, Row, Txn};
use crate::Revision;

/// Rows of a table.
///
/// ```
/// use sardineshore_core::{CommitOutcome, MemoryTable, Txn};
///
/// let mut rows = MemoryTable::default();
/// let insert = Txn::insert("a", "1");
/// assert_eq!(rows.commit(&insert), CommitOutcome::Applied { revision: 1 });
/// assert!(matches!(rows.commit(&insert), CommitOutcome::Conflict { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemoryTable {
    rows: BTreeMap<Arc<str>, Row>,
    revision: Revision,
}

impl MemoryTable {
    /// Commits a transaction: all of its writes, or none if a check does not hold.
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

    /// A row, if it exists.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Rows whose key begins with `prefix` and is greater than `after`, in key order.
    #[must_use]
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let wanted = |row: &&Row| row.key.starts_with(prefix) && *row.key > *after;
        self.rows
            .values()
            .filter(wanted)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Edits the value of every row, outside of any transaction.
    pub fn edit_values(&mut self, edited: impl Fn(&str) -> String) {
        for row in self.rows.values_mut() {
            row.value = edited(&row.value).into();
        }
    }

    fn holds(&self, check: &Check) -> bool {
        self.get(&check.key).map_or(0, |row| row.revision) == check.revision
    }
}
