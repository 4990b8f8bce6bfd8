//! Connections of callers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use sardineshore_core::flow::config::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::net::tcp::{ReadHalf, WriteHalf};

use crate::http1::{BodyDecoder, Decoded, MessageError, RequestHead, parse_request};
use crate::reply::ErrorResponse;
use crate::request::{IncomingRequest, RequestHandler};

/// Bytes that are read ahead of a request that is being served.
const READ_AHEAD: usize = 64 * 1024;
/// Time for a caller to receive a refusal before the connection is closed.
const CLOSE_WAIT: Duration = Duration::from_millis(300);
/// Longest pause within a body.
const BODY_GAP: Duration = Duration::from_secs(5);

/// Accepts connections for ever: while the instance stops, the balancer may have nowhere else to
/// send callers.
pub async fn accept(listener: TcpListener, handler: Rc<RequestHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::task::spawn_local(async move { serve(stream, &handler).await });
            }
            // Out of descriptors, or a caller that left at once.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

enum Ended {
    /// Nothing more is to be read.
    Closed,
    /// The request can't be served.
    Refused(ErrorResponse),
}

async fn serve(mut stream: TcpStream, handler: &RequestHandler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut rd, mut wr) = stream.split();
    let mut buf = BytesMut::new();
    let mut served = false;
    loop {
        let limits = handler
            .state()
            .config()
            .map_or_else(CallerLimits::default, |site| site.limits());
        let read = read_request(&mut rd, &mut wr, &mut buf, limits, handler, served).await;
        served = true;
        let request = match read {
            Ok(request) => request,
            Err(Ended::Closed) => return,
            Err(Ended::Refused(refusal)) => {
                refuse(&mut rd, &mut wr, refusal).await;
                return;
            }
        };
        let keep = keeps_alive(&request.head);
        let kept = tokio::select! {
            biased;
            kept = handler.handle(&request, &mut wr, keep) => kept,
            () = left(&mut rd, &mut buf) => false,
        };
        if !kept {
            let _closed = wr.shutdown().await;
            return;
        }
    }
}

fn keeps_alive(head: &RequestHead) -> bool {
    if head.minor_version == 0 {
        return head.headers.has_token("connection", "keep-alive");
    }
    !head.headers.has_token("connection", "close")
}

/// Ends when the caller closes its connection; reads ahead meanwhile.
async fn left(rd: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    loop {
        if buf.len() >= READ_AHEAD {
            std::future::pending::<()>().await;
        }
        match rd.read_buf(buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Sends a refusal and reads on for a moment, so that closing doesn't reset the connection.
async fn refuse(rd: &mut ReadHalf<'_>, wr: &mut WriteHalf<'_>, refusal: ErrorResponse) {
    if wr.write_all(&refusal.encode(None, true)).await.is_err() || wr.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0_u8; 4096];
    let drain = async {
        while let Ok(count) = rd.read(&mut sink).await {
            if count == 0 {
                return;
            }
        }
    };
    let _drained = tokio::time::timeout(CLOSE_WAIT, drain).await;
}

async fn read_request(
    rd: &mut ReadHalf<'_>,
    wr: &mut WriteHalf<'_>,
    buf: &mut BytesMut,
    limits: CallerLimits,
    handler: &RequestHandler,
    served: bool,
) -> Result<IncomingRequest, Ended> {
    let (head, arrived) = read_head(rd, buf, limits, handler, served).await?;
    let framing = head
        .framing()
        .map_err(|_| Ended::Refused(ErrorResponse::Malformed))?;
    if head.headers.has_token("expect", "100-continue") && buf.is_empty() {
        let asked = wr.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        asked.map_err(|_| Ended::Closed)?;
    }
    let body = read_body(rd, buf, BodyDecoder::new(framing), limits.max_body_bytes).await?;
    Ok(IncomingRequest {
        head,
        body,
        arrived,
    })
}

async fn read_head(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    limits: CallerLimits,
    handler: &RequestHandler,
    served: bool,
) -> Result<(RequestHead, Instant), Ended> {
    let mut first: Option<Instant> = (!buf.is_empty()).then(Instant::now);
    loop {
        match parse_request(buf) {
            Ok(Some((head, used))) if used <= limits.max_head_bytes => {
                let _consumed = buf.split_to(used);
                return Ok((head, first.unwrap_or_else(Instant::now)));
            }
            Ok(Some(_)) => return Err(Ended::Refused(ErrorResponse::HeadTooLong)),
            Ok(None) if buf.len() > limits.max_head_bytes => {
                return Err(Ended::Refused(ErrorResponse::HeadTooLong));
            }
            Ok(None) => {}
            Err(MessageError::Malformed | MessageError::AmbiguousLength) => {
                return Err(Ended::Refused(ErrorResponse::Malformed));
            }
        }
        let wait = match first {
            None => limits.idle_timeout,
            Some(at) => limits.head_timeout.saturating_sub(at.elapsed()),
        };
        let idle = first.is_none();
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(wait, rd.read_buf(buf)) => read,
            () = handler.shutdown().wait_balancer_delay(), if idle && served => return Err(Ended::Closed),
        };
        match read {
            Ok(Ok(0) | Err(_)) => return Err(Ended::Closed),
            Ok(Ok(_)) => {
                first.get_or_insert_with(Instant::now);
            }
            Err(_) if idle => return Err(Ended::Closed),
            Err(_) => return Err(Ended::Refused(ErrorResponse::SlowCaller)),
        }
    }
}

async fn read_body(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    mut decoder: BodyDecoder,
    most: usize,
) -> Result<Bytes, Ended> {
    let mut first = Bytes::new();
    let mut rest = Vec::new();
    loop {
        match decoder.decode(buf) {
            Ok(Decoded::Data(data)) if first.is_empty() && rest.is_empty() => first = data,
            Ok(Decoded::Data(data)) => {
                if rest.is_empty() {
                    rest.extend_from_slice(&first);
                }
                rest.extend_from_slice(&data);
            }
            Ok(Decoded::End) => {
                return Ok(if rest.is_empty() { first } else { rest.into() });
            }
            Ok(Decoded::NeedMore) => match tokio::time::timeout(BODY_GAP, rd.read_buf(buf)).await {
                Ok(Ok(0) | Err(_)) => return Err(Ended::Closed),
                Ok(Ok(_)) => {}
                Err(_) => return Err(Ended::Refused(ErrorResponse::SlowCaller)),
            },
            Err(_) => return Err(Ended::Refused(ErrorResponse::Malformed)),
        }
        if first.len().max(rest.len()) > most {
            return Err(Ended::Refused(ErrorResponse::BodyTooLong));
        }
    }
}
