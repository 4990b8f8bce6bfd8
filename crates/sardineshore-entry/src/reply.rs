//! Replies to callers: status codes, headers and bodies for answered, not run and unknown requests.

use std::sync::Arc;

use async_std::channel::Receiver;
use futures::{StreamExt, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use sardineshore_core::{NotRunReason, UnknownReason};
use sardineshore_wire::caller::{ErrorBody, NotRunScope};
use sardineshore_wire::headers;
use serde::Serialize;

use crate::job::{Job, RequestOutcome};
use crate::stream::StreamEvent;

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";
const RETRY_AFTER_SECONDS: &str = "1";

/// Reply to a request that ended before an answer was streamed.
#[must_use]
pub fn outcome(outcome: &RequestOutcome, request: &str, idempotent: bool) -> Response {
    match outcome {
        RequestOutcome::Answered(body) => answered(body, request),
        RequestOutcome::NotRun {
            reason,
            detail,
            covers,
        } => not_run(*reason, detail, request, covered_sends(*covers, idempotent)),
        RequestOutcome::Unknown { reason, detail } => unknown(*reason, detail, request, idempotent),
    }
}

/// Reply to a request that was not run.
#[must_use]
pub fn not_run(reason: NotRunReason, detail: &str, request: &str, covers: NotRunScope) -> Response {
    let refusal = not_run_refusal(reason, detail, request, covers);
    let mut res = refusal_response(reason.status(), &refusal);
    res.insert_header(headers::COVERS, &*serialized_name(&covers));
    if reason.is_retryable() {
        res.insert_header("retry-after", RETRY_AFTER_SECONDS);
    }
    res
}

/// Complete HTTP response, as sent, to bytes that are not an HTTP request.
#[must_use]
pub fn malformed() -> Vec<u8> {
    let detail = "the bytes are not an HTTP/1.1 request";
    let refusal = not_run_refusal(NotRunReason::BadRequest, detail, "", NotRunScope::Send);
    let body = serde_json::to_string(&refusal).expect("a refusal serializes");
    format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: {JSON}\r\n{}: not-run\r\n{}: {}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        headers::OUTCOME,
        headers::REASON,
        refusal.reason,
        body.len(),
    )
    .into_bytes()
}

/// Reply whose body streams the answer as it is generated.
#[must_use]
pub fn streamed(first: StreamEvent, rest: Receiver<StreamEvent>, job: &Job) -> Response {
    let request = job.request.clone();
    let idempotent = job.pipeline.is_idempotent();
    let events = futures::stream::once(async { first })
        .chain(rest)
        .map(move |progress| {
            Ok::<_, std::io::Error>(encode_event(&progress, &request, idempotent))
        });
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(Box::pin(events).into_async_read(), None));
    res.insert_header("content-type", EVENT_STREAM);
    res.insert_header(headers::REQUEST, &*job.request);
    res
}

/// Serialized name of a unit variant, such as a reason; empty for other values.
#[must_use]
pub fn serialized_name<T: Serialize>(reason: &T) -> Arc<str> {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name.into(),
        _ => "".into(),
    }
}

fn answered(body: &Arc<[u8]>, request: &str) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(&body[..]);
    res.insert_header("content-type", JSON);
    res.insert_header(headers::OUTCOME, "answered");
    res.insert_header(headers::REQUEST, request);
    res
}

fn unknown(reason: UnknownReason, detail: &str, request: &str, idempotent: bool) -> Response {
    refusal_response(
        reason.status(),
        &unknown_refusal(reason, detail, request, idempotent),
    )
}

/// Which sends the outcome "not run" covers. With an idempotent pipeline, each send is a separate
/// request.
fn covered_sends(covers: NotRunScope, idempotent: bool) -> NotRunScope {
    if idempotent {
        NotRunScope::Request
    } else {
        covers
    }
}

fn not_run_refusal(
    reason: NotRunReason,
    detail: &str,
    request: &str,
    covers: NotRunScope,
) -> ErrorBody {
    ErrorBody {
        outcome: "not-run".into(),
        reason: serialized_name(&reason),
        request: request.into(),
        detail: detail.to_owned(),
        covers,
        retryable: reason.is_retryable(),
    }
}

fn unknown_refusal(
    reason: UnknownReason,
    detail: &str,
    request: &str,
    idempotent: bool,
) -> ErrorBody {
    ErrorBody {
        outcome: "unknown".into(),
        reason: serialized_name(&reason),
        request: request.into(),
        detail: detail.to_owned(),
        covers: NotRunScope::Send,
        retryable: idempotent,
    }
}

fn refusal_response(status: u16, refusal: &ErrorBody) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(refusal).expect("a refusal serializes"));
    res.insert_header("content-type", JSON);
    res.insert_header(headers::OUTCOME, &*refusal.outcome);
    res.insert_header(headers::REASON, &*refusal.reason);
    if !refusal.request.is_empty() {
        res.insert_header(headers::REQUEST, &*refusal.request);
    }
    res
}

/// Encodes one server-sent event.
fn encode_event(progress: &StreamEvent, request: &str, idempotent: bool) -> Vec<u8> {
    match progress {
        StreamEvent::Token { seq, text } => {
            let data = serde_json::json!({ "seq": seq, "text": text });
            format!("id: {seq}\nevent: token\ndata: {data}\n\n").into_bytes()
        }
        StreamEvent::Ended(RequestOutcome::Answered(body)) => {
            let data = String::from_utf8_lossy(body);
            format!("event: done\ndata: {data}\n\n").into_bytes()
        }
        StreamEvent::Ended(RequestOutcome::NotRun {
            reason,
            detail,
            covers,
        }) => {
            let covers = covered_sends(*covers, idempotent);
            encode_failure(&not_run_refusal(*reason, detail, request, covers))
        }
        StreamEvent::Ended(RequestOutcome::Unknown { reason, detail }) => {
            encode_failure(&unknown_refusal(*reason, detail, request, idempotent))
        }
    }
}

fn encode_failure(refusal: &ErrorBody) -> Vec<u8> {
    let data = serde_json::to_string(refusal).expect("a refusal serializes");
    format!("event: failed\ndata: {data}\n\n").into_bytes()
}
