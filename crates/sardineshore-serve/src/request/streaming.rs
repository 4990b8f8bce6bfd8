//! Requests whose response is a stream of events.
//!
//! The request's stages run first. Their results are inputs of the request, which then goes to a
//! model engine. The engine's events are forwarded as they arrive. If a resumable stream breaks
//! off, another server continues it after the last event that the caller has.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{Job, JobStage};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::selection::{AttemptOutcome, SelectionRequest};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Outcome, QUARANTINED, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, not_run, select_pool,
};
use crate::attempt::{
    AdmittedRequest, ConnectedServer, Dispatcher, ExtraHeaders, RETRY_AFTER_NO_SERVER,
};
use crate::reply::{ErrorResponse, response_head, write_chunk};
use crate::shutdown::Phase;
use crate::stages::ResultGuard;
use crate::state::elapsed_ms;
use crate::stream::EventFilter;
use crate::upstream::Response;

/// Time that a model engine needs to its first output once it runs the request.
const ENGINE_RUN_TIME: Duration = Duration::from_millis(150);
/// Time without an event after which another server continues a resumable stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Minimum time that a server gets for its first output while another server can still be tried.
const MIN_FIRST_OUTPUT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of shared prompt tokens from which on the stages run in the failure domain of the server
/// that has the tokens cached. With fewer tokens the request goes to where its inputs are.
const MIN_SHARED_PREFIX_TOKENS: u32 = 1500;
/// Maximum number of times that stages run again because their results were lost before the server
/// fetched them.
const MAX_STAGE_RERUNS: u32 = 1;

/// How an attempt ended before the stream was complete.
enum End {
    /// The server confirmed that it has not run the request.
    Rejected,
    /// The server has not run the request, because results of its stages no longer exist.
    InputsMissing,
    /// The stream broke off or never began. The server may have run the request; with the reason
    /// for the log.
    Lost(&'static str),
    /// The server sent an error response, which can be forwarded.
    Failed(Response, Vec<u8>),
    /// Writing to the caller failed.
    CallerDisconnected,
}

/// Where the stream is written to, and how much of it the caller has.
struct ResponseSink<'w, W> {
    wr: &'w mut W,
    keep_alive: bool,
    filter: EventFilter,
    /// Whether the response head has been sent.
    started: bool,
    /// Counts the stream among those that were not sent to a server yet.
    unsent: Option<Rc<()>>,
}

impl RequestHandler {
    /// Runs the request's stages, sends it to a model engine and forwards the events.
    pub(super) async fn handle_stream<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        wr: &mut W,
        keep_alive: bool,
        stats: &mut RequestStats,
    ) -> Outcome {
        let Some(pool) = select_pool(request.route, request.id) else {
            return not_run(request, RETRY_AFTER_NO_SERVER, "route without pool");
        };
        let headers = &request.head.headers;
        let fields = self.dialect.header_names();
        let prompt = headers
            .get(fields.prompt_parts)
            .map(|text| self.dialect.parse_prompt(text));
        let mut selection = SelectionRequest {
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            prompt: prompt.unwrap_or_default(),
            ..SelectionRequest::default()
        };
        if self.shutdown.phase() >= Some(Phase::AcceptShort) {
            return not_run(request, RETRY_AFTER_REJECTED, "instance stops");
        }
        if let Some(pause) = self.dispatcher.pause_left(&selection)
            && pause > Dispatcher::patience(request)
        {
            return not_run(request, pause, "servers want a pause");
        }
        let usable_servers = self
            .state
            .selector
            .borrow()
            .usable_servers(&selection.pool, Instant::now());
        if usable_servers == 0 {
            return not_run(request, RETRY_AFTER_NO_SERVER, "no server");
        }
        let queued = Rc::strong_count(&self.unsent_streams) - 1;
        if let Some(wait) = self.dispatcher.expected_wait(&selection, queued)
            && wait > Dispatcher::patience(request)
        {
            return not_run(request, wait, "servers at their rate limits");
        }
        let resume_after = headers
            .get(fields.last_event_id)
            .and_then(|text| text.trim().parse().ok());
        let mut sink = ResponseSink {
            wr,
            keep_alive,
            filter: EventFilter::resume_after(resume_after),
            started: false,
            unsent: Some(self.unsent_streams.clone()),
        };
        let outcome = self
            .run_attempts(request, &mut selection, &mut sink, stats)
            .await;
        stats.last_event_id = sink.filter.last_event_id();
        outcome
    }

    /// Makes attempts until the stream is complete or no further attempt is possible.
    async fn run_attempts<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        selection: &mut SelectionRequest,
        sink: &mut ResponseSink<'_, W>,
        stats: &mut RequestStats,
    ) -> Outcome {
        let max_attempts = request.route.max_attempts.max(1);
        let retryable = request.route.kind.is_retryable();
        let mut stage_reruns = 0;
        let (mut inputs, mut guard) = match self.run_stages(request, selection, stats).await {
            Ok(stage_results) => stage_results,
            Err(outcome) => return outcome,
        };
        // Why an earlier attempt was lost. Once set, the caller must not be told that the request
        // has not run.
        let mut lost: Option<&'static str> = None;
        loop {
            let is_retry = stats.attempts > 0;
            if !self.dispatcher.try_acquire_send(&selection.pool, is_retry) {
                return no_attempt_outcome(
                    request,
                    sink.started,
                    lost,
                    RETRY_AFTER_REJECTED,
                    "no repeats left",
                );
            }
            if guard.is_none() && !inputs.is_empty() {
                // The results were released when output began, so a further attempt needs new ones.
                // The server is selected afterwards: one selected before may accept no work now.
                match self.run_stages(request, selection, stats).await {
                    Ok(stage_results) => (inputs, guard) = stage_results,
                    Err(_) if sink.started => return Outcome::Aborted("stages can't end in time"),
                    Err(outcome) => return after_lost_attempt(outcome, lost),
                }
            }
            let mut connected = match self.dispatcher.connect(selection, request).await {
                Ok(connected) => connected,
                Err(wait) => {
                    return no_attempt_outcome(request, sink.started, lost, wait, "no server");
                }
            };
            if let Some(refused) = self.refuse_quarantined(request, lost) {
                return sink.refused(refused);
            }
            stats.attempts += 1;
            sink.unsent = None;
            stats.server = Some(connected.server.id.clone());
            selection.tried.push(connected.server.id.clone());
            // Whether another attempt may follow although this one may have run the request.
            let may_retry = retryable && stats.attempts < max_attempts;
            let joined_inputs = (!inputs.is_empty()).then(|| inputs.join(","));
            let extra = ExtraHeaders {
                inputs: joined_inputs.as_deref(),
                last_event_id: sink.resume_point(),
            };
            let forwarded = self
                .forward(
                    &mut connected,
                    request,
                    extra,
                    sink,
                    may_retry,
                    &mut guard,
                    stats,
                )
                .await;
            sink.filter.discard_partial_event();
            if let Err(End::Lost(reason)) = forwarded {
                self.record_lost_attempt(request, &connected, reason).await;
            }
            match forwarded {
                Ok((status, response)) => {
                    self.dispatcher.recycle(connected.conn, &response);
                    return Outcome::Completed(status);
                }
                Err(End::CallerDisconnected) => return Outcome::CallerDisconnected,
                Err(End::InputsMissing)
                    if stage_reruns < MAX_STAGE_RERUNS && stats.attempts < max_attempts =>
                {
                    stage_reruns += 1;
                    drop(guard.take());
                    match self.run_stages(request, selection, stats).await {
                        Ok(stage_results) => (inputs, guard) = stage_results,
                        Err(outcome) => return after_lost_attempt(outcome, lost),
                    }
                }
                Err(End::Rejected) if stats.attempts < max_attempts => {}
                Err(End::Rejected | End::InputsMissing) => {
                    return no_attempt_outcome(
                        request,
                        sink.started,
                        lost,
                        RETRY_AFTER_REJECTED,
                        "rejected by the server",
                    );
                }
                Err(End::Failed(..) | End::Lost(_)) if may_retry => lost = Some("server failed"),
                Err(End::Failed(response, body)) if !sink.started => {
                    return sink.forward_response(&response, &body).await;
                }
                Err(End::Failed(..)) => return Outcome::Aborted("server failed"),
                Err(End::Lost(reason)) => return lost_outcome(request, sink.started, reason),
            }
        }
    }

    /// Runs the request's stages. Returns the handles of their results, which are the request's
    /// inputs, and the guard that keeps the results; nothing if the request has no stages.
    async fn run_stages(
        &self,
        request: &AdmittedRequest<'_>,
        selection: &mut SelectionRequest,
        stats: &mut RequestStats,
    ) -> Result<(Vec<Name>, Option<ResultGuard>), Outcome> {
        let Some(job) = self.build_job(request, selection) else {
            return Ok((Vec::new(), None));
        };
        let start = Instant::now();
        let running = tokio::time::timeout(request.time_to_deadline(), self.stages.run(job));
        let result = tokio::select! {
            biased;
            result = running => result,
            // The request could not end before the instance does. It has not run, so that another
            // instance can still serve it.
            () = self.shutdown.wait_refuse_all() => {
                return Err(not_run(request, RETRY_AFTER_REJECTED, "instance stops"));
            }
        };
        stats.stages_ms += elapsed_ms(start);
        match result {
            Ok(Ok((inputs, guard))) => {
                selection.input_bytes = inputs.bytes_by_domain;
                Ok((inputs.handles, Some(guard)))
            }
            Ok(Err(retry_after)) => Err(not_run(request, retry_after, "stages can't end in time")),
            Err(_) => Err(not_run(request, Duration::ZERO, "time over in stages")),
        }
    }

    /// Describes the request's stages as a job; `None` if there is nothing to run.
    fn build_job(
        &self,
        request: &AdmittedRequest<'_>,
        selection: &SelectionRequest,
    ) -> Option<Job> {
        let route = request.route;
        let headers = &request.head.headers;
        let fields = self.dialect.header_names();
        let piece_counts = headers
            .get(fields.piece_counts)
            .and_then(|text| self.dialect.parse_piece_counts(text))?;
        let stages: Vec<JobStage> = route
            .stages
            .iter()
            .zip(piece_counts.into_iter().chain(std::iter::repeat(0)))
            .map(|(stage, pieces)| JobStage {
                pool: stage.pool.clone(),
                depends_on: stage.depends_on.clone(),
                pieces,
                result_bytes: stage.result_bytes,
            })
            .collect();
        if stages.iter().all(|stage| stage.pieces == 0) {
            return None;
        }
        let elapsed = request.arrived_at.elapsed();
        let likely_server = if selection.shared_tokens() >= MIN_SHARED_PREFIX_TOKENS {
            self.state
                .selector
                .borrow()
                .select(selection, Instant::now())
        } else {
            None
        };
        Some(Job {
            id: request.id.into(),
            key: headers.get(fields.piece_key).unwrap_or_default().into(),
            rank: request.rank(),
            time_to_soft_deadline: route.target_latency.saturating_sub(elapsed),
            time_to_deadline: request.time_to_deadline(),
            run_time: ENGINE_RUN_TIME,
            preferred_domain: likely_server.map_or_else(|| Name::from(""), |server| server.domain),
            stages,
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
        })
    }

    /// Makes one attempt: sends the request and forwards the events.
    ///
    /// With `may_retry` it gives up a silent server early, so that another one can go on. Drops
    /// the results' guard at the first output. Returns the status and the response, whose
    /// connection may be reused.
    #[expect(clippy::too_many_arguments, reason = "the state of one stream")]
    async fn forward<W: AsyncWrite + Unpin>(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
        extra: ExtraHeaders<'_>,
        sink: &mut ResponseSink<'_, W>,
        may_retry: bool,
        guard: &mut Option<ResultGuard>,
        stats: &mut RequestStats,
    ) -> Result<(u16, Response), End> {
        let time_left = request.time_to_deadline();
        let first_output_timeout = if may_retry {
            (time_left / 2).max(MIN_FIRST_OUTPUT_TIMEOUT).min(time_left)
        } else {
            time_left
        };
        let sent = self.dispatcher.send(connected, request, extra);
        let sent = tokio::time::timeout(first_output_timeout, sent).await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => {
                connected.attempt.record_lost_connection();
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(End::Lost("connection broke"));
            }
            Err(_) => {
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(End::Lost("server silent"));
            }
        };
        self.check_head(connected, &mut response, time_left).await?;
        let status = response.head.status;
        let mut pending = Vec::new();
        let mut wait = first_output_timeout;
        let mut last_output_at = Instant::now();
        let mut sound_output_recorded = false;
        loop {
            let next = connected.conn.next_chunk(&mut response);
            let wait_for_next = wait.min(request.time_to_deadline());
            let data = match tokio::time::timeout(wait_for_next, next).await {
                // A server that always has bytes ready would never time out.
                Ok(Ok(Some(_))) if request.time_to_deadline().is_zero() => {
                    connected.attempt.finish(AttemptOutcome::Abandoned);
                    return Err(End::Lost("deadline passed in the stream"));
                }
                Ok(Ok(data)) => data,
                Ok(Err(_)) => {
                    connected.attempt.record_lost_connection();
                    connected.attempt.finish(AttemptOutcome::Broken);
                    return Err(End::Lost("stream broke off"));
                }
                Err(_) => {
                    let deadline_passed = request.time_to_deadline().is_zero();
                    connected.attempt.finish(if deadline_passed {
                        AttemptOutcome::Abandoned
                    } else {
                        AttemptOutcome::Broken
                    });
                    return Err(End::Lost("stream stalled"));
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
                        (status, response)
                    })
                    .map_err(|_| End::CallerDisconnected);
            };
            sink.filter.push(&data);
            let Ok(events) = sink.filter.take_events() else {
                connected.attempt.finish(AttemptOutcome::Failure);
                return Err(End::Lost("events out of order"));
            };
            if events.is_empty() {
                continue;
            }
            if sink.started {
                stats.max_pause_ms = stats.max_pause_ms.max(elapsed_ms(last_output_at));
            } else {
                pending = response_head(status, &response.head.headers, None, !sink.keep_alive);
                sink.started = true;
                stats.first_byte_ms = Some(elapsed_ms(request.arrived_at));
            }
            last_output_at = Instant::now();
            connected.attempt.record_first_output();
            if !sound_output_recorded && connected.attempt.is_sound() {
                sound_output_recorded = true;
                self.dispatcher.crashes().record_output(&request.features);
            }
            // The engine has fetched its inputs once it produces output.
            drop(guard.take());
            if may_retry {
                wait = STALL_TIMEOUT;
            }
            write_chunk(sink.wr, &mut pending, &events)
                .await
                .map_err(|_| End::CallerDisconnected)?;
        }
    }

    /// Checks the response head: succeeds only for a signed response with a 2xx status. Records
    /// the outcome of the attempt otherwise.
    async fn check_head(
        &self,
        connected: &mut ConnectedServer,
        response: &mut Response,
        time_left: Duration,
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
        if (200..300).contains(&status) {
            if signed {
                return Ok(());
            }
            connected.attempt.finish(AttemptOutcome::Failure);
            return Err(End::Lost("answer without signature"));
        }
        connected.attempt.finish(AttemptOutcome::Failure);
        let body = tokio::time::timeout(time_left, connected.conn.read_body(response)).await;
        // Callers read these statuses as "not run, send again". Without the header field that
        // confirms it, the request may have run.
        let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
        match body {
            Ok(Ok(body)) if signed && !implies_not_run => {
                let error_response = std::mem::replace(response, Response::empty());
                Err(End::Failed(error_response, body))
            }
            _ => Err(End::Lost("failed at the server")),
        }
    }
}

impl<W: AsyncWrite + Unpin> ResponseSink<'_, W> {
    /// Forwards a server's error response unchanged.
    async fn forward_response(&mut self, response: &Response, body: &[u8]) -> Outcome {
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

    /// Outcome of a request that is refused after earlier attempts.
    fn refused(&self, outcome: Outcome) -> Outcome {
        if self.started {
            Outcome::Aborted(QUARANTINED)
        } else {
            outcome
        }
    }

    /// Id of the event after which another server is to continue; `None` if nothing was forwarded.
    fn resume_point(&self) -> Option<u64> {
        let forwarded = self.filter.has_forwarded();
        forwarded.then(|| self.filter.last_event_id()).flatten()
    }
}

/// Outcome after the last possible attempt was lost: the request may have run.
fn lost_outcome(request: &AdmittedRequest<'_>, started: bool, reason: &'static str) -> Outcome {
    if started {
        return Outcome::Aborted(reason);
    }
    Outcome::Failed(if request.time_to_deadline().is_zero() {
        ErrorResponse::DeadlineExceeded
    } else {
        ErrorResponse::OutcomeUnknown(reason)
    })
}

/// Outcome of a request without output whose stages failed when they ran again. `lost` tells why an
/// earlier attempt was lost; only without it the request counts as not run.
fn after_lost_attempt(outcome: Outcome, lost: Option<&'static str>) -> Outcome {
    match lost {
        Some(lost) => Outcome::Failed(ErrorResponse::OutcomeUnknown(lost)),
        None => outcome,
    }
}

/// Outcome when no further attempt is made. `lost` tells why an earlier attempt was lost; only
/// without it the request counts as not run.
fn no_attempt_outcome(
    request: &AdmittedRequest<'_>,
    started: bool,
    lost: Option<&'static str>,
    retry_after: Duration,
    reason: &'static str,
) -> Outcome {
    match (started, lost) {
        (true, _) => Outcome::Aborted(lost.unwrap_or(reason)),
        (false, Some(lost)) => Outcome::Failed(ErrorResponse::OutcomeUnknown(lost)),
        (false, None) => not_run(request, retry_after, reason),
    }
}
