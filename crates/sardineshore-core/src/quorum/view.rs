//! Queries on the members: which are heard, which hold a version, and where a version is active.

use std::time::{Duration, Instant};

use super::{QuorumTracker, Voter};
use crate::{InstanceId, Version};

/// Number of versions for which the time is kept at which a majority held them.
const MAX_KEPT_VERSIONS: usize = 64;

/// Number of members that are heard, and number that make a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{heard} of {members} members are heard, {needed} are needed")]
pub struct QuorumStatus {
    /// Number of members heard within `fence_after`, this instance included.
    pub heard: usize,
    /// Number of members that count towards the majority.
    pub members: usize,
    /// Number of members that make a majority.
    pub needed: usize,
}

/// Where a version is known to be active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSpread {
    /// Whether every instance either holds it or is fenced, so that no instance acts on an older
    /// one.
    pub is_active: bool,
    /// Members that hold it.
    pub applied: Vec<InstanceId>,
    /// Members not known to hold it.
    pub pending: Vec<InstanceId>,
}

impl QuorumTracker {
    /// Whether a command may be written: it may if a majority of the members is heard.
    pub fn may_accept(&self, now: Instant) -> Result<QuorumStatus, QuorumStatus> {
        let quorum = self.status(now);
        if quorum.members > 0 && quorum.heard >= quorum.needed {
            Ok(quorum)
        } else {
            Err(quorum)
        }
    }

    /// Number of members that are heard, and number that make a majority.
    #[must_use]
    pub fn status(&self, now: Instant) -> QuorumStatus {
        let members = self.counted_voters(now).count();
        let fence = self.settings.fence_after;
        let is_heard = |voter: &Voter| {
            let age = voter
                .heard
                .map(|heard| now.saturating_duration_since(heard.at));
            age.is_some_and(|age| age <= fence)
        };
        let heard = self
            .counted_voters(now)
            .filter(|(name, voter)| self.is_counted_self(name) || is_heard(voter))
            .count();
        QuorumStatus {
            heard,
            members,
            needed: majority(members),
        }
    }

    /// Whether a majority of the members is known to hold a version.
    #[must_use]
    pub fn is_held_by_majority(&self, version: Version, now: Instant) -> bool {
        let members = self.counted_voters(now).count();
        let holder_count = self
            .counted_voters(now)
            .filter(|(name, voter)| self.held_version(name, voter) >= Some(version))
            .count();
        members > 0 && holder_count >= majority(members)
    }

    /// Where a version is active.
    #[must_use]
    pub fn version_spread(&self, version: Version, now: Instant) -> VersionSpread {
        let (applied, pending): (Vec<_>, Vec<_>) = self
            .counted_voters(now)
            .map(|(name, voter)| (name.clone(), self.held_version(name, voter)))
            .partition(|(_, holds)| *holds >= Some(version));
        let names = |members: Vec<(InstanceId, _)>| members.into_iter().map(|(name, _)| name);
        let fence = self.settings.fence_after + self.settings.clock_drift_margin;
        let held_since = self
            .majority_held_at
            .range(version..)
            .map(|(_, at)| *at)
            .min();
        let fenced = held_since.is_some_and(|at| now.saturating_duration_since(at) > fence);
        VersionSpread {
            is_active: fenced || (pending.is_empty() && !applied.is_empty()),
            applied: names(applied).collect(),
            pending: names(pending).collect(),
        }
    }

    /// Time since a member was last heard, directly or through others; `None` if it never was.
    #[must_use]
    pub fn last_heard_age(&self, member: &str, now: Instant) -> Option<Duration> {
        let heard = self.voters.get(member)?.heard?;
        Some(now.saturating_duration_since(heard.at))
    }

    /// Highest version that a member is known to have held; `None` if unknown.
    #[must_use]
    pub fn version_held_by(&self, member: &str) -> Option<Version> {
        let (name, voter) = self.voters.get_key_value(member)?;
        self.held_version(name, voter)
    }

    /// Whether a member has finished its last work.
    #[must_use]
    pub fn has_stopped(&self, member: &str) -> bool {
        self.voters
            .get(member)
            .is_some_and(|voter| voter.stopped_at.is_some())
    }

    pub(super) fn record_majority(&mut self, now: Instant) {
        let Some(version) = self.version else { return };
        if self.majority_held_at.contains_key(&version) || !self.is_held_by_majority(version, now) {
            return;
        }
        self.majority_held_at.insert(version, now);
        if self.majority_held_at.len() > MAX_KEPT_VERSIONS {
            self.majority_held_at.pop_first();
        }
    }

    fn held_version(&self, name: &InstanceId, voter: &Voter) -> Option<Version> {
        if *name == self.this_instance {
            self.advertised_version()
        } else {
            voter.holds
        }
    }

    pub(super) fn is_counted_self(&self, name: &InstanceId) -> bool {
        self.is_member && *name == self.this_instance
    }

    /// Members that count towards a majority.
    pub(super) fn counted_voters(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&InstanceId, &Voter)> {
        let grace = self.settings.removal_grace;
        self.voters.iter().filter(move |(_, voter)| {
            let is_gone = voter
                .removed_at
                .is_some_and(|at| now.saturating_duration_since(at) >= grace);
            !is_gone && voter.stopped_at.is_none()
        })
    }
}

/// Number of members that make a majority of `members`.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}
