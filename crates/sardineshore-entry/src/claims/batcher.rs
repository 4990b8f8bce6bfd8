//! A table that batches claim transactions which arrive within a short window into one write.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use futures::channel::oneshot;
use sardineshore_core::claim::TxnBatch;
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};
use sardineshore_wire::platform::Table;

type CommitResult = Result<CommitOutcome, StoreError>;

/// Batches transactions that arrive within a window.
#[derive(Debug, Clone)]
pub struct BatchingTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    inner: Arc<dyn Table>,
    window: Duration,
    pending: Mutex<Vec<PendingTxn>>,
}

/// A transaction and the channel on which its caller waits for the result.
#[derive(Debug)]
struct PendingTxn {
    txn: Txn,
    tx: oneshot::Sender<CommitResult>,
}

impl BatchingTable {
    /// Batches transactions that arrive within `window` and commits each batch to `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Table>, window: Duration) -> Self {
        let shared = Shared {
            inner,
            window,
            pending: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }
}

#[async_trait]
impl Table for BatchingTable {
    async fn commit(&self, txn: &Txn) -> CommitResult {
        let (tx, rx) = oneshot::channel();
        let pending = PendingTxn {
            txn: txn.clone(),
            tx,
        };
        if self.shared.push(pending) {
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
    /// Adds a transaction; returns true if it is the first of its window.
    fn push(&self, pending: PendingTxn) -> bool {
        let mut txns = self.pending.lock().expect("batch lock poisoned");
        txns.push(pending);
        txns.len() == 1
    }

    /// Commits the pending transactions when the window ends.
    async fn flush(self: Arc<Self>) {
        task::sleep(self.window).await;
        let txns = std::mem::take(&mut *self.pending.lock().expect("batch lock poisoned"));
        for group in build_batches(txns) {
            task::spawn(self.clone().write(group));
        }
    }

    /// Commits a batch, then retries the members whose result the commit did not determine.
    async fn write(self: Arc<Self>, group: PendingBatch) {
        let mut queue = vec![group];
        while let Some(group) = queue.pop() {
            let answer = self.inner.commit(&group.batch.merged()).await;
            queue.extend(group.distribute_result(&answer));
        }
    }
}

/// A batch and the callers that wait for the results of its members.
#[derive(Debug, Default)]
struct PendingBatch {
    batch: TxnBatch,
    members: Vec<PendingTxn>,
}

impl PendingBatch {
    fn with_txn(pending: PendingTxn) -> Self {
        let mut group = Self::default();
        let refused = group.add(pending);
        debug_assert!(refused.is_none(), "an empty batch accepts any transaction");
        group
    }

    /// Sends each member its result. Returns the batches to commit again for members without one:
    /// batched together if the commit identified the conflicting members, otherwise one batch each.
    fn distribute_result(self, answer: &CommitResult) -> Vec<PendingBatch> {
        let settled = self.batch.split_result(answer);
        let any_settled = settled.iter().any(Option::is_some);
        let mut unsettled = Vec::new();
        for (pending, settled) in self.members.into_iter().zip(settled) {
            match settled {
                Some(answer) => drop(pending.tx.send(answer)),
                None => unsettled.push(pending),
            }
        }
        if any_settled {
            build_batches(unsettled)
        } else {
            unsettled.into_iter().map(Self::with_txn).collect()
        }
    }

    /// Adds a member; returns it if the batch does not accept it.
    fn add(&mut self, pending: PendingTxn) -> Option<PendingTxn> {
        if !self.batch.add(&pending.txn) {
            return Some(pending);
        }
        self.members.push(pending);
        None
    }
}

/// Distributes transactions over batches so that no batch writes a row twice.
fn build_batches(txns: Vec<PendingTxn>) -> Vec<PendingBatch> {
    let mut batches: Vec<PendingBatch> = Vec::new();
    for pending in txns {
        let mut left = Some(pending);
        for group in &mut batches {
            left = left.and_then(|pending| group.add(pending));
        }
        batches.extend(left.map(PendingBatch::with_txn));
    }
    batches
}
