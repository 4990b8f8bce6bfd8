//! Everything that may happen next in the model of the configuration.

use super::{ConfigBreak, ConfigModel, ConfigWorld, NAMES, NEW, Node, instant};

type Steps = Vec<(String, ConfigWorld)>;

/// Instance that accepts the command.
const WRITER: usize = 0;

/// Instance that may be restarted.
const RESTARTED: usize = 1;

/// All steps from a state.
pub(super) fn all(model: &ConfigModel, world: &ConfigWorld) -> Steps {
    let mut steps = Steps::new();
    if world.at < model.bounds.end {
        let mut next = world.clone();
        next.at += 1;
        steps.push(("time passes".into(), next));
    }
    write(model, world, &mut steps);
    for at in 0..world.nodes.len() {
        let stepper = Stepper { model, world, at };
        stepper.begin_read(&mut steps);
        stepper.end_read(&mut steps);
        stepper.begin_exchanges(&mut steps);
        stepper.end_exchange(&mut steps);
        stepper.restart(&mut steps);
    }
    for (_, next) in &mut steps {
        accept(model, next);
    }
    steps
}

/// The writer writes the command, if it hears a majority.
fn write(model: &ConfigModel, world: &ConfigWorld, steps: &mut Steps) {
    let writer = &world.nodes[WRITER].contact;
    if world.head == NEW || writer.may_accept(instant(world.at)).is_err() {
        return;
    }
    let mut next = world.clone();
    next.head = NEW;
    let at = next.at;
    next.nodes[WRITER].adopt(NEW, at);
    if model.breaks(ConfigBreak::AcceptWritten) {
        next.accepted_at = Some(at);
    }
    steps.push((format!("{}: writes the command", NAMES[WRITER]), next));
}

/// The writer calls the command accepted once a majority is known to hold it.
fn accept(model: &ConfigModel, world: &mut ConfigWorld) {
    let now = instant(world.at);
    let writer = &world.nodes[WRITER];
    let holds = writer.version == Some(NEW) && writer.contact.holds_majority(NEW, now);
    let by_rule = !model.breaks(ConfigBreak::AcceptWritten);
    if by_rule && holds && world.accepted_at.is_none() {
        world.accepted_at = Some(world.at);
    }
}

/// Steps of one instance.
struct Stepper<'a> {
    model: &'a ConfigModel,
    world: &'a ConfigWorld,
    at: usize,
}

impl Stepper<'_> {
    fn node(&self) -> &Node {
        &self.world.nodes[self.at]
    }

    fn push(&self, steps: &mut Steps, what: &str, next: ConfigWorld) {
        steps.push((format!("{}: {what}", NAMES[self.at]), next));
    }

    fn question(&self) -> Option<ConfigWorld> {
        let mut next = self.world.clone();
        next.questions = next.questions.checked_sub(1)?;
        Some(next)
    }

    fn begin_read(&self, steps: &mut Steps) {
        if self.node().read.is_some() || self.at == WRITER {
            return;
        }
        if let Some(mut next) = self.question() {
            next.nodes[self.at].read = Some((next.at, next.head));
            self.push(steps, "store reads the head for it", next);
        }
    }

    fn end_read(&self, steps: &mut Steps) {
        let Some((began, head)) = self.node().read else {
            return;
        };
        let mut next = self.world.clone();
        let at = next.at;
        let node = &mut next.nodes[self.at];
        node.read = None;
        let follows = self.model.breaks(ConfigBreak::FollowOlderHead);
        if follows && Some(head) < node.version {
            node.version = Some(head);
            next.reverted = true;
        }
        let node = &mut next.nodes[self.at];
        node.contact.head_read(head, instant(began), instant(at));
        node.adopt(head, at);
        self.push(
            steps,
            &format!("learns head {head}, asked at {began}"),
            next,
        );
    }

    fn begin_exchanges(&self, steps: &mut Steps) {
        if self.node().answer.is_some() {
            return;
        }
        let all = 0..self.world.nodes.len();
        // The two others are alike until one is restarted: the writer asks that one.
        let asked = |other: &usize| match self.at {
            WRITER => *other == RESTARTED,
            at => *other != at,
        };
        for other in all.filter(asked) {
            let Some(mut next) = self.question() else {
                return;
            };
            let at = next.at;
            if let Some(version) = self.node().contact.told_version() {
                next.nodes[other].adopt(version, at);
            }
            let unconfirmed = self.model.breaks(ConfigBreak::TellUnconfirmed);
            let hearing = next.nodes[other].hearing(NAMES[other], at, unconfirmed);
            let what = format!(
                "asks {}, which answers version {:?}",
                NAMES[other], hearing.version
            );
            next.nodes[self.at].answer = Some((at, hearing));
            self.push(steps, &what, next);
        }
    }

    fn end_exchange(&self, steps: &mut Steps) {
        let Some((sent, hearing)) = self.node().answer.clone() else {
            return;
        };
        let mut next = self.world.clone();
        let at = next.at;
        let node = &mut next.nodes[self.at];
        node.answer = None;
        let arrival = self.model.breaks(ConfigBreak::FreshOnArrival);
        let counted = if arrival { at } else { sent };
        node.contact
            .exchanged(&hearing, instant(counted), instant(at));
        if let Some(version) = hearing.version {
            node.adopt(version, at);
        }
        let what = format!("hears {}, asked at {sent}", hearing.member);
        self.push(steps, &what, next);
    }

    /// A restart takes a time unit, so that it ends later than whatever was known before it.
    fn restart(&self, steps: &mut Steps) {
        if self.at != RESTARTED || self.world.faults == 0 {
            return;
        }
        let mut next = self.world.clone();
        next.faults -= 1;
        next.at += 1;
        next.nodes[self.at] = Node::started(NAMES[self.at], next.at);
        self.push(steps, "restarts and forgets", next);
    }
}
