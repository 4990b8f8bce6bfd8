//! Replies of backend servers that have neither a length nor chunks, or no end.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
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

/// Runs a request on servers that all listen at this address. Returns its outcome and the events that
/// the caller gets if it is streamed.
async fn run_request(
    addr: &str,
    servers: usize,
    streamed: bool,
) -> (RequestOutcome, Vec<StreamEvent>) {
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
        streamed,
        body,
        prefix: 0,
        arrived,
    };
    let (tx, rx) = async_std::channel::unbounded();
    let sink = streamed.then(|| TokenSink::new(tx));
    let outcome = runner::run(&instance, &job, sink).await;
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
        let (outcome, _) = run_request(&addr, 1, true).await;
        assert!(
            !matches!(outcome, RequestOutcome::Answered(_)),
            "{outcome:?}"
        );
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
    });
}

/// The headers of a request that its reply repeats; empty if it has none.
fn echoed_headers(request: &[u8]) -> String {
    let request = String::from_utf8_lossy(request);
    let names = [headers::REQUEST, headers::STAGE, headers::ATTEMPT];
    let is_echoed = |line: &&str| {
        let line = line.to_lowercase();
        names
            .iter()
            .any(|name| line.starts_with(&format!("{name}:")))
    };
    let lines: Vec<&str> = request.lines().filter(is_echoed).collect();
    lines.join("\r\n")
}

/// A server that refuses its first request, writes this refusal once more when the next one comes on
/// the same connection, and answers all others. Returns its address and the number of requests on
/// each connection.
async fn repeated_refusal() -> (String, Arc<Mutex<Vec<usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let counts = requests.clone();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let connection = counts.lock().unwrap().len();
            counts.lock().unwrap().push(0);
            let counts = counts.clone();
            task::spawn(async move {
                let mut refusal = String::new();
                let mut buf = [0; 4096];
                while let Ok(count @ 1..) = stream.read(&mut buf).await {
                    let echo = echoed_headers(&buf[..count]);
                    if echo.is_empty() {
                        continue;
                    }
                    counts.lock().unwrap()[connection] += 1;
                    if connection == 0 && refusal.is_empty() {
                        let run = headers::RUN;
                        refusal = format!(
                            "HTTP/1.1 503 X\r\n{echo}\r\n{run}: not-run\r\nContent-Length: 0\r\n\r\n"
                        );
                    }
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\n{echo}\r\nContent-Length: 11\r\n\r\n{{\"whole\":1}}"
                    );
                    let reply = if connection == 0 { &refusal } else { &answer };
                    let _closed = stream.write_all(reply.as_bytes()).await;
                }
            });
        }
    });
    (addr, requests)
}

/// Guards against "not run" for a request that runs, as a server writes an earlier refusal once more.
#[test]
fn run_earlier_refusal_on_kept_connection_says_nothing_of_next_attempt() {
    task::block_on(async {
        let (addr, requests) = repeated_refusal().await;
        let (outcome, _) = run_request(&addr, 1, false).await;
        let RequestOutcome::Answered(body) = outcome else {
            panic!("{outcome:?}, requests {requests:?}");
        };
        assert_eq!(&body[..], b"{\"whole\":1}");
        // Other connections may carry cancellations and probes.
        let requests = requests.lock().unwrap().clone();
        assert_eq!((requests[0], requests.iter().sum()), (2, 3), "{requests:?}");
    });
}

/// A server that turns all requests away and wants no others for a minute. Returns its address and the
/// number of requests.
async fn refusing_server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            while let Ok(count @ 1..) = stream.read(&mut buf).await {
                let echo = echoed_headers(&buf[..count]);
                if echo.is_empty() {
                    continue;
                }
                counter.fetch_add(1, Ordering::SeqCst);
                let run = headers::RUN;
                let reply = format!(
                    "HTTP/1.1 503 X\r\n{echo}\r\n{run}: not-run\r\nRetry-After: 60\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                let _closed = stream.write_all(reply.as_bytes()).await;
            }
        }
    });
    (addr, requests)
}

/// Guards against further attempts at a server that has asked for a pause.
#[test]
fn run_server_that_wants_a_pause_gets_one_attempt() {
    task::block_on(async {
        for streamed in [false, true] {
            let (addr, requests) = refusing_server().await;
            let (outcome, _) = run_request(&addr, 1, streamed).await;
            let is_not_run = matches!(outcome, RequestOutcome::NotRun { .. });
            assert!(is_not_run, "{outcome:?}");
            assert_eq!(requests.load(Ordering::SeqCst), 1, "streamed: {streamed}");
        }
    });
}

/// Header with the load report of one run of a server with this software version.
const VERSION_1: &str = r#"x-sardine-load: {"incarnation":7,"version":"1"}"#;

/// A server that begins a stream and breaks it off, and replies to all further requests with these
/// bytes, in which `ECHO` stands for the headers that it echoes. The stream's head has the header
/// `load`. Returns its address and the number of requests.
async fn breaking_stream(load: &str, further: &str) -> (String, Arc<AtomicUsize>) {
    let begun = format!(
        "HTTP/1.1 200 OK\r\nECHO\r\n{load}\r\n\r\n\
         data: {{\"item\":\"token\",\"seq\":0,\"text\":\"a\"}}\n\n"
    );
    let further = further.to_owned();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let count = stream.read(&mut buf).await.unwrap();
            let echo = echoed_headers(&buf[..count]);
            if echo.is_empty() {
                continue;
            }
            let is_first = counter.fetch_add(1, Ordering::SeqCst) == 0;
            let reply = if is_first { &begun } else { &further };
            let reply = reply.replace("ECHO", &echo);
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
            let further = further.replace("ECHO", &format!("ECHO\r\n{VERSION_1}"));
            let (addr, requests) = breaking_stream(VERSION_1, &further).await;
            let (outcome, events) = run_request(&addr, 3, true).await;
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

/// Whether a stream that begins at a server with the load report `begun` goes on at the next one,
/// which replies with `further`, if the pool has so many servers at the address.
async fn is_continued(begun: &str, further: &str, servers: usize) -> bool {
    let reply = format!(
        "HTTP/1.1 200 OK\r\nECHO\r\nx-sardine-load: {further}\r\n\r\n\
         data: {{\"item\":\"token\",\"seq\":1,\"text\":\"b\"}}\n\n\
         data: {{\"item\":\"done\",\"tokens\":2}}\n\n"
    );
    let (addr, _) = breaking_stream(&format!("x-sardine-load: {begun}"), &reply).await;
    let (outcome, events) = run_request(&addr, servers, true).await;
    let is_answered = matches!(outcome, RequestOutcome::Answered(_));
    assert_eq!(events.len(), if is_answered { 2 } else { 1 }, "{events:?}");
    is_answered
}

/// Guards against an answer that is joined from two software versions.
#[test]
fn run_broken_stream_goes_on_only_at_version_that_began_it() {
    const ANY: &str = "{}";
    const RUN_7: &str = r#"{"incarnation":7}"#;
    const RUN_8: &str = r#"{"incarnation":8}"#;
    const V1_RUN_7: &str = r#"{"incarnation":7,"version":"1"}"#;
    const V1_RUN_8: &str = r#"{"incarnation":8,"version":"1"}"#;
    const V2_RUN_8: &str = r#"{"incarnation":8,"version":"2"}"#;
    const CASES: [(&str, &str, usize, bool); 9] = [
        (V1_RUN_7, V1_RUN_8, 3, true),
        (V1_RUN_7, V1_RUN_8, 1, true),
        (V1_RUN_7, V2_RUN_8, 3, false),
        (V1_RUN_7, V2_RUN_8, 1, false),
        (V1_RUN_7, RUN_8, 3, false),
        (RUN_7, V1_RUN_8, 3, false),
        // Servers that name no version are the same only within one run of one server.
        (RUN_7, RUN_7, 1, true),
        (RUN_7, RUN_8, 1, false),
        (ANY, ANY, 1, false),
    ];
    task::block_on(async {
        for (begun, further, servers, wanted) in CASES {
            let continued = is_continued(begun, further, servers).await;
            assert_eq!(continued, wanted, "{begun}, {further}, {servers} servers");
        }
    });
}
