//! Orders to one engine: one at a time, each repeated until the engine confirms it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{EngineOrder, FencingToken};

/// Delay before an order is repeated to an engine that is busy or silent.
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderAnswer {
    /// The order was carried out.
    Done,
    /// It is being carried out.
    InProgress,
    /// The fencing token is older than one seen before.
    Fenced {
        /// Highest number seen.
        highest: FencingToken,
    },
    /// Another order is being carried out.
    Busy,
}

/// What an order machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A new order.
    Ordered(EngineOrder),
    /// Answer to the last [`OrderAction::Send`]; `None` if none came.
    Answered(Option<OrderAnswer>),
    /// Time has passed.
    Tick,
}

/// What an order machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderAction {
    /// Send the order now; exactly one [`OrderEvent::Answered`] must follow.
    Send {
        /// Order; its command's identifier makes repetitions harmless.
        order: EngineOrder,
        /// Fencing token.
        fence: FencingToken,
    },
    /// The order was carried out.
    Finished(EngineOrder),
    /// The engine has seen a higher fencing token: this instance no longer holds the lease.
    Superseded(FencingToken),
    /// Call [`OrderEvent::Tick`] at this time; replaces the last one.
    WakeAt(Instant),
}

/// State machine of the orders to one engine on one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct OrderMachine {
    queue: VecDeque<EngineOrder>,
    sent: bool,
    repeat_at: Option<Instant>,
}

impl OrderMachine {
    /// Takes one event; `lease` is [`super::LeaseMachine::current_token`] at this moment.
    #[must_use]
    pub fn step(
        &mut self,
        event: OrderEvent,
        lease: Option<FencingToken>,
        now: Instant,
    ) -> Vec<OrderAction> {
        let mut out = Vec::new();
        match event {
            OrderEvent::Ordered(order) => self.queue.push_back(order),
            OrderEvent::Answered(answer) => self.on_answer(answer, now, &mut out),
            OrderEvent::Tick => {}
        }
        self.send_next(lease, now, &mut out);
        out
    }

    /// Whether no order is waiting or outstanding.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.sent
    }

    fn on_answer(&mut self, answer: Option<OrderAnswer>, now: Instant, out: &mut Vec<OrderAction>) {
        if !std::mem::take(&mut self.sent) {
            return;
        }
        match answer {
            Some(OrderAnswer::Done) => {
                out.extend(self.queue.pop_front().map(OrderAction::Finished));
            }
            Some(OrderAnswer::Fenced { highest }) => {
                out.push(OrderAction::Superseded(highest));
                self.repeat_at = Some(now + REPEAT_DELAY);
            }
            Some(OrderAnswer::InProgress | OrderAnswer::Busy) | None => {
                self.repeat_at = Some(now + REPEAT_DELAY);
            }
        }
    }

    fn send_next(&mut self, lease: Option<FencingToken>, now: Instant, out: &mut Vec<OrderAction>) {
        let Some(order) = self.queue.front().filter(|_| !self.sent) else {
            return;
        };
        let due = self.repeat_at.is_none_or(|at| now >= at);
        if let Some(fence) = lease.filter(|_| due) {
            self.sent = true;
            self.repeat_at = None;
            let order = order.clone();
            out.push(OrderAction::Send { order, fence });
            return;
        }
        let at = self.repeat_at.filter(|at| *at > now);
        out.push(OrderAction::WakeAt(at.unwrap_or(now + REPEAT_DELAY)));
    }
}
