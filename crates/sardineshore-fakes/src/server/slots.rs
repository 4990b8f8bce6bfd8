//! Concurrency limiter of a fake server: execution slots with a bounded priority queue.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use futures::channel::oneshot;

/// Execution slots and queue of one server.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    max_queue: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: BTreeMap<QueuePosition, oneshot::Sender<()>>,
    next_arrival: u64,
}

/// Position in the queue: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: u8,
    arrival: u64,
}

/// A slot in use; dropping it passes the slot to the next queued attempt.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
}

/// The queue has reached its maximum length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Numbers of running and queued attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Attempts that hold a slot.
    pub running: usize,
    /// Attempts in the queue.
    pub queued: usize,
}

/// A queued attempt; dropping it leaves the queue, or releases the slot if it was just granted.
struct Waiter {
    slots: Arc<Slots>,
    position: QueuePosition,
    granted: bool,
}

impl Slots {
    /// Creates `capacity` free slots and a queue of up to `max_queue` attempts.
    #[must_use]
    pub fn new(capacity: usize, max_queue: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            max_queue,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot; a lower `priority` is served first. Dropping the future leaves the queue.
    pub async fn acquire(self: &Arc<Self>, priority: u8) -> Result<Slot, QueueFull> {
        let (tx, rx) = oneshot::channel();
        let Some(mut waiter) = self.acquire_or_enqueue(priority, tx)? else {
            return Ok(self.slot());
        };
        // The sender stays in the queue until it grants the slot, so this can't fail.
        waiter.granted = rx.await.is_ok();
        Ok(self.slot())
    }

    /// Current numbers of running and queued attempts.
    #[must_use]
    pub fn occupancy(&self) -> Occupancy {
        let state = self.state();
        Occupancy {
            running: state.running,
            queued: state.waiting.len(),
        }
    }

    /// Takes a free slot (`None`) or joins the queue.
    fn acquire_or_enqueue(
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
        let arrival = state.next_arrival;
        state.next_arrival += 1;
        let position = QueuePosition { priority, arrival };
        state.waiting.insert(position, tx);
        Ok(Some(Waiter {
            slots: self.clone(),
            position,
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
            // If the waiter is being dropped, its `Drop` implementation releases the slot.
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
        let waiting = self.slots.state().waiting.remove(&self.position).is_some();
        if !waiting {
            self.slots.release();
        }
    }
}
