//! Model of a lease with fencing: two instances send orders to one engine.
//!
//! The instances run [`sardineshore_core::lease::LeaseMachine`]. Store answers may be lost, writes
//! may take effect late, and instances may be paused at any time. An order is in transit for up to
//! the maximum order delay, or for any time if the engine rejects old fencing tokens. See
//! `docs/spec/lease.md`.

mod step;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use sardineshore_core::lease::{LeaseConfig, LeaseMachine};
use sardineshore_core::{CommitOutcome, FencingToken, Txn};

use crate::Model;
use crate::table::ModelTable;

/// Maximum time units that an order is in transit to an engine that ignores fencing tokens.
const ORDER_DELAY: u8 = 2;

/// No two instances act under the lease at the same time.
pub const ONE_HOLDER: &str = "at most one instance may act under the lease at any time";
/// The engine executes no order of a holder after an order of its successor.
pub const NO_STALE_ORDERS: &str =
    "an engine executes no order of a holder after it has seen an order of its successor";

/// Bounds that keep the number of states finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// Maximum number of faults of any kind in one run.
    pub faults: u8,
    /// Time units after which the model ends.
    pub end_time: u8,
    /// Maximum number of orders that each instance sends.
    pub orders: u8,
    /// Maximum number of answered writes of each instance.
    pub writes: u8,
    /// Whether the engine rejects old fencing tokens.
    pub fencing: bool,
}

impl Default for LeaseBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end_time: 5,
            orders: 1,
            writes: 2,
            fencing: true,
        }
    }
}

/// A rule that a broken variant of the model violates, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseMutation {
    /// The holder counts the duration of its lease from the answer of the write, not from the send.
    CountFromAnswer,
    /// A candidate takes the lease without waiting for it to expire.
    NoWait,
    /// A candidate doesn't wait for orders in transit to an engine that ignores fencing tokens.
    NoOrderDelay,
    /// The engine ignores fencing tokens, but the lease machine relies on them.
    NoFencing,
}

impl LeaseMutation {
    /// All variants with their command-line names.
    pub const ALL: &[(&str, Self)] = &[
        ("count-from-answer", Self::CountFromAnswer),
        ("no-wait", Self::NoWait),
        ("no-order-delay", Self::NoOrderDelay),
        ("no-fencing", Self::NoFencing),
    ];

    /// Invariant that the variant is expected to violate.
    #[must_use]
    pub fn expected_invariant(self) -> &'static str {
        match self {
            Self::CountFromAnswer | Self::NoWait => ONE_HOLDER,
            Self::NoOrderDelay | Self::NoFencing => NO_STALE_ORDERS,
        }
    }

    /// Bounds within which the search finds the violation.
    #[must_use]
    pub fn bounds(self) -> LeaseBounds {
        LeaseBounds {
            faults: 1,
            fencing: !matches!(self, Self::NoOrderDelay),
            ..LeaseBounds::default()
        }
    }
}

/// Model of two instances, one lease row and one engine.
#[derive(Debug, Clone)]
pub struct LeaseModel {
    bounds: LeaseBounds,
    mutation: Option<LeaseMutation>,
}

impl LeaseModel {
    /// Creates a model. With a `mutation` the model breaks that rule and reports only violations of
    /// the expected invariant.
    #[must_use]
    pub fn new(bounds: LeaseBounds, mutation: Option<LeaseMutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: LeaseMutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// One time unit is one second. A lease lasts two units, of which the holder uses one because
    /// of the margin.
    fn config(&self) -> LeaseConfig {
        let unit = Duration::from_secs(1);
        let ignores_order_delay = self.has_mutation(LeaseMutation::NoOrderDelay);
        LeaseConfig {
            duration: 2 * unit,
            margin: unit,
            renew_interval: unit,
            retry_delay: unit,
            max_order_delay: u32::from(ORDER_DELAY) * unit,
            fencing: self.bounds.fencing || ignores_order_delay,
        }
    }

    fn engine_fences(&self) -> bool {
        self.bounds.fencing && !self.has_mutation(LeaseMutation::NoFencing)
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseModelState {
    time: u8,
    faults: u8,
    instances: [Instance; 2],
    table: ModelTable,
    orders: Vec<Order>,
    /// Highest fencing token of an executed order.
    highest_token: FencingToken,
    /// Whether an order was executed after one with a higher fencing token.
    stale_order_executed: bool,
}

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    name: &'static str,
    machine: LeaseMachine,
    write: Option<Txn>,
    /// Answer of a write, in transit.
    answer: Option<CommitOutcome>,
    read: bool,
    /// Time until which the instance acts if the lease is counted from the answer.
    acts_until: u8,
    orders: u8,
    writes: u8,
}

/// An order in transit to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Order {
    token: FencingToken,
    sent_at: u8,
}

impl Model for LeaseModel {
    type State = LeaseModelState;

    fn initial_state(&self) -> LeaseModelState {
        let instance = |name: &'static str| Instance {
            name,
            machine: LeaseMachine::new("group", name.into(), self.config()),
            write: None,
            answer: None,
            read: false,
            acts_until: 0,
            orders: 0,
            writes: 0,
        };
        LeaseModelState {
            time: 0,
            faults: self.bounds.faults,
            instances: ["e1", "e2"].map(instance),
            table: ModelTable::default(),
            orders: Vec::new(),
            highest_token: 0,
            stale_order_executed: false,
        }
    }

    fn next_states(&self, state: &LeaseModelState) -> Vec<(String, LeaseModelState)> {
        step::all(self, state)
    }

    fn violated_invariant(&self, state: &LeaseModelState) -> Option<&'static str> {
        let expected = self.mutation.map(LeaseMutation::expected_invariant);
        let now = instant(state.time);
        let acting = |instance: &&Instance| {
            instance.machine.current_token(now).is_some() || state.time < instance.acts_until
        };
        let found = if state.instances.iter().filter(acting).count() > 1 {
            ONE_HOLDER
        } else if state.stale_order_executed {
            NO_STALE_ORDERS
        } else {
            return None;
        };
        expected
            .is_none_or(|expected| expected == found)
            .then_some(found)
    }
}

/// Converts model time to a monotonic time.
fn instant(time: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + Duration::from_secs(time.into())
}
