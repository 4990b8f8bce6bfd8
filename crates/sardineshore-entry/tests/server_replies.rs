//! Replies of backend servers that have neither a length nor chunks, or no end.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Url};
use sardineshore_core::claim::fingerprint;
use sardineshore_core::{
    BackendServer, Change, Deployment, Pipeline, Stage, StageKind, SystemClock,
};
use sardineshore_entry::stream::TokenSink;
use sardineshore_entry::{Instance, Job, OpenGate, RequestOutcome, Settings, runner};
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, ClientError, Reply};

/// Longest time for an exchange; no test waits for it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request to a server that replies with these bytes and closes the connection.
async fn exchange(reply: &'static [u8]) -> Result<Reply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(reply).await.unwrap();
    });
    let url = Url::parse(&format!("http://{addr}/v1/run")).unwrap();
    let req = Request::new(Method::Get, url);
    Client::default().send(&addr, req, TIMEOUT).await
}

#[test]
fn send_reply_until_close_is_whole() {
    task::block_on(async {
        let reply = exchange(b"HTTP/1.1 200 OK\r\n\r\n{\"whole\":1}")
            .await
            .unwrap();
        assert_eq!(reply.body, b"{\"whole\":1}");
        let empty = exchange(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        assert!(empty.body.is_empty());
    });
}

#[test]
fn send_reply_shorter_than_its_length_is_lost() {
    task::block_on(async {
        let reply = exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half").await;
        assert!(matches!(reply, Err(ClientError::ReplyLost(_))), "{reply:?}");
        let reply =
            exchange(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"half\r\n")
                .await;
        assert!(matches!(reply, Err(ClientError::ReplyLost(_))), "{reply:?}");
    });
}

/// Sends a request to a server that sends `first` and then `rest` again and again until the client
/// closes; waits for that.
async fn exchange_endless(first: &'static [u8], rest: &'static [u8]) -> Result<Reply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let server = task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(first).await.unwrap();
        while stream.write_all(rest).await.is_ok() {}
    });
    let url = Url::parse(&format!("http://{addr}/v1/run")).unwrap();
    let req = Request::new(Method::Get, url);
    let reply = Client::default().send(&addr, req, TIMEOUT).await;
    server.await;
    reply
}

#[test]
fn send_endless_reply_is_lost_and_its_connection_closed() {
    task::block_on(async {
        const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";
        const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const UNTIL_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
        let endless: [(&[u8], &[u8]); 5] = [
            (b"", &[b'a'; 4096]),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (HEAD, b"X-More: aaaaaaaaaaaaaaaa\r\n"),
            (CHUNKED, b"8\r\naaaaaaaa\r\n"),
            (UNTIL_CLOSE, &[b'a'; 4096]),
        ];
        for (first, rest) in endless {
            let reply = exchange_endless(first, rest).await;
            assert!(matches!(reply, Err(ClientError::ReplyLost(_))));
        }
    });
}

/// Bytes that a server gets rid of at most, in sockets and buffers, before its client closes.
const MAX_SENT_BYTES: usize = 64 * 1024 * 1024;

/// A server that echoes the headers of a request and then sends one line of a stream without end.
/// Returns its address and the number of bytes that it has sent.
async fn endless_line() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let count = stream.read(&mut buf).await.unwrap();
        let request = String::from_utf8_lossy(&buf[..count]).into_owned();
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for name in [headers::REQUEST, headers::STAGE, headers::ATTEMPT] {
            let is_named = |line: &&str| line.to_lowercase().starts_with(&format!("{name}:"));
            let line = request.lines().find(is_named).unwrap();
            head.push_str(line);
            head.push_str("\r\n");
        }
        stream
            .write_all(format!("{head}\r\n").as_bytes())
            .await
            .unwrap();
        while stream.write_all(&[b'a'; 8192]).await.is_ok() {
            counter.fetch_add(8192, Ordering::SeqCst);
        }
    });
    (addr, sent)
}

#[test]
fn run_endless_line_of_stream_ends_the_attempt() {
    task::block_on(async {
        let (addr, sent) = endless_line().await;
        let mut deployment = Deployment::default();
        let pipeline = Pipeline {
            name: "chat".into(),
            stages: vec![Stage {
                name: "generate".into(),
                pool: "pool".into(),
                kind: StageKind::Generate,
                ..Stage::default()
            }],
            deadline: Duration::from_secs(2),
        };
        let created = Change::CreatePipeline {
            pipeline: pipeline.clone(),
        };
        deployment.apply(&created).unwrap();
        let server = BackendServer {
            name: "s1".into(),
            addr,
            pool: "pool".into(),
            ..BackendServer::default()
        };
        deployment.apply(&Change::AddServer { server }).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let clock = Arc::new(SystemClock);
        let instance = Instance::new(Settings::default(), clock, Arc::new(OpenGate), log);
        let instance = Arc::new(instance);
        instance
            .tables
            .activate(Arc::new(deployment), &BTreeSet::new());
        let body: Arc<[u8]> = br#"{"prompt":"p"}"#.as_slice().into();
        let arrived = instance.clock.now();
        let job = Job {
            request: instance.new_request(),
            customer: "studio".into(),
            fingerprint: fingerprint(&pipeline.name, &body),
            deadline: arrived + pipeline.deadline,
            pipeline: Arc::new(pipeline),
            key: None,
            streamed: true,
            body,
            prefix: 0,
            arrived,
        };
        let (tx, _events) = async_std::channel::unbounded();
        let outcome = runner::run(&instance, &job, Some(TokenSink::new(tx))).await;
        assert!(
            !matches!(outcome, RequestOutcome::Answered(_)),
            "{outcome:?}"
        );
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
    });
}
