//! Attempts to run a stage, parsed from HTTP requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Request;
use sardineshore_wire::headers;
use serde_json::{Map, Value};

use crate::http;

/// Priority of an attempt without a priority header.
const DEFAULT_PRIORITY: u8 = 4;

/// An attempt to run a stage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempt {
    /// Identifier of the caller's request.
    pub request: Arc<str>,
    /// Identifier of the attempt, unique within the request.
    pub attempt: Arc<str>,
    /// Name of the stage to run.
    pub stage: Arc<str>,
    /// Run identifier of a non-idempotent call; empty for idempotent stages.
    pub run_id: Arc<str>,
    /// Value of `"tag"` in the input, or empty.
    pub tag: Arc<str>,
    /// Priority in the queue; 0 is the most urgent.
    pub priority: u8,
    /// Time after which the caller no longer waits, if it sent a deadline.
    pub deadline: Option<Instant>,
    /// Sequence number of the first token to send; above 0 when a stream is resumed.
    pub resume_from: u64,
    /// Whether the caller accepts a stream of server-sent events.
    pub streamed: bool,
    /// JSON input of the stage.
    pub input: Map<String, Value>,
}

impl Attempt {
    /// Parses an attempt; the error is the text of the 400 response.
    pub async fn read(req: &mut Request, now: Instant) -> Result<Self, String> {
        let body = req.body_bytes().await.map_err(|err| err.to_string())?;
        let input: Map<String, Value> =
            serde_json::from_slice(&body).map_err(|err| err.to_string())?;
        let text = |name| Arc::from(http::header(req, name));
        let number = |name| http::header(req, name).parse::<u64>().ok();
        let time_to_deadline = number(headers::DEADLINE_MS).map(Duration::from_millis);
        let priority = http::header(req, headers::PRIORITY).parse();
        Ok(Self {
            request: text(headers::REQUEST),
            attempt: text(headers::ATTEMPT),
            stage: text(headers::STAGE),
            run_id: text(headers::RUN_ID),
            tag: input_text(&input, "tag").into(),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            deadline: time_to_deadline.map(|time_to_deadline| now + time_to_deadline),
            resume_from: number(headers::RESUME_FROM).unwrap_or(0),
            streamed: http::header(req, "accept").contains("text/event-stream"),
            input,
        })
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Whether the input crashes the server process that runs it.
    #[must_use]
    pub fn is_poison(&self) -> bool {
        self.input.get("poison") == Some(&Value::Bool(true))
    }

    /// String value of `key` in the input, or an empty string.
    #[must_use]
    pub fn input_text(&self, key: &str) -> &str {
        input_text(&self.input, key)
    }

    /// Output that every kind of server returns: the input, with the name of the stage appended to
    /// `"stages"`.
    #[must_use]
    pub fn output(&self) -> Map<String, Value> {
        let mut output = self.input.clone();
        let stages = output
            .entry("stages")
            .or_insert_with(|| Value::Array(Vec::new()));
        if let Value::Array(stages) = stages {
            stages.push(Value::from(&*self.stage));
        }
        output
    }
}

fn input_text<'a>(input: &'a Map<String, Value>, key: &str) -> &'a str {
    input.get(key).and_then(Value::as_str).unwrap_or_default()
}
