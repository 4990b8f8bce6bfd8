//! Callers that come back after a refusal, told by what they ask for and how long they wait.
//!
//! A caller's next attempt has an id of its own and may reach another instance, but the owner sees
//! it again with the same key and the same end of its time. Its aim counts from the first attempt.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::job::Job;
use crate::flow::config::Name;

/// Most that the ends of two attempts of one caller differ, for links and queues on the way.
const TOLERANCE: Duration = Duration::from_millis(250);
/// Refusals remembered before those whose time is over are dropped.
const REMEMBERED: usize = 256;

#[derive(Debug, Clone, Copy)]
struct First {
    aim: Instant,
    deadline: Instant,
}

/// Refused jobs whose callers may come back.
#[derive(Debug, Default)]
pub(super) struct Returns {
    refused: HashMap<Name, Vec<First>>,
}

impl Returns {
    /// Remembers a job that is refused.
    pub fn refused(&mut self, key: &Name, aim: Instant, deadline: Instant, now: Instant) {
        if key.is_empty() {
            return;
        }
        if self.refused.len() >= REMEMBERED {
            self.refused.retain(|_, firsts| {
                firsts.retain(|first| now <= first.deadline);
                !firsts.is_empty()
            });
        }
        let firsts = self.refused.entry(key.clone()).or_default();
        firsts.push(First { aim, deadline });
    }

    /// Aim of the first attempt of a job's caller, if that was refused here.
    pub fn first_aim(&mut self, job: &Job, now: Instant) -> Option<Instant> {
        let deadline = now + job.time_to_deadline;
        let firsts = self.refused.get_mut(&job.key)?;
        let same = |first: &First| {
            let apart = first
                .deadline
                .max(deadline)
                .duration_since(first.deadline.min(deadline));
            apart <= TOLERANCE
        };
        let position = firsts.iter().position(same)?;
        let first = firsts.swap_remove(position);
        if firsts.is_empty() {
            self.refused.remove(&job.key);
        }
        Some(first.aim)
    }
}
