//! Settings of the batch scheduler: shares, factors and times behind its decisions.

use std::time::{Duration, Instant};

use super::job::JobState;
use crate::duration::multiplied;

/// Settings for refusing jobs, for waiting, and for repeating calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerConfig {
    /// Share of the time to its soft deadline that a job's forecast may take. Below 1 because
    /// later jobs with earlier deadlines go first, and because of what happens before the job runs.
    pub soft_deadline_share: f64,
    /// Share of the time to the deadline that a late job may spend waiting for other jobs.
    pub late_wait_share: f64,
    /// Further share that it may wait if jobs of its rank are in time less often than less urgent
    /// ones.
    pub more_late_wait_share: f64,
    /// Share of the time to the deadline within which a new late job has to finish.
    pub late_finish_share: f64,
    /// Share of the time to the deadline within which a parked job has to finish, or it is given
    /// up.
    pub parked_finish_share: f64,
    /// A call is slow after this multiple of its expected time: its pieces are queued again for
    /// another server.
    pub slow_call_factor: f64,
    /// Time added to that for network and server queues.
    pub slow_call_slack: Duration,
    /// Longest time for which released results are collected before their server is told.
    pub release_delay: Duration,
    /// A job is given up after more calls than this in which its pieces failed or inputs were missing.
    pub max_recomputations: u32,
    /// Interval between checks for parked jobs that can't finish in time.
    pub parked_check_interval: Duration,
    /// A parked job starts when each of its pools needs less than this time for its queued pieces.
    pub spare_queue_time: Duration,
    /// Share of its slack for which a piece waits for a server in its preferred failure domain.
    pub domain_wait_share: f64,
    /// Slack that is reserved for other delays and not spent on that wait.
    pub domain_wait_reserve: Duration,
    /// Longest wait for a server in the preferred failure domain.
    pub max_domain_wait: Duration,
    /// A stage that no other stage depends on and that depends on none starts this much earlier
    /// than it has to.
    pub deferred_start_margin: Duration,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            soft_deadline_share: 0.88,
            late_wait_share: 0.12,
            more_late_wait_share: 0.15,
            late_finish_share: 0.7,
            parked_finish_share: 0.95,
            slow_call_factor: 1.6,
            slow_call_slack: Duration::from_millis(120),
            release_delay: Duration::from_millis(120),
            max_recomputations: 3,
            parked_check_interval: Duration::from_millis(100),
            spare_queue_time: Duration::from_millis(150),
            domain_wait_share: 0.5,
            domain_wait_reserve: Duration::from_millis(200),
            max_domain_wait: Duration::from_millis(150),
            deferred_start_margin: Duration::from_millis(250),
        }
    }
}

impl SchedulerConfig {
    /// Whether pieces of a stage still wait for a server in their preferred failure domain. Those of a
    /// stream that goes on don't, as its caller waits in the middle of an answer.
    pub(super) fn waits_for_domain(&self, state: &JobState, stage: usize, now: Instant) -> bool {
        let Some(since) = state.stages[stage]
            .queued_at
            .filter(|_| !state.job.continues)
        else {
            return false;
        };
        let slack = state
            .latest_start(stage)
            .saturating_duration_since(since + self.domain_wait_reserve);
        let wait = multiplied(slack, self.domain_wait_share).min(self.max_domain_wait);
        now < since + wait
    }
}
