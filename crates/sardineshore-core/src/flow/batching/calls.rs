//! Calls of the scheduler to batch servers: forming a batch, detecting slow calls, handling the
//! end of a call.

use std::collections::{BTreeSet, HashSet};
use std::time::Instant;

use slab::Slab;

use super::job::{JobState, PieceResult, Precedence, Progress};
use super::piece_times::ClassCounts;
use super::server::ServerState;
use super::{
    Action, BatchScheduler, CALL_TIMEOUT_FACTOR, CallOutcome, MIN_CALL_TIMEOUT, PieceError,
    REJECTED_BACKOFF, RunningCall, SentPiece, call_piece, find_server, queue_key,
};
use crate::duration::multiplied;
use crate::flow::config::Name;

/// Piece times are not learned from calls of servers that are this much slower or faster than the
/// middle one of their pool.
const MAX_RELATIVE_SLOWNESS: f64 = 1.3;

/// Number of the pieces of each class.
fn class_counts(jobs: &Slab<JobState>, sent: &[SentPiece]) -> ClassCounts {
    let mut counts = ClassCounts::new();
    for piece in sent {
        let class = jobs[piece.index].stages[piece.stage].class;
        match counts.iter_mut().find(|(known, _)| *known == class) {
            Some((_, count)) => *count += 1,
            None => counts.push((class, 1)),
        }
    }
    counts
}

impl BatchScheduler {
    /// Handles the end of a call: stores its results and queues failed pieces again. Unknown calls
    /// are ignored.
    pub fn call_ended(&mut self, call_id: u64, outcome: &CallOutcome, now: Instant) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let mut broken = false;
        if let CallOutcome::Answered(_) = outcome {
            self.record_call_time(&call, now);
        }
        let work = self.piece_times.work(&call.classes);
        let server = find_server(&mut self.pools, &call.pool, &call.server);
        if let Some(server) = server {
            server.running_calls = server.running_calls.saturating_sub(1);
            server.reserved_bytes = server.reserved_bytes.saturating_sub(call.reserved_bytes);
            match outcome {
                CallOutcome::Answered(_) => {
                    server.record_success(now.duration_since(call.started_at), work);
                }
                CallOutcome::Rejected => server.backoff_until = Some(now + REJECTED_BACKOFF),
                CallOutcome::Broken => {
                    server.record_failure(now);
                    broken = true;
                }
                CallOutcome::TimedOut => server.record_timeout(now),
            }
        }
        let mut failed = BTreeSet::new();
        for (position, piece) in call.pieces.iter().enumerate() {
            let result = match outcome {
                CallOutcome::Answered(results) => results.get(position).cloned(),
                CallOutcome::Rejected | CallOutcome::Broken | CallOutcome::TimedOut => None,
            };
            let has_failed = match result {
                Some(Err(PieceError::Failed)) => self.is_wanted(*piece),
                // Inputs that a stage computes count when they are dropped.
                Some(Err(PieceError::InputMissing)) => {
                    self.is_wanted(*piece) && !self.jobs[piece.index].has_inputs(piece.stage)
                }
                _ => false,
            };
            if has_failed {
                failed.insert(piece.index);
            }
            self.piece_ended(&call, *piece, result, now);
        }
        for index in failed {
            self.jobs[index].recomputations += 1;
        }
        if broken {
            self.recompute_results_of(&call.server, now);
        }
    }

    /// Learns piece times from a call, unless its server is faster or slower than others.
    fn record_call_time(&mut self, call: &RunningCall, now: Instant) {
        let Some(servers) = self.pools.get(&call.pool) else {
            return;
        };
        let mut slowness: Vec<f64> = servers.iter().map(|server| server.slowness).collect();
        slowness.sort_by(f64::total_cmp);
        let Some(server) = servers.iter().find(|server| server.id == call.server) else {
            return;
        };
        let relative = server.slowness / slowness[slowness.len() / 2].max(0.001);
        if (1.0 / MAX_RELATIVE_SLOWNESS..MAX_RELATIVE_SLOWNESS).contains(&relative) {
            let took = now.duration_since(call.started_at);
            self.piece_times.record(&call.classes, &server.spec, took);
        }
    }

    /// Whether a job still needs the result of a piece.
    fn is_wanted(&self, sent: SentPiece) -> bool {
        let state = self.jobs.get(sent.index);
        // A later job under the same index may have fewer stages.
        state
            .filter(|state| state.sequence == sent.sequence)
            .is_some_and(|state| {
                let progress = &state.stages[sent.stage].pieces[sent.piece];
                !matches!(progress, Progress::Done(_))
            })
    }

    /// Handles the outcome of one piece of a call; `result` is `None` if the call gave none.
    pub(super) fn piece_ended(
        &mut self,
        call: &RunningCall,
        sent: SentPiece,
        result: Option<Result<Name, PieceError>>,
        now: Instant,
    ) {
        let SentPiece {
            index,
            stage,
            piece,
            ..
        } = sent;
        let wanted = self.is_wanted(sent);
        match result {
            Some(Ok(handle)) => self.store_result(call, sent, handle, wanted, now),
            Some(Err(error)) if wanted => {
                self.leave_call(index, stage, piece);
                match error {
                    PieceError::InputMissing => self.recompute_inputs(index, stage, now),
                    PieceError::DeadlineExceeded | PieceError::Failed => {}
                    PieceError::OutOfMemory => {
                        if let Some(server) = find_server(&mut self.pools, &call.pool, &call.server)
                        {
                            server.record_out_of_memory(now);
                        }
                    }
                }
            }
            None if wanted => self.leave_call(index, stage, piece),
            Some(Err(_)) | None => {}
        }
        if self.jobs.contains(index) {
            self.advance(index, now);
        }
    }

    /// Records a result and the memory that it occupies; one that is not wanted is released.
    pub(super) fn store_result(
        &mut self,
        call: &RunningCall,
        sent: SentPiece,
        handle: Name,
        wanted: bool,
        now: Instant,
    ) {
        let SentPiece {
            index,
            stage,
            piece,
            ..
        } = sent;
        let Some(server) = find_server(&mut self.pools, &call.pool, &call.server) else {
            if wanted {
                self.leave_call(index, stage, piece);
            }
            return;
        };
        let expires_at = now + server.spec.result_ttl;
        server
            .stored
            .insert(handle.clone(), (sent.result_bytes, expires_at));
        if !wanted {
            server.release(&handle, now);
            return;
        }
        let piece_result = PieceResult {
            handle,
            server: call.server.clone(),
            domain: server.domain.clone(),
            expires_at,
        };
        let state = &mut self.jobs[index];
        if state.stages[stage].pieces[piece] == Progress::Queued {
            let key = queue_key(state, stage, piece);
            if let Some(queue) = self.queues.get_mut(&call.pool) {
                queue.remove(&key);
            }
        }
        state.stages[stage].pieces[piece] = Progress::Done(piece_result);
        if state.stages[stage].is_finished() {
            self.actions.push(Action::StageEnded {
                request: state.job.id.clone(),
                results: state.results_of(stage),
            });
        }
        self.release_used_inputs(index, stage, now);
    }

    /// Records that a call ended without a result for a piece. The piece is queued again unless it
    /// is in another call or the queue already.
    pub(super) fn leave_call(&mut self, index: usize, stage: usize, piece: usize) {
        let progress = &mut self.jobs[index].stages[stage].pieces[piece];
        match progress {
            Progress::Running(1) => *progress = Progress::Blocked,
            Progress::Running(count) => *count -= 1,
            Progress::Blocked | Progress::Queued | Progress::Done(_) => {}
        }
    }

    /// Queues the pieces of slow calls again, for another server. The slow call goes on, and the
    /// first result is taken.
    pub(super) fn requeue_slow_calls(&mut self, now: Instant) {
        let mut slow = Vec::new();
        for call in self.calls.values_mut() {
            if call.slow_at.is_some_and(|at| now >= at) {
                call.slow_at = None;
                slow.extend(call.pieces.iter().copied());
                if let Some(server) = find_server(&mut self.pools, &call.pool, &call.server) {
                    server.slowness = server.slowness.max(self.config.slow_call_factor);
                }
            }
        }
        for sent in slow {
            let SentPiece {
                index,
                stage,
                piece,
                ..
            } = sent;
            let Some(state) = self.jobs.get_mut(index) else {
                continue;
            };
            if state.sequence != sent.sequence {
                continue;
            }
            // Only the slow call can still end in time if another one can't.
            let has_time = now + state.stages[stage].remaining_time <= state.deadline;
            let progress = &mut state.stages[stage].pieces[piece];
            if has_time && matches!(progress, Progress::Running(_)) {
                // Not `Queued`: its inputs may have been lost and have to be computed again first.
                *progress = Progress::Blocked;
                self.advance(index, now);
            }
        }
    }

    /// Starts one call of a pool if a server is free and has memory for a queued piece. Returns
    /// whether a call was started.
    pub(super) fn start_call(&mut self, pool: &Name, now: Instant) -> bool {
        let Some(queue) = self.queues.get_mut(pool) else {
            return false;
        };
        if queue.is_empty() {
            return false;
        }
        let Some(servers) = self.pools.get_mut(pool) else {
            return false;
        };
        let served: HashSet<Name> = servers
            .iter()
            .filter(|server| server.is_available(now))
            .map(|server| server.domain.clone())
            .collect();
        let mut free: Vec<&mut ServerState> = servers
            .iter_mut()
            .filter(|server| !server.draining && server.has_free_slot(now))
            .collect();
        free.sort_by(|a, b| {
            let by_failures = a.consecutive_failures.cmp(&b.consecutive_failures);
            by_failures.then(a.slowness.total_cmp(&b.slowness))
        });
        let mut chosen = None;
        for server in free {
            let mut free_bytes = server.free_bytes(now);
            let mut taken = Vec::new();
            let mut reserved_bytes = 0;
            // Pieces that prefer the server's own failure domain go first: under load a piece has
            // waited because of the load, and moving its results between domains would not make
            // any queue shorter.
            let order = Precedence::ALL.map(|precedence| [(precedence, false), (precedence, true)]);
            for (precedence, cross_domain) in order.into_iter().flatten() {
                for (key, index) in queue.iter().filter(|(key, _)| key.0 == precedence) {
                    if taken.len() >= server.spec.max_batch.max(1) as usize {
                        break;
                    }
                    let state = &self.jobs[*index];
                    let size = state.job.stages[key.3].result_bytes;
                    let domain = state.preferred_domain(key.3);
                    let crosses = domain.is_some_and(|d| *d != server.domain && served.contains(d));
                    let waits = crosses && self.config.waits_for_domain(state, key.3, now);
                    if crosses != cross_domain || waits || size > free_bytes {
                        continue;
                    }
                    free_bytes -= size;
                    reserved_bytes += size;
                    taken.push((*key, *index));
                }
            }
            if !taken.is_empty() {
                chosen = Some((server, taken, reserved_bytes));
                break;
            }
        }
        let Some((server, taken, reserved_bytes)) = chosen else {
            return false;
        };
        let mut pieces = Vec::with_capacity(taken.len());
        let mut sent = Vec::with_capacity(taken.len());
        for (key, index) in taken {
            queue.remove(&key);
            let (_, _, sequence, stage, piece) = key;
            let state = &mut self.jobs[index];
            state.stages[stage].pieces[piece] = Progress::Running(1);
            state.stages[stage].sent_at = Some(now);
            pieces.push(call_piece(state, stage, piece, now));
            sent.push(SentPiece {
                index,
                sequence,
                stage,
                piece,
                result_bytes: state.job.stages[stage].result_bytes,
            });
        }
        let classes = class_counts(&self.jobs, &sent);
        let work = self.piece_times.work(&classes);
        self.recent_calls.record(pool, work);
        let expected = server.expected_call_time(work);
        let slow_after =
            multiplied(expected, self.config.slow_call_factor) + self.config.slow_call_slack;
        server.record_request(now);
        server.running_calls += 1;
        server.reserved_bytes += reserved_bytes;
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.actions.push(Action::Call {
            call_id,
            server: server.id.clone(),
            address: server.address,
            pieces,
            timeout: (slow_after * CALL_TIMEOUT_FACTOR).max(MIN_CALL_TIMEOUT),
        });
        let call = RunningCall {
            pool: pool.clone(),
            server: server.id.clone(),
            pieces: sent,
            classes,
            reserved_bytes,
            started_at: now,
            slow_at: Some(now + slow_after),
        };
        self.calls.insert(call_id, call);
        true
    }

    /// Tells servers which results are released, once these occupy much memory or the release delay
    /// has passed.
    pub(super) fn flush_releases(&mut self, now: Instant) {
        for server in self.pools.values_mut().flatten() {
            if server.accepts_requests(now) && server.release_is_due(now, self.config.release_delay)
            {
                server.record_request(now);
                self.actions.push(Action::ReleaseResults {
                    server: server.id.clone(),
                    address: server.address,
                    handles: server.take_pending_release(now),
                });
            }
        }
    }

    /// Records the end of a release of results. If the server was silent, it is told again later.
    pub fn release_ended(&mut self, server: &str, handles: &[Name], timed_out: bool, now: Instant) {
        let mut servers = self.pools.values_mut().flatten();
        if let Some(known) = servers.find(|known| *known.id == *server) {
            known.release_ended(handles, timed_out, now);
        }
    }
}
