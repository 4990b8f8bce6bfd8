//! Predicted completion of one attempt on one backend server, and its score.

use std::time::{Duration, Instant};

use super::RoutingConfig;
use super::pool::Pool;
use super::server::Server;
use crate::Objective;

/// Time that a message to another failure domain is assumed to take until one was seen, in seconds.
const CROSS_DOMAIN_PRIOR: f64 = 0.004;
/// Slowdown of service on a server at its capacity, as a share of the service.
const BATCH_SLOWDOWN: f64 = 0.3;
/// Extra time that each unit of the share of failures counts for, as a multiple of the prediction.
const FAILING_WEIGHT: f64 = 4.0;
/// Extra time of a server at the beginning of its slow start, as a multiple of the prediction.
const RAMP_WEIGHT: f64 = 2.0;
/// Cost of an attempt in another failure domain, as a share of the cheapest server's cost.
const CROSS_DOMAIN_COST: f64 = 0.1;
/// Services that a server may save in time before one of twice the cost is taken instead.
const COST_WEIGHT_ATTAINMENT: f64 = 0.1;
/// The same where cost goes first.
const COST_WEIGHT_COST: f64 = 2.0;
/// Share of the remaining time beyond which a prediction counts as late.
const LATE_SHARE: f64 = 0.7;
/// Factor on the score of an attempt that is predicted to be late.
const LATE_FACTOR: f64 = 10.0;

/// How one backend server would do.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    /// Predicted seconds until the answer.
    pub(super) predicted: f64,
    /// Seconds that the answer takes at least: network and a quarter of the service.
    pub(super) least: f64,
    /// Score; the lowest wins.
    pub(super) score: f64,
}

/// What all forecasts of one decision share.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scales<'a> {
    pub(super) cfg: &'a RoutingConfig,
    pub(super) pool: &'a Pool,
    pub(super) remaining: f64,
    pub(super) now: Instant,
}

impl Scales<'_> {
    /// Forecasts one attempt; `cached` is the likelihood that its prefix is cached there.
    pub(super) fn forecast(&self, server: &Server, cached: f64) -> Forecast {
        let service = server.service(self.pool.service(), self.now);
        let service = service * (1.0 - cached * self.pool.saving());
        let network = self.network(server);
        let predicted = network + service + self.wait(server, service);
        Forecast {
            predicted,
            least: network + service / 4.0,
            score: self.score(server, service, predicted),
        }
    }

    fn network(&self, server: &Server) -> f64 {
        server.network().unwrap_or(if self.crosses(server) {
            CROSS_DOMAIN_PRIOR
        } else {
            0.0
        })
    }

    fn wait(&self, server: &Server, service: f64) -> f64 {
        let load = f64::from(server.in_flight) + server.others(self.pool.others(), self.now);
        let capacity = server.capacity();
        let ahead = (load + 1.0 - capacity).max(0.0);
        let batch = BATCH_SLOWDOWN * (load / capacity).min(1.0);
        service * (ahead / capacity + batch)
    }

    fn score(&self, server: &Server, service: f64, predicted: f64) -> f64 {
        let doubt = 1.0
            + FAILING_WEIGHT * server.health.failing()
            + RAMP_WEIGHT * (1.0 - server.health.ramp(self.now));
        let expected = predicted * doubt;
        let late = if expected > LATE_SHARE * self.remaining {
            LATE_FACTOR
        } else {
            1.0
        };
        late * (expected + self.cost_weight() * service * self.extra_cost(server))
    }

    fn cost_weight(&self) -> f64 {
        match self.cfg.objective {
            Objective::Attainment => COST_WEIGHT_ATTAINMENT,
            Objective::Cost => COST_WEIGHT_COST,
        }
    }

    /// Cost above that of the cheapest server, as a share of it.
    fn extra_cost(&self, server: &Server) -> f64 {
        let least = self.pool.least_cost;
        let extra = if least > 0.0 {
            server.declared.cost / least - 1.0
        } else {
            0.0
        };
        let crossing = if self.crosses(server) {
            CROSS_DOMAIN_COST
        } else {
            0.0
        };
        extra + crossing
    }

    fn crosses(&self, server: &Server) -> bool {
        server.declared.domain != self.cfg.local_domain
    }
}

/// Converts seconds to a duration; negative and not finite values become zero.
pub(super) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
