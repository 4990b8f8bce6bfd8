//! Orders to load or to change role: one at a time, each taking some time.

use std::time::{Duration, Instant};

use sardineshore_core::FencingToken;
use sardineshore_wire::backend::{FencedOrder, OrderReply};

/// Orders of one engine.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    time: Duration,
    highest: FencingToken,
    current: Option<Current>,
    carried_out: Vec<FencedOrder>,
}

#[derive(Debug)]
struct Current {
    order: FencedOrder,
    done_at: Instant,
}

impl Orders {
    /// Creates an engine's orders; without `fencing` old fencing tokens are ignored.
    #[must_use]
    pub fn new(fencing: bool, time: Duration) -> Self {
        Self {
            fencing,
            time,
            highest: 0,
            current: None,
            carried_out: Vec::new(),
        }
    }

    /// Takes an order, or tells what became of it.
    pub fn submit(&mut self, order: &FencedOrder, now: Instant) -> OrderReply {
        self.settle(now);
        if self.carried_out.iter().any(|done| done.id == order.id) {
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
                let done_at = now + self.time;
                let order = order.clone();
                self.current = Some(Current { order, done_at });
                OrderReply::InProgress
            }
        }
    }

    /// Whether an order was taken before.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        let current = self.current.iter().map(|current| &current.order);
        self.carried_out
            .iter()
            .chain(current)
            .any(|order| &*order.id == id)
    }

    /// Orders carried out so far, in order.
    pub fn carried_out(&mut self, now: Instant) -> Vec<FencedOrder> {
        self.settle(now);
        self.carried_out.clone()
    }

    fn settle(&mut self, now: Instant) {
        let done = self.current.take_if(|current| current.done_at <= now);
        self.carried_out.extend(done.map(|current| current.order));
    }
}
