//! What is known of one submitted command, and whether to submit it again.
//!
//! An instance may still run a call whose answer was lost. After that, a rejection by another
//! instance does not show that the command had no effect; only acceptance settles its outcome.

use sardineshore_core::CommandId;
use sardineshore_wire::operator::{Submission, SubmitReply};

use crate::client::{CallResult, InstanceError};
use crate::report::Report;

/// Replies and errors of a command that is being submitted.
#[derive(Debug)]
pub struct SubmissionState {
    submission: Submission,
    errors: Vec<InstanceError>,
    unconfirmed: bool,
    last: Option<SubmitReply>,
}

/// What to do after a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The command was accepted and made this version.
    Accepted(sardineshore_core::Version),
    /// The command was not accepted; its outcome is known.
    Finish(Report),
    /// The same command must be submitted again.
    Retry,
}

impl SubmissionState {
    /// State of a command that was not sent yet.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            errors: Vec::new(),
            unconfirmed: false,
            last: None,
        }
    }

    /// The command to submit.
    #[must_use]
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Records the result of one call and says what to do next.
    pub fn record_reply(&mut self, result: CallResult<SubmitReply>) -> Action {
        self.record_errors(result.errors);
        let Some(reply) = result.answer else {
            return Action::Retry;
        };
        self.unconfirmed |= reply == SubmitReply::Unconfirmed;
        self.last = Some(reply.clone());
        match reply {
            SubmitReply::Accepted { version } => Action::Accepted(version),
            SubmitReply::Refused { .. } if !self.may_have_run() => Action::Finish(self.report()),
            _ => Action::Retry,
        }
    }

    /// Report of the command as far as its outcome is known, if it is not submitted again.
    #[must_use]
    pub fn report(&self) -> Report {
        let command = self.command();
        match self.last.clone() {
            Some(SubmitReply::Refused {
                change,
                refusal,
                winner,
            }) if !self.may_have_run() => Report::Refused {
                command,
                change: self.change(change),
                refusal,
                winner,
            },
            Some(SubmitReply::NotAccepted { reason })
                if !self.may_have_run() && !self.unconfirmed =>
            {
                Report::NotAccepted { command, reason }
            }
            None if !self.may_have_run() => Report::Unreachable {
                errors: self.errors.clone(),
            },
            last => Report::Unconfirmed {
                command,
                errors: self.errors.clone(),
                last: last.map(|reply| reply_text(&reply)),
            },
        }
    }

    /// Keeps the latest error of each instance, and whether any call may have reached it.
    fn record_errors(&mut self, errors: Vec<InstanceError>) {
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

    /// Whether a call without an answer may have reached an instance.
    fn may_have_run(&self) -> bool {
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

fn reply_text(reply: &SubmitReply) -> String {
    match reply {
        SubmitReply::Accepted { version } => format!("accepted: version {version}"),
        SubmitReply::Refused { refusal, .. } => format!("refused: {refusal}"),
        SubmitReply::NotAccepted { reason } => format!("not accepted: {reason}"),
        SubmitReply::Unconfirmed => "the store has not confirmed it".to_owned(),
    }
}
