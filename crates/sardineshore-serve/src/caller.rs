//! HTTP/1.1 connections of callers.
//!
//! Accepts connections, reads the requests of each connection one after another and hands them to
//! the [`RequestHandler`], which writes the responses. Enforces the configured limits on size and
//! time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use sardineshore_core::flow::config::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::containment::contain_future;
use crate::http1::{BodyDecoder, Decoded, MessageError, RequestHead, parse_request};
use crate::reply::ErrorResponse;
use crate::request::{IncomingRequest, RETRY_AFTER_UNREADY, RequestHandler, STOPPING};

/// Maximum number of bytes that are read ahead while a request is being handled.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Longest time for a caller to close its side after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Longest gap between two reads of a request body.
const BODY_GAP: Duration = Duration::from_secs(5);

/// Accepts connections until the process ends.
///
/// Goes on during a shutdown, because the load balancer may have no other instance to send callers
/// to.
pub async fn accept(listener: TcpListener, handler: Rc<RequestHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::task::spawn_local(async move {
                    if let Err(panicked) = contain_future(serve_connection(stream, &handler)).await
                    {
                        handler.record_panic(&panicked);
                    }
                });
            }
            // The process is out of file descriptors, or the caller closed at once.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Why no further request was read from a connection.
enum ReadError {
    /// The connection is closed without a response.
    Closed,
    /// The request is answered with this error, then the connection is closed.
    Rejected(ErrorResponse),
}

async fn serve_connection(mut stream: TcpStream, handler: &RequestHandler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut rd, mut wr) = stream.split();
    let mut buf = BytesMut::new();
    let mut is_reused = false;
    loop {
        let read = read_request(&mut rd, &mut wr, &mut buf, handler, is_reused).await;
        is_reused = true;
        let request = match read {
            Ok(request) => request,
            Err(ReadError::Closed) => return,
            Err(ReadError::Rejected(error)) => {
                reject(&mut rd, &mut wr, error).await;
                return;
            }
        };
        let keep_alive = wants_keep_alive(&request.head);
        let reusable = tokio::select! {
            biased;
            reusable = handler.handle(&request, &mut wr, keep_alive) => reusable,
            () = wait_for_close(&mut rd, &mut buf) => false,
        };
        if !reusable {
            close(&mut rd, &mut wr).await;
            return;
        }
    }
}

/// Whether the caller wants to send another request on the connection.
fn wants_keep_alive(head: &RequestHead) -> bool {
    if head.minor_version == 0 {
        return head.headers.has_token("connection", "keep-alive");
    }
    !head.headers.has_token("connection", "close")
}

/// Waits until the caller closes its connection. Buffers what it sends in the meantime, up to the
/// limit on read-ahead; beyond that a close is no longer noticed.
async fn wait_for_close(rd: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    loop {
        if buf.len() >= MAX_READ_AHEAD_BYTES {
            std::future::pending::<()>().await;
        }
        match rd.read_buf(buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Sends an error response and closes the connection.
async fn reject(rd: &mut ReadHalf<'_>, wr: &mut WriteHalf<'_>, error: ErrorResponse) {
    if wr.write_all(&error.encode(None, true)).await.is_ok() {
        close(rd, wr).await;
    }
}

/// Closes this side of a connection, then discards what the caller still sends until it closes its
/// own. To close with unread data would reset the connection, and the caller could lose the
/// response.
async fn close(rd: &mut ReadHalf<'_>, wr: &mut WriteHalf<'_>) {
    if wr.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0_u8; 4096];
    let discard = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match rd.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(n) => discarded += n,
            }
        }
    };
    let _timed_out = tokio::time::timeout(CLOSE_TIMEOUT, discard).await;
}

/// Reads the next request of a connection.
async fn read_request(
    rd: &mut ReadHalf<'_>,
    wr: &mut WriteHalf<'_>,
    buf: &mut BytesMut,
    handler: &RequestHandler,
    is_reused: bool,
) -> Result<IncomingRequest, ReadError> {
    let arrived_at = wait_for_request(rd, buf, handler, is_reused).await?;
    let limits = current_limits(handler);
    let head = read_head(rd, buf, limits, arrived_at).await?;
    let shutdown = handler.shutdown();
    let _active = shutdown.track_request();
    let framing = head
        .framing()
        .map_err(|_| ReadError::Rejected(ErrorResponse::Malformed))?;
    if head.headers.has_token("expect", "100-continue") && buf.is_empty() {
        let written = wr.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadError::Closed)?;
    }
    let body = tokio::select! {
        biased;
        body = read_body(rd, buf, BodyDecoder::new(framing), limits.max_body_bytes) => body?,
        () = shutdown.wait_final_responses() => {
            let refused = ErrorResponse::NotRun(RETRY_AFTER_UNREADY, STOPPING);
            return Err(ReadError::Rejected(refused));
        }
    };
    Ok(IncomingRequest {
        head,
        body,
        arrived_at,
    })
}

/// Limits of the configuration in force.
fn current_limits(handler: &RequestHandler) -> CallerLimits {
    let config = handler.state().config();
    config.map_or_else(CallerLimits::default, |config| config.limits())
}

/// Waits for the first bytes of a request; returns when they were available. Fails once the connection
/// has been idle for too long.
async fn wait_for_request(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    handler: &RequestHandler,
    is_reused: bool,
) -> Result<Instant, ReadError> {
    let idle_since = Instant::now();
    let mut idle_timeout = current_limits(handler).idle_timeout;
    while buf.is_empty() {
        let left = idle_timeout.saturating_sub(idle_since.elapsed());
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(left, rd.read_buf(buf)) => read,
            // A shutdown closes idle connections, but not one that has yet to bring a request.
            () = handler.shutdown().wait_balancer_delay(), if is_reused => return Err(ReadError::Closed),
        };
        match read {
            Ok(Ok(0) | Err(_)) => return Err(ReadError::Closed),
            Ok(Ok(_)) => {}
            Err(_) => {
                // Callers may know a longer limit by now. A shorter one counts from the next request
                // on, as they may not know it yet.
                let current = current_limits(handler).idle_timeout;
                if current <= idle_timeout {
                    return Err(ReadError::Closed);
                }
                idle_timeout = current;
            }
        }
    }
    Ok(Instant::now())
}

/// Reads a request head whose first bytes arrived at `arrived_at`.
async fn read_head(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    limits: CallerLimits,
    arrived_at: Instant,
) -> Result<RequestHead, ReadError> {
    loop {
        match parse_request(buf) {
            Ok(Some((head, head_len))) if head_len <= limits.max_head_bytes => {
                let _consumed = buf.split_to(head_len);
                return Ok(head);
            }
            Ok(Some(_)) => return Err(ReadError::Rejected(ErrorResponse::HeadTooLong)),
            Ok(None) if buf.len() > limits.max_head_bytes => {
                return Err(ReadError::Rejected(ErrorResponse::HeadTooLong));
            }
            Ok(None) => {}
            Err(MessageError::Malformed | MessageError::AmbiguousLength) => {
                return Err(ReadError::Rejected(ErrorResponse::Malformed));
            }
        }
        let left = limits.head_timeout.saturating_sub(arrived_at.elapsed());
        match tokio::time::timeout(left, rd.read_buf(buf)).await {
            Ok(Ok(0) | Err(_)) => return Err(ReadError::Closed),
            Ok(Ok(_)) => {}
            Err(_) => return Err(ReadError::Rejected(ErrorResponse::SlowCaller)),
        }
    }
}

/// Reads a request body of at most `max_bytes`.
async fn read_body(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    mut decoder: BodyDecoder,
    max_bytes: usize,
) -> Result<Bytes, ReadError> {
    // A body that arrives in one part is returned without a copy; only further parts are collected
    // in `joined`, together with the first one.
    let mut first = Bytes::new();
    let mut joined = Vec::new();
    loop {
        match decoder.decode(buf) {
            Ok(Decoded::Data(data)) if first.is_empty() && joined.is_empty() => first = data,
            Ok(Decoded::Data(data)) => {
                if joined.is_empty() {
                    joined.extend_from_slice(&first);
                }
                joined.extend_from_slice(&data);
            }
            Ok(Decoded::End) => {
                return Ok(if joined.is_empty() {
                    first
                } else {
                    joined.into()
                });
            }
            Ok(Decoded::NeedMore) => match tokio::time::timeout(BODY_GAP, rd.read_buf(buf)).await {
                Ok(Ok(0) | Err(_)) => return Err(ReadError::Closed),
                Ok(Ok(_)) => {}
                Err(_) => return Err(ReadError::Rejected(ErrorResponse::SlowCaller)),
            },
            Err(_) => return Err(ReadError::Rejected(ErrorResponse::Malformed)),
        }
        if first.len().max(joined.len()) > max_bytes {
            return Err(ReadError::Rejected(ErrorResponse::BodyTooLong));
        }
    }
}
