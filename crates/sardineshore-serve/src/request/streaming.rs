//! Requests whose answer is a stream of events, after their stages.

use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{Job, JobStage};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::selection::{AttemptOutcome, SelectionRequest};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Outcome, RETRY_AFTER_NO_SERVER, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, not_run,
    select_pool,
};
use crate::attempt::{AdmittedRequest, ConnectedServer, ExtraHeaders};
use crate::reply::{ErrorResponse, response_head, write_chunk};
use crate::shutdown::Phase;
use crate::stages::ResultGuard;
use crate::state::elapsed_ms;
use crate::stream::EventFilter;
use crate::upstream::Response;

/// Time that a model engine needs to its first output, beside waiting.
const RUN_TIME: Duration = Duration::from_millis(150);
/// A resumable stream that was silent for so long goes on at another server.
const STALL: Duration = Duration::from_millis(900);
/// Shortest time that a server has for its first output if another one can be tried.
const FIRST_OUTPUT: Duration = Duration::from_millis(1500);
/// Shared tokens of a prompt from which on it is sent where they are cached; shorter prompts go
/// where their inputs lie.
const PREFIX_MATTERS: u32 = 1500;
/// Most times that lost results of stages are made again.
const REMAKES: u32 = 1;

/// How a send ended before the stream was complete.
enum Broke {
    /// Not run, says the server.
    Rejected,
    /// Inputs are gone; not run.
    InputsGone,
    /// Broke off, or no answer.
    Lost(&'static str),
    /// A failure of the server, to be passed on.
    Failed(Response, Vec<u8>),
    /// The caller can't be written to.
    CallerGone,
}

/// The caller's side of a stream.
struct ResponseSink<'w, W> {
    wr: &'w mut W,
    keep: bool,
    filter: EventFilter,
    started: bool,
}

impl RequestHandler {
    pub(super) async fn handle_stream<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        wr: &mut W,
        keep: bool,
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
        let mut need = SelectionRequest {
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            prompt: prompt.unwrap_or_default(),
            ..SelectionRequest::default()
        };
        if self.shutdown.phase() >= Some(Phase::AcceptShort) {
            return not_run(request, RETRY_AFTER_REJECTED, "instance stops");
        }
        let usable = self
            .state
            .selector
            .borrow()
            .usable_servers(&need.pool, Instant::now());
        if usable == 0 {
            return not_run(request, RETRY_AFTER_NO_SERVER, "no server");
        }
        let resumed_from = headers
            .get(fields.last_event_id)
            .and_then(|text| text.trim().parse().ok());
        let mut sink = ResponseSink {
            wr,
            keep,
            filter: EventFilter::resume_after(resumed_from),
            started: false,
        };
        let end = self.run_stream(request, &mut need, &mut sink, stats).await;
        stats.last_event_id = sink.filter.last_event_id();
        end
    }

    async fn run_stream<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        need: &mut SelectionRequest,
        sink: &mut ResponseSink<'_, W>,
        stats: &mut RequestStats,
    ) -> Outcome {
        let most = request.route.max_attempts.max(1);
        let repeatable = request.route.kind.is_retryable();
        let mut remakes = 0;
        let (mut inputs, mut held) = match self.stages_of(request, need, stats).await {
            Ok(made) => made,
            Err(end) => return end,
        };
        let mut lost: Option<&'static str> = None;
        loop {
            let again = stats.attempts > 0;
            if !self.dispatcher.try_acquire_send(&need.pool, again) {
                return give_up(
                    request,
                    sink.started,
                    lost,
                    RETRY_AFTER_REJECTED,
                    "no repeats left",
                );
            }
            if held.is_none() && !inputs.is_empty() {
                // The results were released when output began, so a further attempt needs new ones.
                // The server is selected afterwards: one selected before may have begun to leave.
                match self.stages_of(request, need, stats).await {
                    Ok(made) => (inputs, held) = made,
                    Err(_) if sink.started => return Outcome::Aborted("stages can't end in time"),
                    Err(end) => return end,
                }
            }
            let Some(mut connected) = self.dispatcher.connect(need, request).await else {
                return give_up(
                    request,
                    sink.started,
                    lost,
                    RETRY_AFTER_NO_SERVER,
                    "no server",
                );
            };
            stats.attempts += 1;
            stats.server = Some(connected.server.id.clone());
            need.tried.push(connected.server.id.clone());
            let more = repeatable && stats.attempts < most;
            let joined = (!inputs.is_empty()).then(|| inputs.join(","));
            let extra = ExtraHeaders {
                inputs: joined.as_deref(),
                last_event_id: sink.after_event(),
            };
            let forwarded = self
                .forward(&mut connected, request, extra, sink, more, &mut held, stats)
                .await;
            sink.filter.discard_partial_event();
            match forwarded {
                Ok((status, response)) => {
                    self.dispatcher.recycle(connected.conn, &response);
                    return Outcome::Completed(status);
                }
                Err(Broke::CallerGone) => return Outcome::CallerDisconnected,
                Err(Broke::InputsGone) if remakes < REMAKES && stats.attempts < most => {
                    remakes += 1;
                    drop(held.take());
                    match self.stages_of(request, need, stats).await {
                        Ok(made) => (inputs, held) = made,
                        Err(end) => return end,
                    }
                }
                Err(Broke::Rejected) if stats.attempts < most => {}
                Err(Broke::Rejected | Broke::InputsGone) => {
                    return give_up(
                        request,
                        sink.started,
                        lost,
                        RETRY_AFTER_REJECTED,
                        "rejected by the server",
                    );
                }
                Err(Broke::Failed(..) | Broke::Lost(_)) if more => lost = Some("server failed"),
                Err(Broke::Failed(response, body)) if !sink.started => {
                    return sink.pass_on(&response, &body).await;
                }
                Err(Broke::Failed(..)) => return Outcome::Aborted("server failed"),
                Err(Broke::Lost(reason)) => return ended_by(request, sink.started, reason),
            }
        }
    }

    /// Has the stages made. Without stages there are no inputs.
    async fn stages_of(
        &self,
        request: &AdmittedRequest<'_>,
        need: &mut SelectionRequest,
        stats: &mut RequestStats,
    ) -> Result<(Vec<Name>, Option<ResultGuard>), Outcome> {
        let Some(job) = self.job(request, need) else {
            return Ok((Vec::new(), None));
        };
        let start = Instant::now();
        let making = tokio::time::timeout(request.time_to_deadline(), self.stages.run(job));
        let made = tokio::select! {
            biased;
            made = making => made,
            // The instance ends before the request could: it has not run, others can serve it.
            () = self.shutdown.wait_refuse_all() => {
                return Err(not_run(request, RETRY_AFTER_REJECTED, "instance stops"));
            }
        };
        stats.stages_ms += elapsed_ms(start);
        match made {
            Ok(Ok((inputs, held))) => {
                need.input_bytes = inputs.bytes_by_domain;
                Ok((inputs.handles, Some(held)))
            }
            Ok(Err(retry_after)) => Err(not_run(request, retry_after, "stages can't end in time")),
            Err(_) => Err(not_run(request, Duration::ZERO, "time over in stages")),
        }
    }

    fn job(&self, request: &AdmittedRequest<'_>, need: &SelectionRequest) -> Option<Job> {
        let route = request.route;
        let headers = &request.head.headers;
        let fields = self.dialect.header_names();
        let counts = headers
            .get(fields.piece_counts)
            .and_then(|text| self.dialect.parse_piece_counts(text))?;
        let stages: Vec<JobStage> = route
            .stages
            .iter()
            .zip(counts.into_iter().chain(std::iter::repeat(0)))
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
        let waited = request.arrived_at.elapsed();
        let near = if need.shared_tokens() >= PREFIX_MATTERS {
            self.state.selector.borrow().select(need, Instant::now())
        } else {
            None
        };
        Some(Job {
            id: request.id.into(),
            key: headers.get(fields.piece_key).unwrap_or_default().into(),
            rank: request.rank(),
            time_to_soft_deadline: route.target_latency.saturating_sub(waited),
            time_to_deadline: request.time_to_deadline(),
            run_time: RUN_TIME,
            preferred_domain: near.map_or_else(|| Name::from(""), |place| place.domain),
            stages,
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
        })
    }

    #[expect(clippy::too_many_arguments, reason = "the state of one stream")]
    async fn forward<W: AsyncWrite + Unpin>(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
        extra: ExtraHeaders<'_>,
        sink: &mut ResponseSink<'_, W>,
        more: bool,
        held: &mut Option<ResultGuard>,
        stats: &mut RequestStats,
    ) -> Result<(u16, Response), Broke> {
        let left = request.time_to_deadline();
        let patience = if more {
            (left / 2).max(FIRST_OUTPUT).min(left)
        } else {
            left
        };
        let sent = self.dispatcher.send(connected, request, extra);
        let sent = tokio::time::timeout(patience, sent).await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => {
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(Broke::Lost("connection broke"));
            }
            Err(_) => {
                connected.attempt.finish(AttemptOutcome::Broken);
                return Err(Broke::Lost("server silent"));
            }
        };
        self.check_head(connected, &mut response, left).await?;
        let status = response.head.status;
        let mut chunk = Vec::new();
        let mut wait = patience;
        let mut heard = Instant::now();
        loop {
            let next = connected.conn.next_chunk(&mut response);
            let data = match tokio::time::timeout(wait.min(request.time_to_deadline()), next).await
            {
                Ok(Ok(data)) => data,
                Ok(Err(_)) => {
                    connected.attempt.finish(AttemptOutcome::Broken);
                    return Err(Broke::Lost("stream broke off"));
                }
                Err(_) => {
                    let over = request.time_to_deadline().is_zero();
                    connected.attempt.finish(if over {
                        AttemptOutcome::Abandoned
                    } else {
                        AttemptOutcome::Broken
                    });
                    return Err(Broke::Lost("stream stalled"));
                }
            };
            let Some(data) = data else {
                if sink.filter.has_partial_event() || !sink.started {
                    connected.attempt.finish(AttemptOutcome::Failure);
                    return Err(Broke::Lost("stream ended inside an event"));
                }
                let ended = sink.wr.write_all(b"0\r\n\r\n").await;
                return ended
                    .map(|()| {
                        connected
                            .attempt
                            .finish(AttemptOutcome::Answered(Duration::from_millis(100)));
                        (status, response)
                    })
                    .map_err(|_| Broke::CallerGone);
            };
            sink.filter.push(&data);
            let Ok(events) = sink.filter.take_events() else {
                connected.attempt.finish(AttemptOutcome::Failure);
                return Err(Broke::Lost("events out of order"));
            };
            if events.is_empty() {
                continue;
            }
            if sink.started {
                stats.max_pause_ms = stats.max_pause_ms.max(elapsed_ms(heard));
            } else {
                chunk = response_head(status, &response.head.headers, None, !sink.keep);
                sink.started = true;
                stats.first_byte_ms = Some(elapsed_ms(request.arrived_at));
            }
            heard = Instant::now();
            connected.attempt.record_first_output();
            // The engine has fetched the inputs once it produces output.
            drop(held.take());
            if more {
                wait = STALL;
            }
            write_chunk(sink.wr, &mut chunk, &events)
                .await
                .map_err(|_| Broke::CallerGone)?;
        }
    }

    async fn check_head(
        &self,
        connected: &mut ConnectedServer,
        response: &mut Response,
        left: Duration,
    ) -> Result<(), Broke> {
        let fields = self.dialect.header_names();
        let status = response.head.status;
        let not_run = response.head.headers.get(fields.not_run).is_some();
        if status == 421 || not_run {
            connected.attempt.finish(AttemptOutcome::Rejected);
            return Err(if status == 409 {
                Broke::InputsGone
            } else {
                Broke::Rejected
            });
        }
        let sealed = response.head.headers.get(fields.signature).is_some();
        if (200..300).contains(&status) {
            if sealed {
                return Ok(());
            }
            connected.attempt.finish(AttemptOutcome::Failure);
            return Err(Broke::Lost("answer without signature"));
        }
        connected.attempt.finish(AttemptOutcome::Failure);
        let body = tokio::time::timeout(left, connected.conn.read_body(response)).await;
        let promises = matches!(status, 408 | 421 | 429 | 503);
        match body {
            Ok(Ok(body)) if sealed && !promises => {
                let failed = std::mem::replace(response, Response::empty());
                Err(Broke::Failed(failed, body))
            }
            _ => Err(Broke::Lost("failed at the server")),
        }
    }
}

impl<W: AsyncWrite + Unpin> ResponseSink<'_, W> {
    /// Passes a server's failure on as it is.
    async fn pass_on(&mut self, response: &Response, body: &[u8]) -> Outcome {
        let status = response.head.status;
        let mut out = response_head(status, &response.head.headers, Some(body.len()), !self.keep);
        out.extend_from_slice(body);
        match self.wr.write_all(&out).await {
            Ok(()) => Outcome::Completed(status),
            Err(_) => Outcome::CallerDisconnected,
        }
    }

    /// Event after which another server goes on, if any was passed on.
    fn after_event(&self) -> Option<u64> {
        let passed = self.filter.has_forwarded();
        passed.then(|| self.filter.last_event_id()).flatten()
    }
}

/// End of a request that was sent and has no answer.
fn ended_by(request: &AdmittedRequest<'_>, started: bool, reason: &'static str) -> Outcome {
    if started {
        return Outcome::Aborted(reason);
    }
    Outcome::Failed(if request.time_to_deadline().is_zero() {
        ErrorResponse::DeadlineExceeded
    } else {
        ErrorResponse::OutcomeUnknown(reason)
    })
}

fn give_up(
    request: &AdmittedRequest<'_>,
    started: bool,
    lost: Option<&'static str>,
    wait: Duration,
    reason: &'static str,
) -> Outcome {
    match (started, lost) {
        (true, _) => Outcome::Aborted(lost.unwrap_or(reason)),
        (false, Some(lost)) => Outcome::Failed(ErrorResponse::OutcomeUnknown(lost)),
        (false, None) => not_run(request, wait, reason),
    }
}
