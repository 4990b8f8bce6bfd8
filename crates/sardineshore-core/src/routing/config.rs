//! Settings of the router.

use crate::{DomainId, Objective};

/// Settings of one entry instance's router.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Failure domain of the entry instance.
    pub home: DomainId,
    /// What is weighed first; a deployment's own objective replaces it on [`adopt`].
    ///
    /// [`adopt`]: crate::Router::adopt
    pub objective: Objective,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Seed of random choices and of this instance's subset; different on each instance.
    pub seed: u64,
    /// Random members of the pool that are compared for each choice.
    pub choices: usize,
    /// Most backend servers of one pool that this instance spreads its work over by itself.
    pub subset_max: usize,
    /// Least share of a pool that ejections leave.
    pub sound_min: f64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            home: "".into(),
            objective: Objective::default(),
            policy: Policy::default(),
            seed: 0,
            choices: 4,
            subset_max: 48,
            sound_min: 0.5,
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
