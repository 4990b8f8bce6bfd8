//! An entry instance, fake backend servers and a fake table within one test process.

#[path = "table.rs"]
pub mod table;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use async_trait::async_trait;
use http_types::{Method, Request, Url};
use sardineshore_core::claim::PeerReply;
use sardineshore_core::{
    AttemptId, BackendServer, Change, Deployment, InstanceId, Pipeline, Stage, StageKind,
    SystemClock,
};
use sardineshore_entry::claims::{ClaimDependencies, ClaimPeers};
use sardineshore_entry::{DispatchGate, Instance, OpenGate, Settings, listener};
use sardineshore_fakes::serve::serve;
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_fakes::server::settings::{ServerKind, ServerSettings};
use sardineshore_fakes::server::{FakeServer, log};
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, Reply};
use table::FakeTable;

/// Name of a stage whose backend servers answer what became of a run.
pub const ANSWERS_STATUS: &str = "answers-status";

/// Timeout that is never reached in a passing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The execution log of a fake backend server.
pub struct Backend {
    log: PathBuf,
}

impl Backend {
    /// Number of attempts that started.
    pub fn started_attempts(&self) -> usize {
        self.count(ExecutionEvent::Begun)
    }

    /// Number of attempts that were refused.
    pub fn refused_attempts(&self) -> usize {
        self.count(ExecutionEvent::Refused)
    }

    /// Number of attempts that were cancelled.
    pub fn cancelled_attempts(&self) -> usize {
        self.count(ExecutionEvent::Cancelled)
    }

    fn count(&self, event: ExecutionEvent) -> usize {
        let all = log::read(&self.log).expect("the log can be read");
        all.iter().filter(|line| line.event == event).count()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Instances in the test process that answer each other's claim queries.
#[derive(Debug, Default)]
pub struct LocalPeers {
    instances: Mutex<Vec<Arc<Instance>>>,
}

#[async_trait]
impl ClaimPeers for LocalPeers {
    async fn ask(&self, instance: &InstanceId, attempt: &AttemptId) -> PeerReply {
        let instances = self.instances.lock().unwrap();
        let asked = instances.iter().find(|i| i.settings.name == *instance);
        asked.map_or(PeerReply::Unreachable, |asked| {
            asked.claims.peer_reply(attempt)
        })
    }
}

/// A listening entry instance and its backend servers.
pub struct TestEntry {
    /// The instance.
    pub instance: Arc<Instance>,
    /// Its backend servers, in the order of their faults.
    pub backends: Vec<Backend>,
    /// The active deployment.
    pub deployment: Deployment,
    /// The platform's table.
    pub table: Arc<FakeTable>,
    peers: Arc<LocalPeers>,
    addr: String,
    client: Client,
    accept_task: JoinHandle<()>,
}

impl TestEntry {
    /// Starts an instance with one backend server for each set of faults, all in pool `pool`, and
    /// a pipeline `single` of one stage.
    pub async fn start(name: &str, stage: Stage, faults: Vec<ServerFaults>) -> Self {
        Self::start_with_gate(Arc::new(OpenGate), name, stage, faults).await
    }

    /// Like [`TestEntry::start`], with a gate that is checked before each send.
    pub async fn start_with_gate(
        gate: Arc<dyn DispatchGate>,
        name: &str,
        stage: Stage,
        faults: Vec<ServerFaults>,
    ) -> Self {
        let mut deployment = Deployment::default();
        let pipeline = Pipeline {
            name: "single".into(),
            stages: vec![Stage {
                name: "step".into(),
                pool: "pool".into(),
                ..stage.clone()
            }],
            deadline: TEST_TIMEOUT,
        };
        deployment
            .apply(&Change::CreatePipeline { pipeline })
            .expect("the change fits");
        let mut backends = Vec::new();
        for (n, faults) in faults.into_iter().enumerate() {
            let name = format!("{name}-s{n}");
            let (backend, server) = start_backend(&name, faults, &stage).await;
            deployment
                .apply(&Change::AddServer { server })
                .expect("the change fits");
            backends.push(backend);
        }
        let (table, peers) = Default::default();
        Self::launch(gate, name, deployment, backends, table, peers).await
    }

    /// Starts another instance with the same backend servers and the same table.
    pub async fn start_another(&self, name: &str) -> Self {
        let (table, peers) = (self.table.clone(), self.peers.clone());
        let deployment = self.deployment.clone();
        Self::launch(
            Arc::new(OpenGate),
            name,
            deployment,
            Vec::new(),
            table,
            peers,
        )
        .await
    }

    async fn launch(
        gate: Arc<dyn DispatchGate>,
        name: &str,
        deployment: Deployment,
        backends: Vec<Backend>,
        table: Arc<FakeTable>,
        peers: Arc<LocalPeers>,
    ) -> Self {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = Settings {
            name: name.into(),
            ..Settings::default()
        };
        let instance = Instance::new(settings, Arc::new(SystemClock), gate, log);
        let instance = Arc::new(instance);
        instance.claims.set_dependencies(ClaimDependencies {
            table: table.clone(),
            peers: peers.clone(),
        });
        peers.instances.lock().unwrap().push(instance.clone());
        instance
            .tables
            .activate(Arc::new(deployment.clone()), &BTreeSet::new());
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let addr = socket.local_addr().expect("bound").to_string();
        let accept_task = task::spawn(listener::accept(instance.clone(), socket));
        Self {
            instance,
            backends,
            deployment,
            table,
            peers,
            addr,
            client: Client::default(),
            accept_task,
        }
    }

    /// Makes the instance unreachable for the other instances.
    pub fn disconnect(&self) {
        let mut instances = self.peers.instances.lock().unwrap();
        instances.retain(|known| !Arc::ptr_eq(known, &self.instance));
    }

    /// Sends one request and waits for its reply.
    pub async fn submit(&self, tag: &str, key: Option<&str>) -> Reply {
        let mut req = self.request(tag);
        if let Some(key) = key {
            req.insert_header(headers::IDEMPOTENCY_KEY, key);
        }
        self.send(req).await
    }

    /// Asks for a streamed answer and reads it to its end.
    pub async fn submit_streamed(&self, tag: &str) -> Reply {
        self.submit_streamed_with(tag, &[]).await
    }

    /// Like [`TestEntry::submit_streamed`], with further headers.
    pub async fn submit_streamed_with(&self, tag: &str, headers: &[(&str, &str)]) -> Reply {
        let mut req = self.request(tag);
        req.insert_header("accept", "text/event-stream");
        for (name, value) in headers {
            req.insert_header(*name, *value);
        }
        self.send(req).await
    }

    fn request(&self, tag: &str) -> Request {
        let url = Url::parse(&format!(
            "http://{}/v1/pipelines/single/requests",
            self.addr
        ));
        let mut req = Request::new(Method::Post, url.expect("an address forms a URL"));
        req.insert_header(headers::CUSTOMER, "studio");
        req.set_body(serde_json::json!({ "tag": tag }).to_string());
        req
    }

    async fn send(&self, req: Request) -> Reply {
        let reply = self.client.send(&self.addr, req, TEST_TIMEOUT).await;
        reply.expect("the instance replies")
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.accept_task.cancel().await;
    }
}

/// Text under `"tag"` of a reply's body.
pub fn tag(reply: &Reply) -> String {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    body["tag"].as_str().unwrap_or_default().to_owned()
}

async fn start_backend(
    name: &str,
    faults: ServerFaults,
    stage: &Stage,
) -> (Backend, BackendServer) {
    let answers_status = stage.name.as_ref() == ANSWERS_STATUS;
    let kind = match stage.kind {
        StageKind::Generate => ServerKind::Engine,
        _ => ServerKind::default(),
    };
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = socket.local_addr().expect("bound").to_string();
    let log = std::env::temp_dir().join(format!("sardine-{}-{name}.log", std::process::id()));
    let _ = std::fs::remove_file(&log);
    let settings = ServerSettings {
        name: name.into(),
        service_time: Duration::from_millis(2),
        answers_status,
        kind,
        ..ServerSettings::default()
    };
    let server = FakeServer::start(settings, &log, Arc::new(SystemClock)).expect("starts");
    let server = Arc::new(server);
    server.set_faults(faults);
    task::spawn(serve(socket, server));
    let declared = BackendServer {
        name: name.into(),
        addr,
        pool: "pool".into(),
        answers_status,
        ..BackendServer::default()
    };
    (Backend { log }, declared)
}
