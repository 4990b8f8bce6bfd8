//! Results of jobs on batch servers: adopting those of an earlier owner, releasing those that are
//! not needed any more, computing lost ones again.

use std::collections::HashSet;
use std::time::Instant;

use super::job::{PieceResult, Progress, StageState};
use super::server::ServerState;
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

    /// Handles of the results that unfinished jobs use, by server; none while no server is short of
    /// memory for results.
    #[must_use]
    pub fn scarce_results(&self) -> Vec<(Name, Vec<Name>)> {
        let servers = || self.pools.values().flatten();
        if !servers().any(ServerState::is_short_of_memory) {
            return Vec::new();
        }
        let delivered = self.jobs.iter().filter(|(_, state)| state.delivered);
        let delivered = delivered.flat_map(|(_, state)| &state.stages);
        let delivered: HashSet<&Name> = delivered
            .flat_map(|stage| &stage.pieces)
            .filter_map(|progress| match progress {
                Progress::Done(result) => Some(&result.handle),
                _ => None,
            })
            .collect();
        let in_use = servers().map(|server| {
            let handles = server.stored.keys().filter(|h| !delivered.contains(h));
            (server.id.clone(), handles.cloned().collect())
        });
        in_use
            .filter(|(_, handles): &(_, Vec<_>)| !handles.is_empty())
            .collect()
    }

    /// TRIAL
    #[must_use]
    pub fn memory_text(&self) -> String {
        let mut out = String::new();
        for server in self.pools.values().flatten() {
            let stored: u64 = server.stored.values().map(|(bytes, _)| *bytes).sum();
            if stored * 5 > server.spec.result_memory_bytes {
                out += &format!(
                    "{}:{}%/{} ",
                    server.id,
                    stored * 100 / server.spec.result_memory_bytes,
                    server.stored.len()
                );
            }
        }
        format!("{out} jobs {}", self.jobs.len())
    }

    /// Releases results of a lost owner that no job has brought along.
    pub fn release_orphans(&mut self, results: Vec<(Name, Vec<Name>)>, now: Instant) {
        let delay = self.config.release_delay;
        for (id, handles) in results {
            let mut servers = self.pools.values_mut().flatten();
            if let Some(server) = servers.find(|server| server.id == id) {
                server.release_orphans(handles, delay, now);
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
        self.count_recomputation(index);
        let state = &mut self.jobs[index];
        for dependency in state.job.stages[stage].depends_on.clone() {
            let pool = state.job.stages[dependency].pool.clone();
            for progress in &mut state.stages[dependency].pieces {
                if let Progress::Done(result) = progress {
                    release_result(&mut self.pools, &pool, result, now);
                    *progress = Progress::Blocked;
                }
            }
        }
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
