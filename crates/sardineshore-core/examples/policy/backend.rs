//! Simulated backend server with a bounded queue and a small prefix cache.

use std::collections::VecDeque;

use sardineshore_core::{ServerId, ServerLoad};

use crate::simulation::AttemptKey;

/// Number of prefixes that a server caches.
const MAX_CACHED_PREFIXES: usize = 24;
/// Service time with a cached prefix, as a share of the one without.
const CACHED_SERVICE_FACTOR: f64 = 0.5;
/// Length of the queue, as a multiple of the capacity, at which a server refuses attempts.
const MAX_QUEUE_PER_CAPACITY: u32 = 4;

/// A simulated backend server.
pub struct Backend {
    pub name: ServerId,
    pub domain: usize,
    pub pool: usize,
    pub cost: f64,
    pub capacity: u32,
    pub service_ms: f64,
    pub running: Vec<AttemptKey>,
    pub queue: VecDeque<AttemptKey>,
    pub cache: VecDeque<u64>,
}

impl Backend {
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            capacity: self.capacity,
            incarnation: 1,
            ..ServerLoad::default()
        }
    }

    pub fn is_queue_full(&self) -> bool {
        count(self.queue.len()) >= self.capacity * MAX_QUEUE_PER_CAPACITY
    }

    pub fn has_free_slot(&self) -> bool {
        count(self.running.len()) < self.capacity
    }

    /// Looks up a prefix and makes it the most recently used one; returns the factor on the service
    /// time.
    pub fn look_up(&mut self, prefix: u64) -> f64 {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(MAX_CACHED_PREFIXES);
        if found.is_some() {
            CACHED_SERVICE_FACTOR
        } else {
            1.0
        }
    }

    /// Removes an attempt from the running ones or from the queue.
    pub fn remove(&mut self, attempt: AttemptKey) {
        self.running.retain(|running| *running != attempt);
        self.queue.retain(|queued| *queued != attempt);
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
