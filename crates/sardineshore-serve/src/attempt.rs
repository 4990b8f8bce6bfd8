//! Attempts: sending a request to one backend server.
//!
//! [`Dispatcher`] selects the server, gets a connection to it and sends the request. [`Attempt`]
//! reports the start and the outcome to the metrics and to the selection of servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Caller, Name, Route, request_rank};
use sardineshore_core::flow::quarantine::Feature;
use sardineshore_core::flow::selection::{AttemptOutcome, SelectedServer, SelectionRequest};
use sardineshore_core::flow::speed::PACE_WINDOW;
use sardineshore_core::flow::time_limit::TimeLimit;
use slog::{Logger, info};

use crate::activity::ActivityGuard;
use crate::crashes::CrashMonitor;
use crate::dialect::Dialect;
use crate::http1::{RequestHead, is_end_to_end, put_header};
use crate::limits::LimitExchange;
use crate::metrics::Metrics;
use crate::notices::NoticeReader;
use crate::peers::Peers;
use crate::state::SharedState;
use crate::stream_versions::VersionRecords;
use crate::upstream::{Conn, ConnectionPool, ExchangeError, OutgoingRequest, Response};

/// Maximum time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum idle time of a connection that is reused for a request that must not be retried. It is
/// short, because a server may close an idle connection while the request is on its way.
const MAX_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(900);
/// Maximum idle time of a connection that is reused for a retryable request.
const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(3);
/// Time for which a stream must go on after its first output to show that its request doesn't crash
/// the server.
const SOUND_OUTPUT_TIME: Duration = Duration::from_millis(500);
/// Events of a stream from which on their mean distance says something about the server's speed.
const MIN_PACE_EVENTS: u32 = 20;
/// Time between two events from which on it is a pause, which says nothing about the speed.
const MAX_EVENT_GAP: Duration = Duration::from_millis(400);
/// `Retry-After` when a pool has no usable server.
pub const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(800);
/// Share of the time left for which a request waits until a server takes it, as a divisor.
const TURN_PATIENCE_DIVISOR: u32 = 4;
/// Time after the start of a turn at which a request that waits for it is sent.
const TURN_MARGIN: Duration = Duration::from_millis(2);
/// Part of a server's connection limit that all instances together use, in percent.
const CONNECTION_PERCENT: usize = 85;

/// Number of connections that one of several instances may have to a server: an equal share of the
/// server's limit, at least one.
#[must_use]
pub fn connection_share(limit: u32, instances: usize) -> usize {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let share = limit.saturating_mul(CONNECTION_PERCENT) / 100 / instances.max(1);
    share.max(1)
}

/// A request of a caller that has passed admission, with its route and deadline.
#[derive(Debug)]
pub struct AdmittedRequest<'a> {
    /// Id that the caller gave to this request; responses repeat it.
    pub id: &'a str,
    /// Request line and header fields as received.
    pub head: &'a RequestHead,
    /// Complete body, without transfer coding.
    pub body: &'a [u8],
    /// Route that the request matches.
    pub route: &'a Route,
    /// Who sent the request; `None` on a route that requires no key.
    pub caller: Option<&'a Caller>,
    /// Longest time from the arrival to the complete response.
    pub limit: TimeLimit,
    /// How long the caller waits, over all its requests for the same; `None` if it doesn't tell.
    pub caller_waits: Option<Duration>,
    /// Version of the configuration under which the request was admitted.
    pub config_version: u64,
    /// When the response must be complete.
    pub deadline: Instant,
    /// When the first byte of the request was read.
    pub arrived_at: Instant,
    /// What the request may have in common with others that crash servers.
    pub features: Vec<Feature>,
    /// Id of the trial, if the request is sent although its like are quarantined.
    pub trial: Cell<Option<u64>>,
}

impl AdmittedRequest<'_> {
    /// Time until the deadline; zero once it has passed.
    #[must_use]
    pub fn time_to_deadline(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Rank of the request, from the priorities of its customer and route; 0 is the most urgent.
    #[must_use]
    pub fn rank(&self) -> u32 {
        let customer_priority = self.caller.and_then(|caller| caller.priority);
        request_rank(customer_priority, self.route.priority)
    }
}

/// Values that a request carries to the server in header fields of their own.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExtraHeaders<'a> {
    /// Handles of the stages' results, separated by commas.
    pub inputs: Option<&'a str>,
    /// Id of the last event that the caller has, if the server is to resume a stream.
    pub last_event_id: Option<u64>,
}

/// Selects backend servers and sends requests to them.
#[derive(Debug)]
pub struct Dispatcher {
    state: Rc<SharedState>,
    connections: Rc<ConnectionPool>,
    peers: Rc<Peers>,
    crashes: Rc<CrashMonitor>,
    limits: Rc<LimitExchange>,
    notices: Rc<NoticeReader>,
    versions: Rc<VersionRecords>,
    /// Has one more reference for each request that waits for its turn at a cold server.
    waits_for_cold: Rc<()>,
    dialect: Rc<dyn Dialect>,
    metrics: Rc<Metrics>,
    log: Logger,
}

/// Accounting of an attempt that is under way. Its outcome is recorded once: by
/// [`finish`](Self::finish), or as abandoned when it is dropped.
#[derive(Debug)]
pub struct Attempt {
    server: SelectedServer,
    pool: Name,
    state: Rc<SharedState>,
    metrics: Rc<Metrics>,
    started_at: Instant,
    first_output_at: Cell<Option<Instant>>,
    events: RefCell<EventTimes>,
    connection_lost: Cell<bool>,
    finished: Cell<bool>,
    /// Set once the request is sent.
    activity: RefCell<Option<ActivityGuard>>,
}

/// When an attempt's request was sent and its events arrived.
#[derive(Debug, Default)]
struct EventTimes {
    /// When it was sent, if the times say something about the server's speed.
    sent_at: Option<Instant>,
    /// Id and time of the last event.
    last: Option<(u64, Instant)>,
    /// Time between events and their number, without pauses.
    between: Duration,
    count: u64,
    /// Start of the present window, and the number of events in it.
    window: Option<(Instant, u64)>,
}

impl EventTimes {
    /// Counts events that arrived at a time. Returns their mean distance once a window is over.
    fn count_in_window(&mut self, count: u64, at: Instant) -> Option<Duration> {
        let (start, counted) = self.window.get_or_insert((at, 0));
        *counted += count;
        let elapsed = at.saturating_duration_since(*start);
        if elapsed < PACE_WINDOW {
            return None;
        }
        let counted = u32::try_from(*counted).ok()?;
        self.window = Some((at, 0));
        (counted > 0).then(|| elapsed / counted)
    }

    /// Mean time between events; `None` if there were too few.
    fn mean(&self) -> Option<Duration> {
        let count = u32::try_from(self.count).ok()?;
        (count >= MIN_PACE_EVENTS).then(|| self.between / count)
    }
}

impl Attempt {
    /// Records that the whole request is sent now. Its times show the server's speed if it begins a
    /// stream and needs no inputs from afar.
    pub fn record_sent(&self, shows_speed: bool) {
        self.events.borrow_mut().sent_at = shows_speed.then(Instant::now);
    }

    /// Records that events arrived at a time, the last one with this id.
    pub fn record_events(&self, last_id: Option<u64>, at: Instant) {
        let mut events = self.events.borrow_mut();
        let (Some(sent_at), Some(id)) = (events.sent_at, last_id) else {
            return;
        };
        if let Some((last_id, last_at)) = events.last.replace((id, at)) {
            let between = at.saturating_duration_since(last_at);
            if between < MAX_EVENT_GAP && id > last_id {
                events.between += between;
                events.count += id - last_id;
            }
            let pace = events.count_in_window(id.saturating_sub(last_id), at);
            if let Some(mean) = pace {
                let mut selector = self.state.selector.borrow_mut();
                selector.record_pace(&self.server.id, mean, at);
            }
            return;
        }
        events.window = Some((at, 0));
        let took = at.saturating_duration_since(sent_at);
        let mut selector = self.state.selector.borrow_mut();
        if selector.record_first_output(&self.server, took, at) {
            self.count_sample("first-output");
        }
    }

    fn count_sample(&self, measured: &str) {
        let samples = &self.metrics.speed.samples;
        samples.with_label_values(&[measured]).inc();
    }

    /// Records that the server's first output arrived, which means that it has read the whole
    /// prompt (prefill).
    pub fn record_first_output(&self) {
        if self.first_output_at.get().is_none() {
            self.first_output_at.set(Some(Instant::now()));
            self.state
                .selector
                .borrow_mut()
                .record_prefill(&self.server);
        }
    }

    /// Whether output arrived, see [`Self::record_first_output`].
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.first_output_at.get().is_some()
    }

    /// Whether output has come for so long that the request can't be what crashes the server.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let first = self.first_output_at.get();
        first.is_some_and(|at| at.elapsed() >= SOUND_OUTPUT_TIME)
    }

    /// Records that the server is silent in the middle of the response.
    pub fn record_silence(&self) {
        let mut selector = self.state.selector.borrow_mut();
        selector.record_silence(&self.server.id, Instant::now());
    }

    /// Records that the connection ended before the response did.
    pub fn record_lost_connection(&self) {
        self.connection_lost.set(true);
    }

    /// Whether the connection ended before the response did.
    #[must_use]
    pub fn has_lost_connection(&self) -> bool {
        self.connection_lost.get()
    }

    /// When the attempt started.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Time since the attempt started.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records the outcome, unless one has been recorded before.
    pub fn finish(&self, outcome: AttemptOutcome) {
        if self.finished.replace(true) {
            return;
        }
        let label = match outcome {
            AttemptOutcome::Answered(_) => "answered",
            AttemptOutcome::Failure => "failure",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Abandoned => "abandoned",
        };
        let labels = [&*self.pool, label];
        self.metrics.sends.with_label_values(&labels).inc();
        let now = Instant::now();
        let mut selector = self.state.selector.borrow_mut();
        if let Some(mean) = self.events.borrow().mean()
            && selector.record_event_time(&self.server.id, mean, now)
        {
            self.count_sample("events");
        }
        selector.record_end(&self.server, self.has_output(), outcome, now);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Abandoned);
    }
}

/// Permission to send a request. Gives a retry back to the budget if it is dropped unused.
#[derive(Debug)]
pub struct SendPermit {
    state: Rc<SharedState>,
    pool: Name,
    is_retry: bool,
    is_used: bool,
}

impl SendPermit {
    /// The request is sent.
    pub fn use_up(mut self) {
        self.is_used = true;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.is_retry {
            return;
        }
        let mut retry_budget = self.state.retry_budget.borrow_mut();
        if self.is_used {
            retry_budget.use_reserved(&self.pool, Instant::now());
        } else {
            retry_budget.cancel_reserved(&self.pool);
        }
    }
}

/// An open connection to the selected server.
#[derive(Debug)]
pub struct ConnectedServer {
    /// Server that was selected.
    pub server: SelectedServer,
    /// Connection to it.
    pub conn: Conn,
    /// Accounting of the attempt that uses the connection.
    pub attempt: Attempt,
}

impl ConnectedServer {
    /// Records why the server's response ended early.
    pub fn record_fault(&self, error: &ExchangeError) {
        if let ExchangeError::InvalidResponse(_) | ExchangeError::ResponseTooLarge = error {
            self.attempt.finish(AttemptOutcome::Failure);
        } else if let ExchangeError::NotSent = error {
            self.attempt.finish(AttemptOutcome::Abandoned);
        } else {
            self.attempt.record_lost_connection();
            self.attempt.finish(AttemptOutcome::Broken);
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher from the parts of the instance that it uses.
    #[must_use]
    #[expect(clippy::too_many_arguments, reason = "the parts of an instance")]
    pub fn new(
        state: Rc<SharedState>,
        connections: Rc<ConnectionPool>,
        peers: Rc<Peers>,
        crashes: Rc<CrashMonitor>,
        limits: Rc<LimitExchange>,
        notices: Rc<NoticeReader>,
        versions: Rc<VersionRecords>,
        dialect: Rc<dyn Dialect>,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            state,
            connections,
            peers,
            crashes,
            limits,
            notices,
            versions,
            waits_for_cold: Rc::default(),
            dialect,
            metrics,
            log,
        }
    }

    /// What is known about requests that crash servers.
    #[must_use]
    pub fn crashes(&self) -> &Rc<CrashMonitor> {
        &self.crashes
    }

    /// Rate limits that servers name.
    #[must_use]
    pub fn limits(&self) -> &Rc<LimitExchange> {
        &self.limits
    }

    /// Software versions at which streams began.
    #[must_use]
    pub fn versions(&self) -> &Rc<VersionRecords> {
        &self.versions
    }

    /// Time for which a request must expect to wait for a turn at servers with rate limits, behind
    /// `queued` others of this instance; `None` if other servers can take it.
    #[must_use]
    pub fn expected_wait(&self, selection: &SelectionRequest, queued: usize) -> Option<Duration> {
        self.limits.update_schedule();
        let selector = self.state.selector.borrow();
        let rate = selector.limited_rate(selection, Instant::now())?;
        Duration::try_from_secs_f64((queued + 1) as f64 / rate).ok()
    }

    /// Time for which no server wants the request; `None` if one does now, or there is none.
    #[must_use]
    pub fn pause_left(&self, selection: &SelectionRequest) -> Option<Duration> {
        let selector = self.state.selector.borrow();
        selector.pause_left(selection, Instant::now())
    }

    /// Longest time for which a request waits for servers that have rate limits or want a pause.
    #[must_use]
    pub fn patience(request: &AdmittedRequest<'_>) -> Duration {
        request.time_to_deadline() / TURN_PATIENCE_DIVISOR
    }

    /// Selects a server and gets a connection to it.
    ///
    /// A server that can't be reached, or that takes no new work any more, is added to the servers
    /// tried and another one is selected. Waits if only servers are left that have rate limits or want
    /// a pause.
    ///
    /// # Errors
    ///
    /// Fails if there is no server, if none takes the request in time, or if the deadline has passed;
    /// with the time after which the request may be tried again.
    pub async fn connect(
        &self,
        selection: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
    ) -> Result<ConnectedServer, Duration> {
        let max_idle = if request.route.kind.is_retryable() {
            MAX_IDLE_RETRYABLE
        } else {
            MAX_IDLE_NOT_RETRYABLE
        };
        // Servers to which this instance may open no further connection.
        let mut at_limit: Vec<Name> = Vec::new();
        // Time for which the request waited until a server takes it.
        let mut waited = Duration::ZERO;
        let mut wait_for_cold = None;
        loop {
            let mut narrowed = selection.clone();
            narrowed.tried.extend(at_limit.iter().cloned());
            self.limits.update_schedule();
            let now = Instant::now();
            let selected = self.state.selector.borrow().select(&narrowed, now);
            let Some(server) = selected else {
                let wait = self.state.selector.borrow().next_turn(&narrowed, now);
                let is_any_cold = {
                    let selector = self.state.selector.borrow();
                    wait.is_some() && selector.has_cold_server(&narrowed, now)
                };
                let is_first = is_any_cold && wait_for_cold.is_none();
                if is_first {
                    wait_for_cold = Some(self.waits_for_cold.clone());
                }
                let Some(wait) = wait.filter(|wait| waited + *wait <= Self::patience(request))
                else {
                    let least = if is_any_cold {
                        self.wait_behind_others(&narrowed)
                    } else {
                        RETRY_AFTER_NO_SERVER
                    };
                    return Err(wait.unwrap_or_default().max(least));
                };
                if is_first {
                    let waits = &self.metrics.cold_waits;
                    waits.with_label_values(&[&*narrowed.pool]).inc();
                }
                waited += wait + TURN_MARGIN;
                tokio::time::sleep(wait + TURN_MARGIN).await;
                continue;
            };
            if self.connections.open_count(server.address) >= self.connection_limit(&selection.pool)
            {
                if let Some(conn) = self.connections.take_idle(server.address, max_idle) {
                    return Ok(self.start_on_connection(server, conn, selection));
                }
                at_limit.push(server.id);
                continue;
            }
            let timeout = CONNECT_TIMEOUT.min(request.time_to_deadline());
            let attempt = self.start_attempt(&server, selection);
            match self
                .connections
                .connect(server.address, max_idle, timeout)
                .await
            {
                // The server may have stopped accepting work while the connection was opened.
                Ok(mut conn) if self.accepts_work(&server) => {
                    if let Some(time) = conn.take_setup_time() {
                        self.peers.zones().record_round_trip(&server.domain, time);
                    }
                    return Ok(ConnectedServer {
                        server,
                        conn,
                        attempt,
                    });
                }
                Ok(_) => selection.tried.push(server.id),
                Err(_) => {
                    attempt.finish(AttemptOutcome::Broken);
                    selection.tried.push(server.id);
                }
            }
            if request.time_to_deadline().is_zero() {
                return Err(Duration::ZERO);
            }
        }
    }

    fn accepts_work(&self, server: &SelectedServer) -> bool {
        let selector = self.state.selector.borrow();
        selector.accepts_work(&server.id, Instant::now())
    }

    /// Whether nothing may be sent to a server, as its failure domain is evacuated.
    fn is_closed(&self, server: &SelectedServer) -> bool {
        let selector = self.state.selector.borrow();
        (selector.evacuations()).is_closed(&server.domain, Instant::now())
    }

    /// Checks the connected server again after a wait, right before the request is sent to it. If its
    /// failure domain was closed in the meantime, connects to another one.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::connect`].
    pub async fn connect_elsewhere_if_closed(
        &self,
        connected: ConnectedServer,
        selection: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
    ) -> Result<ConnectedServer, Duration> {
        if !self.is_closed(&connected.server) {
            return Ok(connected);
        }
        // Nothing was sent on the connection.
        self.recycle(connected.conn, &Response::empty());
        self.connect(selection, request).await
    }

    /// Time that the requests of this instance which wait for cold servers need, this one included.
    fn wait_behind_others(&self, selection: &SelectionRequest) -> Duration {
        let queued = Rc::strong_count(&self.waits_for_cold) - 2;
        let expected = self.expected_wait(selection, queued);
        expected.unwrap_or(RETRY_AFTER_NO_SERVER)
    }

    fn start_on_connection(
        &self,
        server: SelectedServer,
        conn: Conn,
        selection: &SelectionRequest,
    ) -> ConnectedServer {
        let attempt = self.start_attempt(&server, selection);
        ConnectedServer {
            server,
            conn,
            attempt,
        }
    }

    fn start_attempt(&self, server: &SelectedServer, selection: &SelectionRequest) -> Attempt {
        let now = Instant::now();
        let mut selector = self.state.selector.borrow_mut();
        selector.record_start(server, selection, now);
        let reason = selector.crossing_reason(server, selection).as_str();
        drop(selector);
        let zones = self.peers.zones();
        let home = &self.peers.this_instance().domain;
        zones.count(&selection.pool, home, &server.domain, reason);
        if server.is_cold {
            let sends = &self.metrics.cold_sends;
            sends.with_label_values(&[&*selection.pool]).inc();
        }
        Attempt {
            server: server.clone(),
            pool: selection.pool.clone(),
            state: self.state.clone(),
            metrics: self.metrics.clone(),
            started_at: now,
            first_output_at: Cell::new(None),
            events: RefCell::default(),
            connection_lost: Cell::new(false),
            finished: Cell::new(false),
            activity: RefCell::default(),
        }
    }

    /// Number of connections that this instance may have to one server of a pool: an equal share
    /// of the pool's limit, at least one.
    fn connection_limit(&self, pool: &str) -> usize {
        let config = self.state.config();
        let limit = config
            .as_ref()
            .and_then(|config| config.pool(pool))
            .map_or(0, |pool| pool.max_connections);
        connection_share(limit, self.peers.instance_count())
    }

    /// Counts a first send, or takes a retry from the pool's retry budget; `None` if the budget is
    /// used up. A first send is always allowed.
    #[must_use]
    pub fn try_acquire_send(&self, pool: &Name, is_retry: bool) -> Option<SendPermit> {
        let now = Instant::now();
        let mut retry_budget = self.state.retry_budget.borrow_mut();
        if is_retry {
            if !retry_budget.try_reserve(pool, self.peers.instance_count(), now) {
                return None;
            }
        } else {
            retry_budget.record_first_send(pool, now);
        }
        Some(SendPermit {
            state: self.state.clone(),
            pool: pool.clone(),
            is_retry,
            is_used: false,
        })
    }

    /// Sends the request to the connected server and reads the head of the response. Records the
    /// load that the server reports in it.
    ///
    /// # Errors
    ///
    /// Fails if the server's failure domain is closed, the connection breaks or the server sends no valid
    /// response head.
    pub async fn send(
        &self,
        attempt: &Attempt,
        conn: &mut Conn,
        request: &AdmittedRequest<'_>,
        extra: ExtraHeaders<'_>,
    ) -> Result<Response, ExchangeError> {
        let server = &attempt.server;
        if self.is_closed(server) {
            return Err(ExchangeError::NotSent);
        }
        let guard = self.state.activity.begin(&server.domain);
        *attempt.activity.borrow_mut() = Some(guard);
        let head = self.encode_head(server, request, extra);
        let outgoing = OutgoingRequest {
            head: &head,
            body: request.body,
            echo: Some((self.dialect.header_names().request_id, request.id)),
            is_head: request.head.method == "HEAD",
        };
        if self.state.selector.borrow().is_leaving(&server.id) {
            info!(self.log, "request goes to a server that leaves"; "request" => request.id, "server" => &*server.id);
        }
        let run = self.notices.listed_run(&server.id);
        let response = conn.send(outgoing).await?;
        if let Some(run) = &run {
            self.notices.record(run, &response.head);
        }
        let load = response.head.headers.get(self.dialect.header_names().load);
        if let Some(load) = load.and_then(|text| self.dialect.parse_load(text)) {
            let mut selector = self.state.selector.borrow_mut();
            if !selector.record_load(&server.id, load, Instant::now()) {
                self.metrics.speed.bad_figures.inc();
            }
        }
        // Another server may listen at the address by now.
        if response.head.status != 421 {
            let limit = response
                .head
                .headers
                .get(self.dialect.header_names().rate_limit);
            let limit = limit.and_then(|text| self.dialect.parse_rate_limit(text));
            self.limits.record(&server.id, limit);
        }
        Ok(response)
    }

    /// Returns a connection to the pool after its response was read.
    pub fn recycle(&self, conn: Conn, response: &Response) {
        self.connections.recycle(conn, response);
    }

    /// Encodes the head for the server: the caller's end-to-end fields, without the API key and
    /// those fields that only this system may set, followed by this system's own fields.
    fn encode_head(
        &self,
        server: &SelectedServer,
        request: &AdmittedRequest<'_>,
        extra: ExtraHeaders<'_>,
    ) -> Vec<u8> {
        let fields = self.dialect.header_names();
        let mut out = Vec::with_capacity(768);
        let received = request.head;
        out.extend_from_slice(received.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(received.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in &received.headers.0 {
            let is_named = |field: &str| name.eq_ignore_ascii_case(field);
            let dropped = is_named(fields.time_left)
                || is_named("authorization")
                || (extra.last_event_id.is_some() && is_named(fields.last_event_id))
                || fields.reserved.iter().any(|field| is_named(field));
            if !dropped && is_end_to_end(name, &received.headers) {
                put_header(&mut out, name, value);
            }
        }
        let time_left_ms = request.time_to_deadline().as_millis().to_string();
        put_header(&mut out, fields.time_left, time_left_ms.as_bytes());
        put_header(&mut out, fields.expected_server, server.id.as_bytes());
        if let Some(caller) = request.caller {
            put_header(&mut out, fields.customer, caller.customer.as_bytes());
        }
        if let Some(inputs) = extra.inputs {
            put_header(&mut out, fields.inputs, inputs.as_bytes());
        }
        if let Some(event_id) = extra.last_event_id {
            put_header(
                &mut out,
                fields.last_event_id,
                event_id.to_string().as_bytes(),
            );
        }
        if request.route.kind.is_streaming() {
            let rank = request.rank().to_string();
            put_header(&mut out, fields.rank, rank.as_bytes());
        }
        let declares_body = received.headers.get("content-length").is_some()
            || received.headers.get("transfer-encoding").is_some();
        if declares_body || !request.body.is_empty() {
            put_header(
                &mut out,
                "Content-Length",
                request.body.len().to_string().as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}
