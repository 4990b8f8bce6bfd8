//! Tests of the batch scheduler with jobs of streams that callers take up again, and of jobs that
//! are given up although they can still end in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, PieceError, RefusalReason,
    SchedulerConfig, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, MAX_RANK, Name};

const CALL_OVERHEAD: Duration = ms(200);
const TIME_PER_PIECE: Duration = ms(10);
const RUN_TIME: Duration = ms(100);

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(pool: &str, domain: &str) -> BatchServer {
    BatchServer {
        id: format!("server of {pool} in {domain}").into(),
        pool: pool.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.into(),
        spec: BatchSpec {
            slots: 1,
            max_batch: 4,
            call_overhead: CALL_OVERHEAD,
            time_per_piece: TIME_PER_PIECE,
            result_memory_bytes: 10_000_000,
            result_ttl: Duration::from_secs(4),
        },
        ready: true,
        paused_until: None,
    }
}

fn scheduler(now: Instant) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    scheduler.set_servers(vec![server("p", "d"), server("q", "d")], now);
    scheduler
}

fn stage(pool: &str, depends_on: &[usize], pieces: u32) -> JobStage {
    JobStage {
        pool: pool.into(),
        depends_on: depends_on.to_vec(),
        pieces,
        result_bytes: 1000,
    }
}

fn new_job(id: &str, stages: Vec<JobStage>) -> Job {
    Job {
        id: id.into(),
        key: id.into(),

        customer: "".into(),
        route: "".into(),
        rank: 1,
        time_to_soft_deadline: ms(6000),
        time_to_deadline: ms(8000),
        time_to_first_event: Duration::MAX,
        run_time: RUN_TIME,
        preferred_domain: "d".into(),
        stages,
        late_allowed: true,
        results: Vec::new(),
        accepted_before: false,
        continues: false,
    }
}

fn taken_up(id: &str, left: Duration) -> Job {
    Job {
        time_to_soft_deadline: Duration::ZERO,
        time_to_deadline: left,
        continues: true,
        ..new_job(id, vec![stage("p", &[], 2)])
    }
}

fn is_call(action: &Action) -> bool {
    matches!(action, Action::Call { .. })
}

/// Ends of jobs by their ids: when all stages finished, or why the job was given up.
type Ends = BTreeMap<Name, Result<Duration, RefusalReason>>;

/// Carries out the scheduler's actions for `length`. Each call takes its expected time.
fn run(scheduler: &mut BatchScheduler, start: Instant, length: Duration) -> Ends {
    let mut running: Vec<(Instant, u64, usize)> = Vec::new();
    let mut ends = Ends::new();
    for elapsed in (0..length.as_millis()).step_by(10) {
        let elapsed = ms(u64::try_from(elapsed).unwrap());
        let now = start + elapsed;
        for (ends_at, id, count) in std::mem::take(&mut running) {
            if ends_at > now {
                running.push((ends_at, id, count));
                continue;
            }
            let results = (0..count).map(|n| Ok(format!("{id}-{n}").into()));
            scheduler.call_ended(id, &CallOutcome::Answered(results.collect()), now);
        }
        for action in scheduler.poll(now) {
            match action {
                Action::Call {
                    call_id, pieces, ..
                } => {
                    let count = pieces.len();
                    let took = CALL_OVERHEAD + TIME_PER_PIECE * u32::try_from(count).unwrap();
                    running.push((now + took, call_id, count));
                }
                Action::Finished { request, .. } => {
                    scheduler.cancel(&request, now);
                    ends.insert(request, Ok(elapsed));
                }
                Action::GivenUp {
                    request, reason, ..
                } => {
                    ends.insert(request, Err(reason));
                }
                _ => {}
            }
        }
    }
    ends
}

/// Guards against streams that are refused when they are taken up, while new ones begin.
#[test]
fn poll_runs_stream_taken_up_before_jobs_that_are_not_late() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    for n in 0..8 {
        scheduler.submit(new_job(&format!("new{n}"), vec![stage("p", &[], 4)]), now);
    }
    let outcome = scheduler.submit(taken_up("taken up", ms(1000)), now);
    assert!(matches!(outcome, SubmitOutcome::Accepted { .. }));
    let ends = run(&mut scheduler, now, ms(4000));
    let end = ends["taken up"].expect("the stream goes on");
    assert!(end + RUN_TIME <= ms(1000), "{end:?}");
    // Those that were accepted before don't suffer from one more job.
    let in_time = |n: usize| ends[&*format!("new{n}")].is_ok_and(|end| end + RUN_TIME <= ms(6000));
    assert!((0..8).all(in_time), "{ends:?}");
}

/// Guards against streams taken up that wait for a server nearby while another one is free.
#[test]
fn poll_sends_stream_taken_up_to_server_in_other_domain_at_once() {
    let now = Instant::now();
    for (continues, calls) in [(false, 0), (true, 1)] {
        let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
        scheduler.set_servers(vec![server("p", "d"), server("p", "e")], now);
        let large = |id: &str, pieces| {
            let mut job = new_job(id, vec![stage("p", &[], pieces)]);
            job.stages[0].result_bytes = 500_000;
            job
        };
        scheduler.submit(large("first", 4), now);
        let busy = scheduler.poll(now);
        assert_eq!(busy.iter().filter(|a| is_call(a)).count(), 1, "{busy:?}");
        let mut second = large("second", 1);
        second.continues = continues;
        scheduler.submit(second, now);
        let actions = scheduler.poll(now);
        assert_eq!(
            actions.iter().filter(|a| is_call(a)).count(),
            calls,
            "{actions:?}"
        );
    }
}

/// A stream taken up that can't go on behind the others that are is refused at once, so that its
/// caller doesn't wait in vain.
#[test]
fn submit_refuses_stream_taken_up_that_can_not_end_behind_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    let submit = |scheduler: &mut BatchScheduler, n: usize| {
        scheduler.submit(taken_up(&format!("{n}"), ms(1500)), now)
    };
    let accepted = (0..40)
        .filter(|n| !matches!(submit(&mut scheduler, *n), SubmitOutcome::Refused { .. }))
        .count();
    assert!((4..20).contains(&accepted), "{accepted}");
    let ends = run(&mut scheduler, now, ms(2000));
    assert_eq!(ends.len(), accepted, "{ends:?}");
}

/// Guards against jobs that are given up while the call that finishes them in time is under way.
#[test]
fn poll_keeps_job_whose_last_call_ends_in_time() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    // The forecast assumes a wait of half a call.
    let left = CALL_OVERHEAD * 2 + TIME_PER_PIECE * 2 + RUN_TIME;
    for (id, left) in [("new", left), ("short", ms(100))] {
        let mut job = new_job(id, vec![stage("p", &[], 2)]);
        job.time_to_deadline = left;
        scheduler.submit(job, now);
    }
    // Sent after most of the spare time has passed.
    let sent_at = now + CALL_OVERHEAD;
    let ends = run(&mut scheduler, sent_at, ms(1000));
    assert!(ends["new"].is_ok(), "{ends:?}");
    assert!(ends.get("short").is_none_or(Result::is_err), "{ends:?}");
}

/// Ends the calls that the scheduler starts with `error` for each piece of the stages in `failing`, and
/// returns why the job was given up, if it was, and the number of calls that failed.
fn fail_calls(
    scheduler: &mut BatchScheduler,
    start: Instant,
    error: PieceError,
    most: u32,
) -> (Option<RefusalReason>, u32) {
    let (mut now, mut failed) = (start, 0);
    for _ in 0..100 {
        for action in scheduler.poll(now) {
            match action {
                Action::GivenUp { reason, .. } => return (Some(reason), failed),
                Action::Finished { .. } => return (None, failed),
                Action::Call {
                    call_id, pieces, ..
                } => {
                    let fails = pieces.iter().any(|piece| piece.stage == 1) && failed < most;
                    failed += u32::from(fails);
                    let results = (0..pieces.len()).map(|n| {
                        if fails {
                            Err(error)
                        } else {
                            Ok(format!("{call_id}-{n}").into())
                        }
                    });
                    let outcome = CallOutcome::Answered(results.collect());
                    scheduler.call_ended(call_id, &outcome, now + ms(5));
                }
                _ => {}
            }
        }
        now += ms(10);
    }
    panic!("the job did not end");
}

/// Guards against jobs that are given up with plenty of time left because a single call with many of
/// their pieces failed.
#[test]
fn call_ended_counts_failed_call_once_for_all_pieces_of_job() {
    let now = Instant::now();
    for error in [PieceError::InputMissing, PieceError::Failed] {
        let submit = || {
            let mut scheduler = scheduler(now);
            let stages = vec![stage("p", &[], 1), stage("q", &[0], 4)];
            scheduler.submit(new_job("job", stages), now);
            scheduler
        };
        assert_eq!(fail_calls(&mut submit(), now, error, 2), (None, 2));
        let most = SchedulerConfig::default().max_recomputations + 1;
        let given_up = (Some(RefusalReason::Failed), most);
        assert_eq!(fail_calls(&mut submit(), now, error, u32::MAX), given_up);
    }
}

/// Guards against a process that ends by itself: the call of a cancelled job ends when a job with fewer
/// stages has its place.
#[test]
fn call_ended_of_cancelled_job_leaves_later_job_alone() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    let stages = vec![stage("p", &[], 0), stage("q", &[0], 4)];
    scheduler.submit(new_job("cancelled", stages), now);
    let calls = scheduler.poll(now);
    let call_id = calls.iter().find_map(|action| match action {
        Action::Call { call_id, .. } => Some(*call_id),
        _ => None,
    });
    scheduler.cancel("cancelled", now);
    scheduler.submit(new_job("later", vec![stage("p", &[], 1)]), now);
    let failed = CallOutcome::Answered(vec![Err(PieceError::Failed); 4]);
    scheduler.call_ended(call_id.expect("a call is started"), &failed, now + ms(250));
    let ends = run(&mut scheduler, now + ms(250), ms(1000));
    assert!(ends["later"].is_ok(), "{ends:?}");
}

/// Guards against a job that is sent again without end: a server misses an input that no stage computes.
#[test]
fn call_ended_gives_up_job_whose_inputs_no_stage_computes() {
    let now = Instant::now();
    let without_inputs = vec![stage("p", &[], 0), stage("q", &[], 4)];
    let input_skipped = vec![stage("p", &[], 0), stage("q", &[0], 4)];
    for stages in [without_inputs, input_skipped] {
        let mut scheduler = scheduler(now);
        scheduler.submit(new_job("job", stages), now);
        let most = SchedulerConfig::default().max_recomputations + 1;
        let ended = fail_calls(&mut scheduler, now, PieceError::InputMissing, u32::MAX);
        assert_eq!(ended, (Some(RefusalReason::Failed), most));
    }
}

/// Guards against jobs that are given up when the call that ends them in time is slow, although there is
/// no time for another one.
#[test]
fn poll_keeps_job_without_time_for_another_call_while_slow_one_is_under_way() {
    let now = Instant::now();
    let call = CALL_OVERHEAD + TIME_PER_PIECE;
    let config = SchedulerConfig::default();
    let slow_at = call.mul_f64(config.slow_call_factor) + config.slow_call_slack;
    let ends_at = slow_at + ms(50);
    let submit = |left: Duration| {
        let mut scheduler = scheduler(now);
        let mut job = new_job("job", vec![stage("p", &[], 1)]);
        job.time_to_deadline = left;
        scheduler.submit(job, now);
        let actions = scheduler.poll(now);
        let Some(Action::Call { call_id, .. }) = actions.into_iter().next_back() else {
            panic!("no call");
        };
        let given_up = |action: &Action| matches!(action, Action::GivenUp { .. });
        let until = |scheduler: &mut BatchScheduler, end: Duration| {
            let polls = (0..=end.as_millis()).step_by(10);
            let mut times = polls.map(|at| now + ms(u64::try_from(at).unwrap()));
            times.any(|at| scheduler.poll(at).iter().any(given_up))
        };
        let is_given_up = until(&mut scheduler, ends_at);
        (scheduler, call_id, is_given_up)
    };
    let (mut scheduler, call_id, is_given_up) = submit(ends_at + RUN_TIME);
    assert!(!is_given_up);
    let results = CallOutcome::Answered(vec![Ok("handle".into())]);
    scheduler.call_ended(call_id, &results, now + ends_at);
    let actions = scheduler.poll(now + ends_at);
    let is_finished = |action: &Action| matches!(action, Action::Finished { .. });
    assert!(actions.iter().any(is_finished), "{actions:?}");
    // Given up once the call can't end in time.
    let (.., is_given_up) = submit(ends_at + ms(80));
    assert!(is_given_up);
}

/// Guards against new requests that are refused after kills, as streams taken up that can't go on count
/// as misses of their rank, but not as its requests.
#[test]
fn poll_given_up_jobs_accepted_elsewhere_leave_new_less_urgent_ones_in_time() {
    let now = Instant::now();
    for (continues, accepted_before) in [(true, false), (false, true)] {
        let mut scheduler = scheduler(now);
        let submit = |scheduler: &mut BatchScheduler, id: String, rank, soft_deadline| {
            let job = Job {
                rank,
                time_to_soft_deadline: soft_deadline,
                ..new_job(&id, vec![stage("p", &[], 1)])
            };
            let outcome = scheduler.submit(job, now);
            scheduler.cancel(&id, now);
            outcome
        };
        for (n, rank) in (0..16).flat_map(|n| [(n, 0), (n, MAX_RANK)]) {
            let outcome = submit(&mut scheduler, format!("{n} of {rank}"), rank, ms(6000));
            assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
        }
        for n in 0..16 {
            let job = Job {
                rank: 0,
                time_to_soft_deadline: ms(2000),
                time_to_deadline: ms(2000),
                continues,
                accepted_before,
                ..new_job(&format!("accepted {n}"), vec![stage("p", &[], 1)])
            };
            let outcome = scheduler.submit(job, now);
            assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
        }
        scheduler.poll(now + ms(3000));
        assert_eq!(scheduler.job_count(), 0);
        // Half of the time to the soft deadline.
        let soft_deadline = (CALL_OVERHEAD + TIME_PER_PIECE * 2) * 3 / 2 + RUN_TIME;
        let outcome = submit(&mut scheduler, "new".into(), MAX_RANK, soft_deadline * 2);
        assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
    }
}

/// Guards against streams that wait behind new jobs whose soft deadlines are earlier.
#[test]
fn poll_runs_stream_taken_up_before_jobs_with_earlier_soft_deadlines() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    for n in 0..4 {
        let job = Job {
            rank: 0,
            time_to_soft_deadline: ms(2500),
            ..new_job(&format!("new{n}"), vec![stage("p", &[], 4)])
        };
        let outcome = scheduler.submit(job, now);
        assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
    }
    scheduler.submit(taken_up("taken up", ms(5000)), now);
    let ends = run(&mut scheduler, now, ms(4000));
    let first = ends.iter().min_by_key(|(_, end)| end.expect("all end"));
    assert_eq!(**first.unwrap().0, *"taken up", "{ends:?}");
}

/// Guards against new jobs that wait in vain behind streams that were taken up.
#[test]
fn submit_refuses_new_job_that_can_not_end_behind_streams_taken_up() {
    let now = Instant::now();
    let submit = |count: usize| {
        let mut scheduler = scheduler(now);
        for n in 0..count {
            let outcome = scheduler.submit(taken_up(&format!("{n}"), ms(8000)), now);
            assert_eq!(outcome, SubmitOutcome::Accepted { late: false });
        }
        let mut job = new_job("new", vec![stage("p", &[], 2)]);
        job.time_to_soft_deadline = ms(1500);
        scheduler.submit(job, now)
    };
    assert_eq!(submit(1), SubmitOutcome::Accepted { late: false });
    assert!(matches!(submit(12), SubmitOutcome::Refused { .. }));
}
