//! Decides who reads the store: a few instances of each failure domain do, the others follow them.
//!
//! Every instance ranks the instances of its domain by rendezvous hashing, so nothing is agreed. It
//! subscribes to the first one that hands on recent confirmations of the store, and reads the store
//! itself while there is none. A wrong choice costs calls, never correctness: what is handed on
//! carries the store's own versions and times.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::flow::readers::{FollowerConfig, ReaderAction, StoreFollower};
//!
//! let mut follower = StoreFollower::new(FollowerConfig::default());
//! let now = Duration::from_secs(1);
//! let actions = follower.update(&["r1".into(), "r2".into()], now);
//! assert_eq!(actions, [ReaderAction::Subscribe("r1".into())]);
//! assert_eq!(follower.reader(), None);
//! follower.record_confirmation(&"r1".into(), now, now);
//! assert_eq!(follower.reader(), Some(&"r1".into()));
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use super::cells::{OwnerCandidate, rank_owners};
use super::config::Name;

/// Instances of a domain below which all of them read the store.
const MIN_INSTANCES: usize = 4;
/// Readers of a domain that an instance tries.
const MAX_READERS: usize = 3;

/// Instances that the instance `own` of the domain `domain` may follow, the best first; empty if it
/// should read the store itself.
#[must_use]
pub fn rank_readers(own: &Name, domain: &Name, candidates: &[OwnerCandidate]) -> Vec<Name> {
    let in_domain = candidates.iter().filter(|c| c.domain == *domain);
    let in_domain: Vec<OwnerCandidate> = in_domain.cloned().collect();
    if in_domain.len() < MIN_INSTANCES {
        return Vec::new();
    }
    // A key of its own, so that the reader is rarely the owner of the domain's cell too.
    let ranked = rank_owners(&format!("store reader/{domain}"), &in_domain);
    let better = ranked.into_iter().take_while(|name| name != own);
    better.take(MAX_READERS).collect()
}

/// Time limits of a [`StoreFollower`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerConfig {
    /// Age of the newest confirmation at which a reader counts as silent.
    pub silence: Duration,
    /// Longest time from the subscription to the first confirmation.
    pub first_confirmation: Duration,
    /// Time for which a silent reader is not tried again.
    pub backoff: Duration,
}

impl FollowerConfig {
    /// Limits for a deployment with this revocation bound: a silent reader is noticed early enough
    /// for a reading of one's own before the instance stops being ready.
    #[must_use]
    pub fn for_revocation_bound(bound: Duration) -> Self {
        Self {
            silence: bound.mul_f64(0.32),
            ..Self::default()
        }
    }
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1600),
            first_confirmation: Duration::from_millis(500),
            backoff: Duration::from_secs(3),
        }
    }
}

/// What an instance has to do to follow a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReaderAction {
    /// Ask this instance for changes of the store.
    Subscribe(Name),
    /// Tell this instance that they are no longer needed.
    Unsubscribe(Name),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subscription {
    /// Nothing recent was received since this time.
    Pending(Duration),
    /// Hands on recent confirmations, the newest from this time.
    Live(Duration),
    /// Silent or not in touch with the store; the subscription stays, to hear of its return.
    Down,
}

/// Chooses the reader that an instance follows.
///
/// All times are readings of one clock that also runs while the machine is suspended.
#[derive(Debug, Default)]
pub struct StoreFollower {
    config: FollowerConfig,
    subscriptions: BTreeMap<Name, Subscription>,
    backed_off: BTreeMap<Name, Duration>,
}

impl StoreFollower {
    /// Follows nobody at first.
    #[must_use]
    pub fn new(config: FollowerConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Reader that is followed; `None` if the instance has to read the store itself.
    #[must_use]
    pub fn reader(&self) -> Option<&Name> {
        let mut all = self.subscriptions.iter();
        all.find_map(|(name, state)| matches!(state, Subscription::Live(_)).then_some(name))
    }

    /// Whether a reader may soon be followed.
    #[must_use]
    pub fn expects_reader(&self) -> bool {
        let mut states = self.subscriptions.values();
        states.any(|state| matches!(state, Subscription::Pending(_)))
    }

    /// Whether another instance can be reached that will hand on the store's next response.
    #[must_use]
    pub fn is_subscribed(&self) -> bool {
        !self.subscriptions.is_empty()
    }

    /// Records that a reader handed on a confirmation of the store from the time `confirmed_at`.
    /// Unless it is old, the reader is followed.
    pub fn record_confirmation(&mut self, reader: &Name, confirmed_at: Duration, now: Duration) {
        if confirmed_at + self.config.silence <= now {
            return;
        }
        if let Some(state) = self.subscriptions.get_mut(reader) {
            let newest = match *state {
                Subscription::Live(known) => known.max(confirmed_at),
                Subscription::Pending(_) | Subscription::Down => confirmed_at,
            };
            *state = Subscription::Live(newest);
        }
    }

    /// Records that a reader can't reach the store.
    pub fn record_store_failure(&mut self, reader: &Name) {
        if let Some(state) = self.subscriptions.get_mut(reader) {
            *state = Subscription::Down;
        }
    }

    /// Records that the link to a reader was lost or can't be opened.
    pub fn record_lost_link(&mut self, reader: &Name, now: Duration) {
        if self.subscriptions.remove(reader).is_some() {
            let until = now + self.config.backoff;
            self.backed_off.insert(reader.clone(), until);
        }
    }

    /// Handles all time limits. `readers` are the instances that may be followed, the best first.
    pub fn update(&mut self, readers: &[Name], now: Duration) -> Vec<ReaderAction> {
        let mut actions = Vec::new();
        self.backed_off.retain(|_, until| *until > now);
        let FollowerConfig {
            silence,
            first_confirmation,
            backoff,
        } = self.config;
        let mut unconfirmed = Vec::new();
        for (name, state) in &mut self.subscriptions {
            match *state {
                Subscription::Live(at) if at + silence <= now => *state = Subscription::Down,
                Subscription::Pending(since) if since + first_confirmation <= now => {
                    unconfirmed.push(name.clone());
                }
                _ => {}
            }
        }
        for name in unconfirmed {
            self.subscriptions.remove(&name);
            self.backed_off.insert(name.clone(), now + backoff);
            actions.push(ReaderAction::Unsubscribe(name));
        }
        let is_live = |name: &Name| {
            let state = self.subscriptions.get(name);
            matches!(state, Some(Subscription::Live(_)))
        };
        let live = readers.iter().position(is_live);
        // Those before the one that is followed are tried again; those behind it aren't needed. One
        // that should no longer be followed is, until another one has replaced it.
        let wanted = &readers[..live.map_or(readers.len(), |index| index + 1)];
        let names = self.subscriptions.keys().filter(|name| {
            let is_last = live.is_none() && !readers.is_empty() && is_live(name);
            !wanted.contains(name) && !is_last
        });
        for name in names.cloned().collect::<Vec<Name>>() {
            self.subscriptions.remove(&name);
            actions.push(ReaderAction::Unsubscribe(name));
        }
        if !self.expects_reader() {
            let mut untried = wanted.iter().filter(|name| {
                !self.subscriptions.contains_key(*name) && !self.backed_off.contains_key(*name)
            });
            if let Some(name) = untried.next() {
                let state = Subscription::Pending(now);
                self.subscriptions.insert(name.clone(), state);
                actions.push(ReaderAction::Subscribe(name.clone()));
            }
        }
        actions
    }

    /// When [`StoreFollower::update`] has to be called next, at the latest.
    #[must_use]
    pub fn next_update(&self) -> Option<Duration> {
        let limits = self
            .subscriptions
            .values()
            .filter_map(|state| match *state {
                Subscription::Pending(since) => Some(since + self.config.first_confirmation),
                Subscription::Live(confirmed_at) => Some(confirmed_at + self.config.silence),
                Subscription::Down => None,
            });
        limits.chain(self.backed_off.values().copied()).min()
    }
}
