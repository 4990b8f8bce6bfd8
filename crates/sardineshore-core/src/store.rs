//! Transactions of the platform's table service, and the errors of its stores, as plain data.
//!
//! The table is a key-value store: each row has a revision, and a transaction writes rows only if
//! the rows that it checks still have the expected revisions.

pub mod memory;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use memory::MemoryTable;

use crate::Revision;

/// A transaction: its writes take effect together, and only if all of its checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Rows to insert or replace.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    pub deletes: Vec<Arc<str>>,
}

impl Txn {
    /// Creates a transaction that inserts one row, only if the row does not exist.
    #[must_use]
    pub fn insert(key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        Self::replace(key, 0, value)
    }

    /// Creates a transaction that writes one row, only if the row still has this revision.
    #[must_use]
    pub fn replace(
        key: impl Into<Arc<str>>,
        revision: Revision,
        value: impl Into<Arc<str>>,
    ) -> Self {
        let key = key.into();
        Self {
            checks: vec![Check {
                key: key.clone(),
                revision,
            }],
            puts: vec![Put {
                key,
                value: value.into(),
            }],
            deletes: Vec::new(),
        }
    }
}

/// A condition on the revision of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Revision that the row must have; 0 if it must not exist.
    pub revision: Revision,
}

/// One row to insert or replace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Arc<str>,
    /// New value of the row, JSON text.
    pub value: Arc<str>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: Arc<str>,
    /// Value, JSON text.
    pub value: Arc<str>,
    /// Revision of the transaction that last wrote the row. Revisions grow with every commit of
    /// the table.
    pub revision: Revision,
}

/// Result of a transaction that the table decided on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "commit")]
pub enum CommitOutcome {
    /// The transaction took effect.
    Applied {
        /// Revision of the transaction and of the rows that it wrote.
        revision: Revision,
    },
    /// A check did not hold; nothing was written.
    Conflict {
        /// Current rows of the failed checks, without those that do not exist.
        rows: Vec<Row>,
    },
}

/// Why a call to the table or object store gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreError {
    /// The call was refused before it could take effect.
    #[error("the store refused the call before it took effect")]
    Unavailable,
    /// The call exceeded the store's rate limit and took no effect.
    #[error("the store's rate limit was exceeded")]
    Throttled,
    /// No answer was received; a write may have taken effect, or may still do so.
    #[error("the store's answer was lost; a write may still take effect")]
    Unconfirmed,
}
