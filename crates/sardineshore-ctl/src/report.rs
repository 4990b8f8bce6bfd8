//! What became of the steps, and the exit code that follows.

use sardineshore_core::{Answer, ChangeError, CommandId, Finding, Fingerprint, Version};
use sardineshore_wire::operator::{OrderOutcome, Progress};
use serde::{Deserialize, Serialize};

use crate::fleet::InstanceError;

/// How `sardinectl` ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Exit {
    /// Everything was done.
    Done = 0,
    /// A statement was refused; it changed nothing.
    Refused = 1,
    /// The input or a setting is faulty; nothing was sent.
    Faulty = 2,
    /// No instance answered, or it is not known whether a statement took effect, or a version was
    /// not in force in time.
    Unconfirmed = 3,
}

/// What became of one step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "report")]
pub enum Report {
    /// A query was answered.
    Answer {
        /// The answer, of all instances that gave one if each knows a part.
        #[serde(flatten)]
        answer: Answer,
        /// Instances whose part is missing.
        missing: Vec<InstanceError>,
    },
    /// Changes were accepted.
    Accepted {
        /// Command that holds them.
        command: CommandId,
        /// Version that they made.
        version: Version,
        /// Where it was in force when last asked.
        progress: Option<Progress>,
        /// Whether the program waited for it to be in force.
        waited: bool,
    },
    /// Changes were refused; nothing was changed.
    Refused {
        /// Command that held them.
        command: CommandId,
        /// Text of the change that does not fit.
        change: String,
        /// Why.
        refusal: ChangeError,
        /// Command that won a race against this one.
        winner: Option<CommandId>,
    },
    /// No instance may accept changes now; nothing was changed.
    NotAccepted {
        /// Command that held them.
        command: CommandId,
        /// Why, by the instance that was asked last.
        reason: String,
    },
    /// It is not known whether a command took effect; the same command may be sent again.
    Unconfirmed {
        /// The command.
        command: CommandId,
        /// Instances that did not answer.
        errors: Vec<InstanceError>,
        /// What the last instance that answered said.
        last: Option<String>,
    },
    /// An order to an engine was answered.
    Order {
        /// Command that held it.
        command: CommandId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// A quarantine was lifted, or there was none.
    Release {
        /// Fingerprint.
        fingerprint: Fingerprint,
        /// Whether it was under quarantine.
        released: bool,
    },
    /// No instance answered.
    Unreachable {
        /// Why.
        errors: Vec<InstanceError>,
    },
    /// The input is faulty; nothing was sent.
    Faulty {
        /// All faults.
        findings: Vec<Finding>,
    },
}

impl Report {
    /// How the program ends after this report.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Accepted {
                progress, waited, ..
            } => {
                let in_force = progress.as_ref().is_some_and(|it| it.in_force);
                if *waited && !in_force {
                    Exit::Unconfirmed
                } else {
                    Exit::Done
                }
            }
            Self::Order { outcome, .. } => match outcome {
                OrderOutcome::Done => Exit::Done,
                OrderOutcome::NotSent { .. } => Exit::Refused,
                OrderOutcome::Unknown { .. } => Exit::Unconfirmed,
            },
            Self::Answer { .. } | Self::Release { released: true, .. } => Exit::Done,
            Self::Refused { .. } | Self::Release { .. } => Exit::Refused,
            Self::Faulty { .. } => Exit::Faulty,
            Self::NotAccepted { .. } | Self::Unconfirmed { .. } | Self::Unreachable { .. } => {
                Exit::Unconfirmed
            }
        }
    }
}

/// How the program ends after all reports.
#[must_use]
pub fn exit(reports: &[Report]) -> Exit {
    let exits = reports.iter().map(Report::exit);
    exits.max().unwrap_or(Exit::Done)
}
