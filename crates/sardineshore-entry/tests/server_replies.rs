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
use sardineshore_entry::stream::{StreamEvent, TokenSink};
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

/// Guards against a reply that counts as whole although its server stopped inside its head.
#[test]
fn send_reply_cut_inside_its_head_is_lost() {
    const REPLIES: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nX-Note: a\r\n\r\n",
        b"HTTP/1.1 200 OK\nX-Note: a\nContent-Length: 0\n\n",
    ];
    task::block_on(async {
        for whole in REPLIES {
            for cut in 0..whole.len() {
                let reply = exchange(&whole[..cut]).await;
                let text = String::from_utf8_lossy(&whole[..cut]);
                assert!(
                    matches!(reply, Err(ClientError::ReplyLost(_))),
                    "{text:?}: {reply:?}"
                );
            }
        }
    });
}

/// Guards against a head that is taken for the beginning of the body.
#[test]
fn send_reply_until_close_with_bare_line_feeds_has_no_head_in_its_body() {
    task::block_on(async {
        for head in [
            &b"HTTP/1.1 200 OK\nX-Note: a\n\n{\"whole\":1}"[..],
            b"HTTP/1.1 200 OK\r\nX-Note: a\n\n{\"whole\":1}",
            b"HTTP/1.1 200 OK\nX-Note: a\r\n\r\n{\"whole\":1}",
            b"HTTP/1.1 200 OK\nX-Note: a\n\r\n{\"whole\":1}",
            b"HTTP/1.1 200 OK\n\n{\"whole\":\"\r\n\r\n\"}",
        ] {
            let text = String::from_utf8_lossy(head).into_owned();
            if let Ok(reply) = exchange(head).await {
                assert!(reply.body.starts_with(b"{\"whole\""), "{text:?}: {reply:?}");
            }
        }
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

/// Runs a streamed request on servers that all listen at this address. Returns its outcome and the
/// events that the caller gets.
async fn run_streamed(addr: &str, servers: usize) -> (RequestOutcome, Vec<StreamEvent>) {
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
    for number in 0..servers {
        let server = BackendServer {
            name: format!("s{number}").into(),
            addr: addr.into(),
            pool: "pool".into(),
            ..BackendServer::default()
        };
        deployment.apply(&Change::AddServer { server }).unwrap();
    }
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
    let (tx, rx) = async_std::channel::unbounded();
    let outcome = runner::run(&instance, &job, Some(TokenSink::new(tx))).await;
    let mut events = Vec::new();
    while let Ok(event) = rx.try_recv() {
        events.push(event);
    }
    (outcome, events)
}

#[test]
fn run_endless_line_of_stream_ends_the_attempt() {
    task::block_on(async {
        let (addr, sent) = endless_line().await;
        let (outcome, _) = run_streamed(&addr, 1).await;
        assert!(
            !matches!(outcome, RequestOutcome::Answered(_)),
            "{outcome:?}"
        );
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
    });
}

/// A server that begins a stream and breaks it off, and replies to all further requests with these
/// bytes, in which `ECHO` stands for the headers that it echoes. Returns its address and the number
/// of requests.
async fn breaking_stream(further: &'static str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let count = stream.read(&mut buf).await.unwrap();
            let request = String::from_utf8_lossy(&buf[..count]).into_owned();
            let names = [headers::REQUEST, headers::STAGE, headers::ATTEMPT];
            let is_echoed = |line: &&str| {
                let line = line.to_lowercase();
                names
                    .iter()
                    .any(|name| line.starts_with(&format!("{name}:")))
            };
            let echo: String = request
                .lines()
                .filter(is_echoed)
                .fold(String::new(), |echo, line| echo + line + "\r\n");
            if echo.is_empty() {
                continue;
            }
            let begun = "HTTP/1.1 200 OK\r\nECHO\r\n\r\n\
                         data: {\"item\":\"token\",\"seq\":0,\"text\":\"a\"}\n\n";
            let is_first = counter.fetch_add(1, Ordering::SeqCst) == 0;
            let reply = if is_first { begun } else { further };
            let reply = reply.replace("ECHO", echo.trim_end());
            let _closed = stream.write_all(reply.as_bytes()).await;
        }
    });
    (addr, requests)
}

/// Guards against an error of the next server in the middle of a stream, and against a stream that
/// ends as if it were complete.
#[test]
fn run_error_of_next_server_is_not_part_of_stream() {
    const FURTHER: [&str; 6] = [
        "HTTP/1.1 500 X\r\nECHO\r\nContent-Length: 6\r\n\r\nfailed",
        "HTTP/1.1 500 X\r\nECHO\r\n\r\ndata: failed\n\n",
        "HTTP/1.1 200 OK\r\nECHO\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nECHO\r\n\r\ndata: failed\n\n",
        "HTTP/1.1 200 OK\nX-Cut: a",
        "failed\n\n",
    ];
    task::block_on(async {
        for further in FURTHER {
            let (addr, requests) = breaking_stream(further).await;
            let (outcome, events) = run_streamed(&addr, 3).await;
            assert!(
                !matches!(outcome, RequestOutcome::Answered(_)),
                "{further}: {outcome:?}"
            );
            assert!(
                matches!(&events[..], [StreamEvent::Token { seq: 0, .. }]),
                "{further}: {events:?}"
            );
            assert!(requests.load(Ordering::SeqCst) > 1, "{further}");
        }
    });
}
