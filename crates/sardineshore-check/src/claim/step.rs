//! Steps of the model of claims: everything that can happen next in a state.

use std::sync::Arc;

use sardineshore_core::claim::{
    ClaimAction, ClaimEvent, ClaimMachine, ClaimRow, ClaimState, DispatchResult, PeerReply,
    RunReport, RunResult,
};
use sardineshore_core::{NotRunReason, Outcome, StoreError, Txn, UnknownReason};

use super::instance::Query;
use super::server::Message;
use super::{ClaimModel, ClaimModelState, ClaimMutation, FIRST_INCARNATION, SERVER, instant};

type Steps = Vec<(String, ClaimModelState)>;

/// Returns all steps from a state.
pub(super) fn all(model: &ClaimModel, state: &ClaimModelState) -> Steps {
    let mut steps = Steps::new();
    for index in 0..state.instances.len() {
        let stepper = Stepper {
            model,
            state,
            index,
        };
        if !state.instances[index].crashed {
            stepper.admit(&mut steps);
            stepper.store(&mut steps);
            stepper.queries(&mut steps);
            stepper.runner(&mut steps);
            stepper.call(&mut steps);
            stepper.tick(&mut steps);
            stepper.crash(&mut steps);
        }
    }
    environment(model, state, &mut steps);
    steps
}

/// Adds the steps of the clock, the table and the backend server.
fn environment(model: &ClaimModel, state: &ClaimModelState, steps: &mut Steps) {
    if state.time < model.bounds.end_time {
        let mut next = state.clone();
        next.time += 1;
        steps.push(("time passes".into(), next));
    }
    for table in state.table.apply_each_delayed() {
        let mut next = state.clone();
        next.table = table;
        track_recorded(&mut next);
        steps.push((
            "table: a delayed write takes effect or fails its check".into(),
            next,
        ));
    }
    for index in 0..state.orphaned.len() {
        let mut next = state.clone();
        let message = next.orphaned.remove(index);
        let reached = next.server.is_reached_by(&message);
        let ran = reached && next.server.run(&message.run_id);
        let outcome = if ran { "runs" } else { "does not run" };
        let run_id = &message.run_id;
        steps.push((
            format!("server: orphaned call {run_id} arrives and {outcome}"),
            next,
        ));
    }
    if state.faults > 0 {
        let mut next = state.clone();
        next.faults -= 1;
        next.server.restart();
        steps.push(("server: restarts and loses its memory".into(), next));
    }
}

fn track_recorded(state: &mut ClaimModelState) {
    if state.recorded.is_some() {
        return;
    }
    let row = state
        .table
        .value()
        .and_then(|text| ClaimRow::from_json(text));
    if let Some(ClaimState::Answered { answer }) = row.map(|row| row.state) {
        state.recorded = Some(answer);
    }
}

/// Computes the steps of one instance.
struct Stepper<'a> {
    model: &'a ClaimModel,
    state: &'a ClaimModelState,
    index: usize,
}

impl Stepper<'_> {
    fn name(&self) -> &'static str {
        self.state.instances[self.index].name
    }

    fn machine(&self) -> Option<&ClaimMachine> {
        self.state.instances[self.index].machine.as_ref()
    }

    fn with_fault(&self) -> Option<ClaimModelState> {
        let mut next = self.state.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    /// Delivers an event to the claim machine and applies the resulting actions.
    fn deliver(&self, next: &mut ClaimModelState, event: ClaimEvent) {
        let now = instant(next.time);
        let Some(machine) = &mut next.instances[self.index].machine else {
            return;
        };
        let mut actions = machine.step(event, now);
        self.mutate(&mut actions, next);
        let ran = !next.server.runs.is_empty();
        let bound = !self.model.has_mutation(ClaimMutation::AnyIncarnation);
        let incarnation = bound.then_some(next.server.incarnation);
        let resolved = actions.iter().find_map(|action| match action {
            ClaimAction::Resolved(Some(answer)) => Some(answer.clone()),
            _ => None,
        });
        next.instances[self.index].apply_actions(actions, incarnation, ran);
        if let Some(answer) = resolved {
            next.instances[self.index].wants_dispatch = false;
            self.deliver(next, ClaimEvent::RunEnded(RunResult::Answered(answer)));
        }
    }

    /// Changes the actions as the mutation requires.
    fn mutate(&self, actions: &mut [ClaimAction], next: &ClaimModelState) {
        if !self.model.has_mutation(ClaimMutation::DenyLost) {
            return;
        }
        for action in actions {
            if let ClaimAction::Reply { outcome, .. } = action
                && matches!(outcome, Outcome::Unknown { .. })
                && next.instances[self.index].sends > 0
            {
                let reason = NotRunReason::DeadlineUnreachable;
                *outcome = Outcome::NotRun { reason };
            }
        }
    }

    fn push(&self, steps: &mut Steps, what: &str, next: ClaimModelState) {
        steps.push((format!("{}: {what}", self.name()), next));
    }

    fn admit(&self, steps: &mut Steps) {
        // The instances are symmetric, so the first request always goes to the first one.
        let first = self.index == 0 || self.state.instances[0].machine.is_some();
        let early = first || self.state.instances[0].crashed;
        if self.machine().is_some() || !early {
            return;
        }
        let mut next = self.state.clone();
        let incarnation = next.server.incarnation;
        let actions = next.instances[self.index].admit(next.time, incarnation);
        next.instances[self.index].apply_actions(actions, None, false);
        self.push(steps, "request admitted, claim written", next);
    }

    fn store(&self, steps: &mut Steps) {
        if let Some(txn) = &self.state.instances[self.index].write {
            self.write(txn, steps);
        }
    }

    fn write(&self, txn: &Txn, steps: &mut Steps) {
        let what = show(txn);
        let mut stored = self.state.clone();
        stored.instances[self.index].write = None;
        let commit = self.apply(&mut stored, txn);
        self.deliver(&mut stored, ClaimEvent::Committed(Ok(commit)));
        self.push(steps, &format!("{what} answered"), stored);
        let Some(mut lost) = self.with_fault() else {
            return;
        };
        lost.instances[self.index].write = None;
        let (mut late, mut refused) = (lost.clone(), lost.clone());
        self.apply(&mut lost, txn);
        let unconfirmed = ClaimEvent::Committed(Err(StoreError::Unconfirmed));
        self.deliver(&mut lost, unconfirmed.clone());
        self.push(steps, &format!("{what} applied, its answer is lost"), lost);
        late.table.delay(txn.clone());
        self.deliver(&mut late, unconfirmed);
        self.push(steps, &format!("{what} delayed and not answered"), late);
        let unavailable = ClaimEvent::Committed(Err(StoreError::Unavailable));
        self.deliver(&mut refused, unavailable);
        self.push(steps, &format!("{what} refused by the store"), refused);
    }

    fn apply(&self, next: &mut ClaimModelState, txn: &Txn) -> sardineshore_core::CommitOutcome {
        let row = ClaimRow::from_json(&txn.puts[0].value);
        let release = row.is_some_and(|row| row.state == ClaimState::Released);
        let unchecked = release && self.model.has_mutation(ClaimMutation::UncheckedRelease);
        let commit = if unchecked {
            next.table.overwrite(txn)
        } else {
            next.table.commit(txn)
        };
        track_recorded(next);
        commit
    }

    fn queries(&self, steps: &mut Steps) {
        match &self.state.instances[self.index].query {
            Some(Query::Row) => {
                let mut next = self.state.clone();
                next.instances[self.index].query = None;
                let row = next.table.row().cloned();
                self.deliver(&mut next, ClaimEvent::RowRead(Ok(row)));
                self.push(steps, "row read", next);
            }
            Some(Query::Peer) => self.query_peer(steps),
            Some(Query::Server(run_id)) => self.query_status(run_id, steps),
            None => {}
        }
    }

    fn query_peer(&self, steps: &mut Steps) {
        let other = &self.state.instances[1 - self.index];
        if let Some(machine) = &other.machine {
            self.peer_replied(machine.peer_reply(), self.state.clone(), steps);
        }
        let unreachable = if other.crashed {
            Some(self.state.clone())
        } else {
            self.with_fault()
        };
        let reply = if self.model.has_mutation(ClaimMutation::TakeOver) {
            PeerReply::NeverRuns
        } else {
            PeerReply::Unreachable
        };
        if let Some(next) = unreachable {
            self.peer_replied(reply, next, steps);
        }
    }

    fn peer_replied(&self, reply: PeerReply, mut next: ClaimModelState, steps: &mut Steps) {
        next.instances[self.index].query = None;
        let what = format!("peer says {reply:?}");
        self.deliver(&mut next, ClaimEvent::PeerReplied(reply));
        self.push(steps, &what, next);
    }

    fn query_status(&self, run_id: &Arc<str>, steps: &mut Steps) {
        let mut next = self.state.clone();
        let report = next.server.report(run_id);
        self.report(report, next, steps);
        if let Some(next) = self.with_fault() {
            self.report(RunReport::NoAnswer, next, steps);
        }
    }

    fn report(&self, report: RunReport, mut next: ClaimModelState, steps: &mut Steps) {
        next.instances[self.index].query = None;
        let trusting = self.model.has_mutation(ClaimMutation::TrustRestarted);
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
        self.deliver(&mut next, event);
        self.push(steps, &what, next);
    }

    fn runner(&self, steps: &mut Steps) {
        let instance = &self.state.instances[self.index];
        let waits =
            instance.reported.is_none() && instance.machine.is_some() && !instance.wants_dispatch;
        if waits && instance.sends == 0 && self.model.has_mutation(ClaimMutation::DenyEarly) {
            let mut next = self.state.clone();
            let reason = NotRunReason::NoServer;
            next.instances[self.index].reported = Some(Outcome::NotRun { reason });
            next.instances[self.index].ran_before_report = !next.server.runs.is_empty();
            self.push(
                steps,
                "stage runner gives up and reports to the caller",
                next,
            );
        }
        if waits && instance.sends == 0 && self.index == 1 {
            let mut next = self.state.clone();
            self.deliver(&mut next, give_up());
            self.push(steps, "stage runner gives up early", next);
        }
        if !instance.wants_dispatch {
            return;
        }
        if instance.sends < self.model.bounds.sends {
            let mut next = self.state.clone();
            self.deliver(&mut next, self.dispatch_request());
            self.push(steps, "stage runner sends", next);
        }
        let mut next = self.state.clone();
        next.instances[self.index].wants_dispatch = false;
        self.deliver(&mut next, give_up());
        self.push(steps, "stage runner gives up", next);
    }

    fn dispatch_request(&self) -> ClaimEvent {
        let unbound = self.model.has_mutation(ClaimMutation::AnyIncarnation);
        let incarnation = if unbound {
            FIRST_INCARNATION
        } else {
            self.state.server.incarnation
        };
        ClaimEvent::DispatchRequested {
            stage: 0,
            server: SERVER.into(),
            incarnation,
            may_dispatch: true,
        }
    }

    fn call(&self, steps: &mut Steps) {
        let Some(message) = &self.state.instances[self.index].in_flight else {
            return;
        };
        if !self.state.server.is_reached_by(message) {
            self.lose(self.state.clone(), "connection breaks", steps);
            return;
        }
        let mut next = self.state.clone();
        next.instances[self.index].in_flight = None;
        let run_id = message.run_id.clone();
        if next.server.run(&run_id) {
            self.deliver(&mut next, ClaimEvent::Dispatched(DispatchResult::Answered));
            self.deliver(&mut next, ClaimEvent::RunEnded(RunResult::Answered(run_id)));
            self.push(steps, "call runs and is answered", next);
        } else {
            self.refused(next, steps);
        }
        self.lost_calls(message, steps);
    }

    fn refused(&self, mut next: ClaimModelState, steps: &mut Steps) {
        if self.model.has_mutation(ClaimMutation::ForeignAnswer) {
            let answer = RunResult::Answered("another".into());
            self.deliver(&mut next, ClaimEvent::RunEnded(answer));
            self.push(steps, "answer of another call is accepted", next);
            return;
        }
        self.deliver(&mut next, ClaimEvent::Dispatched(DispatchResult::NotRun));
        next.instances[self.index].wants_dispatch = next.instances[self.index].reported.is_none();
        self.push(steps, "call is refused because the run is sealed", next);
    }

    fn lost_calls(&self, message: &Message, steps: &mut Steps) {
        let Some(next) = self.with_fault() else {
            return;
        };
        let mut ran = next.clone();
        if ran.server.run(&message.run_id) {
            self.lose(ran, "call runs, its answer is lost", steps);
        }
        let mut in_transit = next;
        in_transit.orphaned.push(message.clone());
        self.lose(
            in_transit,
            "connection is lost, the call is still in transit",
            steps,
        );
    }

    fn lose(&self, mut next: ClaimModelState, what: &str, steps: &mut Steps) {
        next.instances[self.index].in_flight = None;
        let resend = self.model.has_mutation(ClaimMutation::Resend);
        let result = if resend {
            DispatchResult::NotRun
        } else {
            DispatchResult::Lost(UnknownReason::ConnectionLost)
        };
        self.deliver(&mut next, ClaimEvent::Dispatched(result));
        if resend {
            next.instances[self.index].wants_dispatch = true;
        }
        self.push(steps, what, next);
    }

    fn tick(&self, steps: &mut Steps) {
        let Some(mut machine) = self.machine().cloned() else {
            return;
        };
        let _ = machine.step(ClaimEvent::Tick, instant(self.state.time));
        if self.machine() != Some(&machine) {
            let mut next = self.state.clone();
            self.deliver(&mut next, ClaimEvent::Tick);
            self.push(steps, "handles a timer tick", next);
        }
    }

    fn crash(&self, steps: &mut Steps) {
        if self.machine().is_none() {
            return;
        }
        let Some(mut next) = self.with_fault() else {
            return;
        };
        let instance = &mut next.instances[self.index];
        let (write, in_flight) = (instance.write.take(), instance.in_flight.take());
        instance.crash();
        if let Some(txn) = write {
            next.table.delay(txn);
        }
        next.orphaned.extend(in_flight);
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
