//! Steps of the model of the configuration: everything that can happen next in a state.

use super::{ConfigModel, ConfigModelState, ConfigMutation, Instance, NAMES, NEW, instant};

type Steps = Vec<(String, ConfigModelState)>;

/// Instance that accepts the command.
const WRITER: usize = 0;

/// Instance that may restart.
const RESTARTED: usize = 1;

/// Returns all steps from a state.
pub(super) fn all(model: &ConfigModel, state: &ConfigModelState) -> Steps {
    let mut steps = Steps::new();
    if state.time < model.bounds.end_time {
        let mut next = state.clone();
        next.time += 1;
        steps.push(("time passes".into(), next));
    }
    write_command(model, state, &mut steps);
    for index in 0..state.instances.len() {
        let stepper = Stepper {
            model,
            state,
            index,
        };
        stepper.begin_read(&mut steps);
        stepper.end_read(&mut steps);
        stepper.begin_exchanges(&mut steps);
        stepper.end_exchange(&mut steps);
        stepper.restart(&mut steps);
    }
    for (_, next) in &mut steps {
        update_accepted(model, next);
    }
    steps
}

/// Adds the step in which the writer writes the command, if it is in contact with a majority.
fn write_command(model: &ConfigModel, state: &ConfigModelState, steps: &mut Steps) {
    let writer = &state.instances[WRITER].quorum;
    if state.head == NEW || writer.may_accept(instant(state.time)).is_err() {
        return;
    }
    let mut next = state.clone();
    next.head = NEW;
    let time = next.time;
    next.instances[WRITER].adopt(NEW, time);
    if model.has_mutation(ConfigMutation::AcceptWritten) {
        next.accepted_at = Some(time);
    }
    steps.push((format!("{}: writes the command", NAMES[WRITER]), next));
}

/// Records when the writer reports the command as accepted: once it knows that a majority holds it.
fn update_accepted(model: &ConfigModel, state: &mut ConfigModelState) {
    let now = instant(state.time);
    let writer = &state.instances[WRITER];
    let holds = writer.version == Some(NEW) && writer.quorum.is_held_by_majority(NEW, now);
    let by_rule = !model.has_mutation(ConfigMutation::AcceptWritten);
    if by_rule && holds && state.accepted_at.is_none() {
        state.accepted_at = Some(state.time);
    }
}

/// Computes the steps of one instance.
struct Stepper<'a> {
    model: &'a ConfigModel,
    state: &'a ConfigModelState,
    index: usize,
}

impl Stepper<'_> {
    fn instance(&self) -> &Instance {
        &self.state.instances[self.index]
    }

    fn push(&self, steps: &mut Steps, what: &str, next: ConfigModelState) {
        steps.push((format!("{}: {what}", NAMES[self.index]), next));
    }

    fn start_query(&self) -> Option<ConfigModelState> {
        let mut next = self.state.clone();
        next.queries = next.queries.checked_sub(1)?;
        Some(next)
    }

    fn begin_read(&self, steps: &mut Steps) {
        if self.instance().read.is_some() || self.index == WRITER {
            return;
        }
        if let Some(mut next) = self.start_query() {
            next.instances[self.index].read = Some((next.time, next.head));
            self.push(steps, "store reads the head for this instance", next);
        }
    }

    fn end_read(&self, steps: &mut Steps) {
        let Some((began, head)) = self.instance().read else {
            return;
        };
        let mut next = self.state.clone();
        let time = next.time;
        let instance = &mut next.instances[self.index];
        instance.read = None;
        let follows = self.model.has_mutation(ConfigMutation::FollowOlderHead);
        if follows && Some(head) < instance.version {
            instance.version = Some(head);
            next.reverted = true;
        }
        let instance = &mut next.instances[self.index];
        instance
            .quorum
            .record_store_head(head, instant(began), instant(time));
        instance.adopt(head, time);
        self.push(
            steps,
            &format!("receives head {head}, asked at {began}"),
            next,
        );
    }

    fn begin_exchanges(&self, steps: &mut Steps) {
        if self.instance().answer.is_some() {
            return;
        }
        let all = 0..self.state.instances.len();
        // The other two instances are symmetric until one restarts, so the writer asks only that
        // one.
        let asked = |other: &usize| match self.index {
            WRITER => *other == RESTARTED,
            index => *other != index,
        };
        for other in all.filter(asked) {
            let Some(mut next) = self.start_query() else {
                return;
            };
            let time = next.time;
            if let Some(version) = self.instance().quorum.advertised_version() {
                next.instances[other].adopt(version, time);
            }
            let unconfirmed = self.model.has_mutation(ConfigMutation::TellUnconfirmed);
            let hearing = next.instances[other].hearing(NAMES[other], time, unconfirmed);
            let what = format!(
                "asks {}, which answers version {:?}",
                NAMES[other], hearing.version
            );
            next.instances[self.index].answer = Some((time, hearing));
            self.push(steps, &what, next);
        }
    }

    fn end_exchange(&self, steps: &mut Steps) {
        let Some((sent_at, hearing)) = self.instance().answer.clone() else {
            return;
        };
        let mut next = self.state.clone();
        let time = next.time;
        let instance = &mut next.instances[self.index];
        instance.answer = None;
        let arrival = self.model.has_mutation(ConfigMutation::FreshOnArrival);
        let counted = if arrival { time } else { sent_at };
        instance
            .quorum
            .record_reply(&hearing, instant(counted), instant(time));
        if let Some(version) = hearing.version {
            instance.adopt(version, time);
        }
        let what = format!(
            "receives the answer of {}, asked at {sent_at}",
            hearing.member
        );
        self.push(steps, &what, next);
    }

    /// A restart takes one time unit, so everything known before it is older than the restart.
    fn restart(&self, steps: &mut Steps) {
        if self.index != RESTARTED || self.state.faults == 0 {
            return;
        }
        let mut next = self.state.clone();
        next.faults -= 1;
        next.time += 1;
        next.instances[self.index] = Instance::started(NAMES[self.index], next.time);
        self.push(steps, "restarts and loses its memory", next);
    }
}
