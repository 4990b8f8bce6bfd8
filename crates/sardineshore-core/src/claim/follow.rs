//! Handling of a repeated request whose key another attempt has claimed: part of
//! [`ClaimMachine`].
//!
//! The machine waits for the other attempt and returns its answer. If the instance of that attempt
//! can't tell the outcome, the machine asks the backend servers that the claim row names. It
//! claims the key itself only when the other attempt provably did not run and never will.

use std::sync::Arc;
use std::time::Instant;

use super::table::TableCall;
use super::{ClaimAction, ClaimMachine, ClaimRow, ClaimState, PeerReply, Phase, RunReport};
use crate::{NotRunReason, Outcome, Revision, Row, ServerId, StoreError, UnknownReason};

/// Claim of another attempt, and how far this machine is in finding its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Follow {
    row: ClaimRow,
    revision: Revision,
    step: Step,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    /// Waiting for the reply of the claimant's instance.
    AwaitPeer,
    /// The run is in progress; ask the claimant's instance again at this time.
    PollPeerAt(Instant),
    /// Reading the row again, as it may have changed.
    ReadRow,
    /// Waiting for the backend servers' reports; one entry for each server, in the row's order.
    AwaitServers(Vec<Option<RunState>>),
    /// The run is in progress on a backend server; ask all servers again at this time.
    PollServersAt(Instant),
}

/// What the report of one backend server means for the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RunState {
    /// It did not run on this server and never will.
    NeverRuns,
    /// It is running on this server.
    Running,
    /// It may have run on this server.
    MayHaveRun,
}

impl ClaimMachine {
    /// Handles a row that another attempt wrote: refuses a key used with another fingerprint,
    /// returns a recorded answer, takes over a released claim, or asks the claimant's instance.
    pub(super) fn follow(
        &mut self,
        row: ClaimRow,
        revision: Revision,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        if row.fingerprint != self.req.fingerprint {
            self.reply_not_run(NotRunReason::KeyReused, out);
            self.close(out);
            return;
        }
        match &row.state {
            ClaimState::Answered { answer } => self.answer_with(answer.clone(), out),
            ClaimState::Released => self.take_over(revision, now, out),
            ClaimState::Claimed => {
                let step = Step::AwaitPeer;
                out.push(ask_peer(&row));
                self.phase = Phase::Following(Follow {
                    row,
                    revision,
                    step,
                });
            }
        }
    }

    fn answer_with(&mut self, answer: Arc<str>, out: &mut Vec<ClaimAction>) {
        self.answer = Some(answer.clone());
        self.reply(Outcome::Answered, Some(answer), out);
        self.close(out);
    }

    /// Claims the key in place of an attempt that provably did not run.
    fn take_over(&mut self, revision: Revision, now: Instant, out: &mut Vec<ClaimAction>) {
        if let Some(reason) = self.not_run_reason {
            self.reply_not_run(reason, out);
            self.close(out);
            return;
        }
        self.base = revision;
        self.phase = Phase::Claiming;
        self.give_up_at = self.req.deadline.min(now + self.cfg.claim_timeout);
        self.write(out);
    }

    /// Handles the reply of the claimant's instance.
    pub(super) fn on_peer_replied(
        &mut self,
        reply: PeerReply,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let poll_at = now + self.cfg.poll_interval;
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        if follow.step != Step::AwaitPeer {
            return;
        }
        match reply {
            PeerReply::InFlight => follow.step = Step::PollPeerAt(poll_at),
            PeerReply::Answered { answer } => self.answer_with(answer, out),
            PeerReply::NeverRuns => {
                let revision = follow.revision;
                self.take_over(revision, now, out);
            }
            PeerReply::Unknown | PeerReply::NotKnown | PeerReply::Unreachable => {
                follow.step = Step::ReadRow;
                self.pending_call = Some(TableCall::Read);
                out.push(ClaimAction::ReadRow(self.row_key.clone()));
            }
        }
    }

    /// Handles the row that was read again. A missing or unchanged row proves nothing, so the
    /// backend servers are asked.
    pub(super) fn on_row_read(
        &mut self,
        result: Result<Option<Row>, StoreError>,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.pending_call != Some(TableCall::Read) {
            return;
        }
        self.pending_call = None;
        let Phase::Following(follow) = &self.phase else {
            return;
        };
        let newer = result.ok().flatten().and_then(|row| {
            let claim = ClaimRow::from_json(&row.value)?;
            (row.revision > follow.revision).then_some((claim, row.revision))
        });
        match newer {
            Some((row, revision)) => self.follow(row, revision, now, out),
            None => self.ask_servers(out),
        }
    }

    fn ask_servers(&mut self, out: &mut Vec<ClaimAction>) {
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        let servers = &follow.row.run.servers;
        let without_status = |answers: bool| (!answers).then_some(RunState::MayHaveRun);
        let states: Vec<_> = servers
            .iter()
            .map(|s| without_status(s.answers_status))
            .collect();
        if states.iter().all(Option::is_some) {
            self.stop_following(out);
            return;
        }
        for server in servers.iter().filter(|server| server.answers_status) {
            out.push(ClaimAction::AskServer {
                server: server.name.clone(),
                run_id: follow.row.run_id(),
            });
        }
        follow.step = Step::AwaitServers(states);
    }

    /// Handles a backend server's status report on a run.
    pub(super) fn on_status(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        report: RunReport,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let Phase::Following(follow) = &mut self.phase else {
            self.on_own_status(server, incarnation, report, now, out);
            return;
        };
        let Step::AwaitServers(states) = &mut follow.step else {
            return;
        };
        let servers = &follow.row.run.servers;
        let Some(at) = servers.iter().position(|known| known.name == *server) else {
            return;
        };
        let same = incarnation != 0 && servers[at].incarnation == incarnation;
        states[at] = Some(match report {
            RunReport::Ran(answer) if follow.row.run.last => {
                self.record_for_claimant(answer, now, out);
                return;
            }
            RunReport::Sealed if same => RunState::NeverRuns,
            RunReport::Running => RunState::Running,
            RunReport::Ran(_) | RunReport::Sealed | RunReport::NoAnswer => RunState::MayHaveRun,
        });
        if let Some(all) = states.iter().copied().collect::<Option<Vec<_>>>() {
            self.conclude(&all, now, out);
        }
    }

    /// Acts once every server has reported: takes over, asks again later, or ends as unknown.
    fn conclude(&mut self, states: &[RunState], now: Instant, out: &mut Vec<ClaimAction>) {
        let poll_at = now + self.cfg.poll_interval;
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        if states.iter().all(|found| *found == RunState::NeverRuns) {
            let revision = follow.revision;
            self.take_over(revision, now, out);
        } else if states.contains(&RunState::Running) {
            follow.step = Step::PollServersAt(poll_at);
        } else {
            self.stop_following(out);
        }
    }

    /// Returns the answer that a backend server reported, and records it in the claimant's row.
    fn record_for_claimant(&mut self, answer: Arc<str>, now: Instant, out: &mut Vec<ClaimAction>) {
        let Phase::Following(follow) = &self.phase else {
            return;
        };
        let state = ClaimState::Answered {
            answer: answer.clone(),
        };
        let row = follow.row.with_state(state);
        self.base = follow.revision;
        self.answer = Some(answer.clone());
        self.reply(Outcome::Answered, Some(answer), out);
        self.phase = Phase::Recording(row);
        self.begin_background_write(now);
        self.write(out);
    }

    /// Asks again about a run in progress when that is due.
    pub(super) fn poll_run(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        match follow.step {
            Step::PollPeerAt(at) if now >= at => {
                follow.step = Step::AwaitPeer;
                out.push(ask_peer(&follow.row));
            }
            Step::PollServersAt(at) if now >= at => self.ask_servers(out),
            _ => {}
        }
    }

    /// When to ask again about a run in progress.
    pub(super) fn follow_poll_at(&self) -> Option<Instant> {
        let Phase::Following(follow) = &self.phase else {
            return None;
        };
        match follow.step {
            Step::PollPeerAt(at) | Step::PollServersAt(at) => Some(at),
            _ => None,
        }
    }

    /// Ends with the outcome `unknown`, as the other attempt may have run.
    pub(super) fn stop_following(&mut self, out: &mut Vec<ClaimAction>) {
        let in_progress = self.follow_poll_at().is_some();
        let reason = if in_progress {
            UnknownReason::DeadlineExceeded
        } else {
            UnknownReason::ClaimantUnreachable
        };
        self.reply_unknown(reason, out);
        self.close(out);
    }
}

fn ask_peer(row: &ClaimRow) -> ClaimAction {
    ClaimAction::AskPeer {
        instance: row.instance.clone(),
        attempt: row.attempt.clone(),
    }
}
