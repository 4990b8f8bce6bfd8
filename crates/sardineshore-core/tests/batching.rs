//! Piece boards: batches, rooms, lost servers and slow calls.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, CallPiece, FreeMemory, Job, JobStage,
    PieceError, PieceInput, SchedulerConfig, StageResults, StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const ROOM: u64 = 10_000_000;

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
            result_memory_bytes: ROOM,
            result_ttl: Duration::from_secs(4),
        },
        ready: true,
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
        rank: 1,
        time_to_soft_deadline: ms(2000),
        time_to_deadline: ms(8000),
        run_time: ms(100),
        preferred_domain: "d".into(),
        stages,
        late_allowed: true,
        results: Vec::new(),
        accepted_before: false,
    }
}

fn kept(piece: usize, handle: &str, server: &str) -> StoredResult {
    StoredResult {
        piece,
        handle: handle.into(),
        server: server.into(),
        domain: "d".into(),
    }
}

fn board(servers: &[(&str, &str)], now: Instant) -> BatchScheduler {
    let mut board = BatchScheduler::new(SchedulerConfig::default());
    let servers = servers.iter().map(|(id, pool)| server(id, pool)).collect();
    board.set_servers(servers, now);
    board
}

/// Calls among actions: number, server, pieces.
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

fn made(prefix: &str, count: usize) -> CallOutcome {
    CallOutcome::Answered(
        (0..count)
            .map(|n| Ok(format!("{prefix}{n}").into()))
            .collect(),
    )
}

#[test]
fn batch_is_filled_by_pieces_of_many_jobs() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    for id in ["1", "2", "3"] {
        let verdict = board.submit(job(id, vec![stage("p", &[], 2)]), now);
        assert_eq!(verdict, SubmitOutcome::Accepted { late: false });
    }
    let calls = calls(&board.poll(now));
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].2.len(), 4);
}

#[test]
fn every_piece_has_all_inputs_after_a_slow_call_and_a_lost_maker() {
    let now = Instant::now();
    let mut board = board(&[("a", "p"), ("b", "q"), ("c", "q")], now);
    board.submit(job("1", vec![stage("p", &[], 1), stage("q", &[0], 1)]), now);
    let first = calls(&board.poll(now));
    board.call_ended(first[0].0, &made("x", 1), now + ms(210));
    let second = calls(&board.poll(now + ms(210)));
    assert_eq!(second.len(), 1);
    // The maker of the input is lost while the second stage's call takes too long.
    let later = now + ms(400);
    board.set_servers(
        vec![server("b", "q"), server("c", "q"), server("d", "p")],
        later,
    );
    for wait in 0..40 {
        for (_, _, pieces) in calls(&board.poll(later + ms(wait * 50))) {
            for piece in pieces.iter().filter(|piece| piece.stage == 1) {
                assert_ne!(piece.input, PieceInput::Results(Vec::new()));
            }
        }
    }
}

#[test]
fn results_given_up_count_until_their_keeper_is_told() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    let big = |id| {
        let mut job = job(id, vec![stage("p", &[], 1)]);
        job.stages[0].result_bytes = ROOM * 6 / 10;
        job
    };
    board.submit(big("1"), now);
    let first = calls(&board.poll(now));
    board.call_ended(first[0].0, &made("x", 1), now + ms(210));
    board.poll(now + ms(210));
    board.submit(big("2"), now + ms(210));
    assert!(calls(&board.poll(now + ms(210))).is_empty());
    board.cancel("1", now + ms(220));
    let told = board.poll(now + ms(220));
    assert!(
        told.iter()
            .any(|a| matches!(a, Action::ReleaseResults { .. }))
    );
    assert_eq!(calls(&board.poll(now + ms(300))).len(), 1);
}

#[test]
fn job_is_refused_at_once_without_a_server() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    let verdict = board.submit(job("1", vec![stage("q", &[], 1)]), now);
    assert!(matches!(verdict, SubmitOutcome::Refused { .. }));
}

#[test]
fn lost_input_is_made_again() {
    let now = Instant::now();
    let mut board = board(&[("a", "p"), ("b", "q")], now);
    board.submit(job("1", vec![stage("p", &[], 1), stage("q", &[0], 1)]), now);
    let first = calls(&board.poll(now));
    board.call_ended(first[0].0, &made("x", 1), now + ms(210));
    let second = calls(&board.poll(now + ms(210)));
    let gone = CallOutcome::Answered(vec![Err(PieceError::InputMissing)]);
    board.call_ended(second[0].0, &gone, now + ms(220));
    let again = calls(&board.poll(now + ms(220)));
    assert_eq!(again[0].2[0].stage, 0);
}

#[test]
fn pool_whose_servers_all_failed_takes_jobs_again() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    board.submit(job("1", vec![stage("p", &[], 1)]), now);
    let mut at = now;
    for _ in 0..3 {
        for (call, _, _) in calls(&board.poll(at)) {
            board.call_ended(call, &CallOutcome::Broken, at);
        }
        at += Duration::from_secs(2);
    }
    let later = at + Duration::from_secs(10);
    board.poll(later);
    let verdict = board.submit(job("2", vec![stage("p", &[], 1)]), later);
    assert!(matches!(verdict, SubmitOutcome::Accepted { .. }));
}

#[test]
fn server_found_full_is_not_sent_large_pieces_at_once() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    let mut large = job("1", vec![stage("p", &[], 1)]);
    large.stages[0].result_bytes = ROOM / 2;
    board.submit(large, now);
    let first = calls(&board.poll(now));
    let full = CallOutcome::Answered(vec![Err(PieceError::OutOfMemory)]);
    board.call_ended(first[0].0, &full, now + ms(200));
    assert!(calls(&board.poll(now + ms(250))).is_empty());
    assert_eq!(calls(&board.poll(now + ms(900))).len(), 1);
}

#[test]
fn slow_call_of_a_job_that_left_does_not_touch_its_successor() {
    let now = Instant::now();
    let mut board = board(&[("a", "p"), ("b", "q")], now);
    board.submit(job("1", vec![stage("p", &[], 3)]), now);
    assert_eq!(calls(&board.poll(now)).len(), 1);
    board.cancel("1", now + ms(50));
    // The new job takes the place of the old one and has fewer pieces.
    board.submit(job("2", vec![stage("q", &[], 1)]), now + ms(60));
    board.poll(now + ms(2000));
    assert_eq!(board.job_count(), 1);
}

#[test]
fn next_owner_goes_on_from_the_stages_that_ended() {
    let now = Instant::now();
    let servers = [("a", "p"), ("b", "q")];
    let mut first = board(&servers, now);
    let stages = vec![stage("p", &[], 1), stage("q", &[0], 1)];
    first.submit(job("1", stages.clone()), now);
    let call = calls(&first.poll(now))[0].0;
    first.begin_handover();
    assert!(first.poll(now).is_empty(), "waits for the running call");
    first.call_ended(call, &made("x", 1), now + ms(210));
    let actions = first.poll(now + ms(210));
    let ended = actions.iter().find_map(|action| match action {
        Action::StageEnded { results, .. } => Some(results.clone()),
        _ => None,
    });
    let request = Name::from("1");
    assert!(actions.contains(&Action::HandedOver { request }));
    let mut next = board(&servers, now);
    let mut job = job("1", stages);
    job.results = vec![ended.unwrap()];
    next.submit(job, now + ms(215));
    let calls = calls(&next.poll(now + ms(215)));
    let source = PieceInput::Results(vec!["x0".into()]);
    assert_eq!((calls[0].2[0].stage, &calls[0].2[0].input), (1, &source));
}

/// Servers that are asked for their free memory.
fn asked(actions: &[Action]) -> Vec<Name> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::QueryFreeMemory { server, .. } => Some(server.clone()),
        _ => None,
    });
    asked.collect()
}

fn left(min_bytes: u64) -> FreeMemory {
    FreeMemory {
        min_bytes,
        step_bytes: ROOM / 100,
    }
}

fn heavy(id: &str, pieces: u32) -> Job {
    let mut stage = stage("p", &[], pieces);
    stage.result_bytes = ROOM / 5;
    job(id, vec![stage])
}

/// Load pattern: an owner is lost under load, and what it left fills the servers' memory.
#[test]
fn new_owner_fills_only_what_a_predecessor_left_free() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    board.query_free_memory(now);
    board.submit(heavy("1", 4), now);
    let first = board.poll(now);
    assert_eq!(asked(&first), ["a".into()]);
    assert!(calls(&first).is_empty(), "waits for the answer");
    board.set_free_memory("a", left(ROOM / 5 * 2), now + ms(5));
    let sent = calls(&board.poll(now + ms(5)));
    assert_eq!(sent.len(), 1);
    assert!(sent[0].2.len() <= 2, "{}", sent[0].2.len());
    // The predecessor's results end: the server is asked again and then filled.
    board.call_ended(sent[0].0, &made("x", sent[0].2.len()), now + ms(300));
    assert_eq!(asked(&board.poll(now + ms(420))), ["a".into()]);
    board.set_free_memory("a", left(ROOM / 5 * 4), now + ms(425));
    assert_eq!(calls(&board.poll(now + ms(425))).len(), 1);
}

#[test]
fn new_owner_does_not_wait_long_for_a_silent_server() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    board.query_free_memory(now);
    board.submit(heavy("1", 1), now);
    assert!(calls(&board.poll(now)).is_empty());
    assert_eq!(calls(&board.poll(now + ms(60))).len(), 1);
}

#[test]
fn full_server_is_asked_what_it_has_left() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    board.submit(heavy("1", 4), now);
    let sent = calls(&board.poll(now));
    let ends = vec![
        Ok("x".into()),
        Err(PieceError::OutOfMemory),
        Err(PieceError::OutOfMemory),
        Err(PieceError::OutOfMemory),
    ];
    board.call_ended(sent[0].0, &CallOutcome::Answered(ends), now + ms(250));
    let next = board.poll(now + ms(250));
    assert_eq!(asked(&next), ["a".into()]);
    assert!(calls(&next).is_empty());
    board.set_free_memory("a", left(ROOM / 5 * 4), now + ms(260));
    assert_eq!(calls(&board.poll(now + ms(260)))[0].2.len(), 3);
}

#[test]
fn coarse_answer_of_a_small_server_stops_nothing() {
    let now = Instant::now();
    let mut board = board(&[("a", "p")], now);
    board.query_free_memory(now);
    board.submit(heavy("1", 2), now);
    board.poll(now);
    let coarse = FreeMemory {
        min_bytes: 0,
        step_bytes: ROOM,
    };
    board.set_free_memory("a", coarse, now + ms(5));
    assert_eq!(calls(&board.poll(now + ms(5)))[0].2.len(), 2);
}

/// A job that can't be in time any more, however empty the pool.
fn late_job(id: &str, rank: u32, pieces: u32, time_to_deadline: u64) -> Job {
    Job {
        rank,
        time_to_soft_deadline: ms(0),
        time_to_deadline: ms(time_to_deadline),
        ..job(id, vec![stage("p", &[], pieces)])
    }
}

/// A board whose only server is busy for about a second with urgent work.
fn busy_board(now: Instant) -> BatchScheduler {
    let mut board = board(&[("a", "p")], now);
    for n in 0..4 {
        let mut urgent = job(&format!("u{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(6000);
        board.submit(urgent, now);
    }
    board.poll(now);
    board
}

/// Load pattern: overload by a less urgent kind that can wait long fills the line of late jobs.
#[test]
fn late_job_does_not_wait_behind_less_urgent_ones() {
    let now = Instant::now();
    let mut board = busy_board(now);
    for n in 0..8 {
        let verdict = board.submit(late_job(&format!("p{n}"), 2, 4, 20_000), now);
        assert_eq!(verdict, SubmitOutcome::Accepted { late: true }, "{n}");
    }
    let verdict = board.submit(late_job("urgent", 0, 1, 6000), now);
    assert_eq!(verdict, SubmitOutcome::Accepted { late: true });
    let verdict = board.submit(late_job("same rank", 2, 1, 6000), now);
    assert!(
        matches!(verdict, SubmitOutcome::Refused { .. }),
        "{verdict:?}"
    );
}

/// Load pattern: urgent work goes on coming, so that those in line can't be served any more.
#[test]
fn late_job_that_can_not_begin_in_time_is_given_up_at_once() {
    let now = Instant::now();
    let mut board = busy_board(now);
    let verdict = board.submit(late_job("late", 2, 1, 9000), now);
    assert_eq!(verdict, SubmitOutcome::Accepted { late: true });
    for n in 0..40 {
        let mut urgent = job(&format!("v{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(20_000);
        urgent.time_to_deadline = ms(40_000);
        board.submit(urgent, now + ms(10));
    }
    let given_up = |actions: &[Action]| {
        let mut actions = actions.iter();
        actions.any(|a| matches!(a, Action::GivenUp { request, .. } if &**request == "late"))
    };
    let mut at = None;
    for wait in 1..50 {
        if given_up(&board.poll(now + ms(wait * 100))) {
            at = Some(wait * 100);
            break;
        }
    }
    assert!(at.is_some_and(|at| at < 1000), "{at:?}");
}

/// Load pattern: callers that were refused come back while fresh ones go on coming.
#[test]
fn caller_that_comes_back_is_late_and_goes_before_other_late_ones() {
    let now = Instant::now();
    let mut board = busy_board(now);
    let mut refused = job("first try", vec![stage("p", &[], 4)]);
    refused.key = "mine".into();
    refused.time_to_soft_deadline = ms(500);
    refused.time_to_deadline = ms(20_000);
    refused.late_allowed = false;
    let verdict = board.submit(refused.clone(), now);
    assert!(
        matches!(verdict, SubmitOutcome::Refused { .. }),
        "{verdict:?}"
    );
    for n in 0..2 {
        board.submit(late_job(&format!("p{n}"), 1, 4, 20_000), now + ms(1000));
    }
    // Its caller states the time left; that its aim has passed follows from the first try.
    let again = Job {
        id: "second try".into(),
        time_to_deadline: ms(20_000 - 2400),
        time_to_soft_deadline: ms(2000),
        late_allowed: true,
        ..refused
    };
    let fresh = Job {
        id: "fresh".into(),
        key: "other".into(),
        ..again.clone()
    };
    let later = now + ms(2400);
    assert_eq!(
        board.submit(again, later),
        SubmitOutcome::Accepted { late: true }
    );
    let verdict = board.submit(fresh, later);
    assert_eq!(verdict, SubmitOutcome::Accepted { late: false });
}

/// Load pattern: the owner stops under load, and its successor gets all jobs at once.
#[test]
fn job_of_a_former_owner_is_taken_on_and_counts_what_is_left() {
    let now = Instant::now();
    let mut board = board(&[("a", "p"), ("b", "q")], now);
    for n in 0..6 {
        let mut urgent = job(&format!("u{n}"), vec![stage("p", &[], 4)]);
        urgent.time_to_soft_deadline = ms(9000);
        board.submit(urgent, now);
    }
    let mut fresh = job("fresh", vec![stage("p", &[], 1), stage("q", &[0], 1)]);
    fresh.time_to_soft_deadline = ms(1000);
    fresh.time_to_deadline = ms(3000);
    let moved = Job {
        id: "moved".into(),
        accepted_before: true,
        results: vec![StageResults {
            stage: 0,
            results: vec![kept(0, "x", "a")],
        }],
        ..fresh.clone()
    };
    let waiting = Job {
        id: "waiting".into(),
        results: Vec::new(),
        ..moved.clone()
    };
    let verdict = board.submit(fresh, now);
    assert!(
        matches!(verdict, SubmitOutcome::Refused { .. }),
        "{verdict:?}"
    );
    // Only its second stage is left, and that pool is idle.
    assert_eq!(
        board.submit(moved, now),
        SubmitOutcome::Accepted { late: false }
    );
    assert_eq!(
        board.submit(waiting, now),
        SubmitOutcome::Accepted { late: true }
    );
}

#[test]
fn next_owner_takes_over_pieces_of_an_unfinished_stage() {
    let now = Instant::now();
    let mut first = board(&[("a", "p")], now);
    first.submit(job("1", vec![stage("p", &[], 6)]), now);
    let call = calls(&first.poll(now))[0].0;
    first.begin_handover();
    first.call_ended(call, &made("x", 4), now + ms(240));
    let actions = first.poll(now + ms(240));
    let told = actions.iter().find_map(|action| match action {
        Action::StageEnded { results, .. } => Some(results.clone()),
        _ => None,
    });
    let told = told.expect("the successor is told of the pieces made");
    assert_eq!(told.results.len(), 4);
    let mut next = board(&[("a", "p")], now);
    let mut job = job("1", vec![stage("p", &[], 6)]);
    job.results = vec![told];
    job.accepted_before = true;
    next.submit(job, now + ms(245));
    let calls = calls(&next.poll(now + ms(245)));
    let pieces: Vec<usize> = calls[0].2.iter().map(|ask| ask.piece).collect();
    assert_eq!(pieces, [4, 5]);
}
