//! Accepts callers' connections and answers their requests.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::task;
use async_std::channel::bounded;
use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response, StatusCode};
use sardineshore_core::NotRunReason;
use sardineshore_core::claim::{IdempotencyKey, fingerprint};
use sardineshore_core::event::entry as events;
use sardineshore_wire::headers;
use sardineshore_wire::caller::NotRunScope;

use crate::{admission, reply, runner};
use crate::api::{CallerRequest, Rejection, Target, effective_deadline, parse_target, read_request};
use crate::conn::CallerStream;
use crate::instance::Instance;
use crate::job::{Job, RequestOutcome};
use crate::shutdown::InFlight;
use crate::stream::{StreamEvent, TokenSink};

const STREAM_BUFFER_TOKENS: usize = 256;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the listener is dropped.
pub async fn accept(instance: Arc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&instance, stream),
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn spawn_connection(instance: &Arc<Instance>, stream: TcpStream) {
    let Some(open) = instance
        .shutdown
        .track_connection(instance.settings.max_connections)
    else {
        instance
            .event_log
            .warn(&events::CONNECTIONS_FULL, "connection closed");
        return;
    };
    let _ = stream.set_nodelay(true);
    let instance = instance.clone();
    task::spawn(async move {
        instance.metrics.connections(1);
        serve(&instance, CallerStream::new(stream)).await;
        instance.metrics.connections(-1);
        drop(open);
    });
}

/// Serves the requests of one connection, one after the other.
async fn serve(instance: &Arc<Instance>, stream: CallerStream) {
    while arrives(instance, &stream).await {
        // Boxed, so that an idle connection does not hold the memory of a request.
        if !Box::pin(exchange(instance, &stream)).await {
            return;
        }
    }
}

/// Waits for the first byte of a request; false if none will come.
async fn arrives(instance: &Instance, stream: &CallerStream) -> bool {
    stream.reads().expect_head();
    let begun = async_std::future::timeout(IDLE_TIMEOUT, stream.begun()).fuse();
    let stopped = instance.shutdown.wait_for_idle_close().fuse();
    futures::pin_mut!(begun, stopped);
    futures::select_biased! { begun = begun => begun.unwrap_or(false), () = stopped => false }
}

/// Serves one request; whether another may follow on the connection.
async fn exchange(instance: &Arc<Instance>, stream: &CallerStream) -> bool {
    let in_flight: Arc<Mutex<Option<InFlight>>> = Arc::default();
    let endpoint = |req| {
        stream.reads().expect_body();
        let entered = instance.shutdown.track_request();
        *in_flight.lock().expect("slot lock poisoned") = Some(entered);
        answer(instance.clone(), stream.clone(), req)
    };
    let mut server = Server::new(stream.clone(), endpoint);
    let served = {
        let one = server.accept_one().fuse();
        let stopped = idle_stop(instance, stream).fuse();
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

/// Returns when the instance closes connections on which no request has begun.
async fn idle_stop(instance: &Instance, stream: &CallerStream) {
    instance.shutdown.wait_for_idle_close().await;
    if stream.reads().has_begun() {
        futures::future::pending::<()>().await;
    }
}

async fn answer(
    instance: Arc<Instance>,
    stream: CallerStream,
    mut req: Request,
) -> http_types::Result<Response> {
    let target = parse_target(&req);
    let reads_body = matches!(target, Target::Submit { .. });
    let mut res = match target {
        Target::Health => Response::new(StatusCode::Ok),
        Target::Ready if is_ready(&instance) => Response::new(StatusCode::Ok),
        Target::Ready => Response::new(StatusCode::ServiceUnavailable),
        Target::Metrics => metrics(&instance),
        // On the heap, so that idle connections stay small.
        Target::Submit { pipeline } => {
            Box::pin(submit(&instance, &stream, &mut req, &pipeline)).await
        }
        Target::Unknown => no_such_path(),
    };
    if !reads_body {
        leave_body(&stream, &req, &mut res);
    }
    if instance.shutdown.is_stopping() {
        res.insert_header("connection", "close");
    }
    Ok(res)
}

/// Ends the connection of a request whose body nobody reads. The HTTP library would read it to its
/// end, without a limit, and drop what it buffered beyond it, which can be the next request.
fn leave_body(stream: &CallerStream, req: &Request, res: &mut Response) {
    if req.len() != Some(0) {
        stream.reads().cut();
        res.insert_header("connection", "close");
    }
}

/// Whether the balancer may send callers here.
fn is_ready(instance: &Instance) -> bool {
    instance.shutdown.is_ready() && instance.gate.may_dispatch()
}

fn no_such_path() -> Response {
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
        Ok(arrival) => job(instance, &arrival, pipeline),
        Err(refused) => {
            stream.reads().cut();
            Err(refused)
        }
    };
    match checked {
        Ok(job) if job.streamed => run_streamed(instance, job).await,
        Ok(job) => run_whole(instance, stream, job).await,
        Err(Rejection { reason, detail }) => {
            let mut res = reply::not_run(reason, &detail, "", covers);
            res.insert_header("connection", "close");
            res
        }
    }
}

/// Checks an arrival against the configuration in force.
fn job(instance: &Instance, arrival: &CallerRequest, pipeline: &str) -> Result<Job, Rejection> {
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
        Some(checked_key(instance, arrival.key.as_deref())?)
    };
    let job = Job {
        request: instance.new_request(),
        customer: arrival.customer.clone(),
        pipeline: Arc::new(pipeline.clone()),
        key,
        fingerprint: fingerprint(&pipeline.name, &arrival.body),
        streamed: arrival.streamed,
        body: arrival.body.clone(),
        prefix: arrival.prefix,
        arrived: arrival.arrived,
        deadline: effective_deadline(arrival, pipeline),
    };
    let text = format!("customer {} pipeline {}", job.customer, job.pipeline.name);
    instance
        .event_log
        .record_request(&job.request, &events::ADMITTED, text);
    Ok(job)
}

/// Reads the key of a non-idempotent request and checks its age.
fn checked_key(instance: &Instance, text: Option<&str>) -> Result<IdempotencyKey, Rejection> {
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

/// Runs a request; if its caller goes away, idempotent work is cancelled.
async fn run_whole(instance: &Arc<Instance>, stream: &CallerStream, job: Job) -> Response {
    let idempotent = job.pipeline.is_idempotent();
    let request = job.request.clone();
    let work = run(instance.clone(), job, None);
    if !idempotent {
        return reply::finished(&work.await, &request, idempotent);
    }
    let work = work.fuse();
    let closed = stream.closed().fuse();
    futures::pin_mut!(work, closed);
    futures::select_biased! {
        finished = work => reply::finished(&finished, &request, idempotent),
        () = closed => {
            instance.event_log.record_request(&request, &events::ABANDONED, "the caller closed");
            Response::new(StatusCode::RequestTimeout)
        }
    }
}

/// Runs a request and streams its answer; refusals before the first token are plain replies.
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
            reply::finished(&finished, &request, idempotent)
        }
        Ok(first) => reply::streamed(first, rx, &head),
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Waits for the request's turn, runs it and accounts for its end.
async fn run(instance: Arc<Instance>, job: Job, sink: Option<TokenSink>) -> RequestOutcome {
    let finished = match admission::admit(&instance, &job).await {
        Ok(turn) => {
            let finished = runner::run(&instance, &job, sink).await;
            let in_time = !job.remaining(instance.clock.now()).is_zero();
            let service = admission::expected_service_time(&instance, &job);
            turn.finish(
                in_time && matches!(finished, RequestOutcome::Answered(_)),
                service,
            );
            finished
        }
        Err(reason) => RequestOutcome::not_run(reason, "refused at admission"),
    };
    account(&instance, &job, &finished);
    finished
}

fn account(instance: &Instance, job: &Job, finished: &RequestOutcome) {
    let latency = instance.clock.now().duration_since(job.arrived);
    instance.metrics.finished(job, finished, latency);
    instance.tables.totals().finished(&job.customer, finished);
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
