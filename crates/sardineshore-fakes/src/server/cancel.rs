//! Registry through which a caller cancels a queued or running attempt.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;
use sardineshore_wire::backend::CancelRequest;

/// Attempts that can be cancelled, by request and attempt.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    senders: Mutex<HashMap<AttemptKey, oneshot::Sender<()>>>,
}

/// Identifies an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: Arc<str>,
    attempt: Arc<str>,
}

/// Registration of an attempt; dropping it removes the attempt from the registry.
#[derive(Debug)]
pub struct Registration {
    cancel_registry: Arc<CancelRegistry>,
    key: AttemptKey,
    rx: oneshot::Receiver<()>,
}

impl CancelRegistry {
    /// Registers an attempt.
    ///
    /// # Panics
    ///
    /// Panics if another task panicked while it held the lock.
    pub fn register(self: &Arc<Self>, request: &Arc<str>, attempt: &Arc<str>) -> Registration {
        let key = AttemptKey {
            request: request.clone(),
            attempt: attempt.clone(),
        };
        let (tx, rx) = oneshot::channel();
        let mut senders = self.senders.lock().expect("cancel lock poisoned");
        senders.insert(key.clone(), tx);
        Registration {
            cancel_registry: self.clone(),
            key,
            rx,
        }
    }

    /// Cancels an attempt; returns `false` if it isn't registered.
    ///
    /// # Panics
    ///
    /// Panics if another task panicked while it held the lock.
    pub fn cancel(&self, cancel: &CancelRequest) -> bool {
        let key = AttemptKey {
            request: cancel.request.clone(),
            attempt: cancel.attempt.clone(),
        };
        let mut senders = self.senders.lock().expect("cancel lock poisoned");
        senders.remove(&key).is_some_and(|tx| tx.send(()).is_ok())
    }
}

impl Registration {
    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&mut self) {
        if (&mut self.rx).await.is_err() {
            // A later attempt registered under the same key and replaced this sender: this attempt
            // can no longer be cancelled.
            futures::future::pending::<()>().await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.rx.close();
        let mut senders = self
            .cancel_registry
            .senders
            .lock()
            .expect("cancel lock poisoned");
        if senders
            .get(&self.key)
            .is_some_and(oneshot::Sender::is_canceled)
        {
            senders.remove(&self.key);
        }
    }
}
