//! Callers against a scripted entry instance: retries, load balancing and streams.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use http_types::{Request, Response, StatusCode};
use sardineshore_core::SystemClock;
use sardineshore_load::balancer::Balancer;
use sardineshore_load::caller::{CallerSettings, Callers};
use sardineshore_load::preset;
use sardineshore_load::schedule::Arrival;
use sardineshore_wire::audit_log::CallRecord;
use sardineshore_wire::headers;

const BOOKING: usize = 1;
const MATCH: usize = 0;
const BOOKED: &str = r#"{"tag":"t1","stages":["check","book"]}"#;

/// One scripted reply.
#[derive(Debug, Clone, Copy)]
enum ScriptedReply {
    Answer(&'static str),
    Refuse(&'static str),
    Close,
    Events(&'static str),
}

/// Entry instance that replies by script and records the idempotency keys that it receives.
struct ScriptedEntry {
    addr: Arc<str>,
    keys: Arc<Mutex<Vec<String>>>,
}

async fn start_scripted(script: Vec<ScriptedReply>) -> ScriptedEntry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string().into();
    let keys = Arc::new(Mutex::new(Vec::new()));
    let recorded = keys.clone();
    task::spawn(async move {
        for scripted in script {
            let (stream, _) = listener.accept().await.unwrap();
            let recorded = recorded.clone();
            let _ = async_h1::accept(stream, |req| {
                let reply = reply(scripted, &req, &recorded);
                async move { reply }
            })
            .await;
        }
    });
    ScriptedEntry { addr, keys }
}

fn reply(
    scripted: ScriptedReply,
    req: &Request,
    keys: &Mutex<Vec<String>>,
) -> http_types::Result<Response> {
    let key = req.header(headers::IDEMPOTENCY_KEY);
    let key = key.map_or(String::new(), |key| key.last().to_string());
    keys.lock().unwrap().push(key);
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header("connection", "close");
    res.insert_header(headers::REQUEST, "r1");
    match scripted {
        ScriptedReply::Answer(body) => {
            res.insert_header(headers::OUTCOME, "answered");
            res.set_body(body);
        }
        ScriptedReply::Refuse(outcome) => {
            let body = format!(
                r#"{{"outcome":"{outcome}","reason":"why","request":"r1","detail":"","retryable":false}}"#
            );
            res.set_status(StatusCode::BadGateway);
            res.insert_header(headers::OUTCOME, outcome);
            res.set_body(body);
        }
        ScriptedReply::Events(body) => {
            res.set_body(body);
            res.insert_header("content-type", "text/event-stream");
        }
        ScriptedReply::Close => return Err(http_types::Error::from_str(500, "closed by script")),
    }
    Ok(res)
}

fn arrival(pipeline: usize, streamed: bool) -> Arrival {
    Arrival {
        due: Duration::ZERO,
        customer: 0,
        pipeline,
        tag: "t1".into(),
        prefix: 0,
        streamed,
        poison: false,
    }
}

async fn call(entries: Vec<Arc<str>>, arrival: &Arrival) -> CallRecord {
    let callers = Callers {
        workload: preset::tangolin(),
        balancer: Balancer::new(entries),
        settings: CallerSettings {
            max_retries: 2,
            ..CallerSettings::default()
        },
        clock: Arc::new(SystemClock),
    };
    callers.call(arrival, Instant::now()).await
}

fn run(script: Vec<ScriptedReply>, arrival: &Arrival) -> (CallRecord, Vec<String>) {
    block_on(async {
        let entry = start_scripted(script).await;
        let record = call(vec![entry.addr.clone()], arrival).await;
        let keys = entry.keys.lock().unwrap().clone();
        (record, keys)
    })
}

#[test]
fn call_answered() {
    let (record, keys) = run(
        vec![ScriptedReply::Answer(BOOKED)],
        &arrival(BOOKING, false),
    );
    assert_eq!(
        (&*record.outcome, &*record.answer_tag, record.whole),
        ("answered", "t1", true)
    );
    assert_eq!(record.sends, 1);
    assert_eq!(
        uuid::Uuid::parse_str(&keys[0]).unwrap().get_version_num(),
        7
    );
}

#[test]
fn call_retries_with_same_key_after_unknown_and_lost_reply() {
    let script = vec![
        ScriptedReply::Refuse("unknown"),
        ScriptedReply::Close,
        ScriptedReply::Answer(BOOKED),
    ];
    let (record, keys) = run(script, &arrival(BOOKING, false));
    assert_eq!((&*record.outcome, record.sends), ("answered", 3));
    assert_eq!(keys, vec![keys[0].clone(); 3]);
}

#[test]
fn call_stops_after_max_retries() {
    let script = vec![ScriptedReply::Refuse("unknown"); 5];
    let (record, keys) = run(script, &arrival(BOOKING, false));
    assert_eq!(
        (&*record.outcome, record.sends, keys.len()),
        ("unknown", 3, 3)
    );
}

#[test]
fn call_stays_unknown_when_retry_is_not_run() {
    let script = vec![
        ScriptedReply::Refuse("unknown"),
        ScriptedReply::Refuse("not-run"),
        ScriptedReply::Refuse("not-run"),
    ];
    let (record, _) = run(script, &arrival(BOOKING, false));
    assert_eq!((&*record.outcome, record.sends), ("unknown", 3));
}

#[test]
fn call_does_not_retry_not_run_nor_idempotent() {
    let (record, _) = run(
        vec![ScriptedReply::Refuse("not-run")],
        &arrival(BOOKING, false),
    );
    assert_eq!((&*record.outcome, record.sends), ("not-run", 1));
    let (record, keys) = run(
        vec![ScriptedReply::Refuse("unknown")],
        &arrival(MATCH, false),
    );
    assert_eq!((&*record.outcome, record.sends), ("unknown", 1));
    assert_eq!(keys, vec![String::new()]);
}

#[test]
fn call_tries_next_instance() {
    let record = block_on(async {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let refused: Arc<str> = closed.local_addr().unwrap().to_string().into();
        drop(closed);
        let entry = start_scripted(vec![ScriptedReply::Answer(BOOKED)]).await;
        let record = call(vec![refused, entry.addr.clone()], &arrival(BOOKING, false)).await;
        assert_eq!(record.entry, entry.addr);
        record
    });
    assert_eq!((&*record.outcome, record.sends), ("answered", 1));
}

#[test]
fn call_without_any_instance() {
    let record = block_on(call(vec!["127.0.0.1:1".into()], &arrival(BOOKING, false)));
    assert_eq!((&*record.outcome, &*record.reason), ("not-run", "not-sent"));
}

fn stream(tail: &str) -> &'static str {
    let token = |seq: u32| {
        let data = format!(r#"{{"seq":{seq},"text":"t1:{seq} "}}"#);
        format!("id: {seq}\nevent: token\ndata: {data}\n\n")
    };
    let tokens: String = (0..24).map(token).collect();
    Box::leak((tokens + tail).into_boxed_str())
}

#[test]
fn call_streamed_whole() {
    let events = stream("event: done\ndata: {\"request\":\"r1\",\"tokens\":24}\n\n");
    let (record, _) = run(vec![ScriptedReply::Events(events)], &arrival(MATCH, true));
    assert_eq!((&*record.outcome, record.whole), ("answered", true));
}

#[test]
fn call_streamed_token_with_other_id() {
    let events = "id: 1\nevent: token\ndata: {\"seq\":0,\"text\":\"t1:0 \"}\n\n";
    let (record, _) = run(vec![ScriptedReply::Events(events)], &arrival(MATCH, true));
    assert_eq!(
        (&*record.outcome, &*record.reason),
        ("no-reply", "stream-malformed")
    );
}

#[test]
fn call_streamed_without_done() {
    let (record, _) = run(
        vec![ScriptedReply::Events(stream(""))],
        &arrival(MATCH, true),
    );
    assert_eq!(
        (&*record.outcome, &*record.reason),
        ("no-reply", "stream-cut")
    );
}

#[test]
fn call_streamed_failed() {
    let refusal =
        r#"{"outcome":"unknown","reason":"why","request":"r1","detail":"","retryable":true}"#;
    let events = stream(&format!("event: failed\ndata: {refusal}\n\n"));
    let (record, _) = run(vec![ScriptedReply::Events(events)], &arrival(MATCH, true));
    assert_eq!((&*record.outcome, record.whole), ("unknown", false));
}
