//! Model of the configuration: three instances, one command, the store and exchanges of peers.
//!
//! The instances run [`sardineshore_core::contact::Contact`]. A command may be written at any
//! time; reads of the store and exchanges begin and end in any order, and whichever never begins
//! or ends is a partition or an outage. Instances may be restarted and forget. See
//! `docs/spec/config.md`.

mod step;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use sardineshore_core::contact::relay::{Relay, Roster};
use sardineshore_core::contact::{Contact, ContactSettings, Hearing};
use sardineshore_core::{InstanceId, Version};

use crate::Model;

/// Names of the instances.
const NAMES: [&str; 3] = ["e1", "e2", "e3"];

/// Time units for which a confirmation lasts.
const FENCE_AFTER: u8 = 1;

/// Version in force at the start, and the command's.
const OLD: Version = 1;
const NEW: Version = 2;

/// No instance acts on an older version for long after a newer one was accepted.
pub const HOLDS_OR_FENCED: &str = "once the fence's time has passed after acceptance, an instance that may dispatch holds the version";
/// A version never goes back.
pub const NEVER_REVERTS: &str = "an instance that holds a version never holds a lower one";

/// Bounds of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConfigBounds {
    /// Restarts that may happen.
    pub faults: u8,
    /// Time units that may pass.
    pub end: u8,
    /// Reads of the store and exchanges that may begin.
    pub questions: u8,
}

impl Default for ConfigBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end: 2,
            questions: 3,
        }
    }
}

/// A rule that a variant of the model breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigBreak {
    /// A command counts as accepted once it is written.
    AcceptWritten,
    /// An answer's freshness is counted from its arrival.
    FreshOnArrival,
    /// A restarted instance tells a version before it was confirmed.
    TellUnconfirmed,
    /// An older head of the store replaces the version in force.
    FollowOlderHead,
}

impl ConfigBreak {
    /// All variants by name.
    pub const ALL: &[(&str, Self)] = &[
        ("accept-written", Self::AcceptWritten),
        ("fresh-on-arrival", Self::FreshOnArrival),
        ("tell-unconfirmed", Self::TellUnconfirmed),
        ("follow-older-head", Self::FollowOlderHead),
    ];

    /// Invariant that the variant must violate.
    #[must_use]
    pub fn target(self) -> &'static str {
        match self {
            Self::FollowOlderHead => NEVER_REVERTS,
            Self::AcceptWritten | Self::FreshOnArrival | Self::TellUnconfirmed => HOLDS_OR_FENCED,
        }
    }

    /// Bounds within which the variant can fail.
    #[must_use]
    pub fn bounds(self) -> ConfigBounds {
        ConfigBounds {
            faults: u8::from(self == Self::TellUnconfirmed),
            ..ConfigBounds::default()
        }
    }
}

/// The model.
#[derive(Debug, Clone)]
pub struct ConfigModel {
    bounds: ConfigBounds,
    broken: Option<ConfigBreak>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigWorld {
    at: u8,
    faults: u8,
    questions: u8,
    /// Newest version in the store.
    head: Version,
    /// When the command was accepted.
    accepted_at: Option<u8>,
    nodes: [Node; 3],
    reverted: bool,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    contact: Contact,
    version: Option<Version>,
    /// Read of the store under way: when it began, and the head that it found.
    read: Option<(u8, Version)>,
    /// Exchange under way: when it was sent, and its answer.
    answer: Option<(u8, Hearing)>,
}

impl ConfigModel {
    /// Creates a model, with one rule broken if `broken` is given.
    #[must_use]
    pub fn new(bounds: ConfigBounds, broken: Option<ConfigBreak>) -> Self {
        Self { bounds, broken }
    }

    fn breaks(&self, rule: ConfigBreak) -> bool {
        self.broken == Some(rule)
    }
}

impl Node {
    /// An instance that has just started.
    fn started(name: &str, at: u8) -> Self {
        let unit = Duration::from_secs(1);
        let settings = ContactSettings {
            fence_after: u32::from(FENCE_AFTER) * unit,
            drift_margin: Duration::ZERO,
            vanish_grace: 100 * unit,
            list_trust: 100 * unit,
        };
        let mut contact = Contact::new(name.into(), settings);
        contact.list_read(&names(), instant(at), instant(at));
        Self {
            contact,
            version: None,
            read: None,
            answer: None,
        }
    }

    fn adopt(&mut self, version: Version, at: u8) {
        if self.version < Some(version) {
            self.version = Some(version);
            self.contact.adopted(version, instant(at));
        }
    }

    /// What the instance answers to a peer.
    fn hearing(&self, name: &str, at: u8, unconfirmed: bool) -> Hearing {
        let now = instant(at);
        let told = if unconfirmed {
            self.version
        } else {
            self.contact.told_version()
        };
        let roster = Roster::new(names());
        Hearing {
            member: name.into(),
            version: told,
            confirmed_age: self.contact.confirmation_age(now),
            stopped: false,
            relay: Relay::of(&self.contact, &roster, now),
        }
    }
}

impl Model for ConfigModel {
    type State = ConfigWorld;

    fn start(&self) -> ConfigWorld {
        let node = |name: &str| {
            let mut node = Node::started(name, 0);
            node.adopt(OLD, 0);
            node.contact.head_read(OLD, instant(0), instant(0));
            node
        };
        ConfigWorld {
            at: 0,
            faults: self.bounds.faults,
            questions: self.bounds.questions,
            head: OLD,
            accepted_at: None,
            nodes: acquainted(NAMES.map(node)),
            reverted: false,
        }
    }

    fn steps(&self, state: &ConfigWorld) -> Vec<(String, ConfigWorld)> {
        step::all(self, state)
    }

    fn violated(&self, state: &ConfigWorld) -> Option<&'static str> {
        let late = state
            .accepted_at
            .is_some_and(|accepted| state.at > accepted + FENCE_AFTER);
        let acts_on_old =
            |node: &Node| node.contact.may_dispatch(instant(state.at)) && node.version < Some(NEW);
        let found = if late && state.nodes.iter().any(acts_on_old) {
            HOLDS_OR_FENCED
        } else if state.reverted {
            NEVER_REVERTS
        } else {
            return None;
        };
        let target = self.broken.map(ConfigBreak::target);
        target.is_none_or(|target| target == found).then_some(found)
    }
}

/// Every instance has heard every other one.
fn acquainted(mut nodes: [Node; 3]) -> [Node; 3] {
    for asked in 0..nodes.len() {
        let hearing = nodes[asked].hearing(NAMES[asked], 0, false);
        for asker in (0..nodes.len()).filter(|asker| *asker != asked) {
            let contact = &mut nodes[asker].contact;
            contact.exchanged(&hearing, instant(0), instant(0));
        }
    }
    nodes
}

fn names() -> Vec<InstanceId> {
    NAMES.map(InstanceId::from).to_vec()
}

/// Monotonic time of the model.
fn instant(at: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    // Ages are subtracted from times, so that time zero must not be the clock's first moment.
    *ORIGIN.get_or_init(|| Instant::now() + Duration::from_secs(1_000))
        + Duration::from_secs(at.into())
}
