//! Decisions that the router takes by itself about backend servers, for logs and metrics.

use std::time::Duration;

use crate::event::{EventKind, routing};
use crate::{PoolId, ServerId};

/// A decision of the router that is logged for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingNotice {
    /// Backend server.
    pub server: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// The decision.
    pub decision: RoutingDecision,
}

/// What the router decided about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingDecision {
    /// It receives no new work for a limited time.
    Ejected {
        /// Duration of the ejection.
        length: Duration,
    },
    /// It receives work again after an ejection.
    Returned,
    /// It fails but was not ejected, because too few servers of its pool would have remained.
    Withheld,
    /// It was restarted; observations from before the restart are discarded.
    Restarted,
    /// It receives no new work until it is restarted, as it shuts down.
    Leaving,
    /// It receives no new work for a time that it named.
    Paused {
        /// Time that is left of the pause.
        length: Duration,
    },
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
            RoutingDecision::Leaving => routing::SERVER_LEAVING,
            RoutingDecision::Paused { .. } => routing::SERVER_PAUSED,
        }
    }
}
