//! Submits one command until its fate is known or the time is over.
//!
//! A call whose answer was lost may still be carried out by the instance that received it. Until
//! the command is found accepted, a refusal by another instance then proves nothing.

use sardineshore_core::CommandId;
use sardineshore_wire::operator::{Submission, SubmitReply};

use crate::fleet::{Called, InstanceError};
use crate::report::Report;

/// What is known of a command that is being submitted.
#[derive(Debug)]
pub struct Fate {
    submission: Submission,
    errors: Vec<InstanceError>,
    unconfirmed: bool,
    last: Option<SubmitReply>,
}

/// What follows from a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// It was accepted at this version.
    Accepted(sardineshore_core::Version),
    /// The fate is known otherwise.
    Ended(Report),
    /// The same command has to be submitted again.
    Again,
}

impl Fate {
    /// Starts with a command that was never sent.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            errors: Vec::new(),
            unconfirmed: false,
            last: None,
        }
    }

    /// The command.
    #[must_use]
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Takes the result of one call.
    pub fn take(&mut self, called: Called<SubmitReply>) -> Next {
        self.note(called.errors);
        let Some(reply) = called.answer else {
            return Next::Again;
        };
        self.unconfirmed |= reply == SubmitReply::Unconfirmed;
        self.last = Some(reply.clone());
        match reply {
            SubmitReply::Accepted { version } => Next::Accepted(version),
            SubmitReply::Refused { .. } if !self.lost() => Next::Ended(self.give_up()),
            _ => Next::Again,
        }
    }

    /// The report when the time is over.
    #[must_use]
    pub fn give_up(&self) -> Report {
        let command = self.command();
        match self.last.clone() {
            Some(SubmitReply::Refused {
                change,
                refusal,
                winner,
            }) if !self.lost() => Report::Refused {
                command,
                change: self.change(change),
                refusal,
                winner,
            },
            Some(SubmitReply::NotAccepted { reason }) if !self.lost() && !self.unconfirmed => {
                Report::NotAccepted { command, reason }
            }
            None if !self.lost() => Report::Unreachable {
                errors: self.errors.clone(),
            },
            last => Report::Unconfirmed {
                command,
                errors: self.errors.clone(),
                last: last.map(|reply| shown(&reply)),
            },
        }
    }

    /// Keeps the latest error of each instance, and that a call may have reached it.
    fn note(&mut self, errors: Vec<InstanceError>) {
        for mut error in errors {
            let known = self
                .errors
                .iter_mut()
                .find(|it| it.instance == error.instance);
            match known {
                Some(known) => {
                    error.sent |= known.sent;
                    *known = error;
                }
                None => self.errors.push(error),
            }
        }
    }

    fn lost(&self) -> bool {
        self.errors.iter().any(|error| error.sent)
    }

    fn command(&self) -> CommandId {
        self.submission.command.clone()
    }

    fn change(&self, number: usize) -> String {
        let change = self.submission.changes.get(number);
        change.map(ToString::to_string).unwrap_or_default()
    }
}

fn shown(reply: &SubmitReply) -> String {
    match reply {
        SubmitReply::Accepted { version } => format!("accepted: version {version}"),
        SubmitReply::Refused { refusal, .. } => format!("refused: {refusal}"),
        SubmitReply::NotAccepted { reason } => format!("not accepted: {reason}"),
        SubmitReply::Unconfirmed => "the store has not confirmed it".to_owned(),
    }
}
