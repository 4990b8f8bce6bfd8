//! Events of routing, limits and retries: numbers from 4000.

use super::EventKind;

/// All events of this module.
pub const ALL: &[EventKind] = &[];
