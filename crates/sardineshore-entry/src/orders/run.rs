//! Execution of one order, from the wait for the lease to the outcome.

use std::collections::VecDeque;
use std::time::Instant;

use async_std::task;
use sardineshore_core::lease::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseMachine, OrderAction, OrderAnswer, OrderEvent,
    OrderMachine,
};
use sardineshore_core::{BackendServer, EngineOrder, FencingToken};
use sardineshore_wire::backend::{FencedOrder, OrderReply};
use sardineshore_wire::operator::OrderOutcome;

use super::LeasedOrderExecutor;

/// The execution of one order.
pub(super) struct OrderRun<'a> {
    orders: &'a LeasedOrderExecutor,
    engine: &'a BackendServer,
    lease: LeaseMachine,
    machine: OrderMachine,
    lease_wake: Option<Instant>,
    order_wake: Option<Instant>,
    /// Whether an order was sent whose effect is unknown.
    in_doubt: bool,
    outcome: Option<OrderOutcome>,
}

impl<'a> OrderRun<'a> {
    pub(super) fn new(
        orders: &'a LeasedOrderExecutor,
        engine: &'a BackendServer,
        fencing: bool,
    ) -> Self {
        let cfg = LeaseConfig {
            fencing,
            ..orders.settings.lease
        };
        let holder = orders.settings.holder.clone();
        Self {
            orders,
            engine,
            lease: LeaseMachine::new(&engine.pool, holder, cfg),
            machine: OrderMachine::default(),
            lease_wake: None,
            order_wake: None,
            in_doubt: false,
            outcome: None,
        }
    }

    pub(super) async fn execute(mut self, order: EngineOrder) -> OrderOutcome {
        let end = self.now() + self.orders.settings.order_timeout;
        self.step_lease(LeaseEvent::Wanted(true)).await;
        self.step_order(OrderEvent::NewOrder(order)).await;
        while self.outcome.is_none() && self.now() < end {
            self.wait(end).await;
            self.tick().await;
        }
        if !self.in_doubt {
            self.step_lease(LeaseEvent::Wanted(false)).await;
        }
        let in_doubt = self.in_doubt;
        self.outcome.unwrap_or_else(|| timeout_outcome(in_doubt))
    }

    fn now(&self) -> Instant {
        self.orders.clock.now()
    }

    async fn wait(&self, end: Instant) {
        let wakes = [self.lease_wake, self.order_wake, Some(end)];
        let next = wakes.into_iter().flatten().min().unwrap_or(end);
        task::sleep(next.saturating_duration_since(self.now())).await;
    }

    async fn tick(&mut self) {
        let now = self.now();
        if self.lease_wake.is_some_and(|at| now >= at) {
            self.lease_wake = None;
            self.step_lease(LeaseEvent::Tick).await;
        }
        let acquired = self.lease.current_token(self.now()).is_some();
        if acquired || self.order_wake.is_some_and(|at| now >= at) {
            self.order_wake = None;
            self.step_order(OrderEvent::Tick).await;
        }
    }

    /// Passes an event to the lease machine and performs the resulting actions.
    async fn step_lease(&mut self, event: LeaseEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = self.lease.step(event, self.now());
            for action in actions {
                match action {
                    LeaseAction::Commit(txn) => {
                        let result = self.orders.table.commit(&txn).await;
                        events.push_back(LeaseEvent::Committed(result));
                    }
                    LeaseAction::ReadRow(key) => {
                        let result = self.orders.table.read(&key).await;
                        events.push_back(LeaseEvent::RowRead(result));
                    }
                    LeaseAction::WakeAt(at) => self.lease_wake = Some(at),
                }
            }
        }
    }

    /// Passes an event to the order machine and performs the resulting actions.
    async fn step_order(&mut self, event: OrderEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now();
            let lease = self.lease.current_token(now);
            for action in self.machine.step(event, lease, now) {
                match action {
                    OrderAction::Send { order, fence } => {
                        let answer = self.send(order, fence).await;
                        events.push_back(OrderEvent::Answered(answer));
                    }
                    OrderAction::Finished(_) => {
                        self.in_doubt = false;
                        self.outcome = Some(OrderOutcome::Done);
                    }
                    OrderAction::Superseded(highest) => self.superseded(highest),
                    OrderAction::WakeAt(at) => self.order_wake = Some(at),
                }
            }
            if self.outcome.is_some() {
                return;
            }
        }
    }

    async fn send(&mut self, order: EngineOrder, fence: FencingToken) -> Option<OrderAnswer> {
        let fenced = FencedOrder {
            id: order.command,
            fence,
            action: order.action,
        };
        let reply = self.orders.engines.send(&self.engine.addr, &fenced).await;
        self.in_doubt |= matches!(reply, None | Some(OrderReply::InProgress));
        reply.map(|reply| match reply {
            OrderReply::Done => OrderAnswer::Done,
            OrderReply::InProgress => OrderAnswer::InProgress,
            OrderReply::Fenced { highest } => OrderAnswer::Fenced { highest },
            OrderReply::Busy => OrderAnswer::Busy,
        })
    }

    fn superseded(&mut self, highest: FencingToken) {
        let reason = format!("another instance orders under fencing token {highest}");
        self.outcome = Some(if self.in_doubt {
            OrderOutcome::Unknown { reason }
        } else {
            OrderOutcome::NotSent { reason }
        });
    }
}

fn timeout_outcome(in_doubt: bool) -> OrderOutcome {
    if in_doubt {
        OrderOutcome::Unknown {
            reason: "the engine did not confirm it in time".into(),
        }
    } else {
        OrderOutcome::NotSent {
            reason: "no lease on the engine's pool, or the engine was busy".into(),
        }
    }
}
