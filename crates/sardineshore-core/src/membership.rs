//! The entry instances that an instance knows from the instance list, and the choice of the peers
//! that it exchanges messages with.
//!
//! The list may be out of date, so no guarantee relies on it alone.
//! [`QuorumTracker`](crate::quorum::QuorumTracker) decides what may be dispatched and accepted.

pub mod leaving;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::duration;
use crate::quorum::peer_status::Roster;
use crate::{DomainId, InstanceId};

/// Maximum number of rosters of other instances that are kept.
const MAX_KEPT_ROSTERS: usize = 8;

/// One entry instance of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceId,
    /// `IP:PORT` on which the instance listens for its peers.
    pub addr: Arc<str>,
    /// Failure domain that the instance runs in.
    pub domain: DomainId,
    /// Whether the list marks the instance as leaving.
    pub leaving: bool,
}

/// The instance list as one instance knows it.
#[derive(Debug, Clone)]
pub struct Membership {
    this_instance: InstanceId,
    members: BTreeMap<InstanceId, Member>,
    /// Roster of the current members.
    roster: Roster,
    /// Rosters of other instances, the latest first.
    other_rosters: VecDeque<Roster>,
    /// Peers that were not yet chosen in the current round, in random order.
    round: Vec<InstanceId>,
}

impl Membership {
    /// Creates an empty list for `this_instance`.
    #[must_use]
    pub fn new(this_instance: InstanceId) -> Self {
        Self {
            this_instance,
            members: BTreeMap::new(),
            roster: Roster::default(),
            other_rosters: VecDeque::new(),
            round: Vec::new(),
        }
    }

    /// Replaces the members by those of a newly read list; returns whether they have changed.
    pub fn update_members(&mut self, members: Vec<Member>) -> bool {
        let named = members
            .into_iter()
            .map(|member| (member.name.clone(), member));
        let members: BTreeMap<_, _> = named.collect();
        if members == self.members {
            return false;
        }
        self.members = members;
        self.roster = Roster::new(self.members.keys().cloned().collect());
        self.round.retain(|name| self.members.contains_key(name));
        true
    }

    /// All members by name, with this instance if it is listed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this name, if it is listed.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of members, with this instance if it is listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the list has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Chooses the next peer. Each round visits all peers once, in a new random order.
    pub fn next_peer(&mut self, rng: &mut impl Rng) -> Option<Member> {
        if self.round.is_empty() {
            let others = self
                .members
                .keys()
                .filter(|name| **name != self.this_instance);
            self.round = others.cloned().collect();
            self.round.shuffle(rng);
        }
        let name = self.round.pop()?;
        self.members.get(&name).cloned()
    }

    /// Chooses up to `count` different peers at random.
    pub fn random_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<Member> {
        let others = self
            .members
            .values()
            .filter(|member| member.name != self.this_instance);
        let mut others: Vec<_> = others.cloned().collect();
        let (chosen, _) = others.partial_shuffle(rng, count);
        chosen.to_vec()
    }

    /// Roster of the current members; messages to peers list the members in its order.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The roster with this digest, if it is that of this instance or a kept one of another.
    #[must_use]
    pub fn roster_by_digest(&self, digest: u64) -> Option<&Roster> {
        if self.roster.digest == digest {
            return Some(&self.roster);
        }
        self.other_rosters
            .iter()
            .find(|known| known.digest == digest)
    }

    /// Keeps the roster of another instance with these members.
    pub fn add_roster(&mut self, names: Vec<InstanceId>) {
        self.other_rosters.push_front(Roster::new(names));
        self.other_rosters.truncate(MAX_KEPT_ROSTERS);
    }
}

/// Interval at which each of `members` instances repeats a call, so that all together make at most
/// `budget` calls per second. It is at least `shortest`, and very long without a budget.
#[must_use]
pub fn per_member_interval(members: usize, budget: f64, shortest: Duration) -> Duration {
    let interval =
        duration::time_at_rate(members.max(1) as f64, budget).unwrap_or(duration::LONGEST);
    interval.max(shortest)
}
