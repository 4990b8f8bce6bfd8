//! HTTP/1.1 client with a connection pool, on top of `async-h1`.
//!
//! A connection returns to the pool only after a reply was read from it to the end; after a
//! timeout, a cancellation or an error it is closed. Errors say whether the request may have been
//! sent. A body without a length and without chunks ends with its connection, which `async-h1` takes
//! for an empty one.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::io::{BufReader, Cursor, Read, ReadExt, Write};
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use thiserror::Error;

/// Largest number of idle connections that the pool keeps per address.
const MAX_IDLE_PER_ADDR: usize = 64;
/// Maximum size of a reply's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a reply's body that is read as a whole, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
/// Idle connections older than this are closed instead of reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Why a request got no reply.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection could be opened, so the request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing answered the connection request in time, so the request was not sent. Unlike a refused
    /// connection, this doesn't show that no process listens.
    #[error("not sent: connect timed out")]
    ConnectTimedOut,
    /// The connection failed after the request may have been sent.
    #[error("reply lost: {0}")]
    ReplyLost(String),
    /// The timeout expired after the request may have been sent.
    #[error("timed out")]
    TimedOut,
}

/// A reply that was read to the end.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Status line and headers; the body was taken out.
    pub head: Response,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Last value of a header; empty if the reply has none.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        header(&self.head, name)
    }
}

/// Last value of a response's header; empty if the response has none.
#[must_use]
pub fn header<'a>(head: &'a Response, name: &str) -> &'a str {
    head.header(name)
        .map_or("", |values| values.last().as_str())
}

/// HTTP client with a pool of idle connections per address.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<HashMap<String, Vec<IdleConn>>>,
}

#[derive(Debug)]
struct IdleConn {
    stream: TcpStream,
    since: Instant,
}

/// An open connection, either new or taken from the pool.
#[derive(Debug)]
pub struct Conn {
    addr: Arc<str>,
    stream: TcpStream,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection if there is one, otherwise a new one.
    Idle,
    /// Only a new connection: the server may close an idle one just as the request is sent, which
    /// would leave the outcome of the request unknown.
    Never,
}

impl Client {
    /// Takes an idle connection to `addr` (`IP:PORT`) or opens one within `timeout`; sends
    /// nothing.
    pub async fn checkout(
        &self,
        addr: &str,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Conn, ClientError> {
        while reuse == Reuse::Idle
            && let Some(stream) = self.take_idle(addr)
        {
            if is_reusable(&stream) {
                return Ok(Conn {
                    addr: addr.into(),
                    stream,
                });
            }
        }
        let stream = connect(addr, timeout).await?;
        Ok(Conn {
            addr: addr.into(),
            stream,
        })
    }

    /// Sends a request on a connection and reads the reply to the end within `timeout`. The
    /// connection returns to the pool only if the reply is complete and `accept` returns true.
    pub async fn exchange(
        &self,
        conn: Conn,
        req: Request,
        timeout: Duration,
        accept: impl FnOnce(&Reply) -> bool,
    ) -> Result<Reply, ClientError> {
        let exchange = exchange(conn.stream.clone(), req);
        match async_std::future::timeout(timeout, exchange).await {
            Ok(Ok(reply)) => {
                if accept(&reply) {
                    self.recycle(conn, &reply.head);
                }
                Ok(reply)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Sends a request on a connection that stays with the calling code, and reads the reply to
    /// the end within `timeout`. After an error the connection must not be used again.
    pub async fn exchange_on(
        &self,
        conn: &Conn,
        req: Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let exchange = exchange(conn.stream.clone(), req);
        let reply = async_std::future::timeout(timeout, exchange).await;
        reply.map_err(|_| ClientError::TimedOut)?
    }

    /// Sends a request to `addr` (`IP:PORT`) and reads the reply to the end; `timeout` covers
    /// connecting as well.
    pub async fn send(
        &self,
        addr: &str,
        req: Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let started = Instant::now();
        let conn = self.checkout(addr, Reuse::Idle, timeout).await?;
        let remaining = timeout.saturating_sub(started.elapsed());
        self.exchange(conn, req, remaining, |_| true).await
    }

    /// Sends a request and returns the response once its head was read, within `timeout`; the
    /// caller then reads the body as a stream. The connection does not return to the pool.
    pub async fn stream(
        &self,
        conn: Conn,
        req: Request,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let head = send_request(conn.stream, req);
        match async_std::future::timeout(timeout, head).await {
            Ok(head) => head.map_err(|err| ClientError::ReplyLost(err.to_string())),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Removes idle connections of an address until one is young enough to be used.
    fn take_idle(&self, addr: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let conns = idle.get_mut(addr)?;
        while let Some(conn) = conns.pop() {
            if conn.since.elapsed() < MAX_IDLE_AGE {
                return Some(conn.stream);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless the reply asks to close it or the pool is full.
    fn recycle(&self, conn: Conn, head: &Response) {
        if header(head, "connection").eq_ignore_ascii_case("close") || !has_framed_body(head) {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let conns = idle.entry(conn.addr.to_string()).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(IdleConn {
                stream: conn.stream,
                since: Instant::now(),
            });
        }
    }
}

async fn connect(addr: &str, timeout: Duration) -> Result<TcpStream, ClientError> {
    let connect = TcpStream::connect(addr);
    let stream = match async_std::future::timeout(timeout, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ClientError::NotSent(err.to_string())),
        Err(_) => return Err(ClientError::ConnectTimedOut),
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Whether an idle connection is still open and has no unread bytes: only then does a peek wait.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut buf = [0_u8; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}

/// Connection that keeps what is read from it while the head of the response is read.
struct HeadRecorder {
    stream: TcpStream,
    /// Bytes read; `None` once the head is known.
    bytes: Arc<Mutex<Option<Vec<u8>>>>,
}

impl Read for HeadRecorder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &read
            && let Some(bytes) = &mut *self.bytes.lock().expect("recorder lock poisoned")
        {
            if bytes.len() > MAX_HEAD_BYTES {
                return Poll::Ready(Err(ErrorKind::InvalidData.into()));
            }
            bytes.extend_from_slice(&buf[..*count]);
        }
        read
    }
}

impl Write for HeadRecorder {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Sends a request and reads the head of the response.
async fn send_request(stream: TcpStream, req: Request) -> http_types::Result<Response> {
    let bytes = Arc::new(Mutex::new(Some(Vec::new())));
    let recorder = HeadRecorder {
        stream: stream.clone(),
        bytes: bytes.clone(),
    };
    let mut head = async_h1::connect(recorder, req).await?;
    let read = bytes.lock().expect("recorder lock poisoned").take();
    if head.status().is_informational() {
        let interim = "an interim response, which no request asked for";
        return Err(http_types::Error::from_str(StatusCode::BadGateway, interim));
    }
    let mut body = read.unwrap_or_default();
    let Some(head_len) = head_len(&body) else {
        let ambiguous = "a head with bare line feeds, whose end is ambiguous";
        return Err(http_types::Error::from_str(
            StatusCode::BadGateway,
            ambiguous,
        ));
    };
    if !has_framed_body(&head) {
        body.drain(..head_len);
        let body = BufReader::new(Cursor::new(body).chain(stream));
        head.set_body(Body::from_reader(body, None));
    }
    Ok(head)
}

/// Length in bytes of the head at the start of `bytes`; `None` if a line of it doesn't end with CRLF.
fn head_len(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let mut lines = bytes[..end].split_inclusive(|byte| *byte == b'\n');
    lines.all(|line| line.ends_with(b"\r\n")).then_some(end)
}

/// Whether a response says where its body ends, or has none.
fn has_framed_body(head: &Response) -> bool {
    head.header("content-length").is_some()
        || head.header("transfer-encoding").is_some()
        || matches!(
            head.status(),
            StatusCode::NoContent | StatusCode::NotModified
        )
}

async fn exchange(stream: TcpStream, req: Request) -> Result<Reply, ClientError> {
    let lost = |err: &dyn std::fmt::Display| ClientError::ReplyLost(err.to_string());
    let mut head = send_request(stream, req).await.map_err(|err| lost(&err))?;
    let expected = head.len();
    let mut body = Vec::new();
    head.take_body()
        .take(MAX_REPLY_BYTES as u64 + 1)
        .read_to_end(&mut body)
        .await
        .map_err(|err| lost(&err))?;
    if body.len() > MAX_REPLY_BYTES {
        return Err(ClientError::ReplyLost("the body is too large".into()));
    }
    if expected.is_some_and(|len| len != body.len()) {
        return Err(ClientError::ReplyLost("the body was cut short".into()));
    }
    Ok(Reply {
        status: head.status().into(),
        head,
        body,
    })
}
