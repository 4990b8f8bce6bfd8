//! Tests of the batch scheduler: batches, result memory, lost servers, slow calls, refusals and
//! hand-overs.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, CallPiece, FreeMemory, Job, JobStage,
    PieceError, PieceInput, SchedulerConfig, StageResults, StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const MEMORY_BYTES: u64 = 10_000_000;

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
            max_batch: 4,
            call_overhead: ms(200),
            time_per_piece: ms(10),
            result_memory_bytes: MEMORY_BYTES,
            result_ttl: Duration::from_secs(4),
        },
        ready: true,
        paused_until: None,
    }
}

fn stage(pool: &str, depends_on: &[usize], pieces: u32) -> JobStage {
    JobStage {
        pool: pool.into(),
        depends_on: depends_on.to_vec(),
        pieces,
        result_bytes: 1000,
    }
}

fn job(id: &str, stages: Vec<JobStage>) -> Job {
    Job {
        id: id.into(),
        key: "key".into(),

        customer: "".into(),
        route: "".into(),
        rank: 1,
        time_to_soft_deadline: ms(2000),
        time_to_deadline: ms(8000),
        time_to_first_event: Duration::MAX,
        run_time: ms(100),
        preferred_domain: "d".into(),
        stages,
        late_allowed: true,
        results: Vec::new(),
        accepted_before: false,
        continues: false,
    }
}

fn stored(piece: usize, handle: &str, server: &str) -> StoredResult {
    StoredResult {
        piece,
        handle: handle.into(),
        server: server.into(),
        domain: "d".into(),
    }
}

fn scheduler(servers: &[(&str, &str)], now: Instant) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    let servers = servers.iter().map(|(id, pool)| server(id, pool)).collect();
    scheduler.set_servers(servers, now);
    scheduler
}

/// Calls among the actions: id, server, pieces.
fn calls(actions: &[Action]) -> Vec<(u64, Name, Vec<CallPiece>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Call {
                call_id,
                server,
                pieces,
                ..
            } => Some((*call_id, server.clone(), pieces.clone())),
            _ => None,
        })
        .collect()
}

fn answered(prefix: &str, count: usize) -> CallOutcome {
    CallOutcome::Answered(
        (0..count)
            .map(|n| Ok(format!("{prefix}{n}").into()))
            .collect(),
    )
}

#[test]
fn poll_fills_batch_with_pieces_of_several_jobs() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    for id in ["1", "2", "3"] {
        let outcome = scheduler.submit(job(id, vec![stage("p", &[], 2)]), now);
        assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
    }
    let calls = calls(&scheduler.poll(now));
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].2.len(), 4);
}

#[test]
fn poll_sends_each_piece_once_if_calls_end_in_time() {
    let start = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "p")], start);
    let stages = vec![stage("p", &[], 1), stage("p", &[0], 2)];
    scheduler.submit(job("1", stages), start);
    let mut running: Option<(u64, usize, Instant)> = None;
    let mut sent = Vec::new();
    // Each call ends after its expected time; the clock goes on beyond the job's end.
    for step in 0..200 {
        let now = start + ms(step * 10);
        if let Some((id, count, _)) = running.take_if(|(_, _, ends_at)| now >= *ends_at) {
            scheduler.call_ended(id, &answered(&format!("{id}-"), count), now);
        }
        for (id, _, pieces) in calls(&scheduler.poll(now)) {
            assert!(running.is_none(), "two calls at a time");
            let expected = ms(200 + 10 * pieces.len() as u64);
            running = Some((id, pieces.len(), now + expected));
            sent.extend(pieces.iter().map(|piece| (piece.stage, piece.piece)));
        }
    }
    assert_eq!(sent, [(0, 0), (1, 0), (1, 1)]);
}

/// Servers that get requests while a job arrives every 150 ms, in the order of the requests.
fn requests_within(scheduler: &mut BatchScheduler, start: Instant, steps: u64) -> Vec<Name> {
    let mut running: Vec<(u64, usize, Instant)> = Vec::new();
    let mut requests = Vec::new();
    for step in 0..steps {
        let now = start + ms(step * 10);
        if step % 15 == 0 {
            let id = format!("{:?}", now.duration_since(start));
            scheduler.submit(job(&id, vec![stage("p", &[], 4)]), now);
        }
        let (ended, left) = running
            .into_iter()
            .partition(|(_, _, ends_at)| now >= *ends_at);
        running = left;
        for (id, count, _) in Vec::from_iter::<Vec<_>>(ended) {
            scheduler.call_ended(id, &answered(&format!("{id}-"), count), now);
        }
        for action in scheduler.poll(now) {
            match action {
                Action::Call {
                    call_id,
                    server,
                    pieces,
                    ..
                } => {
                    running.push((call_id, pieces.len(), now + ms(200)));
                    requests.push(server);
                }
                Action::ReleaseResults { server, .. } | Action::QueryFreeMemory { server, .. } => {
                    requests.push(server);
                }
                _ => {}
            }
        }
    }
    requests
}

#[test]
fn poll_keeps_rate_limit_of_server_for_all_kinds_of_requests() {
    const LIMIT: f64 = 1.5;
    let start = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "p")], start);
    scheduler.set_rate_limit("a", Some(LIMIT), start);
    scheduler.query_free_memory(start);
    let requests = requests_within(&mut scheduler, start, 400);
    let limited = requests.iter().filter(|server| ***server == *"a").count();
    assert!(
        limited > 0 && limited as f64 <= LIMIT * 4.0 + 1.0,
        "{limited}"
    );
    assert!(requests.len() - limited > 10, "{requests:?}");
    scheduler.set_rate_limit("a", None, start + ms(4000));
    let requests = requests_within(&mut scheduler, start + ms(4000), 200);
    let limited = requests.iter().filter(|server| ***server == *"a").count();
    assert!(limited as f64 > LIMIT * 2.0 + 1.0, "{limited}");
}

#[test]
fn poll_sends_no_piece_without_inputs_after_slow_call_and_lost_server() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "q"), ("c", "q")], now);
    scheduler.submit(job("1", vec![stage("p", &[], 1), stage("q", &[0], 1)]), now);
    let first = calls(&scheduler.poll(now));
    scheduler.call_ended(first[0].0, &answered("x", 1), now + ms(210));
    let second = calls(&scheduler.poll(now + ms(210)));
    assert_eq!(second.len(), 1);
    // The server that stores the input is lost while the second stage's call is slow.
    let later = now + ms(400);
    scheduler.set_servers(
        vec![server("b", "q"), server("c", "q"), server("d", "p")],
        later,
    );
    for wait in 0..40 {
        for (_, _, pieces) in calls(&scheduler.poll(later + ms(wait * 50))) {
            for piece in pieces.iter().filter(|piece| piece.stage == 1) {
                assert_ne!(piece.input, PieceInput::Results(Vec::new()));
            }
        }
    }
}

#[test]
fn poll_counts_released_results_until_server_is_told() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    let big = |id| {
        let mut job = job(id, vec![stage("p", &[], 1)]);
        job.stages[0].result_bytes = MEMORY_BYTES * 6 / 10;
        job
    };
    scheduler.submit(big("1"), now);
    let first = calls(&scheduler.poll(now));
    scheduler.call_ended(first[0].0, &answered("x", 1), now + ms(210));
    scheduler.poll(now + ms(210));
    scheduler.submit(big("2"), now + ms(210));
    assert!(calls(&scheduler.poll(now + ms(210))).is_empty());
    scheduler.cancel("1", now + ms(220));
    let actions = scheduler.poll(now + ms(220));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::ReleaseResults { .. }))
    );
    assert_eq!(calls(&scheduler.poll(now + ms(300))).len(), 1);
}

#[test]
fn submit_refuses_job_for_pool_without_server() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    let outcome = scheduler.submit(job("1", vec![stage("q", &[], 1)]), now);
    assert!(matches!(outcome, SubmitOutcome::Refused { .. }));
}

#[test]
fn call_ended_recomputes_missing_input() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "q")], now);
    scheduler.submit(job("1", vec![stage("p", &[], 1), stage("q", &[0], 1)]), now);
    let first = calls(&scheduler.poll(now));
    scheduler.call_ended(first[0].0, &answered("x", 1), now + ms(210));
    let second = calls(&scheduler.poll(now + ms(210)));
    let gone = CallOutcome::Answered(vec![Err(PieceError::InputMissing)]);
    scheduler.call_ended(second[0].0, &gone, now + ms(220));
    let repeated = calls(&scheduler.poll(now + ms(220)));
    assert_eq!(repeated[0].2[0].stage, 0);
}

#[test]
fn submit_accepts_job_after_all_servers_failed() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    scheduler.submit(job("1", vec![stage("p", &[], 1)]), now);
    let mut at = now;
    for _ in 0..3 {
        for (call, _, _) in calls(&scheduler.poll(at)) {
            scheduler.call_ended(call, &CallOutcome::Broken, at);
        }
        at += Duration::from_secs(2);
    }
    let later = at + Duration::from_secs(10);
    scheduler.poll(later);
    let outcome = scheduler.submit(job("2", vec![stage("p", &[], 1)]), later);
    assert!(matches!(outcome, SubmitOutcome::Accepted { .. }));
}

#[test]
fn poll_holds_back_large_piece_after_out_of_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    let mut large = job("1", vec![stage("p", &[], 1)]);
    large.stages[0].result_bytes = MEMORY_BYTES / 2;
    scheduler.submit(large, now);
    let first = calls(&scheduler.poll(now));
    let full = CallOutcome::Answered(vec![Err(PieceError::OutOfMemory)]);
    scheduler.call_ended(first[0].0, &full, now + ms(200));
    assert!(calls(&scheduler.poll(now + ms(250))).is_empty());
    assert_eq!(calls(&scheduler.poll(now + ms(900))).len(), 1);
}

#[test]
fn poll_ignores_slow_call_of_cancelled_job() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "q")], now);
    scheduler.submit(job("1", vec![stage("p", &[], 3)]), now);
    assert_eq!(calls(&scheduler.poll(now)).len(), 1);
    scheduler.cancel("1", now + ms(50));
    // The new job reuses the index of the old one and has fewer pieces.
    scheduler.submit(job("2", vec![stage("q", &[], 1)]), now + ms(60));
    scheduler.poll(now + ms(2000));
    assert_eq!(scheduler.job_count(), 1);
}

#[test]
fn submit_continues_after_finished_stages_of_earlier_owner() {
    let now = Instant::now();
    let servers = [("a", "p"), ("b", "q")];
    let mut first = scheduler(&servers, now);
    let stages = vec![stage("p", &[], 1), stage("q", &[0], 1)];
    first.submit(job("1", stages.clone()), now);
    let call = calls(&first.poll(now))[0].0;
    first.begin_handover();
    assert!(
        first.poll(now).is_empty(),
        "no hand-over while a call is running"
    );
    first.call_ended(call, &answered("x", 1), now + ms(210));
    let actions = first.poll(now + ms(210));
    let finished = actions.iter().find_map(|action| match action {
        Action::StageEnded { results, .. } => Some(results.clone()),
        _ => None,
    });
    let request = Name::from("1");
    assert!(actions.contains(&Action::HandedOver { request }));
    let mut next = scheduler(&servers, now);
    let mut job = job("1", stages);
    job.results = vec![finished.unwrap()];
    next.submit(job, now + ms(215));
    let calls = calls(&next.poll(now + ms(215)));
    let input = PieceInput::Results(vec!["x0".into()]);
    assert_eq!((calls[0].2[0].stage, &calls[0].2[0].input), (1, &input));
}

/// Servers whose free memory is queried.
fn queried_servers(actions: &[Action]) -> Vec<Name> {
    let queried_servers = actions.iter().filter_map(|action| match action {
        Action::QueryFreeMemory { server, .. } => Some(server.clone()),
        _ => None,
    });
    queried_servers.collect()
}

fn free_memory(min_bytes: u64) -> FreeMemory {
    FreeMemory {
        min_bytes,
        step_bytes: MEMORY_BYTES / 100,
    }
}

fn large_job(id: &str, pieces: u32) -> Job {
    let mut stage = stage("p", &[], pieces);
    stage.result_bytes = MEMORY_BYTES / 5;
    job(id, vec![stage])
}

/// An owner is lost under load, and the results that it left fill the memory of the servers. Calls
/// of its successor must not ask for more memory than the servers report as free.
#[test]
fn poll_fills_only_reported_free_memory_after_takeover() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    scheduler.query_free_memory(now);
    scheduler.submit(large_job("1", 4), now);
    let first = scheduler.poll(now);
    assert_eq!(queried_servers(&first), ["a".into()]);
    assert!(calls(&first).is_empty(), "no call before the memory report");
    scheduler.set_free_memory("a", free_memory(MEMORY_BYTES / 5 * 2), now + ms(5));
    let sent = calls(&scheduler.poll(now + ms(5)));
    assert_eq!(sent.len(), 1);
    assert!(sent[0].2.len() <= 2, "{}", sent[0].2.len());
    // The earlier owner's results expire: the server is queried again and then filled.
    scheduler.call_ended(sent[0].0, &answered("x", sent[0].2.len()), now + ms(300));
    assert_eq!(
        queried_servers(&scheduler.poll(now + ms(420))),
        ["a".into()]
    );
    scheduler.set_free_memory("a", free_memory(MEMORY_BYTES / 5 * 4), now + ms(425));
    assert_eq!(calls(&scheduler.poll(now + ms(425))).len(), 1);
}

#[test]
fn poll_sends_call_without_memory_report_after_short_wait() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    scheduler.query_free_memory(now);
    scheduler.submit(large_job("1", 1), now);
    assert!(calls(&scheduler.poll(now)).is_empty());
    assert_eq!(calls(&scheduler.poll(now + ms(60))).len(), 1);
}

#[test]
fn poll_queries_free_memory_after_out_of_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    scheduler.submit(large_job("1", 4), now);
    let sent = calls(&scheduler.poll(now));
    let ends = vec![
        Ok("x".into()),
        Err(PieceError::OutOfMemory),
        Err(PieceError::OutOfMemory),
        Err(PieceError::OutOfMemory),
    ];
    scheduler.call_ended(sent[0].0, &CallOutcome::Answered(ends), now + ms(250));
    let next = scheduler.poll(now + ms(250));
    assert_eq!(queried_servers(&next), ["a".into()]);
    assert!(calls(&next).is_empty());
    scheduler.set_free_memory("a", free_memory(MEMORY_BYTES / 5 * 4), now + ms(260));
    assert_eq!(calls(&scheduler.poll(now + ms(260)))[0].2.len(), 3);
}

#[test]
fn set_free_memory_coarse_report_blocks_nothing() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    scheduler.query_free_memory(now);
    scheduler.submit(large_job("1", 2), now);
    scheduler.poll(now);
    let coarse = FreeMemory {
        min_bytes: 0,
        step_bytes: MEMORY_BYTES,
    };
    scheduler.set_free_memory("a", coarse, now + ms(5));
    assert_eq!(calls(&scheduler.poll(now + ms(5)))[0].2.len(), 2);
}

/// A job that misses its soft deadline even if the pool is idle.
fn late_job(id: &str, rank: u32, pieces: u32, time_to_deadline: u64) -> Job {
    Job {
        rank,
        time_to_soft_deadline: ms(0),
        time_to_deadline: ms(time_to_deadline),
        ..job(id, vec![stage("p", &[], pieces)])
    }
}

/// A scheduler whose only server is busy for about a second with jobs that are not late.
fn busy_scheduler(now: Instant) -> BatchScheduler {
    let mut scheduler = scheduler(&[("a", "p")], now);
    for n in 0..4 {
        let mut urgent = job(&format!("u{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(6000);
        scheduler.submit(urgent, now);
    }
    scheduler.poll(now);
    scheduler
}

/// An overload of less urgent jobs with distant deadlines fills the queue of parked jobs. A late job
/// of a more urgent rank must not be refused because of them.
#[test]
fn submit_accepts_late_job_ahead_of_less_urgent_ones() {
    let now = Instant::now();
    let mut scheduler = busy_scheduler(now);
    for n in 0..8 {
        let outcome = scheduler.submit(late_job(&format!("p{n}"), 2, 4, 20_000), now);
        assert_eq!(outcome, SubmitOutcome::Accepted { late: true }, "{n}");
    }
    let outcome = scheduler.submit(late_job("urgent", 0, 1, 6000), now);
    assert_eq!(outcome, SubmitOutcome::Accepted { late: true });
    let outcome = scheduler.submit(late_job("same rank", 2, 1, 6000), now);
    assert!(
        matches!(outcome, SubmitOutcome::Refused { .. }),
        "{outcome:?}"
    );
}

/// Jobs that are not late keep arriving, so a parked job can no longer finish in time. It must be
/// given up early instead of waiting until its deadline.
#[test]
fn poll_gives_up_parked_job_that_can_not_finish() {
    let now = Instant::now();
    let mut scheduler = busy_scheduler(now);
    let outcome = scheduler.submit(late_job("late", 2, 1, 9000), now);
    assert_eq!(outcome, SubmitOutcome::Accepted { late: true });
    for n in 0..40 {
        let mut urgent = job(&format!("v{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(20_000);
        urgent.time_to_deadline = ms(40_000);
        scheduler.submit(urgent, now + ms(10));
    }
    let given_up = |actions: &[Action]| {
        let mut actions = actions.iter();
        actions.any(|a| matches!(a, Action::GivenUp { request, .. } if &**request == "late"))
    };
    let mut at = None;
    for wait in 1..50 {
        if given_up(&scheduler.poll(now + ms(wait * 100))) {
            at = Some(wait * 100);
            break;
        }
    }
    assert!(at.is_some_and(|at| at < 1000), "{at:?}");
}

/// Refused callers retry while new ones keep arriving. A retry states a fresh soft deadline, but the
/// one of the first attempt counts.
#[test]
fn submit_counts_soft_deadline_of_retry_from_first_attempt() {
    let now = Instant::now();
    let mut scheduler = busy_scheduler(now);
    let mut refused = job("first try", vec![stage("p", &[], 4)]);
    refused.key = "mine".into();
    refused.time_to_soft_deadline = ms(500);
    refused.time_to_deadline = ms(20_000);
    refused.late_allowed = false;
    let outcome = scheduler.submit(refused.clone(), now);
    assert!(
        matches!(outcome, SubmitOutcome::Refused { .. }),
        "{outcome:?}"
    );
    for n in 0..2 {
        scheduler.submit(late_job(&format!("p{n}"), 1, 4, 20_000), now + ms(1000));
    }
    // The retry states a soft deadline that is still ahead; that of the first attempt has passed.
    let retry = Job {
        id: "second try".into(),
        time_to_deadline: ms(20_000 - 2400),
        time_to_soft_deadline: ms(2000),
        late_allowed: true,
        ..refused
    };
    let fresh = Job {
        id: "fresh".into(),
        key: "other".into(),
        ..retry.clone()
    };
    let later = now + ms(2400);
    assert_eq!(
        scheduler.submit(retry, later),
        SubmitOutcome::Accepted { late: true }
    );
    let outcome = scheduler.submit(fresh, later);
    assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
}

/// The owner stops under load, and its successor gets all jobs at once. It must accept those that
/// were accepted before, and forecast only their unfinished pieces.
#[test]
fn submit_accepts_job_of_earlier_owner_and_forecasts_unfinished_pieces() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p"), ("b", "q")], now);
    for n in 0..6 {
        let mut urgent = job(&format!("u{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(9000);
        scheduler.submit(urgent, now);
    }
    let mut fresh = job("fresh", vec![stage("p", &[], 1), stage("q", &[0], 1)]);
    fresh.time_to_soft_deadline = ms(1000);
    fresh.time_to_deadline = ms(3000);
    let half_done = Job {
        id: "half done".into(),
        accepted_before: true,
        results: vec![StageResults {
            stage: 0,
            results: vec![stored(0, "x", "a")],
        }],
        ..fresh.clone()
    };
    let not_started = Job {
        id: "not started".into(),
        results: Vec::new(),
        ..half_done.clone()
    };
    let outcome = scheduler.submit(fresh, now);
    assert!(
        matches!(outcome, SubmitOutcome::Refused { .. }),
        "{outcome:?}"
    );
    // Only the second stage is unfinished, and its pool is idle.
    assert_eq!(
        scheduler.submit(half_done, now),
        SubmitOutcome::Accepted { late: false }
    );
    assert_eq!(
        scheduler.submit(not_started, now),
        SubmitOutcome::Accepted { late: true }
    );
}

/// Guards against streams that don't go on under load although new ones begin.
#[test]
fn submit_accepts_job_of_started_stream_that_is_late_for_new_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a", "p")], now);
    for n in 0..6 {
        let mut urgent = job(&format!("u{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(9000);
        scheduler.submit(urgent, now);
    }
    let mut fresh = job("fresh", vec![stage("p", &[], 1)]);
    fresh.time_to_soft_deadline = ms(1000);
    fresh.time_to_deadline = ms(4000);
    let continued = Job {
        id: "continued".into(),
        continues: true,
        ..fresh.clone()
    };
    for (job, accepted) in [(fresh, false), (continued, true)] {
        let outcome = scheduler.submit(job, now);
        let on_time = SubmitOutcome::Accepted { late: false };
        assert_eq!(outcome == on_time, accepted, "{outcome:?}");
    }
}

#[test]
fn submit_adopts_results_of_unfinished_stage() {
    let now = Instant::now();
    let mut first = scheduler(&[("a", "p")], now);
    first.submit(job("1", vec![stage("p", &[], 6)]), now);
    let call = calls(&first.poll(now))[0].0;
    first.begin_handover();
    first.call_ended(call, &answered("x", 4), now + ms(240));
    let actions = first.poll(now + ms(240));
    let results = actions.iter().find_map(|action| match action {
        Action::StageEnded { results, .. } => Some(results.clone()),
        _ => None,
    });
    let results = results.expect("results of the finished pieces are reported");
    assert_eq!(results.results.len(), 4);
    let mut next = scheduler(&[("a", "p")], now);
    let mut job = job("1", vec![stage("p", &[], 6)]);
    job.results = vec![results];
    job.accepted_before = true;
    next.submit(job, now + ms(245));
    let calls = calls(&next.poll(now + ms(245)));
    let pieces: Vec<usize> = calls[0].2.iter().map(|p| p.piece).collect();
    assert_eq!(pieces, [4, 5]);
}

/// Guards against stages that run for a stream whose caller leaves before its first event could come, and
/// against a retry of such a caller that isn't recognized.
#[test]
fn submit_refuses_job_whose_caller_leaves_before_its_first_event() {
    let now = Instant::now();
    let mut sched = scheduler(&[("s", "p")], now);
    let stages = || vec![stage("p", &[], 1)];
    let impatient = Job {
        time_to_soft_deadline: ms(100),
        time_to_first_event: ms(150),
        ..job("a", stages())
    };
    let refused = sched.submit(impatient, now);
    let SubmitOutcome::Refused { retry_after, .. } = refused else {
        panic!("{refused:?}");
    };
    // The caller may still come back.
    assert!(
        retry_after > ms(150) && retry_after <= ms(8000) / 3,
        "{retry_after:?}"
    );
    let patient = Job {
        time_to_first_event: ms(8000),
        ..job("b", stages())
    };
    let accepted = sched.submit(patient, now);
    assert_eq!(accepted, SubmitOutcome::Accepted { late: false });
}
