//! One attempt of a stage on one backend server, with the last checks before it is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Method, Request, Url};
use sardineshore_core::event::entry as events;
use sardineshore_core::event::routing;
use sardineshore_core::quarantine::CallEnd;
use sardineshore_core::{
    AttemptId, AttemptResult, Choice, Feedback, LoadFigures, NotRunReason, ServerId, Stage,
    UnknownReason,
};
use sardineshore_wire::backend::{Cancel, LoadReport};
use sardineshore_wire::headers;
use sardineshore_wire::http::{ClientError, Conn, Reply, Reuse};

use crate::claims::Claim;
use crate::claims::incarnations::probe;
use crate::instance::Instance;
use crate::job::Job;
use crate::totals::AttemptCost;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// What is sent to a backend server.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Request.
    pub job: &'a Job,
    /// Stage.
    pub stage: &'a Stage,
    /// Input of the stage, a JSON document.
    pub input: Arc<[u8]>,
    /// Whether an earlier attempt of this stage was sent.
    pub extra: bool,
    /// Claim and index of a non-idempotent stage.
    pub claimed: Option<(&'a Claim, u32)>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Attempted {
    /// With the stage's output.
    Answered(Arc<[u8]>),
    /// It provably did not run.
    NotRun {
        /// Reason to tell the caller, if no other attempt follows.
        reason: NotRunReason,
        /// What happened.
        detail: String,
    },
    /// It may have run.
    MayHaveRun {
        /// Result, for routing.
        result: AttemptResult,
        /// Reason to tell the caller.
        reason: UnknownReason,
        /// What happened.
        detail: String,
    },
}

impl Attempted {
    /// Result, for routing and retries.
    #[must_use]
    pub fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(_) => AttemptResult::Answered,
            Self::NotRun { .. } => AttemptResult::Refused,
            Self::MayHaveRun { result, .. } => *result,
        }
    }

    /// An attempt that provably did not run.
    pub fn not_run(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
        }
    }

    /// An attempt that ended without an answer after it was sent.
    pub fn may_have_run(
        result: AttemptResult,
        reason: UnknownReason,
        detail: impl Into<String>,
    ) -> Self {
        Self::MayHaveRun {
            result,
            reason,
            detail: detail.into(),
        }
    }
}

impl From<ClientError> for Attempted {
    fn from(err: ClientError) -> Self {
        let detail = err.to_string();
        match err {
            ClientError::NotSent(_) => Self::not_run(NotRunReason::NoServer, detail),
            ClientError::Lost(_) => {
                Self::may_have_run(AttemptResult::Lost, UnknownReason::ConnectionLost, detail)
            }
            ClientError::TimedOut => Self::may_have_run(
                AttemptResult::TimedOut,
                UnknownReason::DeadlineExceeded,
                detail,
            ),
        }
    }
}

/// An attempt that is counted in flight until it ends; dropped early, it is cancelled.
#[derive(Debug)]
pub struct Attempt<'a> {
    instance: &'a Arc<Instance>,
    call: &'a Call<'a>,
    choice: &'a Choice,
    id: AttemptId,
    run_id: Option<Arc<str>>,
    sent: Instant,
    service: Duration,
    cached_tokens: u32,
    ended: bool,
}

/// Opens a connection, makes the last checks and counts the attempt in flight.
pub async fn begin<'a>(
    instance: &'a Arc<Instance>,
    call: &'a Call<'a>,
    choice: &'a Choice,
) -> Result<(Attempt<'a>, Conn), Attempted> {
    let reuse = if call.stage.idempotent {
        Reuse::Idle
    } else {
        Reuse::Never
    };
    let timeout = call
        .job
        .remaining(instance.clock.now())
        .min(CONNECT_TIMEOUT);
    let checkout = instance.client.checkout(&choice.addr, reuse, timeout);
    let conn = match checkout.await {
        Ok(conn) => conn,
        Err(err) => {
            note_refused(instance, &choice.server);
            return Err(err.into());
        }
    };
    let incarnation = match call.claimed {
        Some(_) => probe(instance, &conn, &choice.addr).await,
        None => 0,
    };
    instance.incarnations.note(&choice.server, incarnation);
    last_check(instance, call, &choice.server)?;
    instance
        .quarantine
        .begin(instance, call.job, &choice.server)?;
    let run_id = claimed_run(call, &choice.server, incarnation).inspect_err(|_| {
        let end = CallEnd::Abandoned;
        instance
            .quarantine
            .end(instance, call.job, &choice.server, end);
    })?;
    Ok((Attempt::new(instance, call, choice, run_id), conn))
}

/// Sends one attempt and waits for its whole answer.
pub async fn dispatch(instance: &Arc<Instance>, call: &Call<'_>, choice: &Choice) -> Attempted {
    let (attempt, conn) = match begin(instance, call, choice).await {
        Ok(begun) => begun,
        Err(attempted) => return attempted,
    };
    let req = attempt.request(false, 0);
    let timeout = call.job.remaining(instance.clock.now());
    let matches = |reply: &Reply| attempt.names(reply);
    match instance.client.exchange(conn, req, timeout, matches).await {
        Ok(reply) => attempt.read(&reply),
        Err(err) => attempt.end(err.into()),
    }
}

/// The checks that must hold at the moment of the send.
fn last_check(instance: &Instance, call: &Call<'_>, server: &ServerId) -> Result<(), Attempted> {
    let refused = |reason, detail| Err(Attempted::not_run(reason, detail));
    if call.job.remaining(instance.clock.now()).is_zero() {
        let detail = "the deadline passed before the send";
        return refused(NotRunReason::DeadlineUnreachable, detail);
    }
    if !instance.gate.may_dispatch() {
        let detail = "the configuration is not confirmed";
        return refused(NotRunReason::ConfigurationUnconfirmed, detail);
    }
    if !instance.tables.router().may_send(server) {
        return refused(NotRunReason::NoServer, "the backend server is leaving");
    }
    Ok(())
}

/// Run identifier of a non-idempotent call, if its claim allows it at this moment.
fn claimed_run(
    call: &Call<'_>,
    server: &ServerId,
    incarnation: u64,
) -> Result<Option<Arc<str>>, Attempted> {
    let Some((claim, stage)) = call.claimed else {
        return Ok(None);
    };
    let run_id = claim.dispatch(stage, server, incarnation);
    let refused =
        || Attempted::not_run(NotRunReason::NoServer, "the claim does not allow the call");
    run_id.map(Some).ok_or_else(refused)
}

/// Tells the router of a connection that could not be made.
fn note_refused(instance: &Instance, server: &ServerId) {
    let now = instance.clock.now();
    let feedback = Feedback {
        result: AttemptResult::Refused,
        ..Feedback::default()
    };
    instance.quarantine.refused(instance, server);
    let mut router = instance.tables.router();
    router.started(server, now);
    router.finished(server, &feedback, now);
}

impl<'a> Attempt<'a> {
    fn new(
        instance: &'a Arc<Instance>,
        call: &'a Call<'a>,
        choice: &'a Choice,
        run_id: Option<Arc<str>>,
    ) -> Self {
        let sent = instance.clock.now();
        instance.tables.router().started(&choice.server, sent);
        let id = instance.new_attempt();
        let text = format!("{} stage {} to {}", id, call.stage.name, choice.server);
        instance
            .journal
            .request(&call.job.request, &events::SENT, text);
        Self {
            instance,
            call,
            choice,
            id,
            run_id,
            sent,
            service: Duration::ZERO,
            cached_tokens: 0,
            ended: false,
        }
    }

    /// The HTTP request of this attempt.
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

    /// Whether a reply belongs to this attempt.
    #[must_use]
    pub fn names(&self, reply: &Reply) -> bool {
        self.named_by(|name| reply.header(name))
    }

    /// Whether headers belong to this attempt.
    #[must_use]
    pub fn named_by<'h>(&self, header: impl Fn(&str) -> &'h str) -> bool {
        header(headers::REQUEST) == &*self.call.job.request
            && header(headers::STAGE) == &*self.call.stage.name
            && header(headers::ATTEMPT) == &*self.id
    }

    /// Ends the attempt by a whole reply.
    fn read(mut self, reply: &Reply) -> Attempted {
        self.read_load(reply.header(headers::LOAD));
        let attempted = if !self.names(reply) {
            self.mismatch()
        } else if reply.status == 200 {
            Attempted::Answered(reply.body.as_slice().into())
        } else if reply.status == 503 && reply.header(headers::RUN) == "not-run" {
            let detail = format!("{} refused it", self.choice.server);
            Attempted::not_run(NotRunReason::Overloaded, detail)
        } else {
            let detail = format!("{} answered {}", self.choice.server, reply.status);
            Attempted::may_have_run(AttemptResult::Failed, UnknownReason::ServerFailed, detail)
        };
        self.end(attempted)
    }

    /// Notes an answer that belongs to another attempt.
    #[must_use]
    pub fn mismatch(&self) -> Attempted {
        let detail = format!("{} answered another attempt", self.choice.server);
        self.instance
            .journal
            .alarm(&events::ANSWER_MISMATCH, &detail);
        Attempted::may_have_run(AttemptResult::Lost, UnknownReason::AnswerInvalid, detail)
    }

    /// Takes in the load that a reply's header reports.
    pub fn read_load(&mut self, header: &str) {
        let Ok(report) = serde_json::from_str::<LoadReport>(header) else {
            return;
        };
        self.service = Duration::from_micros(report.service_us);
        self.cached_tokens = report.cached_tokens;
        let now = self.instance.clock.now();
        self.instance
            .quarantine
            .seen(self.instance, &self.choice.server, report.incarnation);
        self.instance
            .tables
            .router()
            .reported(&self.choice.server, &figures(&report), now);
    }

    /// Ends the attempt and tells routing, metrics and totals.
    #[must_use]
    pub fn end(mut self, attempted: Attempted) -> Attempted {
        self.ended = true;
        self.account(attempted.result());
        if matches!(
            attempted.result(),
            AttemptResult::TimedOut | AttemptResult::Lost
        ) {
            self.cancel();
        }
        attempted
    }

    fn account(&self, result: AttemptResult) {
        let Self {
            instance,
            call,
            choice,
            ..
        } = self;
        instance
            .quarantine
            .ended(instance, call.job, choice, result);
        let now = instance.clock.now();
        let latency = now.duration_since(self.sent);
        let service = if self.service.is_zero() {
            latency
        } else {
            self.service
        };
        let feedback = Feedback {
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
            .finished(&choice.server, &feedback, now);
        if result == AttemptResult::Answered {
            let mut retries = instance.tables.retries();
            retries.answered(&call.stage.pool, service);
        }
        let cost = AttemptCost {
            extra: call.extra,
            service,
            rate,
        };
        instance
            .tables
            .totals()
            .attempt(call.job, &call.stage.name, cost);
        let label = format!("{result:?}");
        instance
            .metrics
            .attempt(call.job, &call.stage.name, &label, latency);
        let text = format!("{} {result:?} after {} us", self.id, latency.as_micros());
        instance
            .journal
            .request(&call.job.request, &events::ATTEMPT_ENDED, text);
    }

    /// Tells the backend server that nobody waits for an idempotent attempt any more.
    fn cancel(&self) {
        if !self.call.stage.idempotent {
            return;
        }
        self.instance.journal.request(
            &self.call.job.request,
            &routing::ATTEMPT_CANCELLED,
            &*self.id,
        );
        let cancel = Cancel {
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
        if !self.ended {
            self.account(AttemptResult::Cancelled);
            self.cancel();
        }
    }
}

/// Figures that routing uses of a load report.
#[must_use]
pub fn figures(report: &LoadReport) -> LoadFigures {
    LoadFigures {
        running: report.running,
        queued: report.queued,
        capacity: report.capacity,
        age: Duration::from_millis(report.age_ms),
        incarnation: report.incarnation,
    }
}
