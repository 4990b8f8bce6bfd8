//! Everything that may happen next in the model of leases.

use sardineshore_core::lease::{LeaseAction, LeaseEvent, LeaseRow};
use sardineshore_core::{CommitOutcome, Row, StoreError, Txn};

use super::{Holder, LeaseBreak, LeaseModel, LeaseWorld, ORDER_DELAY, Order, instant};

type Steps = Vec<(String, LeaseWorld)>;

/// All steps from a state.
pub(super) fn all(model: &LeaseModel, world: &LeaseWorld) -> Steps {
    let mut steps = Steps::new();
    for at in 0..world.holders.len() {
        let stepper = Stepper { model, world, at };
        stepper.want(&mut steps);
        stepper.write(&mut steps);
        stepper.answer(&mut steps);
        stepper.read(&mut steps);
        stepper.tick(&mut steps);
        stepper.order(&mut steps);
    }
    environment(model, world, &mut steps);
    steps
}

fn environment(model: &LeaseModel, world: &LeaseWorld, steps: &mut Steps) {
    let overdue = |order: &Order| world.at >= order.sent_at + ORDER_DELAY;
    let waits = !model.bounds.fencing && world.orders.iter().any(overdue);
    if world.at < model.bounds.end && !waits {
        let mut next = world.clone();
        next.at += 1;
        steps.push(("time passes".into(), next));
    }
    for table in world.table.landings() {
        let mut next = world.clone();
        next.table = table;
        steps.push(("table: a late write lands or fails its check".into(), next));
    }
    for at in 0..world.orders.len() {
        let mut next = world.clone();
        let fence = next.orders.remove(at).fence;
        let old = fence < next.highest;
        if old && model.engine_fences() {
            steps.push((format!("engine: refuses the order of fence {fence}"), next));
            continue;
        }
        next.out_of_sequence |= old;
        next.highest = next.highest.max(fence);
        steps.push((
            format!("engine: carries out the order of fence {fence}"),
            next,
        ));
    }
}

/// Steps of one instance.
struct Stepper<'a> {
    model: &'a LeaseModel,
    world: &'a LeaseWorld,
    at: usize,
}

impl Stepper<'_> {
    fn holder(&self) -> &Holder {
        &self.world.holders[self.at]
    }

    fn push(&self, steps: &mut Steps, what: &str, next: LeaseWorld) {
        steps.push((format!("{}: {what}", self.holder().name), next));
    }

    fn give(&self, next: &mut LeaseWorld, event: LeaseEvent) {
        let now = instant(next.at);
        let holder = &mut next.holders[self.at];
        for action in holder.machine.step(event, now) {
            match action {
                LeaseAction::Commit(txn) => holder.write = Some(txn),
                LeaseAction::ReadRow(_) => holder.read = true,
                LeaseAction::WakeAt(_) => {}
            }
        }
    }

    /// Gives an event only if it changes the machine.
    fn give_news(&self, event: LeaseEvent, what: &str, steps: &mut Steps) {
        let mut next = self.world.clone();
        self.give(&mut next, event);
        if next != *self.world {
            self.push(steps, what, next);
        }
    }

    fn want(&self, steps: &mut Steps) {
        if self.at == 0 || self.world.table.row().is_some() {
            self.give_news(LeaseEvent::Wanted(true), "wants the lease", steps);
        }
    }

    fn tick(&self, steps: &mut Steps) {
        self.give_news(LeaseEvent::Tick, "notices the time", steps);
    }

    fn write(&self, steps: &mut Steps) {
        let Some(txn) = &self.holder().write else {
            return;
        };
        if self.holder().writes == self.model.bounds.writes {
            return;
        }
        let mut stored = self.world.clone();
        stored.holders[self.at].write = None;
        stored.holders[self.at].writes += 1;
        let commit = stored.table.commit(txn);
        stored.holders[self.at].answer = Some(commit);
        self.push(steps, "write handled", stored);
        self.lost_writes(txn, steps);
    }

    fn answer(&self, steps: &mut Steps) {
        let mut next = self.world.clone();
        let Some(commit) = next.holders[self.at].answer.take() else {
            return;
        };
        let applied = matches!(commit, CommitOutcome::Applied { .. });
        if applied && self.model.breaks(LeaseBreak::CountFromAnswer) {
            next.holders[self.at].acts_until = next.at + 1;
        }
        let commit = self.bend(commit);
        self.give(&mut next, LeaseEvent::Committed(Ok(commit)));
        self.push(steps, "write answered", next);
    }

    /// Shows a candidate a lease without duration, if the variant does not wait.
    fn bend(&self, commit: CommitOutcome) -> CommitOutcome {
        match commit {
            CommitOutcome::Conflict { rows } => CommitOutcome::Conflict {
                rows: rows.into_iter().map(|row| self.bend_row(row)).collect(),
            },
            applied @ CommitOutcome::Applied { .. } => applied,
        }
    }

    fn bend_row(&self, row: Row) -> Row {
        if !self.model.breaks(LeaseBreak::NoWait) {
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
        let Some(faults) = self.world.faults.checked_sub(1) else {
            return;
        };
        let mut lost = self.world.clone();
        lost.faults = faults;
        lost.holders[self.at].write = None;
        let mut late = lost.clone();
        let unconfirmed = LeaseEvent::Committed(Err(StoreError::Unconfirmed));
        lost.table.commit(txn);
        self.give(&mut lost, unconfirmed.clone());
        self.push(steps, "write handled, its answer is lost", lost);
        late.table.delay(txn.clone());
        self.give(&mut late, unconfirmed);
        self.push(steps, "write delayed, without an answer", late);
    }

    fn read(&self, steps: &mut Steps) {
        if !self.holder().read {
            return;
        }
        let mut next = self.world.clone();
        next.holders[self.at].read = false;
        let row = next.table.row().cloned().map(|row| self.bend_row(row));
        self.give(&mut next, LeaseEvent::RowRead(Ok(row)));
        self.push(steps, "row read", next);
    }

    fn order(&self, steps: &mut Steps) {
        let holder = self.holder();
        let Some(fence) = holder.machine.current_token(instant(self.world.at)) else {
            return;
        };
        if holder.orders == self.model.bounds.orders {
            return;
        }
        let mut next = self.world.clone();
        next.holders[self.at].orders += 1;
        let sent_at = next.at;
        next.orders.push(Order { fence, sent_at });
        self.push(steps, &format!("sends an order under fence {fence}"), next);
    }
}
