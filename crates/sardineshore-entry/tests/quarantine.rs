//! A request that crashes backend servers is quarantined after two crashes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use sardineshore_core::claim::fingerprint;
use sardineshore_core::quarantine::CallOutcome;
use sardineshore_core::{
    BackendServer, Change, Deployment, NotRunReason, Pipeline, Stage, SystemClock,
};
use sardineshore_entry::{Instance, Job, OpenGate, RequestOutcome, Settings, runner};

/// A backend server that crashes on its first call: the connection breaks, and later connections
/// are refused.
async fn crashing(name: &str, crashes: Arc<AtomicUsize>) -> BackendServer {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap().to_string();
    task::spawn(async move {
        let (mut stream, _) = socket.accept().await.unwrap();
        let mut buf = [0; 64];
        let _ = stream.read(&mut buf).await;
        crashes.fetch_add(1, Ordering::SeqCst);
        drop(socket);
    });
    BackendServer {
        name: name.into(),
        addr,
        pool: "pool".into(),
        ..BackendServer::default()
    }
}

fn job(instance: &Instance, pipeline: &Pipeline) -> Job {
    let now = instance.clock.now();
    let body: Arc<[u8]> = b"{}".as_slice().into();
    Job {
        request: instance.new_request(),
        customer: "studio".into(),
        fingerprint: fingerprint(&pipeline.name, &body),
        pipeline: Arc::new(pipeline.clone()),
        key: None,
        streamed: false,
        body,
        prefix: 0,
        arrived: now,
        deadline: now + pipeline.deadline,
    }
}

/// An instance with one pool of these servers, each of which crashes on its first call.
async fn instance_with_crashing_servers(
    names: &[impl AsRef<str>],
    crashes: &Arc<AtomicUsize>,
) -> (Arc<Instance>, Pipeline) {
    let mut deployment = Deployment::default();
    let pipeline = Pipeline {
        name: "single".into(),
        stages: vec![Stage {
            name: "step".into(),
            pool: "pool".into(),
            ..Stage::default()
        }],
        ..Pipeline::default()
    };
    let created = Change::CreatePipeline {
        pipeline: pipeline.clone(),
    };
    deployment.apply(&created).unwrap();
    for name in names {
        let server = crashing(name.as_ref(), crashes.clone()).await;
        deployment.apply(&Change::AddServer { server }).unwrap();
    }
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let clock = Arc::new(SystemClock);
    let instance = Instance::new(Settings::default(), clock, Arc::new(OpenGate), log);
    let instance = Arc::new(instance);
    instance
        .tables
        .activate(Arc::new(deployment), &BTreeSet::new());
    (instance, pipeline)
}

#[test]
fn quarantine_stops_at_two_crashes() {
    task::block_on(async {
        let crashes = Arc::new(AtomicUsize::new(0));
        let names = ["s1", "s2", "s3", "s4", "s5"];
        let (instance, pipeline) = instance_with_crashing_servers(&names, &crashes).await;
        for _ in 0..4 {
            let job = job(&instance, &pipeline);
            let finished = runner::run(&instance, &job, None).await;
            assert!(!matches!(finished, RequestOutcome::Answered(_)));
        }
        assert_eq!(crashes.load(Ordering::SeqCst), 2);
        assert_quarantined(&instance, &job(&instance, &pipeline)).await;
    });
}

/// A request whose prompt begins like that of others and goes on in its own way.
fn prompt_job(instance: &Instance, pipeline: &Pipeline, prefix: u64, n: usize) -> Job {
    let body: Arc<[u8]> = format!(r#"{{"prompt":"{prefix} {n}"}}"#)
        .into_bytes()
        .into();
    Job {
        fingerprint: fingerprint(&pipeline.name, &body),
        body,
        prefix,
        ..job(instance, pipeline)
    }
}

#[test]
fn quarantine_stops_different_requests_with_prompt_beginning_that_crashes_servers() {
    task::block_on(async {
        let crashes = Arc::new(AtomicUsize::new(0));
        let names: Vec<String> = (0..20).map(|n| format!("s{n}")).collect();
        let (instance, pipeline) = instance_with_crashing_servers(&names, &crashes).await;
        for n in 0..10 {
            let job = prompt_job(&instance, &pipeline, 7, n);
            let finished = runner::run(&instance, &job, None).await;
            assert!(!matches!(finished, RequestOutcome::Answered(_)));
        }
        // Five crashes, and three requests after them.
        assert!(crashes.load(Ordering::SeqCst) <= 8, "{crashes:?}");
        assert_quarantined(&instance, &prompt_job(&instance, &pipeline, 7, 10)).await;

        // A peer refuses such requests without a crash of its own.
        let before = crashes.load(Ordering::SeqCst);
        let names: Vec<String> = (20..25).map(|n| format!("s{n}")).collect();
        let (peer, _) = instance_with_crashing_servers(&names, &crashes).await;
        let now = instance.clock.now();
        let evidence = instance.quarantine.recent_prompt_evidence(now);
        for _ in 0..2 {
            peer.quarantine.merge_prompt_evidence(evidence.clone(), now);
        }
        assert_quarantined(&peer, &prompt_job(&peer, &pipeline, 7, 11)).await;
        assert_eq!(crashes.load(Ordering::SeqCst), before);

        let rows = peer.quarantine.rows(&peer);
        assert_eq!(rows.len(), 1, "{rows:?}");
        assert!(peer.quarantine.lift(&peer, &rows[0].fingerprint));
        assert!(peer.quarantine.rows(&peer).is_empty());
    });
}

async fn assert_quarantined(instance: &Arc<Instance>, job: &Job) {
    let outcome = runner::run(instance, job, None).await;
    let quarantined = NotRunReason::Quarantined;
    assert!(
        matches!(&outcome, RequestOutcome::NotRun { reason, .. } if *reason == quarantined),
        "{outcome:?}"
    );
}

/// A listener whose queue of connections is full, so that further ones stay unanswered; the
/// connections keep it full.
fn silent_listener() -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    const MAX_CONNECTIONS: usize = 8192;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut connections = Vec::new();
    while let Ok(conn) = std::net::TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
        connections.push(conn);
        assert!(connections.len() < MAX_CONNECTIONS, "the queue never fills");
    }
    (listener, connections)
}

/// Guards against silence that counts as a crash: requests whose connections broke before it would be
/// quarantined.
#[test]
fn quarantine_silent_server_is_no_crash() {
    task::block_on(async {
        let (listener, _connections) = silent_listener();
        let addr = listener.local_addr().unwrap().to_string();
        let crashes = Arc::new(AtomicUsize::new(0));
        let (instance, pipeline) = instance_with_crashing_servers(&[] as &[&str], &crashes).await;
        let mut deployment = (*instance.tables.deployment()).clone();
        for name in ["s1", "s2"] {
            let server = BackendServer {
                name: name.into(),
                addr: addr.clone(),
                pool: "pool".into(),
                ..BackendServer::default()
            };
            deployment.apply(&Change::AddServer { server }).unwrap();
        }
        instance
            .tables
            .activate(Arc::new(deployment), &BTreeSet::new());
        let job = job(&instance, &pipeline);
        for name in ["s1", "s2"] {
            let lost = CallOutcome::ConnectionLost { incarnation: 1 };
            instance
                .quarantine
                .end_call(&instance, &job, &name.into(), lost);
        }
        let finished = runner::run(&instance, &job, None).await;
        assert!(
            matches!(
                finished,
                RequestOutcome::NotRun {
                    reason: NotRunReason::NoServer,
                    ..
                }
            ),
            "{finished:?}"
        );
        assert_eq!(instance.quarantine.recent_evidence(0), []);
    });
}
