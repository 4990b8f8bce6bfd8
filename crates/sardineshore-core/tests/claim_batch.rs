//! Batches of claim transactions: one write for many claims, and a result for each of them.

use sardineshore_core::claim::{MAX_BATCH_TXNS, TxnBatch};
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};

fn batch(keys: &[&str]) -> TxnBatch {
    let mut batch = TxnBatch::default();
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
    let names: Vec<String> = (0..MAX_BATCH_TXNS).map(|n| n.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert!(!batch(&names).add(&Txn::insert("one-more", "v")));
}

#[test]
fn split_result_conflict_only_for_its_transaction() {
    let row = Row {
        key: "b".into(),
        value: "theirs".into(),
        revision: 3,
    };
    let conflict = CommitOutcome::Conflict { rows: vec![row] };
    let results = batch(&["a", "b", "c"]).split_result(&Ok(conflict.clone()));
    assert_eq!(results, vec![None, Some(Ok(conflict)), None]);
}

#[test]
fn split_result_conflict_without_rows_is_retried() {
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
fn split_result_lost_confirmation_for_all() {
    let lost = Err(StoreError::Unconfirmed);
    assert_eq!(
        batch(&["a", "b"]).split_result(&lost),
        vec![Some(lost.clone()), Some(lost)]
    );
}
