//! The lagging instance list.

use std::time::{Duration, Instant};

use sardineshore_wire::platform::Listed;

/// A list whose changes are seen only after a lag.
#[derive(Debug)]
pub struct Listing {
    lag: Duration,
    served: Vec<Listed>,
    coming: Vec<Coming>,
}

#[derive(Debug)]
struct Coming {
    due: Instant,
    list: Vec<Listed>,
}

impl Listing {
    /// Creates an empty list.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            served: Vec::new(),
            coming: Vec::new(),
        }
    }

    /// Replaces the list; readers see it after the lag.
    pub fn replace(&mut self, list: Vec<Listed>, now: Instant) {
        let due = now + self.lag;
        self.coming.push(Coming { due, list });
    }

    /// Lets the lists that are due be seen.
    pub fn settle(&mut self, now: Instant) {
        let due = self.coming.partition_point(|coming| coming.due <= now);
        if let Some(coming) = self.coming.drain(..due).next_back() {
            self.served = coming.list;
        }
    }

    /// The list as readers see it.
    #[must_use]
    pub fn served(&self) -> &[Listed] {
        &self.served
    }
}
