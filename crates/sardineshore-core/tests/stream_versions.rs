//! Which version a stream goes on at that another instance began.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::stream_versions::{
    BaseVersion, StreamRecord, StreamVersions, resolve,
};

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
    }
}

fn base(version: &str, era: u64) -> BaseVersion {
    BaseVersion {
        version: version.into(),
        era,
    }
}

fn list(known: &mut StreamVersions, versions: &[&str], now: Instant) {
    let servers: Vec<Server> = (0..)
        .zip(versions)
        .map(|(n, version)| server(&format!("s{n}"), version))
        .collect();
    known.set_servers(servers.iter(), now);
}

/// What is known of a store in era 1 with servers of these versions.
fn started(versions: &[&str], now: Instant) -> StreamVersions {
    let mut known = StreamVersions::default();
    known.set_lifetime(LIFETIME);
    known.set_era(1, now);
    list(&mut known, versions, now);
    known
}

#[test]
fn base_change_names_the_only_version_at_once() {
    let now = Instant::now();
    let known = started(&["v1", "v1"], now);
    assert_eq!(known.base_change("engine", now), Some(base("v1", 1)));
    // Streams may have begun at either version.
    let known = started(&["v1", "v2"], now);
    assert_eq!(known.base_change("engine", now + LIFETIME * 2), None);
}

#[test]
fn base_change_waits_until_streams_of_the_old_version_have_ended() {
    let now = Instant::now();
    let mut known = started(&["v1", "v2", "v2"], now);
    known.set_base(&"engine".into(), Some(base("v1", 1)));
    assert_eq!(known.base_change("engine", now + LIFETIME * 2), None);
    let gone_at = now + LIFETIME * 2;
    list(&mut known, &["v2", "v2", "v3"], gone_at);
    let ended_at = gone_at + LIFETIME;
    assert_eq!(known.base_change("engine", gone_at + ALMOST), None);
    assert_eq!(known.base_change("engine", ended_at), Some(base("v2", 1)));
    // A server of the old version is back.
    list(&mut known, &["v1", "v2"], ended_at);
    assert_eq!(known.base_change("engine", ended_at), None);
}

#[test]
fn base_change_after_start_waits_for_streams_begun_before() {
    let now = Instant::now();
    let mut known = started(&["v2"], now);
    known.set_base(&"engine".into(), Some(base("v1", 1)));
    assert_eq!(known.base_change("engine", now + ALMOST), None);
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v2", 1)));
}

#[test]
fn base_change_after_restore_waits_for_streams_whose_records_are_lost() {
    let now = Instant::now();
    let mut known = started(&["v1", "v2"], now);
    known.set_base(&"engine".into(), Some(base("v1", 1)));
    known.set_era(2, now);
    assert_eq!(known.base_change("engine", now + ALMOST), None);
    let change = known.base_change("engine", now + LIFETIME);
    assert_eq!(change, Some(base("v1", 2)));
}

#[test]
fn needs_record_only_for_streams_at_other_versions() {
    let mut known = started(&["v1"], Instant::now());
    let (v1, v2): (Name, Name) = ("v1".into(), "v2".into());
    assert!(
        known.needs_record("engine", Some(&v1)),
        "base not known yet"
    );
    known.set_base(&"engine".into(), Some(base("v1", 1)));
    assert!(!known.needs_record("engine", Some(&v1)));
    assert!(known.needs_record("engine", Some(&v2)));
    assert!(known.needs_record("engine", None));
}

#[test]
fn assumes_base_until_the_store_is_known_to_have_none() {
    let unread = StreamVersions::default();
    assert!(unread.assumes_base("engine"));
    let mut known = started(&["v1"], Instant::now());
    assert!(!known.assumes_base("engine"));
    known.set_base(&"engine".into(), Some(base("v1", 1)));
    assert!(known.assumes_base("engine"));
}

#[test]
fn sole_version_needs_the_life_of_a_stream() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    assert_eq!(known.sole_version("engine", now + ALMOST), None);
    let later = now + LIFETIME;
    assert_eq!(known.sole_version("engine", later).as_deref(), Some("v1"));
    list(&mut known, &["v1", "v2"], later);
    assert_eq!(known.sole_version("engine", later), None);
    list(&mut known, &["v2"], later);
    assert_eq!(known.sole_version("engine", later + ALMOST), None);
    let sole = known.sole_version("engine", later + LIFETIME);
    assert_eq!(sole.as_deref(), Some("v2"));
}

#[test]
fn remembered_versions_are_dropped_after_the_life_of_a_stream() {
    let now = Instant::now();
    let mut known = started(&["v1"], now);
    known.remember(&"r1".into(), Some("v1".into()), now);
    known.remember(&"r2".into(), None, now);
    known.remember(&"r2".into(), Some("v2".into()), now + LIFETIME);
    assert_eq!(known.remembered("r1"), Some(Some("v1".into())));
    known.remember(&"r3".into(), None, now + LIFETIME + MOMENT);
    assert_eq!(known.remembered("r1"), None);
    assert_eq!(known.remembered("r2"), Some(Some("v2".into())));
    assert_eq!(known.remembered("r3"), Some(None));
}

#[test]
fn resolve_unrecorded_stream_began_at_base_version_of_same_era() {
    assert_eq!(
        resolve(None, Some(&base("v1", 3)), 3).as_deref(),
        Some("v1")
    );
    assert_eq!(resolve(None, Some(&base("v1", 2)), 3), None);
    assert_eq!(resolve(Some(None), Some(&base("v1", 3)), 3), None);
    let record = Some(Some("v2".into()));
    assert_eq!(
        resolve(record, Some(&base("v1", 2)), 3).as_deref(),
        Some("v2")
    );
}

#[test]
fn is_expired_record_of_stopped_instance_or_of_another_clock() {
    let record = StreamRecord {
        version: None,
        store_time: LIFETIME * 10,
    };
    assert!(!record.is_expired(LIFETIME * 10, LIFETIME));
    assert!(!record.is_expired(LIFETIME * 12, LIFETIME));
    assert!(record.is_expired(LIFETIME * 12 + MOMENT, LIFETIME));
    assert!(record.is_expired(LIFETIME, LIFETIME));
}
