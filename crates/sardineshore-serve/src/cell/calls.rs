//! Calls that an owner makes to servers of stages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sardineshore_core::flow::batching::{CallOutcome, CallPiece, FreeMemory};
use sardineshore_core::flow::config::Name;
use slog::debug;

use super::Tools;
use crate::dialect::HttpCall;
use crate::store::encode_call_head;
use crate::upstream::{Conn, ExchangeError, OutgoingRequest, Response};

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time to tell a server that results are not needed.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time up to which a connection for that is reused.
const FREE_IDLE: Duration = Duration::from_secs(2);

pub(super) async fn make(
    tools: &Tools,
    server: &Name,
    address: SocketAddr,
    pieces: &[CallPiece],
) -> CallOutcome {
    let call = tools.dialect.run_pieces_call(pieces);
    let mut head = encode_call_head(&call, address);
    head.truncate(head.len() - 2);
    let fields = tools.dialect.header_names();
    crate::http1::put_header(&mut head, fields.expected_server, server.as_bytes());
    head.extend_from_slice(b"\r\n");
    // A new connection for each call: a late extra answer can't be told from this call's own.
    let opened = tools
        .connections
        .connect_new(address, CONNECT_TIMEOUT)
        .await;
    let Ok(mut conn) = opened else {
        return CallOutcome::Broken;
    };
    let Ok((response, body)) = whole_answer(&mut conn, &head, &call).await else {
        return CallOutcome::Broken;
    };
    let status = response.head.status;
    if status == 421 || response.head.headers.get(fields.not_run).is_some() {
        return CallOutcome::Rejected;
    }
    if status != 200 {
        return CallOutcome::Broken;
    }
    match tools.dialect.decode_piece_results(&body) {
        Ok(ends) if ends.len() == pieces.len() => CallOutcome::Answered(ends),
        Ok(_) | Err(_) => CallOutcome::Broken,
    }
}

/// Results that can't be given up end by themselves.
pub(super) async fn give_up(
    tools: Rc<Tools>,
    server: Name,
    address: SocketAddr,
    handles: Vec<Name>,
) {
    let call = tools.dialect.release_results_call(&handles);
    let freeing = free(&tools, address, &call);
    let freed = tokio::time::timeout(FREE_TIMEOUT, freeing).await;
    if !matches!(freed, Ok(Ok(()))) {
        debug!(tools.log, "results not given up"; "server" => &*server, "results" => handles.len());
    }
}

pub(super) async fn ask_room(tools: &Tools, address: SocketAddr) -> anyhow::Result<FreeMemory> {
    let call = tools.dialect.free_memory_call();
    let head = encode_call_head(&call, address);
    let mut conn = tools
        .connections
        .connect(address, FREE_IDLE, CONNECT_TIMEOUT)
        .await?;
    let (response, body) = whole_answer(&mut conn, &head, &call).await?;
    tools.connections.recycle(conn, &response);
    tools.dialect.decode_free_memory(&body)
}

async fn free(tools: &Tools, address: SocketAddr, call: &HttpCall) -> Result<(), ExchangeError> {
    let head = encode_call_head(call, address);
    let mut conn = tools
        .connections
        .connect(address, FREE_IDLE, CONNECT_TIMEOUT)
        .await?;
    let (response, _) = whole_answer(&mut conn, &head, call).await?;
    tools.connections.recycle(conn, &response);
    Ok(())
}

async fn whole_answer(
    conn: &mut Conn,
    head: &[u8],
    call: &HttpCall,
) -> Result<(Response, Vec<u8>), ExchangeError> {
    let sending = OutgoingRequest {
        head,
        body: &call.body,
        echo: None,
        is_head: false,
    };
    let mut response = conn.send(sending).await?;
    let body = conn.read_body(&mut response).await?;
    Ok((response, body))
}
