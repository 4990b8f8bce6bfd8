//! One choice: candidates, their scores, and the fallbacks when none will do.

use std::time::Instant;

use slotmap::SlotMap;

use super::pool::Pool;
use super::score::{Forecast, Scales, duration};
use super::server::Server;
use super::{SelectedServer, SelectionError, SelectionRequest, ServerKey};

/// Likelihood that a prefix is cached on the second of its homes.
const SECOND_HOME_CACHED: f64 = 0.5;
/// Shortest pause before a saturated pool is asked again, in seconds.
const RETRY_AFTER_MIN: f64 = 0.001;
/// Longest pause before a saturated pool is asked again, in seconds.
const RETRY_AFTER_MAX: f64 = 0.050;

/// Everything that one choice looks at.
pub(super) struct Chooser<'a> {
    pub(super) servers: &'a SlotMap<ServerKey, Server>,
    pub(super) pool: &'a Pool,
    pub(super) ask: &'a SelectionRequest<'a>,
    pub(super) scales: Scales<'a>,
    pub(super) now: Instant,
}

/// The best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Best {
    key: ServerKey,
    forecast: Forecast,
}

/// Which servers a search admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Neither ejected nor tried.
    Sound,
    /// Any that may receive work.
    Any,
}

impl Chooser<'_> {
    /// Chooses among the prefix's homes and random members of the subset; `draw` gives random
    /// numbers.
    pub(super) fn choose(
        &self,
        mut draw: impl FnMut() -> u64,
    ) -> Result<SelectedServer, SelectionError> {
        let best = self
            .sampled(&mut draw)
            .or_else(|| self.best_of_all(Scope::Sound))
            .or_else(|| self.last_resort());
        match best {
            Some(best) => self.accept(best),
            None => Err(self.saturated()),
        }
    }

    fn sampled(&self, draw: &mut impl FnMut() -> u64) -> Option<Best> {
        let mut best = None;
        if self.ask.prefix != 0 {
            self.consider_homes(&mut best);
        }
        for _ in 0..self.scales.cfg.sample_size {
            let at = below(draw(), self.pool.subset);
            self.consider(&mut best, self.pool.members[at], 0.0, Scope::Sound);
        }
        best
    }

    fn consider_homes(&self, best: &mut Option<Best>) {
        let Some(homes) = self.pool.homes(self.ask.prefix) else {
            return;
        };
        self.consider(best, homes.first, 1.0, Scope::Sound);
        if let Some(second) = homes.second {
            self.consider(best, second, SECOND_HOME_CACHED, Scope::Sound);
        }
    }

    fn best_of_all(&self, scope: Scope) -> Option<Best> {
        let mut best = None;
        for key in &self.pool.members {
            self.consider(&mut best, *key, 0.0, scope);
        }
        best
    }

    /// Admits ejected and tried servers, but only if no other may receive work at all.
    fn last_resort(&self) -> Option<Best> {
        let sound = self
            .pool
            .members
            .iter()
            .any(|key| self.admits(&self.servers[*key], Scope::Sound));
        if sound {
            None
        } else {
            self.best_of_all(Scope::Any)
        }
    }

    fn consider(&self, best: &mut Option<Best>, key: ServerKey, cached: f64, scope: Scope) {
        let server = &self.servers[key];
        if server.at_limit(self.now) || !self.admits(server, scope) {
            return;
        }
        let forecast = self.scales.forecast(server, cached);
        if best.is_none_or(|best| forecast.score < best.forecast.score) {
            *best = Some(Best { key, forecast });
        }
    }

    fn admits(&self, server: &Server, scope: Scope) -> bool {
        let tried = || self.ask.tried_servers.contains(&server.declared.name);
        scope == Scope::Any || !(server.health.ejected(self.now) || tried())
    }

    fn accept(&self, best: Best) -> Result<SelectedServer, SelectionError> {
        if best.forecast.least > self.scales.remaining {
            return Err(SelectionError::TooLate);
        }
        let server = &self.servers[best.key];
        Ok(SelectedServer {
            server: server.declared.name.clone(),
            addr: server.addr.clone(),
            predicted_latency: duration(best.forecast.predicted),
        })
    }

    /// The next slot is expected after one time of service over the attempts in flight.
    fn saturated(&self) -> SelectionError {
        let in_flight: u32 = self
            .pool
            .members
            .iter()
            .map(|key| self.servers[*key].in_flight)
            .sum();
        let service = self.pool.service().unwrap_or(RETRY_AFTER_MAX);
        let wait = service / f64::from(in_flight.max(1));
        SelectionError::Saturated {
            retry_after: duration(wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)),
        }
    }
}

/// Maps a random number to an index below `len`.
pub(super) fn below(draw: u64, len: usize) -> usize {
    let product = u128::from(draw) * len as u128;
    #[expect(clippy::cast_possible_truncation, reason = "the result is below `len`")]
    let index = (product >> 64) as usize;
    index
}
