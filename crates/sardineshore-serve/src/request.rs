//! The way of one request: checks, stages, sends, answer.

mod plain;
mod streaming;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sardineshore_core::flow::config::{Caller, Name, Route};
use slog::{Logger, info};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{AdmittedRequest, Dispatcher};
use crate::dialect::Dialect;
use crate::http1::RequestHead;
use crate::metrics::Metrics;
use crate::reply::ErrorResponse;
use crate::shutdown::{Phase, Shutdown};
use crate::stages::StageClient;
use crate::state::{SharedState, elapsed_ms};

/// Wait that is asked for while the instance knows no fresh configuration; others may.
const UNKNOWN_RETRY: Duration = Duration::from_millis(250);
/// Wait that is asked for when a pool has no server.
const NO_SERVER_RETRY: Duration = Duration::from_millis(800);
/// Wait that is asked for when a server was full.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// A request as it was read.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Head.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// When its first byte was read.
    pub arrived: Instant,
}

/// What a request's end is made of, for the log.
#[derive(Debug, Default)]
pub struct RequestStats {
    /// Last server that it was sent to.
    pub server: Option<Name>,
    /// Number of sends.
    pub attempts: u32,
    /// Time in stages, milliseconds.
    pub stages_ms: u64,
    /// Time to the first byte, milliseconds.
    pub first_byte_ms: Option<u64>,
    /// Events of a stream passed on.
    pub last_event_id: Option<u64>,
    /// Longest pause between events of a stream, milliseconds.
    pub max_pause_ms: u64,
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A server's answer was passed on whole, with this status.
    Completed(u16),
    /// Refused or failed before anything was passed on.
    Failed(ErrorResponse),
    /// A stream broke off after its head was passed on.
    Aborted(&'static str),
    /// The caller can't be written to.
    CallerDisconnected,
}

/// Serves requests.
#[derive(Debug)]
pub struct RequestHandler {
    state: Rc<SharedState>,
    dispatcher: Dispatcher,
    stages: StageClient,
    dialect: Rc<dyn Dialect>,
    shutdown: Rc<Shutdown>,
    metrics: Rc<Metrics>,
    log: Logger,
}

struct Routed {
    route: std::sync::Arc<Route>,
    caller: Option<Caller>,
}

impl RequestHandler {
    /// Serving with its tools.
    #[must_use]
    pub fn new(
        state: Rc<SharedState>,
        dispatcher: Dispatcher,
        stages: StageClient,
        dialect: Rc<dyn Dialect>,
        shutdown: Rc<Shutdown>,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            state,
            dispatcher,
            stages,
            dialect,
            shutdown,
            metrics,
            log,
        }
    }

    /// The instance's shutdown.
    #[must_use]
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// What is known of the deployment.
    #[must_use]
    pub fn state(&self) -> &SharedState {
        &self.state
    }

    /// Serves one request; returns whether the connection can carry another one.
    pub async fn handle<W: AsyncWrite + Unpin>(
        &self,
        incoming: &IncomingRequest,
        wr: &mut W,
        keep: bool,
    ) -> bool {
        let _active = self.shutdown.track_request();
        self.metrics.active_requests.inc();
        let mut stats = RequestStats::default();
        let keep = keep && !self.shutdown.has_begun();
        let id = incoming
            .head
            .headers
            .get(self.dialect.header_names().request_id);
        let (route, end) = match self.admit(incoming) {
            Ok(routed) => {
                let checked = self.checked(incoming, id.unwrap_or_default(), &routed);
                let end = if routed.route.kind.is_streaming() {
                    self.serve_stream(&checked, wr, keep, &mut stats).await
                } else {
                    self.serve_plain(&checked, wr, keep, &mut stats).await
                };
                (routed.route.name.clone(), end)
            }
            Err(refusal) => (Name::from("-"), Outcome::Failed(refusal)),
        };
        self.metrics.active_requests.dec();
        self.conclude(incoming, id, &route, &end, &stats);
        match end {
            Outcome::Completed(_) => keep,
            Outcome::Failed(refusal) => {
                let echo = id.map(|id| (self.dialect.header_names().request_id, id));
                let written = wr.write_all(&refusal.encode(echo, !keep)).await;
                written.is_ok() && keep
            }
            Outcome::Aborted(_) | Outcome::CallerDisconnected => false,
        }
    }

    fn conclude(
        &self,
        incoming: &IncomingRequest,
        id: Option<&str>,
        route: &str,
        end: &Outcome,
        stats: &RequestStats,
    ) {
        let (status, reason) = match end {
            Outcome::Completed(status) => (*status, "answered"),
            Outcome::Failed(refusal) => (refusal.status(), refusal.reason()),
            Outcome::Aborted(reason) => (0, *reason),
            Outcome::CallerDisconnected => (0, "caller gone"),
        };
        let label = status.to_string();
        let labels = [route, label.as_str()];
        self.metrics.answers.with_label_values(&labels).inc();
        if let Some(first) = stats.first_byte_ms {
            let seconds = Duration::from_millis(first).as_secs_f64();
            self.metrics
                .first_byte
                .with_label_values(&[route])
                .observe(seconds);
        }
        info!(self.log, "request";
            "request" => id.unwrap_or("-"), "route" => route, "status" => status,
            "reason" => reason, "ms" => elapsed_ms(incoming.arrived), "sends" => stats.attempts,
            "stages_ms" => stats.stages_ms, "first_ms" => stats.first_byte_ms,
            "server" => stats.server.as_deref().unwrap_or("-"),
            "last_event" => stats.last_event_id, "pause_ms" => stats.max_pause_ms);
    }

    /// Finds the route and the caller, or says why the request isn't served.
    fn admit(&self, incoming: &IncomingRequest) -> Result<Routed, ErrorResponse> {
        if self.shutdown.phase() == Some(Phase::RefuseAll) {
            return Err(ErrorResponse::NotRun(UNKNOWN_RETRY, "instance stops"));
        }
        let headers = &incoming.head.headers;
        let Some(site) = self.state.config() else {
            return Err(ErrorResponse::NotRun(UNKNOWN_RETRY, "no configuration yet"));
        };
        if headers
            .get(self.dialect.header_names().request_id)
            .is_none()
        {
            return Err(ErrorResponse::Malformed);
        }
        let host = headers.get("host").unwrap_or_default();
        let found = site.route(host, &incoming.head.target);
        let fresh = self.state.keys_are_confirmed();
        let Some(route) = found.cloned() else {
            return Err(if fresh {
                ErrorResponse::NoRoute
            } else {
                ErrorResponse::NotRun(UNKNOWN_RETRY, "configuration not confirmed")
            });
        };
        if route.anonymous {
            return Ok(Routed {
                route,
                caller: None,
            });
        }
        if !fresh {
            return Err(ErrorResponse::NotRun(UNKNOWN_RETRY, "keys not confirmed"));
        }
        let key = headers
            .get("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(str::trim);
        let caller = key.and_then(|key| site.caller(key)).cloned();
        if caller.is_none() {
            return Err(ErrorResponse::UnknownKey);
        }
        Ok(Routed { route, caller })
    }

    fn checked<'a>(
        &self,
        incoming: &'a IncomingRequest,
        id: &'a str,
        routed: &'a Routed,
    ) -> AdmittedRequest<'a> {
        let stated = incoming
            .head
            .headers
            .get(self.dialect.header_names().time_left)
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map(Duration::from_millis);
        let timeout = routed.route.timeout;
        let left = stated.map_or(timeout, |stated| stated.min(timeout));
        AdmittedRequest {
            id,
            head: &incoming.head,
            body: &incoming.body,
            route: &routed.route,
            caller: routed.caller.as_ref(),
            deadline: incoming.arrived + left,
            arrived: incoming.arrived,
        }
    }
}

/// Pool of a request by the route's weights; the same id always goes to the same pool.
fn pool_of(route: &Route, id: &str) -> Option<Name> {
    let total: u64 = route
        .pools
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    let mut point = xxh3_64(id.as_bytes()) % total.max(1);
    for (pool, weight) in &route.pools {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(pool.clone());
        }
        point -= weight;
    }
    route.pools.first().map(|(pool, _)| pool.clone())
}

/// "Not run" with a wait that the caller can follow: at most a third of the time left.
fn not_run(request: &AdmittedRequest<'_>, wait: Duration, reason: &'static str) -> Outcome {
    Outcome::Failed(ErrorResponse::NotRun(
        wait.min(request.time_to_deadline() / 3),
        reason,
    ))
}
