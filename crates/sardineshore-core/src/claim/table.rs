//! Writes of the claim row: part of [`ClaimMachine`].
//!
//! A row is written to claim the key, to release the claim, and to record the answer. Each write
//! names the revision that it replaces and is repeated until its effect is known or the machine
//! gives up.

use std::time::Instant;

use super::{ClaimAction, ClaimMachine, ClaimRow, ClaimState, Phase};
use crate::{CommitOutcome, NotRunReason, Revision, Row, StoreError, Txn};

/// Maximum number of times that the retry delay doubles.
const MAX_DOUBLINGS: u8 = 6;

/// Store call whose result is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum TableCall {
    Claim,
    Release,
    Record,
    Read,
}

/// Row that is in the table after a write.
enum Found {
    /// This attempt wrote it.
    Own(ClaimRow, Revision),
    /// Another attempt wrote it.
    Other(ClaimRow, Revision),
    /// The row does not exist or is not a claim row.
    NoClaim,
}

impl ClaimMachine {
    /// Issues the write of the current phase, unless a store call is outstanding.
    pub(super) fn write(&mut self, out: &mut Vec<ClaimAction>) {
        if self.pending_call.is_some() {
            return;
        }
        let (call, row) = match &self.phase {
            Phase::Claiming => (TableCall::Claim, self.own_row(ClaimState::Claimed)),
            Phase::Releasing => (TableCall::Release, self.own_row(ClaimState::Released)),
            Phase::Recording(row) => (TableCall::Record, row.clone()),
            _ => return,
        };
        self.pending_call = Some(call);
        self.retry_at = None;
        let txn = Txn::replace(self.row_key.clone(), self.base, row.to_json());
        out.push(ClaimAction::Commit(txn));
    }

    /// Repeats a failed write when its retry delay has passed.
    pub(super) fn retry_write(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.write(out);
        }
    }

    /// Handles the result of a commit.
    pub(super) fn on_committed(
        &mut self,
        result: Result<CommitOutcome, StoreError>,
        now: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(call) = self.pending_call.take() else {
            return;
        };
        if call == TableCall::Claim && result == Err(StoreError::Unconfirmed) {
            self.row_may_exist = true;
        }
        if self.phase == Phase::Releasing && result.is_err() {
            self.reply_not_run(NotRunReason::StoreUnavailable, out);
            if !self.row_may_exist {
                self.close(out);
                return;
            }
        }
        match (call, result) {
            (_, Err(_)) => self.schedule_retry(now, out),
            (TableCall::Claim, Ok(commit)) => self.on_claim_result(commit, now, out),
            (TableCall::Release, Ok(commit)) => self.on_release_result(commit, now, out),
            (TableCall::Record, Ok(commit)) => self.on_record_result(commit, out),
            (TableCall::Read, Ok(_)) => {}
        }
    }

    /// Handles the result of the claim's write: an own claimed row confirms the claim, and a row
    /// of another attempt is followed.
    fn on_claim_result(&mut self, commit: CommitOutcome, now: Instant, out: &mut Vec<ClaimAction>) {
        match self.found(commit) {
            Found::Own(row, revision) if row.state == ClaimState::Claimed => {
                self.base = revision;
                self.row_may_exist = true;
                self.claim_confirmed(now, out);
            }
            Found::Own(row, revision) | Found::Other(row, revision) => {
                self.row_may_exist = false;
                if self.reported.is_none() {
                    self.follow(row, revision, now, out);
                } else {
                    self.close(out);
                }
            }
            Found::NoClaim => self.schedule_retry(now, out),
        }
    }

    /// Acts on a confirmed claim: allows dispatches, or releases the claim if it is not needed any
    /// more.
    fn claim_confirmed(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.failures = 0;
        if self.phase != Phase::Claiming {
            self.write(out);
            return;
        }
        self.phase = Phase::Held;
        if let Some(reason) = self.not_run_reason {
            self.release_claim(reason, now, out);
        } else if now < self.req.deadline {
            out.push(ClaimAction::Held);
        } else {
            self.tick_run(now, out);
        }
    }

    /// Handles the result of a release. It is repeated if an earlier write of the claim took effect
    /// first; if another attempt has claimed the key, the machine follows that attempt.
    fn on_release_result(
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
            Found::Other(row, revision) if self.reported.is_none() => {
                self.row_may_exist = false;
                self.follow(row, revision, now, out);
            }
            _ => {
                if let Some(reason) = self.not_run_reason {
                    self.reply_not_run(reason, out);
                }
                self.close(out);
            }
        }
    }

    /// Handles the result of recording the answer. It is repeated if an earlier write of the claim
    /// took effect first.
    fn on_record_result(&mut self, commit: CommitOutcome, out: &mut Vec<ClaimAction>) {
        let applied = matches!(commit, CommitOutcome::Applied { .. });
        match self.found(commit) {
            Found::Own(row, revision) if !applied && row.state == ClaimState::Claimed => {
                self.base = revision;
                self.write(out);
            }
            _ => self.close(out),
        }
    }

    /// Tells whose row is in the table after a commit. An applied write counts as a claimed row of
    /// this attempt.
    fn found(&self, commit: CommitOutcome) -> Found {
        match commit {
            CommitOutcome::Applied { revision } => {
                Found::Own(self.own_row(ClaimState::Claimed), revision)
            }
            CommitOutcome::Conflict { rows } => rows
                .into_iter()
                .find(|row| row.key == self.row_key)
                .map_or(Found::NoClaim, |row| self.classify(&row)),
        }
    }

    fn classify(&self, row: &Row) -> Found {
        match ClaimRow::from_json(&row.value) {
            Some(claim) if claim.attempt == self.req.attempt => Found::Own(claim, row.revision),
            Some(claim) => Found::Other(claim, row.revision),
            None => Found::NoClaim,
        }
    }

    /// Retries the current write after a delay, or gives up once the phase's time is over.
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
