//! Seeded random decisions of injected faults.

use std::sync::{Mutex, MutexGuard};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A seeded source of random decisions that tasks may share.
#[derive(Debug)]
pub struct Dice {
    rng: Mutex<StdRng>,
}

impl Dice {
    /// Creates a source whose decisions follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Whether an event of this probability happens now; 0 draws nothing.
    pub fn roll(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng().random::<f64>() < probability
    }

    /// A factor between `1 - spread` and `1 + spread`.
    pub fn factor(&self, spread: f64) -> f64 {
        1.0 + spread * (2.0 * self.rng().random::<f64>() - 1.0)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().expect("dice lock poisoned")
    }
}
