//! A repeated request whose key another attempt holds: join its run, take its answer, or find out
//! from the backend servers what became of it.

use std::sync::Arc;
use std::time::Instant;

use super::table::TableCall;
use super::{ClaimAction, ClaimMachine, ClaimRow, ClaimState, PeerReply, Phase, RunReport};
use crate::{NotRunReason, Outcome, Revision, Row, ServerId, StoreError, UnknownReason};

/// Another attempt's claim and what is known of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Follow {
    row: ClaimRow,
    revision: Revision,
    step: Step,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    /// Waiting for the claimant's instance.
    Peer,
    /// The run is in progress; the instance is asked again at this time.
    PeerAgain(Instant),
    /// Reading the row once more.
    Read,
    /// Waiting for the backend servers, in the order of the row.
    Servers(Vec<Option<Verdict>>),
    /// The run is in progress on a backend server; they are asked again at this time.
    ServersAgain(Instant),
}

/// What one backend server's report means for the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Verdict {
    /// It did not run there and never will.
    Excluded,
    /// It is running there.
    Running,
    /// It may have run there.
    Open,
}

impl ClaimMachine {
    /// Acts on a row that another attempt wrote.
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
                let step = Step::Peer;
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

    /// Claims in place of an attempt that provably did not run.
    fn take_over(&mut self, revision: Revision, now: Instant, out: &mut Vec<ClaimAction>) {
        if let Some(reason) = self.gave_up {
            self.reply_not_run(reason, out);
            self.close(out);
            return;
        }
        self.base = revision;
        self.phase = Phase::Claiming;
        self.give_up_at = self.req.deadline.min(now + self.cfg.claim_timeout);
        self.write(out);
    }

    /// Takes the reply of the claimant's instance.
    pub(super) fn on_peer(&mut self, reply: PeerReply, now: Instant, out: &mut Vec<ClaimAction>) {
        let poll_at = now + self.cfg.poll_interval;
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        if follow.step != Step::Peer {
            return;
        }
        match reply {
            PeerReply::InFlight => follow.step = Step::PeerAgain(poll_at),
            PeerReply::Answered { answer } => self.answer_with(answer, out),
            PeerReply::NeverRuns => {
                let revision = follow.revision;
                self.take_over(revision, now, out);
            }
            PeerReply::Unknown | PeerReply::NotKnown | PeerReply::Unreachable => {
                follow.step = Step::Read;
                self.call = Some(TableCall::Read);
                out.push(ClaimAction::ReadRow(self.row_key.clone()));
            }
        }
    }

    /// Takes the row read again; a row that is missing or unchanged proves nothing.
    pub(super) fn on_row_read(
        &mut self,
        result: Result<Option<Row>, StoreError>,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.call != Some(TableCall::Read) {
            return;
        }
        self.call = None;
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
        let silent = |asks: bool| (!asks).then_some(Verdict::Open);
        let verdicts: Vec<_> = servers.iter().map(|s| silent(s.answers_status)).collect();
        if verdicts.iter().all(Option::is_some) {
            self.stop_following(out);
            return;
        }
        for server in servers.iter().filter(|server| server.answers_status) {
            out.push(ClaimAction::AskServer {
                server: server.name.clone(),
                run_id: follow.row.run_id(),
            });
        }
        follow.step = Step::Servers(verdicts);
    }

    /// Takes a backend server's report on a run.
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
        let Step::Servers(verdicts) = &mut follow.step else {
            return;
        };
        let servers = &follow.row.run.servers;
        let Some(at) = servers.iter().position(|known| known.name == *server) else {
            return;
        };
        let same = incarnation != 0 && servers[at].incarnation == incarnation;
        verdicts[at] = Some(match report {
            RunReport::Ran(answer) if follow.row.run.last => {
                self.record_for_claimant(answer, now, out);
                return;
            }
            RunReport::Sealed if same => Verdict::Excluded,
            RunReport::Running => Verdict::Running,
            RunReport::Ran(_) | RunReport::Sealed | RunReport::NoAnswer => Verdict::Open,
        });
        if let Some(all) = verdicts.iter().copied().collect::<Option<Vec<_>>>() {
            self.conclude(&all, now, out);
        }
    }

    fn conclude(&mut self, verdicts: &[Verdict], now: Instant, out: &mut Vec<ClaimAction>) {
        let poll_at = now + self.cfg.poll_interval;
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        if verdicts.iter().all(|found| *found == Verdict::Excluded) {
            let revision = follow.revision;
            self.take_over(revision, now, out);
        } else if verdicts.contains(&Verdict::Running) {
            follow.step = Step::ServersAgain(poll_at);
        } else {
            self.stop_following(out);
        }
    }

    /// Answers with what a backend server reports, and records it in the claimant's row.
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
        self.begin_background(now);
        self.write(out);
    }

    /// Asks again about a run in progress, once the interval has passed.
    pub(super) fn poll_again(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        let Phase::Following(follow) = &mut self.phase else {
            return;
        };
        match follow.step {
            Step::PeerAgain(at) if now >= at => {
                follow.step = Step::Peer;
                out.push(ask_peer(&follow.row));
            }
            Step::ServersAgain(at) if now >= at => self.ask_servers(out),
            _ => {}
        }
    }

    /// When a run in progress is asked about again.
    pub(super) fn follow_poll_at(&self) -> Option<Instant> {
        let Phase::Following(follow) = &self.phase else {
            return None;
        };
        match follow.step {
            Step::PeerAgain(at) | Step::ServersAgain(at) => Some(at),
            _ => None,
        }
    }

    /// Tells the caller that the other attempt may have run.
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
