//! Jobs that wait: taken on, begun, late, given up.

use std::time::{Duration, Instant};

use super::job::{Job, JobState, Progress, StepState};
use super::{Action, DELIVERED_KEPT, PieceBoard, SPREAD_PART, SPREAD_STEPS, place, tails};

impl PieceBoard {
    /// When a refused caller should come back: what it asked for will be late by then whatever it
    /// does, and it comes back once, so it waits as long as it can for the load to pass. Waits are
    /// spread so that those who return don't meet.
    pub(super) fn retry_after(&self, job: &Job) -> Duration {
        let steps = f64::from(u32::try_from(self.next_sequence % SPREAD_STEPS).unwrap_or(0));
        let part = 1.0 - SPREAD_PART * steps / SPREAD_STEPS as f64;
        (job.time_left / 3).mul_f64(part)
    }

    pub(super) fn take_on(&mut self, job: Job, late: bool, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let tails = tails(&job, &self.benches);
        let longest = tails.iter().max().copied().unwrap_or_default();
        let feeds = |number: usize| job.steps.iter().any(|step| step.after.contains(&number));
        let steps = job
            .steps
            .iter()
            .zip(tails)
            .enumerate()
            .map(|(number, (step, tail))| {
                let alone = step.after.is_empty() && !feeds(number);
                let spare = longest.saturating_sub(tail + self.config.early);
                StepState {
                    pieces: vec![Progress::Blocked; step.pieces as usize],
                    tail,
                    not_before: if alone { now + spare } else { now },
                    queued_at: None,
                }
            })
            .collect();
        let id = job.id.clone();
        let state = JobState {
            sequence,
            aim: now + job.aim_left,
            deadline: now + job.time_left,
            late,
            parked: late,
            steps,
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
                .steps
                .iter()
                .filter(|step| !step.finished())
                .map(|step| step.tail)
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
        for number in 0..state.steps.len() {
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] == Progress::Queued {
                    moved.push((number, piece, place(state, number, piece)));
                }
            }
        }
        state.late = true;
        for (number, piece, old) in moved {
            let new = place(&self.jobs[index], number, piece);
            let pool = &self.jobs[index].job.steps[number].pool;
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.remove(&old);
                queue.insert(new, index);
            }
        }
    }

    /// Late jobs begin while their pools have spare capacity, the most urgent first.
    pub(super) fn begin_parked(&mut self, now: Instant) {
        let mut parked: Vec<(u32, Instant, usize)> = self
            .jobs
            .iter()
            .filter(|(_, state)| state.parked)
            .map(|(index, state)| (state.job.rank, state.aim, index))
            .collect();
        if parked.is_empty() {
            return;
        }
        parked.sort_unstable();
        let mut loads = self.loads(now);
        for (_, _, index) in parked {
            let steps = &self.jobs[index].job.steps;
            let spare = steps.iter().filter(|step| step.pieces > 0).all(|step| {
                let load = loads.get(&step.pool);
                load.is_some_and(|load| load.queue_time() < self.config.spare_backlog)
            });
            if !spare {
                continue;
            }
            for step in steps {
                if let Some(load) = loads.get_mut(&step.pool) {
                    load.queued += u64::from(step.pieces);
                }
            }
            self.jobs[index].parked = false;
            self.advance(index, now);
        }
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
        let finished: Vec<bool> = state.steps.iter().map(StepState::finished).collect();
        for number in 0..state.steps.len() {
            let step = &state.job.steps[number];
            if !step.after.iter().all(|before| finished[*before]) {
                continue;
            }
            if now < state.steps[number].not_before {
                self.deferred.push((state.steps[number].not_before, index));
                continue;
            }
            state.steps[number].queued_at.get_or_insert(now);
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] != Progress::Blocked {
                    continue;
                }
                state.steps[number].pieces[piece] = Progress::Queued;
                let place = place(state, number, piece);
                let queue = self
                    .queues
                    .entry(state.job.steps[number].pool.clone())
                    .or_default();
                queue.insert(place, index);
            }
        }
        if finished.iter().all(|finished| *finished) {
            let inputs = state.handles(state.last_steps()).unwrap_or_default();
            state.delivered = true;
            self.out.push(Action::Finished {
                request: state.job.id.clone(),
                inputs,
                domains: state.bytes_by_domain(),
            });
        }
    }

    pub(super) fn unqueue(&mut self, state: &JobState) {
        for (number, step) in state.steps.iter().enumerate() {
            let Some(queue) = self.queues.get_mut(&state.job.steps[number].pool) else {
                continue;
            };
            for (piece, progress) in step.pieces.iter().enumerate() {
                if *progress == Progress::Queued {
                    queue.remove(&place(state, number, piece));
                }
            }
        }
    }
}
