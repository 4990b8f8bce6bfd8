//! One attempt at a stream: sends the request to a server and forwards its events.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::selection::{AttemptOutcome, RequiredVersion};
use sardineshore_core::flow::time_limit::Expiry;
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::{Attempts, End, Progress, SILENT};
use crate::attempt::{AdmittedRequest, ConnectedServer, ExtraHeaders};
use crate::reply::{response_head, write_chunk};
use crate::request::{Outcome, RequestHandler};
use crate::state::elapsed_ms;
use crate::stream::EventFilter;
use crate::upstream::{ExchangeError, Response};

/// Time without an event after which another server is prepared to continue a resumable stream. A
/// sound server may pause for a second or so.
const STALL_TIMEOUT: Duration = Duration::from_millis(1600);
/// Minimum time that a server gets for its first output before another server is prepared.
const MIN_FIRST_OUTPUT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes of inputs from other failure domains up to which the time to the first output shows the
/// server's speed: fetching them takes a few milliseconds.
const MAX_REMOTE_BYTES: u64 = 200_000;

/// Time for which a silent server is kept while the one that replaces it has not answered. Longer, and
/// both might work on the request.
const HANDOVER_TIME: Duration = Duration::from_millis(250);

/// Where the stream is written to, and how much of it the caller has.
pub(super) struct ResponseSink<'w, W> {
    pub(super) wr: &'w mut W,
    pub(super) keep_alive: bool,
    pub(super) filter: EventFilter,
    /// Whether the response head has been sent.
    pub(super) started: bool,
    /// Counts the stream among those that were not sent to a server yet.
    pub(super) unsent: Option<Rc<()>>,
}

impl RequestHandler {
    /// Makes one attempt: sends the request and forwards the events.
    ///
    /// With `may_retry` another server is prepared when this one is silent. Releases the results of
    /// the stages at the first output. Returns the status and the response, whose connection may be
    /// reused.
    pub(super) async fn forward<W: AsyncWrite + Unpin>(
        &self,
        attempts: &mut Attempts<'_, '_>,
        connected: &mut Box<ConnectedServer>,
        sink: &mut ResponseSink<'_, W>,
        mut may_retry: bool,
    ) -> Result<(u16, Response), End> {
        let request = attempts.request;
        let mut patience = (request.time_to_deadline() / 2).max(MIN_FIRST_OUTPUT_TIMEOUT);
        let resume_point = sink.resume_point();
        let mut response = self
            .open_stream(attempts, connected, resume_point, patience, may_retry)
            .await?;
        let mut pending = Vec::new();
        let mut last_output_at = Instant::now();
        let mut sound_output_recorded = false;
        loop {
            let next = connected.conn.next_chunk(&mut response);
            let next = self
                .wait_for_progress(attempts, &connected.attempt, next, patience, may_retry)
                .await;
            let data = match next {
                // A server that always has bytes ready would never time out.
                Progress::Made(Ok(Some(_))) if request.time_to_deadline().is_zero() => {
                    return Err(end_late(connected, request, last_output_at, patience));
                }
                Progress::Made(Ok(data)) => data,
                Progress::Made(Err(error)) => {
                    connected.record_fault(&error);
                    return Err(End::Lost("stream broke off"));
                }
                Progress::Replaced(next) => {
                    let resume_point = sink.resume_point();
                    let taken_over = self.take_over(attempts, connected, next, resume_point);
                    if let Some(next_response) = taken_over.await? {
                        response = next_response;
                        sink.filter.discard_partial_event();
                        may_retry = attempts.runs + 1 < request.route.max_attempts;
                    }
                    continue;
                }
                Progress::DeadlinePassed => {
                    return Err(end_late(connected, request, last_output_at, patience));
                }
            };
            let Some(data) = data else {
                // A server that stopped before its first event may close such a response too.
                let stopped_early =
                    response.is_close_delimited() && !connected.attempt.has_output();
                if sink.filter.is_inside_event() || !sink.started || stopped_early {
                    connected.attempt.record_lost_connection();
                    connected.attempt.finish(AttemptOutcome::Failure);
                    return Err(End::Lost("stream ended inside an event"));
                }
                self.dispatcher.crashes().record_output(&request.features);
                let written = sink.wr.write_all(b"0\r\n\r\n").await;
                return written
                    .map(|()| {
                        // A stream's duration depends on its length: a fixed time is recorded.
                        connected
                            .attempt
                            .finish(AttemptOutcome::Answered(Duration::from_millis(100)));
                        (response.head.status, response)
                    })
                    .map_err(|_| End::CallerDisconnected);
            };
            sink.filter.push(&data);
            if response.hold(sink.filter.buffered()).is_err() {
                connected.attempt.finish(AttemptOutcome::Failure);
                return Err(End::Lost("no memory for an event"));
            }
            loop {
                let Ok(events) = sink.filter.take_events() else {
                    connected.attempt.finish(AttemptOutcome::Failure);
                    return Err(End::Lost("events out of order"));
                };
                if events.is_empty() {
                    break;
                }
                let last_event_id = sink.filter.last_event_id();
                connected
                    .attempt
                    .record_events(last_event_id, Instant::now());
                if sink.started {
                    let pause_ms = elapsed_ms(last_output_at);
                    attempts.stats.max_pause_ms = attempts.stats.max_pause_ms.max(pause_ms);
                } else {
                    self.begin_forwarding(attempts, connected).await?;
                    let head = &response.head;
                    pending = response_head(head.status, &head.headers, None, !sink.keep_alive);
                    sink.started = true;
                    attempts.started = true;
                    attempts.stats.first_byte_ms = Some(elapsed_ms(request.arrived_at));
                }
                last_output_at = Instant::now();
                connected.attempt.record_first_output();
                if !sound_output_recorded && connected.attempt.is_sound() {
                    sound_output_recorded = true;
                    self.dispatcher.crashes().record_output(&request.features);
                }
                // The engine has fetched its inputs once it produces output.
                drop(attempts.inputs.guard.take());
                patience = STALL_TIMEOUT;
                write_chunk(sink.wr, &mut pending, &events)
                    .await
                    .map_err(|_| End::CallerDisconnected)?;
            }
        }
    }

    /// Prepares for the first event: waits for the record of its version, and requires that version
    /// from now on.
    async fn begin_forwarding(
        &self,
        attempts: &mut Attempts<'_, '_>,
        connected: &ConnectedServer,
    ) -> Result<(), End> {
        let request = attempts.request;
        if let Some(record) = &mut attempts.record {
            let written = self.dispatcher.versions().wait_written(record);
            let written = tokio::time::timeout(request.time_to_deadline(), written).await;
            if written.is_err() {
                connected.attempt.finish(AttemptOutcome::Abandoned);
                return Err(End::Lost("version not recorded"));
            }
        }
        // No other version may go on with what this server has begun.
        if attempts.selection.version == RequiredVersion::Any {
            if let Some(record) = &attempts.record {
                self.dispatcher.versions().record_first_event(record);
            }
            let version = connected.server.version.clone();
            attempts.selection.version = RequiredVersion::of_stream(version);
        }
        Ok(())
    }

    /// Sends the request to the server that replaces a silent one, and puts it in the place of that one.
    /// Returns its response, or `None` if it rejected the request: the silent server may still go on.
    async fn take_over(
        &self,
        attempts: &mut Attempts<'_, '_>,
        silent: &mut Box<ConnectedServer>,
        mut next: Box<ConnectedServer>,
        resume_point: Option<u64>,
    ) -> Result<Option<Response>, End> {
        let request = attempts.request;
        self.record_send(attempts, &next);
        let mut is_aborted = false;
        let opened = {
            let patience = request.time_to_deadline();
            let mut opening =
                pin!(self.open_stream(attempts, &mut next, resume_point, patience, false));
            let opened = tokio::time::timeout(HANDOVER_TIME, opening.as_mut()).await;
            if let Ok(opened) = opened {
                opened
            } else {
                is_aborted = true;
                silent.conn.abort();
                opening.await
            }
        };
        if let Err(End::Rejected | End::InputsMissing) = &opened
            && !is_aborted
        {
            if let Err(End::InputsMissing) = opened {
                attempts.inputs.guard = None;
            }
            attempts.rejections += 1;
            attempts.stats.server = Some(silent.server.id.clone());
            self.record_version(attempts, &silent.server);
            return Ok(None);
        }
        silent.attempt.finish(AttemptOutcome::Broken);
        self.record_lost_attempt(request, silent, SILENT).await;
        *silent = next;
        attempts.runs += 1;
        opened.map(Some)
    }

    /// Sends the request and reads the head of a response that brings the stream.
    async fn open_stream(
        &self,
        attempts: &mut Attempts<'_, '_>,
        connected: &mut ConnectedServer,
        last_event_id: Option<u64>,
        patience: Duration,
        may_retry: bool,
    ) -> Result<Response, End> {
        let request = attempts.request;
        let joined_inputs = attempts.inputs.joined();
        let extra = ExtraHeaders {
            inputs: joined_inputs.as_deref(),
            last_event_id,
        };
        let remote_bytes = (attempts.selection).remote_input_bytes(&connected.server.domain);
        let begins = last_event_id.is_none() && !attempts.is_taken_up;
        // A cold server is slow for a while.
        let shows_speed = begins && remote_bytes <= MAX_REMOTE_BYTES && !connected.server.is_cold;
        connected.attempt.record_sent(shows_speed);
        let (attempt, conn) = (&connected.attempt, &mut connected.conn);
        let sent = self.dispatcher.send(attempt, conn, request, extra);
        let sent = self
            .wait_for_progress(attempts, &connected.attempt, sent, patience, may_retry)
            .await;
        let mut response = match sent {
            Progress::Made(Ok(response)) => response,
            Progress::Made(Err(error)) => {
                connected.record_fault(&error);
                return Err(match error {
                    ExchangeError::NotSent => End::Rejected,
                    _ => End::Lost("connection broke"),
                });
            }
            Progress::Replaced(next) => {
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(End::Replaced(next));
            }
            Progress::DeadlinePassed => {
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(End::Lost(SILENT));
            }
        };
        self.check_head(connected, request, &mut response).await?;
        Ok(response)
    }

    /// Checks the response head: succeeds only for a signed response with a 2xx status and without an
    /// encoding. Records the outcome of the attempt otherwise.
    async fn check_head(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
        response: &mut Response,
    ) -> Result<(), End> {
        let fields = self.dialect.header_names();
        let status = response.head.status;
        let not_run = response.head.headers.get(fields.not_run).is_some();
        if status == 421 || not_run {
            connected.attempt.finish(AttemptOutcome::Rejected);
            return Err(if status == 409 {
                End::InputsMissing
            } else {
                End::Rejected
            });
        }
        let signed = response.head.headers.get(fields.signature).is_some();
        // Callers ask for no encoding, so encoded bytes are not what the server was asked for.
        let encoded = response.head.headers.get("content-encoding").is_some();
        if (200..300).contains(&status) {
            if signed && !encoded {
                return Ok(());
            }
            connected.attempt.finish(AttemptOutcome::Failure);
            return Err(End::Lost("answer can't be trusted"));
        }
        connected.attempt.finish(AttemptOutcome::Failure);
        let time_left = request.time_to_deadline();
        let body = tokio::time::timeout(time_left, connected.conn.read_body(response)).await;
        // Callers read these statuses as "not run, send again". Without the header field that
        // confirms it, the request may have run.
        let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
        match body {
            Ok(Ok(body)) if signed && !encoded && !implies_not_run => {
                let error_response = std::mem::replace(response, Response::empty());
                Err(End::Failed(error_response, body))
            }
            _ => Err(End::Lost("failed at the server")),
        }
    }
}

/// Gives an attempt up at the deadline. Tells whether the server went on, which may be silent for
/// `patience` after its last output.
fn end_late(
    connected: &ConnectedServer,
    request: &AdmittedRequest<'_>,
    last_output_at: Instant,
    patience: Duration,
) -> End {
    connected.attempt.finish(AttemptOutcome::Abandoned);
    let silence = request.deadline.saturating_duration_since(last_output_at);
    End::Lost(match request.limit.expiry(silence, patience) {
        Expiry::Silence => "stream stalled",
        Expiry::ShortenedTimeout => "shortened timeout passed in the stream",
        Expiry::Deadline => "deadline passed in the stream",
    })
}

impl<W: AsyncWrite + Unpin> ResponseSink<'_, W> {
    /// Forwards a server's error response unchanged.
    pub(super) async fn forward_response(&mut self, response: &Response, body: &[u8]) -> Outcome {
        let status = response.head.status;
        let mut out = response_head(
            status,
            &response.head.headers,
            Some(body.len()),
            !self.keep_alive,
        );
        out.extend_from_slice(body);
        match self.wr.write_all(&out).await {
            Ok(()) => Outcome::Completed(status),
            Err(_) => Outcome::CallerDisconnected,
        }
    }

    /// Id of the event after which another server is to continue; `None` if nothing was forwarded.
    pub(super) fn resume_point(&self) -> Option<u64> {
        let forwarded = self.filter.has_forwarded();
        forwarded.then(|| self.filter.last_event_id()).flatten()
    }
}
