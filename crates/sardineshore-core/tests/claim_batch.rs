//! Batches of claims: one write for many, and each member's own answer.

use sardineshore_core::claim::{Batch, MAX_BATCH};
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};

fn batch(keys: &[&str]) -> Batch {
    let mut batch = Batch::default();
    for key in keys {
        assert!(batch.add(&Txn::insert(*key, "v")), "the rows differ");
    }
    batch
}

#[test]
fn add_same_row_refused() {
    let mut batch = batch(&["a"]);
    assert!(!batch.add(&Txn::insert("a", "other")));
    assert_eq!(batch.merged(), Txn::insert("a", "v"));
}

#[test]
fn add_full_refused() {
    let names: Vec<String> = (0..MAX_BATCH).map(|n| n.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert!(!batch(&names).add(&Txn::insert("one-more", "v")));
}

#[test]
fn settle_conflict_only_its_own_member() {
    let row = Row {
        key: "b".into(),
        value: "theirs".into(),
        revision: 3,
    };
    let conflict = CommitOutcome::Conflict { rows: vec![row] };
    let settled = batch(&["a", "b", "c"]).split_result(&Ok(conflict.clone()));
    assert_eq!(settled, vec![None, Some(Ok(conflict)), None]);
}

#[test]
fn settle_conflict_without_rows_written_again() {
    let conflict = CommitOutcome::Conflict { rows: Vec::new() };
    assert_eq!(
        batch(&["a", "b"]).split_result(&Ok(conflict.clone())),
        vec![None, None]
    );
    assert_eq!(
        batch(&["a"]).split_result(&Ok(conflict.clone())),
        vec![Some(Ok(conflict))]
    );
}

#[test]
fn settle_lost_confirmation_told_to_all() {
    let lost = Err(StoreError::Unconfirmed);
    assert_eq!(
        batch(&["a", "b"]).split_result(&lost),
        vec![Some(lost.clone()), Some(lost)]
    );
}
