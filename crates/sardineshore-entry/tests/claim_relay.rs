//! Claims written through relays: each gets one result, relays reduce the number of writes, and
//! claims succeed without a relay.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, UNIX_EPOCH};

use async_std::task;
use async_trait::async_trait;
use futures::future::join_all;
use sardineshore_core::claim::{IdempotencyKey, MAX_RETENTION_WINDOW, Retention};
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};
use sardineshore_entry::claims::batcher::BatchingTable;
use sardineshore_entry::claims::expiry::delete_expired;
use sardineshore_entry::claims::relay::{RelayLink, RelayedTable, WritePath, WriteRouter};
use sardineshore_fakes::platform::table::Table as Rows;
use sardineshore_wire::platform::Table;

const WINDOW: Duration = Duration::from_millis(20);

/// A table that counts its writes.
#[derive(Debug, Default)]
struct CountingTable {
    rows: Mutex<Rows>,
    writes: Mutex<usize>,
}

impl CountingTable {
    fn writes(&self) -> usize {
        *self.writes.lock().unwrap()
    }
}

#[async_trait]
impl Table for CountingTable {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        *self.writes.lock().unwrap() += 1;
        Ok(self.rows.lock().unwrap().commit(txn, Instant::now()))
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.rows.lock().unwrap().read(key, Instant::now()))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let rows = self.rows.lock().unwrap();
        Ok(rows.scan(prefix, after, limit, Instant::now()))
    }
}

/// Routes every claim to one relay.
#[derive(Debug)]
struct OneRelay;

impl WriteRouter for OneRelay {
    fn route(&self, _: &str) -> WritePath {
        WritePath::Peer("relay".into())
    }

    fn is_assigned_here(&self, _: &str) -> bool {
        true
    }
}

/// A relay that writes and responds, or writes and fails before it responds.
#[derive(Debug)]
struct Relay {
    table: BatchingTable,
    lost: bool,
}

#[async_trait]
impl RelayLink for Relay {
    async fn commit(&self, _: &Arc<str>, txn: &Txn) -> Option<Result<CommitOutcome, StoreError>> {
        let answer = self.table.commit(txn).await;
        (!self.lost).then_some(answer)
    }
}

/// The tables of `n` instances that use one relay.
fn instances(table: &Arc<CountingTable>, n: usize, lost: bool) -> Vec<RelayedTable> {
    let batched = BatchingTable::new(table.clone(), WINDOW);
    let link = Arc::new(Relay {
        table: batched.clone(),
        lost,
    });
    let one = |_| {
        RelayedTable::new(
            table.clone(),
            batched.clone(),
            Arc::new(OneRelay),
            link.clone(),
        )
    };
    (0..n).map(one).collect()
}

fn insert(key: &str, value: &str) -> Txn {
    Txn::insert(key, value)
}

#[test]
fn commit_one_row_has_one_winner() {
    task::block_on(async {
        let table = Arc::new(CountingTable::default());
        let all = instances(&table, 20, false);
        let txns: Vec<Txn> = (0..20).map(|n| insert("claim/k", &n.to_string())).collect();
        let calls = all
            .iter()
            .zip(&txns)
            .map(|(instance, txn)| instance.commit(txn));
        let answers = join_all(calls).await;
        let row = table
            .read("claim/k")
            .await
            .unwrap()
            .expect("one was written");
        for (answer, txn) in answers.iter().zip(&txns) {
            let ours = txn.puts[0].value == row.value;
            match answer.as_ref().expect("the table answers") {
                CommitOutcome::Applied { .. } => assert!(ours),
                CommitOutcome::Conflict { rows } => assert!(!ours && rows[0].value == row.value),
            }
        }
    });
}

#[test]
fn commit_conflict_leaves_rest_of_batch() {
    task::block_on(async {
        let table = Arc::new(CountingTable::default());
        table.commit(&insert("claim/3", "before")).await.unwrap();
        let all = instances(&table, 8, false);
        let txns: Vec<Txn> = (0..8)
            .map(|n| insert(&format!("claim/{n}"), "new"))
            .collect();
        let calls = all
            .iter()
            .zip(&txns)
            .map(|(instance, txn)| instance.commit(txn));
        let answers = join_all(calls).await;
        let applied = |answer: &&Result<CommitOutcome, StoreError>| {
            matches!(answer, Ok(CommitOutcome::Applied { .. }))
        };
        assert_eq!(answers.iter().filter(applied).count(), 7);
        assert!(!applied(&&answers[3]));
        for n in 0..8 {
            let row = table
                .read(&format!("claim/{n}"))
                .await
                .unwrap()
                .expect("written");
            assert_eq!(&*row.value, if n == 3 { "before" } else { "new" });
        }
    });
}

#[test]
fn commit_lost_relay_returns_own_row() {
    task::block_on(async {
        let table = Arc::new(CountingTable::default());
        let instance = instances(&table, 1, true).remove(0);
        let answer = instance.commit(&insert("claim/k", "mine")).await;
        let Ok(CommitOutcome::Conflict { rows }) = answer else {
            panic!("the relay's write took effect: {answer:?}");
        };
        assert_eq!(&*rows[0].value, "mine");
    });
}

#[test]
fn commit_writes_fewer_than_claims() {
    task::block_on(async {
        let table = Arc::new(CountingTable::default());
        let all = instances(&table, 100, false);
        let txns: Vec<Txn> = (0..100)
            .map(|n| insert(&format!("claim/{n}"), "v"))
            .collect();
        let calls = all
            .iter()
            .zip(&txns)
            .map(|(instance, txn)| instance.commit(txn));
        for answer in join_all(calls).await {
            assert!(matches!(answer, Ok(CommitOutcome::Applied { .. })));
        }
        assert!(table.writes() < 100, "{} writes", table.writes());
    });
}

#[test]
fn delete_expired_keeps_rows_within_longest_window() {
    task::block_on(async {
        let table = CountingTable::default();
        let retention = Retention {
            window: Duration::from_secs(60),
            ..Retention::default()
        };
        let wall = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let key_of = |age: Duration| {
            let made_ms = 1_800_000_000_000 - u64::try_from(age.as_millis()).unwrap();
            let hex = format!("{made_ms:012x}");
            let text = format!("{}-{}-7000-8000-000000000001", &hex[..8], &hex[8..]);
            retention.row_key(&"studio".into(), IdempotencyKey::parse(&text).unwrap())
        };
        let kept = key_of(MAX_RETENTION_WINDOW);
        for day in 8..108 {
            let old = key_of(Duration::from_secs(day * 24 * 3_600));
            table.commit(&insert(&old, "v")).await.unwrap();
        }
        table.commit(&insert(&kept, "v")).await.unwrap();
        table.commit(&insert("config/head", "v")).await.unwrap();
        let deleted = delete_expired(&table, &retention, wall).await;
        assert_eq!(deleted, Ok(100));
        assert!(table.read(&kept).await.unwrap().is_some());
        assert!(table.read("config/head").await.unwrap().is_some());
    });
}
