//! The life of a job in the scheduler: accepted, parked, started, marked late, finished or given
//! up.
//!
//! A late job is parked: it starts when its pools have spare capacity, and is given up as soon as
//! it can't finish before its deadline.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::forecast::{PoolLoad, RANK_COUNT, forecast};
use super::job::{Job, JobState, Progress, StageState};
use super::{
    Action, BatchScheduler, DELIVERED_RETENTION, RefusalReason, queue_key, remaining_times,
};
use crate::duration::multiplied;
use crate::flow::config::Name;

impl BatchScheduler {
    /// Time after which a refused caller should retry: when the backlog of the pools that its job still
    /// needs is expected to leave capacity that is not promised to other retries.
    pub(super) fn retry_after(
        &mut self,
        job: &Job,
        loads: &BTreeMap<Name, PoolLoad>,
        now: Instant,
    ) -> Duration {
        let longest = job.time_to_deadline / 3;
        let needs = job.stages.iter().enumerate();
        let needs = needs.filter_map(|(index, stage)| {
            let pieces = job.pieces_left(index);
            let load = loads.get(&stage.pool).filter(|_| pieces > 0)?;
            Some((&stage.pool, load, f64::from(pieces)))
        });
        self.retry_times.promise(needs, longest, now)
    }

    /// Adds a job; a late one is parked. A stage that depends on no other and that no other depends
    /// on starts only when the rest of the job needs it, see [`StageState::not_before`].
    pub(super) fn accept(
        &mut self,
        job: Job,
        expected_times: &[Duration],
        late: bool,
        is_retry: bool,
        now: Instant,
    ) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let classes: Vec<usize> = (0..job.stages.len())
            .map(|stage| self.piece_times.class(&job.route, stage))
            .collect();
        let remaining_times = remaining_times(&job, &classes, &self.piece_times, &self.pools);
        let longest = remaining_times.iter().map(|(remaining, _)| *remaining);
        let longest = longest.max().unwrap_or_default();
        let has_dependents =
            |index: usize| job.stages.iter().any(|s| s.depends_on.contains(&index));
        let stages = job
            .stages
            .iter()
            .zip(remaining_times)
            .enumerate()
            .map(|(stage_index, (stage, (remaining_time, following_time)))| {
                let independent = stage.depends_on.is_empty() && !has_dependents(stage_index);
                let spare =
                    longest.saturating_sub(remaining_time + self.config.deferred_start_margin);
                StageState {
                    pieces: vec![Progress::Blocked; stage.pieces as usize],
                    class: classes[stage_index],
                    remaining_time,
                    expected_time: expected_times[stage_index].max(remaining_time),
                    following_time,
                    sent_at: None,
                    not_before: if independent { now + spare } else { now },
                    queued_at: None,
                }
            })
            .collect();
        let id = job.id.clone();
        let state = JobState {
            sequence,
            soft_deadline: now + job.time_to_soft_deadline,
            deadline: now + job.time_left(),
            request_deadline: now + job.time_to_deadline,
            late,
            parked: late,
            is_retry,
            stages,
            recomputations: 0,
            delivered: false,
            job,
        };
        let index = self.jobs.insert(state);
        self.by_id.insert(id, index);
        self.adopt_results(index, now);
        self.advance(index, now);
    }

    /// Gives up jobs that can't finish before their deadline or have failed too often, marks those
    /// late that will miss their soft deadline, and drops finished jobs whose results nobody
    /// reported as used.
    pub(super) fn give_up_infeasible(&mut self, now: Instant) {
        let mut infeasible = Vec::new();
        let mut delayed = Vec::new();
        for (index, state) in &self.jobs {
            if state.delivered {
                if now > state.request_deadline + DELIVERED_RETENTION {
                    infeasible.push((state.job.id.clone(), None));
                }
                continue;
            }
            let unfinished = || state.stages.iter().filter(|stage| !stage.is_finished());
            let remaining = unfinished().map(|stage| stage.remaining_time).max();
            let earliest_end = unfinished().map(|stage| stage.earliest_end(now)).max();
            let has_failed = state.recomputations > self.config.max_recomputations;
            if has_failed || earliest_end > Some(state.deadline) {
                let left = state.request_deadline.saturating_duration_since(now);
                let reason = if state.is_retry && !state.job.is_accepted() {
                    RefusalReason::RefusedAgain
                } else if has_failed {
                    RefusalReason::Failed
                } else {
                    RefusalReason::OutOfTime
                };
                infeasible.push((state.job.id.clone(), Some((left / 3, reason))));
            } else if !state.late
                && !state.job.continues
                && now + remaining.unwrap_or_default() > state.soft_deadline
            {
                delayed.push(index);
            }
        }
        for (request, refusal) in infeasible {
            let index = self.by_id.get(&request);
            let state = index.and_then(|index| self.jobs.get(*index));
            if let (Some(state), Some((_, reason))) = (state, refusal) {
                self.refusals
                    .record(&state.job.route, &state.job.customer, reason);
                let (soft_deadline, deadline) = (state.soft_deadline, state.request_deadline);
                self.retries
                    .record_refusal(&state.job.key, soft_deadline, deadline, now);
                if !state.late && !state.job.is_accepted() {
                    self.fairness.record_miss(state.job.rank);
                }
            }
            self.cancel(&request, now);
            if let Some((retry_after, reason)) = refusal {
                self.actions.push(Action::GivenUp {
                    request,
                    retry_after,
                    reason,
                });
            }
        }
        for index in delayed {
            self.mark_late(index);
        }
    }

    /// Marks a job late and moves its queued pieces behind those of jobs that are not.
    pub(super) fn mark_late(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let mut moved = Vec::new();
        for stage_index in 0..state.stages.len() {
            for piece in 0..state.stages[stage_index].pieces.len() {
                if state.stages[stage_index].pieces[piece] == Progress::Queued {
                    moved.push((stage_index, piece, queue_key(state, stage_index, piece)));
                }
            }
        }
        // Jobs that were accepted elsewhere were not recorded.
        if !std::mem::replace(&mut state.late, true) && !state.job.is_accepted() {
            self.fairness.record_miss(state.job.rank);
        }
        for (stage_index, piece, old) in moved {
            let new = queue_key(&self.jobs[index], stage_index, piece);
            let pool = &self.jobs[index].job.stages[stage_index].pool;
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&old);
                queue.insert(new, index);
            }
        }
    }

    /// Parked jobs in the order in which they start: by rank, then retries and jobs of an earlier
    /// owner first, then by soft deadline.
    fn parked_in_order(&self) -> Vec<usize> {
        let parked = self.jobs.iter().filter(|(_, state)| state.parked);
        let key = |state: &JobState| {
            (
                state.job.rank,
                !state.is_first_in_rank(),
                state.soft_deadline,
            )
        };
        let mut parked: Vec<_> = parked.map(|(index, s)| (key(s), index)).collect();
        parked.sort_unstable();
        parked.into_iter().map(|(_, index)| index).collect()
    }

    /// Starts parked jobs, in order, while their pools have spare capacity.
    pub(super) fn start_parked(&mut self, now: Instant) {
        let parked = self.parked_in_order();
        if parked.is_empty() {
            return;
        }
        let mut loads = self.loads(now);
        for index in parked {
            let state = &self.jobs[index];
            let spare = state.unfinished_pools().all(|(pool, _)| {
                let load = loads.get(pool);
                load.is_some_and(|load| load.queue_time() < self.config.spare_queue_time)
            });
            if !spare {
                continue;
            }
            for (pool, pieces) in state.unfinished_pools() {
                if let Some(load) = loads.get_mut(pool) {
                    load.queued += f64::from(pieces);
                }
            }
            self.jobs[index].parked = false;
            self.advance(index, now);
        }
    }

    /// Gives up parked jobs that can't finish before their deadline after the parked jobs that
    /// start before them.
    pub(super) fn give_up_parked(&mut self, now: Instant) {
        if self.next_parked_check.is_some_and(|at| now < at) {
            return;
        }
        self.next_parked_check = Some(now + self.config.parked_check_interval);
        let parked = self.parked_in_order();
        if parked.is_empty() {
            return;
        }
        let mut loads = self.loads(now);
        for load in loads.values_mut() {
            load.parked = [0.0; RANK_COUNT];
        }
        let mut infeasible = Vec::new();
        for index in parked {
            let state = &self.jobs[index];
            let left = state.deadline.saturating_duration_since(now);
            let remaining = state.remaining_job();
            let forecast = forecast(&remaining, &loads);
            if forecast
                .is_some_and(|f| f.behind_all > multiplied(left, self.config.parked_finish_share))
            {
                infeasible.push(index);
                continue;
            }
            for stage in &remaining.stages {
                if let Some(load) = loads.get_mut(&stage.pool) {
                    load.late += f64::from(stage.pieces);
                }
            }
        }
        for index in infeasible {
            let state = &self.jobs[index];
            let left = state.request_deadline.saturating_duration_since(now);
            let (request, key) = (state.job.id.clone(), state.job.key.clone());
            let reason = if state.is_retry {
                RefusalReason::RefusedAgain
            } else {
                self.retries
                    .record_refusal(&key, state.soft_deadline, state.request_deadline, now);
                RefusalReason::Parked
            };
            self.refusals
                .record(&state.job.route, &state.job.customer, reason);
            self.cancel(&request, now);
            self.actions.push(Action::GivenUp {
                request,
                retry_after: left / 3,
                reason,
            });
        }
    }

    /// Records a refused job, so that a retry of its caller is recognized.
    pub(super) fn record_refusal(&mut self, job: &Job, now: Instant) {
        let (soft_deadline, deadline) =
            (now + job.time_to_soft_deadline, now + job.time_to_deadline);
        self.retries
            .record_refusal(&job.key, soft_deadline, deadline, now);
    }

    /// Queues the pieces of stages whose start was deferred until now.
    pub(super) fn start_deferred(&mut self, now: Instant) {
        let due: Vec<usize> = self
            .deferred
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, index)| *index)
            .collect();
        if due.is_empty() {
            return;
        }
        self.deferred.retain(|(at, _)| *at > now);
        for index in due {
            if self.jobs.contains(index) {
                self.advance(index, now);
            }
        }
    }

    /// Queues every blocked piece whose dependencies have finished, and reports a job whose stages
    /// have all finished.
    pub(super) fn advance(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        if state.delivered || state.parked {
            return;
        }
        let finished: Vec<bool> = state.stages.iter().map(StageState::is_finished).collect();
        for stage_index in 0..state.stages.len() {
            let stage = &state.job.stages[stage_index];
            if !stage
                .depends_on
                .iter()
                .all(|dependency| finished[*dependency])
            {
                continue;
            }
            if now < state.stages[stage_index].not_before {
                self.deferred
                    .push((state.stages[stage_index].not_before, index));
                continue;
            }
            state.stages[stage_index].queued_at.get_or_insert(now);
            for piece in 0..state.stages[stage_index].pieces.len() {
                if state.stages[stage_index].pieces[piece] != Progress::Blocked {
                    continue;
                }
                state.stages[stage_index].pieces[piece] = Progress::Queued;
                let key = queue_key(state, stage_index, piece);
                let queue = self
                    .queues
                    .entry(state.job.stages[stage_index].pool.clone())
                    .or_default();
                queue.insert(key, index);
            }
        }
        if finished.iter().all(|finished| *finished) {
            let inputs = state.handles(state.final_stages()).unwrap_or_default();
            state.delivered = true;
            self.actions.push(Action::Finished {
                request: state.job.id.clone(),
                inputs,
                bytes_by_domain: state.bytes_by_domain(),
            });
        }
    }

    /// Removes all pieces of a job from the queues.
    pub(super) fn unqueue(&mut self, state: &JobState) {
        for (stage_index, stage) in state.stages.iter().enumerate() {
            let Some(queue) = self.queues.get_mut(&state.job.stages[stage_index].pool) else {
                continue;
            };
            for (piece, progress) in stage.pieces.iter().enumerate() {
                if *progress == Progress::Queued {
                    queue.remove(&queue_key(state, stage_index, piece));
                }
            }
        }
    }
}
