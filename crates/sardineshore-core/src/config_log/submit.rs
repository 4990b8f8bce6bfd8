//! State machine that appends one operator command to the stored configuration log.
//!
//! It performs no I/O: each step asks for a read or a transaction, and the caller passes the result
//! back. The transaction writes the entry only if the head still has the revision that was read
//! and neither the version nor the command has a row. After a lost confirmation it can therefore
//! be sent again: at most one of the transactions takes effect, so that the command has exactly one
//! version.

use std::sync::Arc;

use super::{CommandRow, ConfigLog, HEAD_KEY, Head, LogEntry, RejectedChange, apply_all};
use super::{command_key, log_key};
use crate::{
    Change, Check, CommandId, CommitOutcome, Deployment, Put, Revision, Row, StoreError, Txn,
    Version,
};

/// Number of reads of the head after which a submission gives up. The head is read again after
/// each lost race and each lost confirmation.
const MAX_ATTEMPTS: u32 = 24;

/// A command that an operator submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Identifier of the command; a repeated submission carries the same one.
    pub command: CommandId,
    /// Name of the operator who sent the command.
    pub operator: Arc<str>,
    /// Changes, in order; accepted together or not at all.
    pub changes: Vec<Change>,
    /// When the instance received the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Next step of a submission, which the caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitStep {
    /// Read the command's row, then call [`SubmitMachine::on_command_read`].
    ReadCommand,
    /// Read the head, then call [`SubmitMachine::on_head_read`].
    ReadHead,
    /// Adopt the entries up to this version, then call [`SubmitMachine::on_caught_up`].
    CatchUp(Version),
    /// Commit the transaction, then call [`SubmitMachine::on_committed`].
    Commit(Txn),
    /// Return this outcome: the submission has ended.
    Done(SubmitOutcome),
}

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitOutcome {
    /// The stored log contains the command.
    Written {
        /// Version that the command made.
        version: Version,
        /// Entry of the command, if this submission's last transaction wrote it.
        entry: Option<LogEntry>,
    },
    /// A change can't be applied. Nothing was written, and nothing will be.
    Refused {
        /// First change that can't be applied.
        rejected: RejectedChange,
        /// Command that was accepted during this submission and made the change invalid, if any.
        winner: Option<CommandId>,
    },
    /// Nothing was written, and nothing will be.
    NotWritten(SubmitError),
    /// A write may have taken effect, or may still do so.
    Unconfirmed,
}

/// Why nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The store refused a call, or did not answer a read.
    #[error("the store refused or did not answer")]
    Store(StoreError),
    /// The head that was read is older than the version that this instance has adopted.
    #[error("the store's newest version is older than the active version")]
    StoreBehind,
    /// Other commands were accepted first in every attempt.
    #[error("other commands were accepted first in every attempt")]
    Contended,
    /// The entries of newer versions could not be read, so this instance can't check the changes.
    #[error("the entries of newer versions could not be read")]
    NotCaughtUp,
    /// The head can't be decoded.
    #[error("the head of the configuration log can't be decoded")]
    Undecodable,
}

/// The head as it was last read; zeros if it does not exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct HeadRead {
    revision: Revision,
    version: Version,
}

/// State machine of one submission.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitMachine {
    proposal: Proposal,
    head: HeadRead,
    /// First configuration to which the changes could be applied.
    first_valid: Option<Arc<Deployment>>,
    /// Refusal to return, unless the command's row is found.
    pending_refusal: Option<SubmitOutcome>,
    /// Whether a write was sent whose effect is not known.
    in_doubt: bool,
    /// Reads of the head so far.
    attempts: u32,
}

impl SubmitMachine {
    /// Starts a submission; returns its machine and first step.
    #[must_use]
    pub fn new(proposal: Proposal) -> (Self, SubmitStep) {
        let machine = Self {
            proposal,
            head: HeadRead::default(),
            first_valid: None,
            pending_refusal: None,
            in_doubt: false,
            attempts: 0,
        };
        (machine, SubmitStep::ReadCommand)
    }

    /// Whether a write was sent whose effect is not known.
    #[must_use]
    pub fn in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Handles the read of the command's row.
    pub fn on_command_read(&mut self, read: &Result<Option<Row>, StoreError>) -> SubmitStep {
        match read {
            Ok(Some(row)) => written(row),
            Ok(None) => match self.pending_refusal.take() {
                Some(refused) => SubmitStep::Done(refused),
                None => SubmitStep::ReadHead,
            },
            Err(err) => self.end(SubmitError::Store(*err)),
        }
    }

    /// Handles the read of the head; `log` is this instance's copy of the log.
    pub fn on_head_read(
        &mut self,
        read: &Result<Option<Row>, StoreError>,
        log: &ConfigLog,
    ) -> SubmitStep {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return self.end(SubmitError::Contended);
        }
        match read {
            Ok(None) => self.head = HeadRead::default(),
            Ok(Some(row)) => match serde_json::from_str::<Head>(&row.value) {
                Ok(head) => {
                    self.head = HeadRead {
                        revision: row.revision,
                        version: head.version,
                    };
                }
                Err(_) => return self.end(SubmitError::Undecodable),
            },
            Err(err) => return self.end(SubmitError::Store(*err)),
        }
        if self.head.version > log.version() {
            return SubmitStep::CatchUp(self.head.version);
        }
        self.propose(log)
    }

    /// Continues after [`SubmitStep::CatchUp`]; `log` has adopted the entries that could be read.
    pub fn on_caught_up(&mut self, log: &ConfigLog) -> SubmitStep {
        if log.version() < self.head.version {
            return self.end(SubmitError::NotCaughtUp);
        }
        self.propose(log)
    }

    /// Handles the result of the transaction.
    pub fn on_committed(&mut self, result: &Result<CommitOutcome, StoreError>) -> SubmitStep {
        match result {
            Ok(CommitOutcome::Applied { .. }) => {
                let entry = self.entry();
                SubmitStep::Done(SubmitOutcome::Written {
                    version: entry.version,
                    entry: Some(entry),
                })
            }
            Ok(CommitOutcome::Conflict { rows }) => self.on_conflict(rows),
            Err(StoreError::Unconfirmed) => {
                self.in_doubt = true;
                SubmitStep::ReadCommand
            }
            Err(err) => self.end(SubmitError::Store(*err)),
        }
    }

    /// Handles a conflict: the command was written before, or another command was accepted first.
    fn on_conflict(&mut self, rows: &[Row]) -> SubmitStep {
        let key = command_key(&self.proposal.command);
        match rows.iter().find(|row| row.key == key) {
            Some(row) => written(row),
            None => SubmitStep::ReadHead,
        }
    }

    /// Commits the command if its changes can be applied to the newest version.
    fn propose(&mut self, log: &ConfigLog) -> SubmitStep {
        if self.head.version < log.version() {
            return self.end(SubmitError::StoreBehind);
        }
        match apply_all(log.deployment(), &self.proposal.changes) {
            Ok(_) => {
                self.first_valid
                    .get_or_insert_with(|| log.deployment().clone());
                SubmitStep::Commit(self.txn())
            }
            Err(rejected) => self.refuse(rejected, log),
        }
    }

    /// Reads the command's row once more before the refusal: another instance or a write in doubt
    /// may have written it meanwhile. If the row is still missing, no earlier write of this
    /// submission can take effect any more, as the head has changed since that write's check.
    fn refuse(&mut self, rejected: RejectedChange, log: &ConfigLog) -> SubmitStep {
        let winner = self.winner(log);
        self.pending_refusal = Some(SubmitOutcome::Refused { rejected, winner });
        SubmitStep::ReadCommand
    }

    /// First command accepted since [`Self::first_valid`] after which the changes can't be applied.
    fn winner(&self, log: &ConfigLog) -> Option<CommandId> {
        let mut base = Deployment::clone(self.first_valid.as_ref()?);
        for entry in log.entries_after(base.version)? {
            base = apply_all(&base, &entry.changes).ok()?;
            if apply_all(&base, &self.proposal.changes).is_err() {
                return Some(entry.command);
            }
        }
        None
    }

    /// Entry of the command for the version after the head.
    fn entry(&self) -> LogEntry {
        let proposal = &self.proposal;
        LogEntry {
            version: self.head.version + 1,
            command: proposal.command.clone(),
            operator: proposal.operator.clone(),
            changes: proposal.changes.clone(),
            at_ms: proposal.at_ms,
        }
    }

    fn txn(&self) -> Txn {
        let entry = self.entry();
        let head = Head {
            version: entry.version,
            command: entry.command.clone(),
        };
        let row = CommandRow {
            version: entry.version,
        };
        let keys = [
            HEAD_KEY.into(),
            log_key(entry.version),
            command_key(&entry.command),
        ];
        let revisions = [self.head.revision, 0, 0];
        let values = [encode(&head), encode(&entry), encode(&row)];
        let checks = keys.iter().cloned().zip(revisions);
        let puts = keys.iter().cloned().zip(values);
        Txn {
            checks: checks
                .map(|(key, revision)| Check { key, revision })
                .collect(),
            puts: puts.map(|(key, value)| Put { key, value }).collect(),
            deletes: Vec::new(),
        }
    }

    /// Ends the submission without a version: unconfirmed if a write is in doubt.
    fn end(&self, error: SubmitError) -> SubmitStep {
        if self.in_doubt {
            SubmitStep::Done(SubmitOutcome::Unconfirmed)
        } else {
            SubmitStep::Done(SubmitOutcome::NotWritten(error))
        }
    }
}

/// Outcome for a command whose row is in the table.
fn written(row: &Row) -> SubmitStep {
    match serde_json::from_str::<CommandRow>(&row.value) {
        Ok(found) => SubmitStep::Done(SubmitOutcome::Written {
            version: found.version,
            entry: None,
        }),
        Err(_) => SubmitStep::Done(SubmitOutcome::Unconfirmed),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("a row of the log can be serialized")
        .into()
}
