//! Calls of a board: started, suspected, ended.

use std::collections::HashSet;
use std::time::Instant;

use super::job::{Made, Progress};
use super::server::Bench;
use super::{
    Action, BatchScheduler, CallOutcome, Flight, FlownPiece, PATIENCE_FACTOR, PieceError,
    REJECTED_REST, ask, find, place,
};
use crate::flow::config::Name;

impl BatchScheduler {
    /// Records the end of a call.
    pub fn call_ended(&mut self, call: u64, end: &CallOutcome, now: Instant) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        let mut broken = false;
        let bench = find(&mut self.benches, &flight.pool, &flight.server);
        if let Some(bench) = bench {
            bench.calls = bench.calls.saturating_sub(1);
            bench.promised = bench.promised.saturating_sub(flight.bytes);
            match end {
                CallOutcome::Answered(_) => {
                    let pieces = u32::try_from(flight.pieces.len()).unwrap_or(u32::MAX);
                    bench.succeeded(now.duration_since(flight.started), pieces);
                }
                CallOutcome::Rejected => bench.rests_until = Some(now + REJECTED_REST),
                CallOutcome::Broken => {
                    bench.failed(now);
                    broken = true;
                }
            }
        }
        for (position, piece) in flight.pieces.iter().enumerate() {
            let result = match end {
                CallOutcome::Answered(ends) => ends.get(position).cloned(),
                CallOutcome::Rejected | CallOutcome::Broken => None,
            };
            self.piece_ended(&flight, *piece, result, now);
        }
        if broken {
            self.remake_results_of(&flight.server, now);
        }
    }

    pub(super) fn piece_ended(
        &mut self,
        flight: &Flight,
        flown: FlownPiece,
        result: Option<Result<Name, PieceError>>,
        now: Instant,
    ) {
        let FlownPiece {
            index,
            stage,
            piece,
            ..
        } = flown;
        let wanted = self
            .jobs
            .get(index)
            .is_some_and(|state| state.sequence == flown.sequence)
            && !matches!(
                self.jobs[index].stages[stage].pieces[piece],
                Progress::Made(_)
            );
        match result {
            Some(Ok(handle)) => self.keep(flight, flown, handle, wanted, now),
            Some(Err(fault)) if wanted => {
                self.uncall(index, stage, piece);
                match fault {
                    PieceError::InputMissing => self.remake_inputs(index, stage, now),
                    PieceError::DeadlineExceeded => {}
                    PieceError::OutOfMemory => {
                        if let Some(b) = find(&mut self.benches, &flight.pool, &flight.server) {
                            b.found_full(now);
                        }
                    }
                    PieceError::Failed => self.count_rebuild(index),
                }
            }
            None if wanted => self.uncall(index, stage, piece),
            Some(Err(_)) | None => {}
        }
        if self.jobs.contains(index) {
            self.advance(index, now);
        }
    }

    pub(super) fn keep(
        &mut self,
        flight: &Flight,
        flown: FlownPiece,
        handle: Name,
        wanted: bool,
        now: Instant,
    ) {
        let FlownPiece {
            index,
            stage,
            piece,
            ..
        } = flown;
        let Some(bench) = find(&mut self.benches, &flight.pool, &flight.server) else {
            if wanted {
                self.uncall(index, stage, piece);
            }
            return;
        };
        let until = now + bench.spec.result_ttl;
        bench.kept.insert(handle.clone(), (flown.bytes, until));
        if !wanted {
            bench.release(&handle, now);
            return;
        }
        let made = Made {
            handle,
            maker: flight.server.clone(),
            domain: bench.domain.clone(),
            until,
        };
        let state = &mut self.jobs[index];
        if state.stages[stage].pieces[piece] == Progress::Queued {
            let place = place(state, stage, piece);
            if let Some(queue) = self.queues.get_mut(&flight.pool) {
                queue.remove(&place);
            }
        }
        state.stages[stage].pieces[piece] = Progress::Made(made);
        if state.stages[stage].finished() {
            self.out.push(Action::StageEnded {
                request: state.job.id.clone(),
                results: state.results_of(stage),
            });
        }
        self.release_used_inputs(index, stage, now);
    }

    /// A piece left a call without a result: it is queued again unless another call has it.
    pub(super) fn uncall(&mut self, index: usize, stage: usize, piece: usize) {
        let progress = &mut self.jobs[index].stages[stage].pieces[piece];
        match progress {
            Progress::Called(1) => *progress = Progress::Blocked,
            Progress::Called(count) => *count -= 1,
            Progress::Blocked | Progress::Queued | Progress::Made(_) => {}
        }
    }

    /// Pieces of calls that take too long are queued again, for another server.
    pub(super) fn suspect_slow_calls(&mut self, now: Instant) {
        let mut slow = Vec::new();
        for flight in self.flights.values_mut() {
            if flight.suspect_at.is_some_and(|at| now >= at) {
                flight.suspect_at = None;
                slow.extend(flight.pieces.iter().copied());
                if let Some(bench) = find(&mut self.benches, &flight.pool, &flight.server) {
                    bench.slowness = bench.slowness.max(self.config.suspect_factor);
                }
            }
        }
        for flown in slow {
            let FlownPiece {
                index,
                stage,
                piece,
                ..
            } = flown;
            let Some(state) = self.jobs.get_mut(index) else {
                continue;
            };
            if state.sequence != flown.sequence {
                continue;
            }
            let progress = &mut state.stages[stage].pieces[piece];
            if matches!(progress, Progress::Called(_)) {
                // Its inputs may have to be made again first.
                *progress = Progress::Blocked;
                self.advance(index, now);
            }
        }
    }

    /// Starts one call of a pool if a server is free and pieces wait that it may take.
    pub(super) fn start_call(&mut self, pool: &Name, now: Instant) -> bool {
        let Some(queue) = self.queues.get_mut(pool) else {
            return false;
        };
        if queue.is_empty() {
            return false;
        }
        let Some(benches) = self.benches.get_mut(pool) else {
            return false;
        };
        let served: HashSet<Name> = benches
            .iter()
            .filter(|bench| bench.is_usable(now))
            .map(|bench| bench.domain.clone())
            .collect();
        let mut free: Vec<&mut Bench> = benches
            .iter_mut()
            .filter(|bench| !bench.leaving && bench.is_free(now))
            .collect();
        free.sort_by(|a, b| {
            let by_failures = a.failures.cmp(&b.failures);
            by_failures.then(a.slowness.total_cmp(&b.slowness))
        });
        let mut chosen = None;
        for bench in free {
            let mut room = bench.room(now);
            let mut taken = Vec::new();
            let mut bytes = 0;
            // Own pieces first: under load a piece has waited because of the load, and results
            // that cross domains would not shorten any queue.
            for (late, foreign) in [(false, false), (false, true), (true, false), (true, true)] {
                for (place, index) in queue.iter().filter(|(place, _)| place.0 == late) {
                    if taken.len() >= bench.spec.max_batch.max(1) as usize {
                        break;
                    }
                    let state = &self.jobs[*index];
                    let size = state.job.stages[place.3].result_bytes;
                    let domain = state.domain_of(place.3);
                    let crosses = domain.is_some_and(|d| *d != bench.domain && served.contains(d));
                    let waits = crosses && self.config.waits_for_domain(state, place.3, now);
                    if crosses != foreign || waits || size > room {
                        continue;
                    }
                    room -= size;
                    bytes += size;
                    taken.push((*place, *index));
                }
            }
            if !taken.is_empty() {
                chosen = Some((bench, taken, bytes));
                break;
            }
        }
        let Some((bench, taken, bytes)) = chosen else {
            return false;
        };
        let mut pieces = Vec::with_capacity(taken.len());
        let mut flown = Vec::with_capacity(taken.len());
        for (place, index) in taken {
            queue.remove(&place);
            let (_, _, sequence, stage, piece) = place;
            let state = &mut self.jobs[index];
            state.stages[stage].pieces[piece] = Progress::Called(1);
            pieces.push(ask(state, stage, piece, now));
            flown.push(FlownPiece {
                index,
                sequence,
                stage,
                piece,
                bytes: state.job.stages[stage].result_bytes,
            });
        }
        let expected = bench.call_time(u32::try_from(pieces.len()).unwrap_or(u32::MAX));
        let suspect = expected.mul_f64(self.config.suspect_factor) + self.config.suspect_slack;
        bench.calls += 1;
        bench.promised += bytes;
        let call_id = self.next_call;
        self.next_call += 1;
        self.out.push(Action::Call {
            call_id,
            server: bench.id.clone(),
            address: bench.address,
            pieces,
            timeout: suspect * PATIENCE_FACTOR,
        });
        let flight = Flight {
            pool: pool.clone(),
            server: bench.id.clone(),
            pieces: flown,
            bytes,
            started: now,
            suspect_at: Some(now + suspect),
        };
        self.flights.insert(call_id, flight);
        true
    }

    pub(super) fn flush_freed(&mut self, now: Instant) {
        for bench in self.benches.values_mut().flatten() {
            if bench.frees_are_due(now, self.config.free_delay) {
                self.out.push(Action::ReleaseResults {
                    server: bench.id.clone(),
                    address: bench.address,
                    handles: bench.take_freed(now),
                });
            }
        }
    }

    pub(super) fn count_rebuild(&mut self, index: usize) {
        self.jobs[index].rebuilds += 1;
    }
}
