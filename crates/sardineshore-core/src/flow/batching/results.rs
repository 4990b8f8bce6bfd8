//! Results of jobs: taken over, released, made again.

use std::time::Instant;

use super::job::{Made, Progress, StageState};
use super::{BatchScheduler, place, release};
use crate::flow::config::Name;

impl BatchScheduler {
    /// Takes over results that an earlier owner had made, as far as their makers are known.
    pub(super) fn take_results(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        for made in std::mem::take(&mut state.job.results) {
            let Some(spec) = state.job.stages.get(made.stage) else {
                continue;
            };
            let Some(benches) = self.benches.get_mut(&spec.pool) else {
                continue;
            };
            for result in made.results {
                let Some(piece) = state.stages[made.stage].pieces.get_mut(result.piece) else {
                    continue;
                };
                let Some(bench) = benches.iter_mut().find(|b| b.id == result.server) else {
                    continue;
                };
                let until = now + bench.spec.result_ttl / 2;
                bench
                    .kept
                    .insert(result.handle.clone(), (spec.result_bytes, until));
                *piece = Progress::Made(Made {
                    handle: result.handle,
                    maker: result.server,
                    domain: result.domain,
                    until,
                });
            }
        }
    }

    /// Results that no unfinished stage and not the request itself needs are given up.
    pub(super) fn release_used_inputs(&mut self, index: usize, stage: usize, now: Instant) {
        let state = &self.jobs[index];
        if !state.stages[stage].finished() {
            return;
        }
        for dependency in &state.job.stages[stage].depends_on {
            let needed = state
                .job
                .stages
                .iter()
                .zip(&state.stages)
                .any(|(other, p)| other.depends_on.contains(dependency) && !p.finished());
            if needed {
                continue;
            }
            let pool = &state.job.stages[*dependency].pool;
            for progress in &state.stages[*dependency].pieces {
                if let Progress::Made(made) = progress {
                    release(&mut self.benches, pool, made, now);
                }
            }
        }
    }

    /// Makes the inputs of a stage again: one of them is gone.
    pub(super) fn remake_inputs(&mut self, index: usize, stage: usize, now: Instant) {
        self.count_rebuild(index);
        let state = &mut self.jobs[index];
        for dependency in state.job.stages[stage].depends_on.clone() {
            let pool = state.job.stages[dependency].pool.clone();
            for progress in &mut state.stages[dependency].pieces {
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
            for stage in 0..state.stages.len() {
                let needed = !state.feeds_another(stage)
                    || state
                        .job
                        .stages
                        .iter()
                        .zip(&state.stages)
                        .any(|(other, p)| other.depends_on.contains(&stage) && !p.finished());
                if !needed {
                    continue;
                }
                for progress in &mut state.stages[stage].pieces {
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
        let finished: Vec<bool> = state.stages.iter().map(StageState::finished).collect();
        for number in 0..state.stages.len() {
            let blocked = state.job.stages[number]
                .depends_on
                .iter()
                .any(|b| !finished[*b]);
            if !blocked {
                continue;
            }
            for piece in 0..state.stages[number].pieces.len() {
                if state.stages[number].pieces[piece] == Progress::Queued {
                    let place = place(state, number, piece);
                    if let Some(queue) = self.queues.get_mut(&state.job.stages[number].pool) {
                        queue.remove(&place);
                    }
                    state.stages[number].pieces[piece] = Progress::Blocked;
                }
            }
        }
    }
}
