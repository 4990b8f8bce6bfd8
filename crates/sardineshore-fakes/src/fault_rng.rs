//! Seeded random numbers for fault injection, so that a run can be repeated.

use std::sync::{Mutex, MutexGuard};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A seeded random number generator that tasks share behind a lock.
#[derive(Debug)]
pub struct FaultRng {
    rng: Mutex<StdRng>,
}

impl FaultRng {
    /// Creates a generator; the same seed gives the same sequence of decisions.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Returns `true` with the given probability, from 0 to 1. A probability of 0 consumes no
    /// random number, so a disabled fault doesn't shift the decisions of the others.
    pub fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng().random::<f64>() < probability
    }

    /// Draws a factor uniformly from `1 - spread` to `1 + spread`.
    pub fn factor(&self, spread: f64) -> f64 {
        1.0 + spread * (2.0 * self.rng().random::<f64>() - 1.0)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().expect("random generator lock poisoned")
    }
}
