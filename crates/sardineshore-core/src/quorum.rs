//! Whether an instance may act on its configuration: what it knows of the store and its peers.
//!
//! [`QuorumTracker`] takes events (the store's head was read, an exchange was answered, the instance list
//! changed) and answers three questions about the present moment:
//!
//! * [`QuorumTracker::may_dispatch`]: within the last [`QuorumConfig::fence_after`], the instance knew
//!   that no newer version was accepted, from the store or from a majority of the members;
//! * [`QuorumTracker::may_accept`]: it hears a majority, so that a command can be accepted;
//! * [`QuorumTracker::is_held_by_majority`]: a majority is known to hold a version, so that it is accepted.
//!
//! A command is accepted only when a majority of the members holds its version. Two majorities have
//! a member in common, so an instance that goes on without the store learns of the version from
//! that member, or stops dispatching `fence_after` later.
//!
//! Freshness is taken only from answers, counted from when the question was sent: a message that
//! waited in a queue, or in a paused process, never makes its contents look newer than they are.

pub mod peer_status;
mod view;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{InstanceId, Version};
use peer_status::{PeerState, PeerStatuses};
use view::majority;
pub use view::{QuorumStatus, VersionSpread};

/// Times of [`QuorumTracker`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuorumConfig {
    /// Age of the last confirmation above which nothing is dispatched.
    pub fence_after: Duration,
    /// Added to `fence_after` before a silent instance counts as fenced, for clocks that drift.
    pub clock_drift_margin: Duration,
    /// Time for which a member that vanished from the list without a stop still counts. Longer
    /// than `list_trust` by the lag of the list, so that it no longer acts on an older list.
    pub removal_grace: Duration,
    /// Age of the instance list above which a majority of it confirms nothing.
    pub max_list_age: Duration,
}

impl Default for QuorumConfig {
    fn default() -> Self {
        Self {
            fence_after: Duration::from_secs(3),
            clock_drift_margin: Duration::from_millis(100),
            removal_grace: Duration::from_secs(315),
            max_list_age: Duration::from_secs(300),
        }
    }
}

/// What the answer to an exchange says.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerReply {
    /// Member that answered.
    pub member: InstanceId,
    /// Version in force there; nothing while it starts.
    pub version: Option<Version>,
    /// Age of its store confirmation when it answered.
    pub confirmed_age: Option<Duration>,
    /// Whether it has ended its last work and will never dispatch again.
    pub stopped: bool,
    /// What it knows of other members.
    pub statuses: PeerStatuses,
}

/// Knowledge that at some time no version above `version` had been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Confirmation {
    at: Instant,
    version: Version,
}

/// One member as this instance knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Voter {
    /// When it vanished from the list; nothing while it is listed.
    vanished: Option<Instant>,
    /// Latest time at which it is known to have held at most `at_most`.
    heard: Option<Confirmation>,
    /// Version that it held at some time.
    holds: Option<Version>,
    /// When it told that it has ended its last work; nothing once it is heard again.
    stopped: Option<Instant>,
}

/// What one instance knows of the store and its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuorumTracker {
    me: InstanceId,
    settings: QuorumConfig,
    version: Option<Version>,
    /// Highest version that any instance is known to hold.
    newest: Version,
    /// Whether this instance has been confirmed once and counts as a member itself.
    joined: bool,
    /// When the first call began: what is known of earlier times says nothing of versions that
    /// this instance held before it was started.
    started: Option<Instant>,
    confirmed: Option<Confirmation>,
    /// A confirmation of a version that is not in force here yet.
    ahead: Option<Confirmation>,
    voters: BTreeMap<InstanceId, Voter>,
    listed_at: Option<Instant>,
    spreads: BTreeMap<Version, Instant>,
    dispatch_until: Option<Instant>,
}

impl QuorumTracker {
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(me: InstanceId, settings: QuorumConfig) -> Self {
        Self {
            me,
            settings,
            version: None,
            newest: 0,
            joined: false,
            started: None,
            confirmed: None,
            ahead: None,
            voters: BTreeMap::new(),
            listed_at: None,
            spreads: BTreeMap::new(),
            dispatch_until: None,
        }
    }

    /// The instance list was read, by a call that began at `began`.
    pub fn update_members(&mut self, names: &[InstanceId], began: Instant, now: Instant) {
        self.started.get_or_insert(began);
        for name in names {
            self.voters.entry(name.clone()).or_default().vanished = None;
        }
        for (name, voter) in &mut self.voters {
            if !names.contains(name) {
                voter.vanished.get_or_insert(now);
            }
        }
        let grace = self.settings.removal_grace;
        self.voters.retain(|_, voter| match voter.vanished {
            Some(at) => voter.stopped.is_none() && now.duration_since(at) < grace,
            None => true,
        });
        self.listed_at = self.listed_at.max(Some(began));
        self.update(now);
    }

    /// The store's head was read, by a call that began at `began`; 0: there is no head.
    pub fn record_store_head(&mut self, head: Version, began: Instant, now: Instant) {
        self.started.get_or_insert(began);
        // A head below a version that was accepted comes from a store that is behind.
        if head >= self.newest {
            self.confirm(Confirmation {
                at: began,
                version: head,
            });
        }
        self.update(now);
    }

    /// A version came into force here.
    pub fn record_active_version(&mut self, version: Version, now: Instant) {
        self.version = self.version.max(Some(version));
        self.newest = self.newest.max(version);
        if let Some(ahead) = self.ahead.take() {
            self.confirm(ahead);
        }
        self.update(now);
    }

    /// A peer answered an exchange that was sent at `sent`.
    pub fn record_reply(&mut self, reply: &PeerReply, sent: Instant, now: Instant) {
        self.started.get_or_insert(sent);
        self.clear_earlier_stop(&reply.member, sent);
        if reply.stopped {
            self.record_stop(&reply.member, now);
        } else if let Some(version) = reply.version {
            self.record_direct(reply, version, sent);
            self.record_relayed(&reply.statuses, version, sent);
        }
        self.update(now);
    }

    /// A member tells that it has ended its last work.
    pub fn record_stop(&mut self, member: &InstanceId, now: Instant) {
        if let Some(voter) = self.voters.get_mut(member) {
            voter.stopped = Some(now);
        }
    }

    /// Whether work may be dispatched under the version in force. Cheap: ask before each send.
    #[must_use]
    pub fn may_dispatch(&self, now: Instant) -> bool {
        self.dispatch_until.is_some_and(|until| now <= until)
    }

    /// Time left until [`QuorumTracker::may_dispatch`] turns false unless a confirmation comes.
    #[must_use]
    pub fn time_to_fence(&self, now: Instant) -> Duration {
        let until = self.dispatch_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Age of the knowledge that the version in force is the newest, from the store.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let at = self.confirmed?.at;
        Some(now.saturating_duration_since(at))
    }

    /// Version in force here, told to peers only once it has been confirmed.
    #[must_use]
    pub fn advertised_version(&self) -> Option<Version> {
        self.version.filter(|_| self.joined)
    }

    /// Times of this instance.
    #[must_use]
    pub fn settings(&self) -> &QuorumConfig {
        &self.settings
    }

    /// A member that answers after it told of its stop has been started again.
    fn clear_earlier_stop(&mut self, member: &InstanceId, sent: Instant) {
        if let Some(voter) = self.voters.get_mut(member) {
            voter.stopped = voter.stopped.filter(|at| *at >= sent);
        }
    }

    fn record_direct(&mut self, reply: &PeerReply, version: Version, sent: Instant) {
        self.newest = self.newest.max(version);
        self.record_heard(&reply.member, Confirmation { at: sent, version });
        self.record_held_version(&reply.member, version);
        let at = reply.confirmed_age.and_then(|age| sent.checked_sub(age));
        if let Some(at) = at {
            self.confirm(Confirmation { at, version });
        }
    }

    fn record_relayed(&mut self, relay: &PeerStatuses, version: Version, sent: Instant) {
        for known in relay.iter() {
            match known.state {
                PeerState::Heard { age, holds } => {
                    if let Some(at) = sent.checked_sub(age) {
                        self.record_heard(&known.member, Confirmation { at, version });
                    }
                    if holds {
                        self.record_held_version(&known.member, version);
                    }
                }
                PeerState::Silent => {}
            }
        }
    }

    fn record_heard(&mut self, member: &InstanceId, heard: Confirmation) {
        if let Some(voter) = self.voters.get_mut(member) {
            let newer = voter.heard.is_none_or(|known| heard.at > known.at);
            if newer {
                voter.heard = Some(heard);
            }
        }
    }

    fn record_held_version(&mut self, member: &InstanceId, version: Version) {
        if let Some(voter) = self.voters.get_mut(member) {
            voter.holds = voter.holds.max(Some(version));
        }
    }

    /// Keeps the latest confirmation that covers the version in force, and the latest that does
    /// not yet.
    fn confirm(&mut self, new: Confirmation) {
        let covered = self.version.is_some_and(|version| new.version <= version);
        let slot = if covered {
            &mut self.confirmed
        } else {
            &mut self.ahead
        };
        if slot.is_none_or(|known| new.at > known.at) {
            *slot = Some(new);
        }
    }

    fn update(&mut self, now: Instant) {
        self.dispatch_until = self.until(now);
        if !self.joined && self.may_dispatch(now) && self.confirmed_since_start() {
            self.joined = true;
            self.dispatch_until = self.until(now);
        }
        self.note_spread(now);
    }

    /// Whether the confirmation that allows dispatching dates from after the start.
    fn confirmed_since_start(&self) -> bool {
        let Some(started) = self.started else {
            return false;
        };
        self.dispatch_until >= Some(started + self.settings.fence_after)
    }

    fn until(&self, now: Instant) -> Option<Instant> {
        self.version?;
        let fence = self.settings.fence_after;
        let store = self.confirmed.map(|confirmed| confirmed.at + fence);
        store.max(self.majority_until(now))
    }

    /// End of the time for which a majority that knows no newer version was heard.
    fn majority_until(&self, now: Instant) -> Option<Instant> {
        let list = self.listed_at? + self.settings.max_list_age;
        let members = self.counted(now).count();
        let mut heard: Vec<Instant> = self
            .counted(now)
            .filter_map(|(name, voter)| self.heard_at(name, voter, now))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = heard.get(majority(members) - 1)?;
        let alone = members == 1 && self.joined;
        let until = *oldest + self.settings.fence_after;
        Some(if alone { list } else { until.min(list) })
    }

    /// When a member was last known to hold no version newer than the one in force here.
    fn heard_at(&self, name: &InstanceId, voter: &Voter, now: Instant) -> Option<Instant> {
        if self.counts_itself(name) {
            return Some(now);
        }
        let heard = voter.heard?;
        (Some(heard.version) <= self.version).then_some(heard.at)
    }
}
