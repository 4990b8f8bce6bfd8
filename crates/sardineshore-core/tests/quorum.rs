//! Which instances may dispatch and accept commands, under a manual clock and cut links.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sardineshore_core::quorum::peer_status::{PeerStatuses, Roster};
use sardineshore_core::quorum::{PeerReply, QuorumConfig, QuorumTracker};
use sardineshore_core::{Clock, InstanceId, ManualClock, Version};

const PERIOD: Duration = Duration::from_millis(500);
const FENCE_AFTER: Duration = Duration::from_secs(3);

/// Instances that exchange messages over links that can be cut.
struct Fleet {
    clock: ManualClock,
    roster: Roster,
    quorums: BTreeMap<InstanceId, QuorumTracker>,
    cut_links: Vec<(InstanceId, InstanceId)>,
    rounds: usize,
}

impl Fleet {
    /// Creates instances that have all read the instance list and the store's head at version 1.
    fn started(count: usize) -> Self {
        let clock = ManualClock::default();
        let names: Vec<InstanceId> = (1..=count).map(|n| format!("i{n}").into()).collect();
        clock.advance(Duration::from_secs(60));
        let mut quorums = BTreeMap::new();
        for name in &names {
            let mut quorum = QuorumTracker::new(name.clone(), QuorumConfig::default());
            quorum.update_members(&names, clock.now(), clock.now());
            quorum.record_active_version(1, clock.now());
            quorum.record_store_head(1, clock.now(), clock.now());
            quorums.insert(name.clone(), quorum);
        }
        Self {
            clock,
            roster: Roster::new(names),
            quorums,
            cut_links: Vec::new(),
            rounds: 0,
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn at(&self, name: &str) -> &QuorumTracker {
        &self.quorums[name]
    }

    fn at_mut(&mut self, name: &str) -> &mut QuorumTracker {
        self.quorums.get_mut(name).unwrap()
    }

    fn answer(&self, name: &str) -> PeerReply {
        let quorum = self.at(name);
        PeerReply {
            member: name.into(),
            version: quorum.advertised_version(),
            confirmed_age: quorum.confirmation_age(self.now()),
            stopped: false,
            statuses: PeerStatuses::of(quorum, &self.roster, self.now()),
        }
    }

    fn exchange(&mut self, asker: &str, asked: &str) {
        let now = self.now();
        let reply = self.answer(asked);
        self.at_mut(asker).record_reply(&reply, now, now);
    }

    fn cut_off(&mut self, name: &str) {
        let others: Vec<_> = self
            .quorums
            .keys()
            .filter(|other| &***other != name)
            .cloned()
            .collect();
        for other in others {
            self.cut_links.push((name.into(), other.clone()));
            self.cut_links.push((other, name.into()));
        }
    }

    /// Advances the clock by one period, in which each instance asks one other, a different one in
    /// each round.
    fn round(&mut self) {
        self.clock.advance(PERIOD);
        let names = self.roster.names.clone();
        let count = names.len();
        self.rounds += 1;
        let distance = 1 + self.rounds % (count - 1);
        for (number, name) in names.iter().enumerate() {
            let asked = &names[(number + distance) % count];
            if !self.cut_links.contains(&(name.clone(), asked.clone())) {
                self.exchange(name, asked);
            }
        }
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn dispatching(&self) -> Vec<&str> {
        let now = self.now();
        let may = self
            .quorums
            .iter()
            .filter(|(_, quorum)| quorum.may_dispatch(now));
        may.map(|(name, _)| &**name).collect()
    }

    /// Makes a version active on the instance `name`.
    fn activate(&mut self, name: &str, version: Version) {
        let now = self.now();
        self.at_mut(name).record_active_version(version, now);
    }
}

#[test]
fn dispatch_store_outage_majority_continues() {
    let mut fleet = Fleet::started(5);
    fleet.cut_off("i5");
    fleet.rounds(20);
    assert_eq!(fleet.dispatching(), ["i1", "i2", "i3", "i4"]);
    let heard = fleet.at("i5").may_accept(fleet.now()).unwrap_err();
    assert_eq!(heard.to_string(), "1 of 5 members are heard, 3 are needed");
}

#[test]
fn dispatch_fenced_exactly_at_limit() {
    let mut fleet = Fleet::started(3);
    fleet.cut_off("i1");
    fleet.clock.advance(FENCE_AFTER);
    assert!(fleet.at("i1").may_dispatch(fleet.now()));
    fleet.clock.advance(Duration::from_nanos(1));
    assert!(!fleet.at("i1").may_dispatch(fleet.now()));
    let now = fleet.now();
    fleet.at_mut("i1").record_store_head(0, now, now);
    assert!(
        !fleet.at("i1").may_dispatch(now),
        "an older head confirms nothing"
    );
    fleet.at_mut("i1").record_store_head(1, now, now);
    assert!(fleet.at("i1").may_dispatch(now));
}

#[test]
fn dispatch_newer_head_confirms_once_active() {
    let mut fleet = Fleet::started(3);
    fleet.cut_off("i1");
    fleet.clock.advance(2 * FENCE_AFTER);
    let now = fleet.now();
    fleet.at_mut("i1").record_store_head(2, now, now);
    assert!(!fleet.at("i1").may_dispatch(now));
    fleet.activate("i1", 2);
    assert!(fleet.at("i1").may_dispatch(now));
}

#[test]
fn dispatch_delayed_reply_ages_from_the_question() {
    let mut fleet = Fleet::started(3);
    let sent = fleet.now();
    fleet.clock.advance(2 * FENCE_AFTER);
    let reply = fleet.answer("i2");
    let now = fleet.now();
    fleet.at_mut("i1").record_reply(&reply, sent, now);
    assert!(!fleet.at("i1").may_dispatch(now));
}

#[test]
fn dispatch_peers_with_newer_version_confirm_nothing() {
    let mut fleet = Fleet::started(3);
    fleet.clock.advance(FENCE_AFTER);
    fleet.activate("i2", 2);
    fleet.activate("i3", 2);
    fleet.exchange("i2", "i3");
    fleet.exchange("i3", "i2");
    fleet.clock.advance(Duration::from_millis(1));
    fleet.exchange("i1", "i2");
    assert!(!fleet.at("i1").may_dispatch(fleet.now()));
    fleet.activate("i1", 2);
    assert!(fleet.at("i1").may_dispatch(fleet.now()));
}

#[test]
fn accept_held_by_majority_fences_the_rest() {
    let mut fleet = Fleet::started(5);
    fleet.rounds(4);
    fleet.cut_off("i5");
    fleet.activate("i1", 2);
    assert!(!fleet.at("i1").is_held_by_majority(2, fleet.now()));
    fleet.activate("i2", 2);
    fleet.exchange("i1", "i2");
    assert!(!fleet.at("i1").is_held_by_majority(2, fleet.now()));
    fleet.activate("i3", 2);
    fleet.exchange("i1", "i3");
    assert!(fleet.at("i1").is_held_by_majority(2, fleet.now()));
    fleet.activate("i4", 2);
    let spread = fleet.at("i1").version_spread(2, fleet.now());
    assert_eq!((spread.is_active, spread.pending.len()), (false, 2));
    fleet.rounds(7);
    let spread = fleet.at("i1").version_spread(2, fleet.now());
    assert_eq!(spread.pending, ["i5".into()]);
    assert!(spread.is_active, "the silent instance is fenced by now");
    assert!(!fleet.dispatching().contains(&"i5"));
}

#[test]
fn start_in_outage_needs_majority_of_others() {
    let fleet = Fleet::started(3);
    let names = ["i1".into(), "i3".into(), "new".into()];
    let mut quorum = QuorumTracker::new("new".into(), QuorumConfig::default());
    fleet.clock.advance(2 * FENCE_AFTER);
    let now = fleet.now();
    quorum.update_members(&names, now, now);
    quorum.record_active_version(1, now);
    quorum.record_reply(&fleet.answer("i3"), now, now);
    assert!(
        !quorum.may_dispatch(now),
        "an unconfirmed instance does not count itself"
    );
    assert_eq!(quorum.advertised_version(), None);
    quorum.record_reply(&fleet.answer("i1"), now, now);
    assert!(quorum.may_dispatch(now));
    assert_eq!(quorum.advertised_version(), Some(1));
}

#[test]
fn list_removed_member_counts_until_grace_ends() {
    let mut fleet = Fleet::started(3);
    let now = fleet.now();
    fleet.at_mut("i1").update_members(&["i1".into()], now, now);
    assert_eq!(fleet.at("i1").status(now).members, 3);
    fleet.at_mut("i1").record_stop(&"i2".into(), now);
    assert_eq!(fleet.at("i1").status(now).members, 2);
    fleet.clock.advance(QuorumConfig::default().removal_grace);
    assert_eq!(fleet.at("i1").status(fleet.now()).members, 1);
}

#[test]
fn list_only_member_dispatches_while_list_is_recent() {
    let fleet = Fleet::started(1);
    let trust = QuorumConfig::default().max_list_age;
    fleet.clock.advance(trust);
    assert_eq!(fleet.dispatching(), ["i1"]);
    fleet.clock.advance(Duration::from_nanos(1));
    assert!(fleet.dispatching().is_empty());
}

#[test]
fn peer_statuses_text_of_ages_and_versions() {
    let mut fleet = Fleet::started(4);
    fleet.exchange("i1", "i2");
    fleet.clock.advance(Duration::from_millis(250));
    fleet.activate("i1", 2);
    fleet.exchange("i1", "i3");
    let statuses = PeerStatuses::of(fleet.at("i1"), &fleet.roster, fleet.now());
    expect_test::expect!["y60y"].assert_eq(statuses.text());
    let decoded: Vec<_> = statuses.iter().map(|known| format!("{known:?}")).collect();
    expect_test::expect![[r#"
        PeerStatus { member: "i1", state: Silent }
        PeerStatus { member: "i2", state: Heard { age: 300ms, holds: false } }
        PeerStatus { member: "i3", state: Heard { age: 0ns, holds: false } }
        PeerStatus { member: "i4", state: Silent }"#]]
    .assert_eq(&decoded.join("\n"));
    let malformed = PeerStatuses::new(fleet.roster.clone(), "é~".into());
    assert!(malformed.iter().count() <= 4);
}

#[test]
fn stop_restarted_member_counts_again() {
    let mut fleet = Fleet::started(3);
    let now = fleet.now();
    fleet.at_mut("i1").record_stop(&"i2".into(), now);
    fleet.exchange("i1", "i3");
    assert!(fleet.at("i1").has_stopped("i2"));
    fleet.clock.advance(PERIOD);
    fleet.exchange("i1", "i2");
    assert!(!fleet.at("i1").has_stopped("i2"));
    assert_eq!(fleet.at("i1").status(fleet.now()).members, 3);
}
