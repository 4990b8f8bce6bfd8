//! Streamed answers resume on another engine without a missing or repeated token, and a truncated
//! one never looks complete.

use std::fmt::Write as _;

use async_std::task;
use futures::future::join_all;
use sardineshore_core::{Stage, StageKind};
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_wire::caller::ErrorBody;
use sardineshore_wire::headers;

use crate::support::{Backend, TestEntry};

fn generate() -> Stage {
    Stage {
        kind: StageKind::Generate,
        ..Stage::default()
    }
}

/// Truncates every stream.
fn truncating() -> ServerFaults {
    ServerFaults {
        truncate: 1.0,
        ..ServerFaults::default()
    }
}

/// Sends one token of every stream twice.
fn repeating() -> ServerFaults {
    ServerFaults {
        repeat_answer: 1.0,
        ..ServerFaults::default()
    }
}

/// Events of a stream: names and data, in order.
fn events(body: &[u8]) -> Vec<(String, serde_json::Value)> {
    let text = std::str::from_utf8(body).expect("a stream is text");
    let of = |event: &str, field: &str| {
        let line = event.lines().find_map(|line| line.strip_prefix(field));
        line.unwrap_or_default().trim().to_owned()
    };
    let read = |event: &str| {
        let data = serde_json::from_str(&of(event, "data:")).expect("data is JSON");
        (of(event, "event:"), data)
    };
    text.split("\n\n")
        .filter(|event| !event.is_empty())
        .map(read)
        .collect()
}

/// Text of all tokens; checks their sequence numbers.
fn text(events: &[(String, serde_json::Value)]) -> String {
    let mut text = String::new();
    let tokens = events.iter().filter(|(name, _)| name == "token");
    for (n, (_, data)) in tokens.enumerate() {
        assert_eq!(data["seq"], n);
        write!(text, "{}", data["text"].as_str().expect("a token has text")).unwrap();
    }
    text
}

/// The text that engines generate for a tag.
fn expected_text(tag: &str, tokens: u64) -> String {
    let mut text = String::new();
    for seq in 0..tokens {
        write!(text, "{tag}:{seq} ").unwrap();
    }
    text
}

#[test]
fn stream_truncated_resumed_on_other_server() {
    task::block_on(async {
        let faults = vec![truncating(), repeating()];
        let entry = TestEntry::start("resume", generate(), faults).await;
        let tags: Vec<String> = (0..12).map(|n| format!("t{n}")).collect();
        // Concurrent requests are distributed over both engines.
        let replies = join_all(tags.iter().map(|tag| entry.submit_streamed(tag))).await;
        for (tag, reply) in tags.iter().zip(&replies) {
            let events = events(&reply.body);
            let (last, data) = events.last().expect("a stream has an end");
            assert_eq!(last, "done");
            let tokens = data["tokens"].as_u64().expect("the end counts the tokens");
            assert_eq!(text(&events), expected_text(tag, tokens));
        }
        let started_attempts = entry.backends[0].started_attempts();
        assert!(started_attempts > 0, "no stream met the engine that cuts");
        entry.stop().await;
    });
}

#[test]
fn stream_truncated_on_all_servers_fails() {
    task::block_on(async {
        let entry = TestEntry::start("cuts", generate(), vec![truncating(), truncating()]).await;
        let reply = entry.submit_streamed("t").await;
        let events = events(&reply.body);
        let ends: Vec<&str> = events
            .iter()
            .map(|(name, _)| &**name)
            .filter(|name| *name != "token")
            .collect();
        assert_eq!(ends, ["failed"]);
        let (_, data) = events.last().expect("it has an end");
        let refusal: ErrorBody = serde_json::from_value(data.clone()).expect("a refusal");
        assert_eq!((&*refusal.outcome, refusal.retryable), ("unknown", true));
        text(&events);
        entry.stop().await;
    });
}

/// Guards against a stream that is given up because its server is silent for a while.
#[test]
fn stream_paused_server_waited_for() {
    task::block_on(async {
        let pausing = ServerFaults {
            stream_pause_ms: 1_500,
            ..ServerFaults::default()
        };
        let faults = vec![pausing.clone(), pausing];
        let entry = TestEntry::start("pause", generate(), faults).await;
        let tags: Vec<String> = (0..4).map(|n| format!("t{n}")).collect();
        let replies = join_all(tags.iter().map(|tag| entry.submit_streamed(tag))).await;
        for (tag, reply) in tags.iter().zip(&replies) {
            let events = events(&reply.body);
            let (last, data) = events.last().expect("a stream has an end");
            assert_eq!(last, "done");
            let tokens = data["tokens"].as_u64().expect("the end counts the tokens");
            assert_eq!(text(&events), expected_text(tag, tokens));
        }
        let started_attempts: usize = entry.backends.iter().map(Backend::started_attempts).sum();
        assert_eq!(started_attempts, tags.len());
        entry.stop().await;
    });
}

#[test]
fn stream_truncated_resumed_beside_other_version() {
    task::block_on(async {
        let newer = ServerFaults {
            reported_version: "2".into(),
            ..ServerFaults::default()
        };
        let faults = vec![truncating(), newer.clone(), newer, ServerFaults::default()];
        let entry = TestEntry::start("versions", generate(), faults).await;
        let tags: Vec<String> = (0..12).map(|n| format!("t{n}")).collect();
        let replies = join_all(tags.iter().map(|tag| entry.submit_streamed(tag))).await;
        for (tag, reply) in tags.iter().zip(&replies) {
            let events = events(&reply.body);
            let (last, data) = events.last().expect("a stream has an end");
            assert_eq!(last, "done");
            let tokens = data["tokens"].as_u64().expect("the end counts the tokens");
            assert_eq!(text(&events), expected_text(tag, tokens));
        }
        let started_attempts = entry.backends[0].started_attempts();
        assert!(started_attempts > 0, "no stream met the engine that cuts");
        entry.stop().await;
    });
}

/// A caller can't take a stream up in the middle, so its tries are never joined here.
#[test]
fn stream_sent_again_begins_at_first_token() {
    task::block_on(async {
        let entry = TestEntry::start("again", generate(), vec![ServerFaults::default()]).await;
        let resume = [(headers::RESUME_FROM, "3"), ("last-event-id", "2")];
        let reply = entry.submit_streamed_with("t", &resume).await;
        let events = events(&reply.body);
        let (last, data) = events.last().expect("a stream has an end");
        assert_eq!(last, "done");
        let tokens = data["tokens"].as_u64().expect("the end counts the tokens");
        assert_eq!(text(&events), expected_text("t", tokens));
        entry.stop().await;
    });
}
