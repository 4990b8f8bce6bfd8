//! One attempt as it arrives at a backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Request;
use sardineshore_wire::headers;
use serde_json::{Map, Value};

use crate::reply;

/// Priority of an attempt that names none.
const DEFAULT_PRIORITY: u8 = 4;

/// An attempt to run a stage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempt {
    /// Request.
    pub request: Arc<str>,
    /// Attempt.
    pub attempt: Arc<str>,
    /// Stage.
    pub stage: Arc<str>,
    /// Run identifier of a non-idempotent call, or empty.
    pub run_id: Arc<str>,
    /// Tag of the input, or empty.
    pub tag: Arc<str>,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// When nobody waits for the answer any more.
    pub deadline: Option<Instant>,
    /// First token wanted.
    pub resume_from: u64,
    /// Whether the answer is to be streamed.
    pub streamed: bool,
    /// Input of the stage.
    pub input: Map<String, Value>,
}

impl Attempt {
    /// Reads an attempt; the error is a message for the sender.
    pub async fn read(req: &mut Request, now: Instant) -> Result<Self, String> {
        let body = req.body_bytes().await.map_err(|err| err.to_string())?;
        let input: Map<String, Value> =
            serde_json::from_slice(&body).map_err(|err| err.to_string())?;
        let text = |name| Arc::from(reply::header(req, name));
        let number = |name| reply::header(req, name).parse::<u64>().ok();
        let left = number(headers::DEADLINE_MS).map(Duration::from_millis);
        let priority = reply::header(req, headers::PRIORITY).parse();
        Ok(Self {
            request: text(headers::REQUEST),
            attempt: text(headers::ATTEMPT),
            stage: text(headers::STAGE),
            run_id: text(headers::RUN_ID),
            tag: input_text(&input, "tag").into(),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            deadline: left.map(|left| now + left),
            resume_from: number(headers::RESUME_FROM).unwrap_or(0),
            streamed: reply::header(req, "accept").contains("text/event-stream"),
            input,
        })
    }

    /// Whether nobody waits for the answer any more.
    #[must_use]
    pub fn expired(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Whether the input crashes the server that runs it.
    #[must_use]
    pub fn poison(&self) -> bool {
        self.input.get("poison") == Some(&Value::Bool(true))
    }

    /// A text of the input, or an empty text.
    #[must_use]
    pub fn input_text(&self, key: &str) -> &str {
        input_text(&self.input, key)
    }

    /// The stage's output before a kind of server adds its own: the input, with the stage's name
    /// appended to `"stages"`.
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
