//! Request handling: from a request that was read to the response that is written.
//!
//! [`RequestHandler`] finds the route and checks the caller's key. It then runs the request's
//! stages, sends the request to a backend server with retries, and forwards the response. Module
//! `plain` forwards complete responses, `streaming` streams of events.

mod plain;
mod streaming;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sardineshore_core::flow::config::{Caller, ConfigIndex, Name, Route};
use sardineshore_core::flow::quarantine::Feature;
use sardineshore_core::flow::time_limit::{LimitSource, TimeLimit};
use slog::{Logger, error, info};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::attempt::{AdmittedRequest, ConnectedServer, Dispatcher};
use crate::containment::Panicked;
use crate::dialect::Dialect;
use crate::http1::RequestHead;
use crate::metrics::Metrics;
use crate::reply::{ErrorResponse, ObservedWriter};
use crate::shutdown::{Phase, Shutdown};
use crate::stages::StageClient;
use crate::state::{SharedState, elapsed_ms, whole_ms};

/// `Retry-After` while this instance shuts down or has no confirmed configuration; another
/// instance may be able to serve the request at once.
pub const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(250);
/// `Retry-After` when servers rejected the request because they are full, or when the instance
/// can't take or repeat it at the moment.
const RETRY_AFTER_REJECTED: Duration = Duration::from_millis(200);

/// Why a request is refused or given up when this instance shuts down.
pub const STOPPING: &str = "instance stops";
/// Why a request is refused whose like have crashed servers.
const QUARANTINED: &str = "quarantined";

/// A request as received from a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Request line and header fields.
    pub head: RequestHead,
    /// Complete body, without transfer coding.
    pub body: Bytes,
    /// When its first byte was read.
    pub arrived_at: Instant,
}

/// Figures of one request for its log line and the metrics.
#[derive(Debug, Default)]
pub struct RequestStats {
    /// Time limit of the request; `None` if it was not admitted.
    pub limit: Option<TimeLimit>,
    /// Version of the configuration under which the request was admitted.
    pub config_version: Option<u64>,
    /// Id of the backend server that the request was last sent to.
    pub server: Option<Name>,
    /// Id of the request that began the stream, if the caller takes one up and names it.
    pub takes_up: Option<Name>,
    /// Software version that the stream needs; `None` if any will do or it isn't known.
    pub version: Option<Name>,
    /// Number of times that the request was sent to a server.
    pub attempts: u32,
    /// Time that the request waited for its stages, in milliseconds.
    pub stages_ms: u64,
    /// Time left to the deadline when its stages began to run last, in milliseconds.
    pub stages_left_ms: Option<u64>,
    /// Why its stages were refused or given up last; `None` if they were not.
    pub stages_refusal: Option<&'static str>,
    /// Time from arrival to the first byte of the response, in milliseconds; `None` if no response
    /// of a server was forwarded.
    pub first_byte_ms: Option<u64>,
    /// Id of the last event that the caller has; `None` if the request is no stream or there is
    /// no such event.
    pub last_event_id: Option<u64>,
    /// Longest time between two forwarded parts of a stream, in milliseconds.
    pub max_pause_ms: u64,
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A server's response with this status was forwarded completely.
    Completed(u16),
    /// Nothing was forwarded; the caller gets this error response.
    Failed(ErrorResponse),
    /// A stream ended early after its head was forwarded; with the reason for the log.
    Aborted(&'static str),
    /// Writing to the caller failed.
    CallerDisconnected,
}

/// Handles requests of callers, from admission to the response.
#[derive(Debug)]
pub struct RequestHandler {
    state: Rc<SharedState>,
    dispatcher: Rc<Dispatcher>,
    stages: StageClient,
    /// Has one more reference for each stream that was not sent to a server yet.
    unsent_streams: Rc<()>,
    dialect: Rc<dyn Dialect>,
    shutdown: Rc<Shutdown>,
    metrics: Rc<Metrics>,
    log: Logger,
}

/// Route of a request and who sent it.
struct RouteMatch {
    route: std::sync::Arc<Route>,
    /// `None` on a route that requires no key.
    caller: Option<Caller>,
    /// Configuration that the route belongs to.
    config: Rc<ConfigIndex>,
}

/// A request in progress, with what its log line and the metrics will tell of it. It is dropped
/// without an end if the caller closes its connection.
struct RequestRecord<'r> {
    handler: &'r RequestHandler,
    incoming: &'r IncomingRequest,
    id: Option<&'r str>,
    /// `-` until a route is found.
    route: Name,
    stats: RequestStats,
    has_ended: bool,
}

impl<'r> RequestRecord<'r> {
    fn new(
        handler: &'r RequestHandler,
        incoming: &'r IncomingRequest,
        id: Option<&'r str>,
    ) -> Self {
        handler.metrics.active_requests.inc();
        Self {
            handler,
            incoming,
            id,
            route: Name::from("-"),
            stats: RequestStats::default(),
            has_ended: false,
        }
    }

    /// Counts the request in the metrics and writes its log line.
    fn end(&mut self, outcome: &Outcome) {
        self.has_ended = true;
        let RequestHandler { metrics, log, .. } = self.handler;
        metrics.active_requests.dec();
        let (status, reason) = match outcome {
            Outcome::Completed(status) => (*status, "answered"),
            Outcome::Failed(error) => (error.status(), error.reason()),
            Outcome::Aborted(reason) => (0, *reason),
            Outcome::CallerDisconnected => (0, "caller gone"),
        };
        let (route, stats) = (&*self.route, &self.stats);
        let status_label = status.to_string();
        let labels = [route, status_label.as_str()];
        metrics.answers.with_label_values(&labels).inc();
        if let Some(first_byte_ms) = stats.first_byte_ms {
            let seconds = Duration::from_millis(first_byte_ms).as_secs_f64();
            let first_byte = metrics.first_byte.with_label_values(&[route]);
            first_byte.observe(seconds);
        }
        info!(log, "request";
            "request" => self.id.unwrap_or("-"), "route" => route, "status" => status,
            "reason" => reason, "ms" => elapsed_ms(self.incoming.arrived_at), "sends" => stats.attempts,
            "stages_ms" => stats.stages_ms, "stages_left_ms" => stats.stages_left_ms,
            "stages" => stats.stages_refusal, "first_ms" => stats.first_byte_ms,
            "server" => stats.server.as_deref().unwrap_or("-"),
            "takes_up" => stats.takes_up.as_deref(), "version" => stats.version.as_deref(),
            "last_event" => stats.last_event_id, "pause_ms" => stats.max_pause_ms,
            "limit_ms" => stats.limit.map(|limit| whole_ms(limit.duration)),
            "limit" => stats.limit.map_or("-", |limit| limit.source.label()),
            "config" => stats.config_version);
    }
}

impl Drop for RequestRecord<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        // The process ends without waiting for streams that outlast its grace period.
        let is_process_ending = !self.handler.shutdown.leaves_time_for(Duration::ZERO);
        self.end(&if is_process_ending {
            Outcome::Aborted("instance ends")
        } else {
            Outcome::CallerDisconnected
        });
    }
}

impl RequestHandler {
    /// Records that a panic ended a caller's connection.
    pub(crate) fn record_panic(&self, panicked: &Panicked) {
        error!(self.log, "panic in a caller's connection"; "fault" => panicked.to_string());
        self.metrics
            .contained_panics
            .with_label_values(&["caller"])
            .inc();
    }

    /// Creates a handler from the parts of the instance that it uses.
    #[must_use]
    pub fn new(
        state: Rc<SharedState>,
        dispatcher: Rc<Dispatcher>,
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
            unsent_streams: Rc::default(),
            dialect,
            shutdown,
            metrics,
            log,
        }
    }

    /// State of the instance's shutdown.
    #[must_use]
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// State that all requests share: the configuration and the known servers.
    #[must_use]
    pub fn state(&self) -> &SharedState {
        &self.state
    }

    /// Handles one request and writes its response to `wr`.
    ///
    /// `keep_alive` tells whether the caller wants to reuse its connection. Returns whether the
    /// connection can carry another request.
    pub async fn handle<W: AsyncWrite + Unpin>(
        &self,
        incoming: &IncomingRequest,
        wr: &mut W,
        keep_alive: bool,
    ) -> bool {
        let _active = self.shutdown.track_request();
        let keep_alive = keep_alive && !self.shutdown.has_begun();
        let id = incoming
            .head
            .headers
            .get(self.dialect.header_names().request_id);
        let mut record = RequestRecord::new(self, incoming, id);
        let outcome = match self.admit(incoming) {
            Ok(matched) => {
                let admitted = self.admitted_request(incoming, id.unwrap_or_default(), &matched);
                record.route = matched.route.name.clone();
                record.stats.limit = Some(admitted.limit);
                record.stats.config_version = Some(admitted.config_version);
                let outcome = if let Some(refused) = self.refuse_on_arrival(&admitted) {
                    refused
                } else {
                    self.handle_admitted(&admitted, wr, keep_alive, &mut record.stats)
                        .await
                };
                let is_not_run = matches!(outcome, Outcome::Failed(ErrorResponse::NotRun(..)));
                if let Some(trial) = admitted.trial.get().filter(|_| is_not_run) {
                    self.dispatcher.crashes().record_trial_not_run(trial);
                }
                outcome
            }
            Err(error) => Outcome::Failed(error),
        };
        record.end(&outcome);
        match outcome {
            Outcome::Completed(_) => keep_alive,
            Outcome::Failed(error) => {
                let echo = id.map(|id| (self.dialect.header_names().request_id, id));
                let written = wr.write_all(&error.encode(echo, !keep_alive)).await;
                written.is_ok() && keep_alive
            }
            Outcome::Aborted(_) | Outcome::CallerDisconnected => false,
        }
    }

    /// Handles an admitted request until its outcome is decided, or until the process is about to end.
    async fn handle_admitted<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        wr: &mut W,
        keep_alive: bool,
        stats: &mut RequestStats,
    ) -> Outcome {
        let is_streaming = request.route.kind.is_streaming();
        if !is_streaming && !self.shutdown.leaves_time_for(request.time_to_deadline()) {
            return not_run(request, RETRY_AFTER_UNREADY, STOPPING);
        }
        let has_written = Cell::new(false);
        let wr = &mut ObservedWriter::new(wr, &has_written);
        let ended = {
            let handled = async {
                if is_streaming {
                    self.handle_stream(request, wr, keep_alive, stats).await
                } else {
                    self.handle_plain(request, wr, keep_alive, stats).await
                }
            };
            let process_ends = async {
                self.shutdown.wait_final_responses().await;
                if has_written.get() {
                    // The response goes on for as long as the process does.
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                biased;
                outcome = handled => Some(outcome),
                () = process_ends => None,
            }
        };
        match ended {
            Some(outcome) => outcome,
            None if stats.attempts == 0 => not_run(request, RETRY_AFTER_UNREADY, STOPPING),
            None => Outcome::Failed(ErrorResponse::OutcomeUnknown(STOPPING)),
        }
    }

    /// Outcome of a request that is refused before its stages run, as its like are quarantined; `None`
    /// if it may be sent, if only as a trial.
    fn refuse_on_arrival(&self, request: &AdmittedRequest<'_>) -> Option<Outcome> {
        let crashes = self.dispatcher.crashes();
        if crashes.is_trial_due(&request.features) {
            return None;
        }
        self.refuse_quarantined(request, None)
    }

    /// Outcome of a request that is refused when it would be sent for the first time; `None` if it may
    /// be sent, which makes it a trial if its like are quarantined.
    async fn refuse_first_send(&self, request: &AdmittedRequest<'_>) -> Option<Outcome> {
        let crashes = self.dispatcher.crashes();
        if request.trial.get().is_none() {
            let claimed = crashes.claim_trial(request.id, &request.features).await;
            request.trial.set(claimed);
            if claimed.is_some() {
                return None;
            }
        }
        // A trial is sent once, even if the server turns it away.
        self.refuse_quarantined(request, None)
    }

    /// Outcome of a request that may not be sent to servers, as its like have crashed them; `None`
    /// if it may. `lost` tells why an earlier attempt was lost, after which it may have run.
    fn refuse_quarantined(
        &self,
        request: &AdmittedRequest<'_>,
        lost: Option<&'static str>,
    ) -> Option<Outcome> {
        let refusal = self.dispatcher.crashes().refusal(&request.features)?;
        self.metrics.quarantined.inc();
        Some(match lost {
            Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
            None => not_run(request, refusal.retry_after, QUARANTINED),
        })
    }

    /// Logs an attempt that brought no complete response, and finds out whether the server crashed.
    async fn record_lost_attempt(
        &self,
        request: &AdmittedRequest<'_>,
        connected: &ConnectedServer,
        reason: &str,
    ) {
        let prompt = (request.head.headers).get(self.dialect.header_names().prompt_parts);
        info!(self.log, "attempt lost";
            "request" => request.id, "server" => &*connected.server.id, "reason" => reason,
            "ms" => whole_ms(connected.attempt.elapsed()),
            "output" => connected.attempt.has_output(), "prompt" => prompt.unwrap_or("-"));
        let attempt = &connected.attempt;
        if attempt.has_lost_connection() && !attempt.is_sound() {
            let (server, sent_at) = (&connected.server, attempt.started_at());
            self.dispatcher
                .crashes()
                .record_lost(server, &request.features, sent_at)
                .await;
        }
    }

    /// Finds the route and checks the caller's key; fails with the error response if the request
    /// can't be handled.
    fn admit(&self, incoming: &IncomingRequest) -> Result<RouteMatch, ErrorResponse> {
        if self.shutdown.phase() == Some(Phase::RefuseAll) {
            return Err(ErrorResponse::NotRun(RETRY_AFTER_UNREADY, STOPPING));
        }
        let headers = &incoming.head.headers;
        let Some(config) = self.state.config() else {
            return Err(ErrorResponse::NotRun(
                RETRY_AFTER_UNREADY,
                "no configuration yet",
            ));
        };
        if headers
            .get(self.dialect.header_names().request_id)
            .is_none()
        {
            return Err(ErrorResponse::Malformed);
        }
        let host = headers.get("host").unwrap_or_default();
        let found = config.route(host, &incoming.head.target);
        let confirmed = self.state.keys_are_confirmed();
        let Some(route) = found.cloned() else {
            return Err(if confirmed {
                ErrorResponse::NoRoute
            } else {
                // A newer configuration may have the route.
                ErrorResponse::NotRun(RETRY_AFTER_UNREADY, "configuration not confirmed")
            });
        };
        if route.anonymous {
            return Ok(RouteMatch {
                route,
                caller: None,
                config,
            });
        }
        if !confirmed {
            return Err(ErrorResponse::NotRun(
                RETRY_AFTER_UNREADY,
                "keys not confirmed",
            ));
        }
        if !config.requires_keys() {
            return Ok(RouteMatch {
                route,
                caller: None,
                config,
            });
        }
        let key = headers
            .get("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(str::trim);
        let caller = key.and_then(|key| config.caller(key)).cloned();
        if caller.is_none() {
            return Err(ErrorResponse::UnknownKey);
        }
        Ok(RouteMatch {
            route,
            caller,
            config,
        })
    }

    /// Joins an admitted request with its route and its deadline: the route's timeout, or the
    /// shorter time that the caller allows.
    fn admitted_request<'a>(
        &self,
        incoming: &'a IncomingRequest,
        id: &'a str,
        matched: &'a RouteMatch,
    ) -> AdmittedRequest<'a> {
        let caller_timeout = incoming
            .head
            .headers
            .get(self.dialect.header_names().time_left)
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map(Duration::from_millis);
        let is_shortened = matched.config.has_shortened_timeout(&matched.route.name);
        let limit = TimeLimit::new(matched.route.timeout, is_shortened, caller_timeout);
        let customer = matched.caller.as_ref().map(|caller| &*caller.customer);
        let features = self.features(incoming, customer.unwrap_or_default());
        AdmittedRequest {
            id,
            head: &incoming.head,
            body: &incoming.body,
            route: &matched.route,
            caller: matched.caller.as_ref(),
            limit,
            caller_waits: caller_timeout,
            config_version: matched.config.version(),
            deadline: incoming.arrived_at + limit.duration,
            arrived_at: incoming.arrived_at,
            features,
            trial: Cell::default(),
        }
    }

    /// Features of a request: the shared parts of its prompt, and the request as a whole.
    fn features(&self, incoming: &IncomingRequest, customer: &str) -> Vec<Feature> {
        let IncomingRequest { head, body, .. } = incoming;
        let prompt = head.headers.get(self.dialect.header_names().prompt_parts);
        let mut parts = prompt.map_or_else(Vec::new, |text| self.dialect.parse_prompt(text));
        // The last part belongs to the request itself or to its session.
        parts.pop();
        let mut features: Vec<Feature> = parts
            .iter()
            .map(|part| xxh3_64(part.id.as_bytes()))
            .collect();
        let caller = format!("{}\n{}\n{customer}", head.method, head.target);
        features.push(xxh3_64_with_seed(body, xxh3_64(caller.as_bytes())));
        features
    }
}

/// Error response to a request that may have run and whose deadline has passed.
fn deadline_exceeded(request: &AdmittedRequest<'_>) -> ErrorResponse {
    let is_shortened = request.limit.source == LimitSource::ShortenedRoute;
    ErrorResponse::DeadlineExceeded(if is_shortened {
        "shortened time over"
    } else {
        "time over"
    })
}

/// Outcome of a request that has not run. The caller is asked to wait for at most a third of the
/// time to the deadline, so that it can still send the request again.
fn not_run(request: &AdmittedRequest<'_>, retry_after: Duration, reason: &'static str) -> Outcome {
    Outcome::Failed(ErrorResponse::NotRun(
        retry_after.min(request.time_to_deadline() / 3),
        reason,
    ))
}

/// Outcome of a request that has not run and that no further attempt would serve: the caller is asked
/// to wait until its deadline has passed.
fn not_run_finally(request: &AdmittedRequest<'_>, reason: &'static str) -> Outcome {
    Outcome::Failed(ErrorResponse::NotRun(request.time_to_deadline(), reason))
}
