//! Several claim transactions written as one, so that many claims cost one write of the table.
//!
//! Joining changes cost only: each member keeps its own condition, and what can't be told apart
//! is told to each member as if it had been written alone.
//!
//! ```
//! use sardineshore_core::claim::Batch;
//! use sardineshore_core::{CommitOutcome, Txn};
//!
//! let mut batch = Batch::default();
//! assert!(batch.add(&Txn::insert("claim/a", "1")));
//! assert!(batch.add(&Txn::insert("claim/b", "2")));
//! assert_eq!(batch.merged().puts.len(), 2);
//! let settled = batch.split_result(&Ok(CommitOutcome::Applied { revision: 7 }));
//! assert!(settled.iter().all(|end| end.is_some()));
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::{CommitOutcome, Row, StoreError, Txn};

/// Most transactions of one batch.
pub const MAX_BATCH: usize = 64;

/// Transactions that share no row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    members: Vec<Txn>,
    keys: BTreeSet<Arc<str>>,
}

/// How a member ended; nothing: it must be written again.
pub type MemberResult = Option<Result<CommitOutcome, StoreError>>;

impl Batch {
    /// Adds a transaction; refuses it if the batch is full or touches one of its rows.
    #[must_use]
    pub fn add(&mut self, txn: &Txn) -> bool {
        let taken = keys(txn).any(|key| self.keys.contains(key));
        if taken || self.members.len() >= MAX_BATCH {
            return false;
        }
        self.keys.extend(keys(txn).cloned());
        self.members.push(txn.clone());
        true
    }

    /// Number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members as one transaction.
    #[must_use]
    pub fn merged(&self) -> Txn {
        let mut merged = Txn::default();
        for txn in &self.members {
            merged.checks.extend(txn.checks.iter().cloned());
            merged.puts.extend(txn.puts.iter().cloned());
            merged.deletes.extend(txn.deletes.iter().cloned());
        }
        merged
    }

    /// What the table's answer to the joined transaction means for each member, in the order in
    /// which they were added.
    #[must_use]
    pub fn split_result(&self, answer: &Result<CommitOutcome, StoreError>) -> Vec<MemberResult> {
        let each = self.members.iter();
        match answer {
            Ok(CommitOutcome::Conflict { rows }) if self.members.len() > 1 => {
                each.map(|txn| conflict(txn, rows)).collect()
            }
            answer => each.map(|_| Some(answer.clone())).collect(),
        }
    }
}

/// The conflict of one member, if the rows of the joined conflict show it.
fn conflict(txn: &Txn, rows: &[Row]) -> MemberResult {
    let ours = |row: &&Row| txn.checks.iter().any(|check| check.key == row.key);
    let rows: Vec<Row> = rows.iter().filter(ours).cloned().collect();
    (!rows.is_empty()).then_some(Ok(CommitOutcome::Conflict { rows }))
}

fn keys(txn: &Txn) -> impl Iterator<Item = &Arc<str>> {
    let checks = txn.checks.iter().map(|check| &check.key);
    let puts = txn.puts.iter().map(|put| &put.key);
    checks.chain(puts).chain(&txn.deletes)
}
