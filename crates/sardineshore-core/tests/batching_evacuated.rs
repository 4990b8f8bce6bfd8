//! Tests of the batch scheduler with servers in an evacuated failure domain.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, PieceError, SchedulerConfig,
    StageResults, StoredResult, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

fn server(domain: &str) -> BatchServer {
    BatchServer {
        id: domain.into(),
        pool: "p".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.into(),
        spec: BatchSpec {
            slots: 1,
            max_batch: 4,
            call_overhead: Duration::from_millis(200),
            time_per_piece: Duration::from_millis(10),
            result_memory_bytes: 10_000_000,
            result_ttl: Duration::from_secs(4),
        },
        ready: true,
        paused_until: None,
    }
}

/// A scheduler with a server in each of these domains, of which `evacuated` are.
fn scheduler(domains: &[&str], evacuated: &[Name], now: Instant) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(SchedulerConfig::default());
    evacuate(&mut scheduler, domains, evacuated, now);
    scheduler
}

fn evacuate(scheduler: &mut BatchScheduler, domains: &[&str], evacuated: &[Name], now: Instant) {
    scheduler.set_servers(domains.iter().map(|domain| server(domain)).collect(), now);
    scheduler.set_evacuated(evacuated, now);
}

/// A job with two stages of one piece each.
fn job(results: Vec<StageResults>) -> Job {
    let stage = |depends_on: &[usize]| JobStage {
        pool: "p".into(),
        depends_on: depends_on.to_vec(),
        pieces: 1,
        result_bytes: 1000,
    };
    Job {
        id: "r".into(),
        key: "k".into(),
        customer: "".into(),
        route: "".into(),
        rank: 1,
        time_to_soft_deadline: Duration::from_secs(6),
        time_to_deadline: Duration::from_secs(8),
        time_to_first_event: Duration::MAX,
        run_time: Duration::from_millis(100),
        preferred_domain: "z".into(),
        stages: vec![stage(&[]), stage(&[0])],
        late_allowed: true,
        accepted_before: !results.is_empty(),
        results,
        continues: false,
    }
}

/// The calls among actions: their ids, servers, and the stages of their first pieces.
fn calls(actions: &[Action]) -> Vec<(u64, Name, usize)> {
    let call = |action: &Action| match action {
        Action::Call {
            call_id,
            server,
            pieces,
            ..
        } => Some((*call_id, server.clone(), pieces[0].stage)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

fn answer(handle: &str) -> CallOutcome {
    CallOutcome::Answered(vec![Ok(handle.into())])
}

fn sends_nothing(actions: &[Action]) -> bool {
    let is_send = |action: &Action| {
        matches!(
            action,
            Action::Call { .. } | Action::ReleaseResults { .. } | Action::QueryFreeMemory { .. }
        )
    };
    !actions.iter().any(is_send)
}

/// Guards against calls, releases and queries at servers of an evacuated domain, and against giving up a call
/// in flight there.
#[test]
fn set_evacuated_servers_get_no_requests_and_calls_in_flight_count() {
    let t = Instant::now();
    let z: Name = "z".into();
    let mut scheduler = scheduler(&["z"], &[], t);
    assert!(matches!(
        scheduler.submit(job(Vec::new()), t),
        SubmitOutcome::Accepted { .. }
    ));
    let started = calls(&scheduler.poll(t));
    assert_eq!(started.len(), 1);
    let at = |ms| t + Duration::from_millis(ms);
    evacuate(&mut scheduler, &["z"], std::slice::from_ref(&z), at(100));
    scheduler.query_free_memory(at(100));
    scheduler.begin_handover();
    assert!(scheduler.poll(at(150)).is_empty(), "its call still runs");
    scheduler.call_ended(started[0].0, &answer("h"), at(210));
    let actions = scheduler.poll(at(210));
    assert!(sends_nothing(&actions), "{actions:?}");
    let results = actions.iter().find_map(|action| match action {
        Action::StageEnded { results, .. } => Some(results.results.len()),
        _ => None,
    });
    assert_eq!(results, Some(1));
    assert!((actions.iter()).any(|action| matches!(action, Action::HandedOver { .. })));
    assert!(sends_nothing(&scheduler.poll(at(2000))));
    // What other owners did meanwhile is asked for once the domain returns.
    evacuate(&mut scheduler, &["z"], &[], at(9000));
    scheduler.cancel_handover(at(9000));
    let actions = scheduler.poll(at(9000));
    assert!((actions.iter()).any(|action| matches!(action, Action::QueryFreeMemory { .. })));
}

/// Guards against computing a result again that can still be fetched from an evacuated domain, and against a
/// job that waits for one that is gone.
#[test]
fn submit_goes_on_with_results_kept_in_evacuated_domain() {
    let t = Instant::now();
    let z: Name = "z".into();
    for is_kept in [true, false] {
        let mut scheduler = scheduler(&["d", "z"], std::slice::from_ref(&z), t);
        let results = StageResults {
            stage: 0,
            results: vec![StoredResult {
                piece: 0,
                handle: "h".into(),
                server: z.clone(),
                domain: z.clone(),
            }],
        };
        let submitted = scheduler.submit(job(vec![results]), t);
        assert!(matches!(submitted, SubmitOutcome::Accepted { .. }));
        let started = calls(&scheduler.poll(t));
        assert_eq!(started, [(0, "d".into(), 1)]);
        let outcome = if is_kept {
            answer("i")
        } else {
            CallOutcome::Answered(vec![Err(PieceError::InputMissing)])
        };
        let later = t + Duration::from_millis(210);
        scheduler.call_ended(0, &outcome, later);
        let actions = scheduler.poll(later);
        if is_kept {
            assert!((actions.iter()).any(|action| matches!(action, Action::Finished { .. })));
            assert!(calls(&actions).is_empty());
            scheduler.cancel("r", later);
            let actions = scheduler.poll(later + Duration::from_secs(1));
            let released = actions.iter().filter_map(|action| match action {
                Action::ReleaseResults { server, .. } => Some(&**server),
                _ => None,
            });
            assert_eq!(released.collect::<Vec<_>>(), ["d"]);
        } else {
            assert_eq!(calls(&actions), [(1, "d".into(), 0)]);
        }
    }
}

/// Guards against jobs that wait for servers of an evacuated domain if there are no others.
#[test]
fn submit_is_refused_if_all_domains_are_evacuated() {
    let t = Instant::now();
    let mut scheduler = scheduler(&["d", "z"], &["d".into(), "z".into()], t);
    let submitted = scheduler.submit(job(Vec::new()), t);
    assert!(matches!(submitted, SubmitOutcome::Refused { .. }));
}
