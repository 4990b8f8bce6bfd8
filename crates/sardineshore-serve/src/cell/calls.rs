//! Calls that the owner of a cell makes to servers of stages: run a batch, release results, query
//! free memory.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sardineshore_core::flow::batching::{CallOutcome, CallPiece, FreeMemory};
use sardineshore_core::flow::config::Name;
use slog::debug;

use super::Shared;
use crate::dialect::HttpCall;
use crate::store::encode_call_head;
use crate::upstream::{Conn, ExchangeError, OutgoingRequest, Response};

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time to release results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest idle time after which a connection is reused to release results or query memory.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// How a batch call ended, and the rate limit in its response, in requests per second. The limit is
/// `None` without a response that tells whether there is one.
pub(super) type BatchResponse = (CallOutcome, Option<Option<f64>>);

/// Runs a batch of pieces at a server and returns the result of each.
pub(super) async fn call_batch(
    shared: &Shared,
    server: &Name,
    address: SocketAddr,
    pieces: &[CallPiece],
) -> BatchResponse {
    let call = shared.dialect.run_pieces_call(pieces);
    let mut head = encode_call_head(&call, address);
    head.truncate(head.len() - 2);
    let fields = shared.dialect.header_names();
    crate::http1::put_header(&mut head, fields.expected_server, server.as_bytes());
    head.extend_from_slice(b"\r\n");
    // A new connection for each call: responses carry no id, so a surplus response to a previous
    // call would pass for the response to this one.
    let opened = shared
        .connections
        .connect_new(address, CONNECT_TIMEOUT)
        .await;
    let mut conn = match opened {
        Ok(conn) => conn,
        Err(error) => return (failed_call(&error), None),
    };
    let exchanged = exchange(shared, server, &mut conn, &head, &call).await;
    let (response, body) = match exchanged {
        Ok(exchanged) => exchanged,
        Err(ExchangeError::NotSent) => return (CallOutcome::Rejected, None),
        Err(error) => return (failed_call(&error), None),
    };
    let status = response.head.status;
    let headers = &response.head.headers;
    if status == 421 {
        return (CallOutcome::Rejected, None);
    }
    let limit = headers.get(fields.rate_limit);
    let limit = limit.and_then(|text| shared.dialect.parse_rate_limit(text));
    let outcome = if headers.get(fields.not_run).is_some() {
        CallOutcome::Rejected
    } else if status == 200 {
        match shared.dialect.decode_piece_results(&body) {
            Ok(results) if results.len() == pieces.len() => CallOutcome::Answered(results),
            Ok(_) | Err(_) => CallOutcome::Broken,
        }
    } else {
        CallOutcome::Broken
    };
    (outcome, Some(limit))
}

/// Outcome of a call whose connection failed. A timeout says only that nothing arrived.
fn failed_call(error: &ExchangeError) -> CallOutcome {
    match error {
        ExchangeError::Connect(error) | ExchangeError::Io(error)
            if error.kind() == io::ErrorKind::TimedOut =>
        {
            CallOutcome::TimedOut
        }
        _ => CallOutcome::Broken,
    }
}

/// Releases results at a server. Returns whether it was silent, so that it may have the results.
pub(super) async fn release_results(
    shared: &Shared,
    server: &Name,
    address: SocketAddr,
    handles: &[Name],
) -> bool {
    let call = shared.dialect.release_results_call(handles);
    let releasing = send_release(shared, server, address, &call);
    let released = tokio::time::timeout(RELEASE_TIMEOUT, releasing).await;
    let timed_out = match released {
        Ok(Ok(())) => return false,
        Ok(Err(error)) => failed_call(&error) == CallOutcome::TimedOut,
        Err(_) => true,
    };
    debug!(shared.log, "could not release results"; "server" => &**server, "results" => handles.len(), "timed_out" => timed_out);
    timed_out
}

/// Asks a server how much memory it has left for results.
pub(super) async fn query_free_memory(
    shared: &Shared,
    server: &Name,
    address: SocketAddr,
) -> anyhow::Result<FreeMemory> {
    let call = shared.dialect.free_memory_call();
    let head = encode_call_head(&call, address);
    let mut conn = shared
        .connections
        .connect(address, MAX_IDLE, CONNECT_TIMEOUT)
        .await?;
    let (response, body) = exchange(shared, server, &mut conn, &head, &call).await?;
    shared.connections.recycle(conn, &response);
    shared.dialect.decode_free_memory(&body)
}

async fn send_release(
    shared: &Shared,
    server: &Name,
    address: SocketAddr,
    call: &HttpCall,
) -> Result<(), ExchangeError> {
    let head = encode_call_head(call, address);
    let mut conn = shared
        .connections
        .connect(address, MAX_IDLE, CONNECT_TIMEOUT)
        .await?;
    let (response, _) = exchange(shared, server, &mut conn, &head, call).await?;
    shared.connections.recycle(conn, &response);
    Ok(())
}

/// Sends a call and reads the whole response, with what the server says of itself in its head. Nothing is
/// sent if the server's failure domain was evacuated while the connection was opened.
async fn exchange(
    shared: &Shared,
    server: &Name,
    conn: &mut Conn,
    head: &[u8],
    call: &HttpCall,
) -> Result<(Response, Vec<u8>), ExchangeError> {
    let request = OutgoingRequest {
        head,
        body: &call.body,
        echo: None,
        is_head: false,
    };
    if !shared.may_send(server) {
        return Err(ExchangeError::NotSent);
    }
    let domain = shared.state.selector.borrow().domain_of(server).cloned();
    let _in_progress = domain.map(|domain| shared.state.activity.begin(&domain));
    let run = shared.notices.listed_run(server);
    let mut response = conn.send(request).await?;
    if let Some(run) = &run {
        shared.notices.record(run, &response.head);
    }
    let body = conn.read_body(&mut response).await?;
    Ok((response, body))
}
