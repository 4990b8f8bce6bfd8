//! Requests whose response is a stream of events.
//!
//! The request's stages run first. Their results are inputs of the request, which then goes to a
//! model engine. The engine's events are forwarded as they arrive. If a resumable stream breaks
//! off, another server continues it after the last event that the caller has. A server that is
//! silent may only pause: it is given up once another one can take over.

mod forward;
mod start;

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use forward::ResponseSink;
use sardineshore_core::flow::batching::{Job, JobStage};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::selection::{RequiredVersion, SelectedServer, SelectionRequest};
use sardineshore_core::flow::stream_versions::{StreamLife, StreamOrigin};
use sardineshore_core::flow::time_limit::time_to_first_event;
use slog::info;
use start::StreamStart;
use tokio::io::AsyncWrite;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Outcome, QUARANTINED, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, deadline_exceeded,
    not_run, not_run_finally,
};
use crate::attempt::{
    AdmittedRequest, Attempt, ConnectedServer, Dispatcher, RETRY_AFTER_NO_SERVER,
};
use crate::reply::ErrorResponse;
use crate::shutdown::Phase;
use crate::stages::ResultGuard;
use crate::state::{elapsed_ms, whole_ms};
use crate::stream::EventFilter;
use crate::stream_versions::PendingRecord;
use crate::upstream::Response;

/// Time that a model engine needs to its first output once it runs the request, unless more is known of
/// the speeds of the engines.
const ENGINE_RUN_TIME: Duration = Duration::from_millis(150);
/// Number of shared prompt tokens from which on the stages run in the failure domain of the server
/// that has the tokens cached. With fewer tokens the request goes to where its inputs are.
const MIN_SHARED_PREFIX_TOKENS: u32 = 1500;
/// Maximum number of times that stages run again because their results were lost before the server
/// fetched them.
const MAX_STAGE_RERUNS: u32 = 1;
/// Maximum number of rejections after which a stream that the caller has a part of is still sent to
/// a further server.
const MAX_REJECTIONS: u32 = 3;

/// Why an attempt at a server without output is lost.
const SILENT: &str = "server silent";

/// How an attempt ended before the stream was complete.
enum End {
    /// The server confirmed that it has not run the request.
    Rejected,
    /// The server has not run the request, because results of its stages no longer exist.
    InputsMissing,
    /// The stream broke off or never began. The server may have run the request; with the reason
    /// for the log.
    Lost(&'static str),
    /// The server is silent, and everything is ready to go on at another one.
    Replaced(Box<ConnectedServer>),
    /// The server sent an error response, which can be forwarded.
    Failed(Response, Vec<u8>),
    /// Writing to the caller failed.
    CallerDisconnected,
}

/// Results of the request's stages that the server needs.
#[derive(Default)]
struct Inputs {
    /// Handles of the results.
    handles: Vec<Name>,
    /// Keeps the results; `None` once they were released.
    guard: Option<ResultGuard>,
}

/// The attempts at one stream.
struct Attempts<'r, 's> {
    request: &'r AdmittedRequest<'r>,
    selection: SelectionRequest,
    inputs: Inputs,
    stats: &'s mut RequestStats,
    /// Number of attempts that the server did not reject.
    runs: u32,
    /// Number of attempts that the server rejected.
    rejections: u32,
    /// Whether the caller has a part of the stream.
    started: bool,
    /// Whether the request takes up a stream that an earlier one began.
    is_taken_up: bool,
    /// Number of records of the version at which the stream may begin.
    records: u32,
    /// What the first event that is forwarded waits for: the record of the stream's origin must be written, and
    /// the stated life must cover the stream.
    record: Option<PendingRecord>,
}

/// Why an attempt can't be made.
enum Unprepared {
    /// The retry budget is used up.
    NoRetriesLeft,
    /// The stages did not run; with the outcome if the request has not run.
    StagesFailed(Outcome),
    /// No server takes the request; with the time after which one may.
    NoServer(Duration),
    /// The like of the request have crashed servers; with the outcome if it has not run.
    Quarantined(Outcome),
    /// The request has not run, and could not end before its deadline.
    TooLate,
}

/// What a server that is waited for has done.
enum Progress<T> {
    /// It went on.
    Made(T),
    /// It is silent, and another server is connected.
    Replaced(Box<ConnectedServer>),
    /// It is silent, and the deadline has passed.
    DeadlinePassed,
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
        let headers = &request.head.headers;
        let fields = self.dialect.header_names();
        let prompt = headers
            .get(fields.prompt_parts)
            .map(|text| self.dialect.parse_prompt(text));
        let resume_after = headers
            .get(fields.last_event_id)
            .and_then(|text| text.trim().parse().ok());
        let taken_up = headers.get(fields.resumes).map(str::trim);
        let is_taken_up = taken_up.is_some() || resume_after.is_some();
        let is_resumable = request.route.kind.is_retryable();
        let StreamStart {
            pool,
            version,
            record,
        } = match self.find_start(request, taken_up, is_taken_up, stats).await {
            Ok(start) => start,
            Err(outcome) => return outcome,
        };
        let versions = self.dispatcher.versions();
        let selection = SelectionRequest {
            favored_version: versions.favored(&pool).filter(|_| is_resumable),
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            prompt: prompt.unwrap_or_default(),
            version,
            body_bytes: request.body.len() as u64,
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
            .usable_servers(&selection, Instant::now());
        if usable_servers == 0 {
            let reason = match selection.version {
                RequiredVersion::Any => "no server",
                RequiredVersion::Exactly(_) => "no server of the stream's version",
                RequiredVersion::Unknown => "version of the stream unknown",
            };
            return not_run(request, RETRY_AFTER_NO_SERVER, reason);
        }
        let queued = Rc::strong_count(&self.unsent_streams) - 1;
        if let Some(wait) = self.dispatcher.expected_wait(&selection, queued)
            && wait > Dispatcher::patience(request)
        {
            return not_run(request, wait, "servers at their rate limits");
        }
        let mut sink = ResponseSink {
            wr,
            keep_alive,
            filter: EventFilter::resume_after(resume_after),
            started: false,
            unsent: Some(self.unsent_streams.clone()),
        };
        let mut attempts = Attempts {
            request,
            selection,
            inputs: Inputs::default(),
            stats: &mut *stats,
            runs: 0,
            rejections: 0,
            started: false,
            is_taken_up,
            records: 0,
            record,
        };
        let outcome = self.run_attempts(&mut attempts, &mut sink).await;
        if !sink.started {
            versions.end(request.id);
        } else if let Outcome::Completed(_) = outcome {
            versions.end(taken_up.unwrap_or(request.id));
        }
        stats.last_event_id = sink.filter.last_event_id();
        outcome
    }

    /// Makes attempts until the stream is complete or no further attempt is possible.
    async fn run_attempts<W: AsyncWrite + Unpin>(
        &self,
        attempts: &mut Attempts<'_, '_>,
        sink: &mut ResponseSink<'_, W>,
    ) -> Outcome {
        let request = attempts.request;
        let max_attempts = request.route.max_attempts.max(1);
        let retryable = request.route.kind.is_retryable();
        let mut stage_reruns = 0;
        // Why an earlier attempt was lost. Once set, the caller must not be told that the request
        // has not run.
        let mut lost: Option<&'static str> = None;
        // A server that replaces a silent one.
        let mut replacement: Option<Box<ConnectedServer>> = None;
        if let Err(outcome) = self.run_stages(attempts).await {
            return outcome;
        }
        loop {
            let connected = match replacement.take() {
                Some(connected) => {
                    attempts.selection.healthy_only = false;
                    self.dispatcher
                        .connect_elsewhere_if_closed(*connected, &mut attempts.selection, request)
                        .await
                        .map(Box::new)
                        .map_err(Unprepared::NoServer)
                }
                None => self.prepare_attempt(attempts, false).await,
            };
            let mut connected = match connected {
                Ok(connected) => connected,
                Err(unprepared) => {
                    return unprepared_outcome(request, unprepared, sink.started, lost);
                }
            };
            self.record_send(attempts, &connected);
            sink.unsent = None;
            // Whether another attempt may follow although this one may have run the request.
            let may_retry = retryable && attempts.runs + 1 < max_attempts;
            let forwarded = self
                .forward(attempts, &mut connected, sink, may_retry)
                .await;
            sink.filter.discard_partial_event();
            attempts.started = sink.started;
            match forwarded {
                Err(End::Rejected | End::InputsMissing) => attempts.rejections += 1,
                _ => attempts.runs += 1,
            }
            match &forwarded {
                Err(End::Lost(reason)) => {
                    self.record_lost_attempt(request, &connected, reason).await;
                }
                Err(End::Replaced(_)) => {
                    self.record_lost_attempt(request, &connected, SILENT).await;
                }
                _ => {}
            }
            match forwarded {
                Ok((status, response)) => {
                    if attempts.runs == 1 && !attempts.is_taken_up {
                        let duration = connected.attempt.elapsed();
                        let mut durations = self.state.stream_durations.borrow_mut();
                        durations.record(&request.route.name, duration, Instant::now());
                    }
                    self.dispatcher.recycle(connected.conn, &response);
                    return Outcome::Completed(status);
                }
                Err(End::CallerDisconnected) => return Outcome::CallerDisconnected,
                Err(End::InputsMissing)
                    if stage_reruns < MAX_STAGE_RERUNS && attempts.may_send_again(max_attempts) =>
                {
                    stage_reruns += 1;
                    drop(attempts.inputs.guard.take());
                    if let Err(outcome) = self.run_stages(attempts).await {
                        return after_lost_attempt(outcome, sink.started, lost);
                    }
                }
                Err(End::Rejected) if attempts.may_send_again(max_attempts) => {}
                Err(End::Rejected | End::InputsMissing) => {
                    return no_attempt_outcome(
                        request,
                        sink.started,
                        lost,
                        RETRY_AFTER_REJECTED,
                        "rejected by the server",
                    );
                }
                Err(End::Replaced(next)) => {
                    lost = Some(SILENT);
                    replacement = Some(next);
                }
                Err(End::Failed(..) | End::Lost(_))
                    if may_retry
                        && sink.filter.can_resume()
                        && !request.time_to_deadline().is_zero() =>
                {
                    lost = Some("server failed");
                }
                Err(End::Failed(response, body)) if !sink.started => {
                    return sink.forward_response(&response, &body).await;
                }
                Err(End::Failed(..)) => return Outcome::Aborted("server failed"),
                Err(End::Lost(reason)) => return lost_outcome(request, sink.started, reason),
            }
        }
    }

    /// Records that the request is sent to a server, and queues the record of its version if the stream
    /// may begin there.
    fn record_send(&self, attempts: &mut Attempts<'_, '_>, connected: &ConnectedServer) {
        let ConnectedServer { server, .. } = connected;
        attempts.stats.attempts += 1;
        attempts.stats.server = Some(server.id.clone());
        attempts.selection.tried.push(server.id.clone());
        self.record_version(attempts, server);
    }

    /// Queues the record of the server's version if the stream may begin there. It takes the place of
    /// those of other servers.
    fn record_version(&self, attempts: &mut Attempts<'_, '_>, server: &SelectedServer) {
        let is_resumable = attempts.request.route.kind.is_retryable();
        if is_resumable && attempts.selection.version == RequiredVersion::Any {
            attempts.records += 1;
            let (request, number) = (attempts.request, attempts.records);
            let origin = StreamOrigin {
                pool: attempts.selection.pool.clone(),
                version: server.version.clone(),
            };
            let life = StreamLife::new(request.caller_waits);
            let versions = self.dispatcher.versions();
            attempts.record = Some(versions.begin(request.route, request.id, number, origin, life));
        }
    }

    /// Gets all that the next attempt needs: a retry of the budget unless it is the first attempt,
    /// the results of the stages, and a connection to a server.
    async fn prepare_attempt(
        &self,
        attempts: &mut Attempts<'_, '_>,
        is_replacement: bool,
    ) -> Result<Box<ConnectedServer>, Unprepared> {
        if self.is_too_late(attempts) {
            return Err(Unprepared::TooLate);
        }
        let is_retry = attempts.stats.attempts > 0;
        let permit = self
            .dispatcher
            .try_acquire_send(&attempts.selection.pool, is_retry)
            .ok_or(Unprepared::NoRetriesLeft)?;
        if attempts.inputs.are_released() {
            // The results were released when output began, so a further attempt needs new ones.
            // The server is selected afterwards: one selected before may accept no work now.
            let ran = self.run_stages(attempts).await;
            ran.map_err(Unprepared::StagesFailed)?;
        }
        let request = attempts.request;
        // A server that replaces a silent one must be better than that.
        attempts.selection.healthy_only = is_replacement;
        let connected = self
            .dispatcher
            .connect(&mut attempts.selection, request)
            .await
            .map_err(Unprepared::NoServer)?;
        let refused = if attempts.runs == 0 && !is_replacement {
            self.refuse_first_send(request).await
        } else {
            self.refuse_quarantined(request, None)
        };
        if let Some(refused) = refused {
            return Err(Unprepared::Quarantined(refused));
        }
        let connected = self
            .dispatcher
            .connect_elsewhere_if_closed(connected, &mut attempts.selection, request)
            .await
            .map_err(Unprepared::NoServer)?;
        // It may have waited for the turn of a server.
        if self.is_too_late(attempts) {
            self.dispatcher.recycle(connected.conn, &Response::empty());
            return Err(Unprepared::TooLate);
        }
        permit.use_up();
        Ok(Box::new(connected))
    }

    /// Whether a request that has not run could not end before its deadline.
    fn is_too_late(&self, attempts: &Attempts<'_, '_>) -> bool {
        let request = attempts.request;
        let (route, limit) = (&request.route.name, request.limit);
        let durations = self.state.stream_durations.borrow();
        let left = request.time_to_deadline();
        let is_new = attempts.runs == 0 && !attempts.is_taken_up;
        is_new && !durations.can_end(route, limit, left, Instant::now())
    }

    /// Waits for the server to go on. If it is silent for `patience` and `may_retry` is set, prepares
    /// another server in the meantime. Until one is connected, the silent server may still go on: it
    /// alone can if there is no replacement.
    async fn wait_for_progress<T>(
        &self,
        attempts: &mut Attempts<'_, '_>,
        attempt: &Attempt,
        progress: impl Future<Output = T>,
        patience: Duration,
        may_retry: bool,
    ) -> Progress<T> {
        let mut progress = pin!(progress);
        let request = attempts.request;
        let count = |end| self.metrics.silences.with_label_values(&[end]).inc();
        let mut is_silent = false;
        loop {
            let wait = if may_retry { patience } else { Duration::MAX };
            let wait = wait.min(request.time_to_deadline());
            // Other requests avoid the server before a replacement is looked for, so that streams of
            // several silent servers don't move from one to the other.
            let waited = tokio::time::timeout(wait / 2, progress.as_mut()).await;
            let waited = match waited {
                Err(_) if !wait.is_zero() => {
                    attempt.record_silence();
                    tokio::time::timeout(wait / 2, progress.as_mut()).await
                }
                waited => waited,
            };
            if let Ok(made) = waited {
                if is_silent {
                    count("went on");
                }
                return Progress::Made(made);
            }
            if request.time_to_deadline().is_zero() {
                count("deadline");
                return Progress::DeadlinePassed;
            }
            is_silent = true;
            attempt.record_silence();
            info!(self.log, "server silent; looking for another one";
                "request" => request.id, "server" => attempts.stats.server.as_deref(),
                "silent_ms" => whole_ms(wait), "left_ms" => whole_ms(request.time_to_deadline()));
            tokio::select! {
                biased;
                made = progress.as_mut() => {
                    count("went on");
                    return Progress::Made(made);
                }
                replacement = self.prepare_attempt(attempts, true) => match replacement {
                    Ok(connected) => {
                        count("replaced");
                        return Progress::Replaced(connected);
                    }
                    Err(unprepared) => {
                        info!(self.log, "no other server; waiting for the silent one";
                            "request" => request.id, "reason" => unprepared.reason());
                    }
                },
            }
        }
    }

    /// Runs the request's stages, if it has any, for the next attempts.
    async fn run_stages(&self, attempts: &mut Attempts<'_, '_>) -> Result<(), Outcome> {
        let request = attempts.request;
        let Some(mut job) = self.build_job(request, &attempts.selection) else {
            return Ok(());
        };
        job.continues = attempts.started || attempts.is_taken_up;
        if job.continues {
            // A forecast may be too long, and a refusal ends what the caller has a part of.
            job.time_to_first_event = job.time_to_deadline;
        }
        let continues = if job.continues { "yes" } else { "no" };
        let start = Instant::now();
        attempts.stats.stages_left_ms = Some(whole_ms(job.time_to_deadline));
        let prompt_cost = attempts.selection.prompt_cost();
        let running = tokio::time::timeout(
            request.time_to_deadline(),
            self.stages.run(job, prompt_cost),
        );
        let result = tokio::select! {
            biased;
            result = running => result,
            // The request could not end before the instance does. It has not run, so that another
            // instance can still serve it.
            () = self.shutdown.wait_refuse_all() => {
                return Err(not_run(request, RETRY_AFTER_REJECTED, "instance stops"));
            }
        };
        attempts.stats.stages_ms += elapsed_ms(start);
        match result {
            Ok(Ok((inputs, guard))) => {
                attempts.selection.input_bytes = inputs.bytes_by_domain;
                attempts.inputs = Inputs {
                    handles: inputs.handles,
                    guard: Some(guard),
                };
                Ok(())
            }
            Ok(Err(refusal)) => {
                self.metrics
                    .stages_refused
                    .with_label_values(&[&*request.route.name, refusal.reason, continues])
                    .inc();
                attempts.stats.stages_refusal = Some(refusal.reason);
                let reason = "stages can't end in time";
                Err(if refusal.is_final {
                    not_run_finally(request, reason)
                } else {
                    not_run(request, refusal.retry_after, reason)
                })
            }
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
        let run_time = self.state.selector.borrow().run_time(
            selection,
            likely_server.as_ref(),
            Instant::now(),
        );
        Some(Job {
            id: request.id.into(),
            key: headers.get(fields.piece_key).unwrap_or_default().into(),
            customer: request
                .caller
                .map_or_else(|| Name::from(""), |caller| caller.customer.clone()),
            route: route.name.clone(),
            rank: request.rank(),
            time_to_soft_deadline: route.target_latency.saturating_sub(elapsed),
            time_to_deadline: request.time_to_deadline(),
            time_to_first_event: time_to_first_event(route, elapsed, request.time_to_deadline()),
            run_time: run_time.unwrap_or(ENGINE_RUN_TIME),
            preferred_domain: likely_server.map_or_else(|| Name::from(""), |server| server.domain),
            stages,
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
            continues: false,
        })
    }
}

impl Inputs {
    /// Whether the stages have to run again before a further attempt.
    fn are_released(&self) -> bool {
        self.guard.is_none() && !self.handles.is_empty()
    }

    /// The handles as a header value; `None` if there are none.
    fn joined(&self) -> Option<String> {
        (!self.handles.is_empty()).then(|| self.handles.join(","))
    }
}

impl Attempts<'_, '_> {
    /// Whether the request may be sent to a further server after a rejection. A stream that the
    /// caller has a part of would be cut off otherwise.
    fn may_send_again(&self, max_attempts: u32) -> bool {
        if self.started {
            self.runs < max_attempts && self.rejections <= MAX_REJECTIONS
        } else {
            self.stats.attempts < max_attempts
        }
    }
}

impl Unprepared {
    /// Reason for the log.
    fn reason(&self) -> &'static str {
        match self {
            Self::NoRetriesLeft => "no repeats left",
            Self::StagesFailed(_) => "stages can't end in time",
            Self::NoServer(_) => "no server",
            Self::Quarantined(_) => QUARANTINED,
            Self::TooLate => "too late to end",
        }
    }
}

/// Outcome after the last possible attempt was lost: the request may have run.
fn lost_outcome(request: &AdmittedRequest<'_>, started: bool, reason: &'static str) -> Outcome {
    if started {
        return Outcome::Aborted(reason);
    }
    Outcome::Failed(if request.time_to_deadline().is_zero() {
        deadline_exceeded(request)
    } else {
        ErrorResponse::OutcomeUnknown(reason)
    })
}

/// Outcome of a request for which no attempt can be made. `lost` tells why an earlier attempt was
/// lost.
fn unprepared_outcome(
    request: &AdmittedRequest<'_>,
    unprepared: Unprepared,
    started: bool,
    lost: Option<&'static str>,
) -> Outcome {
    let reason = unprepared.reason();
    match unprepared {
        Unprepared::StagesFailed(outcome) => after_lost_attempt(outcome, started, lost),
        Unprepared::Quarantined(_) if started => Outcome::Aborted(reason),
        Unprepared::Quarantined(outcome) => match lost {
            Some(lost) => Outcome::Failed(ErrorResponse::OutcomeUnknown(lost)),
            None => outcome,
        },
        Unprepared::NoRetriesLeft | Unprepared::TooLate => {
            no_attempt_outcome(request, started, lost, RETRY_AFTER_REJECTED, reason)
        }
        Unprepared::NoServer(wait) => no_attempt_outcome(request, started, lost, wait, reason),
    }
}

/// Outcome of a request whose stages failed when they ran again. An error response can't follow a part
/// of a stream. `lost` tells why an earlier attempt was lost; only without it the request counts as not
/// run.
fn after_lost_attempt(outcome: Outcome, started: bool, lost: Option<&'static str>) -> Outcome {
    match lost {
        _ if started => Outcome::Aborted("stages can't end in time"),
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
