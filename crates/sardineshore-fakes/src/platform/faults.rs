//! Faults of the platform that can be injected.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The set of faults in force; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses every call.
    pub outage: Option<Outage>,
    /// Milliseconds by which every call is delayed before it takes effect.
    pub delay_ms: u64,
    /// Probability that a write takes effect and its answer is lost.
    pub lose_confirmation: f64,
    /// Writes that take effect after their connection was closed.
    pub late_write: Option<LateWrite>,
    /// Age in milliseconds of the state from which reads of the table are answered.
    pub stale_head: u64,
}

/// An outage of the whole platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// Whether calls get no answer at all, rather than 503.
    pub cut: bool,
}

/// Writes that take effect late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LateWrite {
    /// Probability that a write is late.
    pub probability: f64,
    /// Milliseconds until it takes effect.
    pub delay_ms: u64,
}

/// What becomes of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    /// It takes effect and is confirmed.
    Confirmed,
    /// It takes effect; its answer is lost.
    Unconfirmed,
    /// It takes effect after this time; its answer is lost.
    Late(Duration),
}

impl PlatformFaults {
    /// Draws what becomes of a write.
    #[must_use]
    pub fn write_fate(&self, dice: &crate::dice::Dice) -> WriteFate {
        if let Some(late) = self.late_write {
            if dice.roll(late.probability) {
                return WriteFate::Late(Duration::from_millis(late.delay_ms));
            }
        }
        if dice.roll(self.lose_confirmation) {
            return WriteFate::Unconfirmed;
        }
        WriteFate::Confirmed
    }
}
