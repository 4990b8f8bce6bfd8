//! Results of jobs: taken over, released, made again.

use std::time::Instant;

use super::job::{Made, Progress, StepState};
use super::{BatchScheduler, place, release};
use crate::flow::site::Name;

impl BatchScheduler {
    /// Takes over results that an earlier owner had made, as far as their makers are known.
    pub(super) fn take_results(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        for made in std::mem::take(&mut state.job.made) {
            let Some(spec) = state.job.steps.get(made.step) else {
                continue;
            };
            let Some(benches) = self.benches.get_mut(&spec.pool) else {
                continue;
            };
            for result in made.results {
                let Some(piece) = state.steps[made.step].pieces.get_mut(result.piece) else {
                    continue;
                };
                let Some(bench) = benches.iter_mut().find(|b| b.id == result.maker) else {
                    continue;
                };
                let until = now + bench.spec.keep / 2;
                bench
                    .kept
                    .insert(result.handle.clone(), (spec.bytes, until));
                *piece = Progress::Made(Made {
                    handle: result.handle,
                    maker: result.maker,
                    domain: result.domain,
                    until,
                });
            }
        }
    }

    /// Results that no unfinished stage and not the request itself needs are given up.
    pub(super) fn release_used_inputs(&mut self, index: usize, step: usize, now: Instant) {
        let state = &self.jobs[index];
        if !state.steps[step].finished() {
            return;
        }
        for before in &state.job.steps[step].after {
            let needed = state
                .job
                .steps
                .iter()
                .zip(&state.steps)
                .any(|(other, progress)| other.after.contains(before) && !progress.finished());
            if needed {
                continue;
            }
            let pool = &state.job.steps[*before].pool;
            for progress in &state.steps[*before].pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, pool, made, now);
                }
            }
        }
    }

    /// Makes the inputs of a stage again: one of them is gone.
    pub(super) fn remake_inputs(&mut self, index: usize, step: usize, now: Instant) {
        self.count_rebuild(index);
        let state = &mut self.jobs[index];
        for before in state.job.steps[step].after.clone() {
            let pool = state.job.steps[before].pool.clone();
            for progress in &mut state.steps[before].pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, &pool, made, now);
                    *progress = Progress::Blocked;
                }
            }
        }
        self.block_dependents(index);
    }

    /// Makes again what a lost server kept and somebody still needs.
    pub(super) fn remake_results_of(&mut self, server: &Name, now: Instant) {
        let indexes: Vec<usize> = self.jobs.iter().map(|(index, _)| index).collect();
        for index in indexes {
            let state = &mut self.jobs[index];
            if state.delivered {
                continue;
            }
            let mut lost = false;
            for step in 0..state.steps.len() {
                let needed = !state.feeds_another(step)
                    || state
                        .job
                        .steps
                        .iter()
                        .zip(&state.steps)
                        .any(|(other, p)| other.after.contains(&step) && !p.finished());
                if !needed {
                    continue;
                }
                for progress in &mut state.steps[step].pieces {
                    if matches!(progress, Progress::Made(made) if made.maker == *server) {
                        *progress = Progress::Blocked;
                        lost = true;
                    }
                }
            }
            if lost {
                self.block_dependents(index);
                self.advance(index, now);
            }
        }
    }

    /// Queued pieces whose predecessors are no longer finished wait again.
    pub(super) fn block_dependents(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let finished: Vec<bool> = state.steps.iter().map(StepState::finished).collect();
        for number in 0..state.steps.len() {
            let blocked = state.job.steps[number].after.iter().any(|b| !finished[*b]);
            if !blocked {
                continue;
            }
            for piece in 0..state.steps[number].pieces.len() {
                if state.steps[number].pieces[piece] == Progress::Queued {
                    let place = place(state, number, piece);
                    if let Some(queue) = self.queues.get_mut(&state.job.steps[number].pool) {
                        queue.remove(&place);
                    }
                    state.steps[number].pieces[piece] = Progress::Blocked;
                }
            }
        }
    }
}
