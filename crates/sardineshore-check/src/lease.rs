//! Model of a fenced lease: two instances order one engine.
//!
//! The instances run [`sardineshore_core::lease::LeaseMachine`]. Store answers may be lost, writes
//! may land late, instances may be paused at any moment, and an order travels for up to the
//! longest order delay, or without bound if the engine refuses old fencing tokens. See
//! `docs/spec/lease.md`.

mod step;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use sardineshore_core::lease::{LeaseConfig, LeaseMachine};
use sardineshore_core::{CommitOutcome, FencingToken, Txn};

use crate::Model;
use crate::table::ModelTable;

/// Longest time that an order travels to an engine which ignores fencing tokens.
const ORDER_DELAY: u8 = 2;

/// No two instances may act at the same time.
pub const ONE_HOLDER: &str = "at most one instance may act under the lease at any time";
/// Orders of a replaced holder are not carried out.
pub const ORDERS_IN_SEQUENCE: &str =
    "an engine carries out no order of a holder that was replaced by one whose order it has seen";

/// Bounds of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// Faults that may happen, of any kind.
    pub faults: u8,
    /// Time units that may pass.
    pub end: u8,
    /// Orders that each instance may send.
    pub orders: u8,
    /// Writes that each instance may have answered.
    pub writes: u8,
    /// Whether the engine refuses old fencing tokens.
    pub fencing: bool,
}

impl Default for LeaseBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end: 5,
            orders: 1,
            writes: 2,
            fencing: true,
        }
    }
}

/// A rule that a variant of the model breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseBreak {
    /// The holder acts while its lease lasts by the time of the answer, not of the send.
    CountFromAnswer,
    /// A candidate does not wait.
    NoWait,
    /// A candidate does not wait for orders on their way to an engine that ignores fencing.
    NoOrderDelay,
    /// The engine ignores fencing tokens, but the lease is kept as if it did not.
    NoFencing,
}

impl LeaseBreak {
    /// All variants by name.
    pub const ALL: &[(&str, Self)] = &[
        ("count-from-answer", Self::CountFromAnswer),
        ("no-wait", Self::NoWait),
        ("no-order-delay", Self::NoOrderDelay),
        ("no-fencing", Self::NoFencing),
    ];

    /// Invariant that the variant must violate.
    #[must_use]
    pub fn target(self) -> &'static str {
        match self {
            Self::CountFromAnswer | Self::NoWait => ONE_HOLDER,
            Self::NoOrderDelay | Self::NoFencing => ORDERS_IN_SEQUENCE,
        }
    }

    /// Bounds within which the variant can fail.
    #[must_use]
    pub fn bounds(self) -> LeaseBounds {
        LeaseBounds {
            faults: 1,
            fencing: !matches!(self, Self::NoOrderDelay),
            ..LeaseBounds::default()
        }
    }
}

/// The model.
#[derive(Debug, Clone)]
pub struct LeaseModel {
    bounds: LeaseBounds,
    broken: Option<LeaseBreak>,
}

impl LeaseModel {
    /// Creates a model, with one rule broken if `broken` is given.
    #[must_use]
    pub fn new(bounds: LeaseBounds, broken: Option<LeaseBreak>) -> Self {
        Self { bounds, broken }
    }

    fn breaks(&self, rule: LeaseBreak) -> bool {
        self.broken == Some(rule)
    }

    /// One time unit is one second; a lease lasts two, of which the holder uses one.
    fn config(&self) -> LeaseConfig {
        let unit = Duration::from_secs(1);
        let hasty = self.breaks(LeaseBreak::NoOrderDelay);
        LeaseConfig {
            duration: 2 * unit,
            margin: unit,
            renew_interval: unit,
            retry_delay: unit,
            max_order_delay: u32::from(ORDER_DELAY) * unit,
            fencing: self.bounds.fencing || hasty,
        }
    }

    fn engine_fences(&self) -> bool {
        self.bounds.fencing && !self.breaks(LeaseBreak::NoFencing)
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWorld {
    at: u8,
    faults: u8,
    holders: [Holder; 2],
    table: ModelTable,
    orders: Vec<Order>,
    /// Highest fencing token of an order carried out.
    highest: FencingToken,
    /// Whether an order was carried out after one with a higher number.
    out_of_sequence: bool,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    name: &'static str,
    machine: LeaseMachine,
    write: Option<Txn>,
    /// Answer of a write, on its way.
    answer: Option<CommitOutcome>,
    read: bool,
    /// Until when the instance acts, where the lease counts from the answer.
    acts_until: u8,
    orders: u8,
    writes: u8,
}

/// An order on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Order {
    fence: FencingToken,
    sent_at: u8,
}

impl Model for LeaseModel {
    type State = LeaseWorld;

    fn start(&self) -> LeaseWorld {
        let holder = |name: &'static str| Holder {
            name,
            machine: LeaseMachine::new("group", name.into(), self.config()),
            write: None,
            answer: None,
            read: false,
            acts_until: 0,
            orders: 0,
            writes: 0,
        };
        LeaseWorld {
            at: 0,
            faults: self.bounds.faults,
            holders: ["e1", "e2"].map(holder),
            table: ModelTable::default(),
            orders: Vec::new(),
            highest: 0,
            out_of_sequence: false,
        }
    }

    fn steps(&self, state: &LeaseWorld) -> Vec<(String, LeaseWorld)> {
        step::all(self, state)
    }

    fn violated(&self, state: &LeaseWorld) -> Option<&'static str> {
        let target = self.broken.map(LeaseBreak::target);
        let now = instant(state.at);
        let acting = |holder: &&Holder| {
            holder.machine.current_token(now).is_some() || state.at < holder.acts_until
        };
        let found = if state.holders.iter().filter(acting).count() > 1 {
            ONE_HOLDER
        } else if state.out_of_sequence {
            ORDERS_IN_SEQUENCE
        } else {
            return None;
        };
        target.is_none_or(|target| target == found).then_some(found)
    }
}

/// Monotonic time of the model.
fn instant(at: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + Duration::from_secs(at.into())
}
