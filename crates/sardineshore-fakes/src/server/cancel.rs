//! Cancellation of attempts that nobody waits for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;
use sardineshore_wire::backend::Cancel;

/// Attempts that can be cancelled.
#[derive(Debug, Default)]
pub struct Cancels {
    senders: Mutex<HashMap<Cancelled, oneshot::Sender<()>>>,
}

/// Which attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Cancelled {
    request: Arc<str>,
    attempt: Arc<str>,
}

/// Registration of an attempt; dropping it ends the registration.
#[derive(Debug)]
pub struct Registration {
    cancels: Arc<Cancels>,
    key: Cancelled,
    rx: oneshot::Receiver<()>,
}

impl Cancels {
    /// Registers an attempt.
    ///
    /// # Panics
    ///
    /// Panics if another task panicked while it held the lock.
    pub fn register(self: &Arc<Self>, request: &Arc<str>, attempt: &Arc<str>) -> Registration {
        let key = Cancelled {
            request: request.clone(),
            attempt: attempt.clone(),
        };
        let (tx, rx) = oneshot::channel();
        let mut senders = self.senders.lock().expect("cancel lock poisoned");
        senders.insert(key.clone(), tx);
        Registration {
            cancels: self.clone(),
            key,
            rx,
        }
    }

    /// Cancels an attempt; false if it is not here.
    ///
    /// # Panics
    ///
    /// Panics if another task panicked while it held the lock.
    pub fn cancel(&self, cancel: &Cancel) -> bool {
        let key = Cancelled {
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
            // Another attempt registered under the same name: this one can't be cancelled.
            futures::future::pending::<()>().await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.rx.close();
        let mut senders = self.cancels.senders.lock().expect("cancel lock poisoned");
        if senders
            .get(&self.key)
            .is_some_and(oneshot::Sender::is_canceled)
        {
            senders.remove(&self.key);
        }
    }
}
