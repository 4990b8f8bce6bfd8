//! Transactional table of the fake platform, with the past versions of its rows.
//!
//! The whole table has one revision counter: every applied transaction takes the next revision and
//! assigns it to its rows. A transaction can be scheduled for later; its checks are evaluated when
//! it is due.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::{Check, CommitOutcome, Revision, Row, Txn};

/// Time for which old row versions are kept for stale reads.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// The table; each row keeps its versions of the last two minutes for stale reads.
#[derive(Debug, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<Arc<str>, Vec<RowVersion>>,
    scheduled: Vec<ScheduledTxn>,
}

/// Value of a row since a point in time; `None` while the row doesn't exist.
#[derive(Debug)]
struct RowVersion {
    since: Instant,
    row: Option<Row>,
}

#[derive(Debug)]
struct ScheduledTxn {
    due: Instant,
    txn: Txn,
}

impl Table {
    /// Commits a transaction.
    pub fn commit(&mut self, txn: &Txn, now: Instant) -> CommitOutcome {
        self.apply_due(now);
        self.apply(txn, now)
    }

    /// Schedules a transaction; its checks are evaluated at `due`.
    pub fn schedule(&mut self, txn: Txn, due: Instant) {
        self.scheduled.push(ScheduledTxn { due, txn });
        self.scheduled.sort_by_key(|scheduled| scheduled.due);
    }

    /// Applies the scheduled transactions that are due.
    pub fn apply_due(&mut self, now: Instant) {
        while self
            .scheduled
            .first()
            .is_some_and(|scheduled| scheduled.due <= now)
        {
            let scheduled = self.scheduled.remove(0);
            self.apply(&scheduled.txn, scheduled.due);
        }
    }

    /// Reads one row as it was at `as_of`.
    #[must_use]
    pub fn read(&self, key: &str, as_of: Instant) -> Option<Row> {
        version_at(self.rows.get(key)?, as_of)
    }

    /// Reads up to `limit` rows whose key has the prefix and sorts after `after`, as they were at
    /// `as_of`.
    #[must_use]
    pub fn scan(&self, prefix: &str, after: &str, limit: usize, as_of: Instant) -> Vec<Row> {
        let from: Arc<str> = prefix.max(after).into();
        self.rows
            .range(from..)
            .skip_while(|(key, _)| ***key <= *after && !after.is_empty())
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(_, versions)| version_at(versions, as_of))
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
            self.push_version(put.key.clone(), Some(row), now);
        }
        for key in &txn.deletes {
            self.push_version(key.clone(), None, now);
        }
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    fn revision_of(&self, key: &str, now: Instant) -> Revision {
        self.read(key, now).map_or(0, |row| row.revision)
    }

    fn push_version(&mut self, key: Arc<str>, row: Option<Row>, now: Instant) {
        let versions = self.rows.entry(key).or_default();
        versions.push(RowVersion { since: now, row });
        let old = versions.partition_point(|version| version.since + HISTORY_RETENTION < now);
        versions.drain(..old.saturating_sub(1));
    }
}

fn version_at(versions: &[RowVersion], as_of: Instant) -> Option<Row> {
    let newer = versions.partition_point(|version| version.since <= as_of);
    versions[..newer].last()?.row.clone()
}
