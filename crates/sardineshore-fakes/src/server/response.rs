//! Responses to attempts, and their conversion to HTTP.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::Cursor;
use http_types::{Body, Response, StatusCode};
use sardineshore_wire::backend::LoadReport;
use sardineshore_wire::headers;

use super::attempt::Attempt;

/// Response to one attempt.
#[derive(Debug, Clone)]
pub struct AttemptResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Identifier of the request, echoed in a header.
    pub request: Arc<str>,
    /// Identifier of the attempt, echoed in a header.
    pub attempt: Arc<str>,
    /// Name of the stage, echoed in a header.
    pub stage: Arc<str>,
    /// Whether the attempt ran, as a header tells the caller.
    pub ran: bool,
    /// Response body: the JSON output of the stage, or an error text.
    pub body: Vec<u8>,
    /// Service time of the attempt.
    pub service_time: Duration,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl AttemptResponse {
    /// Creates the 503 response to an attempt that did not run.
    #[must_use]
    pub fn not_run(attempt: &Attempt, reason: &str) -> Self {
        Self::new(
            attempt,
            StatusCode::ServiceUnavailable,
            false,
            reason.into(),
        )
    }

    /// Creates the 500 response to an attempt that failed after it began.
    #[must_use]
    pub fn failed(attempt: &Attempt, reason: &str) -> Self {
        Self::new(
            attempt,
            StatusCode::InternalServerError,
            true,
            reason.into(),
        )
    }

    /// Creates the 200 response to an attempt that ran.
    #[must_use]
    pub fn ran(attempt: &Attempt, body: Vec<u8>) -> Self {
        Self::new(attempt, StatusCode::Ok, true, body)
    }

    /// Sets the service time and the number of cached prompt tokens.
    #[must_use]
    pub fn service_time(mut self, service_time: Duration, cached_tokens: u32) -> Self {
        self.service_time = service_time;
        self.cached_tokens = cached_tokens;
        self
    }

    fn new(attempt: &Attempt, status: StatusCode, ran: bool, body: Vec<u8>) -> Self {
        Self {
            status,
            request: attempt.request.clone(),
            attempt: attempt.attempt.clone(),
            stage: attempt.stage.clone(),
            ran,
            body,
            service_time: Duration::ZERO,
            cached_tokens: 0,
        }
    }

    /// Converts to an HTTP response with a load report.
    #[must_use]
    pub fn http_response(&self, report: LoadReport) -> Response {
        let mut res = self.head(report);
        res.set_body(Body::from_bytes(self.body.clone()));
        res.insert_header("content-type", "application/json");
        res
    }

    /// Converts to an HTTP response whose body is shorter than its `Content-Length`.
    #[must_use]
    pub fn truncated_http_response(&self, report: LoadReport) -> Response {
        let mut res = self.head(report);
        let half = self.body[..self.body.len() / 2].to_vec();
        res.set_body(Body::from_reader(Cursor::new(half), Some(self.body.len())));
        res.insert_header("connection", "close");
        res
    }

    /// Converts to an HTTP response without a body.
    #[must_use]
    pub(super) fn head(&self, mut report: LoadReport) -> Response {
        report.service_us = u64::try_from(self.service_time.as_micros()).unwrap_or(u64::MAX);
        report.cached_tokens = self.cached_tokens;
        let load = serde_json::to_string(&report).expect("a load report serializes");
        let mut res = Response::new(self.status);
        res.insert_header(headers::REQUEST, &*self.request);
        res.insert_header(headers::ATTEMPT, &*self.attempt);
        res.insert_header(headers::STAGE, &*self.stage);
        res.insert_header(headers::RUN, if self.ran { "ran" } else { "not-run" });
        res.insert_header(headers::LOAD, load);
        res
    }
}
