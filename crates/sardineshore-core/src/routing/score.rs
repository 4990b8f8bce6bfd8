//! Predicts the latency of an attempt on one backend server and scores the server.

use std::time::{Duration, Instant};

use super::RoutingConfig;
use super::pool::Pool;
use super::server::Server;
use crate::Objective;

/// Assumed network time to another failure domain before the first measurement, in seconds.
const CROSS_DOMAIN_NETWORK_PRIOR: f64 = 0.004;
/// Increase of the service time on a server at its capacity, as a share of the service time.
const BATCH_SLOWDOWN: f64 = 0.3;
/// Penalty per unit of the failure rate, as a multiple of the predicted latency.
const FAILURE_PENALTY: f64 = 4.0;
/// Penalty at the beginning of a slow start, as a multiple of the predicted latency.
const SLOW_START_PENALTY: f64 = 2.0;
/// Extra cost of an attempt in another failure domain, as a share of the cheapest server's cost.
const CROSS_DOMAIN_COST: f64 = 0.1;
/// Time, in service times, that a server must save to be preferred to one of half its cost, where
/// attainment has priority.
const COST_WEIGHT_FOR_ATTAINMENT: f64 = 0.1;
/// The same where cost has priority.
const COST_WEIGHT_FOR_COST: f64 = 2.0;
/// Share of the remaining time above which a predicted latency counts as late.
const LATE_SHARE: f64 = 0.7;
/// Factor on the score of a server whose answer is predicted to be late.
const LATE_FACTOR: f64 = 10.0;

/// Predicted latency and score of one backend server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prediction {
    /// Predicted seconds until the answer.
    pub(super) latency: f64,
    /// Lower bound of the latency in seconds: the network time and a quarter of the service time.
    pub(super) min_latency: f64,
    /// Score; the server with the lowest score is selected.
    pub(super) score: f64,
}

/// Values that all predictions of one selection share.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoringContext<'a> {
    pub(super) cfg: &'a RoutingConfig,
    pub(super) pool: &'a Pool,
    /// Seconds until the deadline of the stage.
    pub(super) remaining: f64,
    pub(super) now: Instant,
}

impl ScoringContext<'_> {
    /// Predicts one attempt; `cached` is the probability that the server has cached its prefix.
    pub(super) fn predict(&self, server: &Server, cached: f64) -> Prediction {
        let service = server.service(self.pool.service(), self.now);
        let service = service * (1.0 - cached * self.pool.cache_saving());
        let network = self.network(server);
        let latency = network + service + self.wait(server, service);
        Prediction {
            latency,
            min_latency: network + service / 4.0,
            score: self.score(server, service, latency),
        }
    }

    fn network(&self, server: &Server) -> f64 {
        server.network().unwrap_or(if self.is_cross_domain(server) {
            CROSS_DOMAIN_NETWORK_PRIOR
        } else {
            0.0
        })
    }

    fn wait(&self, server: &Server, service: f64) -> f64 {
        let load =
            f64::from(server.in_flight) + server.other_load(self.pool.other_load(), self.now);
        let capacity = server.capacity();
        let excess = (load + 1.0 - capacity).max(0.0);
        let batch = BATCH_SLOWDOWN * (load / capacity).min(1.0);
        service * (excess / capacity + batch)
    }

    fn score(&self, server: &Server, service: f64, latency: f64) -> f64 {
        let penalty = 1.0
            + FAILURE_PENALTY * server.health.failure_rate()
            + SLOW_START_PENALTY * (1.0 - server.health.slow_start_share(self.now));
        let expected = latency * penalty;
        let late = if expected > LATE_SHARE * self.remaining {
            LATE_FACTOR
        } else {
            1.0
        };
        late * (expected + self.cost_weight() * service * self.extra_cost(server))
    }

    fn cost_weight(&self) -> f64 {
        match self.cfg.objective {
            Objective::Attainment => COST_WEIGHT_FOR_ATTAINMENT,
            Objective::Cost => COST_WEIGHT_FOR_COST,
        }
    }

    /// Cost above that of the cheapest server, as a share of the latter.
    fn extra_cost(&self, server: &Server) -> f64 {
        let min_cost = self.pool.min_cost;
        let extra = if min_cost > 0.0 {
            server.declared.cost / min_cost - 1.0
        } else {
            0.0
        };
        let cross_domain = if self.is_cross_domain(server) {
            CROSS_DOMAIN_COST
        } else {
            0.0
        };
        extra + cross_domain
    }

    fn is_cross_domain(&self, server: &Server) -> bool {
        server.declared.domain != self.cfg.local_domain
    }
}

/// Converts seconds to a duration; negative and non-finite values become zero.
pub(super) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
