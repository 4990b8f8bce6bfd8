//! Peers, rosters and backend servers that are leaving.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sardineshore_core::membership::leaving::{LeavingServers, ListedServer};
use sardineshore_core::membership::{Member, Membership, shared_period};
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
fn peers_each_once_in_a_round() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut membership = Membership::new("i1".into());
    assert!(membership.next_peer(&mut rng).is_none());
    assert!(membership.list_read(members(5)));
    assert!(!membership.list_read(members(5)));
    for _ in 0..3 {
        let mut round: Vec<_> = (0..4)
            .filter_map(|_| membership.next_peer(&mut rng))
            .map(|peer| peer.name)
            .collect();
        round.sort();
        assert_eq!(round, ["i2".into(), "i3".into(), "i4".into(), "i5".into()]);
    }
    assert_eq!(membership.some_peers(3, &mut rng).len(), 3);
}

#[test]
fn rosters_of_others_are_known_by_digest() {
    let mut membership = Membership::new("i1".into());
    membership.list_read(members(2));
    let mut other = Membership::new("i2".into());
    other.list_read(members(3));
    let digest = other.roster().digest;
    assert_eq!(membership.roster_of(digest), None);
    membership.roster_read(other.roster().names.to_vec());
    assert_eq!(membership.roster_of(digest), Some(other.roster()));
}

#[test]
fn leaving_latest_reading_counts() {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(60));
    let (mut reader, mut told) = (LeavingServers::default(), LeavingServers::default());
    let began = clock.now();
    clock.advance(Duration::from_secs(1));
    assert!(!reader.list_read(&server(false), began, clock.now()));
    assert!(reader.list_read(&server(true), clock.now(), clock.now()));
    let notices = reader.notices(clock.now());
    assert!(told.told(&notices, clock.now(), clock.now()));
    assert!(told.leaving().contains("s"));
    assert!(
        !told.list_read(&server(false), began, clock.now()),
        "an older reading"
    );
    let sent = clock.now();
    clock.advance(Duration::from_secs(1));
    assert!(told.list_read(&server(false), clock.now(), clock.now()));
    assert!(!told.told(&notices, sent, clock.now()));
    assert!(told.leaving().is_empty());
    clock.advance(Duration::from_secs(60));
    assert!(reader.notices(clock.now()).is_empty());
}

#[test]
fn shared_period_of_sizes() {
    let shortest = Duration::from_millis(500);
    let period = |members| shared_period(members, 100.0, shortest);
    assert_eq!(period(0), shortest);
    assert_eq!(period(9), shortest);
    assert_eq!(period(410), Duration::from_millis(4100));
}
