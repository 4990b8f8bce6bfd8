//! Results of jobs on batch servers: adopting those of an earlier owner, releasing those that are
//! not needed any more, computing lost ones again.

use std::time::Instant;

use super::job::{PieceResult, Progress, StageState};
use super::{BatchScheduler, queue_key, release_result};
use crate::flow::config::Name;

impl BatchScheduler {
    /// Adopts the results of an earlier owner that are on known servers.
    pub(super) fn adopt_results(&mut self, index: usize, now: Instant) {
        let state = &mut self.jobs[index];
        for known in std::mem::take(&mut state.job.results) {
            let Some(spec) = state.job.stages.get(known.stage) else {
                continue;
            };
            let Some(servers) = self.pools.get_mut(&spec.pool) else {
                continue;
            };
            for result in known.results {
                let Some(piece) = state.stages[known.stage].pieces.get_mut(result.piece) else {
                    continue;
                };
                let Some(server) = servers.iter_mut().find(|known| known.id == result.server)
                else {
                    continue;
                };
                let expires_at = now + server.spec.result_ttl / 2;
                server
                    .stored
                    .insert(result.handle.clone(), (spec.result_bytes, expires_at));
                *piece = Progress::Done(PieceResult {
                    handle: result.handle,
                    server: result.server,
                    domain: result.domain,
                    expires_at,
                });
            }
        }
    }

    /// Releases the inputs of a finished stage that no unfinished stage needs.
    pub(super) fn release_used_inputs(&mut self, index: usize, stage: usize, now: Instant) {
        let state = &self.jobs[index];
        if !state.stages[stage].is_finished() {
            return;
        }
        for dependency in &state.job.stages[stage].depends_on {
            let needed = state
                .job
                .stages
                .iter()
                .zip(&state.stages)
                .any(|(other, p)| other.depends_on.contains(dependency) && !p.is_finished());
            if needed {
                continue;
            }
            let pool = &state.job.stages[*dependency].pool;
            for progress in &state.stages[*dependency].pieces {
                if let Progress::Done(result) = progress {
                    release_result(&mut self.pools, pool, result, now);
                }
            }
        }
    }

    /// Has all inputs of a stage computed again because one of them is missing.
    pub(super) fn recompute_inputs(&mut self, index: usize, stage: usize, now: Instant) {
        let state = &mut self.jobs[index];
        let mut has_inputs = false;
        for dependency in state.job.stages[stage].depends_on.clone() {
            let pool = state.job.stages[dependency].pool.clone();
            for progress in &mut state.stages[dependency].pieces {
                if let Progress::Done(result) = progress {
                    release_result(&mut self.pools, &pool, result, now);
                    *progress = Progress::Blocked;
                    has_inputs = true;
                }
            }
        }
        // Without inputs, they are computed again already for another piece.
        state.recomputations += u32::from(has_inputs);
        self.block_dependents(index);
    }

    /// Has the results of a lost server computed again if a job still needs them.
    pub(super) fn recompute_results_of(&mut self, server: &Name, now: Instant) {
        let indexes: Vec<usize> = self.jobs.iter().map(|(index, _)| index).collect();
        for index in indexes {
            let state = &mut self.jobs[index];
            if state.delivered {
                continue;
            }
            let mut lost = false;
            for stage in 0..state.stages.len() {
                let needed = !state.has_dependents(stage)
                    || state
                        .job
                        .stages
                        .iter()
                        .zip(&state.stages)
                        .any(|(other, p)| other.depends_on.contains(&stage) && !p.is_finished());
                if !needed {
                    continue;
                }
                for progress in &mut state.stages[stage].pieces {
                    if matches!(progress, Progress::Done(result) if result.server == *server) {
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

    /// Blocks queued pieces of stages whose dependencies are no longer finished.
    pub(super) fn block_dependents(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        let finished: Vec<bool> = state.stages.iter().map(StageState::is_finished).collect();
        for stage_index in 0..state.stages.len() {
            let blocked = state.job.stages[stage_index]
                .depends_on
                .iter()
                .any(|dependency| !finished[*dependency]);
            if !blocked {
                continue;
            }
            for piece in 0..state.stages[stage_index].pieces.len() {
                if state.stages[stage_index].pieces[piece] == Progress::Queued {
                    let key = queue_key(state, stage_index, piece);
                    if let Some(queue) = self.queues.get_mut(&state.job.stages[stage_index].pool) {
                        queue.remove(&key);
                    }
                    state.stages[stage_index].pieces[piece] = Progress::Blocked;
                }
            }
        }
    }
}
