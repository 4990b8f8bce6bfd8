//! Decides whether an instance may act on its configuration, from what it knows of the store and of
//! its peers.
//!
//! [`QuorumTracker`] records events (the store's head was read, a peer replied, the instance list
//! changed) and answers three questions:
//!
//! * [`QuorumTracker::may_dispatch`]: has the store or a majority of the members confirmed, within
//!   the last [`QuorumConfig::fence_after`], that no newer version was accepted? If not, the
//!   instance is fenced: it dispatches nothing.
//! * [`QuorumTracker::may_accept`]: does the instance hear a majority of the members, so that a
//!   command can be accepted?
//! * [`QuorumTracker::is_held_by_majority`]: does a majority hold a version, so that the version is
//!   accepted?
//!
//! A command is accepted only when a majority of the members holds its version. Any two majorities
//! have a member in common, so an instance that continues without the store learns of the version
//! from that member, or stops dispatching after `fence_after`.
//!
//! The age of a confirmation is counted from the time at which the question was sent, and only
//! replies count. A message that was delayed in a queue or in a paused process thus never makes its
//! contents look newer than they are.

pub mod peer_status;
mod view;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{InstanceId, Version};
use peer_status::{PeerState, PeerStatuses};
use view::majority;
pub use view::{QuorumStatus, VersionSpread};

/// Timeouts of [`QuorumTracker`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuorumConfig {
    /// Age of the last confirmation above which the instance is fenced and dispatches nothing.
    pub fence_after: Duration,
    /// Added to `fence_after` before a silent instance is considered fenced, to allow for clock
    /// drift.
    pub clock_drift_margin: Duration,
    /// Time for which a member that was removed from the list without having stopped still counts
    /// towards the majority. Must exceed `max_list_age` by the lag of the list, so that the member
    /// no longer acts on an older list.
    pub removal_grace: Duration,
    /// Age of the instance list above which a majority of its members no longer confirms anything.
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

/// Contents of a peer's reply in an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerReply {
    /// Member that replied.
    pub member: InstanceId,
    /// Version that it advertises as active; `None` while it starts.
    pub version: Option<Version>,
    /// Age of its confirmation by the store when it replied.
    pub confirmed_age: Option<Duration>,
    /// Whether it has finished its last work and will not dispatch again.
    pub stopped: bool,
    /// What it knows of the other members.
    pub statuses: PeerStatuses,
}

/// Evidence that at time `at`, no version above `version` had been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Confirmation {
    at: Instant,
    version: Version,
}

/// State of one member, as this instance knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Voter {
    /// When it was removed from the list; `None` while it is listed.
    removed_at: Option<Instant>,
    /// Latest time at which it is known to have been alive, with the upper bound of its version
    /// then.
    heard: Option<Confirmation>,
    /// Highest version that it is known to have held.
    holds: Option<Version>,
    /// When it reported that it had finished its last work; `None` once it is heard again.
    stopped_at: Option<Instant>,
}

/// What one instance knows of the store and of its peers, and what it may do as a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuorumTracker {
    this_instance: InstanceId,
    settings: QuorumConfig,
    version: Option<Version>,
    /// Highest version that any instance is known to hold.
    highest_known: Version,
    /// Whether this instance's version has been confirmed since its start, so that it counts as a
    /// member.
    is_member: bool,
    /// When the first call of this instance began. Earlier confirmations don't cover versions that
    /// the instance held before a restart.
    started_at: Option<Instant>,
    /// The latest confirmation by the store that covers the active version.
    confirmed: Option<Confirmation>,
    /// The latest confirmation of a version that is not active here yet.
    newer_confirmation: Option<Confirmation>,
    voters: BTreeMap<InstanceId, Voter>,
    /// When the last read of the instance list began.
    list_read_at: Option<Instant>,
    /// When a majority was first known to hold a version, for the most recent versions.
    majority_held_at: BTreeMap<Version, Instant>,
    /// Time until which [`QuorumTracker::may_dispatch`] holds; `None` without any confirmation.
    dispatch_until: Option<Instant>,
}

impl QuorumTracker {
    /// Creates the tracker of an instance that knows nothing yet.
    #[must_use]
    pub fn new(this_instance: InstanceId, settings: QuorumConfig) -> Self {
        Self {
            this_instance,
            settings,
            version: None,
            highest_known: 0,
            is_member: false,
            started_at: None,
            confirmed: None,
            newer_confirmation: None,
            voters: BTreeMap::new(),
            list_read_at: None,
            majority_held_at: BTreeMap::new(),
            dispatch_until: None,
        }
    }

    /// Records the instance list, read by a call that began at `began`.
    pub fn update_members(&mut self, names: &[InstanceId], began: Instant, now: Instant) {
        self.started_at.get_or_insert(began);
        for name in names {
            self.voters.entry(name.clone()).or_default().removed_at = None;
        }
        for (name, voter) in &mut self.voters {
            if !names.contains(name) {
                voter.removed_at.get_or_insert(now);
            }
        }
        let grace = self.settings.removal_grace;
        self.voters.retain(|_, voter| match voter.removed_at {
            Some(at) => voter.stopped_at.is_none() && now.duration_since(at) < grace,
            None => true,
        });
        self.list_read_at = self.list_read_at.max(Some(began));
        self.update(now);
    }

    /// Records the version at the store's head, read by a call that began at `began`; 0 if the log
    /// is empty.
    pub fn record_store_head(&mut self, head: Version, began: Instant, now: Instant) {
        self.started_at.get_or_insert(began);
        // A head below an accepted version comes from a store that is behind, and confirms nothing.
        if head >= self.highest_known {
            self.confirm(Confirmation {
                at: began,
                version: head,
            });
        }
        self.update(now);
    }

    /// Records that a version became active on this instance.
    pub fn record_active_version(&mut self, version: Version, now: Instant) {
        self.version = self.version.max(Some(version));
        self.highest_known = self.highest_known.max(version);
        if let Some(newer_confirmation) = self.newer_confirmation.take() {
            self.confirm(newer_confirmation);
        }
        self.update(now);
    }

    /// Records a peer's reply to an exchange that was sent at `sent`.
    pub fn record_reply(&mut self, reply: &PeerReply, sent: Instant, now: Instant) {
        self.started_at.get_or_insert(sent);
        self.clear_earlier_stop(&reply.member, sent);
        if reply.stopped {
            self.record_stop(&reply.member, now);
        } else if let Some(version) = reply.version {
            self.record_direct(reply, version, sent);
            self.record_relayed(&reply.statuses, version, sent);
        }
        self.update(now);
    }

    /// Records that a member has finished its last work.
    pub fn record_stop(&mut self, member: &InstanceId, now: Instant) {
        if let Some(voter) = self.voters.get_mut(member) {
            voter.stopped_at = Some(now);
        }
    }

    /// Whether work may be dispatched under the active version. The check is cheap; callers make it
    /// before each send.
    #[must_use]
    pub fn may_dispatch(&self, now: Instant) -> bool {
        self.dispatch_until.is_some_and(|until| now <= until)
    }

    /// Time until [`QuorumTracker::may_dispatch`] becomes false unless there is another
    /// confirmation.
    #[must_use]
    pub fn time_to_fence(&self, now: Instant) -> Duration {
        let until = self.dispatch_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Age of the last confirmation by the store that the active version is the newest; `None`
    /// before the first one.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let at = self.confirmed?.at;
        Some(now.saturating_duration_since(at))
    }

    /// Active version as advertised to peers; `None` until it has been confirmed.
    #[must_use]
    pub fn advertised_version(&self) -> Option<Version> {
        self.version.filter(|_| self.is_member)
    }

    /// Timeouts of this instance.
    #[must_use]
    pub fn settings(&self) -> &QuorumConfig {
        &self.settings
    }

    /// Clears the stop of a member that replies to a later question: it has been restarted.
    fn clear_earlier_stop(&mut self, member: &InstanceId, sent: Instant) {
        if let Some(voter) = self.voters.get_mut(member) {
            voter.stopped_at = voter.stopped_at.filter(|at| *at >= sent);
        }
    }

    fn record_direct(&mut self, reply: &PeerReply, version: Version, sent: Instant) {
        self.highest_known = self.highest_known.max(version);
        self.record_heard(&reply.member, Confirmation { at: sent, version });
        self.record_held_version(&reply.member, version);
        let at = reply.confirmed_age.and_then(|age| sent.checked_sub(age));
        if let Some(at) = at {
            self.confirm(Confirmation { at, version });
        }
    }

    fn record_relayed(&mut self, statuses: &PeerStatuses, version: Version, sent: Instant) {
        for known in statuses.iter() {
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

    /// Keeps the latest confirmation that covers the active version, and the latest one of a newer
    /// version.
    fn confirm(&mut self, new: Confirmation) {
        let is_covered = self.version.is_some_and(|version| new.version <= version);
        let slot = if is_covered {
            &mut self.confirmed
        } else {
            &mut self.newer_confirmation
        };
        if slot.is_none_or(|known| new.at > known.at) {
            *slot = Some(new);
        }
    }

    fn update(&mut self, now: Instant) {
        self.dispatch_until = self.dispatch_deadline(now);
        if !self.is_member && self.may_dispatch(now) && self.confirmed_since_start() {
            self.is_member = true;
            self.dispatch_until = self.dispatch_deadline(now);
        }
        self.record_majority(now);
    }

    /// Whether the confirmation that allows dispatching is from after the start of this instance.
    fn confirmed_since_start(&self) -> bool {
        let Some(started_at) = self.started_at else {
            return false;
        };
        self.dispatch_until >= Some(started_at + self.settings.fence_after)
    }

    fn dispatch_deadline(&self, now: Instant) -> Option<Instant> {
        self.version?;
        let fence_after = self.settings.fence_after;
        let store_deadline = self.confirmed.map(|confirmed| confirmed.at + fence_after);
        store_deadline.max(self.majority_deadline(now))
    }

    /// Time until which the replies of a majority allow dispatching. An instance that is the only
    /// member may dispatch as long as the list is recent enough.
    fn majority_deadline(&self, now: Instant) -> Option<Instant> {
        let list_deadline = self.list_read_at? + self.settings.max_list_age;
        let members = self.counted_voters(now).count();
        let mut heard: Vec<Instant> = self
            .counted_voters(now)
            .filter_map(|(name, voter)| self.heard_at(name, voter, now))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = heard.get(majority(members) - 1)?;
        let is_only_member = members == 1 && self.is_member;
        let dispatch_deadline = *oldest + self.settings.fence_after;
        Some(if is_only_member {
            list_deadline
        } else {
            dispatch_deadline.min(list_deadline)
        })
    }

    /// Latest time at which a member is known to have held no version newer than the active one
    /// here.
    fn heard_at(&self, name: &InstanceId, voter: &Voter, now: Instant) -> Option<Instant> {
        if self.is_counted_self(name) {
            return Some(now);
        }
        let heard = voter.heard?;
        (Some(heard.version) <= self.version).then_some(heard.at)
    }
}
