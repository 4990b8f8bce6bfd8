//! The transactional table, with its past states.
//!
//! One revision counter serves the whole table: every commit that writes takes the next number
//! and gives it to its rows. Writes may be scheduled for later; they are checked and applied when
//! they are due.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::{Check, CommitOutcome, Revision, Row, Txn};

const HISTORY: Duration = Duration::from_secs(120);

/// Rows of the table, each with its past.
#[derive(Debug, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<Arc<str>, Vec<Past>>,
    late: Vec<Late>,
}

/// A row, or its absence, since a moment.
#[derive(Debug)]
struct Past {
    since: Instant,
    row: Option<Row>,
}

#[derive(Debug)]
struct Late {
    due: Instant,
    txn: Txn,
}

impl Table {
    /// Commits a transaction.
    pub fn commit(&mut self, txn: &Txn, now: Instant) -> CommitOutcome {
        self.settle(now);
        self.apply(txn, now)
    }

    /// Schedules a transaction, which is checked and applied when it is due.
    pub fn commit_late(&mut self, txn: Txn, due: Instant) {
        self.late.push(Late { due, txn });
        self.late.sort_by_key(|late| late.due);
    }

    /// Applies the scheduled transactions that are due.
    pub fn settle(&mut self, now: Instant) {
        while self.late.first().is_some_and(|late| late.due <= now) {
            let late = self.late.remove(0);
            self.apply(&late.txn, late.due);
        }
    }

    /// Reads one row as it was at `at`.
    #[must_use]
    pub fn read(&self, key: &str, at: Instant) -> Option<Row> {
        state(self.rows.get(key)?, at)
    }

    /// Reads rows by prefix, after a key, as they were at `at`.
    #[must_use]
    pub fn scan(&self, prefix: &str, after: &str, limit: usize, at: Instant) -> Vec<Row> {
        let from: Arc<str> = prefix.max(after).into();
        self.rows
            .range(from..)
            .skip_while(|(key, _)| ***key <= *after && !after.is_empty())
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(_, past)| state(past, at))
            .take(limit)
            .collect()
    }

    fn apply(&mut self, txn: &Txn, now: Instant) -> CommitOutcome {
        let failed: Vec<&Check> = txn
            .checks
            .iter()
            .filter(|check| self.revision_of(&check.key, now) != check.revision)
            .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|check| self.read(&check.key, now))
                .collect();
            return CommitOutcome::Conflict { rows };
        }
        self.revision += 1;
        for put in &txn.puts {
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                revision: self.revision,
            };
            self.set(put.key.clone(), Some(row), now);
        }
        for key in &txn.deletes {
            self.set(key.clone(), None, now);
        }
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    fn revision_of(&self, key: &str, now: Instant) -> Revision {
        self.read(key, now).map_or(0, |row| row.revision)
    }

    fn set(&mut self, key: Arc<str>, row: Option<Row>, now: Instant) {
        let past = self.rows.entry(key).or_default();
        past.push(Past { since: now, row });
        let old = past.partition_point(|past| past.since + HISTORY < now);
        past.drain(..old.saturating_sub(1));
    }
}

fn state(past: &[Past], at: Instant) -> Option<Row> {
    let newer = past.partition_point(|past| past.since <= at);
    past[..newer].last()?.row.clone()
}
