//! Tests the prefix cache of the engine: eviction, and events that arrive late or are lost.

use std::time::{Duration, Instant};

use sardineshore_fakes::fault_rng::FaultRng;
use sardineshore_fakes::server::engine::cache::{CacheSettings, PrefixCache, prefix};
use sardineshore_wire::backend::CacheEvent;

const LAG: Duration = Duration::from_millis(500);

fn settings(entries: usize, event_loss: f64) -> CacheSettings {
    CacheSettings {
        entries,
        event_lag: LAG,
        event_loss,
    }
}

#[test]
fn touch_full_cache_evicts_least_recently_used() {
    let mut cache = PrefixCache::new(settings(2, 0.0));
    let (fault_rng, now) = (FaultRng::new(1), Instant::now());
    let hits: Vec<bool> = [1, 2, 1, 3, 1, 2]
        .map(|prefix| cache.touch(prefix, &fault_rng, now) > 0)
        .to_vec();
    assert_eq!(hits, [false, false, true, false, true, false]);
    assert_eq!(cache.events(0, now), []);
    let seen = cache.events(2, now + LAG);
    let changes: Vec<_> = seen
        .iter()
        .map(|it| (it.seq, it.prefix, it.stored))
        .collect();
    assert_eq!(
        changes,
        [(3, 3, true), (4, 2, false), (5, 2, true), (6, 3, false)]
    );
}

#[test]
fn events_lost_leave_gaps() {
    let mut cache = PrefixCache::new(settings(1000, 0.5));
    let (fault_rng, now) = (FaultRng::new(1), Instant::now());
    for prefix in 0..100 {
        cache.touch(prefix, &fault_rng, now);
    }
    let events: Vec<CacheEvent> = cache.events(0, now + LAG);
    assert!((20..80).contains(&events.len()), "{}", events.len());
    assert!(events.iter().all(|event| event.seq == event.prefix + 1));
}

#[test]
fn prefix_long_prompts_share_their_beginning() {
    let begin = "x".repeat(64);
    assert_eq!(prefix(&format!("{begin}a")), prefix(&format!("{begin}b")));
    assert_ne!(prefix("a"), prefix("b"));
}
