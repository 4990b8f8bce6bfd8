//! Tests the table of the fake platform: revisions, checks, scheduled writes and past versions.

use std::time::{Duration, Instant};

use sardineshore_core::{CommitOutcome, Txn};
use sardineshore_fakes::platform::table::Table;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn commit_insert_twice_conflicts_with_first() {
    let mut table = Table::default();
    let now = Instant::now();
    let first = table.commit(&Txn::insert("k", "1"), now);
    assert_eq!(first, CommitOutcome::Applied { revision: 1 });
    let CommitOutcome::Conflict { rows } = table.commit(&Txn::insert("k", "2"), now) else {
        panic!("the second insert was applied");
    };
    assert_eq!(&*rows[0].value, "1");
    assert_eq!(table.read("k", now).unwrap().revision, 1);
}

#[test]
fn commit_revision_counts_over_whole_table() {
    let mut table = Table::default();
    let now = Instant::now();
    table.commit(&Txn::insert("a", "1"), now);
    table.commit(&Txn::insert("b", "1"), now);
    let replaced = table.commit(&Txn::replace("a", 1, "2"), now);
    assert_eq!(replaced, CommitOutcome::Applied { revision: 3 });
    let stale = table.commit(&Txn::replace("a", 1, "3"), now);
    assert!(matches!(stale, CommitOutcome::Conflict { .. }));
}

#[test]
fn commit_failed_check_writes_nothing() {
    let mut table = Table::default();
    let now = Instant::now();
    table.commit(&Txn::insert("a", "1"), now);
    let mut txn = Txn::insert("b", "1");
    txn.checks.extend(Txn::insert("a", "").checks);
    txn.deletes.push("a".into());
    assert!(matches!(
        table.commit(&txn, now),
        CommitOutcome::Conflict { .. }
    ));
    assert_eq!(table.read("b", now), None);
    assert!(table.read("a", now).is_some());
}

#[test]
fn schedule_checks_when_due() {
    let mut table = Table::default();
    let now = Instant::now();
    table.schedule(Txn::insert("k", "late"), now + SECOND);
    table.schedule(Txn::insert("free", "late"), now + SECOND);
    table.commit(&Txn::insert("k", "early"), now);
    assert_eq!(table.read("free", now), None);
    table.apply_due(now + SECOND);
    assert_eq!(&*table.read("k", now + SECOND).unwrap().value, "early");
    assert_eq!(&*table.read("free", now + SECOND).unwrap().value, "late");
}

#[test]
fn read_past_time_returns_old_row() {
    let mut table = Table::default();
    let now = Instant::now();
    table.commit(&Txn::insert("k", "1"), now);
    table.commit(&Txn::replace("k", 1, "2"), now + SECOND);
    assert_eq!(&*table.read("k", now).unwrap().value, "1");
    assert_eq!(&*table.read("k", now + SECOND).unwrap().value, "2");
}

#[test]
fn scan_prefix_and_after_bound_rows() {
    let mut table = Table::default();
    let now = Instant::now();
    for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        table.commit(&Txn::insert(key, "{}"), now);
    }
    let keys = |after, limit| -> Vec<String> {
        let rows = table.scan("b/", after, limit, now);
        rows.iter().map(|row| row.key.to_string()).collect()
    };
    assert_eq!(keys("", 9), ["b/1", "b/2", "b/3"]);
    assert_eq!(keys("b/1", 1), ["b/2"]);
    assert_eq!(keys("b/3", 9), Vec::<String>::new());
}
