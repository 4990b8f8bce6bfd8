//! Faults that can be injected into the fake platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The active faults; the default injects none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Outage of all services, if any.
    pub outage: Option<Outage>,
    /// Delay of every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Probability that a write takes effect but the connection is closed without a response.
    pub lose_confirmation: f64,
    /// Writes that take effect only after their connection was closed, if any.
    pub late_write: Option<LateWrite>,
    /// Staleness of table reads: they return the rows as they were this many milliseconds ago.
    pub stale_head: u64,
}

/// An outage of the whole platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// Whether calls hang until the outage ends and are then disconnected, rather than get a 503
    /// response.
    pub cut: bool,
}

/// Writes that are applied after a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LateWrite {
    /// Probability that a write is delayed.
    pub probability: f64,
    /// Delay until the write takes effect, in milliseconds.
    pub delay_ms: u64,
}

/// Whether and when a write takes effect, and whether the caller learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write takes effect and is confirmed.
    Confirmed,
    /// The write takes effect, but its response is lost.
    Unconfirmed,
    /// The write takes effect after this delay, and its response is lost.
    Late(Duration),
}

impl PlatformFaults {
    /// Draws the outcome of one write.
    #[must_use]
    pub fn draw_write_outcome(&self, fault_rng: &crate::fault_rng::FaultRng) -> WriteOutcome {
        if let Some(late) = self.late_write {
            if fault_rng.random_bool(late.probability) {
                return WriteOutcome::Late(Duration::from_millis(late.delay_ms));
            }
        }
        if fault_rng.random_bool(self.lose_confirmation) {
            return WriteOutcome::Unconfirmed;
        }
        WriteOutcome::Confirmed
    }
}
