//! Settings of an instance, in the product's own terms.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::retry_budget::RetryBudgetConfig;

/// Bounds that the deployment states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time for which a server that leaves may still be sent to.
    pub drain: Duration,
    /// Longest time for which a key that was taken away may still be honoured.
    pub revoke: Duration,
    /// Whether requests with a key stop when the configuration can't be confirmed.
    pub fail_closed: bool,
    /// Repeated sends of all instances together.
    pub repeats: RetryBudgetConfig,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            fail_closed: true,
            repeats: RetryBudgetConfig::default(),
        }
    }
}

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: Name,
    /// Failure domain.
    pub domain: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Share of a processor.
    pub processor_share: f64,
    /// Bounds.
    pub bounds: Bounds,
}

impl Default for Settings {
    fn default() -> Self {
        let any = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            instance: "instance".into(),
            domain: "domain".into(),
            listen: any(8080),
            ready: any(8081),
            peer: any(8082),
            metrics: any(8083),
            store: any(8084),
            processor_share: 1.0,
            bounds: Bounds::default(),
        }
    }
}
