//! The batch scheduler and servers that are silent for a while, on a manual clock.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, SchedulerConfig,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A scheduler with two servers of one pool whose calls take `call_ms`.
fn scheduler(call_ms: u64, now: Instant) -> BatchScheduler {
    let server = |id: &str| BatchServer {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        spec: BatchSpec {
            slots: 1,
            max_batch: 4,
            call_overhead: ms(call_ms),
            time_per_piece: ms(1),
            result_memory_bytes: 10_000_000,
            result_ttl: ms(4000),
        },
        ready: true,
        paused_until: None,
    };
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    scheduler.set_servers(vec![server("a"), server("b")], now);
    scheduler
}

/// A job with two stages of one piece each.
fn job(id: &str) -> Job {
    let stage = |depends_on: &[usize]| JobStage {
        pool: "p".into(),
        depends_on: depends_on.to_vec(),
        pieces: 1,
        result_bytes: 1000,
    };
    Job {
        id: id.into(),
        key: "key".into(),

        customer: "".into(),
        route: "".into(),
        rank: 1,
        time_to_soft_deadline: ms(4000),
        time_to_deadline: ms(8000),
        time_to_first_event: Duration::MAX,
        run_time: ms(100),
        preferred_domain: "d".into(),
        stages: vec![stage(&[]), stage(&[0])],
        late_allowed: true,
        results: Vec::new(),
        accepted_before: false,
        continues: false,
    }
}

/// A call among the actions: its id, server, stage of its first piece, and timeout.
type Call = (u64, Name, usize, Duration);

fn calls(actions: &[Action]) -> Vec<Call> {
    let call = |action: &Action| match action {
        Action::Call {
            call_id,
            server,
            pieces,
            timeout,
            ..
        } => Some((*call_id, server.clone(), pieces[0].stage, *timeout)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Runs the first stage of a job; returns the call for the second one.
fn run_first_stage(scheduler: &mut BatchScheduler, now: Instant) -> Call {
    scheduler.submit(job("1"), now);
    let first = calls(&scheduler.poll(now)).remove(0);
    let answer = CallOutcome::Answered(vec![Ok("h".into())]);
    scheduler.call_ended(first.0, &answer, now + ms(20));
    calls(&scheduler.poll(now + ms(20))).remove(0)
}

#[test]
fn call_ended_results_of_silent_server_stay_in_use() {
    let now = Instant::now();
    for (outcome, next_stage) in [(CallOutcome::TimedOut, 1), (CallOutcome::Broken, 0)] {
        let mut scheduler = scheduler(20, now);
        let second = run_first_stage(&mut scheduler, now);
        assert_eq!((&*second.1, second.2), ("a", 1));
        let ended_at = now + ms(20) + second.3;
        scheduler.call_ended(second.0, &outcome, ended_at);
        let next = calls(&scheduler.poll(ended_at)).remove(0);
        assert_eq!((&*next.1, next.2), ("b", next_stage));
    }
}

/// The server may still work on the call and keep its results.
#[test]
fn call_ended_memory_of_silent_server_is_queried_before_next_call() {
    let now = Instant::now();
    let mut scheduler = scheduler(20, now);
    let second = run_first_stage(&mut scheduler, now);
    let ended_at = now + ms(20) + second.3;
    scheduler.call_ended(second.0, &CallOutcome::TimedOut, ended_at);
    let queried = |actions: &[Action]| {
        (actions.iter()).any(
            |action| matches!(action, Action::QueryFreeMemory { server, .. } if **server == *"a"),
        )
    };
    assert!(!queried(&scheduler.poll(ended_at)));
    assert!(queried(&scheduler.poll(ended_at + ms(400))));
}

/// A sound server may be silent for a second or so, however short its calls are.
#[test]
fn poll_calls_outlast_a_short_silence() {
    let now = Instant::now();
    for call_ms in [1, 20, 200, 1000] {
        let mut scheduler = scheduler(call_ms, now);
        scheduler.submit(job("1"), now);
        let call = calls(&scheduler.poll(now)).remove(0);
        assert!(call.3 >= ms(1500), "{call_ms} ms: {call:?}");
        // Another server gets the piece long before.
        let next = calls(&scheduler.poll(now + ms(150 + 2 * call_ms))).remove(0);
        assert_eq!((&*next.1, next.2), ("b", 0));
    }
}

/// Releases that the scheduler asks for, as the handles of each.
fn releases(actions: Vec<Action>) -> Vec<Vec<Name>> {
    let handles = |action| match action {
        Action::ReleaseResults { handles, .. } => Some(handles),
        _ => None,
    };
    actions.into_iter().filter_map(handles).collect()
}

#[test]
fn release_ended_silent_server_is_told_again_until_results_expire() {
    let now = Instant::now();
    for (timed_out, again) in [(true, true), (false, false)] {
        let mut scheduler = scheduler(20, now);
        run_first_stage(&mut scheduler, now);
        scheduler.cancel("1", now + ms(30));
        let mut told_at = Vec::new();
        for at in (30..6000).step_by(30).map(|at| now + ms(at)) {
            for handles in releases(scheduler.poll(at)) {
                told_at.push(at);
                scheduler.release_ended("a", &handles, timed_out, at);
            }
        }
        assert_eq!(told_at.len() > 1, again, "{told_at:?}");
        let last = told_at.pop().unwrap();
        assert!(last < now + ms(4200), "{:?}", last - now);
    }
}
