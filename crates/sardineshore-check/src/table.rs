//! Store of the models: a table with one row, and writes that take effect after a delay.

use std::sync::Arc;

use sardineshore_core::{CommitOutcome, Revision, Row, Txn};

/// A table in which the models use a single row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ModelTable {
    row: Option<Row>,
    revision: Revision,
    /// Unconfirmed writes that may still take effect.
    delayed: Vec<Txn>,
}

impl ModelTable {
    /// Returns the row, if it exists.
    #[must_use]
    pub fn row(&self) -> Option<&Row> {
        self.row.as_ref()
    }

    /// Returns the value of the row, if it exists.
    #[must_use]
    pub fn value(&self) -> Option<&Arc<str>> {
        self.row.as_ref().map(|row| &row.value)
    }

    /// Commits a transaction that checks and writes the row.
    pub fn commit(&mut self, txn: &Txn) -> CommitOutcome {
        let current_revision = self.row.as_ref().map_or(0, |row| row.revision);
        if current_revision != txn.checks[0].revision {
            let rows = self.row.iter().cloned().collect();
            return CommitOutcome::Conflict { rows };
        }
        self.overwrite(txn)
    }

    /// Applies the write of a transaction without its check.
    pub fn overwrite(&mut self, txn: &Txn) -> CommitOutcome {
        self.revision += 1;
        let put = &txn.puts[0];
        self.row = Some(Row {
            key: put.key.clone(),
            value: put.value.clone(),
            revision: self.revision,
        });
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    /// Delays a write: it may take effect at any later time, or never.
    pub fn delay(&mut self, txn: Txn) {
        self.delayed.push(txn);
    }

    /// Returns one table for each delayed write, in which that write was committed.
    #[must_use]
    pub fn apply_each_delayed(&self) -> Vec<Self> {
        let apply = |index: usize| {
            let mut table = self.clone();
            let txn = table.delayed.remove(index);
            table.commit(&txn);
            table
        };
        (0..self.delayed.len()).map(apply).collect()
    }
}
