//! Times of pieces by stage, learned from calls.
//!
//! The configuration states one time per piece for all stages of a pool. Stages that use the pool
//! for less or more work are told apart by the times of the calls that their pieces were in.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::config::{BatchSpec, Name};

/// Class of pieces that are not told apart: those without a route, and those beyond
/// [`MAX_CLASSES`].
pub(super) const OTHER: usize = 0;
/// Most classes. Routes can be renamed any number of times while an instance runs.
const MAX_CLASSES: usize = 256;
/// Share of the difference between the measured and the expected time of a call that is corrected
/// at once.
const LEARNING_RATE: f64 = 0.15;
/// Bounds of the factor on the configured time per piece.
const MIN_FACTOR: f64 = 0.05;
const MAX_FACTOR: f64 = 3.0;
/// A factor that differs by less from 1 is noise: network and other delays of a call.
const DEAD_ZONE: f64 = 0.25;

/// Pieces of one class in a call.
pub(super) type ClassCounts = Vec<(usize, u32)>;

/// Time of a piece of each class relative to the pool's configured time per piece.
#[derive(Debug, Default)]
pub(super) struct PieceTimes {
    classes: HashMap<(Name, usize), usize>,
    factors: Vec<f64>,
    /// Share of a server's time that a piece of each class takes in a full batch, relative to a piece
    /// of the configured time.
    loads: Vec<f64>,
}

impl PieceTimes {
    /// Class of the pieces of a stage.
    pub fn class(&mut self, route: &Name, stage: usize) -> usize {
        if self.factors.is_empty() {
            self.factors.push(1.0);
            self.loads.push(1.0);
        }
        if route.is_empty() {
            return OTHER;
        }
        if let Some(class) = self.classes.get(&(route.clone(), stage)) {
            return *class;
        }
        if self.factors.len() >= MAX_CLASSES {
            return OTHER;
        }
        self.factors.push(1.0);
        self.loads.push(1.0);
        let class = self.factors.len() - 1;
        self.classes.insert((route.clone(), stage), class);
        class
    }

    /// Time of a piece of a class, as a factor on the configured time; 1 while it is not known to
    /// differ.
    pub fn factor(&self, class: usize) -> f64 {
        let factor = self.factors.get(class).copied().unwrap_or(1.0);
        if (factor - 1.0).abs() < DEAD_ZONE {
            1.0
        } else {
            factor
        }
    }

    /// Number of pieces of the configured time that take as long as these.
    pub fn work(&self, counts: &ClassCounts) -> f64 {
        let work = |(class, count): &(usize, u32)| self.factor(*class) * f64::from(*count);
        counts.iter().map(work).sum()
    }

    /// Share of a server's time that a piece of a class takes in a full batch, relative to a piece
    /// of the configured time.
    pub fn load(&self, class: usize) -> f64 {
        self.loads.get(class).copied().unwrap_or(1.0)
    }

    /// Records the time of a call. The correction is divided among its classes according to their
    /// pieces (normalized least mean squares).
    pub fn record(&mut self, counts: &ClassCounts, spec: &BatchSpec, took: Duration) {
        let piece = spec.time_per_piece.as_secs_f64();
        if piece <= 0.0 {
            return;
        }
        let measured = (took.as_secs_f64() - spec.call_overhead.as_secs_f64()) / piece;
        let mut expected = 0.0;
        let mut square = 0.0;
        let mut pieces = 0.0;
        for (class, count) in counts {
            let count = f64::from(*count);
            expected += self.factors.get(*class).copied().unwrap_or(1.0) * count;
            square += count * count;
            pieces += count;
        }
        // The bound keeps a single disturbed call from moving a factor far.
        let error = (measured - expected).clamp(-pieces, pieces);
        let fixed = spec.call_overhead.as_secs_f64() / f64::from(spec.max_batch.max(1));
        for (class, count) in counts {
            if *class == OTHER {
                continue;
            }
            if let Some(factor) = self.factors.get_mut(*class) {
                *factor += LEARNING_RATE * error * f64::from(*count) / (square + 1.0);
                *factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
            }
            let load = (fixed + self.factor(*class) * piece) / (fixed + piece);
            if let Some(known) = self.loads.get_mut(*class) {
                *known = load;
            }
        }
    }
}
