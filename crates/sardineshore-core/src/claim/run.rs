//! The claimant's calls: when one may be sent, and what a lost one became.

use std::sync::Arc;
use std::time::Instant;

use super::{
    ClaimAction, ClaimMachine, ClaimServer, ClaimState, DispatchResult, Phase, RunReport,
    RunResult, run_id,
};
use crate::{NotRunReason, Outcome, ServerId, UnknownReason};

/// What is known of the claimant's non-idempotent calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Run {
    /// Whether a call ran.
    ran: bool,
    /// The call whose result is not known.
    open: Option<OpenCall>,
}

/// Where a call is to be sent.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) stage: u32,
    pub(super) server: ServerId,
    pub(super) incarnation: u64,
}

/// A call whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OpenCall {
    stage: u32,
    server: ServerId,
    /// Why its answer did not come, once that is so.
    lost: Option<UnknownReason>,
    /// Status questions left.
    tries: u8,
    /// When to ask again.
    ask_at: Option<Instant>,
}

impl Run {
    /// Whether a call ran or may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.ran || self.open.is_some()
    }

    /// When the status of a lost call is asked again.
    pub(super) fn ask_at(&self) -> Option<Instant> {
        self.open.as_ref().and_then(|call| call.ask_at)
    }
}

impl ClaimMachine {
    /// Allows a call at the last moment before it is sent, or ends the request.
    pub(super) fn on_dispatch_wanted(
        &mut self,
        target: Target,
        may_dispatch: bool,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.phase != Phase::Held || self.run.open.is_some() {
            return;
        }
        if now >= self.req.deadline {
            self.tick_run(now, out);
            return;
        }
        if !may_dispatch || !self.named_by_row(&target) {
            return;
        }
        let Target { stage, server, .. } = target;
        self.run.open = Some(OpenCall {
            stage,
            server: server.clone(),
            lost: None,
            tries: self.cfg.max_status_queries,
            ask_at: None,
        });
        out.push(ClaimAction::Dispatch {
            server,
            run_id: run_id(&self.req.attempt, stage),
        });
    }

    /// Whether the claim row allows the first non-idempotent call to go there: a repeat may have
    /// asked the servers of the row, in the incarnations of the row, to refuse it.
    fn named_by_row(&self, target: &Target) -> bool {
        if target.stage != self.req.run.stage {
            return true;
        }
        let Some(known) = self.server(&target.server) else {
            return false;
        };
        !known.answers_status || known.incarnation == target.incarnation
    }

    /// Takes the result of the call dispatched last.
    pub(super) fn on_dispatched(
        &mut self,
        result: &DispatchResult,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        match result {
            DispatchResult::Answered => {
                self.run.ran |= self.run.open.take().is_some();
            }
            DispatchResult::NotRun => self.run.open = None,
            DispatchResult::Lost(reason) => self.lose(*reason, now, out),
        }
    }

    fn lose(&mut self, reason: UnknownReason, now: Instant, out: &mut Vec<ClaimAction>) {
        let Some(call) = &mut self.run.open else {
            return;
        };
        call.lost = Some(reason);
        let server = call.server.clone();
        let asks = self
            .server(&server)
            .is_some_and(|known| known.answers_status);
        let late = now >= self.req.deadline;
        if asks && !late && reason != UnknownReason::ServerFailed && self.phase == Phase::Held {
            self.ask_open(out);
        } else {
            self.end_unknown(reason, out);
        }
    }

    fn ask_open(&mut self, out: &mut Vec<ClaimAction>) {
        let Some(call) = &mut self.run.open else {
            return;
        };
        call.ask_at = None;
        out.push(ClaimAction::AskServer {
            server: call.server.clone(),
            run_id: run_id(&self.req.attempt, call.stage),
        });
    }

    /// Takes a status while this machine is the claimant.
    pub(super) fn on_own_status(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        report: RunReport,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let sealed_same = self.same_incarnation(server, incarnation);
        let Some(call) = &mut self.run.open else {
            return;
        };
        let Some(reason) = call.lost.filter(|_| call.server == *server) else {
            return;
        };
        match report {
            RunReport::Ran(answer) => {
                self.run.ran = true;
                self.run.open = None;
                out.push(ClaimAction::Resolved(Some(answer)));
            }
            RunReport::Sealed if sealed_same => {
                self.run.open = None;
                out.push(ClaimAction::Resolved(None));
            }
            RunReport::Running => call.ask_at = Some(now + self.cfg.poll_interval),
            RunReport::NoAnswer if call.tries > 1 => {
                call.tries -= 1;
                call.ask_at = Some(now + self.cfg.poll_interval);
            }
            RunReport::Sealed | RunReport::NoAnswer => self.end_unknown(reason, out),
        }
    }

    /// Takes the stage runner's end.
    pub(super) fn on_ended(&mut self, end: RunResult, now: Instant, out: &mut Vec<ClaimAction>) {
        match (end, &self.phase) {
            (RunResult::Answered(answer), Phase::Held | Phase::Undecided) => {
                self.run.open = None;
                self.run.ran = true;
                self.record(answer, now, out);
            }
            (RunResult::GaveUp(reason), Phase::Held) if self.run.may_have_run() => {
                self.end_unknown(after_effect(reason), out);
            }
            (RunResult::GaveUp(reason), Phase::Held) => self.abandon(reason, now, out),
            // An earlier attempt may have run: the row decides what the caller is told.
            (RunResult::GaveUp(reason), Phase::Claiming | Phase::Following(_)) => {
                self.gave_up = Some(reason);
            }
            (RunResult::GaveUp(reason), Phase::Undecided) if !self.run.may_have_run() => {
                self.abandon(reason, now, out);
            }
            (RunResult::GaveUp(_) | RunResult::Failed(_), Phase::Undecided) => self.close(out),
            (RunResult::Failed(reason), Phase::Held) => self.end_unknown(reason, out),
            _ => {}
        }
    }

    fn record(&mut self, answer: Arc<str>, now: Instant, out: &mut Vec<ClaimAction>) {
        self.reply(Outcome::Answered, Some(answer.clone()), out);
        self.answer = Some(answer.clone());
        self.phase = Phase::Recording(self.own_row(ClaimState::Answered { answer }));
        self.begin_background(now);
        self.write(out);
    }

    fn end_unknown(&mut self, reason: UnknownReason, out: &mut Vec<ClaimAction>) {
        self.reply_unknown(reason, out);
        if let Some(call) = &mut self.run.open {
            call.ask_at = None;
        }
        self.phase = Phase::Undecided;
    }

    /// Ends a request whose deadline has passed, and asks again about a lost call.
    pub(super) fn tick_run(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if now >= self.req.deadline {
            if self.run.may_have_run() {
                self.end_unknown(UnknownReason::DeadlineExceeded, out);
            } else {
                self.abandon(NotRunReason::DeadlineUnreachable, now, out);
            }
        } else if self.run.ask_at().is_some_and(|at| now >= at) {
            self.ask_open(out);
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

/// Reason of an unknown outcome where the runner gave up after a call with an effect.
fn after_effect(reason: NotRunReason) -> UnknownReason {
    if reason == NotRunReason::DeadlineUnreachable {
        UnknownReason::DeadlineExceeded
    } else {
        UnknownReason::ServerFailed
    }
}
