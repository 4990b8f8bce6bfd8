//! Merges several claim transactions into one, so that many claims cost one write to the table.
//!
//! Batching does not change the results: each transaction keeps its own condition. A result that
//! can't be attributed to single transactions, such as a lost confirmation, is the result of each
//! of them, as if it had been committed alone.
//!
//! ```
//! use sardineshore_core::claim::TxnBatch;
//! use sardineshore_core::{CommitOutcome, Txn};
//!
//! let mut batch = TxnBatch::default();
//! assert!(batch.add(&Txn::insert("claim/a", "1")));
//! assert!(batch.add(&Txn::insert("claim/b", "2")));
//! assert_eq!(batch.merged().puts.len(), 2);
//! let results = batch.split_result(&Ok(CommitOutcome::Applied { revision: 7 }));
//! assert!(results.iter().all(|result| result.is_some()));
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::{CommitOutcome, Row, StoreError, Txn};

/// Maximum number of transactions in a batch.
pub const MAX_BATCH_TXNS: usize = 64;

/// Transactions that share no row and are committed as one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TxnBatch {
    members: Vec<Txn>,
    /// Keys of all rows that the members check, write or delete.
    keys: BTreeSet<Arc<str>>,
}

/// Result of one transaction of a batch; `None` if it must be committed again.
pub type MemberResult = Option<Result<CommitOutcome, StoreError>>;

impl TxnBatch {
    /// Adds a transaction. Returns false, and leaves the batch as it is, if the batch is full or
    /// already touches one of the transaction's rows.
    #[must_use]
    pub fn add(&mut self, txn: &Txn) -> bool {
        let taken = keys(txn).any(|key| self.keys.contains(key));
        if taken || self.members.len() >= MAX_BATCH_TXNS {
            return false;
        }
        self.keys.extend(keys(txn).cloned());
        self.members.push(txn.clone());
        true
    }

    /// Number of transactions in the batch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the batch holds no transactions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All transactions of the batch, merged into one.
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

    /// Splits the table's result for the merged transaction into a result for each transaction, in
    /// the order in which they were added.
    #[must_use]
    pub fn split_result(&self, result: &Result<CommitOutcome, StoreError>) -> Vec<MemberResult> {
        let each = self.members.iter();
        match result {
            Ok(CommitOutcome::Conflict { rows }) if self.members.len() > 1 => {
                each.map(|txn| conflict(txn, rows)).collect()
            }
            result => each.map(|_| Some(result.clone())).collect(),
        }
    }
}

/// Conflict of one transaction, if the conflict of the merged transaction includes one of its
/// rows; otherwise another transaction failed, and this one must be committed again.
fn conflict(txn: &Txn, rows: &[Row]) -> MemberResult {
    let own = |row: &&Row| txn.checks.iter().any(|check| check.key == row.key);
    let rows: Vec<Row> = rows.iter().filter(own).cloned().collect();
    (!rows.is_empty()).then_some(Ok(CommitOutcome::Conflict { rows }))
}

fn keys(txn: &Txn) -> impl Iterator<Item = &Arc<str>> {
    let checks = txn.checks.iter().map(|check| &check.key);
    let puts = txn.puts.iter().map(|put| &put.key);
    checks.chain(puts).chain(&txn.deletes)
}
