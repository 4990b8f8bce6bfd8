//! Figures by which a board decides.

use std::time::{Duration, Instant};

use super::job::JobState;

/// How work waits and is turned away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerConfig {
    /// Part of its aim that a job's forecast may take; forecasts are short of what comes between.
    pub aim_part: f64,
    /// Part of the time left that a late job may wait behind all others.
    pub late_part: f64,
    /// Part of the time left within which a late job has to end.
    pub time_part: f64,
    /// Part of the time left within which a late job in line has to end, or it is given up.
    pub line_part: f64,
    /// A call that takes so many times its expected time is repeated elsewhere.
    pub suspect_factor: f64,
    /// Time beyond that, for links and queues.
    pub suspect_slack: Duration,
    /// Longest time for which released results wait to be told to their keeper.
    pub free_delay: Duration,
    /// Most times that a job's lost results are made again.
    pub rebuilds: u32,
    /// Late jobs that have not begun are looked through so often for those that can't be served.
    pub parked_check: Duration,
    /// Late jobs begin while each of their pools needs less than this for what is queued.
    pub spare_backlog: Duration,
    /// Part of its slack for which a piece waits for a server in its own failure domain.
    pub domain_part: f64,
    /// Slack that is kept for other waits.
    pub domain_reserve: Duration,
    /// Longest such wait.
    pub domain_wait: Duration,
    /// A stage whose results only the request needs starts so long before it has to.
    pub early: Duration,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            aim_part: 0.72,
            late_part: 0.12,
            time_part: 0.7,
            line_part: 0.95,
            suspect_factor: 1.6,
            suspect_slack: Duration::from_millis(120),
            free_delay: Duration::from_millis(120),
            rebuilds: 3,
            parked_check: Duration::from_millis(100),
            spare_backlog: Duration::from_millis(150),
            domain_part: 0.5,
            domain_reserve: Duration::from_millis(200),
            domain_wait: Duration::from_millis(150),
            early: Duration::from_millis(250),
        }
    }
}

impl SchedulerConfig {
    /// Whether a piece still waits for a server in its own failure domain.
    pub(super) fn waits_for_domain(&self, state: &JobState, stage: usize, now: Instant) -> bool {
        let Some(since) = state.stages[stage].queued_at else {
            return false;
        };
        let slack = state
            .latest_start(stage)
            .saturating_duration_since(since + self.domain_reserve);
        let wait = slack.mul_f64(self.domain_part).min(self.domain_wait);
        now < since + wait
    }
}
