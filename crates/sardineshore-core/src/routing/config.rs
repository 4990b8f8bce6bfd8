//! Settings of the router.

use crate::{DomainId, Objective};

/// Settings of the router of one entry instance.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Failure domain of the entry instance.
    pub local_domain: DomainId,
    /// What has priority when servers are scored; the objective of the deployment replaces it in
    /// [`update_servers`].
    ///
    /// [`update_servers`]: crate::Router::update_servers
    pub objective: Objective,
    /// How backend servers are selected.
    pub policy: Policy,
    /// Seed of random sampling and of this instance's subset; must differ between instances.
    pub seed: u64,
    /// Number of random members of the pool that are compared in each selection.
    pub sample_size: usize,
    /// Maximum number of backend servers of one pool that this instance samples from; the others
    /// are used only when none of these can take the attempt.
    pub max_subset: usize,
    /// Minimum share of a pool's servers, from 0 to 1, that must remain when one is ejected.
    pub min_healthy_share: f64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            local_domain: "".into(),
            objective: Objective::default(),
            policy: Policy::default(),
            seed: 0,
            sample_size: 4,
            max_subset: 48,
            min_healthy_share: 0.5,
        }
    }
}

/// How backend servers are selected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The candidate with the best score by predicted latency, cost and health.
    #[default]
    Predicted,
    /// Round robin; a baseline.
    RoundRobin,
    /// At random; a baseline.
    Random,
    /// The server with the fewest attempts in flight from this instance; a baseline.
    LeastInFlight,
}
