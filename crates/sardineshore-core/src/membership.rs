//! The entry instances that an instance knows, and whom it talks to next.
//!
//! The list lags, and no guarantee rests on it alone: [`Contact`](crate::contact::Contact) decides
//! what may be dispatched and accepted.

pub mod leaving;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::contact::relay::Roster;
use crate::{DomainId, InstanceId};

/// Rosters of other instances that are remembered.
const MAX_KEPT_ROSTERS: usize = 8;

/// One entry instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub name: InstanceId,
    /// `IP:PORT` of its peer address.
    pub addr: Arc<str>,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Members of the list.
#[derive(Debug, Clone)]
pub struct Membership {
    me: InstanceId,
    members: BTreeMap<InstanceId, Member>,
    roster: Roster,
    rosters: VecDeque<Roster>,
    /// Peers not yet talked to in this round.
    round: Vec<InstanceId>,
}

impl Membership {
    /// An instance that knows no other.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            roster: Roster::default(),
            rosters: VecDeque::new(),
            round: Vec::new(),
        }
    }

    /// Takes the instance list; returns whether it has changed.
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

    /// Members, this instance included if it is listed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Members of the list.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The peer to talk to next: all in a random order, then all in another.
    pub fn next_peer(&mut self, rng: &mut impl Rng) -> Option<Member> {
        if self.round.is_empty() {
            let others = self.members.keys().filter(|name| **name != self.me);
            self.round = others.cloned().collect();
            self.round.shuffle(rng);
        }
        let name = self.round.pop()?;
        self.members.get(&name).cloned()
    }

    /// Several peers at random, each once.
    pub fn random_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<Member> {
        let others = self
            .members
            .values()
            .filter(|member| member.name != self.me);
        let mut others: Vec<_> = others.cloned().collect();
        let (chosen, _) = others.partial_shuffle(rng, count);
        chosen.to_vec()
    }

    /// Roster in whose order this instance tells of members.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// A known roster by its digest.
    #[must_use]
    pub fn roster_by_digest(&self, digest: u64) -> Option<&Roster> {
        if self.roster.digest == digest {
            return Some(&self.roster);
        }
        self.rosters.iter().find(|known| known.digest == digest)
    }

    /// Remembers the roster of another instance.
    pub fn add_roster(&mut self, names: Vec<InstanceId>) {
        self.rosters.push_front(Roster::new(names));
        self.rosters.truncate(MAX_KEPT_ROSTERS);
    }
}

/// Period after which each of `members` instances repeats a call, so that all together make
/// `budget` calls a second, but none more often than `shortest`.
#[must_use]
pub fn per_member_interval(members: usize, budget: f64, shortest: Duration) -> Duration {
    let shared = Duration::from_secs_f64(members.max(1) as f64 / budget);
    shared.max(shortest)
}
