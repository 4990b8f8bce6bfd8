//! Accepts callers' connections, serves their requests and sends the replies.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::channel::bounded;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response, StatusCode};
use sardineshore_core::NotRunReason;
use sardineshore_core::claim::{IdempotencyKey, fingerprint};
use sardineshore_core::event::entry as events;
use sardineshore_wire::caller::NotRunScope;
use sardineshore_wire::headers;

use crate::api::{
    CallerRequest, Rejection, Target, effective_deadline, parse_target, read_request,
};
use crate::conn::CallerStream;
use crate::instance::Instance;
use crate::job::{Job, RequestOutcome};
use crate::shutdown::InFlight;
use crate::stream::{StreamEvent, TokenSink};
use crate::{admission, reply, runner};

/// Number of tokens buffered between a stage and the caller of a streamed answer.
const STREAM_BUFFER_TOKENS: usize = 256;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the task is cancelled.
pub async fn accept(instance: Arc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&instance, stream),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn spawn_connection(instance: &Arc<Instance>, stream: TcpStream) {
    let Some(open) = instance
        .shutdown
        .track_connection(instance.settings.max_connections)
    else {
        instance.event_log.warn(
            &events::CONNECTIONS_FULL,
            "the connection limit is reached; closed a new connection",
        );
        return;
    };
    let _ = stream.set_nodelay(true);
    let instance = instance.clone();
    task::spawn(async move {
        instance.metrics.add_connections(1);
        serve_connection(&instance, CallerStream::new(stream)).await;
        instance.metrics.add_connections(-1);
        drop(open);
    });
}

/// Serves the requests of one connection, one after the other.
async fn serve_connection(instance: &Arc<Instance>, stream: CallerStream) {
    while wait_for_request(instance, &stream).await {
        // Boxed, so that an idle connection does not hold the memory of a request.
        if !Box::pin(serve_request(instance, &stream)).await {
            // Counted as a request, so that a shutdown doesn't reset the connection either.
            let _in_flight = instance.shutdown.track_request();
            Box::pin(stream.close_gracefully()).await;
            return;
        }
    }
}

/// Waits for the first byte of a request; false if the connection is closed or idle too long.
async fn wait_for_request(instance: &Instance, stream: &CallerStream) -> bool {
    stream.limits().expect_head();
    let started = async_std::future::timeout(IDLE_TIMEOUT, stream.wait_for_data()).fuse();
    let stopped = instance.shutdown.wait_for_idle_close().fuse();
    futures::pin_mut!(started, stopped);
    futures::select_biased! { started = started => started.unwrap_or(false), () = stopped => false }
}

/// Serves one request; returns whether another may follow on the connection.
async fn serve_request(instance: &Arc<Instance>, stream: &CallerStream) -> bool {
    let in_flight: Arc<Mutex<Option<InFlight>>> = Arc::default();
    let endpoint = |req| {
        stream.limits().expect_body();
        let entered = instance.shutdown.track_request();
        *in_flight.lock().expect("slot lock poisoned") = Some(entered);
        respond(instance.clone(), stream.clone(), req)
    };
    let mut server = Server::new(stream.clone(), endpoint);
    let served = {
        let one = server.accept_one().fuse();
        let stopped = wait_for_idle_shutdown(instance, stream).fuse();
        futures::pin_mut!(one, stopped);
        futures::select_biased! { served = one => Some(served), () = stopped => None }
    };
    let was_in_flight = in_flight
        .lock()
        .expect("slot lock poisoned")
        .take()
        .is_some();
    match served {
        Some(Ok(ConnectionStatus::KeepAlive)) => !instance.shutdown.is_stopping(),
        Some(Err(_)) if !was_in_flight => {
            let _ = stream.tcp().write_all(&reply::malformed()).await;
            false
        }
        _ => false,
    }
}

/// Returns when the instance closes idle connections, unless a request has started on this one.
async fn wait_for_idle_shutdown(instance: &Instance, stream: &CallerStream) {
    instance.shutdown.wait_for_idle_close().await;
    if stream.limits().has_head_started() {
        futures::future::pending::<()>().await;
    }
}

async fn respond(
    instance: Arc<Instance>,
    stream: CallerStream,
    mut req: Request,
) -> http_types::Result<Response> {
    let target = parse_target(&req);
    let is_submit = matches!(target, Target::Submit { .. });
    let mut res = match target {
        Target::Health => Response::new(StatusCode::Ok),
        Target::Ready if is_ready(&instance) => Response::new(StatusCode::Ok),
        Target::Ready => Response::new(StatusCode::ServiceUnavailable),
        Target::Metrics => metrics(&instance),
        // Boxed, so that idle connections use little memory.
        Target::Submit { pipeline } => {
            Box::pin(submit(&instance, &stream, &mut req, &pipeline)).await
        }
        Target::Unknown => unknown_path(),
    };
    if !is_submit {
        close_after_unread_body(&stream, &req, &mut res);
    }
    if instance.shutdown.is_stopping() {
        res.insert_header("connection", "close");
    }
    Ok(res)
}

/// Closes the connection of a request whose body is not read. Otherwise the HTTP library would
/// read the whole body without a limit and drop the bytes that it buffered after it, which can be
/// the next request.
fn close_after_unread_body(stream: &CallerStream, req: &Request, res: &mut Response) {
    if req.len() != Some(0) {
        stream.limits().stop_reading();
        res.insert_header("connection", "close");
    }
}

/// Whether the load balancer may send requests to this instance.
fn is_ready(instance: &Instance) -> bool {
    instance.shutdown.is_ready() && instance.gate.may_dispatch()
}

fn unknown_path() -> Response {
    let detail = "no such path or method";
    reply::not_run(NotRunReason::BadRequest, detail, "", NotRunScope::Request)
}

fn metrics(instance: &Instance) -> Response {
    instance
        .metrics
        .set_in_flight(instance.shutdown.in_flight());
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(instance.metrics.text());
    res.insert_header("content-type", "text/plain; version=0.0.4");
    res
}

async fn submit(
    instance: &Arc<Instance>,
    stream: &CallerStream,
    req: &mut Request,
    pipeline: &str,
) -> Response {
    let arrived = instance.clock.now();
    let covers = match req.header(headers::IDEMPOTENCY_KEY) {
        Some(_) => NotRunScope::Send,
        None => NotRunScope::Request,
    };
    let checked = match read_request(req, &instance.settings, arrived).await {
        Ok(caller_request) => build_job(instance, &caller_request, pipeline),
        Err(rejection) => {
            stream.limits().stop_reading();
            Err(rejection)
        }
    };
    match checked {
        Ok(job) if job.streamed => run_streamed(instance, job).await,
        Ok(job) => run_unstreamed(instance, stream, job).await,
        Err(Rejection { reason, detail }) => {
            let mut res = reply::not_run(reason, &detail, "", covers);
            res.insert_header("connection", "close");
            res
        }
    }
}

/// Checks a request against the active configuration and creates its job.
fn build_job(
    instance: &Instance,
    caller_request: &CallerRequest,
    pipeline: &str,
) -> Result<Job, Rejection> {
    if !instance.gate.may_dispatch() {
        let detail = "the configuration is not confirmed";
        return Err(Rejection::new(
            NotRunReason::ConfigurationUnconfirmed,
            detail,
        ));
    }
    let deployment = instance.tables.deployment();
    let Some(pipeline) = deployment.pipelines.get(pipeline) else {
        let detail = format!("pipeline {pipeline:?} is not declared");
        return Err(Rejection::new(NotRunReason::UnknownPipeline, detail));
    };
    let key = if pipeline.is_idempotent() {
        None
    } else {
        Some(check_key(instance, caller_request.key.as_deref())?)
    };
    let job = Job {
        request: instance.new_request(),
        customer: caller_request.customer.clone(),
        pipeline: Arc::new(pipeline.clone()),
        key,
        fingerprint: fingerprint(&pipeline.name, &caller_request.body),
        streamed: caller_request.streamed,
        body: caller_request.body.clone(),
        prefix: caller_request.prefix,
        arrived: caller_request.arrived,
        deadline: effective_deadline(caller_request, pipeline),
    };
    if !instance.shutdown.leaves_time_until(job.deadline) {
        let detail = "the request might not end before the instance does";
        return Err(Rejection::new(NotRunReason::Stopping, detail));
    }
    let text = format!("customer {} pipeline {}", job.customer, job.pipeline.name);
    instance
        .event_log
        .record_request(&job.request, &events::ADMITTED, text);
    Ok(job)
}

/// Parses the idempotency key of a non-idempotent request and checks its age.
fn check_key(instance: &Instance, text: Option<&str>) -> Result<IdempotencyKey, Rejection> {
    let Some(text) = text else {
        let detail = "a non-idempotent pipeline needs the header idempotency-key";
        return Err(Rejection::new(NotRunReason::KeyMissing, detail));
    };
    let key = IdempotencyKey::parse(text)
        .map_err(|reason| Rejection::new(reason, "the key is not a version 7 UUID"))?;
    let retention = instance.claims.retention();
    let aged = retention.check(key, instance.clock.wall_time());
    aged.map_err(|reason| Rejection::new(reason, "the key's own time is outside the window"))?;
    Ok(key)
}

/// Runs a request. If the caller disconnects, an idempotent request is cancelled.
async fn run_unstreamed(instance: &Arc<Instance>, stream: &CallerStream, job: Job) -> Response {
    let idempotent = job.pipeline.is_idempotent();
    let request = job.request.clone();
    let work = run(instance.clone(), job, None);
    if !idempotent {
        return reply::outcome(&work.await, &request, idempotent);
    }
    let work = work.fuse();
    let closed = stream.wait_for_close().fuse();
    futures::pin_mut!(work, closed);
    futures::select_biased! {
        finished = work => reply::outcome(&finished, &request, idempotent),
        () = closed => {
            instance
                .event_log
                .record_request(&request, &events::ABANDONED, "the caller closed the connection");
            Response::new(StatusCode::RequestTimeout)
        }
    }
}

/// Runs a request and streams its answer. A failure before the first token gets an ordinary reply.
async fn run_streamed(instance: &Arc<Instance>, job: Job) -> Response {
    let (tx, rx) = bounded(STREAM_BUFFER_TOKENS);
    let (request, idempotent) = (job.request.clone(), job.pipeline.is_idempotent());
    let head = job.clone();
    let instance = instance.clone();
    task::spawn(async move {
        let finished = run(instance, job, Some(TokenSink::new(tx.clone()))).await;
        let _ = tx.send(StreamEvent::Ended(finished)).await;
    });
    match rx.recv().await {
        Ok(StreamEvent::Ended(finished)) if !matches!(finished, RequestOutcome::Answered(_)) => {
            reply::outcome(&finished, &request, idempotent)
        }
        Ok(first) => reply::streamed(first, rx, &head),
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Runs a request, or gives it up when the process is about to end, and records its outcome.
async fn run(instance: Arc<Instance>, job: Job, sink: Option<TokenSink>) -> RequestOutcome {
    let is_admitted = AtomicBool::new(false);
    let finished = {
        let work = admit_and_run(&instance, &job, sink, &is_admitted).fuse();
        let process_ends = instance.shutdown.wait_for_final_replies().fuse();
        futures::pin_mut!(work, process_ends);
        futures::select_biased! {
            finished = work => finished,
            () = process_ends => match (is_admitted.load(Ordering::Relaxed), job.key) {
                (false, _) => RequestOutcome::not_run(NotRunReason::Stopping, runner::STOPPING),
                (true, None) => runner::given_up(),
                // The runner ends it, so that its claim is settled.
                (true, Some(_)) => work.await,
            },
        }
    };
    record_outcome(&instance, &job, &finished);
    finished
}

/// Passes a request through admission control and runs it. Sets `is_admitted` before it may be sent to
/// a backend server.
async fn admit_and_run(
    instance: &Arc<Instance>,
    job: &Job,
    sink: Option<TokenSink>,
    is_admitted: &AtomicBool,
) -> RequestOutcome {
    match admission::admit(instance, job).await {
        Ok(permit) => {
            is_admitted.store(true, Ordering::Relaxed);
            let finished = runner::run(instance, job, sink).await;
            let in_time = !job.remaining(instance.clock.now()).is_zero();
            let service = admission::expected_service_time(instance, job);
            permit.finish(
                in_time && matches!(finished, RequestOutcome::Answered(_)),
                service,
            );
            finished
        }
        Err(reason) => RequestOutcome::not_run(reason, "refused at admission"),
    }
}

fn record_outcome(instance: &Instance, job: &Job, finished: &RequestOutcome) {
    let latency = instance.clock.now().duration_since(job.arrived);
    instance.metrics.record_outcome(job, finished, latency);
    instance
        .tables
        .totals()
        .record_outcome(&job.customer, finished);
    let (kind, text) = match finished {
        RequestOutcome::Answered(_) => (
            &events::ANSWERED,
            format!("after {} us", latency.as_micros()),
        ),
        RequestOutcome::NotRun { reason, detail, .. } => {
            (&events::REFUSED, format!("{reason:?}: {detail}"))
        }
        RequestOutcome::Unknown { reason, detail } => {
            (&events::UNKNOWN, format!("{reason:?}: {detail}"))
        }
    };
    instance.event_log.record_request(&job.request, kind, text);
}
