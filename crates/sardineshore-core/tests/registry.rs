//! The server registry after store outages, stale responses and removals.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Server;
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow, ServerRegistry};
use sardineshore_core::flow::replica::StoreVersion;

/// A version of the first era.
fn at(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn row(id: &str, version: u64) -> RegistryRow {
    RegistryRow {
        id: id.into(),
        entry: RegistryEntry::Server(Server {
            id: id.into(),
            pool: "p".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "d".into(),
            version: None,
            slots: 1,
            ready: true,
            started_ms: 0,
            cold_remaining: None,
        }),
        version: at(version),
    }
}

fn removed(id: &str, version: u64) -> RegistryRow {
    RegistryRow {
        entry: RegistryEntry::Removed,
        ..row(id, version)
    }
}

fn server_ids(registry: &ServerRegistry) -> Vec<String> {
    registry
        .servers()
        .iter()
        .map(|s| s.id.to_string())
        .collect()
}

fn registry(now: Instant) -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    let outcome = registry.apply(vec![row("a", 1), row("b", 2)], true, at(2), now);
    assert_eq!(outcome, ApplyOutcome::Changed);
    registry
}

#[test]
fn apply_removal_after_outage_takes_effect_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("a", 1), row("b", 2)], true, at(3), now);
    registry.apply(vec![removed("a", 4)], false, at(4), now);
    assert_eq!(server_ids(&registry), ["b"]);
}

#[test]
fn apply_entry_missing_after_outage_has_grace_period() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("b", 2)], true, at(3), now);
    assert_eq!(server_ids(&registry), ["a", "b"]);
    registry.apply(vec![], false, at(3), now + Duration::from_secs(1));
    assert_eq!(server_ids(&registry), ["a", "b"]);
    registry.apply(vec![], false, at(3), now + Duration::from_secs(2));
    assert_eq!(server_ids(&registry), ["b"]);
    assert!(registry.next_end().is_none());
}

#[test]
fn apply_entry_that_returns_in_grace_period_stays() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("b", 2)], true, at(3), now);
    registry.apply(
        vec![row("a", 4)],
        false,
        at(4),
        now + Duration::from_secs(1),
    );
    registry.apply(vec![], false, at(4), now + Duration::from_secs(3));
    assert_eq!(server_ids(&registry), ["a", "b"]);
}

#[test]
fn apply_stale_response_restores_nothing() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply(vec![removed("a", 5)], false, at(5), now);
    assert_eq!(
        registry.apply(vec![row("a", 1)], true, at(4), now),
        ApplyOutcome::Stale
    );
    registry.apply(vec![row("a", 1), row("b", 2)], true, at(6), now);
    assert_eq!(server_ids(&registry), ["b"]);
    registry.apply(vec![row("a", 7)], false, at(7), now);
    assert_eq!(server_ids(&registry), ["a", "b"]);
}

#[test]
fn apply_unreadable_entry_removes_server() {
    let now = Instant::now();
    let mut registry = registry(now);
    let unreadable = RegistryRow {
        entry: RegistryEntry::Unreadable,
        ..row("a", 9)
    };
    registry.apply(vec![unreadable], false, at(9), now);
    assert_eq!(server_ids(&registry), ["b"]);
}

/// A version of the era after a restore.
fn restored(number: u64) -> StoreVersion {
    StoreVersion { era: 2, number }
}

fn in_restored(rows: Vec<RegistryRow>) -> Vec<RegistryRow> {
    let versions = rows.into_iter().map(|row| RegistryRow {
        version: restored(row.version.number),
        ..row
    });
    versions.collect()
}

fn draining(id: &str, version: u64) -> RegistryRow {
    let mut row = row(id, version);
    if let RegistryEntry::Server(server) = &mut row.entry {
        server.ready = false;
    }
    row
}

fn ready_ids(registry: &ServerRegistry) -> Vec<String> {
    let servers = registry.servers();
    let ready = servers.iter().filter(|server| server.ready);
    ready.map(|server| server.id.to_string()).collect()
}

#[test]
fn apply_restored_entry_of_draining_server_is_not_ready() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply(vec![draining("a", 9)], false, at(9), now);
    let rows = in_restored(vec![row("a", 1), row("b", 2)]);
    registry.apply(rows, true, restored(2), now);
    assert_eq!(ready_ids(&registry), ["b"]);
    // A further restore doesn't make it forgotten.
    let mut rows = in_restored(vec![row("a", 1), row("b", 2)]);
    for row in &mut rows {
        row.version.era = 3;
    }
    let third = StoreVersion { era: 3, number: 2 };
    registry.apply(rows, true, third, now + Duration::from_secs(60));
    assert_eq!(ready_ids(&registry), ["b"]);
}

#[test]
fn apply_restored_entry_of_removed_server_is_used_after_it_wrote_another() {
    let now = Instant::now();
    for wrote in [true, false] {
        let mut registry = registry(now);
        registry.apply(vec![removed("a", 9)], false, at(9), now);
        let rows = in_restored(vec![row("a", 1), row("b", 2)]);
        registry.apply(rows, true, restored(2), now);
        assert_eq!(ready_ids(&registry), ["b"]);
        assert!(registry.next_end().is_some());
        let (rows, later) = if wrote {
            (in_restored(vec![row("a", 3)]), now)
        } else {
            (Vec::new(), now + Duration::from_secs(10))
        };
        let outcome = registry.apply(rows, false, restored(4), later);
        assert_eq!(outcome, ApplyOutcome::Changed);
        assert_eq!(ready_ids(&registry), ["a", "b"]);
    }
}

/// Guards against requests to a server that is gone, where the store drops its restored entry late.
#[test]
fn apply_restored_entry_of_removed_server_is_held_for_its_lifetime() {
    let now = Instant::now();
    let lifetime = Duration::from_secs(10);
    let mut registry = ServerRegistry::new(lifetime);
    registry.apply(vec![row("a", 1), row("b", 2)], true, at(2), now);
    registry.apply(vec![removed("a", 9)], false, at(9), now);
    let rows = in_restored(vec![row("a", 1), row("b", 2)]);
    registry.apply(rows, true, restored(2), now);
    registry.apply(Vec::new(), false, restored(2), now + lifetime);
    assert_eq!(ready_ids(&registry), ["b"]);
    let end = registry.next_end().unwrap();
    registry.apply(Vec::new(), false, restored(2), end);
    assert_eq!(ready_ids(&registry), ["a", "b"]);
}

#[test]
fn apply_entry_that_copy_lacks_has_grace_period() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply(in_restored(vec![row("a", 1)]), true, restored(1), now);
    assert_eq!(server_ids(&registry), ["a", "b"]);
    let later = now + Duration::from_secs(10);
    registry.apply(Vec::new(), false, restored(1), later);
    assert_eq!(server_ids(&registry), ["a"]);
}
