//! An attempt in flight: builds its HTTP request and reports its outcome to routing, quarantine,
//! metrics and totals.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Method, Request, Url};
use sardineshore_core::event::{entry as events, routing};
use sardineshore_core::flow::notices::parse_pause;
use sardineshore_core::{
    AttemptId, AttemptReport, AttemptResult, NotRunReason, SelectedServer, ServerLoad,
    StreamOrigin, UnknownReason,
};
use sardineshore_wire::backend::{CancelRequest, LoadReport};
use sardineshore_wire::headers;
use sardineshore_wire::http::Reply;

use super::{AttemptOutcome, StageCall};
use crate::instance::Instance;
use crate::totals::AttemptCost;

/// Maximum time for a cancellation request to a backend server.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt that counts as in flight until it is finished. Dropping it earlier cancels it.
#[derive(Debug)]
pub struct Attempt<'a> {
    instance: &'a Arc<Instance>,
    call: &'a StageCall<'a>,
    choice: &'a SelectedServer,
    id: AttemptId,
    run_id: Option<Arc<str>>,
    sent_at: Instant,
    service: Duration,
    cached_tokens: u32,
    /// Process that runs the attempt, as far as its replies identify it.
    origin: StreamOrigin,
    is_finished: bool,
}

impl<'a> Attempt<'a> {
    pub(super) fn new(
        instance: &'a Arc<Instance>,
        call: &'a StageCall<'a>,
        choice: &'a SelectedServer,
        run_id: Option<Arc<str>>,
    ) -> Self {
        let sent_at = instance.clock.now();
        instance
            .tables
            .router()
            .record_start(&choice.server, sent_at);
        let id = instance.new_attempt();
        let text = format!(
            "attempt {} of stage {} to server {}",
            id, call.stage.name, choice.server
        );
        instance
            .event_log
            .record_request(&call.job.request, &events::SENT, text);
        Self {
            instance,
            call,
            choice,
            id,
            run_id,
            sent_at,
            service: Duration::ZERO,
            cached_tokens: 0,
            origin: StreamOrigin {
                server: choice.server.clone(),
                ..StreamOrigin::default()
            },
            is_finished: false,
        }
    }

    /// Builds the HTTP request of this attempt. A streamed one resumes at token `resume_from`.
    #[must_use]
    pub fn request(&self, streamed: bool, resume_from: u64) -> Request {
        let job = self.call.job;
        let url = Url::parse(&format!("http://{}/v1/run", self.choice.addr));
        let mut req = Request::new(Method::Post, url.expect("a checked address forms a URL"));
        let remaining = job.remaining(self.instance.clock.now());
        req.insert_header(headers::REQUEST, &*job.request);
        req.insert_header(headers::STAGE, &*self.call.stage.name);
        req.insert_header(headers::ATTEMPT, &*self.id);
        req.insert_header(headers::DEADLINE_MS, remaining.as_millis().to_string());
        if let Some(run_id) = &self.run_id {
            req.insert_header(headers::RUN_ID, &**run_id);
        }
        if streamed {
            req.insert_header("accept", "text/event-stream");
            req.insert_header(headers::RESUME_FROM, resume_from.to_string());
        }
        req.set_body(&self.call.input[..]);
        req.insert_header("content-type", "application/json");
        req
    }

    /// Whether the headers of a reply identify this attempt.
    #[must_use]
    pub fn matches_reply(&self, reply: &Reply) -> bool {
        self.matches_headers(|name| reply.header(name))
    }

    /// Whether the headers that `header` looks up identify this attempt.
    #[must_use]
    pub fn matches_headers<'h>(&self, header: impl Fn(&str) -> &'h str) -> bool {
        header(headers::REQUEST) == &*self.call.job.request
            && header(headers::STAGE) == &*self.call.stage.name
            && header(headers::ATTEMPT) == &*self.id
    }

    /// Finishes the attempt with the outcome of a complete reply.
    pub(super) fn finish_with_reply(mut self, reply: &Reply) -> AttemptOutcome {
        self.record_load(reply.header(headers::LOAD));
        let attempted = if !self.matches_reply(reply) {
            self.record_mismatch()
        } else if reply.status == 200 {
            AttemptOutcome::Answered(reply.body.as_slice().into())
        } else if reply.status == 503 && reply.header(headers::RUN) == "not-run" {
            self.record_pause(reply.header(headers::RETRY_AFTER));
            let detail = format!("{} refused it", self.choice.server);
            AttemptOutcome::not_run(NotRunReason::Overloaded, detail)
        } else {
            let detail = format!("{} answered {}", self.choice.server, reply.status);
            AttemptOutcome::may_have_run(AttemptResult::Failed, UnknownReason::ServerFailed, detail)
        };
        self.finish(attempted)
    }

    /// Logs a reply that belongs to another attempt and returns the outcome for it.
    #[must_use]
    pub fn record_mismatch(&self) -> AttemptOutcome {
        let detail = format!("{} answered another attempt", self.choice.server);
        self.instance
            .event_log
            .warn(&events::ANSWER_MISMATCH, &detail);
        AttemptOutcome::may_have_run(AttemptResult::Lost, UnknownReason::AnswerInvalid, detail)
    }

    /// Process that runs the attempt, as far as its replies identify it.
    #[must_use]
    pub fn origin(&self) -> &StreamOrigin {
        &self.origin
    }

    /// Cancels an attempt whose server may not continue the stream; nothing of its answer is used.
    #[must_use]
    pub fn discard_other_version(self) -> AttemptOutcome {
        let pool = &self.call.stage.pool;
        self.instance
            .metrics
            .policy
            .count_not_continued(pool, &routing::VERSION_MISMATCH);
        let detail = format!(
            "{} has not the software version that began the stream",
            self.choice.server
        );
        self.instance.event_log.record_request(
            &self.call.job.request,
            &routing::VERSION_MISMATCH,
            &*detail,
        );
        AttemptOutcome::not_run(NotRunReason::NoServer, detail)
    }

    /// Records the load report in a reply's header; a header that cannot be parsed is ignored.
    pub fn record_load(&mut self, header: &str) {
        let Ok(report) = serde_json::from_str::<LoadReport>(header) else {
            return;
        };
        self.service = Duration::from_micros(report.service_us);
        self.cached_tokens = report.cached_tokens;
        let figures = load_figures(&report);
        self.origin.incarnation = figures.incarnation;
        self.origin.version.clone_from(&figures.version);
        let now = self.instance.clock.now();
        self.instance.quarantine.record_contact(
            self.instance,
            &self.choice.server,
            report.incarnation,
        );
        self.instance
            .tables
            .router()
            .record_load(&self.choice.server, &figures, now);
    }

    /// Records for how long the server that turned this attempt away wants no others; a header that
    /// cannot be parsed is ignored.
    pub fn record_pause(&self, retry_after: &str) {
        if let Some(pause) = parse_pause(retry_after) {
            let now = self.instance.clock.now();
            let mut router = self.instance.tables.router();
            router.record_pause(&self.choice.server, pause, now);
        }
    }

    /// Finishes the attempt and reports it to routing, metrics and totals. After a timeout or a
    /// lost connection the backend server is asked to cancel it.
    #[must_use]
    pub fn finish(mut self, attempted: AttemptOutcome) -> AttemptOutcome {
        self.is_finished = true;
        self.record_result(attempted.result());
        if matches!(
            attempted.result(),
            AttemptResult::TimedOut | AttemptResult::Lost
        ) {
            self.cancel();
        }
        attempted
    }

    fn record_result(&self, result: AttemptResult) {
        let Self {
            instance,
            call,
            choice,
            ..
        } = self;
        instance
            .quarantine
            .finish_attempt(instance, call.job, choice, result);
        let now = instance.clock.now();
        let latency = now.duration_since(self.sent_at);
        let service = if self.service.is_zero() {
            latency
        } else {
            self.service
        };
        let feedback = AttemptReport {
            result,
            latency,
            service: self.service,
            cached_tokens: self.cached_tokens,
        };
        let deployment = instance.tables.deployment();
        let rate = deployment
            .servers
            .get(&choice.server)
            .map_or(0.0, |server| server.cost);
        instance
            .tables
            .router()
            .record_end(&choice.server, &feedback, now);
        if result == AttemptResult::Answered {
            let mut retries = instance.tables.retries();
            retries.record_service_time(&call.stage.pool, service);
        }
        let cost = AttemptCost {
            extra: call.is_extra,
            service,
            rate,
        };
        instance
            .tables
            .totals()
            .record_attempt(call.job, &call.stage.name, cost);
        let label = format!("{result:?}");
        instance
            .metrics
            .record_attempt(call.job, &call.stage.name, &label, latency);
        let text = format!(
            "attempt {}: {result:?} after {} us",
            self.id,
            latency.as_micros()
        );
        instance
            .event_log
            .record_request(&call.job.request, &events::ATTEMPT_ENDED, text);
    }

    /// Asks the backend server to cancel an idempotent attempt whose result is no longer needed.
    fn cancel(&self) {
        if !self.call.stage.idempotent {
            return;
        }
        self.instance.event_log.record_request(
            &self.call.job.request,
            &routing::ATTEMPT_CANCELLED,
            &*self.id,
        );
        let cancel = CancelRequest {
            request: self.call.job.request.clone(),
            attempt: self.id.clone(),
        };
        let (instance, addr) = (self.instance.clone(), self.choice.addr.clone());
        async_std::task::spawn(async move {
            let url = Url::parse(&format!("http://{addr}/v1/cancel"));
            let mut req = Request::new(Method::Post, url.expect("a checked address forms a URL"));
            req.set_body(serde_json::to_vec(&cancel).expect("a cancellation serializes"));
            let _ = instance.client.send(&addr, req, CANCEL_TIMEOUT).await;
        });
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_result(AttemptResult::Cancelled);
            self.cancel();
        }
    }
}

/// The values of a load report that routing uses.
#[must_use]
pub fn load_figures(report: &LoadReport) -> ServerLoad {
    ServerLoad {
        running: report.running,
        queued: report.queued,
        capacity: report.capacity,
        age: Duration::from_millis(report.age_ms),
        incarnation: report.incarnation,
        leaving: report.leaving,
        version: Some(report.version.clone()).filter(|version| !version.is_empty()),
    }
}
