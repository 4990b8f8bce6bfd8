//! A pooled HTTP/1.1 client over `async-h1`.
//!
//! A connection goes back to the pool only after a whole reply was read from it; after a timeout,
//! a cancellation or an error it is closed. Errors tell whether the request may have been sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::{Request, Response};
use thiserror::Error;

const MAX_IDLE_PER_ADDR: usize = 64;
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Why a call gave no reply.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection could be made: the request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection failed after the request may have been sent.
    #[error("reply lost: {0}")]
    ReplyLost(String),
    /// The time ran out after the request may have been sent.
    #[error("timed out")]
    TimedOut,
}

/// A whole reply.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Head of the reply, its body taken out.
    pub head: Response,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Value of a header, or an empty text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        header(&self.head, name)
    }
}

/// Value of a response's header, or an empty text.
#[must_use]
pub fn header<'a>(head: &'a Response, name: &str) -> &'a str {
    head.header(name)
        .map_or("", |values| values.last().as_str())
}

/// Client with a pool of idle connections per address.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// An open connection, checked out of the pool or new.
#[derive(Debug)]
pub struct Conn {
    addr: Arc<str>,
    stream: TcpStream,
}

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle one, if there is any.
    Idle,
    /// Only a new one, so that a stale connection can't make the outcome of a call unknown.
    Never,
}

impl Client {
    /// Opens a connection to `addr` (`IP:PORT`) or takes an idle one; nothing is sent.
    pub async fn checkout(
        &self,
        addr: &str,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Conn, ClientError> {
        while reuse == Reuse::Idle
            && let Some(stream) = self.take(addr)
        {
            if is_open(&stream) {
                return Ok(Conn {
                    addr: addr.into(),
                    stream,
                });
            }
        }
        let stream = open(addr, timeout).await?;
        Ok(Conn {
            addr: addr.into(),
            stream,
        })
    }

    /// Sends a request on a connection and reads the whole reply within `timeout`. The
    /// connection returns to the pool only after a whole reply that `accept` approves.
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
                    self.keep(conn, &reply.head);
                }
                Ok(reply)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Sends a request on a connection that is kept for another one, and reads the whole reply
    /// within `timeout`. After an error the connection must not be used again.
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

    /// Sends a request to `addr` (`IP:PORT`) and reads the whole reply within `timeout`.
    pub async fn send(
        &self,
        addr: &str,
        req: Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let started = Instant::now();
        let conn = self.checkout(addr, Reuse::Idle, timeout).await?;
        let left = timeout.saturating_sub(started.elapsed());
        self.exchange(conn, req, left, |_| true).await
    }

    /// Sends a request and returns the head as soon as it is read; the body streams. The
    /// connection is not reused.
    pub async fn stream(
        &self,
        conn: Conn,
        req: Request,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let head = async_h1::connect(conn.stream, req);
        match async_std::future::timeout(timeout, head).await {
            Ok(head) => head.map_err(|err| ClientError::ReplyLost(err.to_string())),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    fn take(&self, addr: &str) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let conns = idle.get_mut(addr)?;
        while let Some(conn) = conns.pop() {
            if conn.since.elapsed() < MAX_IDLE_AGE {
                return Some(conn.stream);
            }
        }
        None
    }

    fn keep(&self, conn: Conn, head: &Response) {
        if header(head, "connection").eq_ignore_ascii_case("close") {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let conns = idle.entry(conn.addr.to_string()).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(Idle {
                stream: conn.stream,
                since: Instant::now(),
            });
        }
    }
}

async fn open(addr: &str, timeout: Duration) -> Result<TcpStream, ClientError> {
    let connect = TcpStream::connect(addr);
    let stream = match async_std::future::timeout(timeout, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ClientError::NotSent(err.to_string())),
        Err(_) => return Err(ClientError::NotSent("connect timed out".into())),
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Whether an idle connection has neither been closed by its server nor holds stray bytes.
fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0_u8; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}

async fn exchange(stream: TcpStream, req: Request) -> Result<Reply, ClientError> {
    let lost = |err: &dyn std::fmt::Display| ClientError::ReplyLost(err.to_string());
    let mut head = async_h1::connect(stream, req)
        .await
        .map_err(|err| lost(&err))?;
    let expected = head.len();
    let mut body = Vec::new();
    head.take_body()
        .read_to_end(&mut body)
        .await
        .map_err(|err| lost(&err))?;
    if expected.is_some_and(|len| len != body.len()) {
        return Err(ClientError::ReplyLost("the body was cut short".into()));
    }
    Ok(Reply {
        status: head.status().into(),
        head,
        body,
    })
}
