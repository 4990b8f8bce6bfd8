//! Slots for running attempts, with a bounded queue by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use futures::channel::oneshot;

/// Slots of one server.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    max_queue: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: BTreeMap<Turn, oneshot::Sender<()>>,
    next: u64,
}

/// Order of waiting: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: u8,
    arrival: u64,
}

/// A slot in use; dropping it lets the next attempt run.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
}

/// The queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Attempts running and waiting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Attempts running.
    pub running: usize,
    /// Attempts waiting.
    pub queued: usize,
}

/// A place in the queue; dropping it gives up the place, or the slot if it was granted.
struct Waiter {
    slots: Arc<Slots>,
    turn: Turn,
    granted: bool,
}

impl Slots {
    /// Creates free slots.
    #[must_use]
    pub fn new(capacity: usize, max_queue: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            max_queue,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot. Dropping the future gives up the place in the queue.
    pub async fn acquire(self: &Arc<Self>, priority: u8) -> Result<Slot, QueueFull> {
        let (tx, rx) = oneshot::channel();
        let Some(mut waiter) = self.enter(priority, tx)? else {
            return Ok(self.slot());
        };
        // The sender lives in the queue until it grants the slot, so this can't fail.
        waiter.granted = rx.await.is_ok();
        Ok(self.slot())
    }

    /// Attempts running and waiting now.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        let state = self.state();
        Occupancy {
            running: state.running,
            queued: state.waiting.len(),
        }
    }

    /// Takes a free slot (`None`) or a place in the queue.
    fn enter(
        self: &Arc<Self>,
        priority: u8,
        tx: oneshot::Sender<()>,
    ) -> Result<Option<Waiter>, QueueFull> {
        let mut state = self.state();
        if state.running < self.capacity {
            state.running += 1;
            return Ok(None);
        }
        if state.waiting.len() >= self.max_queue {
            return Err(QueueFull);
        }
        let arrival = state.next;
        state.next += 1;
        let turn = Turn { priority, arrival };
        state.waiting.insert(turn, tx);
        Ok(Some(Waiter {
            slots: self.clone(),
            turn,
            granted: false,
        }))
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            slots: self.clone(),
        }
    }

    fn release(&self) {
        let mut state = self.state();
        match state.waiting.pop_first() {
            // A waiter that has gone meanwhile releases the slot when it is dropped.
            Some((_, tx)) => drop(tx.send(())),
            None => state.running -= 1,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("slots lock poisoned")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release();
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let waiting = self.slots.state().waiting.remove(&self.turn).is_some();
        if !waiting {
            self.slots.release();
        }
    }
}
