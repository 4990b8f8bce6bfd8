//! Events of the entry instance and its callers: numbers from 1000.

use super::EventKind;

/// All events of this module.
pub const ALL: &[EventKind] = &[];
