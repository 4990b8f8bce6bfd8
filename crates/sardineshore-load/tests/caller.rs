//! Callers against a scripted entry instance: repeats, balancing, streams.

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
enum Step {
    Answer(&'static str),
    Refuse(&'static str),
    Close,
    Events(&'static str),
}

/// Entry instance that replies by script and notes the keys that it was sent.
struct Scripted {
    addr: Arc<str>,
    keys: Arc<Mutex<Vec<String>>>,
}

async fn scripted(script: Vec<Step>) -> Scripted {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string().into();
    let keys = Arc::new(Mutex::new(Vec::new()));
    let noted = keys.clone();
    task::spawn(async move {
        for step in script {
            let (stream, _) = listener.accept().await.unwrap();
            let noted = noted.clone();
            let _ = async_h1::accept(stream, |req| {
                let reply = reply(step, &req, &noted);
                async move { reply }
            })
            .await;
        }
    });
    Scripted { addr, keys }
}

fn reply(step: Step, req: &Request, keys: &Mutex<Vec<String>>) -> http_types::Result<Response> {
    let key = req.header(headers::IDEMPOTENCY_KEY);
    let key = key.map_or(String::new(), |key| key.last().to_string());
    keys.lock().unwrap().push(key);
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header("connection", "close");
    res.insert_header(headers::REQUEST, "r1");
    match step {
        Step::Answer(body) => {
            res.insert_header(headers::OUTCOME, "answered");
            res.set_body(body);
        }
        Step::Refuse(outcome) => {
            let body = format!(
                r#"{{"outcome":"{outcome}","reason":"why","request":"r1","detail":"","retryable":false}}"#
            );
            res.set_status(StatusCode::BadGateway);
            res.insert_header(headers::OUTCOME, outcome);
            res.set_body(body);
        }
        Step::Events(body) => {
            res.set_body(body);
            res.insert_header("content-type", "text/event-stream");
        }
        Step::Close => return Err(http_types::Error::from_str(500, "closed by script")),
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
            repeats: 2,
            ..CallerSettings::default()
        },
        clock: Arc::new(SystemClock),
    };
    callers.call(arrival, Instant::now()).await
}

fn run(script: Vec<Step>, arrival: &Arrival) -> (CallRecord, Vec<String>) {
    block_on(async {
        let entry = scripted(script).await;
        let told = call(vec![entry.addr.clone()], arrival).await;
        let keys = entry.keys.lock().unwrap().clone();
        (told, keys)
    })
}

#[test]
fn call_answered() {
    let (told, keys) = run(vec![Step::Answer(BOOKED)], &arrival(BOOKING, false));
    assert_eq!(
        (&*told.outcome, &*told.answer_tag, told.whole),
        ("answered", "t1", true)
    );
    assert_eq!(told.sends, 1);
    assert_eq!(
        uuid::Uuid::parse_str(&keys[0]).unwrap().get_version_num(),
        7
    );
}

#[test]
fn call_repeats_same_key_after_unknown_and_lost_reply() {
    let script = vec![Step::Refuse("unknown"), Step::Close, Step::Answer(BOOKED)];
    let (told, keys) = run(script, &arrival(BOOKING, false));
    assert_eq!((&*told.outcome, told.sends), ("answered", 3));
    assert_eq!(keys, vec![keys[0].clone(); 3]);
}

#[test]
fn call_stops_after_bounded_repeats() {
    let script = vec![Step::Refuse("unknown"); 5];
    let (told, keys) = run(script, &arrival(BOOKING, false));
    assert_eq!((&*told.outcome, told.sends, keys.len()), ("unknown", 3, 3));
}

#[test]
fn call_stays_unknown_when_repeat_is_not_run() {
    let script = vec![
        Step::Refuse("unknown"),
        Step::Refuse("not-run"),
        Step::Refuse("not-run"),
    ];
    let (told, _) = run(script, &arrival(BOOKING, false));
    assert_eq!((&*told.outcome, told.sends), ("unknown", 3));
}

#[test]
fn call_does_not_repeat_not_run_nor_idempotent() {
    let (told, _) = run(vec![Step::Refuse("not-run")], &arrival(BOOKING, false));
    assert_eq!((&*told.outcome, told.sends), ("not-run", 1));
    let (told, keys) = run(vec![Step::Refuse("unknown")], &arrival(MATCH, false));
    assert_eq!((&*told.outcome, told.sends), ("unknown", 1));
    assert_eq!(keys, vec![String::new()]);
}

#[test]
fn call_goes_on_to_next_instance() {
    let told = block_on(async {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let refused: Arc<str> = closed.local_addr().unwrap().to_string().into();
        drop(closed);
        let entry = scripted(vec![Step::Answer(BOOKED)]).await;
        let told = call(vec![refused, entry.addr.clone()], &arrival(BOOKING, false)).await;
        assert_eq!(told.entry, entry.addr);
        told
    });
    assert_eq!((&*told.outcome, told.sends), ("answered", 1));
}

#[test]
fn call_without_any_instance() {
    let told = block_on(call(vec!["127.0.0.1:1".into()], &arrival(BOOKING, false)));
    assert_eq!((&*told.outcome, &*told.reason), ("not-run", "not-sent"));
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
    let (told, _) = run(vec![Step::Events(events)], &arrival(MATCH, true));
    assert_eq!((&*told.outcome, told.whole), ("answered", true));
}

#[test]
fn call_streamed_token_with_other_id() {
    let events = "id: 1\nevent: token\ndata: {\"seq\":0,\"text\":\"t1:0 \"}\n\n";
    let (told, _) = run(vec![Step::Events(events)], &arrival(MATCH, true));
    assert_eq!(
        (&*told.outcome, &*told.reason),
        ("no-reply", "stream-malformed")
    );
}

#[test]
fn call_streamed_without_done() {
    let (told, _) = run(vec![Step::Events(stream(""))], &arrival(MATCH, true));
    assert_eq!((&*told.outcome, &*told.reason), ("no-reply", "stream-cut"));
}

#[test]
fn call_streamed_failed() {
    let refusal =
        r#"{"outcome":"unknown","reason":"why","request":"r1","detail":"","retryable":true}"#;
    let events = stream(&format!("event: failed\ndata: {refusal}\n\n"));
    let (told, _) = run(vec![Step::Events(events)], &arrival(MATCH, true));
    assert_eq!((&*told.outcome, told.whole), ("unknown", false));
}
