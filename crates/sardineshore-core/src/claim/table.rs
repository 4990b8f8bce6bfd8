//! Writes of the claim row: claim, release and record, each repeated until its effect is known.

use std::time::Instant;

use super::{ClaimAction, ClaimMachine, ClaimRow, ClaimState, Phase};
use crate::{CommitOutcome, NotRunReason, Revision, Row, StoreError, Txn};

/// Longest doubling of the retry delay.
const MAX_DOUBLINGS: u8 = 6;

/// A store call without its answer yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum TableCall {
    Claim,
    Release,
    Record,
    Read,
}

/// Row found where a write expected another revision.
enum Found {
    /// Our attempt wrote it.
    Own(ClaimRow, Revision),
    /// Another attempt wrote it.
    Other(ClaimRow, Revision),
    /// The row does not exist or is not a claim row.
    Nothing,
}

impl ClaimMachine {
    /// Issues the write of the present phase, unless a store call is outstanding.
    pub(super) fn write(&mut self, out: &mut Vec<ClaimAction>) {
        if self.call.is_some() {
            return;
        }
        let (call, row) = match &self.phase {
            Phase::Claiming => (TableCall::Claim, self.own_row(ClaimState::Claimed)),
            Phase::Releasing => (TableCall::Release, self.own_row(ClaimState::Released)),
            Phase::Recording(row) => (TableCall::Record, row.clone()),
            _ => return,
        };
        self.call = Some(call);
        self.retry_at = None;
        let txn = Txn::replace(self.row_key.clone(), self.base, row.to_json());
        out.push(ClaimAction::Commit(txn));
    }

    /// Repeats a failed write once its delay has passed.
    pub(super) fn retry_write(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.write(out);
        }
    }

    /// Takes the answer of a commit.
    pub(super) fn on_committed(
        &mut self,
        result: Result<CommitOutcome, StoreError>,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(call) = self.call.take() else {
            return;
        };
        if call == TableCall::Claim && result == Err(StoreError::Unconfirmed) {
            self.may_stand = true;
        }
        if self.phase == Phase::Releasing && result.is_err() {
            self.reply_not_run(NotRunReason::StoreUnavailable, out);
            if !self.may_stand {
                self.close(out);
                return;
            }
        }
        match (call, result) {
            (_, Err(_)) => self.schedule_retry(now, out),
            (TableCall::Claim, Ok(commit)) => self.claim_answered(commit, now, out),
            (TableCall::Release, Ok(commit)) => self.release_answered(commit, now, out),
            (TableCall::Record, Ok(commit)) => self.record_answered(commit, out),
            (TableCall::Read, Ok(_)) => {}
        }
    }

    fn claim_answered(&mut self, commit: CommitOutcome, now: Instant, out: &mut Vec<ClaimAction>) {
        match self.found(commit) {
            Found::Own(row, revision) if row.state == ClaimState::Claimed => {
                self.base = revision;
                self.may_stand = true;
                self.claim_confirmed(now, out);
            }
            Found::Own(row, revision) | Found::Other(row, revision) => {
                self.may_stand = false;
                if self.told.is_none() {
                    self.follow(row, revision, now, out);
                } else {
                    self.close(out);
                }
            }
            Found::Nothing => self.schedule_retry(now, out),
        }
    }

    fn claim_confirmed(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.failures = 0;
        if self.phase != Phase::Claiming {
            self.write(out);
            return;
        }
        self.phase = Phase::Held;
        if let Some(reason) = self.gave_up {
            self.abandon(reason, now, out);
        } else if now < self.req.deadline {
            out.push(ClaimAction::Held);
        } else {
            self.tick_run(now, out);
        }
    }

    fn release_answered(
        &mut self,
        commit: CommitOutcome,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let applied = matches!(commit, CommitOutcome::Applied { .. });
        match self.found(commit) {
            Found::Own(row, revision) if !applied && row.state == ClaimState::Claimed => {
                self.base = revision;
                self.write(out);
            }
            Found::Other(row, revision) if self.told.is_none() => {
                self.may_stand = false;
                self.follow(row, revision, now, out);
            }
            _ => {
                if let Some(reason) = self.gave_up {
                    self.reply_not_run(reason, out);
                }
                self.close(out);
            }
        }
    }

    fn record_answered(&mut self, commit: CommitOutcome, out: &mut Vec<ClaimAction>) {
        let applied = matches!(commit, CommitOutcome::Applied { .. });
        match self.found(commit) {
            Found::Own(row, revision) if !applied && row.state == ClaimState::Claimed => {
                self.base = revision;
                self.write(out);
            }
            _ => self.close(out),
        }
    }

    /// Reads a commit's answer; an applied write counts as a row of our own.
    fn found(&self, commit: CommitOutcome) -> Found {
        match commit {
            CommitOutcome::Applied { revision } => {
                Found::Own(self.own_row(ClaimState::Claimed), revision)
            }
            CommitOutcome::Conflict { rows } => rows
                .into_iter()
                .find(|row| row.key == self.row_key)
                .map_or(Found::Nothing, |row| self.classify(&row)),
        }
    }

    fn classify(&self, row: &Row) -> Found {
        match ClaimRow::from_json(&row.value) {
            Some(claim) if claim.attempt == self.req.attempt => Found::Own(claim, row.revision),
            Some(claim) => Found::Other(claim, row.revision),
            None => Found::Nothing,
        }
    }

    fn schedule_retry(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if now >= self.give_up_at {
            self.on_tick(now, out);
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay = self.cfg.retry_delay * (1 << u32::from(doublings));
        self.failures = doublings + 1;
        self.retry_at = Some(now + delay.min(self.cfg.max_retry_delay));
    }
}
