//! Settings of the router.

use crate::{DomainId, Objective};

/// Settings of one entry instance's router.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Failure domain of the entry instance.
    pub local_domain: DomainId,
    /// What is weighed first; a deployment's own objective replaces it on [`update_servers`].
    ///
    /// [`update_servers`]: crate::Router::update_servers
    pub objective: Objective,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Seed of random choices and of this instance's subset; different on each instance.
    pub seed: u64,
    /// Random members of the pool that are compared for each choice.
    pub sample_size: usize,
    /// Most backend servers of one pool that this instance spreads its work over by itself.
    pub max_subset: usize,
    /// Least share of a pool that ejections leave.
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

/// How backend servers are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The best of several candidates by predicted completion.
    #[default]
    Predicted,
    /// In turn; a baseline.
    RoundRobin,
    /// At random; a baseline.
    Random,
    /// The server with the fewest attempts in flight from this instance; a baseline.
    LeastInFlight,
}
