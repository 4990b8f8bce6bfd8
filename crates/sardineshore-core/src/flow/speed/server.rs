//! What is known of the speed of one server.

use std::time::{Duration, Instant};

use super::MIN_EVIDENCE;
use super::estimate::Evidence;
use super::exchange::server_key;
use super::figure::{Figure, FigureLevel, TRUST_AT_START, trusted_share};
use super::pool::PoolSpeed;
use crate::flow::config::{Name, Server};

/// Difference from usual, as a logarithm, up to which a server counts as usual: one of a pool whose
/// servers seem equal, and one of a pool whose servers differ. Servers that many prompts prefer seem
/// slower by up to 0.18, as their prompts wait for each other.
const DEAD_BANDS: (f64, f64) = (0.3, 0.1);
/// Number of standard errors by which a server must differ from usual. With 2, one server in
/// twenty of equal ones would seem to differ.
const MIN_STANDARD_ERRORS: f64 = 2.5;
/// Limits of a lasting slowness, as a logarithm.
const MAX_LASTING: f64 = 1.2;
/// Step of the weights by which prompt prefixes are assigned, as a factor.
pub(super) const WEIGHT_STEP: f64 = 1.25;
/// Distance from the present weight at which it changes, in steps; above a half, so that it
/// doesn't change back and forth.
const WEIGHT_HYSTERESIS: f64 = 0.75;
/// Largest number of steps of a weight.
const MAX_WEIGHT_STEPS: f64 = 5.0;
/// Evidence needed to change a weight: prompts have to be read again at their new server.
const MIN_WEIGHT_EVIDENCE: f64 = 8.0;
/// Shortest time between two changes of a server's weight.
const WEIGHT_DWELL: Duration = Duration::from_secs(20);

/// What is known of one server.
#[derive(Debug)]
pub(super) struct ServerSpeed {
    pub id: Name,
    pub started_ms: u64,
    /// Short identification of this run of the server, in messages.
    pub key: u32,
    pub pool: usize,
    /// Samples of this instance and of those that submit jobs to it.
    pub seen: Evidence,
    /// What an owner of cells knows, with this instance's samples.
    pub told: Evidence,
    /// Sum and number of this instance's samples that were not passed on.
    pub unsent: (f64, u32),
    /// Until when attempts don't count.
    pub ignored_until: Option<Instant>,
    pub figure: Option<Figure>,
    pub level: FigureLevel,
    pub trust: f64,
    /// Whether the evidence is clear.
    pub is_evident: bool,
    /// Lasting slowness: logarithm and factor.
    pub lasting_ln: f64,
    pub lasting: f64,
    /// When it was last known to differ from usual.
    pub differed_at: Option<Instant>,
    pub steps: i8,
    pub steps_changed_at: Option<Instant>,
}

impl ServerSpeed {
    pub fn new(server: &Server, pool: usize) -> Self {
        Self {
            id: server.id.clone(),
            started_ms: server.started_ms,
            key: server_key(&server.id, server.started_ms),
            pool,
            seen: Evidence::default(),
            told: Evidence::default(),
            unsent: (0.0, 0),
            ignored_until: None,
            figure: None,
            level: FigureLevel::default(),
            trust: TRUST_AT_START,
            is_evident: false,
            lasting_ln: 0.0,
            lasting: 1.0,
            differed_at: None,
            steps: 0,
            steps_changed_at: None,
        }
    }

    /// Records a sample of an attempt of this instance. Returns whether it is the first one to be passed on.
    pub fn record(&mut self, residual: f64, now: Instant) -> bool {
        self.seen.record(residual, 1.0, now);
        let (sum, count) = &mut self.unsent;
        *sum += residual.clamp(-MAX_LASTING, MAX_LASTING);
        *count += 1;
        *count == 1
    }

    /// The lasting difference from usual that is subtracted from samples of the pool's trend.
    pub fn known(&self, now: Instant) -> f64 {
        let (value, weight) = self.evidence(now);
        value * weight / (weight + 2.0)
    }

    /// The better founded evidence; what an owner told contains this instance's samples.
    pub fn evidence(&self, now: Instant) -> (f64, f64) {
        let (seen, told) = (self.seen.weight(now), self.told.weight(now));
        if told > seen {
            (self.told.value(), told)
        } else {
            (self.seen.value(), seen)
        }
    }

    /// Share of figures that counts.
    pub fn trust(&self, pool: &PoolSpeed) -> f64 {
        trusted_share(self.trust.min(pool.trust))
    }

    /// Share of a figure that counts.
    pub fn trust_in(&self, figure: &Figure, pools: &[PoolSpeed]) -> f64 {
        if figure.is_named() {
            self.trust(&pools[self.pool])
        } else {
            1.0
        }
    }

    /// Slowness at this moment as a factor of the lasting one.
    pub fn momentary(&self, pools: &[PoolSpeed], now: Instant) -> f64 {
        let Some(figure) = &self.figure else {
            return 1.0;
        };
        let excess = figure.excess(&self.level, now);
        if excess == 0.0 {
            return 1.0;
        }
        (excess * self.trust_in(figure, pools)).exp()
    }

    /// Updates the lasting slowness and the weight. Returns whether the change is worth a log line.
    pub fn update_lasting(&mut self, pool: &PoolSpeed, now: Instant) -> bool {
        let (value, weight) = self.evidence(now);
        // The standard deviation is 1.25 times the mean absolute one for a normal distribution.
        let error = 1.25 * pool.deviation / weight.max(0.01).sqrt();
        let band = if pool.is_spread {
            DEAD_BANDS.1
        } else {
            DEAD_BANDS.0
        };
        let was_evident = self.is_evident;
        self.is_evident = if was_evident {
            weight >= 1.0 && value.abs() > band / 2.0
        } else {
            weight >= MIN_EVIDENCE && value.abs() > band.max(MIN_STANDARD_ERRORS * error)
        };
        let learned = if self.is_evident { value } else { 0.0 };
        self.lasting_ln = learned.clamp(-MAX_LASTING, MAX_LASTING);
        self.lasting = if self.lasting_ln == 0.0 {
            1.0
        } else {
            self.lasting_ln.exp()
        };
        if self.lasting_ln != 0.0 {
            self.differed_at = Some(now);
        }
        let changed = self.update_weight(weight, now);
        changed || was_evident != self.is_evident
    }

    fn update_weight(&mut self, evidence: f64, now: Instant) -> bool {
        let target = -self.lasting_ln / WEIGHT_STEP.ln();
        let founded = evidence >= MIN_WEIGHT_EVIDENCE || self.lasting_ln == 0.0;
        let dwelt = self
            .steps_changed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= WEIGHT_DWELL);
        if !founded || !dwelt || (target - f64::from(self.steps)).abs() < WEIGHT_HYSTERESIS {
            return false;
        }
        let steps = target.round().clamp(-MAX_WEIGHT_STEPS, MAX_WEIGHT_STEPS);
        #[expect(clippy::cast_possible_truncation, reason = "clamped to a few steps")]
        let steps = steps as i8;
        let changed = steps != self.steps;
        if changed {
            self.steps = steps;
            self.steps_changed_at = Some(now);
        }
        changed
    }
}
