//! Jobs that wait: taken on, begun, late, given up.

use std::time::{Duration, Instant};

use super::forecast::{RANKS, forecast};
use super::job::{Job, JobState, Progress, StageState};
use super::{Action, BatchScheduler, DELIVERED_KEPT, SPREAD_PART, SPREAD_STEPS, place, tails};

impl BatchScheduler {
    /// When a refused caller should come back: what it asked for will be late by then whatever it
    /// does, and it comes back once, so it waits as long as it can for the load to pass. Waits are
    /// spread so that those who return don't meet.
    pub(super) fn retry_after(&self, job: &Job) -> Duration {
        let offset = f64::from(u32::try_from(self.next_sequence % SPREAD_STEPS).unwrap_or(0));
        let part = 1.0 - SPREAD_PART * offset / SPREAD_STEPS as f64;
        (job.time_to_deadline / 3).mul_f64(part)
    }

    pub(super) fn take_on(&mut self, job: Job, late: bool, before_others: bool, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let tails = tails(&job, &self.benches);
        let longest = tails.iter().max().copied().unwrap_or_default();
        let feeds = |index: usize| job.stages.iter().any(|s| s.depends_on.contains(&index));
        let stages = job
            .stages
            .iter()
            .zip(tails)
            .enumerate()
            .map(|(number, (stage, tail))| {
                let alone = stage.depends_on.is_empty() && !feeds(number);
                let spare = longest.saturating_sub(tail + self.config.early);
                StageState {
                    pieces: vec![Progress::Blocked; stage.pieces as usize],
                    tail,
                    not_before: if alone { now + spare } else { now },
                    queued_at: None,
                }
            })
            .collect();
        let id = job.id.clone();
        let state = JobState {
            sequence,
            aim: now + job.time_to_soft_deadline,
            deadline: now + job.time_to_deadline,
            late,
            parked: late,
            before_others,
            stages,
            rebuilds: 0,
            delivered: false,
            job,
        };
        let index = self.jobs.insert(state);
        self.by_id.insert(id, index);
        self.take_results(index, now);
        self.advance(index, now);
    }

    /// Gives up jobs that can't end before their deadline, and puts late ones behind the others.
    pub(super) fn give_up_hopeless(&mut self, now: Instant) {
        let mut hopeless = Vec::new();
        let mut delayed = Vec::new();
        for (index, state) in &self.jobs {
            if state.delivered {
                if now > state.deadline + DELIVERED_KEPT {
                    hopeless.push((state.job.id.clone(), None));
                }
                continue;
            }
            let rest = state
                .stages
                .iter()
                .filter(|stage| !stage.finished())
                .map(|stage| stage.tail)
                .max()
                .unwrap_or_default();
            if now + rest > state.deadline || state.rebuilds > self.config.rebuilds {
                let left = state.deadline.saturating_duration_since(now);
                hopeless.push((state.job.id.clone(), Some(left / 3)));
            } else if !state.late && now + rest > state.aim {
                delayed.push(index);
            }
        }
        for (request, retry_after) in hopeless {
            let index = self.by_id.get(&request).filter(|_| retry_after.is_some());
            if let Some(state) = index.and_then(|index| self.jobs.get(*index)) {
                let (aim, deadline) = (state.aim, state.deadline);
                self.returns.refused(&state.job.key, aim, deadline, now);
                if !state.late {
                    self.fairness.missed(state.job.rank);
                }
            }
            self.cancel(&request, now);
            if let Some(retry_after) = retry_after {
                self.out.push(Action::GivenUp {
                    request,
                    retry_after,
                });
            }
        }
        for index in delayed {
            self.make_late(index);
        }
    }

    pub(super) fn make_late(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let mut moved = Vec::new();
        for number in 0..state.stages.len() {
            for piece in 0..state.stages[number].pieces.len() {
                if state.stages[number].pieces[piece] == Progress::Queued {
                    moved.push((number, piece, place(state, number, piece)));
                }
            }
        }
        if !std::mem::replace(&mut state.late, true) {
            self.fairness.missed(state.job.rank);
        }
        for (number, piece, old) in moved {
            let new = place(&self.jobs[index], number, piece);
            let pool = &self.jobs[index].job.stages[number].pool;
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&old);
                queue.insert(new, index);
            }
        }
    }

    /// The line of late jobs: by rank, callers that came back first, then by aim.
    fn line(&self) -> Vec<usize> {
        let parked = self.jobs.iter().filter(|(_, state)| state.parked);
        let place = |state: &JobState| (state.job.rank, !state.before_others, state.aim);
        let mut line: Vec<_> = parked.map(|(index, s)| (place(s), index)).collect();
        line.sort_unstable();
        line.into_iter().map(|(_, index)| index).collect()
    }

    /// Late jobs begin while their pools have spare capacity, the first in line first.
    pub(super) fn begin_parked(&mut self, now: Instant) {
        let line = self.line();
        if line.is_empty() {
            return;
        }
        let mut loads = self.loads(now);
        for index in line {
            let stages = &self.jobs[index].job.stages;
            let spare = stages.iter().filter(|stage| stage.pieces > 0).all(|stage| {
                let load = loads.get(&stage.pool);
                load.is_some_and(|load| load.queue_time() < self.config.spare_backlog)
            });
            if !spare {
                continue;
            }
            for stage in stages {
                if let Some(load) = loads.get_mut(&stage.pool) {
                    load.queued += u64::from(stage.pieces);
                }
            }
            self.jobs[index].parked = false;
            self.advance(index, now);
        }
    }

    /// Gives up late jobs that would not end in time behind those before them in line.
    pub(super) fn give_up_parked(&mut self, now: Instant) {
        if self.parked_check.is_some_and(|at| now < at) {
            return;
        }
        self.parked_check = Some(now + self.config.parked_check);
        let line = self.line();
        if line.is_empty() {
            return;
        }
        let mut loads = self.loads(now);
        for load in loads.values_mut() {
            load.parked = [0; RANKS];
        }
        let mut hopeless = Vec::new();
        for index in line {
            let state = &self.jobs[index];
            let left = state.deadline.saturating_duration_since(now);
            let rest = state.rest();
            let forecast = forecast(&rest, &loads);
            if forecast.is_some_and(|f| f.behind_all > left.mul_f64(self.config.line_part)) {
                hopeless.push((index, left));
                continue;
            }
            for stage in &rest.stages {
                if let Some(load) = loads.get_mut(&stage.pool) {
                    load.late += u64::from(stage.pieces);
                }
            }
        }
        for (index, left) in hopeless {
            let state = &self.jobs[index];
            let (request, key) = (state.job.id.clone(), state.job.key.clone());
            self.returns.refused(&key, state.aim, state.deadline, now);
            self.cancel(&request, now);
            self.out.push(Action::GivenUp {
                request,
                retry_after: left / 3,
            });
        }
    }

    /// Remembers what the caller of a refused job will come back with.
    pub(super) fn remember_refused(&mut self, job: &Job, now: Instant) {
        let (aim, deadline) = (now + job.time_to_soft_deadline, now + job.time_to_deadline);
        self.returns.refused(&job.key, aim, deadline, now);
    }

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

    /// Queues every blocked piece whose predecessors are finished; hands over a finished job.
    pub(super) fn advance(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        if state.delivered || state.parked {
            return;
        }
        let finished: Vec<bool> = state.stages.iter().map(StageState::finished).collect();
        for number in 0..state.stages.len() {
            let stage = &state.job.stages[number];
            if !stage
                .depends_on
                .iter()
                .all(|dependency| finished[*dependency])
            {
                continue;
            }
            if now < state.stages[number].not_before {
                self.deferred.push((state.stages[number].not_before, index));
                continue;
            }
            state.stages[number].queued_at.get_or_insert(now);
            for piece in 0..state.stages[number].pieces.len() {
                if state.stages[number].pieces[piece] != Progress::Blocked {
                    continue;
                }
                state.stages[number].pieces[piece] = Progress::Queued;
                let place = place(state, number, piece);
                let queue = self
                    .queues
                    .entry(state.job.stages[number].pool.clone())
                    .or_default();
                queue.insert(place, index);
            }
        }
        if finished.iter().all(|finished| *finished) {
            let inputs = state.handles(state.final_stages()).unwrap_or_default();
            state.delivered = true;
            self.out.push(Action::Finished {
                request: state.job.id.clone(),
                inputs,
                bytes_by_domain: state.bytes_by_domain(),
            });
        }
    }

    pub(super) fn unqueue(&mut self, state: &JobState) {
        for (number, stage) in state.stages.iter().enumerate() {
            let Some(queue) = self.queues.get_mut(&state.job.stages[number].pool) else {
                continue;
            };
            for (piece, progress) in stage.pieces.iter().enumerate() {
                if *progress == Progress::Queued {
                    queue.remove(&place(state, number, piece));
                }
            }
        }
    }
}
