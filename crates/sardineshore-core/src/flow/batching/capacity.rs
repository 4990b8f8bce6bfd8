//! Capacity that leaves and returns.
//!
//! Jobs are accepted for the servers that a pool has at that time. When a pool loses or regains a
//! part of its throughput, all jobs are forecast again: those that can't meet their soft deadline any
//! more leave the queue to those that can, and late jobs that can meet it now take their place.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::forecast::{RANK_COUNT, forecast, rank_index};
use super::job::{JobState, Progress};
use super::server::ServerState;
use super::{BatchScheduler, queue_key};
use crate::duration::multiplied;
use crate::flow::config::Name;

/// A change of a pool's throughput by more than this share has all jobs forecast again. Averages of
/// call times vary by less.
const MIN_CHANGE: f64 = 0.15;
/// Least time between two forecasts of all jobs.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Throughput of each pool at the last forecast of all jobs, in pieces per second.
#[derive(Debug, Default)]
pub(super) struct CapacityWatch {
    rates: HashMap<Name, f64>,
    checked_at: Option<Instant>,
}

impl CapacityWatch {
    /// Whether the throughput of a pool has changed much since this was last true.
    pub fn has_changed(&mut self, pools: &HashMap<Name, Vec<ServerState>>, now: Instant) -> bool {
        if self.checked_at.is_some_and(|at| now < at + MIN_INTERVAL) {
            return false;
        }
        self.checked_at = Some(now);
        let mut changed = false;
        for (pool, servers) in pools {
            let available = servers.iter().filter(|server| server.is_available(now));
            let rate: f64 = available.map(ServerState::pieces_per_second).sum();
            match self.rates.get_mut(pool) {
                Some(known) if (rate - *known).abs() > MIN_CHANGE * known.max(rate) => {
                    *known = rate;
                    changed = true;
                }
                Some(_) => {}
                None => {
                    self.rates.insert(pool.clone(), rate);
                }
            }
        }
        changed
    }
}

impl BatchScheduler {
    /// Forecasts all jobs again if a pool's throughput has changed.
    pub(super) fn follow_capacity(&mut self, now: Instant) {
        if self.capacity.has_changed(&self.pools, now) {
            self.forecast_again(now);
            // Parked jobs that can't finish before their deadline are given up now.
            self.next_parked_check = None;
        }
    }

    /// Marks jobs late that can't meet their soft deadline behind those before them, and starts late
    /// jobs that now can.
    fn forecast_again(&mut self, now: Instant) {
        let is_open = |state: &JobState| !state.delivered && !state.job.is_accepted();
        let open = self.jobs.iter().filter(|(_, state)| is_open(state));
        let mut order: Vec<(bool, Instant, usize)> = open
            .map(|(index, state)| (state.late, state.first_urgency(), index))
            .collect();
        order.sort_unstable();
        let mut loads = self.loads(now);
        for load in loads.values_mut() {
            load.on_time = [0.0; RANK_COUNT];
        }
        for (was_late, _, index) in order {
            let state = &self.jobs[index];
            if was_late && !state.parked {
                continue;
            }
            let remaining = state.remaining_job();
            let Some(forecast) = forecast(&remaining, &loads) else {
                continue;
            };
            let left = state.soft_deadline.saturating_duration_since(now);
            // A job that was accepted stays so while it can be in time; one that returns needs the
            // margin of a new job.
            let share = if was_late {
                self.config.soft_deadline_share - self.fairness.reduction(state.job.rank)
            } else {
                1.0
            };
            let in_time = forecast.before_late <= multiplied(left, share) || state.has_started();
            if in_time {
                for stage in &remaining.stages {
                    if let Some(load) = loads.get_mut(&stage.pool) {
                        load.on_time[rank_index(state.job.rank)] += f64::from(stage.pieces);
                    }
                }
            }
            match (was_late, in_time) {
                (false, false) => self.park_again(index),
                (true, true) => {
                    self.jobs[index].late = false;
                    self.jobs[index].parked = false;
                    self.advance(index, now);
                }
                _ => {}
            }
        }
    }

    /// Marks a job late none of whose pieces was sent, and parks it.
    fn park_again(&mut self, index: usize) {
        self.mark_late(index);
        let state = &mut self.jobs[index];
        state.parked = true;
        for stage in 0..state.stages.len() {
            for piece in 0..state.stages[stage].pieces.len() {
                if state.stages[stage].pieces[piece] == Progress::Queued {
                    let key = queue_key(state, stage, piece);
                    if let Some(queue) = self.queues.get_mut(&state.job.stages[stage].pool) {
                        queue.remove(&key);
                    }
                    state.stages[stage].pieces[piece] = Progress::Blocked;
                }
            }
        }
    }
}
