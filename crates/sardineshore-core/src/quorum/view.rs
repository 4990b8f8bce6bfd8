//! Views of the members: who is heard, who holds which version, where it is in force.

use std::time::{Duration, Instant};

use super::{QuorumTracker, Voter};
use crate::{InstanceId, Version};

/// Versions whose spread to a majority is remembered.
const KEPT_SPREADS: usize = 64;

/// How many members are heard, and how many make a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{heard} of {members} members are heard, {needed} are needed")]
pub struct QuorumStatus {
    /// Members heard within `fence_after`, this instance included.
    pub heard: usize,
    /// Members that count.
    pub members: usize,
    /// Members that make a majority.
    pub needed: usize,
}

/// Where a version is known to be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSpread {
    /// Whether every instance either holds it or is fenced.
    pub is_active: bool,
    /// Members that hold it.
    pub applied: Vec<InstanceId>,
    /// Members not known to hold it.
    pub pending: Vec<InstanceId>,
}

impl QuorumTracker {
    /// Whether a command may be written: a majority is heard.
    pub fn may_accept(&self, now: Instant) -> Result<QuorumStatus, QuorumStatus> {
        let quorum = self.status(now);
        if quorum.members > 0 && quorum.heard >= quorum.needed {
            Ok(quorum)
        } else {
            Err(quorum)
        }
    }

    /// How many members are heard.
    #[must_use]
    pub fn status(&self, now: Instant) -> QuorumStatus {
        let members = self.counted(now).count();
        let fence = self.settings.fence_after;
        let fresh = |voter: &Voter| {
            let age = voter
                .heard
                .map(|heard| now.saturating_duration_since(heard.at));
            age.is_some_and(|age| age <= fence)
        };
        let heard = self
            .counted(now)
            .filter(|(name, voter)| self.counts_itself(name) || fresh(voter))
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
        let members = self.counted(now).count();
        let holding = self
            .counted(now)
            .filter(|(name, voter)| self.holder(name, voter) >= Some(version))
            .count();
        members > 0 && holding >= majority(members)
    }

    /// Where a version is in force.
    #[must_use]
    pub fn version_spread(&self, version: Version, now: Instant) -> VersionSpread {
        let (applied, pending): (Vec<_>, Vec<_>) = self
            .counted(now)
            .map(|(name, voter)| (name.clone(), self.holder(name, voter)))
            .partition(|(_, holds)| *holds >= Some(version));
        let names = |members: Vec<(InstanceId, _)>| members.into_iter().map(|(name, _)| name);
        let fence = self.settings.fence_after + self.settings.clock_drift_margin;
        let spread_at = self.spreads.range(version..).map(|(_, at)| *at).min();
        let fenced = spread_at.is_some_and(|at| now.saturating_duration_since(at) > fence);
        VersionSpread {
            is_active: fenced || (pending.is_empty() && !applied.is_empty()),
            applied: names(applied).collect(),
            pending: names(pending).collect(),
        }
    }

    /// Time since a member was last heard, directly or through others.
    #[must_use]
    pub fn last_heard_age(&self, member: &str, now: Instant) -> Option<Duration> {
        let heard = self.voters.get(member)?.heard?;
        Some(now.saturating_duration_since(heard.at))
    }

    /// Highest version that a member is known to have held.
    #[must_use]
    pub fn version_held_by(&self, member: &str) -> Option<Version> {
        let (name, voter) = self.voters.get_key_value(member)?;
        self.holder(name, voter)
    }

    /// Whether a member has ended its last work.
    #[must_use]
    pub fn has_stopped(&self, member: &str) -> bool {
        self.voters
            .get(member)
            .is_some_and(|voter| voter.stopped.is_some())
    }

    pub(super) fn note_spread(&mut self, now: Instant) {
        let Some(version) = self.version else { return };
        if self.spreads.contains_key(&version) || !self.is_held_by_majority(version, now) {
            return;
        }
        self.spreads.insert(version, now);
        if self.spreads.len() > KEPT_SPREADS {
            self.spreads.pop_first();
        }
    }

    fn holder(&self, name: &InstanceId, voter: &Voter) -> Option<Version> {
        if *name == self.me {
            self.advertised_version()
        } else {
            voter.holds
        }
    }

    pub(super) fn counts_itself(&self, name: &InstanceId) -> bool {
        self.joined && *name == self.me
    }

    /// Members that count towards a majority.
    pub(super) fn counted(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Voter)> {
        let grace = self.settings.removal_grace;
        self.voters.iter().filter(move |(_, voter)| {
            let gone = voter
                .vanished
                .is_some_and(|at| now.saturating_duration_since(at) >= grace);
            !gone && voter.stopped.is_none()
        })
    }
}

/// Members that make a majority of `members`.
pub(super) fn majority(members: usize) -> usize {
    members / 2 + 1
}
