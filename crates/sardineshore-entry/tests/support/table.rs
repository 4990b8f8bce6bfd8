//! The platform's table within the test process, with injectable faults.

use std::sync::Mutex;

use async_trait::async_trait;
use sardineshore_core::{CommitOutcome, MemoryTable, Row, StoreError, Txn};
use sardineshore_wire::platform::Table;

/// How the table treats commits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TableFault {
    /// As it should.
    #[default]
    None,
    /// Refuses every call.
    Outage,
    /// Carries the next commit out and loses its answer.
    LoseAnswer,
    /// Holds the next commit back and gives no answer.
    HoldBack,
}

/// A table.
#[derive(Debug, Default)]
pub struct FakeTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: TableFault,
    rows: MemoryTable,
    held: Vec<Txn>,
    commits: usize,
}

impl FakeTable {
    /// Sets how the next commits are treated.
    pub fn set_fault(&self, fault: TableFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Lets the writes held back land.
    pub fn land(&self) {
        let mut state = self.state.lock().unwrap();
        for txn in std::mem::take(&mut state.held) {
            state.rows.commit(&txn);
        }
    }

    /// Commits asked for so far.
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
            TableFault::HoldBack => {
                state.fault = TableFault::Outage;
                state.held.push(txn.clone());
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
