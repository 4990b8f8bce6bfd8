//! Events of claims, idempotency and quarantine: numbers from 2000.

use super::EventKind;

/// All events of this module.
pub const ALL: &[EventKind] = &[];
