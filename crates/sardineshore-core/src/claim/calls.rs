//! The non-idempotent calls of the claimant: part of [`ClaimMachine`] while it holds the claim.
//!
//! Decides at the last moment whether a call may be sent, and asks the backend server whether a
//! call ran when its connection was lost.

use std::sync::Arc;
use std::time::Instant;

use super::{
    ClaimAction, ClaimMachine, ClaimServer, ClaimState, DispatchResult, Phase, RunReport,
    RunResult, run_id,
};
use crate::{NotRunReason, Outcome, ServerId, UnknownReason};

/// State of the claimant's non-idempotent calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct CallState {
    /// Whether any call is known to have run.
    ran: bool,
    /// The dispatched call whose result is not known; at most one.
    pending: Option<PendingCall>,
}

/// Stage and backend server that a call is about to be sent to.
#[derive(Debug, Clone)]
pub(super) struct CallTarget {
    pub(super) stage: u32,
    pub(super) server: ServerId,
    pub(super) incarnation: u64,
}

/// A dispatched call whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingCall {
    stage: u32,
    server: ServerId,
    /// Why its answer was lost; `None` while the answer may still come.
    lost: Option<UnknownReason>,
    /// Status queries left for a server that gives no usable answer.
    queries_left: u8,
    /// When to send the next status query.
    query_at: Option<Instant>,
}

impl CallState {
    /// Whether a call ran or may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.ran || self.pending.is_some()
    }

    /// When to query the status of a lost call again.
    pub(super) fn query_at(&self) -> Option<Instant> {
        self.pending.as_ref().and_then(|call| call.query_at)
    }
}

impl ClaimMachine {
    /// Allows or denies a call just before it is sent; ends the request if its deadline has
    /// passed.
    pub(super) fn on_dispatch_requested(
        &mut self,
        target: CallTarget,
        may_dispatch: bool,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.phase != Phase::Held || self.calls.pending.is_some() {
            return;
        }
        if now >= self.req.deadline {
            self.tick_run(now, out);
            return;
        }
        if !may_dispatch || !self.allowed_by_row(&target) {
            return;
        }
        let CallTarget { stage, server, .. } = target;
        self.calls.pending = Some(PendingCall {
            stage,
            server: server.clone(),
            lost: None,
            queries_left: self.cfg.max_status_queries,
            query_at: None,
        });
        out.push(ClaimAction::Dispatch {
            server,
            run_id: run_id(&self.req.attempt, stage),
        });
    }

    /// Whether the claim row allows the call to go to this server.
    ///
    /// A repeated request may have made the servers that the row names refuse the first
    /// non-idempotent call, in the incarnations that the row names. The claimant therefore sends
    /// that call only to a server of the row and, if the server answers status queries, only to
    /// that incarnation.
    fn allowed_by_row(&self, target: &CallTarget) -> bool {
        if target.stage != self.req.run.stage {
            return true;
        }
        let Some(known) = self.server(&target.server) else {
            return false;
        };
        !known.answers_status || known.incarnation == target.incarnation
    }

    /// Handles the result of the call that was dispatched last.
    pub(super) fn on_dispatched(
        &mut self,
        result: &DispatchResult,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        match result {
            DispatchResult::Answered => {
                self.calls.ran |= self.calls.pending.take().is_some();
            }
            DispatchResult::NotRun => self.calls.pending = None,
            DispatchResult::Lost(reason) => self.on_call_lost(*reason, now, out),
        }
    }

    /// Queries the status of a lost call where that can settle it, or else ends the request as
    /// unknown.
    fn on_call_lost(&mut self, reason: UnknownReason, now: Instant, out: &mut Vec<ClaimAction>) {
        let Some(call) = &mut self.calls.pending else {
            return;
        };
        call.lost = Some(reason);
        let server = call.server.clone();
        let has_status = self
            .server(&server)
            .is_some_and(|known| known.answers_status);
        let late = now >= self.req.deadline;
        if has_status && !late && reason != UnknownReason::ServerFailed && self.phase == Phase::Held
        {
            self.query_status(out);
        } else {
            self.end_unknown(reason, out);
        }
    }

    fn query_status(&mut self, out: &mut Vec<ClaimAction>) {
        let Some(call) = &mut self.calls.pending else {
            return;
        };
        call.query_at = None;
        out.push(ClaimAction::AskServer {
            server: call.server.clone(),
            run_id: run_id(&self.req.attempt, call.stage),
        });
    }

    /// Handles a status report on this machine's own call.
    pub(super) fn on_own_status(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        report: RunReport,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let same_incarnation = self.same_incarnation(server, incarnation);
        let Some(call) = &mut self.calls.pending else {
            return;
        };
        let Some(reason) = call.lost.filter(|_| call.server == *server) else {
            return;
        };
        match report {
            RunReport::Ran(answer) => {
                self.calls.ran = true;
                self.calls.pending = None;
                out.push(ClaimAction::Resolved(Some(answer)));
            }
            RunReport::Sealed if same_incarnation => {
                self.calls.pending = None;
                out.push(ClaimAction::Resolved(None));
            }
            RunReport::Running => call.query_at = Some(now + self.cfg.poll_interval),
            RunReport::NoAnswer if call.queries_left > 1 => {
                call.queries_left -= 1;
                call.query_at = Some(now + self.cfg.poll_interval);
            }
            RunReport::Sealed | RunReport::NoAnswer => self.end_unknown(reason, out),
        }
    }

    /// Handles the result of the stage runner.
    pub(super) fn on_run_ended(
        &mut self,
        result: RunResult,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        match (result, &self.phase) {
            (RunResult::Answered(answer), Phase::Held | Phase::OutcomeUnknown) => {
                self.calls.pending = None;
                self.calls.ran = true;
                self.record(answer, now, out);
            }
            (RunResult::GaveUp(reason), Phase::Held) if self.calls.may_have_run() => {
                self.end_unknown(unknown_reason(reason), out);
            }
            (RunResult::GaveUp(reason), Phase::Held) => self.release_claim(reason, now, out),
            // An earlier attempt may have run, so the row decides which outcome the caller gets.
            (RunResult::GaveUp(reason), Phase::Claiming | Phase::Following(_)) => {
                self.not_run_reason = Some(reason);
            }
            (RunResult::GaveUp(reason), Phase::OutcomeUnknown) if !self.calls.may_have_run() => {
                self.release_claim(reason, now, out);
            }
            (RunResult::GaveUp(_) | RunResult::Failed(_), Phase::OutcomeUnknown) => self.close(out),
            (RunResult::Failed(reason), Phase::Held) => self.end_unknown(reason, out),
            _ => {}
        }
    }

    /// Sends the answer to the caller and records it in the claim row.
    fn record(&mut self, answer: Arc<str>, now: Instant, out: &mut Vec<ClaimAction>) {
        self.reply(Outcome::Answered, Some(answer.clone()), out);
        self.answer = Some(answer.clone());
        self.phase = Phase::Recording(self.own_row(ClaimState::Answered { answer }));
        self.begin_background_write(now);
        self.write(out);
    }

    /// Sends the outcome `unknown` to the caller; an answer that comes later is still recorded.
    fn end_unknown(&mut self, reason: UnknownReason, out: &mut Vec<ClaimAction>) {
        self.reply_unknown(reason, out);
        if let Some(call) = &mut self.calls.pending {
            call.query_at = None;
        }
        self.phase = Phase::OutcomeUnknown;
    }

    /// Ends a request whose deadline has passed, or else queries the status of a lost call when
    /// that is due.
    pub(super) fn tick_run(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if now >= self.req.deadline {
            if self.calls.may_have_run() {
                self.end_unknown(UnknownReason::DeadlineExceeded, out);
            } else {
                self.release_claim(NotRunReason::DeadlineUnreachable, now, out);
            }
        } else if self.calls.query_at().is_some_and(|at| now >= at) {
            self.query_status(out);
        }
    }

    fn server(&self, name: &ServerId) -> Option<&ClaimServer> {
        let servers = &self.req.run.servers;
        servers.iter().find(|known| known.name == *name)
    }

    fn same_incarnation(&self, server: &ServerId, incarnation: u64) -> bool {
        self.server(server)
            .is_some_and(|known| incarnation != 0 && known.incarnation == incarnation)
    }
}

/// Reason of the outcome `unknown` when the stage runner gave up after a call that may have run.
fn unknown_reason(reason: NotRunReason) -> UnknownReason {
    if reason == NotRunReason::DeadlineUnreachable {
        UnknownReason::DeadlineExceeded
    } else {
        UnknownReason::ServerFailed
    }
}
