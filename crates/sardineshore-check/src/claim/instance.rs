//! Entry instance in the model of claims: the claim machine, its stage runner and pending calls.

use std::sync::Arc;

use sardineshore_core::claim::{ClaimAction, ClaimMachine};
use sardineshore_core::{AttemptId, Outcome, Txn};

use super::server::Message;
use super::{config, instant, request, wall};

/// A query that an instance waits for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Query {
    /// Reads the row from the table.
    Row,
    /// Asks the other instance about its attempt.
    Peer,
    /// Asks the backend server for the status of a run.
    Server(Arc<str>),
}

/// State of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Instance {
    pub(super) name: &'static str,
    pub(super) crashed: bool,
    /// Claim machine of the request, once the request is admitted.
    pub(super) machine: Option<ClaimMachine>,
    /// Write to the store that is not answered yet.
    pub(super) write: Option<Txn>,
    /// Query that is not answered yet.
    pub(super) query: Option<Query>,
    /// Call in transit to the backend server.
    pub(super) in_flight: Option<Message>,
    /// Whether the stage runner is ready to send a call.
    pub(super) wants_dispatch: bool,
    pub(super) sends: u8,
    pub(super) reported: Option<Outcome>,
    pub(super) answer: Option<Arc<str>>,
    /// Whether any attempt had run when the outcome was reported to the caller.
    pub(super) ran_before_report: bool,
}

impl Instance {
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            crashed: false,
            machine: None,
            write: None,
            query: None,
            in_flight: None,
            wants_dispatch: false,
            sends: 0,
            reported: None,
            answer: None,
            ran_before_report: false,
        }
    }

    /// Attempt that this instance writes into its claim.
    pub(super) fn attempt(&self) -> AttemptId {
        format!("{}-a", self.name).into()
    }

    /// Admits the request; returns the first actions of the claim machine.
    pub(super) fn admit(&mut self, time: u8, incarnation: u64) -> Vec<ClaimAction> {
        let req = request(self.name, time, incarnation);
        let mut machine = ClaimMachine::new(req, config(), instant(time));
        let actions = machine.start(instant(time), wall());
        self.machine = Some(machine);
        actions
    }

    /// Applies those actions that change only this instance. `ran` tells whether any attempt has
    /// run.
    pub(super) fn apply_actions(
        &mut self,
        actions: Vec<ClaimAction>,
        incarnation: Option<u64>,
        ran: bool,
    ) {
        for action in actions {
            match action {
                ClaimAction::Commit(txn) => self.write = Some(txn),
                ClaimAction::ReadRow(_) => self.query = Some(Query::Row),
                ClaimAction::Held | ClaimAction::Resolved(_) => self.wants_dispatch = true,
                ClaimAction::Dispatch { run_id, .. } => {
                    self.sends += 1;
                    self.wants_dispatch = false;
                    self.in_flight = Some(Message {
                        run_id,
                        incarnation,
                    });
                }
                ClaimAction::AskServer { run_id, .. } => {
                    self.query = Some(Query::Server(run_id));
                }
                ClaimAction::AskPeer { .. } => self.query = Some(Query::Peer),
                ClaimAction::Reply { outcome, answer } => {
                    self.wants_dispatch = false;
                    self.reported = Some(outcome);
                    self.answer = answer;
                    self.ran_before_report = ran;
                }
                ClaimAction::WakeAt(_) | ClaimAction::Done => {}
            }
        }
    }

    /// Crashes and never restarts; the outcome reported to the caller is kept.
    pub(super) fn crash(&mut self) {
        *self = Self {
            crashed: true,
            reported: self.reported.take(),
            answer: self.answer.take(),
            ran_before_report: self.ran_before_report,
            ..Self::new(self.name)
        };
    }
}
