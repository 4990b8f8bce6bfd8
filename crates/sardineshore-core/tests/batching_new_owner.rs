//! Tests of a batch scheduler that has just become the owner of a cell: it gets jobs that others
//! began, and has seen neither demand nor calls.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, PieceError, SchedulerConfig,
    StageResults, StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const POOLS: [&str; 3] = ["encode", "retrieve", "rerank"];

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(pool: &str, ready: bool) -> BatchServer {
    BatchServer {
        id: format!("{pool}-1").into(),
        pool: pool.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        spec: BatchSpec {
            slots: 1,
            max_batch: 4,
            call_overhead: ms(200),
            time_per_piece: ms(10),
            result_memory_bytes: 10_000_000,
            result_ttl: Duration::from_secs(4),
        },
        ready,
        paused_until: None,
    }
}

/// A scheduler without history.
fn new_owner(servers: Vec<BatchServer>, now: Instant) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    scheduler.set_servers(servers, now);
    scheduler
}

fn finished(stage: usize, pieces: u32) -> StageResults {
    let results = (0..pieces).map(|piece| StoredResult {
        piece: piece as usize,
        handle: format!("{stage}/{piece}").into(),
        server: "encode-1".into(),
        domain: "d".into(),
    });
    StageResults {
        stage,
        results: results.collect(),
    }
}

/// A job of two stages, one after the other, whose first one an earlier owner finished.
fn half_done(id: &str, time_left: Duration) -> Job {
    let stage = |pool: &str, depends_on: &[usize]| JobStage {
        pool: pool.into(),
        depends_on: depends_on.to_vec(),
        pieces: 1,
        result_bytes: 1000,
    };
    Job {
        id: id.into(),
        key: id.into(),
        customer: "c".into(),
        route: "r".into(),
        rank: 1,
        time_to_soft_deadline: time_left / 2,
        time_to_deadline: time_left,
        time_to_first_event: Duration::MAX,
        run_time: ms(100),
        preferred_domain: "d".into(),
        stages: vec![stage("encode", &[]), stage("retrieve", &[0])],
        late_allowed: true,
        results: vec![finished(0, 1)],
        accepted_before: true,
        continues: false,
    }
}

/// Guards against a new owner that aborts: the pool of a stage that the earlier owner finished has no
/// server that takes work, and the job is refused as too late.
#[test]
fn submit_refuses_late_job_whose_finished_stage_has_no_server() {
    let now = Instant::now();
    let servers = vec![server("encode", false), server("retrieve", true)];
    let mut sched = new_owner(servers, now);
    let outcome = sched.submit(half_done("late", ms(200)), now);
    let SubmitOutcome::Refused { retry_after, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(retry_after <= ms(200) / 3 + ms(1), "{retry_after:?}");
    let outcome = sched.submit(half_done("in time", ms(4000)), now);
    assert!(
        matches!(outcome, SubmitOutcome::Accepted { .. }),
        "{outcome:?}"
    );
}

/// Guards against a parked job that waits for the pool of a stage which is finished.
#[test]
fn poll_starts_parked_job_whose_finished_stage_has_no_server() {
    let now = Instant::now();
    let servers = vec![server("encode", false), server("retrieve", true)];
    let mut sched = new_owner(servers, now);
    // Waits for a server of the first pool, which has none: accepted before it was drained.
    sched.set_servers(vec![server("encode", true), server("retrieve", true)], now);
    let waiting = Job {
        results: Vec::new(),
        time_to_soft_deadline: ms(3900),
        ..half_done("waiting", ms(4000))
    };
    assert_eq!(
        sched.submit(waiting, now),
        SubmitOutcome::Accepted { late: false }
    );
    sched.set_servers(vec![server("encode", false), server("retrieve", true)], now);
    let late = Job {
        time_to_soft_deadline: ms(10),
        ..half_done("late", ms(4000))
    };
    assert_eq!(
        sched.submit(late, now),
        SubmitOutcome::Accepted { late: true }
    );
    let called: Vec<Name> = sched
        .poll(now)
        .into_iter()
        .filter_map(|action| match action {
            Action::Call { pieces, .. } => Some(pieces[0].request.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(called, ["late".into()]);
}

/// One event at the owner of a cell.
#[derive(Debug, Clone)]
enum Event {
    /// For each pool whether it has no server, one that drains, one that is ready or one that is paused.
    Servers([u8; 3]),
    Submit {
        /// Pieces of each stage and how many of them an earlier owner computed.
        stages: Vec<(u8, u32, u32)>,
        soft_ms: u64,
        deadline_ms: u64,
        first_event_ms: Option<u64>,
        accepted_before: bool,
        continues: bool,
        late_allowed: bool,
    },
    Wait(u64),
    EndCalls(u8),
    HandOver(bool),
    Limit(u8, f64),
}

fn event() -> impl Strategy<Value = Event> {
    let duration = || prop_oneof![Just(0), 1_u64..400, 400_u64..9000];
    let stages = prop::collection::vec((0_u8..3, 0_u32..6, 0_u32..7), 0..4);
    let submit = (
        stages,
        duration(),
        duration(),
        prop::option::of(duration()),
        any::<(bool, bool, bool)>(),
    );
    prop_oneof![
        2 => prop::array::uniform3(0_u8..4).prop_map(Event::Servers),
        6 => submit.prop_map(|(stages, soft_ms, deadline_ms, first_event_ms, flags)| Event::Submit {
            stages,
            soft_ms,
            deadline_ms,
            first_event_ms,
            accepted_before: flags.0,
            continues: flags.1,
            late_allowed: flags.2,
        }),
        4 => prop_oneof![Just(0), 1_u64..600].prop_map(Event::Wait),
        3 => (0_u8..5).prop_map(Event::EndCalls),
        1 => any::<bool>().prop_map(Event::HandOver),
        1 => (0_u8..3, prop_oneof![Just(0.0), Just(f64::MAX), 0.0..9.0]).prop_map(|(pool, rate)| Event::Limit(pool, rate)),
    ]
}

/// Servers of the pools by their state, see [`Event::Servers`].
fn servers(states: [u8; 3], now: Instant) -> Vec<BatchServer> {
    let pools = POOLS.iter().zip(states).filter(|(_, state)| *state > 0);
    let servers = pools.map(|(pool, state)| BatchServer {
        paused_until: (state == 3).then(|| now + ms(700)),
        ..server(pool, state >= 2)
    });
    servers.collect()
}

/// Stages in a row, and the results that an earlier owner computed.
fn stages_of(spec: &[(u8, u32, u32)]) -> (Vec<JobStage>, Vec<StageResults>) {
    let stage = |(index, (pool, pieces, _)): (usize, &(u8, u32, u32))| JobStage {
        pool: POOLS[usize::from(*pool)].into(),
        depends_on: index.checked_sub(1).into_iter().collect(),
        pieces: *pieces,
        result_bytes: 1000,
    };
    let results = spec.iter().enumerate();
    let results = results.map(|(index, (_, pieces, done))| finished(index, *done.min(pieces)));
    (
        spec.iter().enumerate().map(stage).collect(),
        results.collect(),
    )
}

fn check_retry(retry_after: Duration, deadline: Duration) -> Result<(), TestCaseError> {
    prop_assert!(
        retry_after <= deadline / 3 + ms(1),
        "{retry_after:?} of {deadline:?}"
    );
    Ok(())
}

/// Plays the events at a new owner and checks each time that it tells.
fn play(events: &[Event]) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut sched = new_owner(servers([2; 3], now), now);
    let mut running: Vec<(u64, usize)> = Vec::new();
    for (index, event) in events.iter().enumerate() {
        match event {
            Event::Servers(states) => sched.set_servers(servers(*states, now), now),
            Event::Submit {
                stages,
                soft_ms,
                deadline_ms,
                first_event_ms,
                accepted_before,
                continues,
                late_allowed,
            } => {
                let (stages, results) = stages_of(stages);
                let job = Job {
                    stages,
                    results,
                    time_to_soft_deadline: ms(*soft_ms),
                    time_to_first_event: first_event_ms.map_or(Duration::MAX, ms),
                    accepted_before: *accepted_before,
                    continues: *continues,
                    late_allowed: *late_allowed,
                    ..half_done(&index.to_string(), ms(*deadline_ms))
                };
                if let SubmitOutcome::Refused { retry_after, .. } = sched.submit(job, now) {
                    check_retry(retry_after, ms(*deadline_ms))?;
                }
            }
            Event::Wait(time) => now += ms(*time),
            Event::EndCalls(kind) => {
                for (call, pieces) in running.drain(..) {
                    let outcome = match kind {
                        0 => CallOutcome::Broken,
                        1 => CallOutcome::Rejected,
                        2 => CallOutcome::TimedOut,
                        3 => CallOutcome::Answered(vec![Err(PieceError::OutOfMemory); pieces]),
                        _ => {
                            let handle = |piece| Ok(format!("{call}-{piece}").into());
                            CallOutcome::Answered((0..pieces).map(handle).collect())
                        }
                    };
                    sched.call_ended(call, &outcome, now);
                }
            }
            Event::HandOver(begins) if *begins => sched.begin_handover(),
            Event::HandOver(_) => sched.cancel_handover(now),
            Event::Limit(pool, rate) => {
                let server = format!("{}-1", POOLS[usize::from(*pool)]);
                sched.set_rate_limit(&server, Some(*rate), now);
            }
        }
        for action in sched.poll(now) {
            match action {
                Action::Call {
                    call_id, pieces, ..
                } => running.push((call_id, pieces.len())),
                Action::GivenUp { retry_after, .. } => check_retry(retry_after, ms(9000))?,
                _ => {}
            }
        }
        // Figures that other parts read.
        prop_assert!(sched.backlog(now) < Duration::from_secs(1_000_000));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against an owner that aborts on a figure which it can't know yet: whatever is finished,
    /// whichever pools have servers and however little time is left, each decision ends with a time that
    /// the caller can wait for.
    #[test]
    fn submit_and_poll_decide_in_any_state_of_pools_and_jobs(events in prop::collection::vec(event(), 1..60)) {
        play(&events)?;
    }
}
