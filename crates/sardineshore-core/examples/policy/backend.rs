//! A backend server with a bounded queue and a small prefix cache.

use std::collections::VecDeque;

use sardineshore_core::{ServerId, ServerLoad};

use crate::world::AttemptKey;

/// Prefixes that a server caches.
const CACHED_MAX: usize = 24;
/// Share of service that remains with a cached prefix.
const CACHED_SERVICE: f64 = 0.5;
/// Waiting attempts as a multiple of the capacity beyond which a server refuses.
const QUEUE_OF_CAPACITY: u32 = 4;

/// A backend server.
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

    pub fn full(&self) -> bool {
        count(self.queue.len()) >= self.capacity * QUEUE_OF_CAPACITY
    }

    pub fn idle(&self) -> bool {
        count(self.running.len()) < self.capacity
    }

    /// Looks a prefix up and keeps it as the most recent one; returns the factor on the service.
    pub fn look_up(&mut self, prefix: u64) -> f64 {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(CACHED_MAX);
        if found.is_some() { CACHED_SERVICE } else { 1.0 }
    }

    /// Frees the place of an attempt, wherever it is.
    pub fn free(&mut self, attempt: AttemptKey) {
        self.running.retain(|running| *running != attempt);
        self.queue.retain(|queued| *queued != attempt);
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
