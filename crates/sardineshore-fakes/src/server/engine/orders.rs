//! Orders to a model engine, such as loading a model or changing role.
//!
//! The engine executes one order at a time; each takes the same configured time.

use std::time::{Duration, Instant};

use sardineshore_core::FencingToken;
use sardineshore_wire::backend::{FencedOrder, OrderReply};

/// The order in progress and the completed orders of one engine.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    duration: Duration,
    highest: FencingToken,
    current: Option<CurrentOrder>,
    completed: Vec<FencedOrder>,
}

#[derive(Debug)]
struct CurrentOrder {
    order: FencedOrder,
    done_at: Instant,
}

impl Orders {
    /// Creates an empty set of orders. Without `fencing`, orders with an old fencing token are
    /// accepted.
    #[must_use]
    pub fn new(fencing: bool, duration: Duration) -> Self {
        Self {
            fencing,
            duration,
            highest: 0,
            current: None,
            completed: Vec::new(),
        }
    }

    /// Accepts an order, or reports the status of one that was accepted before.
    pub fn submit(&mut self, order: &FencedOrder, now: Instant) -> OrderReply {
        self.finish_due(now);
        if self.completed.iter().any(|done| done.id == order.id) {
            return OrderReply::Done;
        }
        if self.fencing && order.fence < self.highest {
            return OrderReply::Fenced {
                highest: self.highest,
            };
        }
        self.highest = self.highest.max(order.fence);
        match &self.current {
            Some(current) if current.order.id == order.id => OrderReply::InProgress,
            Some(_) => OrderReply::Busy,
            None => {
                let done_at = now + self.duration;
                let order = order.clone();
                self.current = Some(CurrentOrder { order, done_at });
                OrderReply::InProgress
            }
        }
    }

    /// Whether an order was accepted before.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        let current = self.current.iter().map(|current| &current.order);
        self.completed
            .iter()
            .chain(current)
            .any(|order| &*order.id == id)
    }

    /// Completed orders, oldest first.
    pub fn completed(&mut self, now: Instant) -> Vec<FencedOrder> {
        self.finish_due(now);
        self.completed.clone()
    }

    fn finish_due(&mut self, now: Instant) {
        let done = self.current.take_if(|current| current.done_at <= now);
        self.completed.extend(done.map(|current| current.order));
    }
}
