//! The list of servers through outages, old states and removals.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Server;
use sardineshore_core::flow::listing::{Applied, Entry, ListedRow, Listing};

fn row(id: &str, version: u64) -> ListedRow {
    ListedRow {
        id: id.into(),
        entry: Entry::Server(Server {
            id: id.into(),
            pool: "p".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "d".into(),
            slots: 1,
            ready: true,
            started_ms: 0,
        }),
        version,
    }
}

fn removed(id: &str, version: u64) -> ListedRow {
    ListedRow {
        entry: Entry::Removed,
        ..row(id, version)
    }
}

fn ids(listing: &Listing) -> Vec<String> {
    listing.servers().iter().map(|s| s.id.to_string()).collect()
}

fn listing(now: Instant) -> Listing {
    let mut listing = Listing::default();
    let applied = listing.apply(vec![row("a", 1), row("b", 2)], true, 2, now);
    assert_eq!(applied, Applied::Changed);
    listing
}

#[test]
fn removal_after_the_store_is_back_holds_at_once() {
    let now = Instant::now();
    let mut listing = listing(now);
    listing.store_failed();
    listing.apply(vec![row("a", 1), row("b", 2)], true, 3, now);
    listing.apply(vec![removed("a", 4)], false, 4, now);
    assert_eq!(ids(&listing), ["b"]);
}

#[test]
fn entry_missing_when_the_store_is_back_is_used_for_a_moment() {
    let now = Instant::now();
    let mut listing = listing(now);
    listing.store_failed();
    listing.apply(vec![row("b", 2)], true, 3, now);
    assert_eq!(ids(&listing), ["a", "b"]);
    listing.apply(vec![], false, 3, now + Duration::from_secs(1));
    assert_eq!(ids(&listing), ["a", "b"]);
    listing.apply(vec![], false, 3, now + Duration::from_secs(2));
    assert_eq!(ids(&listing), ["b"]);
    assert!(!listing.awaits_lapsed());
}

#[test]
fn lapsed_entry_that_returns_stays() {
    let now = Instant::now();
    let mut listing = listing(now);
    listing.store_failed();
    listing.apply(vec![row("b", 2)], true, 3, now);
    listing.apply(vec![row("a", 4)], false, 4, now + Duration::from_secs(1));
    listing.apply(vec![], false, 4, now + Duration::from_secs(3));
    assert_eq!(ids(&listing), ["a", "b"]);
}

#[test]
fn older_state_brings_nothing_back() {
    let now = Instant::now();
    let mut listing = listing(now);
    listing.apply(vec![removed("a", 5)], false, 5, now);
    assert_eq!(
        listing.apply(vec![row("a", 1)], true, 4, now),
        Applied::Older
    );
    listing.apply(vec![row("a", 1), row("b", 2)], true, 6, now);
    assert_eq!(ids(&listing), ["b"]);
    listing.apply(vec![row("a", 7)], false, 7, now);
    assert_eq!(ids(&listing), ["a", "b"]);
}

#[test]
fn entry_that_can_not_be_read_names_no_server() {
    let now = Instant::now();
    let mut listing = listing(now);
    let unreadable = ListedRow {
        entry: Entry::Unreadable,
        ..row("a", 9)
    };
    listing.apply(vec![unreadable], false, 9, now);
    assert_eq!(ids(&listing), ["b"]);
}
