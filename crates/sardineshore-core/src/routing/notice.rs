//! What the router decided by itself about backend servers.

use std::time::Duration;

use crate::event::{EventKind, routing};
use crate::{PoolId, ServerId};

/// A decision of the router that operators should be able to see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingNotice {
    /// Backend server.
    pub server: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// What was decided.
    pub decision: RoutingDecision,
}

/// What the router decided about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingDecision {
    /// It receives no new work for a while.
    Ejected {
        /// For how long.
        length: Duration,
    },
    /// It receives work again after an ejection.
    Returned,
    /// It was not ejected although it fails, because too few of its pool would have remained.
    Withheld,
    /// It was restarted; what was observed before is dropped.
    Restarted,
}

impl RoutingNotice {
    /// Event of the catalogue that the notice is logged as.
    #[must_use]
    pub fn event_kind(&self) -> EventKind {
        match self.decision {
            RoutingDecision::Ejected { .. } => routing::SERVER_EJECTED,
            RoutingDecision::Returned => routing::SERVER_RETURNED,
            RoutingDecision::Withheld => routing::EJECTION_WITHHELD,
            RoutingDecision::Restarted => routing::SERVER_RESTARTED,
        }
    }
}
