//! The server registry after store outages, stale responses and removals.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Server;
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow, ServerRegistry};

fn row(id: &str, version: u64) -> RegistryRow {
    RegistryRow {
        id: id.into(),
        entry: RegistryEntry::Server(Server {
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
    let outcome = registry.apply(vec![row("a", 1), row("b", 2)], true, 2, now);
    assert_eq!(outcome, ApplyOutcome::Changed);
    registry
}

#[test]
fn apply_removal_after_outage_takes_effect_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("a", 1), row("b", 2)], true, 3, now);
    registry.apply(vec![removed("a", 4)], false, 4, now);
    assert_eq!(server_ids(&registry), ["b"]);
}

#[test]
fn apply_entry_missing_after_outage_has_grace_period() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("b", 2)], true, 3, now);
    assert_eq!(server_ids(&registry), ["a", "b"]);
    registry.apply(vec![], false, 3, now + Duration::from_secs(1));
    assert_eq!(server_ids(&registry), ["a", "b"]);
    registry.apply(vec![], false, 3, now + Duration::from_secs(2));
    assert_eq!(server_ids(&registry), ["b"]);
    assert!(!registry.has_entries_in_grace());
}

#[test]
fn apply_entry_that_returns_in_grace_period_stays() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.record_store_failure();
    registry.apply(vec![row("b", 2)], true, 3, now);
    registry.apply(vec![row("a", 4)], false, 4, now + Duration::from_secs(1));
    registry.apply(vec![], false, 4, now + Duration::from_secs(3));
    assert_eq!(server_ids(&registry), ["a", "b"]);
}

#[test]
fn apply_stale_response_restores_nothing() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply(vec![removed("a", 5)], false, 5, now);
    assert_eq!(
        registry.apply(vec![row("a", 1)], true, 4, now),
        ApplyOutcome::Stale
    );
    registry.apply(vec![row("a", 1), row("b", 2)], true, 6, now);
    assert_eq!(server_ids(&registry), ["b"]);
    registry.apply(vec![row("a", 7)], false, 7, now);
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
    registry.apply(vec![unreadable], false, 9, now);
    assert_eq!(server_ids(&registry), ["b"]);
}
