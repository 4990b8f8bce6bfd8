//! State machine that sends orders to one model engine while this instance holds the lease: one
//! order at a time, each repeated until the engine confirms it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{EngineOrder, FencingToken};

/// Delay before an order is sent again, after no answer or one other than
/// [`OrderAnswer::Done`].
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderAnswer {
    /// The engine has executed the order.
    Done,
    /// The engine is executing the order.
    InProgress,
    /// The engine refused the order, as it has seen a higher fencing token.
    Fenced {
        /// Highest fencing token that the engine has seen.
        highest: FencingToken,
    },
    /// The engine is executing another order.
    Busy,
}

/// Input of an order machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A new order, which is queued.
    NewOrder(EngineOrder),
    /// Answer to the last [`OrderAction::Send`]; `None` if there was none.
    Answered(Option<OrderAnswer>),
    /// The time of the last [`OrderAction::WakeAt`] has come.
    Tick,
}

/// Action that an order machine asks the code around it to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderAction {
    /// Send the order now; exactly one [`OrderEvent::Answered`] must follow.
    Send {
        /// Order to send. Its command identifier lets the engine recognise a repeated order.
        order: EngineOrder,
        /// Fencing token of this instance's lease.
        fence: FencingToken,
    },
    /// Report that the engine has executed the order.
    Finished(EngineOrder),
    /// Report that the engine has seen this higher fencing token, so that another instance holds
    /// the lease.
    Superseded(FencingToken),
    /// Send [`OrderEvent::Tick`] at this time; replaces the time of any earlier `WakeAt`.
    WakeAt(Instant),
}

/// State machine of the orders to one engine on one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct OrderMachine {
    /// Orders that are not confirmed; the first one may have been sent.
    queue: VecDeque<EngineOrder>,
    /// Whether the answer to the first order is awaited.
    awaits_answer: bool,
    retry_at: Option<Instant>,
}

impl OrderMachine {
    /// Handles one event and returns the actions to perform, in order. `token` is the result of
    /// [`super::LeaseMachine::current_token`] at `now`.
    #[must_use]
    pub fn step(
        &mut self,
        event: OrderEvent,
        token: Option<FencingToken>,
        now: Instant,
    ) -> Vec<OrderAction> {
        let mut out = Vec::new();
        match event {
            OrderEvent::NewOrder(order) => self.queue.push_back(order),
            OrderEvent::Answered(answer) => self.on_answer(answer, now, &mut out),
            OrderEvent::Tick => {}
        }
        self.send_next(token, now, &mut out);
        out
    }

    /// Whether no order is queued or awaits its answer.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.awaits_answer
    }

    fn on_answer(&mut self, answer: Option<OrderAnswer>, now: Instant, out: &mut Vec<OrderAction>) {
        if !std::mem::take(&mut self.awaits_answer) {
            return;
        }
        match answer {
            Some(OrderAnswer::Done) => {
                out.extend(self.queue.pop_front().map(OrderAction::Finished));
            }
            Some(OrderAnswer::Fenced { highest }) => {
                out.push(OrderAction::Superseded(highest));
                self.retry_at = Some(now + RETRY_DELAY);
            }
            Some(OrderAnswer::InProgress | OrderAnswer::Busy) | None => {
                self.retry_at = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Sends the first order if this instance holds the lease and the retry delay has passed;
    /// otherwise asks to be called again.
    fn send_next(&mut self, token: Option<FencingToken>, now: Instant, out: &mut Vec<OrderAction>) {
        let Some(order) = self.queue.front().filter(|_| !self.awaits_answer) else {
            return;
        };
        let due = self.retry_at.is_none_or(|at| now >= at);
        if let Some(fence) = token.filter(|_| due) {
            self.awaits_answer = true;
            self.retry_at = None;
            let order = order.clone();
            out.push(OrderAction::Send { order, fence });
            return;
        }
        let at = self.retry_at.filter(|at| *at > now);
        out.push(OrderAction::WakeAt(at.unwrap_or(now + RETRY_DELAY)));
    }
}
