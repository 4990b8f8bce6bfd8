//! A pooled HTTP/1.1 client over `async-h1`.
//!
//! A connection goes back to the pool only after a whole reply was read from it; after a timeout,
//! a cancellation or an error it is closed. Errors tell whether the request may have been sent.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::io::ReadExt;
use async_std::net::TcpStream;
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
    Lost(String),
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

impl Client {
    /// Sends a request to `addr` (`IP:PORT`) and reads the whole reply within `timeout`.
    pub async fn send(
        &self,
        addr: &str,
        req: Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let started = Instant::now();
        let stream = self.connect(addr, timeout).await?;
        let left = timeout.saturating_sub(started.elapsed());
        let exchange = exchange(stream.clone(), req);
        match async_std::future::timeout(left, exchange).await {
            Ok(Ok(reply)) => {
                self.keep(addr, stream, &reply.head);
                Ok(reply)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    /// Sends a request and returns the head as soon as it is read; the body streams. The
    /// connection is not reused.
    pub async fn stream(
        &self,
        addr: &str,
        req: Request,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let started = Instant::now();
        let stream = open(addr, timeout).await?;
        let left = timeout.saturating_sub(started.elapsed());
        match async_std::future::timeout(left, async_h1::connect(stream, req)).await {
            Ok(head) => head.map_err(|err| ClientError::Lost(err.to_string())),
            Err(_) => Err(ClientError::TimedOut),
        }
    }

    async fn connect(&self, addr: &str, timeout: Duration) -> Result<TcpStream, ClientError> {
        while let Some(stream) = self.take(addr) {
            if is_open(&stream).await {
                return Ok(stream);
            }
        }
        open(addr, timeout).await
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

    fn keep(&self, addr: &str, stream: TcpStream, head: &Response) {
        if header(head, "connection").eq_ignore_ascii_case("close") {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock poisoned");
        let conns = idle.entry(addr.to_owned()).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(Idle {
                stream,
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
async fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0_u8; 1];
    let peek = stream.peek(&mut buf);
    futures::pin_mut!(peek);
    futures::poll!(peek).is_pending()
}

async fn exchange(stream: TcpStream, req: Request) -> Result<Reply, ClientError> {
    let lost = |err: &dyn std::fmt::Display| ClientError::Lost(err.to_string());
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
        return Err(ClientError::Lost("the body was cut short".into()));
    }
    Ok(Reply {
        status: head.status().into(),
        head,
        body,
    })
}
