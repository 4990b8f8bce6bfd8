//! A table that joins claim transactions which arrive close together into one write.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use futures::channel::oneshot;
use sardineshore_core::claim::TxnBatch;
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};
use sardineshore_wire::platform::Table;

type Answer = Result<CommitOutcome, StoreError>;

/// Joins transactions that arrive within a window.
#[derive(Debug, Clone)]
pub struct BatchingTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    inner: Arc<dyn Table>,
    window: Duration,
    waiting: Mutex<Vec<Waiting>>,
}

/// A transaction and who waits for its answer.
#[derive(Debug)]
struct Waiting {
    txn: Txn,
    tx: oneshot::Sender<Answer>,
}

impl BatchingTable {
    /// Joins what arrives within `window` into writes of `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Table>, window: Duration) -> Self {
        let shared = Shared {
            inner,
            window,
            waiting: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }
}

#[async_trait]
impl Table for BatchingTable {
    async fn commit(&self, txn: &Txn) -> Answer {
        let (tx, rx) = oneshot::channel();
        let waiting = Waiting {
            txn: txn.clone(),
            tx,
        };
        if self.shared.push(waiting) {
            task::spawn(self.shared.clone().flush());
        }
        rx.await.unwrap_or(Err(StoreError::Unconfirmed))
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.shared.inner.read(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.shared.inner.scan(prefix, after, limit).await
    }
}

impl Shared {
    /// Adds a transaction; returns whether it is the first of its window.
    fn push(&self, waiting: Waiting) -> bool {
        let mut all = self.waiting.lock().expect("batch lock poisoned");
        all.push(waiting);
        all.len() == 1
    }

    /// Writes what has arrived once the window is over.
    async fn flush(self: Arc<Self>) {
        task::sleep(self.window).await;
        let all = std::mem::take(&mut *self.waiting.lock().expect("batch lock poisoned"));
        for group in groups(all) {
            task::spawn(self.clone().write(group));
        }
    }

    /// Writes a group, and what its answer leaves open again.
    async fn write(self: Arc<Self>, group: Group) {
        let mut todo = vec![group];
        while let Some(group) = todo.pop() {
            let answer = self.inner.commit(&group.batch.merged()).await;
            todo.extend(group.settle(&answer));
        }
    }
}

/// A batch and who waits for its members.
#[derive(Debug, Default)]
struct Group {
    batch: TxnBatch,
    members: Vec<Waiting>,
}

impl Group {
    fn of(waiting: Waiting) -> Self {
        let mut group = Self::default();
        let refused = group.add(waiting);
        debug_assert!(refused.is_none(), "an empty group takes any transaction");
        group
    }

    /// Tells the members their answers. Those whose answer is open are to be written again:
    /// together if the write told who was in the way, else each alone.
    fn settle(self, answer: &Answer) -> Vec<Group> {
        let settled = self.batch.split_result(answer);
        let told = settled.iter().any(Option::is_some);
        let mut open = Vec::new();
        for (waiting, settled) in self.members.into_iter().zip(settled) {
            match settled {
                Some(answer) => drop(waiting.tx.send(answer)),
                None => open.push(waiting),
            }
        }
        if told {
            groups(open)
        } else {
            open.into_iter().map(Self::of).collect()
        }
    }

    /// Adds a member; gives it back if the batch does not take it.
    fn add(&mut self, waiting: Waiting) -> Option<Waiting> {
        if !self.batch.add(&waiting.txn) {
            return Some(waiting);
        }
        self.members.push(waiting);
        None
    }
}

/// Groups transactions so that no group writes a row twice.
fn groups(all: Vec<Waiting>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for waiting in all {
        let mut left = Some(waiting);
        for group in &mut groups {
            left = left.and_then(|waiting| group.add(waiting));
        }
        groups.extend(left.map(Group::of));
    }
    groups
}
