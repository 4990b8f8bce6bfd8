//! Answers of a backend server and their HTTP form.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::Cursor;
use http_types::{Body, Response, StatusCode};
use sardineshore_wire::backend::LoadReport;
use sardineshore_wire::headers;

use super::attempt::Attempt;

/// What the server says of one attempt.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Request that it answers.
    pub request: Arc<str>,
    /// Attempt that it answers.
    pub attempt: Arc<str>,
    /// Stage that it answers.
    pub stage: Arc<str>,
    /// Whether the attempt ran.
    pub ran: bool,
    /// Body.
    pub body: Vec<u8>,
    /// Time that the attempt took.
    pub service: Duration,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl Answer {
    /// The answer to an attempt that did not run.
    #[must_use]
    pub fn not_run(attempt: &Attempt, why: &str) -> Self {
        Self::new(attempt, StatusCode::ServiceUnavailable, false, why.into())
    }

    /// The answer to an attempt that failed after it began.
    #[must_use]
    pub fn failed(attempt: &Attempt, why: &str) -> Self {
        Self::new(attempt, StatusCode::InternalServerError, true, why.into())
    }

    /// The answer to an attempt that ran.
    #[must_use]
    pub fn ran(attempt: &Attempt, body: Vec<u8>) -> Self {
        Self::new(attempt, StatusCode::Ok, true, body)
    }

    /// Sets what the attempt took.
    #[must_use]
    pub fn service(mut self, service: Duration, cached_tokens: u32) -> Self {
        self.service = service;
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
            service: Duration::ZERO,
            cached_tokens: 0,
        }
    }

    /// The reply that carries the answer and a load report.
    #[must_use]
    pub fn reply(&self, report: LoadReport) -> Response {
        let mut res = self.head(report);
        res.set_body(Body::from_bytes(self.body.clone()));
        res.insert_header("content-type", "application/json");
        res
    }

    /// A reply whose body ends before the length that its head promises.
    #[must_use]
    pub fn cut_short(&self, report: LoadReport) -> Response {
        let mut res = self.head(report);
        let half = self.body[..self.body.len() / 2].to_vec();
        res.set_body(Body::from_reader(Cursor::new(half), Some(self.body.len())));
        res.insert_header("connection", "close");
        res
    }

    /// The reply without its body.
    #[must_use]
    pub(super) fn head(&self, mut report: LoadReport) -> Response {
        report.service_us = u64::try_from(self.service.as_micros()).unwrap_or(u64::MAX);
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
