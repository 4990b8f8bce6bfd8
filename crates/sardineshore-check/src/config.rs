//! Model of the configuration: three instances, the store, one command and exchanges between peers.
//!
//! The instances run [`sardineshore_core::quorum::QuorumTracker`]. A command may be written at any
//! time; reads of the store and exchanges begin and end in any order. One that never begins or ends
//! models a partition or an outage. An instance may restart and lose its memory. See
//! `docs/spec/config.md`.

mod step;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use sardineshore_core::quorum::peer_status::{PeerStatuses, Roster};
use sardineshore_core::quorum::{PeerReply, QuorumConfig, QuorumTracker};
use sardineshore_core::{InstanceId, Version};

use crate::Model;

/// Names of the instances.
const NAMES: [&str; 3] = ["e1", "e2", "e3"];

/// Time units for which a confirmation is valid.
const FENCE_AFTER: u8 = 1;

/// Version that is active at the start, and the version that the command creates.
const OLD: Version = 1;
const NEW: Version = 2;

/// After a version was accepted, an instance with an older one stops dispatching in time.
pub const HOLDS_OR_FENCED: &str = "once the fencing period has passed after acceptance, an instance that may dispatch holds the version";
/// The version of an instance never decreases.
pub const VERSION_NEVER_DECREASES: &str =
    "an instance that holds a version never holds a lower one";

/// Bounds that keep the number of states finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConfigBounds {
    /// Maximum number of restarts in one run.
    pub faults: u8,
    /// Time units after which the model ends.
    pub end_time: u8,
    /// Maximum number of store reads and exchanges in one run.
    pub queries: u8,
}

impl Default for ConfigBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end_time: 2,
            queries: 3,
        }
    }
}

/// A rule that a broken variant of the model violates, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigMutation {
    /// A command counts as accepted once it is written.
    AcceptWritten,
    /// The age of a confirmation is counted from the arrival of the answer, not from the request.
    FreshOnArrival,
    /// A restarted instance reports a version to its peers before that version is confirmed.
    TellUnconfirmed,
    /// An older head read from the store replaces the active version.
    FollowOlderHead,
}

impl ConfigMutation {
    /// All variants with their command-line names.
    pub const ALL: &[(&str, Self)] = &[
        ("accept-written", Self::AcceptWritten),
        ("fresh-on-arrival", Self::FreshOnArrival),
        ("tell-unconfirmed", Self::TellUnconfirmed),
        ("follow-older-head", Self::FollowOlderHead),
    ];

    /// Invariant that the variant is expected to violate.
    #[must_use]
    pub fn expected_invariant(self) -> &'static str {
        match self {
            Self::FollowOlderHead => VERSION_NEVER_DECREASES,
            Self::AcceptWritten | Self::FreshOnArrival | Self::TellUnconfirmed => HOLDS_OR_FENCED,
        }
    }

    /// Bounds within which the search finds the violation.
    #[must_use]
    pub fn bounds(self) -> ConfigBounds {
        ConfigBounds {
            faults: u8::from(self == Self::TellUnconfirmed),
            ..ConfigBounds::default()
        }
    }
}

/// Model of three instances, the store and one command.
#[derive(Debug, Clone)]
pub struct ConfigModel {
    bounds: ConfigBounds,
    mutation: Option<ConfigMutation>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigModelState {
    time: u8,
    faults: u8,
    queries: u8,
    /// Newest version in the store.
    head: Version,
    /// When the command was accepted.
    accepted_at: Option<u8>,
    instances: [Instance; 3],
    reverted: bool,
}

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    quorum: QuorumTracker,
    version: Option<Version>,
    /// Pending read of the store: when it began, and the head that it found.
    read: Option<(u8, Version)>,
    /// Pending exchange with a peer: when it was sent, and its answer.
    answer: Option<(u8, PeerReply)>,
}

impl ConfigModel {
    /// Creates a model. With a `mutation` the model breaks that rule and reports only violations of
    /// the expected invariant.
    #[must_use]
    pub fn new(bounds: ConfigBounds, mutation: Option<ConfigMutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: ConfigMutation) -> bool {
        self.mutation == Some(mutation)
    }
}

impl Instance {
    /// Creates an instance that has just started and knows no version.
    fn started(name: &str, time: u8) -> Self {
        let unit = Duration::from_secs(1);
        let settings = QuorumConfig {
            fence_after: u32::from(FENCE_AFTER) * unit,
            clock_drift_margin: Duration::ZERO,
            removal_grace: 100 * unit,
            max_list_age: 100 * unit,
        };
        let mut quorum = QuorumTracker::new(name.into(), settings);
        quorum.update_members(&names(), instant(time), instant(time));
        Self {
            quorum,
            version: None,
            read: None,
            answer: None,
        }
    }

    fn adopt(&mut self, version: Version, time: u8) {
        if self.version < Some(version) {
            self.version = Some(version);
            self.quorum.record_active_version(version, instant(time));
        }
    }

    /// Returns the answer of the instance to a peer.
    fn hearing(&self, name: &str, time: u8, unconfirmed: bool) -> PeerReply {
        let now = instant(time);
        let version_told = if unconfirmed {
            self.version
        } else {
            self.quorum.advertised_version()
        };
        let roster = Roster::new(names());
        PeerReply {
            member: name.into(),
            version: version_told,
            confirmed_age: self.quorum.confirmation_age(now),
            stopped: false,
            statuses: PeerStatuses::of(&self.quorum, &roster, now),
        }
    }
}

impl Model for ConfigModel {
    type State = ConfigModelState;

    fn initial_state(&self) -> ConfigModelState {
        let instance = |name: &str| {
            let mut instance = Instance::started(name, 0);
            instance.adopt(OLD, 0);
            instance
                .quorum
                .record_store_head(OLD, instant(0), instant(0));
            instance
        };
        ConfigModelState {
            time: 0,
            faults: self.bounds.faults,
            queries: self.bounds.queries,
            head: OLD,
            accepted_at: None,
            instances: after_first_exchange(NAMES.map(instance)),
            reverted: false,
        }
    }

    fn next_states(&self, state: &ConfigModelState) -> Vec<(String, ConfigModelState)> {
        step::all(self, state)
    }

    fn violated_invariant(&self, state: &ConfigModelState) -> Option<&'static str> {
        let late = state
            .accepted_at
            .is_some_and(|accepted| state.time > accepted + FENCE_AFTER);
        let acts_on_old =
            |it: &Instance| it.quorum.may_dispatch(instant(state.time)) && it.version < Some(NEW);
        let found = if late && state.instances.iter().any(acts_on_old) {
            HOLDS_OR_FENCED
        } else if state.reverted {
            VERSION_NEVER_DECREASES
        } else {
            return None;
        };
        let expected = self.mutation.map(ConfigMutation::expected_invariant);
        expected
            .is_none_or(|expected| expected == found)
            .then_some(found)
    }
}

/// Lets every instance exchange with every other one at time zero.
fn after_first_exchange(mut instances: [Instance; 3]) -> [Instance; 3] {
    for asked in 0..instances.len() {
        let hearing = instances[asked].hearing(NAMES[asked], 0, false);
        for asker in (0..instances.len()).filter(|asker| *asker != asked) {
            let quorum = &mut instances[asker].quorum;
            quorum.record_reply(&hearing, instant(0), instant(0));
        }
    }
    instances
}

fn names() -> Vec<InstanceId> {
    NAMES.map(InstanceId::from).to_vec()
}

/// Converts model time to a monotonic time.
fn instant(time: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    // Ages are subtracted from times, so time zero must not be the earliest representable instant.
    *ORIGIN.get_or_init(|| Instant::now() + Duration::from_secs(1_000))
        + Duration::from_secs(time.into())
}
