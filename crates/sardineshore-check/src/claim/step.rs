//! Everything that may happen next in the model of claims.

use std::sync::Arc;

use sardineshore_core::claim::{
    ClaimAction, ClaimEvent, ClaimMachine, ClaimRow, ClaimState, DispatchResult, PeerReply,
    RunReport, RunResult,
};
use sardineshore_core::{NotRunReason, Outcome, StoreError, Txn, UnknownReason};

use super::node::Question;
use super::server::Message;
use super::{ClaimBreak, ClaimModel, ClaimWorld, FIRST_INCARNATION, SERVER, instant};

type Steps = Vec<(String, ClaimWorld)>;

/// All steps from a state.
pub(super) fn all(model: &ClaimModel, world: &ClaimWorld) -> Steps {
    let mut steps = Steps::new();
    for at in 0..world.nodes.len() {
        let node = Stepper { model, world, at };
        if !world.nodes[at].crashed {
            node.admit(&mut steps);
            node.store(&mut steps);
            node.questions(&mut steps);
            node.runner(&mut steps);
            node.call(&mut steps);
            node.tick(&mut steps);
            node.crash(&mut steps);
        }
    }
    environment(model, world, &mut steps);
    steps
}

/// Steps that no instance takes.
fn environment(model: &ClaimModel, world: &ClaimWorld, steps: &mut Steps) {
    if world.at < model.bounds.end {
        let mut next = world.clone();
        next.at += 1;
        steps.push(("time passes".into(), next));
    }
    for table in world.table.landings() {
        let mut next = world.clone();
        next.table = table;
        note_recorded(&mut next);
        steps.push(("table: a late write lands or fails its check".into(), next));
    }
    for at in 0..world.stray.len() {
        let mut next = world.clone();
        let message = next.stray.remove(at);
        let reached = next.server.is_reached_by(&message);
        let ran = reached && next.server.run(&message.run_id);
        let outcome = if ran { "runs" } else { "does not run" };
        let run_id = &message.run_id;
        steps.push((
            format!("server: stray call {run_id} arrives and {outcome}"),
            next,
        ));
    }
    if world.faults > 0 {
        let mut next = world.clone();
        next.faults -= 1;
        next.server.restart();
        steps.push(("server: restarts and forgets".into(), next));
    }
}

fn note_recorded(world: &mut ClaimWorld) {
    if world.recorded.is_some() {
        return;
    }
    let row = world
        .table
        .value()
        .and_then(|text| ClaimRow::from_json(text));
    if let Some(ClaimState::Answered { answer }) = row.map(|row| row.state) {
        world.recorded = Some(answer);
    }
}

/// Steps of one instance.
struct Stepper<'a> {
    model: &'a ClaimModel,
    world: &'a ClaimWorld,
    at: usize,
}

impl Stepper<'_> {
    fn name(&self) -> &'static str {
        self.world.nodes[self.at].name
    }

    fn machine(&self) -> Option<&ClaimMachine> {
        self.world.nodes[self.at].machine.as_ref()
    }

    fn faulty(&self) -> Option<ClaimWorld> {
        let mut next = self.world.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    /// Gives the machine an event and carries out what it asks for.
    fn give(&self, next: &mut ClaimWorld, event: ClaimEvent) {
        let now = instant(next.at);
        let Some(machine) = &mut next.nodes[self.at].machine else {
            return;
        };
        let mut actions = machine.step(event, now);
        self.bend(&mut actions, next);
        let ran = !next.server.runs.is_empty();
        let bound = !self.model.breaks(ClaimBreak::AnyIncarnation);
        let incarnation = bound.then_some(next.server.incarnation);
        let resolved = actions.iter().find_map(|action| match action {
            ClaimAction::Resolved(Some(answer)) => Some(answer.clone()),
            _ => None,
        });
        next.nodes[self.at].take(actions, incarnation, ran);
        if let Some(answer) = resolved {
            next.nodes[self.at].wants = false;
            self.give(next, ClaimEvent::RunEnded(RunResult::Answered(answer)));
        }
    }

    /// Changes actions as the broken rule asks.
    fn bend(&self, actions: &mut [ClaimAction], next: &ClaimWorld) {
        if !self.model.breaks(ClaimBreak::DenyLost) {
            return;
        }
        for action in actions {
            if let ClaimAction::Reply { outcome, .. } = action
                && matches!(outcome, Outcome::Unknown { .. })
                && next.nodes[self.at].sends > 0
            {
                let reason = NotRunReason::DeadlineUnreachable;
                *outcome = Outcome::NotRun { reason };
            }
        }
    }

    fn push(&self, steps: &mut Steps, what: &str, next: ClaimWorld) {
        steps.push((format!("{}: {what}", self.name()), next));
    }

    fn admit(&self, steps: &mut Steps) {
        // The instances are alike: the first request goes to the first one.
        let first = self.at == 0 || self.world.nodes[0].machine.is_some();
        let early = first || self.world.nodes[0].crashed;
        if self.machine().is_some() || !early {
            return;
        }
        let mut next = self.world.clone();
        let incarnation = next.server.incarnation;
        let actions = next.nodes[self.at].admit(next.at, incarnation);
        next.nodes[self.at].take(actions, None, false);
        self.push(steps, "request admitted, claim written", next);
    }

    fn store(&self, steps: &mut Steps) {
        if let Some(txn) = &self.world.nodes[self.at].write {
            self.write(txn, steps);
        }
    }

    fn write(&self, txn: &Txn, steps: &mut Steps) {
        let what = show(txn);
        let mut stored = self.world.clone();
        stored.nodes[self.at].write = None;
        let commit = self.apply(&mut stored, txn);
        self.give(&mut stored, ClaimEvent::Committed(Ok(commit)));
        self.push(steps, &format!("{what} answered"), stored);
        let Some(mut lost) = self.faulty() else {
            return;
        };
        lost.nodes[self.at].write = None;
        let (mut late, mut refused) = (lost.clone(), lost.clone());
        self.apply(&mut lost, txn);
        let unconfirmed = ClaimEvent::Committed(Err(StoreError::Unconfirmed));
        self.give(&mut lost, unconfirmed.clone());
        self.push(steps, &format!("{what} handled, its answer is lost"), lost);
        late.table.delay(txn.clone());
        self.give(&mut late, unconfirmed);
        self.push(steps, &format!("{what} delayed, without an answer"), late);
        let unavailable = ClaimEvent::Committed(Err(StoreError::Unavailable));
        self.give(&mut refused, unavailable);
        self.push(steps, &format!("{what} refused by the store"), refused);
    }

    fn apply(&self, next: &mut ClaimWorld, txn: &Txn) -> sardineshore_core::CommitOutcome {
        let row = ClaimRow::from_json(&txn.puts[0].value);
        let release = row.is_some_and(|row| row.state == ClaimState::Released);
        let unchecked = release && self.model.breaks(ClaimBreak::UncheckedRelease);
        let commit = if unchecked {
            next.table.overwrite(txn)
        } else {
            next.table.commit(txn)
        };
        note_recorded(next);
        commit
    }

    fn questions(&self, steps: &mut Steps) {
        match &self.world.nodes[self.at].question {
            Some(Question::Row) => {
                let mut next = self.world.clone();
                next.nodes[self.at].question = None;
                let row = next.table.row().cloned();
                self.give(&mut next, ClaimEvent::RowRead(Ok(row)));
                self.push(steps, "row read", next);
            }
            Some(Question::Peer) => self.ask_peer(steps),
            Some(Question::Server(run_id)) => self.status(run_id, steps),
            None => {}
        }
    }

    fn ask_peer(&self, steps: &mut Steps) {
        let other = &self.world.nodes[1 - self.at];
        if let Some(machine) = &other.machine {
            self.peer(machine.peer_reply(), self.world.clone(), steps);
        }
        let unreachable = if other.crashed {
            Some(self.world.clone())
        } else {
            self.faulty()
        };
        let reply = if self.model.breaks(ClaimBreak::TakeOver) {
            PeerReply::NeverRuns
        } else {
            PeerReply::Unreachable
        };
        if let Some(next) = unreachable {
            self.peer(reply, next, steps);
        }
    }

    fn peer(&self, reply: PeerReply, mut next: ClaimWorld, steps: &mut Steps) {
        next.nodes[self.at].question = None;
        let what = format!("peer says {reply:?}");
        self.give(&mut next, ClaimEvent::PeerReplied(reply));
        self.push(steps, &what, next);
    }

    fn status(&self, run_id: &Arc<str>, steps: &mut Steps) {
        let mut next = self.world.clone();
        let report = next.server.report(run_id);
        self.report(report, next, steps);
        if let Some(next) = self.faulty() {
            self.report(RunReport::NoAnswer, next, steps);
        }
    }

    fn report(&self, report: RunReport, mut next: ClaimWorld, steps: &mut Steps) {
        next.nodes[self.at].question = None;
        let trusting = self.model.breaks(ClaimBreak::TrustRestarted);
        let incarnation = if trusting {
            FIRST_INCARNATION
        } else {
            next.server.incarnation
        };
        let what = format!("server says {report:?}");
        let event = ClaimEvent::Status {
            server: SERVER.into(),
            incarnation,
            report,
        };
        self.give(&mut next, event);
        self.push(steps, &what, next);
    }

    fn runner(&self, steps: &mut Steps) {
        let node = &self.world.nodes[self.at];
        let waits = node.told.is_none() && node.machine.is_some() && !node.wants;
        if waits && node.sends == 0 && self.model.breaks(ClaimBreak::DenyEarly) {
            let mut next = self.world.clone();
            let reason = NotRunReason::NoServer;
            next.nodes[self.at].told = Some(Outcome::NotRun { reason });
            next.nodes[self.at].ran_before = !next.server.runs.is_empty();
            self.push(steps, "stage runner gives up and tells the caller", next);
        }
        if waits && node.sends == 0 && self.at == 1 {
            let mut next = self.world.clone();
            self.give(&mut next, give_up());
            self.push(steps, "stage runner gives up early", next);
        }
        if !node.wants {
            return;
        }
        if node.sends < self.model.bounds.sends {
            let mut next = self.world.clone();
            self.give(&mut next, self.dispatch_wanted());
            self.push(steps, "stage runner sends", next);
        }
        let mut next = self.world.clone();
        next.nodes[self.at].wants = false;
        self.give(&mut next, give_up());
        self.push(steps, "stage runner gives up", next);
    }

    fn dispatch_wanted(&self) -> ClaimEvent {
        let unbound = self.model.breaks(ClaimBreak::AnyIncarnation);
        let incarnation = if unbound {
            FIRST_INCARNATION
        } else {
            self.world.server.incarnation
        };
        ClaimEvent::DispatchRequested {
            stage: 0,
            server: SERVER.into(),
            incarnation,
            may_dispatch: true,
        }
    }

    fn call(&self, steps: &mut Steps) {
        let Some(message) = &self.world.nodes[self.at].sent else {
            return;
        };
        if !self.world.server.is_reached_by(message) {
            self.lose(self.world.clone(), "connection breaks", steps);
            return;
        }
        let mut next = self.world.clone();
        next.nodes[self.at].sent = None;
        let run_id = message.run_id.clone();
        if next.server.run(&run_id) {
            self.give(&mut next, ClaimEvent::Dispatched(DispatchResult::Answered));
            self.give(&mut next, ClaimEvent::RunEnded(RunResult::Answered(run_id)));
            self.push(steps, "call runs and is answered", next);
        } else {
            self.refused(next, steps);
        }
        self.lost_calls(message, steps);
    }

    fn refused(&self, mut next: ClaimWorld, steps: &mut Steps) {
        if self.model.breaks(ClaimBreak::ForeignAnswer) {
            let answer = RunResult::Answered("another".into());
            self.give(&mut next, ClaimEvent::RunEnded(answer));
            self.push(steps, "answer of another call is taken", next);
            return;
        }
        self.give(&mut next, ClaimEvent::Dispatched(DispatchResult::NotRun));
        next.nodes[self.at].wants = next.nodes[self.at].told.is_none();
        self.push(steps, "call is refused as sealed", next);
    }

    fn lost_calls(&self, message: &Message, steps: &mut Steps) {
        let Some(next) = self.faulty() else {
            return;
        };
        let mut ran = next.clone();
        if ran.server.run(&message.run_id) {
            self.lose(ran, "call runs, its answer is lost", steps);
        }
        let mut strays = next;
        strays.stray.push(message.clone());
        self.lose(strays, "connection is lost, the call still travels", steps);
    }

    fn lose(&self, mut next: ClaimWorld, what: &str, steps: &mut Steps) {
        next.nodes[self.at].sent = None;
        let resend = self.model.breaks(ClaimBreak::Resend);
        let result = if resend {
            DispatchResult::NotRun
        } else {
            DispatchResult::Lost(UnknownReason::ConnectionLost)
        };
        self.give(&mut next, ClaimEvent::Dispatched(result));
        if resend {
            next.nodes[self.at].wants = true;
        }
        self.push(steps, what, next);
    }

    fn tick(&self, steps: &mut Steps) {
        let Some(mut machine) = self.machine().cloned() else {
            return;
        };
        let _ = machine.step(ClaimEvent::Tick, instant(self.world.at));
        if self.machine() != Some(&machine) {
            let mut next = self.world.clone();
            self.give(&mut next, ClaimEvent::Tick);
            self.push(steps, "notices the time", next);
        }
    }

    fn crash(&self, steps: &mut Steps) {
        if self.machine().is_none() {
            return;
        }
        let Some(mut next) = self.faulty() else {
            return;
        };
        let node = &mut next.nodes[self.at];
        let (write, sent) = (node.write.take(), node.sent.take());
        node.crash();
        if let Some(txn) = write {
            next.table.delay(txn);
        }
        next.stray.extend(sent);
        self.push(steps, "crashes", next);
    }
}

fn give_up() -> ClaimEvent {
    ClaimEvent::RunEnded(RunResult::GaveUp(NotRunReason::NoServer))
}

fn show(txn: &Txn) -> String {
    let row = ClaimRow::from_json(&txn.puts[0].value);
    let state = match row.map(|row| row.state) {
        Some(ClaimState::Claimed) => "claim",
        Some(ClaimState::Released) => "release",
        Some(ClaimState::Answered { .. }) => "record",
        None => "write",
    };
    format!("{state} over revision {}", txn.checks[0].revision)
}
