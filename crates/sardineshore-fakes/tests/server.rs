//! Tests the fake server over HTTP: streams, run identifiers, response faults and orders.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Url};
use sardineshore_core::{EngineAction, SystemClock};
use sardineshore_fakes::serve::serve;
use sardineshore_fakes::server::engine::EngineSettings;
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_fakes::server::settings::{ServerKind, ServerSettings};
use sardineshore_fakes::server::{FakeServer, log};
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::backend::{FencedOrder, OrderReply, RunStatus, StreamItem};
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, ClientError, Reply, Reuse};

const TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    server: Arc<FakeServer>,
    addr: String,
    log: PathBuf,
    client: Client,
}

/// Starts a server with a new execution log named after the test.
async fn start(test: &str, settings: ServerSettings) -> Fixture {
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.log"));
    let _ = std::fs::remove_file(&log);
    restart(log, settings).await
}

async fn restart(log: PathBuf, settings: ServerSettings) -> Fixture {
    let server = FakeServer::start(settings, &log, Arc::new(SystemClock)).unwrap();
    let server = Arc::new(server);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    task::spawn(serve(listener, server.clone()));
    Fixture {
        server,
        addr,
        log,
        client: Client::default(),
    }
}

fn settings(kind: ServerKind) -> ServerSettings {
    ServerSettings {
        kind,
        service_time: Duration::from_millis(1),
        answers_status: true,
        fencing: true,
        ..ServerSettings::default()
    }
}

impl Fixture {
    fn request(&self, method: Method, path: &str, body: &str) -> Request {
        let url = Url::parse(&format!("http://{}{path}", self.addr)).unwrap();
        let mut req = Request::new(method, url);
        req.set_body(body);
        req
    }

    fn attempt(&self, attempt: &str, run_id: &str) -> Request {
        let mut req = self.request(Method::Post, "/v1/run", r#"{"tag": "t1"}"#);
        req.insert_header(headers::REQUEST, "r1");
        req.insert_header(headers::ATTEMPT, attempt);
        req.insert_header(headers::STAGE, "s1");
        req.insert_header(headers::RUN_ID, run_id);
        req
    }

    async fn send(&self, req: Request) -> Result<Reply, ClientError> {
        self.client.send(&self.addr, req, TIMEOUT).await
    }

    async fn status(&self, path: &str) -> RunStatus {
        let reply = self.send(self.request(Method::Get, path, "")).await;
        serde_json::from_slice(&reply.unwrap().body).unwrap()
    }

    async fn stream(&self, resume_from: u64) -> Vec<StreamItem> {
        let mut req = self.attempt("a1", "");
        req.insert_header("accept", "text/event-stream");
        req.insert_header(headers::RESUME_FROM, resume_from.to_string());
        let conn = self
            .client
            .checkout(&self.addr, Reuse::Never, TIMEOUT)
            .await;
        let mut res = self
            .client
            .stream(conn.unwrap(), req, TIMEOUT)
            .await
            .unwrap();
        let mut text = String::new();
        let _ = res.take_body().read_to_string(&mut text).await;
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        events
            .map(|data| serde_json::from_str(data).unwrap())
            .collect()
    }

    async fn order(&self, id: &str, fence: u64) -> OrderReply {
        let order = FencedOrder {
            id: id.into(),
            fence,
            action: EngineAction::SetRole {
                role: "decode".into(),
            },
        };
        let body = serde_json::to_string(&order).unwrap();
        let req = self.request(Method::Post, "/v1/orders", &body);
        serde_json::from_slice(&self.send(req).await.unwrap().body).unwrap()
    }

    fn logged(&self, event: ExecutionEvent) -> usize {
        let lines = log::read(&self.log).unwrap();
        lines.iter().filter(|line| line.event == event).count()
    }
}

#[async_std::test]
async fn stream_resumed_elsewhere_equals_uninterrupted() {
    let one = start("stream_resumed_one", settings(ServerKind::Engine)).await;
    let other = start("stream_resumed_other", settings(ServerKind::Engine)).await;
    let whole = one.stream(0).await;
    assert_eq!(whole.len(), 17);
    assert_eq!(whole[16], StreamItem::Done { tokens: 16 });
    assert_eq!(other.stream(5).await, whole[5..]);
    assert_eq!(one.logged(ExecutionEvent::Finished), 1);

    let reply = one.send(one.attempt("a2", "")).await.unwrap();
    let output: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    let joined: String = whole
        .iter()
        .filter_map(|item| match item {
            StreamItem::Token { text, .. } => Some(text.to_string()),
            StreamItem::Done { .. } => None,
        })
        .collect();
    assert_eq!(output["text"], joined.as_str());
    assert_eq!(output["tokens"], 16);
}

#[async_std::test]
async fn stream_truncated_has_no_end() {
    let fixture = start("stream_truncated", settings(ServerKind::Engine)).await;
    fixture.server.set_faults(ServerFaults {
        truncate: 1.0,
        ..ServerFaults::default()
    });
    let items = fixture.stream(0).await;
    assert_eq!(items.len(), 8);
    assert!(matches!(items[7], StreamItem::Token { seq: 7, .. }));
}

#[async_std::test]
async fn run_same_id_twice_runs_and_logs_twice() {
    let fixture = start("run_same_id", settings(ServerKind::Service)).await;
    for attempt in ["a1", "a2"] {
        let reply = fixture.send(fixture.attempt(attempt, "k1")).await.unwrap();
        assert_eq!((reply.status, reply.header(headers::RUN)), (200, "ran"));
        assert_eq!(reply.header(headers::ATTEMPT), attempt);
    }
    assert_eq!(fixture.logged(ExecutionEvent::Begun), 2);
    assert_eq!(fixture.logged(ExecutionEvent::Finished), 2);
}

#[async_std::test]
async fn run_sealed_id_is_refused_also_after_restart() {
    let fixture = start("run_sealed", settings(ServerKind::Service)).await;
    let path = "/v1/requests/k1";
    assert_eq!(fixture.status(path).await, RunStatus::NotBegun);
    let sealed = fixture.status("/v1/requests/k1?seal=true").await;
    assert_eq!(sealed, RunStatus::Sealed);
    let restarted = restart(fixture.log.clone(), settings(ServerKind::Service)).await;
    for server in [&fixture, &restarted] {
        let reply = server.send(server.attempt("a1", "k1")).await.unwrap();
        assert_eq!((reply.status, reply.header(headers::RUN)), (503, "not-run"));
        assert_eq!(server.status(path).await, RunStatus::Sealed);
    }
    assert_eq!(fixture.logged(ExecutionEvent::Begun), 0);
}

#[async_std::test]
async fn status_begun_before_restart_is_never_not_begun() {
    let fixture = start("status_restart", settings(ServerKind::Service)).await;
    fixture.send(fixture.attempt("a1", "k1")).await.unwrap();
    let seal = "/v1/requests/k1?seal=true";
    assert!(matches!(fixture.status(seal).await, RunStatus::Ran { .. }));
    let restarted = restart(fixture.log.clone(), settings(ServerKind::Service)).await;
    assert_eq!(restarted.status(seal).await, RunStatus::Running);
}

#[async_std::test]
async fn run_expired_deadline_is_refused() {
    let fixture = start("run_expired", settings(ServerKind::Pool)).await;
    let mut req = fixture.attempt("a1", "");
    req.insert_header(headers::DEADLINE_MS, "0");
    let reply = fixture.send(req).await.unwrap();
    assert_eq!((reply.status, reply.header(headers::RUN)), (503, "not-run"));
    assert_eq!(fixture.logged(ExecutionEvent::Refused), 1);
    assert_eq!(fixture.logged(ExecutionEvent::Begun), 0);
}

/// Sends an attempt and waits until it runs.
async fn start_running(fixture: &Arc<Fixture>, run_id: &'static str) -> task::JoinHandle<Reply> {
    let sender = fixture.clone();
    let reply = task::spawn(async move {
        let req = sender.attempt("a1", run_id);
        sender.send(req).await.unwrap()
    });
    while fixture.logged(ExecutionEvent::Begun) == 0 {
        task::sleep(Duration::from_millis(1)).await;
    }
    reply
}

async fn cancel(fixture: &Fixture) -> u16 {
    let body = r#"{"request": "r1", "attempt": "a1"}"#;
    let req = fixture.request(Method::Post, "/v1/cancel", body);
    fixture.send(req).await.unwrap().status
}

#[async_std::test]
async fn cancel_running_attempt_ends_it() {
    let slow = ServerSettings {
        service_time: Duration::from_secs(3600),
        ..settings(ServerKind::Engine)
    };
    let fixture = Arc::new(start("cancel_running", slow).await);
    let reply = start_running(&fixture, "").await;
    assert_eq!(cancel(&fixture).await, 200);
    let reply = reply.await;
    assert_eq!((reply.status, reply.header(headers::RUN)), (500, "ran"));
    assert_eq!(fixture.logged(ExecutionEvent::Cancelled), 1);
    assert_eq!(cancel(&fixture).await, 404);
}

#[async_std::test]
async fn cancel_non_idempotent_run_lets_it_finish() {
    let slow = ServerSettings {
        service_time: Duration::from_millis(200),
        ..settings(ServerKind::Service)
    };
    let fixture = Arc::new(start("cancel_non_idempotent", slow).await);
    let reply = start_running(&fixture, "k1").await;
    cancel(&fixture).await;
    assert_eq!(reply.await.status, 200);
    assert_eq!(fixture.logged(ExecutionEvent::Cancelled), 0);
    assert_eq!(fixture.logged(ExecutionEvent::Finished), 1);
}

#[async_std::test]
async fn run_response_faults_reach_client() {
    let fixture = start("response_faults", settings(ServerKind::Pool)).await;
    fixture.send(fixture.attempt("a1", "")).await.unwrap();
    fixture.server.set_faults(ServerFaults {
        wrong_attempt: 1.0,
        ..ServerFaults::default()
    });
    let wrong = fixture.send(fixture.attempt("a2", "")).await.unwrap();
    assert_eq!(wrong.header(headers::ATTEMPT), "a1");
    fixture.server.set_faults(ServerFaults {
        truncate: 1.0,
        ..ServerFaults::default()
    });
    let cut = fixture.send(fixture.attempt("a3", "")).await;
    assert!(matches!(cut, Err(ClientError::ReplyLost(_))));
    fixture.server.set_faults(ServerFaults {
        fail: 1.0,
        ..ServerFaults::default()
    });
    let failed = fixture.send(fixture.attempt("a4", "")).await.unwrap();
    assert_eq!((failed.status, failed.header(headers::RUN)), (500, "ran"));
    assert_eq!(fixture.logged(ExecutionEvent::Finished), 4);
}

#[async_std::test]
async fn order_old_fence_is_refused_once_newer_was_seen() {
    let mut engine = settings(ServerKind::Engine);
    engine.engine = EngineSettings {
        order_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let fixture = start("order_fence", engine.clone()).await;
    assert_eq!(fixture.order("o1", 7).await, OrderReply::InProgress);
    assert_eq!(fixture.order("o1", 7).await, OrderReply::Done);
    let fenced = fixture.order("o2", 6).await;
    assert_eq!(fenced, OrderReply::Fenced { highest: 7 });
    engine.fencing = false;
    let ignoring = start("order_no_fence", engine).await;
    assert_eq!(ignoring.order("o1", 7).await, OrderReply::InProgress);
    assert_eq!(ignoring.order("o2", 6).await, OrderReply::InProgress);
}
