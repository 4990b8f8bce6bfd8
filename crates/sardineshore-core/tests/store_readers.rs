//! Replicas of the store's tables, the choice of an instance's reader, and confirmations that are
//! handed on.

use std::time::Duration;

use sardineshore_core::flow::cells::OwnerCandidate;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::freshness::Freshness;
use sardineshore_core::flow::readers::{FollowerConfig, ReaderAction, StoreFollower, rank_readers};
use sardineshore_core::flow::replica::{
    ApplyError, StoreRow, StoreVersion, TableChanges, TableReplica,
};

/// A version of the first era.
fn at(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn row(key: &str, version: u64) -> StoreRow {
    StoreRow {
        key: key.into(),
        value: Some(key.as_bytes().into()),
        version: at(version),
    }
}

fn removal(key: &str, version: u64) -> StoreRow {
    StoreRow {
        value: None,
        ..row(key, version)
    }
}

fn changes(after: u64, version: u64, rows: Vec<StoreRow>) -> TableChanges {
    TableChanges {
        after: at(after),
        version: at(version),
        rows,
        ..TableChanges::default()
    }
}

fn snapshot(version: u64, rows: Vec<StoreRow>) -> TableChanges {
    TableChanges {
        is_snapshot: true,
        ..changes(0, version, rows)
    }
}

fn replica(version: u64, rows: Vec<StoreRow>) -> TableReplica {
    let mut replica = TableReplica::default();
    replica.apply(snapshot(version, rows)).unwrap();
    replica
}

fn keys(changes: &TableChanges) -> Vec<&str> {
    changes.rows.iter().map(|row| &*row.key).collect()
}

#[test]
fn apply_older_page_changes_nothing() {
    let mut replica = replica(9, vec![row("a", 8)]);
    let old = snapshot(7, vec![row("a", 3)]);
    assert_eq!(replica.apply(old), Err(ApplyError::Stale));
    let late = replica.apply(changes(9, 10, vec![row("a", 3)])).unwrap();
    assert!(late.rows.is_empty());
}

#[test]
fn apply_removal_is_not_undone_by_older_row() {
    let mut replica = replica(5, vec![row("a", 4)]);
    replica.apply(changes(5, 6, vec![removal("a", 6)])).unwrap();
    let news = replica.apply(changes(5, 6, vec![row("a", 4)])).unwrap();
    assert!(news.rows.is_empty());
}

#[test]
fn apply_changes_that_do_not_join_on_is_a_gap() {
    let mut replica = replica(5, vec![]);
    let gap = changes(6, 8, vec![row("b", 8)]);
    assert_eq!(replica.apply(gap), Err(ApplyError::Gap));
    assert_eq!(replica.version(), Some(at(5)));
}

#[test]
fn apply_snapshot_names_rows_gone_without_removal_once() {
    let mut replica = replica(5, vec![row("a", 4), row("b", 5)]);
    let again = snapshot(6, vec![row("b", 5)]);
    let news = replica.apply(again.clone()).unwrap();
    assert_eq!(news.missing, [Name::from("a")]);
    assert!(news.rows.is_empty());
    assert!(replica.apply(again).unwrap().missing.is_empty());
}

#[test]
fn changes_after_bring_another_replica_to_the_same_state() {
    let mut reader = replica(5, vec![row("a", 4), row("b", 5)]);
    let mut follower = replica(4, vec![row("a", 4)]);
    reader.apply(changes(5, 7, vec![removal("a", 7)])).unwrap();
    let lacking = reader.changes_after(follower.version()).unwrap();
    assert!(lacking.is_snapshot, "what came before 5 is not known");
    let news = follower.apply(lacking).unwrap();
    assert_eq!(keys(&news), ["b"]);
    assert_eq!(news.missing, [Name::from("a")]);
    reader.apply(changes(7, 9, vec![row("c", 9)])).unwrap();
    let lacking = reader.changes_after(follower.version()).unwrap();
    assert!(!lacking.is_snapshot);
    assert_eq!(keys(&follower.apply(lacking).unwrap()), ["c"]);
    assert_eq!(reader.changes_after(Some(at(10))), None);
}

#[test]
fn record_relayed_dates_late_message_by_its_stamp() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.record_relayed(500_000, ms(0), ms(900)), None);
    freshness.record(ms(1000), ms(1010), 501_000);
    // Produced at 2 s, handed on by a reader that was frozen for 4 s in between.
    assert_eq!(
        freshness.record_relayed(502_000, ms(5), ms(6000)),
        Some(ms(2000))
    );
    assert_eq!(freshness.age(ms(6000)), Some(ms(4000)));
    // An older one after it takes nothing back and adds nothing.
    freshness.record_relayed(501_500, ms(0), ms(6001));
    assert_eq!(freshness.age(ms(6001)), Some(ms(4001)));
}

#[test]
fn record_relayed_stamp_of_changed_clock_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.record(ms(1000), ms(1010), 501_000);
    assert_eq!(freshness.record_relayed(900_000, ms(0), ms(2000)), None);
    assert_eq!(freshness.age(ms(2000)), Some(ms(1000)));
    // A clock that jumped by less than the message took: the reader's own clock bounds the error.
    let confirmed = freshness.record_relayed(502_900, ms(800), ms(3000));
    assert_eq!(confirmed, Some(ms(2200)));
}

#[test]
fn record_relayed_fast_message_is_not_taken_for_a_changed_clock() {
    let mut freshness = Freshness::default();
    // The call took 0.1 ms, and both clocks were rounded down: the offset is 1 ms too small.
    freshness.record(ms(1000), ms(1001), 500_999);
    let received = Duration::from_micros(2_000_300);
    let confirmed = freshness.record_relayed(502_000, ms(0), received);
    assert_eq!(confirmed, Some(received));
}

fn follow(follower: &mut StoreFollower, readers: &[Name], now: Duration) -> Vec<String> {
    let actions = follower.update(readers, now).into_iter();
    let text = actions.map(|action| match action {
        ReaderAction::Subscribe(name) => format!("+{name}"),
        ReaderAction::Unsubscribe(name) => format!("-{name}"),
    });
    text.collect()
}

#[test]
fn update_silent_reader_is_replaced_and_taken_back() {
    let mut follower = StoreFollower::new(FollowerConfig::default());
    let readers = [Name::from("r1"), Name::from("r2")];
    assert_eq!(follow(&mut follower, &readers, ms(0)), ["+r1"]);
    follower.record_confirmation(&readers[0], ms(50), ms(60));
    assert_eq!(follower.reader(), Some(&readers[0]));
    assert_eq!(follower.next_update(), Some(ms(1650)));
    assert!(follow(&mut follower, &readers, ms(1649)).is_empty());
    assert_eq!(follow(&mut follower, &readers, ms(1650)), ["+r2"]);
    assert_eq!(follower.reader(), None, "reads the store itself meanwhile");
    follower.record_confirmation(&readers[1], ms(1600), ms(1700));
    assert!(follow(&mut follower, &readers, ms(1700)).is_empty());
    assert_eq!(follower.reader(), Some(&readers[1]));
    follower.record_confirmation(&readers[0], ms(1800), ms(1810));
    assert_eq!(follow(&mut follower, &readers, ms(1810)), ["-r2"]);
    assert_eq!(follower.reader(), Some(&readers[0]));
}

#[test]
fn update_store_away_keeps_subscriptions_and_follows_at_its_return() {
    let mut follower = StoreFollower::new(FollowerConfig::default());
    let readers = [Name::from("r1"), Name::from("r2"), Name::from("r3")];
    let mut now = ms(0);
    for reader in &readers {
        assert_eq!(follow(&mut follower, &readers, now).len(), 1);
        follower.record_store_failure(reader);
        now += ms(10);
    }
    assert!(follow(&mut follower, &readers, ms(9000)).is_empty());
    assert_eq!(follower.reader(), None);
    // An old confirmation is no return.
    follower.record_confirmation(&readers[1], ms(5000), ms(9000));
    assert_eq!(follower.reader(), None);
    follower.record_confirmation(&readers[1], ms(8990), ms(9000));
    assert_eq!(follower.reader(), Some(&readers[1]));
    assert_eq!(follow(&mut follower, &readers, ms(9000)), ["-r3"]);
}

#[test]
fn update_lost_reader_is_tried_again_after_back_off() {
    let mut follower = StoreFollower::new(FollowerConfig::default());
    let readers = [Name::from("r1")];
    follow(&mut follower, &readers, ms(0));
    follower.record_lost_link(&readers[0], ms(10));
    assert!(follow(&mut follower, &readers, ms(3009)).is_empty());
    assert_eq!(follow(&mut follower, &readers, ms(3010)), ["+r1"]);
}

#[test]
fn rank_readers_grows_with_domains_not_instances() {
    for count in [3, 30, 300] {
        let candidates: Vec<OwnerCandidate> = (0..count)
            .map(|n| OwnerCandidate {
                name: format!("i{n}").into(),
                domain: format!("d{}", n % 6).into(),
                weight: 0.12,
            })
            .collect();
        let readers_of = |c: &OwnerCandidate| rank_readers(&c.name, &c.domain, &candidates);
        let reading = candidates.iter().filter(|c| readers_of(c).is_empty());
        let expected = if count < 24 { count } else { 6 };
        assert_eq!(reading.count(), expected);
        for candidate in &candidates {
            assert!(readers_of(candidate).len() <= 3);
        }
    }
}

/// Changes of the store after it was restored from a copy.
fn in_next_era(mut changes: TableChanges) -> TableChanges {
    changes.version.era += 1;
    for row in &mut changes.rows {
        row.version.era += 1;
    }
    changes
}

#[test]
fn apply_changes_after_restore_need_all_rows_first() {
    let mut replica = replica(9, vec![row("a", 3), row("b", 8)]);
    let further = in_next_era(changes(9, 12, vec![row("c", 12)]));
    assert_eq!(replica.apply(further), Err(ApplyError::Gap));
    let restored = in_next_era(snapshot(5, vec![row("a", 3), row("d", 5)]));
    let news = replica.apply(restored.clone()).unwrap();
    assert_eq!(keys(&news), ["a", "d"]);
    assert_eq!(news.missing, ["b".into()]);
    assert!(news.is_snapshot);
    assert_eq!(replica.version(), Some(restored.version));
    let late = snapshot(11, vec![row("a", 3)]);
    assert_eq!(replica.apply(late), Err(ApplyError::Stale));
}

#[test]
fn changes_after_version_of_earlier_era_are_all_rows() {
    let mut reader = replica(9, vec![row("a", 3), row("b", 8)]);
    let mut follower = replica(9, vec![row("a", 3), row("b", 8)]);
    let restored = in_next_era(snapshot(20, vec![row("a", 3)]));
    let news = reader.apply(restored).unwrap();
    // The follower is told like any other, and one that comes later gets the same.
    let lacking = reader.changes_after(follower.version()).unwrap();
    assert!(lacking.is_snapshot && news.is_snapshot);
    assert_eq!(keys(&lacking), keys(&news));
    follower.apply(news).unwrap();
    assert_eq!(follower.version(), reader.version());
}
