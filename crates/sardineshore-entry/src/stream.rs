//! Streamed answers: forwards numbered tokens to the caller. After a failure, the next attempt on
//! another backend server of the same software version resumes where the stream stopped.

use std::sync::Arc;

use async_std::channel::Sender;
use async_std::io::ReadExt;
use async_std::io::prelude::BufReadExt;
use http_types::Response;
use sardineshore_core::{AttemptResult, NotRunReason, SelectedServer, StreamOrigin, UnknownReason};
use sardineshore_wire::backend::StreamItem;
use sardineshore_wire::headers;
use sardineshore_wire::http::header;

use crate::dispatch::{Attempt, AttemptOutcome, StageCall, start_attempt};
use crate::instance::Instance;
use crate::job::RequestOutcome;

/// Maximum length of a line in a backend server's event stream.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// An event of a streamed reply to a caller.
#[derive(Debug, Clone)]
pub enum StreamEvent {
    /// One token of the answer.
    Token {
        /// Sequence number, from 0 without gaps.
        seq: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The request's outcome; always the last event.
    Ended(RequestOutcome),
}

/// Channel to the caller, with the sequence number of the next token and the process that began the
/// answer.
#[derive(Debug)]
pub struct TokenSink {
    tx: Sender<StreamEvent>,
    next_seq: u64,
    origin: StreamOrigin,
}

impl TokenSink {
    /// Creates a sink for an answer of which no token was sent yet.
    #[must_use]
    pub fn new(tx: Sender<StreamEvent>) -> Self {
        Self {
            tx,
            next_seq: 0,
            origin: StreamOrigin::default(),
        }
    }

    /// Sequence number of the next token.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Process that began the answer; `None` while no token was sent.
    #[must_use]
    pub fn origin(&self) -> Option<&StreamOrigin> {
        (self.next_seq > 0).then_some(&self.origin)
    }

    /// Begins or continues the answer with the tokens of a process; returns false if it may not
    /// continue what the caller already has.
    fn accept_origin(&mut self, origin: &StreamOrigin) -> bool {
        if self.next_seq == 0 {
            self.origin = origin.clone();
            return true;
        }
        self.origin.may_continue_at(origin)
    }

    /// Processes an item of a backend server's stream. Repeated tokens are dropped and a gap is an
    /// error. Returns the number of tokens when the answer is complete.
    async fn accept(&mut self, item: StreamItem) -> Result<Option<u64>, String> {
        match item {
            StreamItem::Token { seq, .. } if seq < self.next_seq => Ok(None),
            StreamItem::Token { seq, text } if seq == self.next_seq => {
                self.next_seq += 1;
                let sent = self.tx.send(StreamEvent::Token { seq, text }).await;
                sent.map(|()| None).map_err(|_| "the caller is gone".into())
            }
            StreamItem::Token { seq, .. } => {
                Err(format!("token {seq} came before {}", self.next_seq))
            }
            StreamItem::Done { tokens } if tokens == self.next_seq => Ok(Some(tokens)),
            StreamItem::Done { tokens } => {
                Err(format!("{} of {tokens} tokens came", self.next_seq))
            }
        }
    }
}

/// Sends one attempt and forwards its tokens to `sink`. The answer is complete only when the
/// backend server sends the item that ends the stream.
pub async fn dispatch_streamed(
    instance: &Arc<Instance>,
    call: &StageCall<'_>,
    choice: &SelectedServer,
    sink: &mut TokenSink,
) -> AttemptOutcome {
    let (mut attempt, conn) = match start_attempt(instance, call, choice).await {
        Ok(started) => started,
        Err(attempted) => return attempted,
    };
    let req = attempt.request(true, sink.next_seq());
    let timeout = call.job.remaining(instance.clock.now());
    let mut head = match instance.client.stream(conn, req, timeout).await {
        Ok(head) => head,
        Err(err) => return attempt.finish(err.into()),
    };
    attempt.record_load(header(&head, headers::LOAD));
    if let Some(attempted) = check_head(&attempt, &head) {
        return attempt.finish(attempted);
    }
    if !sink.accept_origin(attempt.origin()) {
        return attempt.discard_other_version();
    }
    let left = call.job.remaining(instance.clock.now());
    let read = read_items(&mut head, sink);
    let attempted = match async_std::future::timeout(left, read).await {
        Ok(Ok(tokens)) => {
            let body = serde_json::json!({ "request": &*call.job.request, "tokens": tokens });
            AttemptOutcome::Answered(body.to_string().into_bytes().into())
        }
        Ok(Err(detail)) => {
            AttemptOutcome::may_have_run(AttemptResult::Lost, UnknownReason::AnswerInvalid, detail)
        }
        Err(_) => AttemptOutcome::may_have_run(
            AttemptResult::TimedOut,
            UnknownReason::DeadlineExceeded,
            "the stream did not end in time",
        ),
    };
    attempt.finish(attempted)
}

fn check_head(attempt: &Attempt<'_>, head: &Response) -> Option<AttemptOutcome> {
    if !attempt.matches_headers(|name| header(head, name)) {
        return Some(attempt.record_mismatch());
    }
    let status = u16::from(head.status());
    if status == 503 && header(head, headers::RUN) == "not-run" {
        attempt.record_pause(header(head, headers::RETRY_AFTER));
        let detail = "the backend server refused it";
        return Some(AttemptOutcome::not_run(NotRunReason::Overloaded, detail));
    }
    (status != 200).then(|| {
        let detail = format!("the backend server answered {status}");
        AttemptOutcome::may_have_run(AttemptResult::Failed, UnknownReason::ServerFailed, detail)
    })
}

async fn read_items(head: &mut Response, sink: &mut TokenSink) -> Result<u64, String> {
    let mut body = head.take_body();
    let mut line = Vec::new();
    loop {
        line.clear();
        let mut limited = (&mut body).take(MAX_LINE_BYTES as u64 + 1);
        let read = limited.read_until(b'\n', &mut line).await;
        if read.map_err(|err| err.to_string())? == 0 {
            return Err("the stream was cut short".into());
        }
        if line.len() > MAX_LINE_BYTES {
            return Err("a line of the stream is too long".into());
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        let item = serde_json::from_slice(data).map_err(|err| err.to_string())?;
        if let Some(tokens) = sink.accept(item).await? {
            return Ok(tokens);
        }
    }
}
