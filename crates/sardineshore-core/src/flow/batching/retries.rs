//! Recognizes callers that retry after a refusal.
//!
//! A retry has a new id and may reach another instance, but the owner of the cell sees it with the
//! same key and the same deadline. Its soft deadline still counts from the first attempt.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::job::Job;
use crate::duration::multiplied;
use crate::flow::config::Name;

/// Largest difference between the deadlines of two attempts of one caller, due to network and
/// queueing delays.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(250);
/// Least time from a refusal to the retry, if the caller has much time left. Jobs with the same key
/// whose deadlines differ by less than [`DEADLINE_TOLERANCE`] arrive sooner after each other than this
/// if both are first attempts.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(260);
/// Share of the time left before which no retry comes: callers are told to wait for longer.
const MIN_RETRY_SHARE: f64 = 0.15;
/// Number of keys from which on refusals are dropped once their deadline has passed.
const CLEANUP_THRESHOLD: usize = 256;

/// A refused first attempt.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    soft_deadline: Instant,
    deadline: Instant,
    earliest_retry: Instant,
}

/// Refused jobs whose callers may retry, by the job's key.
#[derive(Debug, Default)]
pub(super) struct RetryTracker {
    refused: HashMap<Name, Vec<Attempt>>,
}

impl RetryTracker {
    /// Records a refused job. Jobs without a key are ignored.
    pub fn record_refusal(
        &mut self,
        key: &Name,
        soft_deadline: Instant,
        deadline: Instant,
        now: Instant,
    ) {
        if key.is_empty() {
            return;
        }
        if self.refused.len() >= CLEANUP_THRESHOLD {
            self.refused.retain(|_, attempts| {
                attempts.retain(|first| now <= first.deadline);
                !attempts.is_empty()
            });
        }
        let left = deadline.saturating_duration_since(now);
        let delay = MIN_RETRY_DELAY.min(multiplied(left, MIN_RETRY_SHARE));
        let attempts = self.refused.entry(key.clone()).or_default();
        attempts.push(Attempt {
            soft_deadline,
            deadline,
            earliest_retry: now + delay,
        });
    }

    /// Soft deadline of the first attempt if a job is a retry; that attempt is then forgotten.
    pub fn first_soft_deadline(&mut self, job: &Job, now: Instant) -> Option<Instant> {
        let deadline = now + job.time_to_deadline;
        let attempts = self.refused.get_mut(&job.key)?;
        let same = |first: &Attempt| {
            let difference = first
                .deadline
                .max(deadline)
                .duration_since(first.deadline.min(deadline));
            difference <= DEADLINE_TOLERANCE && now >= first.earliest_retry
        };
        let position = attempts.iter().position(same)?;
        let first = attempts.swap_remove(position);
        if attempts.is_empty() {
            self.refused.remove(&job.key);
        }
        Some(first.soft_deadline)
    }
}
