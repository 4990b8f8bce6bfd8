//! Leases with fencing tokens for groups of engines, and orders under them.
//!
//! A lease is a row of the table. Its holder acts only while its own monotonic clock is within the
//! lease's duration, less a margin, counted from before it sent the write that won or renewed the
//! lease. A candidate replaces the row only after it has itself seen it unchanged for the whole
//! duration. Clocks of different machines are never compared.
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

/// Settings of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease.
    pub duration: Duration,
    /// Part of the duration in which the holder no longer acts; covers clocks of unequal rate.
    pub margin: Duration,
    /// Interval of renewals.
    pub renew_interval: Duration,
    /// Delay before a failed store call is repeated.
    pub retry_delay: Duration,
    /// Longest time between a holder's check of its lease and the arrival of its order. A new
    /// holder waits for it too, unless every engine of the group refuses old fencing tokens.
    pub max_order_delay: Duration,
    /// Whether every engine of the group refuses old fencing tokens.
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
    /// Time for which a candidate must see another's lease unchanged before it replaces it.
    #[must_use]
    pub fn takeover_wait(&self, duration: Duration) -> Duration {
        if self.fencing {
            duration
        } else {
            duration + self.max_order_delay
        }
    }
}

/// The lease row as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder.
    pub holder: InstanceId,
    /// Fencing token.
    pub fence: FencingToken,
    /// Duration of the lease in milliseconds, by the holder's clock.
    pub duration_ms: u64,
    /// Whether the holder gave it up with no order outstanding.
    pub released: bool,
}

/// What a lease machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Whether this instance wants the lease; giving it up requires that no order is outstanding.
    Wanted(bool),
    /// Answer to the last [`LeaseAction::Commit`].
    Committed(Result<CommitOutcome, StoreError>),
    /// Answer to the last [`LeaseAction::ReadRow`].
    RowRead(Result<Option<Row>, StoreError>),
    /// Time has passed.
    Tick,
}

/// What a lease machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Commit a transaction; exactly one [`LeaseEvent::Committed`] must follow.
    Commit(Txn),
    /// Read a row; exactly one [`LeaseEvent::RowRead`] must follow.
    ReadRow(Arc<str>),
    /// Call [`LeaseEvent::Tick`] at this time; replaces the last one.
    WakeAt(Instant),
}
