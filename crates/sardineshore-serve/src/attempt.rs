//! One send of a request to one server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Caller, Name, Route, request_rank};
use sardineshore_core::flow::selection::{AttemptOutcome, SelectedServer, SelectionRequest};

use crate::dialect::Dialect;
use crate::http1::{RequestHead, is_end_to_end, put_header};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::state::SharedState;
use crate::upstream::{Conn, ConnectionPool, OutgoingRequest, Response};

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time up to which a connection carries a request that must not be repeated.
const IDLE_ONCE: Duration = Duration::from_millis(900);
/// Idle time up to which a connection carries another request.
const IDLE_REPEATABLE: Duration = Duration::from_secs(3);
/// Part of a server's connections that all instances together use.
const CONNECTION_PART: f64 = 0.85;

/// A request of a caller that was checked.
#[derive(Debug)]
pub struct AdmittedRequest<'a> {
    /// Id of the caller's attempt.
    pub id: &'a str,
    /// Head as received.
    pub head: &'a RequestHead,
    /// Whole body.
    pub body: &'a [u8],
    /// Route.
    pub route: &'a Route,
    /// Sender, if the route asks for a key.
    pub caller: Option<&'a Caller>,
    /// When it must be answered.
    pub deadline: Instant,
    /// When it arrived.
    pub arrived_at: Instant,
}

impl AdmittedRequest<'_> {
    /// Time left.
    #[must_use]
    pub fn time_to_deadline(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Rank among other requests; 0 is the most urgent.
    #[must_use]
    pub fn rank(&self) -> u32 {
        let customer = self.caller.and_then(|caller| caller.priority);
        request_rank(customer, self.route.priority)
    }
}

/// What is added to a request on its way.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExtraHeaders<'a> {
    /// Results of the stages.
    pub inputs: Option<&'a str>,
    /// Last event that the caller has of a stream that goes on.
    pub last_event_id: Option<u64>,
}

/// Sends requests to servers.
#[derive(Debug)]
pub struct Dispatcher {
    state: Rc<SharedState>,
    connections: Rc<ConnectionPool>,
    peers: Rc<Peers>,
    dialect: Rc<dyn Dialect>,
    metrics: Rc<Metrics>,
}

/// A send that is under way; its end is recorded once, as abandoned if it is dropped.
#[derive(Debug)]
pub struct Attempt {
    place: SelectedServer,
    pool: Name,
    state: Rc<SharedState>,
    metrics: Rc<Metrics>,
    started: Instant,
    read: Cell<bool>,
    ended: Cell<bool>,
}

impl Attempt {
    /// The server has read the prompt: its first output arrived.
    pub fn first_output(&self) {
        if !self.read.replace(true) {
            self.state
                .selector
                .borrow_mut()
                .record_prefill(&self.place);
        }
    }

    /// Time since the send.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records the end.
    pub fn end(&self, end: AttemptOutcome) {
        if self.ended.replace(true) {
            return;
        }
        let label = match end {
            AttemptOutcome::Answered(_) => "answered",
            AttemptOutcome::Failure => "failure",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Abandoned => "abandoned",
        };
        let labels = [&*self.pool, label];
        self.metrics.sends.with_label_values(&labels).inc();
        let mut selector = self.state.selector.borrow_mut();
        selector.record_end(&self.place, self.read.get(), end, Instant::now());
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// An open connection to the server that was chosen.
#[derive(Debug)]
pub struct ChosenServer {
    /// Server.
    pub place: SelectedServer,
    /// Connection.
    pub conn: Conn,
    /// Accounting.
    pub attempt: Attempt,
}

impl Dispatcher {
    /// A sender with its tools.
    #[must_use]
    pub fn new(
        state: Rc<SharedState>,
        connections: Rc<ConnectionPool>,
        peers: Rc<Peers>,
        dialect: Rc<dyn Dialect>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            state,
            connections,
            peers,
            dialect,
            metrics,
        }
    }

    /// Chooses a server and opens a connection; servers that can't be reached are passed over.
    /// `None` if no server is left.
    pub async fn choose(
        &self,
        need: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
    ) -> Option<ChosenServer> {
        let idle = if request.route.kind.is_retryable() {
            IDLE_REPEATABLE
        } else {
            IDLE_ONCE
        };
        let mut full: Vec<Name> = Vec::new();
        loop {
            let mut asking = need.clone();
            asking.tried.extend(full.iter().cloned());
            let now = Instant::now();
            let place = self.state.selector.borrow().select(&asking, now)?;
            if self.connections.open_count(place.address) >= self.connection_share(&need.pool) {
                if let Some(conn) = self.connections.take_idle(place.address, idle) {
                    return Some(self.begin(place, conn, need));
                }
                full.push(place.id);
                continue;
            }
            let timeout = CONNECT_TIMEOUT.min(request.time_to_deadline());
            let attempt = self.attempt(&place, need);
            match self.connections.connect(place.address, idle, timeout).await {
                // The server may have begun to leave while the connection was opened.
                Ok(conn) if self.state.selector.borrow().accepts_work(&place.id) => {
                    return Some(ChosenServer {
                        place,
                        conn,
                        attempt,
                    });
                }
                Ok(_) => need.tried.push(place.id),
                Err(_) => {
                    attempt.end(AttemptOutcome::Broken);
                    need.tried.push(place.id);
                }
            }
            if request.time_to_deadline().is_zero() {
                return None;
            }
        }
    }

    fn begin(&self, place: SelectedServer, conn: Conn, need: &SelectionRequest) -> ChosenServer {
        let attempt = self.attempt(&place, need);
        ChosenServer {
            place,
            conn,
            attempt,
        }
    }

    fn attempt(&self, place: &SelectedServer, need: &SelectionRequest) -> Attempt {
        let now = Instant::now();
        self.state
            .selector
            .borrow_mut()
            .record_start(place, need, now);
        Attempt {
            place: place.clone(),
            pool: need.pool.clone(),
            state: self.state.clone(),
            metrics: self.metrics.clone(),
            started: now,
            read: Cell::new(false),
            ended: Cell::new(false),
        }
    }

    /// Connections that this instance may have to one server of a pool.
    fn connection_share(&self, pool: &str) -> usize {
        let site = self.state.config();
        let most = site
            .as_ref()
            .and_then(|site| site.pool(pool))
            .map_or(0, |pool| pool.max_connections);
        let share = f64::from(most) * CONNECTION_PART / self.peers.instance_count().max(1) as f64;
        (1..most as usize)
            .take_while(|count| *count as f64 <= share)
            .last()
            .unwrap_or(1)
    }

    /// Counts a first send, or takes one of the repeated sends.
    #[must_use]
    pub fn may_send(&self, pool: &Name, repeat: bool) -> bool {
        let now = Instant::now();
        let mut retry_budget = self.state.retry_budget.borrow_mut();
        if repeat {
            return retry_budget.try_acquire(pool, self.peers.instance_count(), now);
        }
        retry_budget.record_first_send(pool, now);
        true
    }

    /// Sends the request on a connection and reads the head of its answer.
    pub async fn send(
        &self,
        chosen: &mut ChosenServer,
        request: &AdmittedRequest<'_>,
        extra: ExtraHeaders<'_>,
    ) -> Result<Response, crate::upstream::ExchangeError> {
        let head = self.head(&chosen.place, request, extra);
        let sending = OutgoingRequest {
            head: &head,
            body: request.body,
            echo: Some((self.dialect.header_names().request_id, request.id)),
            is_head: request.head.method == "HEAD",
        };
        let response = chosen.conn.send(sending).await?;
        let load = response.head.headers.get(self.dialect.header_names().load);
        if let Some(load) = load.and_then(|text| self.dialect.parse_load(text)) {
            let mut selector = self.state.selector.borrow_mut();
            selector.record_load(&chosen.place.id, load, Instant::now());
        }
        Ok(response)
    }

    /// Keeps a connection whose answer was read whole.
    pub fn recycle(&self, conn: Conn, response: &Response) {
        self.connections.recycle(conn, response);
    }

    fn head(
        &self,
        place: &SelectedServer,
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
            let is = |own: &str| name.eq_ignore_ascii_case(own);
            let replaced = is(fields.time_left)
                || is("authorization")
                || (extra.last_event_id.is_some() && is(fields.last_event_id))
                || fields.reserved.iter().any(|own| is(own));
            if !replaced && is_end_to_end(name, &received.headers) {
                put_header(&mut out, name, value);
            }
        }
        let left = request.time_to_deadline().as_millis().to_string();
        put_header(&mut out, fields.time_left, left.as_bytes());
        put_header(&mut out, fields.expected_server, place.id.as_bytes());
        if let Some(caller) = request.caller {
            put_header(&mut out, fields.customer, caller.customer.as_bytes());
        }
        if let Some(inputs) = extra.inputs {
            put_header(&mut out, fields.inputs, inputs.as_bytes());
        }
        if let Some(event) = extra.last_event_id {
            put_header(&mut out, fields.last_event_id, event.to_string().as_bytes());
        }
        if request.route.kind.is_streaming() {
            let rank = request.rank().to_string();
            put_header(&mut out, fields.rank, rank.as_bytes());
        }
        let had_length = received.headers.get("content-length").is_some()
            || received.headers.get("transfer-encoding").is_some();
        if had_length || !request.body.is_empty() {
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
