//! Transactions of the platform's table service, as plain data.

pub mod memory;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use memory::MemoryTable;

use crate::Revision;

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    pub deletes: Vec<Arc<str>>,
}

impl Txn {
    /// A transaction that inserts one row, only if it does not exist.
    #[must_use]
    pub fn insert(key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        Self::replace(key, 0, value)
    }

    /// A transaction that writes one row, only if it still has the given revision.
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

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Revision it must have; 0: it must not exist.
    pub revision: Revision,
}

/// One row to write.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Arc<str>,
    /// Value of the row, JSON text.
    pub value: Arc<str>,
}

/// A row as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Value, JSON text.
    pub value: Arc<str>,
    /// Revision of the transaction that wrote it; grows with every commit of the table.
    pub revision: Revision,
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "commit")]
pub enum CommitOutcome {
    /// It took effect at this revision.
    Applied {
        /// Revision of the rows that it wrote.
        revision: Revision,
    },
    /// A check did not hold; nothing was written.
    Conflict {
        /// Present rows of the failed checks; a row that does not exist is left out.
        rows: Vec<Row>,
    },
}

/// Why the table or object store gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreError {
    /// The call was refused before it could take effect.
    #[error("the store refused the call before it took effect")]
    Unavailable,
    /// The call exceeded the store's rate limit and took no effect.
    #[error("the store's rate limit was exceeded")]
    Throttled,
    /// No answer came; a write may have taken effect, or may yet.
    #[error("the store's answer was lost; a write may take effect")]
    Unconfirmed,
}
