//! Tests of the batch scheduler's decisions under load: piece times, forecasts, admission.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::forecast::PoolLoad;
use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, RefusalReason,
    SchedulerConfig, SubmitOutcome,
};
use sardineshore_core::flow::config::BatchSpec;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(id: &str, pool: &str) -> BatchServer {
    BatchServer {
        id: id.into(),
        pool: pool.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        spec: BatchSpec {
            slots: 1,
            max_batch: 10,
            call_overhead: ms(200),
            time_per_piece: ms(10),
            result_memory_bytes: 10_000_000,
            result_ttl: Duration::from_secs(4),
        },
        ready: true,
        paused_until: None,
    }
}

fn scheduler(servers: &[(&str, &str)], now: Instant) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    let servers = servers.iter().map(|(id, pool)| server(id, pool)).collect();
    scheduler.set_servers(servers, now);
    scheduler
}

fn job(id: &str, route: &str, rank: u32, pieces: u32) -> Job {
    Job {
        id: id.into(),
        key: id.into(),
        customer: "".into(),
        route: route.into(),
        rank,
        time_to_soft_deadline: ms(2000),
        time_to_deadline: ms(8000),
        time_to_first_event: Duration::MAX,
        run_time: ms(100),
        preferred_domain: "".into(),
        stages: vec![JobStage {
            pool: "p".into(),
            depends_on: Vec::new(),
            pieces,
            result_bytes: 1000,
        }],
        late_allowed: true,
        results: Vec::new(),
        accepted_before: false,
        continues: false,
    }
}

/// Runs one job after the other to its end; each of its pieces takes `piece_ms`. Returns the time.
fn run_jobs(scheduler: &mut BatchScheduler, route: &str, piece_ms: u64, start: Instant) -> Instant {
    let mut now = start;
    for number in 0..40 {
        let id = format!("{route}-{number}");
        scheduler.submit(job(&id, route, 0, 5), now);
        for action in scheduler.poll(now) {
            if let Action::Call {
                call_id, pieces, ..
            } = action
            {
                now += ms(200 + piece_ms * pieces.len() as u64);
                let results = (0..pieces.len()).map(|n| Ok(format!("{call_id}/{n}").into()));
                scheduler.call_ended(call_id, &CallOutcome::Answered(results.collect()), now);
            }
        }
        scheduler.poll(now);
        scheduler.cancel(&id, now);
    }
    now
}

/// A stage whose pieces take less time than configured was counted as if they took all of it.
#[test]
fn loads_count_piece_times_learned_from_calls() {
    let start = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], start);
    let now = run_jobs(&mut scheduler, "small", 3, start);
    let now = run_jobs(&mut scheduler, "usual", 10, now);
    let load = |scheduler: &BatchScheduler| scheduler.loads(now)["p"].started();
    scheduler.submit(job("1", "usual", 0, 10), now);
    assert!((load(&scheduler) - 10.0).abs() < 0.001);
    scheduler.submit(job("2", "small", 0, 10), now);
    let small = load(&scheduler) - 10.0;
    // A full call of the small pieces takes 230 ms in place of 300 ms.
    assert!((small - 10.0 * 23.0 / 30.0).abs() < 0.5, "{small}");
}

/// Less urgent jobs were admitted to a pool that more urgent ones were about to need.
#[test]
fn pieces_ahead_with_reserve_counts_demand_of_more_urgent_ranks() {
    let mut load = PoolLoad {
        rate: 100.0,
        ..PoolLoad::default()
    };
    load.on_time[0] = 5.0;
    load.on_time[2] = 10.0;
    let mut ahead = |urgent: f64, other: f64, rank| {
        load.demand[0] = urgent;
        load.demand[2] = other;
        load.pieces_ahead_with_reserve(rank)
    };
    let is = |value: f64, expected: f64| assert!((value - expected).abs() < 1e-6, "{value}");
    // Without overload nothing is reserved.
    is(ahead(50.0, 50.0, 2), 15.0);
    // A fifth of the pool is left: the work of the rank itself takes five times as long.
    is(ahead(80.0, 40.0, 2), 55.0);
    is(ahead(80.0, 40.0, 0), 15.0);
    // None starves.
    assert!(ahead(300.0, 40.0, 2) < 1000.0);
}

/// Callers were invited to a third attempt, and callers with the same input at the same time were
/// taken for retries.
#[test]
fn submit_refuses_second_attempt_finally() {
    let start = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], start);
    let reason = |scheduler: &mut BatchScheduler, id: &str, after| {
        let mut job = job(id, "r", 0, 1);
        job.key = "key".into();
        job.late_allowed = false;
        job.time_to_soft_deadline = ms(100);
        job.time_to_deadline -= after;
        match scheduler.submit(job, start + after) {
            SubmitOutcome::Refused { reason, .. } => reason,
            SubmitOutcome::Accepted { .. } => panic!("accepted"),
        }
    };
    let first = RefusalReason::Overloaded;
    assert_eq!(reason(&mut scheduler, "1", ms(0)), first);
    assert_eq!(reason(&mut scheduler, "2", ms(100)), first);
    let second = reason(&mut scheduler, "3", ms(2000));
    assert_eq!(second, RefusalReason::RefusedAgain);
    assert!(second.is_final() && !first.is_final());
    let refusals = scheduler.take_refusals();
    let counts = refusals
        .iter()
        .map(|refusal| (refusal.reason, refusal.count));
    assert_eq!(counts.collect::<Vec<_>>(), [(first, 2), (second, 1)]);
    assert!(scheduler.take_refusals().is_empty());
}

/// Jobs that were accepted for lost servers were only given up once their time was nearly over.
#[test]
fn poll_gives_up_jobs_of_lost_servers_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "p"), ("c", "p")], now);
    for number in 0..40 {
        let mut job = job(&format!("{number}"), "r", 0, 3);
        job.time_to_deadline = ms(2200);
        let outcome = scheduler.submit(job, now);
        assert_eq!(outcome, SubmitOutcome::Accepted { late: false }, "{number}");
    }
    let given_up = |actions: &[Action]| {
        let given_up = actions
            .iter()
            .filter(|a| matches!(a, Action::GivenUp { .. }));
        given_up.count()
    };
    assert_eq!(given_up(&scheduler.poll(now)), 0);
    scheduler.set_servers(vec![server("a", "p")], now + ms(150));
    let lost = given_up(&scheduler.poll(now + ms(150)));
    // The server that is left does 60 to 70 of the 110 pieces without result in the time: 13 to 17
    // of the 40 jobs are too many.
    assert!((13..=17).contains(&lost), "{lost}");
    // Servers that return bring no further changes.
    let all = ["a", "b", "c"].map(|id| server(id, "p"));
    scheduler.set_servers(all.to_vec(), now + ms(300));
    assert_eq!(given_up(&scheduler.poll(now + ms(300))), 0);
}
