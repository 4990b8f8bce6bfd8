//! The table service of the models: one row, and writes that land late.

use std::sync::Arc;

use sardineshore_core::{CommitOutcome, Revision, Row, Txn};

/// A table with one row of interest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ModelTable {
    row: Option<Row>,
    revision: Revision,
    /// Writes without an answer that may still land.
    late: Vec<Txn>,
}

impl ModelTable {
    /// The row, if it exists.
    #[must_use]
    pub fn row(&self) -> Option<&Row> {
        self.row.as_ref()
    }

    /// Value of the row, if it exists.
    #[must_use]
    pub fn value(&self) -> Option<&Arc<str>> {
        self.row.as_ref().map(|row| &row.value)
    }

    /// Commits a transaction of one row.
    pub fn commit(&mut self, txn: &Txn) -> CommitOutcome {
        let present = self.row.as_ref().map_or(0, |row| row.revision);
        if present != txn.checks[0].revision {
            let rows = self.row.iter().cloned().collect();
            return CommitOutcome::Conflict { rows };
        }
        self.overwrite(txn)
    }

    /// Writes a transaction's row without its check.
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

    /// Holds a write back; it may land at any time, or never.
    pub fn delay(&mut self, txn: Txn) {
        self.late.push(txn);
    }

    /// Every state in which one more late write has landed.
    #[must_use]
    pub fn landings(&self) -> Vec<Self> {
        let land = |at: usize| {
            let mut table = self.clone();
            let txn = table.late.remove(at);
            table.commit(&txn);
            table
        };
        (0..self.late.len()).map(land).collect()
    }
}
