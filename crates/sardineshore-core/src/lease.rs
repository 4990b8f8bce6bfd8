//! Leases with fencing tokens for groups of model engines, and the orders sent under them.
//!
//! A lease is a row of the table. Only its holder may send orders to the engines of the group. The
//! holder stops acting before the lease expires: it counts the lease's duration, less a margin, on
//! its own monotonic clock, from before it sent the write that acquired or renewed the lease. A
//! candidate replaces the row only after it has seen the row unchanged for the whole duration, on
//! its own clock. Clocks of different machines are never compared.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use sardineshore_core::CommitOutcome;
//! use sardineshore_core::lease::{LeaseConfig, LeaseEvent, LeaseMachine};
//!
//! let now = Instant::now();
//! let mut lease = LeaseMachine::new("pool-a", "entry-1".into(), LeaseConfig::default());
//! let _ = lease.step(LeaseEvent::Wanted(true), now);
//! let _ = lease.step(LeaseEvent::Committed(Ok(CommitOutcome::Applied { revision: 3 })), now);
//! assert_eq!(lease.current_token(now), Some(1));
//! assert_eq!(lease.current_token(now + Duration::from_secs(60)), None);
//! ```

mod machine;
mod orders;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use machine::LeaseMachine;
pub use orders::{OrderAction, OrderAnswer, OrderEvent, OrderMachine};
use serde::{Deserialize, Serialize};

use crate::{CommitOutcome, FencingToken, InstanceId, Row, StoreError, Txn};

/// Durations and delays of a [`LeaseMachine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Time for which an acquired or renewed lease is valid.
    pub duration: Duration,
    /// Last part of the duration, in which the holder no longer acts. It allows for clocks that
    /// run at different rates.
    pub margin: Duration,
    /// Time between a successful write of the lease and its next renewal.
    pub renew_interval: Duration,
    /// Delay before a failed store call is retried.
    pub retry_delay: Duration,
    /// Longest time between a holder's check of its lease and the arrival of its order at the
    /// engine. A new holder waits for this time as well, so that no order of the previous holder
    /// arrives later, unless [`Self::fencing`] is set.
    pub max_order_delay: Duration,
    /// Whether every engine of the group refuses orders with an old fencing token.
    pub fencing: bool,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(12),
            margin: Duration::from_secs(2),
            renew_interval: Duration::from_secs(4),
            retry_delay: Duration::from_millis(500),
            max_order_delay: Duration::from_secs(30),
            fencing: false,
        }
    }
}

impl LeaseConfig {
    /// Time for which a candidate must see the lease of another holder unchanged before it
    /// replaces the lease; `duration` is the duration in the lease's row.
    #[must_use]
    pub fn takeover_wait(&self, duration: Duration) -> Duration {
        if self.fencing {
            duration
        } else {
            duration + self.max_order_delay
        }
    }
}

/// The lease row as it is stored in the table, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease, or held it before it was released.
    pub holder: InstanceId,
    /// Fencing token; grows by one with each new holder.
    pub fence: FencingToken,
    /// Duration of the lease in milliseconds, on the holder's clock.
    pub duration_ms: u64,
    /// Whether the holder released the lease, with no order outstanding.
    pub released: bool,
}

/// Input of a lease machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Whether this instance wants the lease. To release it, no order may be outstanding.
    Wanted(bool),
    /// Result of the last [`LeaseAction::Commit`].
    Committed(Result<CommitOutcome, StoreError>),
    /// Result of the last [`LeaseAction::ReadRow`].
    RowRead(Result<Option<Row>, StoreError>),
    /// The time of the last [`LeaseAction::WakeAt`] has come.
    Tick,
}

/// Action that a lease machine asks the code around it to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Commit the transaction; exactly one [`LeaseEvent::Committed`] must follow.
    Commit(Txn),
    /// Read the row with this table key; exactly one [`LeaseEvent::RowRead`] must follow.
    ReadRow(Arc<str>),
    /// Send [`LeaseEvent::Tick`] at this time; replaces the time of any earlier `WakeAt`.
    WakeAt(Instant),
}
