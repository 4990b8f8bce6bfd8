//! A fake of the platform's table, with injectable faults.

use std::sync::Mutex;

use async_trait::async_trait;
use sardineshore_core::{CommitOutcome, MemoryTable, Row, StoreError, Txn};
use sardineshore_wire::platform::Table;

/// Fault of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TableFault {
    /// No fault.
    #[default]
    None,
    /// Fails every call.
    Outage,
    /// Applies the next commit and loses its response.
    LoseAnswer,
    /// Delays the next commit and sends no response, then fails every call.
    DelayCommit,
}

/// An in-memory table with a fault.
#[derive(Debug, Default)]
pub struct FakeTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: TableFault,
    rows: MemoryTable,
    delayed: Vec<Txn>,
    commits: usize,
}

impl FakeTable {
    /// Sets the fault of the next calls.
    pub fn set_fault(&self, fault: TableFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Applies the delayed commits.
    pub fn apply_delayed(&self) {
        let mut state = self.state.lock().unwrap();
        for txn in std::mem::take(&mut state.delayed) {
            state.rows.commit(&txn);
        }
    }

    /// Number of commits requested so far.
    pub fn commits(&self) -> usize {
        self.state.lock().unwrap().commits
    }

    /// Edits the value of every row.
    pub fn edit(&self, edited: impl Fn(&str) -> String) {
        self.state.lock().unwrap().rows.edit_values(edited);
    }
}

#[async_trait]
impl Table for FakeTable {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.commits += 1;
        match state.fault {
            TableFault::None => Ok(state.rows.commit(txn)),
            TableFault::Outage => Err(StoreError::Unavailable),
            TableFault::LoseAnswer => {
                state.fault = TableFault::None;
                state.rows.commit(txn);
                Err(StoreError::Unconfirmed)
            }
            TableFault::DelayCommit => {
                state.fault = TableFault::Outage;
                state.delayed.push(txn.clone());
                Err(StoreError::Unconfirmed)
            }
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let state = self.state.lock().unwrap();
        if state.fault == TableFault::Outage {
            return Err(StoreError::Unavailable);
        }
        Ok(state.rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let state = self.state.lock().unwrap();
        Ok(state.rows.scan(prefix, after, limit))
    }
}
