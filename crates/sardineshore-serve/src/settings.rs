//! Settings of an instance.
//!
//! An adapter reads them from the settings file of its platform. `sardine-serve --check` prints
//! them, so operators know the names of the fields.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use sardineshore_core::flow::cold::ColdBound;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::registry::DEFAULT_ENTRY_LIFETIME;
use sardineshore_core::flow::retry_budget::RetryBudgetConfig;
use sardineshore_core::flow::zones::SpilloverPrices;

/// Bounds that the deployment sets and the instance must keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Grace period of a shutdown: time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time for which requests may still go to a server that is draining or removed.
    pub drain: Duration,
    /// Time after which the store drops the entry of a server that is silent.
    pub entry_lifetime: Duration,
    /// Longest time for which a revoked key may still be accepted.
    pub revoke: Duration,
    /// Time after the operators' row from which on nothing may be sent to the servers of an evacuated failure
    /// domain; `None` if the deployment sets no bound.
    pub evacuate: Option<Duration>,
    /// Whether requests with a key are refused when the store can't confirm the configuration.
    pub fail_closed: bool,
    /// Retry budget that all instances share.
    pub repeats: RetryBudgetConfig,
    /// Most requests that a cold server may get from all instances together.
    pub cold: ColdBound,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            entry_lifetime: DEFAULT_ENTRY_LIFETIME,
            revoke: Duration::from_secs(5),
            evacuate: None,
            fail_closed: true,
            repeats: RetryBudgetConfig::default(),
            cold: ColdBound::default(),
        }
    }
}

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique within the deployment.
    pub instance: Name,
    /// Failure domain in which the instance runs.
    pub domain: Name,
    /// Address on which it accepts callers.
    pub listen: SocketAddr,
    /// Address on which it answers the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address on which it accepts links of other instances.
    pub peer: SocketAddr,
    /// Address on which it serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Processor cores that the instance may use, often a fraction of one; an instance with more
    /// becomes the owner of more cells.
    pub processor_share: f64,
    /// Memory that the instance may use, in bytes.
    pub memory: usize,
    /// Whether the whole system starts for the first time: no instance has run before.
    pub is_first_start: bool,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
    /// Prices of traffic between failure domains and of late responses.
    pub prices: SpilloverPrices,
}

impl Default for Settings {
    fn default() -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            instance: "instance".into(),
            domain: "domain".into(),
            listen: local(8080),
            ready: local(8081),
            peer: local(8082),
            metrics: local(8083),
            store: local(8084),
            processor_share: 1.0,
            memory: 256 * 1024 * 1024,
            is_first_start: false,
            bounds: Bounds::default(),
            prices: SpilloverPrices::default(),
        }
    }
}
