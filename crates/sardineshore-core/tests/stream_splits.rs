//! At which pool of a split route a stream began that another instance takes up.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Name, Route, Server};
use sardineshore_core::flow::stream_versions::{
    BaseSplit, BaseVersion, LIFE_MARGIN, StreamLife, StreamOrigin, StreamVersions, split_key,
};

const LIFE: Duration = Duration::from_secs(14);
const MOMENT: Duration = Duration::from_millis(1);
/// Time for which another split is configured before the base split is withdrawn.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Time after which all streams have ended that had begun.
fn lifetime() -> Duration {
    LIFE + LIFE_MARGIN
}

fn route(pools: &[(&str, u32)]) -> Route {
    let pools = pools
        .iter()
        .map(|(pool, weight)| (Name::from(*pool), *weight));
    Route {
        host: "h".into(),
        prefix: "/chat/".into(),
        pools: pools.collect(),
        ..Route::default()
    }
}

fn key() -> Name {
    split_key(&route(&[]))
}

fn base(pools: &[(&str, u32)], era: u64) -> BaseSplit {
    BaseSplit {
        pools: route(pools).pools,
        era,
        is_withdrawn: false,
    }
}

fn withdrawn(pools: &[(&str, u32)], era: u64) -> BaseSplit {
    BaseSplit {
        is_withdrawn: true,
        ..base(pools, era)
    }
}

fn configure(known: &mut StreamVersions, pools: &[(&str, u32)], now: Instant) {
    known.set_routes(std::iter::once(&route(pools)), now);
}

/// What an instance knows of a store in era 1.
fn read(is_first_start: bool, pools: &[(&str, u32)], now: Instant) -> StreamVersions {
    let mut known = StreamVersions::new(is_first_start);
    known.life_mut().set_row(Some(LIFE));
    known.set_era(1, None, now);
    known.record_bases_read(1);
    configure(&mut known, pools, now);
    known
}

const A: &[(&str, u32)] = &[("a", 1)];
const B: &[(&str, u32)] = &[("b", 1)];
const BOTH: &[(&str, u32)] = &[("a", 1), ("b", 1)];

fn pool_of<'a>(known: &'a StreamVersions, id: &str, now: Instant) -> Option<&'a str> {
    known
        .unrecorded_pool(&key(), Some(id), true, now)
        .map(|pool| &**pool)
}

#[test]
fn split_change_names_the_first_split_at_once() {
    let now = Instant::now();
    let mut known = read(true, BOTH, now);
    assert_eq!(known.split_change(&key(), now), Some(base(BOTH, 1)));
    // Another instance may state another one that is configured just now.
    assert!(known.must_await_split_record(&key(), &"a".into(), "r1"));
    assert!(!known.are_first_splits_stated());
    // Streams may have begun under the split before.
    configure(&mut known, A, now + MOMENT);
    assert_eq!(known.split_change(&key(), now + MOMENT), None);
    assert!(known.must_await_split_record(&key(), &"a".into(), "r1"));
    let known = read(false, BOTH, now);
    assert_eq!(
        known.split_change(&key(), now + lifetime().saturating_sub(MOMENT)),
        None
    );
    assert_eq!(
        known.split_change(&key(), now + lifetime()),
        Some(base(BOTH, 1))
    );
}

/// Guards against streams that are refused, or go on at another pool, after the weights changed or the route was moved:
/// those without a record began under the earlier split.
#[test]
fn split_change_keeps_the_earlier_split_until_its_streams_have_ended() {
    let now = Instant::now();
    let mut known = read(true, A, now);
    known.set_base_split(&key(), Some(base(A, 1)), now);
    assert!(known.are_first_splits_stated() && read(false, A, now).are_first_splits_stated());
    assert!(!known.must_await_split_record(&key(), &"a".into(), "r1"));
    assert!(!known.needs_split_record(&key(), &"a".into(), "r1"));
    assert!(known.needs_split_record(&key(), &"b".into(), "r1"));
    assert!(known.must_await_split_record(&key(), &"b".into(), "r1"));
    let moved_at = now + lifetime();
    configure(&mut known, B, moved_at);
    assert_eq!(known.split_change(&key(), moved_at), None);
    let withdrawn_at = moved_at + WITHDRAWAL_DELAY;
    assert_eq!(
        known.split_change(&key(), withdrawn_at),
        Some(withdrawn(A, 1))
    );
    assert_eq!(pool_of(&known, "r1", withdrawn_at), Some("a"));
    known.set_base_split(&key(), Some(withdrawn(A, 1)), withdrawn_at);
    // Streams without a record began before; those that begin from now on have one, wherever they begin.
    assert_eq!(pool_of(&known, "r1", withdrawn_at), Some("a"));
    assert!(known.needs_split_record(&key(), &"a".into(), "r1"));
    // Any split that was configured meanwhile may take its place.
    for pool in ["a", "b"] {
        assert!(known.must_await_split_record(&key(), &pool.into(), "r1"));
    }
    let ended_at = withdrawn_at + lifetime();
    let before = ended_at.checked_sub(MOMENT).unwrap();
    assert_eq!(known.split_change(&key(), before), None);
    assert_eq!(known.split_change(&key(), ended_at), Some(base(B, 1)));
    // A split that was configured lately takes no other's place, but the earlier one does.
    configure(&mut known, BOTH, ended_at);
    assert_eq!(known.split_change(&key(), ended_at), None);
    configure(&mut known, A, ended_at);
    assert_eq!(known.split_change(&key(), ended_at), Some(base(A, 1)));
}

/// Guards against a split of an older era of the store, which may lack the records of streams that began elsewhere.
#[test]
fn unrecorded_pool_after_restore_needs_the_only_split_of_a_stream_life() {
    let now = Instant::now();
    let followed = |is_first_start| {
        let mut known = read(is_first_start, A, now);
        known.set_base_split(&key(), Some(base(A, 1)), now);
        known.set_era(2, Some(MOMENT), now + MOMENT);
        known.record_bases_read(2);
        known
    };
    let mut known = followed(true);
    assert_eq!(pool_of(&known, "r1", now + MOMENT), Some("a"));
    let unconfirmed = known.unrecorded_pool(&key(), Some("r1"), false, now + MOMENT);
    assert_eq!(unconfirmed, None);
    assert_eq!(pool_of(&followed(false), "r1", now + MOMENT), None);
    assert_eq!(pool_of(&followed(false), "r1", now + lifetime()), Some("a"));
    // The route was moved meanwhile, or had been.
    configure(&mut known, B, now + MOMENT);
    assert_eq!(pool_of(&known, "r1", now + MOMENT), None);
    configure(&mut known, A, now + MOMENT);
    assert_eq!(pool_of(&known, "r1", now + MOMENT), None);
    assert_eq!(pool_of(&known, "r1", now + MOMENT + lifetime()), Some("a"));
    // The configured split takes its own place only.
    let mut known = followed(true);
    assert!(!known.must_await_split_record(&key(), &"a".into(), "r1"));
    configure(&mut known, BOTH, now + MOMENT);
    assert!(known.must_await_split_record(&key(), &"a".into(), "r1"));
    // The split holds again a stream's life after the restore.
    assert!(known.needs_split_record(&key(), &"a".into(), "r1"));
    let known = followed(true);
    let ended_at = now + MOMENT + lifetime();
    assert_eq!(
        known.split_change(&key(), ended_at.checked_sub(MOMENT).unwrap()),
        None
    );
    assert_eq!(known.split_change(&key(), ended_at), Some(base(A, 2)));
}

#[test]
fn unrecorded_pool_of_unnamed_stream_is_the_only_one() {
    let now = Instant::now();
    let pool_with = |pools| {
        let mut known = read(true, pools, now);
        known.set_base_split(&key(), Some(base(pools, 1)), now);
        known.unrecorded_pool(&key(), None, true, now).cloned()
    };
    assert_eq!(pool_with(A).as_deref(), Some("a"));
    assert_eq!(pool_with(&[("a", 1), ("b", 0)]).as_deref(), Some("a"));
    assert_eq!(pool_with(BOTH), None);
    assert_eq!(pool_with(&[]), None);
}

fn list(known: &mut StreamVersions, versions: &[&str], now: Instant) {
    let servers = versions.iter().map(|version| Server {
        id: (*version).into(),
        pool: "a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "d".into(),
        version: Some((*version).into()),
        slots: 8,
        ready: true,
        started_ms: 1,
        cold_remaining: None,
    });
    let servers: Vec<Server> = servers.collect();
    known.set_servers(servers.iter(), now);
}

/// Guards against streams whose origin nobody knows once their instance is lost and the store lacks their records, and
/// against messages for each stream where it is evident.
#[test]
fn copies_are_needed_unless_all_streams_began_at_one_origin() {
    let now = Instant::now();
    let life = StreamLife::new(Some(LIFE));
    let mut known = read(true, A, now);
    list(&mut known, &["v1"], now);
    let origin = |version: &str| StreamOrigin {
        pool: "a".into(),
        version: Some(version.into()),
    };
    let base_version = |era| BaseVersion {
        version: "v1".into(),
        era: Some(era),
    };
    let id = Name::from("r1");
    let is_copied = |known: &mut StreamVersions, version, at| {
        known.remember(&id, origin(version), 1, life, at);
        let copy = known.record_first_event(&key(), &id, at);
        assert!(copy.iter().all(|copy| copy.origin == origin(version)));
        copy.is_some()
    };
    assert!(is_copied(&mut known, "v1", now), "no base version");
    known.set_base(&"a".into(), Some(base_version(1)), now);
    assert!(is_copied(&mut known, "v1", now), "no base split");
    known.set_base_split(&key(), Some(base(A, 1)), now);
    assert!(!is_copied(&mut known, "v1", now));
    list(&mut known, &["v1", "v2"], now);
    assert!(is_copied(&mut known, "v1", now) && is_copied(&mut known, "v2", now));
    list(&mut known, &["v1"], now);
    let almost = now + lifetime().saturating_sub(MOMENT);
    assert!(is_copied(&mut known, "v1", almost));
    assert!(!is_copied(&mut known, "v1", now + lifetime()));
    known.set_base_split(&key(), Some(withdrawn(A, 1)), now);
    assert!(is_copied(&mut known, "v1", now + lifetime()));
    known.set_base_split(&key(), Some(base(A, 1)), now);
    known.set_era(2, Some(MOMENT), now + lifetime());
    assert!(is_copied(&mut known, "v1", now + lifetime()));
    // A stream that was copied once is told again to a holder that doesn't know it, while it runs.
    assert_eq!(known.copies(now + lifetime()).count(), 1);
    assert!(known.find_copy("r1").is_some() && known.find_copy("r2").is_none());
    known.record_end("r1");
    assert_eq!(known.copies(now + lifetime()).count(), 0);
}

#[test]
fn held_streams_last_as_long_as_their_callers_wait() {
    let now = Instant::now();
    let mut known = StreamVersions::new(false);
    let mut began = read(true, A, now);
    let origin = StreamOrigin {
        pool: "a".into(),
        version: Some("v2".into()),
    };
    for id in ["r1", "r2"] {
        let life = StreamLife::new(Some(LIFE));
        began.remember(&id.into(), origin.clone(), 1, life, now);
        let copy = began.record_first_event(&key(), &id.into(), now).unwrap();
        known.hold(copy, now);
    }
    let held = known.find_copy("r1").unwrap();
    assert_eq!(held.origin, origin);
    // It isn't one of its own: it writes no record for it.
    assert!(known.remembered("r1").is_none());
    assert_eq!(known.running(now).count(), 0);
    known.hold(held.clone(), now + lifetime());
    known.hold(held, now + lifetime() + MOMENT);
    assert!(known.find_copy("r1").is_some() && known.find_copy("r2").is_none());
}

/// Guards against streams that began where one version served, and whose origin isn't evident any more when their
/// instance is lost: another version has been listed since.
#[test]
fn copies_are_due_once_the_origin_is_not_evident_any_more() {
    let now = Instant::now();
    let life = StreamLife::new(Some(LIFE));
    let mut known = read(true, A, now);
    list(&mut known, &["v1"], now);
    let v1 = BaseVersion {
        version: "v1".into(),
        era: Some(1),
    };
    known.set_base(&"a".into(), Some(v1), now);
    known.set_base_split(&key(), Some(base(A, 1)), now);
    let origin = StreamOrigin {
        pool: "a".into(),
        version: Some("v1".into()),
    };
    for id in ["begun", "ended", "waiting"] {
        let id = Name::from(id);
        known.remember(&id, origin.clone(), 1, life, now);
        if *id != *"waiting" {
            assert_eq!(known.record_first_event(&key(), &id, now), None);
        }
    }
    known.record_end("ended");
    assert!(known.take_copies_due(now).is_empty());
    list(&mut known, &["v1", "v2"], now);
    let due = known.take_copies_due(now);
    let due: Vec<&str> = due.iter().map(|copy| &*copy.id).collect();
    assert_eq!(due, ["begun"]);
    assert!(known.take_copies_due(now).is_empty());
    assert_eq!(known.copies(now).count(), 1);
}
