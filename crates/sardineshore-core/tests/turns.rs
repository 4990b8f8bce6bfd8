//! Turns of instances at servers that name a rate limit.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::flow::config::Server;
use sardineshore_core::flow::selection::{LoadReport, SelectionRequest, ServerSelector};
use sardineshore_core::flow::turns::{RateLimit, TurnSchedule};

/// Time that a run takes, and the step of its clock.
const RUN: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(10);
/// Window in which requests are counted, and how many are allowed beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn schedules(instances: usize, start: Instant) -> Vec<TurnSchedule> {
    let schedule = |rank| TurnSchedule {
        rank,
        instances,
        clock: (start, Duration::from_secs(1000)),
    };
    (0..instances).map(schedule).collect()
}

/// Times at which instances with more than enough requests send them to one server.
fn sends(rate: f64, instances: usize) -> Vec<Instant> {
    let start = Instant::now();
    let schedules = schedules(instances, start);
    let mut limits = vec![RateLimit::new("server", rate); instances];
    let mut sends = Vec::new();
    let mut now = start;
    while now < start + RUN {
        for (limit, schedule) in limits.iter_mut().zip(&schedules) {
            while limit.has_turn(schedule, now) {
                limit.record_send(schedule, now);
                sends.push(now);
            }
        }
        now += STEP;
    }
    sends
}

fn most_in_window(sends: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        sends
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW)
            .count()
    };
    sends.iter().map(in_window).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn has_turn_all_instances_stay_within_the_limit_and_use_it(
        rate in 0.2..60.0_f64, instances in 1..40_usize,
    ) {
        let sends = sends(rate, instances);
        let most = most_in_window(&sends) as f64;
        let allowed = OVERAGE * rate * WINDOW.as_secs_f64() + SLACK;
        prop_assert!(most <= allowed, "{most} of {allowed}");
        let expected = rate * RUN.as_secs_f64();
        prop_assert!(sends.len() as f64 >= 0.7 * expected - 2.0, "{} of {expected}", sends.len());
    }
}

#[test]
fn next_turn_leads_to_a_turn() {
    let start = Instant::now();
    let schedules = schedules(7, start);
    for server in ["a", "b", "c"] {
        let limit = RateLimit::new(server, 1.1);
        for schedule in &schedules {
            let wait = limit.next_turn(schedule, start);
            assert!(limit.has_turn(schedule, start + wait));
        }
    }
}

#[test]
fn has_turn_unused_turns_are_not_saved_up() {
    let start = Instant::now();
    let schedule = schedules(2, start)[0];
    let mut limit = RateLimit::new("server", 1.0);
    let mut sends = 0;
    let mut now = start + Duration::from_secs(600);
    let end = now + Duration::from_millis(1900);
    while now < end {
        while limit.has_turn(&schedule, now) {
            limit.record_send(&schedule, now);
            sends += 1;
        }
        now += STEP;
    }
    assert_eq!(sends, 1);
}

#[test]
fn has_turn_server_that_takes_nothing_still_gets_a_few_requests() {
    let sends = sends(0.0, 8);
    assert!(!sends.is_empty());
    assert!(most_in_window(&sends) as f64 <= SLACK);
}

/// Load pattern: all servers but one name a limit, and that one is full.
#[test]
fn select_saturated_server_does_not_take_what_limited_ones_refuse() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d".into());
    selector.set_servers(["limited", "free"].map(server).to_vec());
    selector.set_schedule(TurnSchedule::new(now));
    let request = SelectionRequest {
        pool: "p".into(),
        ..SelectionRequest::default()
    };
    let full = LoadReport {
        running: 8,
        waiting: 3,
        slots: 8,
        percent: None,
    };
    selector.record_load("free", full, now);
    assert!(
        selector.limited_rate(&request, now).is_none(),
        "no server has a limit"
    );
    assert!(selector.select(&request, now).is_some());
    selector.set_limit(&"limited".into(), Some(0.5));
    let selected = selector.select(&request, now).unwrap();
    assert_eq!(&*selected.id, "limited");
    selector.record_start(&selected, &request, now);
    assert_eq!(selector.select(&request, now), None, "its turn is used");
    assert_eq!(selector.limited_rate(&request, now), Some(0.5));
    let wait = selector.next_turn(&request, now).unwrap();
    assert!(selector.select(&request, now + wait).is_some());
    let idle = LoadReport {
        running: 1,
        waiting: 0,
        slots: 8,
        percent: None,
    };
    selector.record_load("free", idle, now);
    assert_eq!(selector.limited_rate(&request, now), None);
    assert_eq!(&*selector.select(&request, now).unwrap().id, "free");
}

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        version: None,
        slots: 8,
        ready: true,
        started_ms: 1,
        cold_remaining: None,
    }
}
