//! One entry instance of the model: the claim machine, its stage runner and its open calls.

use std::sync::Arc;

use sardineshore_core::claim::{ClaimAction, ClaimMachine};
use sardineshore_core::{AttemptId, Outcome, Txn};

use super::server::Message;
use super::{config, instant, request, wall};

/// What an instance is asking.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Question {
    /// The table, for the row.
    Row,
    /// The other instance, for its attempt.
    Peer,
    /// The backend server, for a run.
    Server(Arc<str>),
}

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) name: &'static str,
    pub(super) crashed: bool,
    /// The request's claim, once it was admitted.
    pub(super) machine: Option<ClaimMachine>,
    /// Store write without its answer.
    pub(super) write: Option<Txn>,
    /// Question without its answer.
    pub(super) question: Option<Question>,
    /// Call on its way.
    pub(super) sent: Option<Message>,
    /// Whether the stage runner wants to send.
    pub(super) wants: bool,
    pub(super) sends: u8,
    pub(super) told: Option<Outcome>,
    pub(super) answer: Option<Arc<str>>,
    /// Whether any attempt had run when the caller was told.
    pub(super) ran_before: bool,
}

impl Node {
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            crashed: false,
            machine: None,
            write: None,
            question: None,
            sent: None,
            wants: false,
            sends: 0,
            told: None,
            answer: None,
            ran_before: false,
        }
    }

    /// The attempt that this instance claims with.
    pub(super) fn attempt(&self) -> AttemptId {
        format!("{}-a", self.name).into()
    }

    /// Admits the request; returns the machine's first actions.
    pub(super) fn admit(&mut self, at: u8, incarnation: u64) -> Vec<ClaimAction> {
        let req = request(self.name, at, incarnation);
        let mut machine = ClaimMachine::new(req, config(), instant(at));
        let actions = machine.start(instant(at), wall());
        self.machine = Some(machine);
        actions
    }

    /// Carries actions out, as far as they concern this instance alone.
    pub(super) fn take(&mut self, actions: Vec<ClaimAction>, incarnation: Option<u64>, ran: bool) {
        for action in actions {
            match action {
                ClaimAction::Commit(txn) => self.write = Some(txn),
                ClaimAction::ReadRow(_) => self.question = Some(Question::Row),
                ClaimAction::Held | ClaimAction::Resolved(_) => self.wants = true,
                ClaimAction::Dispatch { run_id, .. } => {
                    self.sends += 1;
                    self.wants = false;
                    self.sent = Some(Message {
                        run_id,
                        incarnation,
                    });
                }
                ClaimAction::AskServer { run_id, .. } => {
                    self.question = Some(Question::Server(run_id));
                }
                ClaimAction::AskPeer { .. } => self.question = Some(Question::Peer),
                ClaimAction::Reply { outcome, answer } => {
                    self.wants = false;
                    self.told = Some(outcome);
                    self.answer = answer;
                    self.ran_before = ran;
                }
                ClaimAction::WakeAt(_) | ClaimAction::Done => {}
            }
        }
    }

    /// Stops for good; what the caller was told stays told.
    pub(super) fn crash(&mut self) {
        *self = Self {
            crashed: true,
            told: self.told.take(),
            answer: self.answer.take(),
            ran_before: self.ran_before,
            ..Self::new(self.name)
        };
    }
}
