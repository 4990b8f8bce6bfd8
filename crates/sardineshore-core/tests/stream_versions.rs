//! Which version a stream goes on at that another instance began.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::stream_versions::{
    BaseVersion, LIFE_MARGIN, NEW_VERSION_DELAY, RecordSweep, StatedLife, StreamLife, StreamOrigin,
    StreamVersions, resolve,
};

/// Longest life of a stream, as the store states it.
const LIFE: Duration = Duration::from_secs(14);
/// Time after which all streams have ended that had begun.
const LIFETIME: Duration = Duration::from_secs(20);
const MOMENT: Duration = Duration::from_millis(1);
/// A moment less than the life of a stream.
const ALMOST: Duration = Duration::from_millis(19_999);

fn server(id: &str, version: &str) -> Server {
    Server {
        id: id.into(),
        pool: "engine".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "d".into(),
        version: (!version.is_empty()).then(|| version.into()),
        slots: 8,
        ready: true,
        started_ms: 1,
        cold_remaining: None,
    }
}

/// Servers of the pool with a version, or without one.
fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "engine".into(),
        version: (!version.is_empty()).then(|| version.into()),
    }
}

fn at(version: &Name) -> StreamOrigin {
    origin(version)
}

fn life() -> StreamLife {
    StreamLife::new(Some(LIFE))
}

fn remembered<'a>(known: &'a StreamVersions, id: &str) -> Option<&'a StreamOrigin> {
    known.remembered(id).map(|stream| &stream.origin)
}

fn base(version: &str, era: u64) -> BaseVersion {
    BaseVersion {
        version: version.into(),
        era: Some(era),
    }
}

/// A base version that doesn't hold any more.
fn withdrawn(version: &str) -> BaseVersion {
    BaseVersion {
        version: version.into(),
        era: None,
    }
}

fn list(known: &mut StreamVersions, versions: &[&str], now: Instant) {
    let servers: Vec<Server> = (0..)
        .zip(versions)
        .map(|(n, version)| server(&format!("s{n}"), version))
        .collect();
    known.set_servers(servers.iter(), now);
}

/// What an instance knows of a store in this era with servers of these versions and a base version.
fn read(
    mut known: StreamVersions,
    era: u64,
    versions: &[&str],
    base: Option<BaseVersion>,
    now: Instant,
) -> StreamVersions {
    known.life_mut().set_row(Some(LIFE));
    known.set_era(era, None, now);
    if base.is_some() {
        known.set_base(&"engine".into(), base, now);
    }
    known.record_bases_read(era);
    list(&mut known, versions, now);
    known
}

/// What is known at the first start of the system, of a store in era 1.
fn started(versions: &[&str], now: Instant) -> StreamVersions {
    read(StreamVersions::new(true), 1, versions, None, now)
}

/// The same when a base version was written since.
fn started_with_base(versions: &[&str], base: BaseVersion, now: Instant) -> StreamVersions {
    read(StreamVersions::new(true), 1, versions, Some(base), now)
}

/// What an instance knows that has started again.
fn restarted(
    era: u64,
    versions: &[&str],
    base: Option<BaseVersion>,
    now: Instant,
) -> StreamVersions {
    read(StreamVersions::new(false), era, versions, base, now)
}

#[test]
fn base_change_names_the_only_version_at_once() {
    let now = Instant::now();
    let known = started(&["v1", "v1"], now);
    assert_eq!(known.base_change("engine", now), Some(base("v1", 1)));
    // Streams may have begun at either version.
    let known = started(&["v1", "v2"], now);
    assert_eq!(known.base_change("engine", now + LIFETIME * 2), None);
    // A server without a version has another one.
    let mut known = started(&["v1"], now);
    list(&mut known, &["v1", ""], now);
    assert_eq!(known.base_change("engine", now), None);
}

/// Guards against a base version without a proof: streams without a record may have begun before this
/// instance did, and a store that was restored may lack the base version.
#[test]
fn base_change_of_restarted_instance_waits_for_streams_begun_before() {
    let now = Instant::now();
    let known = restarted(1, &["v1"], None, now);
    assert_eq!(known.base_change("engine", now + ALMOST), None);
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v1", 1)));
}

/// Guards against streams that go on at the base version though they began at another one: an instance
/// that starts after a restore can't tell that records of running streams are lost.
#[test]
fn base_change_of_instance_started_after_restore_waits_for_lost_records() {
    let now = Instant::now();
    for is_first_start in [false, true] {
        let known = StreamVersions::new(is_first_start);
        let known = read(known, 2, &["v1", "v2"], Some(base("v1", 1)), now);
        assert_eq!(known.base_change("engine", now + ALMOST), None);
        let change = known.base_change("engine", now + LIFETIME);
        assert_eq!(change, Some(base("v1", 2)));
    }
}

/// Guards against a base version that is changed late: servers of the old one are back, and streams
/// without a record have begun there.
#[test]
fn base_change_withdraws_the_old_version_until_its_streams_have_ended() {
    let now = Instant::now();
    let mut known = started_with_base(&["v1", "v2", "v2"], base("v1", 1), now);
    assert_eq!(known.base_change("engine", now + LIFETIME * 2), None);
    let gone_at = now + LIFETIME * 2;
    list(&mut known, &["v2", "v2", "v3"], gone_at);
    assert_eq!(known.base_change("engine", gone_at + MOMENT), None);
    // No other version takes its place at once, however long it is gone.
    for gone_for in [ALMOST, LIFETIME, LIFETIME * 2] {
        let change = known.base_change("engine", gone_at + gone_for);
        assert_eq!(change, Some(withdrawn("v1")));
    }
    let withdrawn_at = gone_at + LIFETIME / 2;
    known.set_base(&"engine".into(), Some(withdrawn("v1")), withdrawn_at);
    let ended_at = withdrawn_at + LIFETIME;
    assert_eq!(known.base_change("engine", withdrawn_at + ALMOST), None);
    assert_eq!(known.base_change("engine", ended_at), Some(base("v2", 1)));
    // A server of the old version is back.
    list(&mut known, &["v1", "v2"], ended_at);
    assert_eq!(known.base_change("engine", ended_at), Some(base("v1", 1)));
    // It was gone for a moment only.
    list(&mut known, &["v2"], ended_at);
    assert_eq!(known.base_change("engine", ended_at + ALMOST), None);
}

#[test]
fn base_change_after_start_waits_for_streams_begun_before() {
    let now = Instant::now();
    let known = restarted(1, &["v2"], Some(withdrawn("v1")), now);
    assert_eq!(known.base_change("engine", now + ALMOST), None);
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v2", 1)));
}

#[test]
fn base_change_after_restore_waits_for_streams_whose_records_are_lost() {
    let now = Instant::now();
    let mut known = started_with_base(&["v1", "v2"], base("v1", 1), now);
    assert!(known.set_era(2, None, now));
    assert_eq!(known.base_change("engine", now + LIFETIME), None);
    known.record_bases_read(2);
    assert_eq!(known.base_change("engine", now + ALMOST), None);
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v1", 2)));
    // An era that has passed is told late.
    assert!(!known.set_era(1, None, now + LIFETIME));
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v1", 2)));
}

#[test]
fn needs_record_only_for_streams_at_other_versions() {
    let now = Instant::now();
    let known = started(&["v1"], now);
    let (v1, v2): (Name, Name) = ("v1".into(), "v2".into());
    assert!(
        known.needs_record(&at(&v1), life(), true),
        "base not known yet"
    );
    let known = started_with_base(&["v1"], base("v1", 1), now);
    assert!(!known.needs_record(&at(&v1), life(), true));
    assert!(known.needs_record(&at(&v2), life(), true));
    assert!(known.needs_record(&origin(""), life(), true));
}

/// Guards against streams that can't be taken up although others begin: their base version doesn't
/// count after a restore, so that they need records too.
#[test]
fn needs_record_at_base_version_that_does_not_hold() {
    let now = Instant::now();
    let v1: Name = "v1".into();
    let mut known = started_with_base(&["v1"], base("v1", 1), now);
    known.set_era(2, None, now);
    assert!(known.needs_record(&at(&v1), life(), true));
    known.set_base(&"engine".into(), Some(base("v1", 2)), now);
    assert!(!known.needs_record(&at(&v1), life(), true));
    // Another instance may have withdrawn it.
    assert!(known.needs_record(&at(&v1), life(), false));
    known.set_base(&"engine".into(), Some(withdrawn("v1")), now);
    assert!(known.needs_record(&at(&v1), life(), true));
}

/// Guards against an instance that starts beside a restore and takes the copy's configuration for confirmed.
#[test]
fn may_be_restored_lately_until_the_base_version_holds_again() {
    let now = Instant::now();
    assert!(!restarted(2, &["v1"], None, now).may_be_restored_lately());
    assert!(!restarted(2, &["v1"], Some(base("v1", 2)), now).may_be_restored_lately());
    let mut known = restarted(2, &["v1"], Some(base("v1", 1)), now);
    assert!(known.may_be_restored_lately());
    known.set_base(&"engine".into(), Some(base("v1", 2)), now);
    assert!(!known.may_be_restored_lately());
}

#[test]
fn running_streams_need_their_records_after_restore() {
    let now = Instant::now();
    let mut known = started_with_base(&["v1"], base("v1", 1), now);
    for (id, version) in [("base", "v1"), ("other", "v2"), ("ended", "v1")] {
        known.remember(&id.into(), origin(version), 1, life(), now);
    }
    known.record_end("ended");
    assert!(known.is_running("base") && !known.is_running("ended"));
    assert_eq!(remembered(&known, "ended"), Some(&origin("v1")));
    let mut running: Vec<&str> = known.running(now).map(|(id, _)| &**id).collect();
    running.sort_unstable();
    assert_eq!(running, ["base", "other"]);
    assert_eq!(known.running(now + LIFETIME).count(), 0);
}

#[test]
fn must_await_record_of_stream_that_may_be_taken_for_another_version() {
    let now = Instant::now();
    let unread = StreamVersions::default();
    assert!(unread.must_await_record("engine", "r1", now));
    // Either version may become the base version, also if the other one has left since.
    let mut known = started(&["v1", "v2"], now);
    known.remember(&"r1".into(), origin("v1"), 1, life(), now);
    assert!(known.must_await_record("engine", "r1", now));
    list(&mut known, &["v1"], now);
    assert!(known.must_await_record("engine", "r1", now));
    let mut known = restarted(1, &["v1"], None, now);
    known.remember(&"r1".into(), origin("v1"), 1, life(), now);
    assert!(known.must_await_record("engine", "r1", now));
    let mut known = started(&["v1"], now);
    known.remember(&"r1".into(), origin("v1"), 1, life(), now);
    assert!(!known.must_await_record("engine", "r1", now));
    known.set_base(&"engine".into(), Some(base("v1", 1)), now);
    known.remember(&"r2".into(), origin("v2"), 1, life(), now);
    known.remember(&"r3".into(), origin(""), 1, life(), now);
    // Its first record names another version.
    known.remember(&"r4".into(), origin("v2"), 1, life(), now);
    known.remember(&"r4".into(), origin("v1"), 2, life(), now);
    let awaited = |known: &StreamVersions, at| {
        ["r1", "r2", "r3", "r4"].map(|id| known.must_await_record("engine", id, at))
    };
    assert_eq!(awaited(&known, now), [false, true, true, true]);
    // A base version that doesn't hold stays if its servers have been listed for long.
    known.set_base(&"engine".into(), Some(withdrawn("v1")), now);
    assert_eq!(awaited(&known, now), [true; 4]);
    let later = now + LIFETIME;
    assert_eq!(awaited(&known, later), [false, true, true, true]);
    known.record_list_gap(later);
    assert_eq!(awaited(&known, later), [true; 4]);
}

#[test]
fn sole_version_needs_the_life_of_a_stream() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    known.record_list_confirmation(now + LIFETIME * 4);
    let sole = |known: &StreamVersions, at| known.sole_version("engine", at, at);
    assert_eq!(sole(&known, now + ALMOST), None);
    let later = now + LIFETIME;
    assert_eq!(sole(&known, later).as_deref(), Some("v1"));
    list(&mut known, &["v1", "v2"], later);
    assert_eq!(sole(&known, later), None);
    list(&mut known, &["v2"], later);
    assert_eq!(sole(&known, later + ALMOST), None);
    assert_eq!(sole(&known, later + LIFETIME).as_deref(), Some("v2"));
    list(&mut known, &["v2", ""], later + LIFETIME);
    assert_eq!(sole(&known, later + LIFETIME), None);
}

/// Guards against streams that go on at the only version that an instance knows: it was cut off from the
/// store, or stood still, while servers of another version began them.
#[test]
fn sole_version_needs_a_list_confirmed_after_the_stream_was_taken_up() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    let before = now + LIFETIME * 2;
    let taken_up = before + MOMENT;
    assert_eq!(known.sole_version("engine", taken_up, taken_up), None);
    known.record_list_confirmation(before);
    assert_eq!(known.sole_version("engine", taken_up, taken_up), None);
    known.record_list_confirmation(taken_up);
    // An earlier confirmation that is recorded late changes nothing.
    known.record_list_confirmation(now);
    let sole = known.sole_version("engine", taken_up, taken_up);
    assert_eq!(sole.as_deref(), Some("v1"));
    // Servers of another version may have come and gone.
    known.record_list_gap(taken_up);
    assert!(!known.is_sole_version_likely("engine", taken_up + ALMOST));
    assert!(known.is_sole_version_likely("engine", taken_up + LIFETIME));
    known.set_era(2, None, taken_up + LIFETIME);
    assert!(!known.is_sole_version_likely("engine", taken_up + LIFETIME));
}

/// What an instance knows that has run since the first start of the system, in which v1 became the base
/// version of era 1.
fn followed_from_start(now: Instant) -> StreamVersions {
    let mut known = started(&["v1"], now);
    known.set_base(&"engine".into(), Some(base("v1", 1)), now);
    known
}

/// Records a restore of the store, and that the list was read from it and confirmed.
fn restore(
    known: &mut StreamVersions,
    era: u64,
    list_age: Duration,
    versions: &[&str],
    now: Instant,
) {
    assert!(known.set_era(era, Some(list_age), now));
    known.record_list_reread(now);
    known.record_bases_read(era);
    list(known, versions, now);
    known.record_list_confirmation(now);
}

/// Guards against streams of a lost instance that are refused for a stream's life after a restore, though no
/// other version can have begun them.
#[test]
fn began_at_base_if_list_was_followed_across_restore() {
    let now = Instant::now();
    let old = base("v1", 1);
    let mut known = followed_from_start(now);
    let later = now + Duration::from_secs(9);
    restore(&mut known, 2, NEW_VERSION_DELAY, &["v1"], later);
    assert!(known.began_at_base("engine", &old, later, later));
    // The list is known only until it was confirmed.
    assert!(!known.began_at_base("engine", &old, later + MOMENT, later + MOMENT));
    assert!(!known.began_at_base("engine", &base("v2", 1), later, later));
    assert!(!known.began_at_base("other", &old, later, later));
    // What was confirmed in the era before says nothing of this one.
    let mut known = followed_from_start(now);
    known.record_list_confirmation(later);
    known.set_era(2, Some(MOMENT), later);
    assert!(!known.began_at_base("engine", &old, later, later));
}

/// Guards against streams that go on at the base version though one at another version may have lost its
/// record in a restore.
#[test]
fn began_at_base_is_unknown_if_another_version_may_have_served() {
    let now = Instant::now();
    let later = now + Duration::from_secs(9);
    let old = base("v1", 1);
    let is_known = |known: &StreamVersions, at| known.began_at_base("engine", &old, at, at);
    // Servers of another version may have been listed for long enough since the list was complete.
    let mut known = followed_from_start(now);
    let too_old = NEW_VERSION_DELAY + MOMENT;
    restore(&mut known, 2, too_old, &["v1"], later);
    assert!(!is_known(&known, later));
    known.record_list_confirmation(later + LIFETIME);
    assert!(!is_known(&known, later + ALMOST) && is_known(&known, later + LIFETIME));
    // Another version is listed, or has been.
    let mut known = followed_from_start(now);
    restore(&mut known, 2, MOMENT, &["v1", "v2"], later);
    assert!(!is_known(&known, later));
    let mut known = followed_from_start(now);
    list(&mut known, &["v1", "v2"], now + MOMENT);
    list(&mut known, &["v1"], now + MOMENT);
    restore(&mut known, 2, MOMENT, &["v1"], later);
    assert!(!is_known(&known, later));
    // Entries came and went unseen.
    let mut known = followed_from_start(now);
    known.record_list_gap(now + MOMENT);
    restore(&mut known, 2, MOMENT, &["v1"], later);
    assert!(!is_known(&known, later));
    // What came and went around one restore isn't in the list when the next one follows.
    let mut known = followed_from_start(now);
    restore(&mut known, 2, MOMENT, &["v1"], now + MOMENT);
    assert!(is_known(&known, now + MOMENT));
    restore(&mut known, 3, MOMENT, &["v1"], later);
    assert!(!is_known(&known, later));
    let mut known = followed_from_start(now);
    restore(&mut known, 2, MOMENT, &["v1"], now + MOMENT);
    restore(&mut known, 3, MOMENT, &["v1"], now + MOMENT + LIFETIME);
    assert!(is_known(&known, now + MOMENT + LIFETIME));
}

/// Guards against an instance that takes its own start for that of the system.
#[test]
fn began_at_base_of_restarted_instance_needs_the_life_of_a_stream() {
    let now = Instant::now();
    let old = base("v1", 1);
    let mut listed_before = followed_from_start(now);
    listed_before.record_earlier_run();
    for mut known in [
        restarted(1, &["v1"], Some(old.clone()), now),
        // Its settings say wrongly that the system starts for the first time.
        started_with_base(&["v1"], old.clone(), now),
        listed_before,
    ] {
        let early = now + ALMOST;
        restore(&mut known, 2, MOMENT, &["v1"], early);
        assert!(!known.began_at_base("engine", &old, early, early));
        let late = now + LIFETIME;
        assert!(known.began_at_base("engine", &old, early, late));
    }
}

/// Guards against a record that is lost in a restore before other instances can have seen its version listed.
#[test]
fn record_delay_of_version_that_was_listed_lately() {
    let now = Instant::now();
    let (v1, v2) = (Name::from("v1"), Name::from("v2"));
    let mut known = followed_from_start(now);
    list(&mut known, &["v1", "v2"], now + LIFETIME);
    let delay = |known: &StreamVersions, version: Option<&Name>, at| {
        known.record_delay("engine", version, at)
    };
    let listed = now + LIFETIME;
    assert_eq!(delay(&known, Some(&v1), listed), Duration::ZERO);
    assert_eq!(delay(&known, Some(&v2), listed), NEW_VERSION_DELAY);
    assert_eq!(delay(&known, None, listed), NEW_VERSION_DELAY);
    let later = listed + MOMENT;
    let left = NEW_VERSION_DELAY.saturating_sub(MOMENT);
    assert_eq!(delay(&known, Some(&v2), later), left);
    assert_eq!(
        delay(&known, Some(&v2), listed + NEW_VERSION_DELAY),
        Duration::ZERO
    );
    // A restore doesn't begin the delay anew.
    known.set_era(2, Some(MOMENT), later);
    assert_eq!(delay(&known, Some(&v2), later), left);
    // The base version needs none, whether it holds or not, nor does the first version of all.
    let after_restart = restarted(1, &["v1", "v2"], Some(withdrawn("v1")), now);
    assert_eq!(delay(&after_restart, Some(&v1), now), Duration::ZERO);
    assert_eq!(delay(&after_restart, Some(&v2), now), NEW_VERSION_DELAY);
    assert_eq!(
        delay(&started(&["v1"], now), Some(&v1), now),
        Duration::ZERO
    );
    assert_eq!(
        delay(&started(&["v1", "v2"], now), Some(&v1), now),
        NEW_VERSION_DELAY
    );
    // Without versions there is no base version to mistake a stream for.
    assert_eq!(delay(&started(&[""], now), None, now), Duration::ZERO);
}

#[test]
fn remembered_versions_are_dropped_after_the_life_of_a_stream() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    known.remember(&"r1".into(), origin("v1"), 1, life(), now);
    known.remember(&"r2".into(), origin(""), 1, life(), now);
    known.remember(&"r2".into(), origin("v2"), 2, life(), now + LIFETIME);
    assert_eq!(remembered(&known, "r1"), Some(&origin("v1")));
    known.remember(&"r3".into(), origin(""), 1, life(), now + LIFETIME + MOMENT);
    assert_eq!(remembered(&known, "r1"), None);
    assert_eq!(remembered(&known, "r2"), Some(&origin("v2")));
    assert_eq!(remembered(&known, "r3"), Some(&origin("")));
}

#[test]
fn resolve_unrecorded_stream_began_at_base_version_of_same_era() {
    assert_eq!(
        resolve(None, Some(&base("v1", 3)), 3).as_deref(),
        Some("v1")
    );
    assert_eq!(resolve(None, Some(&base("v1", 2)), 3), None);
    assert_eq!(resolve(Some(None), Some(&base("v1", 3)), 3), None);
    assert_eq!(resolve(None, Some(&withdrawn("v1")), 0), None);
    let record = Some(Some("v2".into()));
    assert_eq!(
        resolve(record, Some(&base("v1", 2)), 3).as_deref(),
        Some("v2")
    );
}

/// Guards against the loss of records of running streams: their times came from a clock of the store that
/// may start anew, or were unknown.
#[test]
fn record_sweep_removes_only_what_was_seen_for_longer_than_a_stream_lasts() {
    let now = Instant::now();
    let mut sweep = RecordSweep::default();
    let mut update = |partition: &str, keys: &[&str], at| {
        let records = keys.iter().map(|key| (Name::from(*key), LIFETIME));
        let mut old = sweep.update(partition, records, at);
        old.sort_unstable();
        old
    };
    assert!(update("0", &["a/0001", "b/0001"], now).is_empty());
    assert!(update("1", &["c/0001"], now).is_empty());
    let almost = now + LIFETIME + ALMOST;
    assert!(update("0", &["a/0001", "b/0001", "d/0001"], almost).is_empty());
    let later = now + LIFETIME * 2;
    assert_eq!(update("0", &["b/0001", "d/0001"], later), ["b/0001".into()]);
    // A key that was gone in between is a new one.
    assert!(update("0", &["a/0001", "d/0001"], later).is_empty());
    assert_eq!(update("1", &["c/0001"], later), ["c/0001".into()]);
}

/// Guards against conclusions from a life that one process has seen: an instance that starts after the timeouts
/// were shortened doesn't know those under which streams began.
#[test]
fn stated_life_bounds_streams_that_began_before_the_instance() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    known.life_mut().set_row(Some(LIFE * 2));
    known.life_mut().want(LIFE / 2);
    known.record_list_confirmation(now + LIFETIME * 4);
    let ended_at = now + LIFE * 2 + LIFE_MARGIN;
    let sole = |at| known.sole_version("engine", at, at);
    assert_eq!(sole(ended_at.checked_sub(MOMENT).unwrap()), None);
    assert_eq!(sole(ended_at).as_deref(), Some("v1"));
    // Without a stated life nothing has ended.
    let mut known = StreamVersions::new(false);
    known.set_era(1, None, now);
    known.record_bases_read(1);
    list(&mut known, &["v1"], now);
    let later = now + LIFETIME * 1000;
    known.record_list_confirmation(later);
    assert_eq!(known.sole_version("engine", later, later), None);
    assert_eq!(known.base_change("engine", later), None);
}

#[test]
fn stated_life_is_raised_and_never_lowered() {
    let second = Duration::from_secs(1);
    let lives = |seconds| StreamLife::new(Some(second * seconds));
    let mut life = StatedLife::default();
    assert_eq!((life.change(), life.time_to_end()), (None, None));
    life.want(second * 9);
    assert!(!life.covers(lives(1)));
    assert_eq!(life.change(), Some(second * 10));
    life.set_row(Some(second * 10));
    assert!(life.covers(lives(10)) && !life.covers(lives(11)));
    assert_eq!(life.change(), None);
    assert_eq!(life.time_to_end(), Some(second * 10 + LIFE_MARGIN));
    life.want(second * 11);
    assert_eq!(life.change(), Some(second * 15));
    life.set_row(Some(second * 20));
    assert_eq!(life.change(), None);
    // A restored store may lack the row, or hold an earlier one.
    for row in [None, Some(second * 10)] {
        life.set_row(row);
        assert!(!life.covers(lives(11)));
        assert_eq!(life.change(), Some(second * 20));
        assert_eq!(life.time_to_end(), Some(second * 20 + LIFE_MARGIN));
    }
}

/// Guards against streams that are forgotten, or whose record is removed, while their callers wait: they may be
/// taken up for longer than any request may last.
#[test]
fn remembered_streams_last_as_long_as_their_callers_wait() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    let waits = |seconds| StreamLife::new(Some(Duration::from_secs(seconds)));
    known.remember(&"short".into(), origin("v2"), 1, waits(9), now);
    known.remember(&"long".into(), origin("v2"), 1, waits(100), now);
    known.remember(
        &"unknown".into(),
        origin("v2"),
        1,
        StreamLife::new(None),
        now,
    );
    // Taking a stream up with less time left doesn't shorten its life.
    known.remember(&"long".into(), origin("v2"), 1, waits(1), now);
    let later = now + Duration::from_secs(106);
    known.remember(&"new".into(), origin("v2"), 1, waits(1), later);
    let ids = ["short", "long", "unknown"];
    let is_known = ids.map(|id| known.remembered(id).is_some());
    assert_eq!(is_known, [false, true, true]);
    // Taking it up with more time extends it.
    known.remember(&"long".into(), origin("v2"), 2, waits(100), later);
    let end = later + Duration::from_secs(106);
    known.remember(&"new".into(), origin("v2"), 1, waits(1), end);
    assert!(known.remembered("long").is_some());
    known.remember(&"new".into(), origin("v2"), 1, waits(1), end + MOMENT);
    assert!(known.remembered("long").is_none());
    assert!(known.remembered("unknown").is_some());
}

#[test]
fn needs_record_of_stream_whose_life_is_not_bounded() {
    let now = Instant::now();
    let mut known = started_with_base(&["v1"], base("v1", 1), now);
    for (caller_waits, is_needed) in [(Some(120), false), (Some(121), true), (None, true)] {
        let life = StreamLife::new(caller_waits.map(Duration::from_secs));
        assert_eq!(known.needs_record(&origin("v1"), life, true), is_needed);
        known.remember(&"r1".into(), origin("v1"), 1, life, now);
        assert_eq!(known.must_await_record("engine", "r1", now), is_needed);
    }
}
