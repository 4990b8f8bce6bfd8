//! Selection of backend servers: eligibility, ejection and readmission, limits, affinity, subsets
//! and load polls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::{
    AttemptReport, AttemptResult, BackendServer, Deployment, PoolId, Router, RoutingConfig,
    RoutingDecision, SelectedServer, SelectionError, SelectionRequest, ServerId, ServerLoad,
    ServerState, StreamOrigin,
};

const SECOND: Duration = Duration::from_secs(1);

fn deployment(servers: usize) -> Deployment {
    let mut deployment = Deployment::default();
    for at in 0..servers {
        let server = BackendServer {
            name: format!("s{at}").into(),
            addr: format!("127.0.0.1:{}", 9000 + at),
            pool: "pool".into(),
            ..BackendServer::default()
        };
        deployment.servers.insert(server.name.clone(), server);
    }
    deployment
}

fn router(servers: usize, seed: u64) -> Router {
    let mut router = Router::new(RoutingConfig {
        seed,
        ..RoutingConfig::default()
    });
    router.update_servers(&deployment(servers), &BTreeSet::new());
    router
}

fn select(
    router: &mut Router,
    prefix: u64,
    now: Instant,
) -> Result<SelectedServer, SelectionError> {
    let pool: PoolId = "pool".into();
    let request = SelectionRequest {
        pool: &pool,
        request: "r",
        customer: "c",
        prefix,
        idempotent: true,
        tried_servers: &[],
        origin: None,
        deadline: now + 6 * SECOND,
    };
    router.select(&request, now)
}

/// Selects a server and runs one attempt of 50 ms service time on it; returns the server.
fn attempt(router: &mut Router, prefix: u64, result: AttemptResult, now: Instant) -> ServerId {
    let server = select(router, prefix, now)
        .expect("a selected server")
        .server;
    end(router, &server, result, now);
    server
}

fn end(router: &mut Router, server: &ServerId, result: AttemptResult, now: Instant) {
    let report = AttemptReport {
        result,
        latency: Duration::from_millis(51),
        service: Duration::from_millis(50),
        ..AttemptReport::default()
    };
    router.record_start(server, now);
    router.record_end(server, &report, now);
}

fn ejected(router: &Router, now: Instant) -> usize {
    let rows = router.rows(Some("pool"), now);
    rows.iter().filter(|row| row.ejected).count()
}

#[derive(Debug, Clone)]
enum Step {
    Drain(usize),
    Resume(usize),
    Remove(usize),
    Leave(usize),
    Fail(usize),
    Report(usize, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..6_usize;
    prop_oneof![
        server.clone().prop_map(Step::Drain),
        server.clone().prop_map(Step::Resume),
        server.clone().prop_map(Step::Remove),
        server.clone().prop_map(Step::Leave),
        server.clone().prop_map(Step::Fail),
        (server, 0..100_u32).prop_map(|(at, count)| Step::Report(at, count)),
        (1..5_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any history of configuration changes, failures and load reports, the selected server
    /// accepts work, and a server is selected if any accepts work.
    #[test]
    fn select_any_history(steps in proptest::collection::vec(step(), 1..60), prefix in 0..3_u64) {
        let mut now = Instant::now();
        let mut router = router(6, 1);
        let mut declared = deployment(6);
        let mut leaving = BTreeSet::new();
        for step in steps {
            let name = |at: usize| ServerId::from(format!("s{at}"));
            match step {
                Step::Drain(at) => {
                    if let Some(server) = declared.servers.get_mut(&name(at)) {
                        server.state = ServerState::Draining;
                    }
                }
                Step::Resume(at) => {
                    let all = deployment(6);
                    declared.servers.insert(name(at), all.servers[&name(at)].clone());
                    leaving.remove(&name(at));
                }
                Step::Remove(at) => drop(declared.servers.remove(&name(at))),
                Step::Leave(at) => drop(leaving.insert(name(at))),
                Step::Fail(at) => {
                    for _ in 0..6 {
                        end(&mut router, &name(at), AttemptResult::Failed, now);
                    }
                }
                Step::Report(at, count) => {
                    let load = ServerLoad { running: count, ..ServerLoad::default() };
                    router.record_load(&name(at), &load, now);
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            router.update_servers(&declared, &leaving);
            let any_accepts_work = declared.servers.values().any(|server| {
                server.state == ServerState::Active && !leaving.contains(&server.name)
            });
            match select(&mut router, prefix, now) {
                Ok(selected) => {
                    prop_assert!(router.accepts_work(&selected.server));
                    prop_assert_eq!(declared.servers[&selected.server].state, ServerState::Active);
                    prop_assert!(!leaving.contains(&selected.server));
                }
                Err(SelectionError::NoServer) => prop_assert!(!any_accepts_work),
                Err(other) => prop_assert!(false, "{other:?}, but nothing is in flight"),
            }
        }
    }
}

#[test]
fn accepts_work_leaving_after_selection() {
    let mut router = router(1, 1);
    let selected = select(&mut router, 0, Instant::now()).unwrap().server;
    router.update_servers(&deployment(1), &BTreeSet::from([selected.clone()]));
    assert!(!router.accepts_work(&selected));
    assert!(!router.accepts_work(&"undeclared".into()));
}

/// Guards against work for a server that has said in a load report that it shuts down.
#[test]
fn record_load_of_leaving_server_ends_its_work_until_it_restarts() {
    let mut router = router(2, 1);
    let now = Instant::now();
    let load = |incarnation, leaving, age| ServerLoad {
        incarnation,
        leaving,
        age,
        ..ServerLoad::default()
    };
    let left: ServerId = "s0".into();
    router.record_load(&left, &load(1, true, Duration::ZERO), now);
    assert_eq!(router.take_notices()[0].decision, RoutingDecision::Leaving);
    router.record_load(&left, &load(1, false, Duration::ZERO), now);
    assert!(!router.accepts_work(&left));
    for _ in 0..200 {
        assert_ne!(attempt(&mut router, 0, AttemptResult::Answered, now), left);
    }
    router.update_servers(&deployment(2), &BTreeSet::new());
    assert!(!router.accepts_work(&left));
    router.record_load(&left, &load(2, false, Duration::ZERO), now);
    assert!(router.accepts_work(&left));
    let mut attempts = (0..200).map(|_| attempt(&mut router, 0, AttemptResult::Answered, now));
    assert!(attempts.any(|server| server == left));
}

/// Guards against requests and load polls for a server that has asked for a pause.
#[test]
fn record_pause_ends_work_until_its_end() {
    let mut router = router(2, 1);
    let now = Instant::now();
    let paused: ServerId = "s0".into();
    router.record_pause(&paused, 3 * SECOND, now);
    router.record_pause(&paused, SECOND, now);
    let decisions: Vec<_> = router.take_notices().iter().map(|n| n.decision).collect();
    let length = 3 * SECOND;
    assert_eq!(decisions, [RoutingDecision::Paused { length }]);
    for _ in 0..200 {
        assert_ne!(
            attempt(&mut router, 0, AttemptResult::Answered, now),
            paused
        );
    }
    let polled = [now, now].map(|now| router.next_load_poll(SECOND, now));
    assert!(polled.iter().flatten().all(|poll| poll.server != paused));
    router.record_pause(&"s1".into(), 4 * SECOND, now);
    let retry_after = 3 * SECOND;
    let saturated = Err(SelectionError::Saturated { retry_after });
    assert_eq!(select(&mut router, 0, now), saturated);
    let now = now + 3 * SECOND;
    assert_eq!(select(&mut router, 0, now).unwrap().server, paused);
}

#[test]
fn select_refuses_at_once_while_pauses_outlast_the_deadline() {
    let mut router = router(2, 1);
    let now = Instant::now();
    for server in ["s0", "s1"] {
        router.record_pause(&server.into(), 60 * SECOND, now);
    }
    assert_eq!(select(&mut router, 0, now), Err(SelectionError::TooLate));
    let restarted = ServerLoad {
        incarnation: 2,
        ..ServerLoad::default()
    };
    router.record_load(&"s0".into(), &ServerLoad::default(), now);
    router.record_load(&"s0".into(), &restarted, now);
    assert_eq!(&*select(&mut router, 0, now).unwrap().server, "s0");
}

#[test]
fn eject_failing_server_is_readmitted() {
    let mut router = router(4, 1);
    let mut now = Instant::now();
    let failing: ServerId = "s0".into();
    for _ in 0..5 {
        end(&mut router, &failing, AttemptResult::Failed, now);
    }
    let first = router.take_notices().remove(0).decision;
    assert_eq!(first, RoutingDecision::Ejected { length: SECOND });
    for _ in 0..200 {
        assert_ne!(
            attempt(&mut router, 0, AttemptResult::Answered, now),
            failing
        );
    }

    now += SECOND;
    assert_eq!(ejected(&router, now), 0);
    end(&mut router, &failing, AttemptResult::Failed, now);
    end(&mut router, &failing, AttemptResult::Failed, now);
    let decisions: Vec<_> = router.take_notices().iter().map(|n| n.decision).collect();
    let longer = RoutingDecision::Ejected { length: 2 * SECOND };
    assert_eq!(decisions, [RoutingDecision::Returned, longer]);
}

#[test]
fn eject_all_failing_keeps_half() {
    let mut router = router(5, 1);
    let now = Instant::now();
    for _ in 0..500 {
        attempt(&mut router, 0, AttemptResult::Failed, now);
    }
    assert_eq!(ejected(&router, now), 2);
    let withheld = |notices: Vec<sardineshore_core::RoutingNotice>| {
        notices
            .iter()
            .any(|n| n.decision == RoutingDecision::Withheld)
    };
    assert!(withheld(router.take_notices()));

    let mut single = self::router(1, 1);
    for _ in 0..50 {
        attempt(&mut single, 0, AttemptResult::Failed, now);
    }
    assert_eq!(ejected(&single, now), 0);
}

#[test]
fn select_tried_only_without_alternative() {
    let mut router = router(3, 1);
    let (now, pool): (_, PoolId) = (Instant::now(), "pool".into());
    let tried: Vec<ServerId> = vec!["s0".into(), "s1".into()];
    let mut request = SelectionRequest {
        pool: &pool,
        request: "r",
        customer: "c",
        prefix: 7,
        idempotent: true,
        tried_servers: &tried,
        origin: None,
        deadline: now + SECOND,
    };
    for _ in 0..100 {
        assert_eq!(&*router.select(&request, now).unwrap().server, "s2");
    }
    let all: Vec<ServerId> = vec!["s0".into(), "s1".into(), "s2".into()];
    request.tried_servers = &all;
    assert!(router.select(&request, now).is_ok());
    request.deadline = now;
    assert_eq!(router.select(&request, now), Err(SelectionError::TooLate));
}

#[test]
fn select_at_limits_is_saturated() {
    let mut router = router(2, 1);
    let now = Instant::now();
    let mut sent = 0;
    let error = loop {
        match select(&mut router, 0, now) {
            Ok(selected) => router.record_start(&selected.server, now),
            Err(error) => break error,
        }
        sent += 1;
        assert!(sent <= 100, "no limit");
    };
    assert_eq!(sent, 16);
    assert!(matches!(error, SelectionError::Saturated { retry_after } if !retry_after.is_zero()));
}

#[test]
fn select_straggler_gets_few_attempts() {
    let mut router = router(10, 1);
    let mut now = Instant::now();
    let mut slow = 0;
    for _ in 0..1_000 {
        let server = select(&mut router, 0, now).unwrap().server;
        let is_straggler = &*server == "s0";
        slow += u32::from(is_straggler);
        let service = Duration::from_millis(if is_straggler { 500 } else { 50 });
        let report = AttemptReport {
            latency: service,
            service,
            ..AttemptReport::default()
        };
        router.record_start(&server, now);
        now += Duration::from_millis(5);
        router.record_end(&server, &report, now);
    }
    assert!(slow <= 20, "{slow} of 1000 went to the straggler");
}

#[test]
fn select_prefix_same_on_all_instances_and_stable() {
    let now = Instant::now();
    let mut servers = BTreeMap::new();
    let (mut first, mut second) = (router(600, 1), router(600, 2));
    let mut fewer = router(599, 3);
    let mut moved = 0;
    for prefix in 1..=400 {
        let preferred = select(&mut first, prefix, now).unwrap().server;
        assert_eq!(select(&mut second, prefix, now).unwrap().server, preferred);
        moved += u32::from(select(&mut fewer, prefix, now).unwrap().server != preferred);
        *servers.entry(preferred).or_insert(0) += 1;
    }
    assert!(moved <= 10, "{moved} of 400 prefixes moved with one server");
    assert!(
        servers.len() >= 250,
        "only {} preferred servers",
        servers.len()
    );
}

#[test]
fn select_subsets_cover_pool_with_overlap() {
    let now = Instant::now();
    let mut reached: BTreeMap<ServerId, BTreeSet<u64>> = BTreeMap::new();
    for seed in 0..100 {
        let mut router = router(200, seed);
        let mut subset = BTreeSet::new();
        for _ in 0..600 {
            subset.insert(attempt(&mut router, 0, AttemptResult::Answered, now));
        }
        assert!(subset.len() <= 48, "{} servers", subset.len());
        for server in subset {
            reached.entry(server).or_default().insert(seed);
        }
    }
    assert_eq!(reached.len(), 200);
    let fewest = reached.values().map(BTreeSet::len).min().unwrap();
    assert!(
        fewest >= 8,
        "a server is reached by {fewest} instances only"
    );
}

#[test]
fn next_load_poll_oldest_first_and_bounded() {
    let mut router = router(3, 1);
    let now = Instant::now();
    let mut polled = BTreeSet::new();
    while let Some(next) = router.next_load_poll(SECOND, now) {
        polled.insert(next.server);
    }
    assert_eq!(polled.len(), 3);
    let later = now + 2 * SECOND;
    router.record_load(&"s1".into(), &ServerLoad::default(), later);
    let next = router.next_load_poll(SECOND, later).unwrap().server;
    assert_ne!(&*next, "s1");
}

fn origin(server: &str, incarnation: u64, version: Option<&str>) -> StreamOrigin {
    StreamOrigin {
        server: server.into(),
        incarnation,
        version: version.map(Into::into),
    }
}

#[test]
fn origin_unknown_version_is_same_only_within_one_run() {
    let known = origin("s0", 1, Some("1"));
    assert!(known.may_continue_at(&origin("s1", 9, Some("1"))));
    assert!(!known.may_continue_at(&origin("s1", 9, Some("2"))));
    assert!(!known.may_continue_at(&origin("s1", 9, None)));
    let unknown = origin("s0", 1, None);
    assert!(unknown.may_continue_at(&unknown));
    assert!(!unknown.may_continue_at(&origin("s0", 2, None)));
    assert!(!unknown.may_continue_at(&origin("s1", 1, None)));
    assert!(!unknown.may_continue_at(&origin("s1", 9, Some("1"))));
    assert!(!origin("s0", 0, None).may_continue_at(&origin("s0", 0, None)));
}

/// Guards against a stream that goes on at a server of another software version.
#[test]
fn select_continuation_only_at_version_of_origin() {
    let mut router = router(5, 1);
    let (now, pool): (_, PoolId) = (Instant::now(), "pool".into());
    let versions = [Some("1"), Some("2"), None, Some("1")];
    for (at, version) in versions.into_iter().enumerate() {
        let load = ServerLoad {
            incarnation: 1,
            capacity: 8,
            version: version.map(Into::into),
            ..ServerLoad::default()
        };
        router.record_load(&format!("s{at}").into(), &load, now);
    }
    let mut tried: Vec<ServerId> = vec!["s0".into()];
    let began = origin("s0", 1, Some("1"));
    let mut next = |tried: &[ServerId], origin| {
        let request = SelectionRequest {
            pool: &pool,
            request: "r",
            customer: "c",
            prefix: 7,
            idempotent: true,
            tried_servers: tried,
            origin: Some(origin),
            deadline: now + SECOND,
        };
        router.select(&request, now).map(|selected| selected.server)
    };
    for _ in 0..100 {
        assert_eq!(next(&tried, &began), Ok("s3".into()));
    }
    // s4 hasn't reported its version, so its reply has to show it.
    tried.push("s3".into());
    assert_eq!(next(&tried, &began), Ok("s4".into()));
    tried.push("s4".into());
    let again = next(&tried, &began).unwrap();
    assert!(["s0", "s3", "s4"].contains(&&*again), "{again}");

    let load = ServerLoad {
        incarnation: 1,
        version: Some("2".into()),
        ..ServerLoad::default()
    };
    router.record_load(&"s4".into(), &load, now);
    let withdrawn = origin("s9", 1, Some("0"));
    let request = SelectionRequest {
        pool: &pool,
        request: "r",
        customer: "c",
        prefix: 0,
        idempotent: true,
        tried_servers: &[],
        origin: Some(&withdrawn),
        deadline: now + SECOND,
    };
    assert_eq!(
        router.select(&request, now),
        Err(SelectionError::NoSameVersion)
    );
}
