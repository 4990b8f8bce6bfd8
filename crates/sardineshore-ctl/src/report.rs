//! Results of the steps, and the exit code that follows from them.
//!
//! With `--output json` the program prints the [`Report`]s.

use sardineshore_core::{ChangeError, CommandId, Diagnostic, Fingerprint, QueryResponse, Version};
use sardineshore_wire::operator::{OrderOutcome, Progress};
use serde::{Deserialize, Serialize};

use crate::client::InstanceError;

/// Exit code of `sardinectl`; a higher code takes precedence over a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ExitCode {
    /// All steps were done.
    Done = 0,
    /// A statement was rejected; it changed nothing.
    Refused = 1,
    /// A statement or a setting is invalid; nothing was sent.
    InvalidInput = 2,
    /// No instance answered or could accept the command, it is not known whether a statement took
    /// effect, or a version did not become active in time.
    Unconfirmed = 3,
}

/// Result of one step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "report")]
pub enum Report {
    /// A query was answered.
    Answer {
        /// The answer; if each instance knows only a part, the parts are merged.
        #[serde(flatten)]
        answer: QueryResponse,
        /// Errors of the instances whose part is missing.
        missing: Vec<InstanceError>,
    },
    /// Changes were accepted.
    Accepted {
        /// Command that the changes belong to.
        command: CommandId,
        /// Configuration version that the command made.
        version: Version,
        /// Where the version was active when last asked; `None` if no instance answered.
        progress: Option<Progress>,
        /// Whether the program waited for the version to become active.
        waited: bool,
    },
    /// Changes were rejected; nothing was changed.
    Refused {
        /// Command that the changes belong to.
        command: CommandId,
        /// Text of the change that can't be applied.
        change: String,
        /// Why it can't be applied.
        refusal: ChangeError,
        /// Command that was accepted concurrently and made this one invalid, if there was one.
        winner: Option<CommandId>,
    },
    /// No instance could accept changes; nothing was changed.
    NotAccepted {
        /// Command that the changes belong to.
        command: CommandId,
        /// Reason that the last called instance gave.
        reason: String,
    },
    /// It is not known whether a command took effect; the same command may be sent again.
    Unconfirmed {
        /// Command whose outcome is not known.
        command: CommandId,
        /// Errors of the instances that did not answer.
        errors: Vec<InstanceError>,
        /// Text of the last answer, if any instance answered.
        last: Option<String>,
    },
    /// An order to an engine was answered.
    Order {
        /// Identifier of the order's command.
        command: CommandId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// An instance answered a request to lift a quarantine.
    Release {
        /// Fingerprint of the requests that were under quarantine.
        fingerprint: Fingerprint,
        /// Whether there was a quarantine to lift.
        released: bool,
    },
    /// No instance answered.
    Unreachable {
        /// Errors of all instances.
        errors: Vec<InstanceError>,
    },
    /// A statement or a setting is invalid; nothing was sent.
    Faulty {
        /// All errors.
        findings: Vec<Diagnostic>,
    },
}

impl Report {
    /// Exit code if this is the only report.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Accepted {
                progress, waited, ..
            } => {
                let in_force = progress.as_ref().is_some_and(|it| it.in_force);
                if *waited && !in_force {
                    ExitCode::Unconfirmed
                } else {
                    ExitCode::Done
                }
            }
            Self::Order { outcome, .. } => match outcome {
                OrderOutcome::Done => ExitCode::Done,
                OrderOutcome::NotSent { .. } => ExitCode::Refused,
                OrderOutcome::Unknown { .. } => ExitCode::Unconfirmed,
            },
            Self::Answer { .. } | Self::Release { released: true, .. } => ExitCode::Done,
            Self::Refused { .. } | Self::Release { .. } => ExitCode::Refused,
            Self::Faulty { .. } => ExitCode::InvalidInput,
            Self::NotAccepted { .. } | Self::Unconfirmed { .. } | Self::Unreachable { .. } => {
                ExitCode::Unconfirmed
            }
        }
    }
}

/// Exit code of the program after all reports: the highest of their codes.
#[must_use]
pub fn exit_code(reports: &[Report]) -> ExitCode {
    let codes = reports.iter().map(Report::exit_code);
    codes.max().unwrap_or(ExitCode::Done)
}
