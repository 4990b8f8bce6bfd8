//! Leases of two instances on one table, and orders under a lease, under a manual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::lease::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseMachine, OrderAction, OrderAnswer, OrderEvent,
    OrderMachine,
};
use sardineshore_core::{
    Clock, CommitOutcome, EngineAction, EngineOrder, FencingToken, ManualClock, Row, StoreError,
    Txn,
};

/// Lease machines of two instances that share one table.
struct Session {
    clock: ManualClock,
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
    /// Whether the result of the next commit is lost.
    lose_result: bool,
    holders: [LeaseMachine; 2],
}

impl Session {
    fn new(fencing: bool) -> Self {
        let cfg = LeaseConfig {
            fencing,
            ..LeaseConfig::default()
        };
        Self {
            clock: ManualClock::default(),
            rows: BTreeMap::new(),
            revision: 0,
            lose_result: false,
            holders: ["e1", "e2"].map(|name| LeaseMachine::new("pool", name.into(), cfg)),
        }
    }

    fn step(&mut self, who: usize, event: LeaseEvent) {
        let now = self.clock.now();
        for action in self.holders[who].step(event, now) {
            match action {
                LeaseAction::Commit(txn) => {
                    let commit = self.apply(&txn);
                    let lost = std::mem::take(&mut self.lose_result);
                    let answer = if lost {
                        Err(StoreError::Unconfirmed)
                    } else {
                        Ok(commit)
                    };
                    self.step(who, LeaseEvent::Committed(answer));
                }
                LeaseAction::ReadRow(key) => {
                    let row = self.rows.get(&key).cloned();
                    self.step(who, LeaseEvent::RowRead(Ok(row)));
                }
                LeaseAction::WakeAt(_) => {}
            }
        }
    }

    fn apply(&mut self, txn: &Txn) -> CommitOutcome {
        let check = &txn.checks[0];
        let present = self.rows.get(&check.key);
        if present.map_or(0, |row| row.revision) != check.revision {
            let rows = present.cloned().into_iter().collect();
            return CommitOutcome::Conflict { rows };
        }
        self.revision += 1;
        let row = Row {
            key: check.key.clone(),
            value: txn.puts[0].value.clone(),
            revision: self.revision,
        };
        self.rows.insert(check.key.clone(), row);
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    /// Advances the clock in steps of half a second; only the listed instances get ticks.
    fn advance(&mut self, secs: u64, running: &[usize]) {
        for _ in 0..secs * 2 {
            self.clock.advance(Duration::from_millis(500));
            for who in running {
                self.step(*who, LeaseEvent::Tick);
            }
        }
    }

    fn current_tokens(&self) -> [Option<FencingToken>; 2] {
        let now = self.clock.now();
        [0, 1].map(|who| self.holders[who].current_token(now))
    }
}

#[test]
fn lease_renewed_while_held() {
    let mut s = Session::new(true);
    s.step(0, LeaseEvent::Wanted(true));
    s.step(1, LeaseEvent::Wanted(true));
    s.advance(120, &[0, 1]);
    assert_eq!(s.current_tokens(), [Some(1), None]);
}

#[test]
fn lease_paused_holder_is_replaced() {
    let mut s = Session::new(true);
    s.step(0, LeaseEvent::Wanted(true));
    s.step(1, LeaseEvent::Wanted(true));
    s.advance(13, &[1]);
    assert_eq!(s.current_tokens(), [None, Some(2)]);
    s.advance(1, &[0, 1]);
    assert_eq!(s.current_tokens(), [None, Some(2)]);
}

#[test]
fn lease_takeover_waits_for_order_delay_without_fencing() {
    let mut s = Session::new(false);
    s.step(0, LeaseEvent::Wanted(true));
    s.step(1, LeaseEvent::Wanted(true));
    s.advance(41, &[1]);
    assert_eq!(s.current_tokens(), [None, None]);
    s.advance(2, &[1]);
    assert_eq!(s.current_tokens(), [None, Some(2)]);
}

#[test]
fn lease_counts_from_first_unconfirmed_write() {
    let mut s = Session::new(true);
    s.lose_result = true;
    s.step(0, LeaseEvent::Wanted(true));
    s.advance(11, &[]);
    s.lose_result = true;
    s.step(0, LeaseEvent::Tick);
    assert_eq!(
        s.current_tokens(),
        [None, None],
        "the confirmed row is too old"
    );
    s.advance(1, &[0]);
    assert_eq!(s.current_tokens(), [Some(1), None]);
}

#[test]
fn lease_released_is_acquired_at_once() {
    let mut s = Session::new(false);
    s.step(0, LeaseEvent::Wanted(true));
    s.step(0, LeaseEvent::Wanted(false));
    s.step(1, LeaseEvent::Wanted(true));
    s.advance(1, &[1]);
    assert_eq!(s.current_tokens(), [None, Some(2)]);
}

fn order(command: &str) -> EngineOrder {
    EngineOrder {
        command: command.into(),
        server: "engine-1".into(),
        action: EngineAction::SetRole {
            role: "decode".into(),
        },
    }
}

#[test]
fn orders_one_at_a_time_under_the_lease() {
    let clock = ManualClock::default();
    let mut orders = OrderMachine::default();
    let send = |command, fence| OrderAction::Send {
        order: order(command),
        fence,
    };
    let first = orders.step(OrderEvent::NewOrder(order("c1")), Some(1), clock.now());
    assert_eq!(first, [send("c1", 1)]);
    let second = orders.step(OrderEvent::NewOrder(order("c2")), Some(1), clock.now());
    assert_eq!(second, []);
    let lost = orders.step(OrderEvent::Answered(None), Some(1), clock.now());
    assert!(matches!(lost[..], [OrderAction::WakeAt(_)]));
    clock.advance(Duration::from_secs(1));
    let without_lease = orders.step(OrderEvent::Tick, None, clock.now());
    assert!(matches!(without_lease[..], [OrderAction::WakeAt(_)]));
    let again = orders.step(OrderEvent::Tick, Some(3), clock.now());
    assert_eq!(again, [send("c1", 3)]);
    let done = OrderEvent::Answered(Some(OrderAnswer::Done));
    let next = orders.step(done, Some(3), clock.now());
    assert_eq!(next, [OrderAction::Finished(order("c1")), send("c2", 3)]);
}
