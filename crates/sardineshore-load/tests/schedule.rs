//! Schedules have the planned rate, bursts and shares, and depend only on their seed.

use std::time::Duration;

use sardineshore_load::preset;
use sardineshore_load::schedule::{Arrival, Burst, Schedule, ScheduleSettings};

fn settings() -> ScheduleSettings {
    ScheduleSettings {
        requests: 20_000,
        rate: 200.0,
        seed: 7,
        ..ScheduleSettings::default()
    }
}

fn between(schedule: &Schedule, from: u64, until: u64) -> usize {
    let window = Duration::from_secs(from)..Duration::from_secs(until);
    let inside = |arrival: &&Arrival| window.contains(&arrival.due);
    schedule.arrivals.iter().filter(inside).count()
}

#[test]
fn plan_same_seed() {
    let workload = preset::tangolin();
    let plan = || Schedule::plan(&workload, &settings());
    assert_eq!(plan(), plan());
    let other = ScheduleSettings {
        seed: 8,
        ..settings()
    };
    assert_ne!(
        plan().arrivals[0].due,
        Schedule::plan(&workload, &other).arrivals[0].due
    );
}

#[test]
fn plan_poisson_rate() {
    let schedule = Schedule::plan(&preset::tangolin(), &settings());
    let seconds = schedule.duration().as_secs_f64();
    assert!((97.0..103.0).contains(&seconds), "{seconds}");
    let sorted = schedule.arrivals.is_sorted_by_key(|arrival| arrival.due);
    assert!(sorted);
}

#[test]
fn plan_burst_window() {
    let burst = Burst {
        at: Duration::from_secs(10),
        length: Duration::from_secs(5),
        factor: 5.0,
    };
    let settings = ScheduleSettings {
        burst: Some(burst),
        ..settings()
    };
    let schedule = Schedule::plan(&preset::tangolin(), &settings);
    let before = between(&schedule, 5, 10);
    let during = between(&schedule, 10, 15);
    let after = between(&schedule, 15, 20);
    assert!((900..1_100).contains(&before), "{before}");
    assert!((4_700..5_300).contains(&during), "{during}");
    assert!((900..1_100).contains(&after), "{after}");
}

#[test]
fn plan_shares_and_tags() {
    let workload = preset::tangolin();
    let schedule = Schedule::plan(&workload, &settings());
    let large = schedule
        .arrivals
        .iter()
        .filter(|arrival| arrival.customer == 0);
    let share = large.count() as f64 / 20_000.0;
    assert!((0.52..0.57).contains(&share), "{share}");
    let mut tags: Vec<_> = schedule
        .arrivals
        .iter()
        .map(|arrival| &arrival.tag)
        .collect();
    tags.sort();
    tags.dedup();
    assert_eq!(tags.len(), 20_000);
}

#[test]
fn plan_poison_only_idempotent() {
    let workload = preset::tangolin();
    let settings = ScheduleSettings {
        poison: 100,
        ..settings()
    };
    let schedule = Schedule::plan(&workload, &settings);
    let poisoned: Vec<_> = schedule
        .arrivals
        .iter()
        .filter(|arrival| arrival.poison)
        .collect();
    assert!((50..=100).contains(&poisoned.len()));
    assert!(
        poisoned
            .iter()
            .all(|arrival| workload.pipelines[arrival.pipeline].is_idempotent())
    );
}
