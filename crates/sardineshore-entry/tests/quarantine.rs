//! A request that crashes backend servers is quarantined after two crashes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use sardineshore_core::claim::fingerprint;
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

#[test]
fn quarantine_stops_at_two_crashes() {
    task::block_on(async {
        let crashes = Arc::new(AtomicUsize::new(0));
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
        for name in ["s1", "s2", "s3", "s4", "s5"] {
            let server = crashing(name, crashes.clone()).await;
            deployment.apply(&Change::AddServer { server }).unwrap();
        }
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let clock = Arc::new(SystemClock);
        let instance = Instance::new(Settings::default(), clock, Arc::new(OpenGate), log);
        let instance = Arc::new(instance);
        instance
            .tables
            .activate(Arc::new(deployment), &BTreeSet::new());
        for _ in 0..4 {
            let job = job(&instance, &pipeline);
            let finished = runner::run(&instance, &job, None).await;
            assert!(!matches!(finished, RequestOutcome::Answered(_)));
        }
        assert_eq!(crashes.load(Ordering::SeqCst), 2);
        let last = runner::run(&instance, &job(&instance, &pipeline), None).await;
        let reason = NotRunReason::Quarantined;
        assert!(
            matches!(&last, RequestOutcome::NotRun { reason: actual, .. } if *actual == reason),
            "{last:?}"
        );
    });
}
