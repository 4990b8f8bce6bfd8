//! Steps of the model of leases: everything that can happen next in a state.

use sardineshore_core::lease::{LeaseAction, LeaseEvent, LeaseRow};
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};

use super::{Instance, LeaseModel, LeaseModelState, LeaseMutation, ORDER_DELAY, Order, instant};

type Steps = Vec<(String, LeaseModelState)>;

/// Returns all steps from a state.
pub(super) fn all(model: &LeaseModel, state: &LeaseModelState) -> Steps {
    let mut steps = Steps::new();
    for index in 0..state.instances.len() {
        let stepper = Stepper {
            model,
            state,
            index,
        };
        stepper.want(&mut steps);
        stepper.write(&mut steps);
        stepper.answer(&mut steps);
        stepper.read(&mut steps);
        stepper.tick(&mut steps);
        stepper.order(&mut steps);
    }
    environment(model, state, &mut steps);
    steps
}

fn environment(model: &LeaseModel, state: &LeaseModelState, steps: &mut Steps) {
    let is_overdue = |order: &Order| state.time >= order.sent_at + ORDER_DELAY;
    let waits = !model.bounds.fencing && state.orders.iter().any(is_overdue);
    if state.time < model.bounds.end_time && !waits {
        let mut next = state.clone();
        next.time += 1;
        steps.push(("time passes".into(), next));
    }
    for table in state.table.apply_each_delayed() {
        let mut next = state.clone();
        next.table = table;
        steps.push((
            "table: a delayed write takes effect or fails its check".into(),
            next,
        ));
    }
    for index in 0..state.orders.len() {
        let mut next = state.clone();
        let token = next.orders.remove(index).token;
        let old = token < next.highest_token;
        if old && model.engine_fences() {
            steps.push((
                format!("engine: rejects the order with fencing token {token}"),
                next,
            ));
            continue;
        }
        next.stale_order_executed |= old;
        next.highest_token = next.highest_token.max(token);
        steps.push((
            format!("engine: executes the order with fencing token {token}"),
            next,
        ));
    }
}

/// Computes the steps of one instance.
struct Stepper<'a> {
    model: &'a LeaseModel,
    state: &'a LeaseModelState,
    index: usize,
}

impl Stepper<'_> {
    fn instance(&self) -> &Instance {
        &self.state.instances[self.index]
    }

    fn push(&self, steps: &mut Steps, what: &str, next: LeaseModelState) {
        steps.push((format!("{}: {what}", self.instance().name), next));
    }

    fn deliver(&self, next: &mut LeaseModelState, event: LeaseEvent) {
        let now = instant(next.time);
        let instance = &mut next.instances[self.index];
        for action in instance.machine.step(event, now) {
            match action {
                LeaseAction::Commit(txn) => instance.write = Some(txn),
                LeaseAction::ReadRow(_) => instance.read = true,
                LeaseAction::WakeAt(_) => {}
            }
        }
    }

    /// Adds the step that delivers an event, if the event changes the state.
    fn deliver_if_changed(&self, event: LeaseEvent, what: &str, steps: &mut Steps) {
        let mut next = self.state.clone();
        self.deliver(&mut next, event);
        if next != *self.state {
            self.push(steps, what, next);
        }
    }

    fn want(&self, steps: &mut Steps) {
        if self.index == 0 || self.state.table.row().is_some() {
            self.deliver_if_changed(LeaseEvent::Wanted(true), "wants the lease", steps);
        }
    }

    fn tick(&self, steps: &mut Steps) {
        self.deliver_if_changed(LeaseEvent::Tick, "handles a timer tick", steps);
    }

    fn write(&self, steps: &mut Steps) {
        let Some(txn) = &self.instance().write else {
            return;
        };
        if self.instance().writes == self.model.bounds.writes {
            return;
        }
        let mut stored = self.state.clone();
        stored.instances[self.index].write = None;
        stored.instances[self.index].writes += 1;
        let commit = stored.table.commit(txn);
        stored.instances[self.index].answer = Some(commit);
        self.push(steps, "write handled", stored);
        self.lost_writes(txn, steps);
    }

    fn answer(&self, steps: &mut Steps) {
        let mut next = self.state.clone();
        let Some(commit) = next.instances[self.index].answer.take() else {
            return;
        };
        let applied = matches!(commit, CommitOutcome::Applied { .. });
        if applied && self.model.has_mutation(LeaseMutation::CountFromAnswer) {
            next.instances[self.index].acts_until = next.time + 1;
        }
        let commit = self.mutate(commit);
        self.deliver(&mut next, LeaseEvent::Committed(Ok(commit)));
        self.push(steps, "write answered", next);
    }

    /// Sets the duration of the leases in a conflict to zero if the mutation is to not wait.
    fn mutate(&self, commit: CommitOutcome) -> CommitOutcome {
        match commit {
            CommitOutcome::Conflict { rows } => CommitOutcome::Conflict {
                rows: rows.into_iter().map(|row| self.mutate_row(row)).collect(),
            },
            applied @ CommitOutcome::Applied { .. } => applied,
        }
    }

    fn mutate_row(&self, row: Row) -> Row {
        if !self.model.has_mutation(LeaseMutation::NoWait) {
            return row;
        }
        let mut lease: LeaseRow = serde_json::from_str(&row.value).expect("a lease row");
        lease.duration_ms = 0;
        let value = serde_json::to_string(&lease).expect("a lease row serializes");
        Row {
            value: value.into(),
            ..row
        }
    }

    fn lost_writes(&self, txn: &Txn, steps: &mut Steps) {
        let Some(faults) = self.state.faults.checked_sub(1) else {
            return;
        };
        let mut lost = self.state.clone();
        lost.faults = faults;
        lost.instances[self.index].write = None;
        let mut late = lost.clone();
        let unconfirmed = LeaseEvent::Committed(Err(StoreError::Unconfirmed));
        lost.table.commit(txn);
        self.deliver(&mut lost, unconfirmed.clone());
        self.push(steps, "write applied, its answer is lost", lost);
        late.table.delay(txn.clone());
        self.deliver(&mut late, unconfirmed);
        self.push(steps, "write delayed and not answered", late);
    }

    fn read(&self, steps: &mut Steps) {
        if !self.instance().read {
            return;
        }
        let mut next = self.state.clone();
        next.instances[self.index].read = false;
        let row = next.table.row().cloned().map(|row| self.mutate_row(row));
        self.deliver(&mut next, LeaseEvent::RowRead(Ok(row)));
        self.push(steps, "row read", next);
    }

    fn order(&self, steps: &mut Steps) {
        let instance = self.instance();
        let Some(token) = instance.machine.current_token(instant(self.state.time)) else {
            return;
        };
        if instance.orders == self.model.bounds.orders {
            return;
        }
        let mut next = self.state.clone();
        next.instances[self.index].orders += 1;
        let sent_at = next.time;
        next.orders.push(Order { token, sent_at });
        self.push(
            steps,
            &format!("sends an order with fencing token {token}"),
            next,
        );
    }
}
