//! One selection: samples candidates, compares their scores, and falls back to the whole pool.

use std::time::Instant;

use slotmap::SlotMap;

use super::pool::Pool;
use super::score::{Prediction, ScoringContext, duration};
use super::server::Server;
use super::{SelectedServer, SelectionError, SelectionRequest, ServerKey};

/// Assumed probability that a prefix is cached on the second of its preferred servers.
const SECOND_CACHE_PROBABILITY: f64 = 0.5;
/// Minimum delay before a selection from a saturated pool is retried, in seconds.
const MIN_RETRY_AFTER: f64 = 0.001;
/// Maximum delay before a selection from a saturated pool is retried, in seconds.
const MAX_RETRY_AFTER: f64 = 0.050;

/// Inputs of one selection.
pub(super) struct Selector<'a> {
    pub(super) servers: &'a SlotMap<ServerKey, Server>,
    pub(super) pool: &'a Pool,
    pub(super) request: &'a SelectionRequest<'a>,
    pub(super) scoring: ScoringContext<'a>,
    pub(super) now: Instant,
}

/// A server with its prediction; while servers are compared, the one with the lowest score.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: ServerKey,
    prediction: Prediction,
}

/// Which servers are eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Eligibility {
    /// Servers that are neither ejected nor tried before, and want no pause.
    Healthy,
    /// The same for the continuation of a stream, but servers that have not reported their software
    /// version yet. Their reply names it.
    Unreported,
    /// All members of the pool that want no pause.
    Any,
}

impl Selector<'_> {
    /// Selects among the prefix's preferred servers and random members of the subset, then among
    /// all healthy members of the pool, then among all members. A stream continues only on members
    /// that may have the software version that began it. `random` returns random numbers.
    pub(super) fn select(
        &self,
        mut random: impl FnMut() -> u64,
    ) -> Result<SelectedServer, SelectionError> {
        let best = self
            .best_of_sample(&mut random)
            .or_else(|| self.best_of_all(Eligibility::Healthy))
            .or_else(|| self.best_of_all(Eligibility::Unreported))
            .or_else(|| self.best_of_ejected());
        match best {
            Some(best) => self.accept(best),
            None => Err(self.saturated()),
        }
    }

    fn best_of_sample(&self, random: &mut impl FnMut() -> u64) -> Option<Candidate> {
        let mut best = None;
        if self.request.prefix != 0 {
            self.consider_preferred(&mut best);
        }
        for _ in 0..self.scoring.cfg.sample_size {
            let index = index_below(random(), self.pool.subset);
            self.consider(
                &mut best,
                self.pool.members[index],
                0.0,
                Eligibility::Healthy,
            );
        }
        best
    }

    fn consider_preferred(&self, best: &mut Option<Candidate>) {
        let Some(preferred_servers) = self.pool.preferred_servers(self.request.prefix) else {
            return;
        };
        self.consider(best, preferred_servers.first, 1.0, Eligibility::Healthy);
        if let Some(second) = preferred_servers.second {
            self.consider(best, second, SECOND_CACHE_PROBABILITY, Eligibility::Healthy);
        }
    }

    fn best_of_all(&self, eligibility: Eligibility) -> Option<Candidate> {
        let mut best = None;
        for key in &self.pool.members {
            self.consider(&mut best, *key, 0.0, eligibility);
        }
        best
    }

    /// Selects among all members, ejected and tried ones included, but only if none is healthy:
    /// otherwise the healthy ones are at their limits, and the caller has to wait.
    fn best_of_ejected(&self) -> Option<Candidate> {
        let healthy = self
            .pool
            .members
            .iter()
            .any(|key| self.is_eligible(&self.servers[*key], Eligibility::Healthy));
        if healthy {
            None
        } else {
            self.best_of_all(Eligibility::Any)
        }
    }

    fn consider(
        &self,
        best: &mut Option<Candidate>,
        key: ServerKey,
        cached: f64,
        eligibility: Eligibility,
    ) {
        let server = &self.servers[key];
        if server.at_limit(self.now) || !self.is_eligible(server, eligibility) {
            return;
        }
        let prediction = self.scoring.predict(server, cached);
        if best.is_none_or(|best| prediction.score < best.prediction.score) {
            *best = Some(Candidate { key, prediction });
        }
    }

    fn is_eligible(&self, server: &Server, eligibility: Eligibility) -> bool {
        let tried = || self.request.tried_servers.contains(&server.declared.name);
        let is_healthy = || !(server.health.is_ejected(self.now) || tried());
        let fits = match eligibility {
            Eligibility::Healthy => self.may_continue(server) == Some(true) && is_healthy(),
            Eligibility::Unreported => self.may_continue(server).is_none() && is_healthy(),
            Eligibility::Any => self.may_continue(server) != Some(false),
        };
        fits && server.pause_left(self.now).is_zero()
    }

    /// Whether the server may continue the stream, if the attempt continues one; `None` if its
    /// software version is not known yet.
    fn may_continue(&self, server: &Server) -> Option<bool> {
        match self.request.origin {
            Some(origin) => server.may_continue(origin),
            None => Some(true),
        }
    }

    fn accept(&self, best: Candidate) -> Result<SelectedServer, SelectionError> {
        if best.prediction.min_latency > self.scoring.remaining {
            return Err(SelectionError::TooLate);
        }
        let server = &self.servers[best.key];
        Ok(SelectedServer {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
            predicted_latency: duration(best.prediction.latency),
        })
    }

    /// The error for a pool none of whose servers can take the attempt. If they are at their limits or
    /// want a pause, the next slot is expected after the service time divided by the number of attempts
    /// in flight.
    fn saturated(&self) -> SelectionError {
        let servers = self.pool.members.iter().map(|key| &self.servers[*key]);
        let fitting = servers.filter(|server| self.may_continue(server) != Some(false));
        let Some(pause) = fitting.map(|server| server.pause_left(self.now)).min() else {
            return SelectionError::NoSameVersion;
        };
        if pause.as_secs_f64() > self.scoring.remaining {
            return SelectionError::TooLate;
        }
        let in_flight: u32 = self
            .pool
            .members
            .iter()
            .map(|key| self.servers[*key].in_flight)
            .sum();
        let service = self.pool.service().unwrap_or(MAX_RETRY_AFTER);
        let wait = service / f64::from(in_flight.max(1));
        SelectionError::Saturated {
            retry_after: pause.max(duration(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))),
        }
    }
}

/// Maps a random number uniformly to an index below `len`.
pub(super) fn index_below(random: u64, len: usize) -> usize {
    let product = u128::from(random) * len as u128;
    #[expect(clippy::cast_possible_truncation, reason = "the result is below `len`")]
    let index = (product >> 64) as usize;
    index
}
