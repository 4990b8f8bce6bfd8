//! Choice of peers, rosters, and reports of backend servers that are leaving.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sardineshore_core::membership::leaving::{LeavingServers, ListedServer};
use sardineshore_core::membership::{Member, Membership, per_member_interval};
use sardineshore_core::{Clock, ManualClock};

fn members(count: usize) -> Vec<Member> {
    let member = |n| Member {
        name: format!("i{n}").into(),
        addr: format!("127.0.0.1:{n}").into(),
        domain: "d".into(),
        leaving: false,
    };
    (1..=count).map(member).collect()
}

fn server(leaving: bool) -> [ListedServer; 1] {
    [ListedServer {
        server: "s".into(),
        leaving,
    }]
}

#[test]
fn next_peer_each_once_per_round() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut membership = Membership::new("i1".into());
    assert!(membership.next_peer(&mut rng).is_none());
    assert!(membership.update_members(members(5)));
    assert!(!membership.update_members(members(5)));
    for _ in 0..3 {
        let mut round: Vec<_> = (0..4)
            .filter_map(|_| membership.next_peer(&mut rng))
            .map(|peer| peer.name)
            .collect();
        round.sort();
        assert_eq!(round, ["i2".into(), "i3".into(), "i4".into(), "i5".into()]);
    }
    assert_eq!(membership.random_peers(3, &mut rng).len(), 3);
}

#[test]
fn roster_by_digest_finds_rosters_of_others() {
    let mut membership = Membership::new("i1".into());
    membership.update_members(members(2));
    let mut other = Membership::new("i2".into());
    other.update_members(members(3));
    let digest = other.roster().digest;
    assert_eq!(membership.roster_by_digest(digest), None);
    membership.add_roster(other.roster().names.to_vec());
    assert_eq!(membership.roster_by_digest(digest), Some(other.roster()));
}

#[test]
fn leaving_servers_latest_reading_counts() {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(60));
    let (mut reader, mut receiver) = (LeavingServers::default(), LeavingServers::default());
    let began = clock.now();
    clock.advance(Duration::from_secs(1));
    assert!(!reader.apply_list(&server(false), began, clock.now()));
    assert!(reader.apply_list(&server(true), clock.now(), clock.now()));
    let notices = reader.recent_notices(clock.now());
    assert!(receiver.apply_notices(&notices, clock.now(), clock.now()));
    assert!(receiver.leaving().contains("s"));
    assert!(
        !receiver.apply_list(&server(false), began, clock.now()),
        "an older reading"
    );
    let sent = clock.now();
    clock.advance(Duration::from_secs(1));
    assert!(receiver.apply_list(&server(false), clock.now(), clock.now()));
    assert!(!receiver.apply_notices(&notices, sent, clock.now()));
    assert!(receiver.leaving().is_empty());
    clock.advance(Duration::from_secs(60));
    assert!(reader.recent_notices(clock.now()).is_empty());
}

#[test]
fn per_member_interval_by_member_count() {
    let shortest = Duration::from_millis(500);
    let interval = |members| per_member_interval(members, 100.0, shortest);
    assert_eq!(interval(0), shortest);
    assert_eq!(interval(9), shortest);
    assert_eq!(interval(410), Duration::from_millis(4100));
}
