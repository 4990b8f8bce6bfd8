//! Events of configuration, membership and orders: numbers from 3000.

use super::EventKind;

/// All events of this module.
pub const ALL: &[EventKind] = &[];
