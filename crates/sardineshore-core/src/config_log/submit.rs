//! Takes one command through acceptance: reads and transactions out, their results in.
//!
//! The transaction checks the head's revision and that neither the version nor the command has a
//! row yet. Sending it again is therefore safe after a lost confirmation: whichever of the two
//! takes effect, the command has exactly one version.

use std::sync::Arc;

use super::{CommandRow, ConfigLog, HEAD_KEY, Head, LogEntry, RejectedChange, apply_all};
use super::{command_key, log_key};
use crate::{
    Change, Check, CommandId, CommitOutcome, Deployment, Put, Revision, Row, StoreError, Txn,
    Version,
};

/// Store calls, lost races included, after which a submission gives up.
const MAX_ATTEMPTS: u32 = 24;

/// What an operator asks to be accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Command.
    pub command: CommandId,
    /// Who asks.
    pub operator: Arc<str>,
    /// Changes, in order; accepted together or not at all.
    pub changes: Vec<Change>,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

/// What the submission needs next.
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
    /// The submission has ended.
    Done(SubmitOutcome),
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitOutcome {
    /// The log holds it.
    Written {
        /// Its version.
        version: Version,
        /// Its entry, if it was written just now.
        entry: Option<LogEntry>,
    },
    /// It does not fit; nothing was written and nothing will be.
    Refused {
        /// The change that does not fit.
        rejected: RejectedChange,
        /// The command that won a race against this one.
        winner: Option<CommandId>,
    },
    /// Nothing was written and nothing will be.
    NotWritten(SubmitError),
    /// A write may have taken effect, or may yet.
    Unconfirmed,
}

/// Why nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The store refused or did not answer a read.
    #[error("the store refused or did not answer")]
    Store(StoreError),
    /// The store's head is older than the version in force here.
    #[error("the store's head is older than the version in force")]
    StoreBehind,
    /// Other commands won every race.
    #[error("other commands were accepted first, too often")]
    Contended,
    /// The newer versions could not be read.
    #[error("the newer versions could not be read")]
    NotCaughtUp,
    /// A row of the log can't be decoded.
    #[error("the row of the log can't be decoded")]
    Undecodable,
}

/// The head as last read; zeros if there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct HeadRead {
    revision: Revision,
    version: Version,
}

/// A submission under way.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitMachine {
    proposal: Proposal,
    head: HeadRead,
    /// Configuration that the changes first fitted.
    fitted: Option<Arc<Deployment>>,
    /// Refusal that stands unless the command's row is found.
    refusal: Option<SubmitOutcome>,
    /// Whether a write was sent whose effect is not known.
    in_doubt: bool,
    attempts: u32,
}

impl SubmitMachine {
    /// Starts a submission.
    #[must_use]
    pub fn new(proposal: Proposal) -> (Self, SubmitStep) {
        let machine = Self {
            proposal,
            head: HeadRead::default(),
            fitted: None,
            refusal: None,
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

    /// The command's row was read.
    pub fn on_command_read(&mut self, read: &Result<Option<Row>, StoreError>) -> SubmitStep {
        match read {
            Ok(Some(row)) => written(row),
            Ok(None) => match self.refusal.take() {
                Some(refused) => SubmitStep::Done(refused),
                None => SubmitStep::ReadHead,
            },
            Err(err) => self.end(SubmitError::Store(*err)),
        }
    }

    /// The head was read; `log` is the instance's copy.
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

    /// The entries asked for were adopted, as far as they could be read.
    pub fn on_caught_up(&mut self, log: &ConfigLog) -> SubmitStep {
        if log.version() < self.head.version {
            return self.end(SubmitError::NotCaughtUp);
        }
        self.propose(log)
    }

    /// The transaction was answered.
    pub fn on_committed(&mut self, result: &Result<CommitOutcome, StoreError>) -> SubmitStep {
        match result {
            Ok(CommitOutcome::Applied { .. }) => {
                let entry = self.entry();
                SubmitStep::Done(SubmitOutcome::Written {
                    version: entry.version,
                    entry: Some(entry),
                })
            }
            Ok(CommitOutcome::Conflict { rows }) => self.conflict(rows),
            Err(StoreError::Unconfirmed) => {
                self.in_doubt = true;
                SubmitStep::ReadCommand
            }
            Err(err) => self.end(SubmitError::Store(*err)),
        }
    }

    fn conflict(&mut self, rows: &[Row]) -> SubmitStep {
        let key = command_key(&self.proposal.command);
        match rows.iter().find(|row| row.key == key) {
            Some(row) => written(row),
            None => SubmitStep::ReadHead,
        }
    }

    fn propose(&mut self, log: &ConfigLog) -> SubmitStep {
        if self.head.version < log.version() {
            return self.end(SubmitError::StoreBehind);
        }
        match apply_all(log.deployment(), &self.proposal.changes) {
            Ok(_) => {
                self.fitted.get_or_insert_with(|| log.deployment().clone());
                SubmitStep::Commit(self.txn())
            }
            Err(rejected) => self.refuse(rejected, log),
        }
    }

    /// The command's row is read once more before a refusal: it may have been written meanwhile,
    /// through another instance or by a write in doubt. The head has moved past such a write's
    /// check, so one that is still missing can't take effect any more.
    fn refuse(&mut self, rejected: RejectedChange, log: &ConfigLog) -> SubmitStep {
        let winner = self.winner(log);
        self.refusal = Some(SubmitOutcome::Refused { rejected, winner });
        SubmitStep::ReadCommand
    }

    /// The first newer command after which the changes no longer fit.
    fn winner(&self, log: &ConfigLog) -> Option<CommandId> {
        let mut base = Deployment::clone(self.fitted.as_ref()?);
        for entry in log.entries_after(base.version)? {
            base = apply_all(&base, &entry.changes).ok()?;
            if apply_all(&base, &self.proposal.changes).is_err() {
                return Some(entry.command);
            }
        }
        None
    }

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

    fn end(&self, why: SubmitError) -> SubmitStep {
        if self.in_doubt {
            SubmitStep::Done(SubmitOutcome::Unconfirmed)
        } else {
            SubmitStep::Done(SubmitOutcome::NotWritten(why))
        }
    }
}

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
        .expect("a row of the log serializes")
        .into()
}
