//! Pool of HTTP/1.1 connections to backend servers and to the store.
//!
//! [`ConnectionPool`] opens connections and keeps idle ones for reuse. A [`Conn`] carries one
//! request and its response at a time. What servers send is bounded for each response, and the large
//! responses of one pool together, by a [`ReceiveBudget`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::budget::{ReceiveBudget, Reservation};
use crate::http1::{BodyDecoder, Decoded, Framing, MessageError, ResponseHead, parse_response};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a response body that is read into memory as a whole, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Margin before the idle timeout that the server announces. A connection is no longer used from
/// then on, so that no request is sent while the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection if the server announces no `Keep-Alive` timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 16;
/// Time without traffic after which TCP keep-alive probes start.
const TCP_KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Time between two TCP keep-alive probes.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keep-alive probes after which the connection counts as lost.
const TCP_KEEPALIVE_RETRIES: u32 = 3;
/// Maximum number of responses to other requests that one exchange skips.
const MAX_SKIPPED_RESPONSES: u32 = 3;
/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Why an exchange brought no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The server's failure domain was evacuated; nothing was sent.
    #[error("not sent: the server's failure domain is evacuated")]
    NotSent,
    /// The connection could not be opened; nothing was sent.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// The connection failed after it was opened; the server may have received the request.
    #[error("connection lost: {0}")]
    Io(io::Error),
    /// The server sent no valid HTTP response to this request.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] MessageError),
    /// The head or the body of the response is too large, or there is no room for it beside others.
    #[error("answer over the limit")]
    ResponseTooLarge,
}

/// An open connection to a backend server or the store.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    address: SocketAddr,
    /// Open connections to the address; this one is counted.
    open_count: Rc<Cell<usize>>,
    /// Whether another request may follow on this connection.
    reusable: bool,
    /// Whether writing has failed or the connection was aborted. Its end then says nothing of a response: a
    /// reset is reported only once, and reading afterwards ends as if the server had closed.
    is_broken: bool,
    /// Longest time that the connection may stay idle before it is reused.
    idle_limit: Duration,
    budget: Rc<ReceiveBudget>,
    /// How long it took to open the connection, until it is asked for.
    setup_time: Option<Duration>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get().saturating_sub(1));
    }
}

/// A response whose head has been read. Its body is still to be read from the same connection.
#[derive(Debug)]
pub struct Response {
    /// Status line and header fields.
    pub head: ResponseHead,
    decoder: BodyDecoder,
    /// For the bytes of the response that are held in memory.
    reservation: Reservation,
}

impl Response {
    /// A placeholder without header fields and body.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            head: ResponseHead::default(),
            decoder: BodyDecoder::new(Framing::Length(0)),
            reservation: Reservation::default(),
        }
    }

    /// Reserves memory for bytes of the response that are held, in place of what was reserved before.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them beside other responses.
    pub fn hold(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        let held = self.reservation.resize(bytes);
        held.map_err(|_| ExchangeError::ResponseTooLarge)
    }

    /// Whether only the end of the connection tells where the body ends.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.decoder.is_close_delimited()
    }
}

/// A request that is ready to be written to a connection.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// Encoded head including the empty line at its end.
    pub head: &'a [u8],
    /// Body, sent as it is.
    pub body: &'a [u8],
    /// Name and value of a header field that the server repeats in its response. A response
    /// without it belongs to another request.
    pub echo: Option<(&'a str, &'a str)>,
    /// Whether the method is `HEAD`, so that the response has no body.
    pub is_head: bool,
}

impl Conn {
    /// How long it took to open the connection, about a round trip; `None` if asked before.
    pub fn take_setup_time(&mut self) -> Option<Duration> {
        self.setup_time.take()
    }

    /// Ends the connection at once, in both directions.
    pub fn abort(&mut self) {
        self.reusable = false;
        self.is_broken = true;
        // Fails if the other side has ended it.
        let _ended = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Sends a request and reads the head of its response.
    ///
    /// Reads while it writes, as a server may respond before it has received the whole request.
    /// Skips interim (1xx) responses and responses to other requests.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, if the response is malformed or its head too long, or if
    /// too many responses belong to other requests.
    pub async fn send(&mut self, request: OutgoingRequest<'_>) -> Result<Response, ExchangeError> {
        let mut reservation = Reservation::new(&self.budget);
        let Self { stream, buf, .. } = self;
        let (mut rd, mut wr) = stream.split();
        let mut out = Buf::chain(request.head, request.body);
        let mut written = false;
        let mut skipped = 0;
        let mut interim = 0;
        loop {
            let parsed = {
                let read = read_head(&mut rd, buf, &mut reservation);
                tokio::pin!(read);
                loop {
                    if written {
                        break read.await;
                    }
                    tokio::select! {
                        biased;
                        done = wr.write_all_buf(&mut out) => {
                            written = true;
                            // On a failed write go on reading: the server may have responded
                            // before it closed the connection.
                            self.reusable &= done.is_ok();
                            self.is_broken |= done.is_err();
                        }
                        parsed = &mut read => break parsed,
                    }
                }
            };
            let (head, head_len) = parsed?;
            buf.advance(head_len);
            if matches!(head.status, 100..=199) {
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeError::ResponseTooLarge);
                }
                continue;
            }
            if !written {
                self.reusable = false;
            }
            let mut decoder = BodyDecoder::new(head.framing(request.is_head)?);
            let echo_matches = request
                .echo
                .is_none_or(|(name, value)| head.headers.get(name) == Some(value));
            if echo_matches {
                self.apply_keep_alive(&head, &decoder);
                return Ok(Response {
                    head,
                    decoder,
                    reservation,
                });
            }
            self.reusable = false;
            skipped += 1;
            if skipped > MAX_SKIPPED_RESPONSES || decoder.is_close_delimited() {
                return Err(ExchangeError::InvalidResponse(MessageError::Malformed));
            }
            skip_body(&mut rd, buf, &mut decoder).await?;
        }
    }

    /// Takes over what the server says about reuse of the connection and its idle timeout.
    fn apply_keep_alive(&mut self, head: &ResponseHead, decoder: &BodyDecoder) {
        if !head.keeps_alive() || decoder.is_close_delimited() {
            self.reusable = false;
        }
        let announced = head.headers.get("keep-alive").and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
                .and_then(|seconds| seconds.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = announced {
            self.idle_limit = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        }
    }

    /// Reads the next bytes of a response body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the body, or if the body is malformed.
    pub async fn next_chunk(
        &mut self,
        response: &mut Response,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match response.decoder.decode(&mut self.buf)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::NeedMore => {}
            }
            let count = self
                .stream
                .read_buf(&mut self.buf)
                .await
                .map_err(ExchangeError::Io)?;
            if count == 0 {
                if response.decoder.is_close_delimited() && !self.is_broken {
                    return Ok(None);
                }
                return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Reads a response body to its end.
    ///
    /// # Errors
    ///
    /// Fails like [`Conn::next_chunk`], and if the body is too large.
    pub async fn read_body(&mut self, response: &mut Response) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        while let Some(data) = self.next_chunk(response).await? {
            body.extend_from_slice(&data);
            if body.len() > MAX_BODY_BYTES {
                return Err(ExchangeError::ResponseTooLarge);
            }
            response.hold(body.capacity() + self.buf.len())?;
        }
        Ok(body)
    }
}

/// Reads until `buf` starts with a whole response head; returns it with its length in bytes.
async fn read_head(
    rd: &mut (impl AsyncReadExt + Unpin),
    buf: &mut BytesMut,
    reservation: &mut Reservation,
) -> Result<(ResponseHead, usize), ExchangeError> {
    loop {
        if let Some(parsed) = parse_response(buf)? {
            return Ok(parsed);
        }
        if buf.len() > MAX_HEAD_BYTES || reservation.resize(buf.len()).is_err() {
            return Err(ExchangeError::ResponseTooLarge);
        }
        if rd.read_buf(buf).await.map_err(ExchangeError::Io)? == 0 {
            return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

/// Reads and discards the rest of a response body.
async fn skip_body(
    rd: &mut (impl AsyncReadExt + Unpin),
    buf: &mut BytesMut,
    decoder: &mut BodyDecoder,
) -> Result<(), ExchangeError> {
    loop {
        match decoder.decode(buf)? {
            Decoded::Data(_) => {}
            Decoded::End => return Ok(()),
            Decoded::NeedMore => {
                if rd.read_buf(buf).await.map_err(ExchangeError::Io)? == 0 {
                    return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct AddressPool {
    /// Open connections, in use or idle.
    open_count: Rc<Cell<usize>>,
    /// Idle connections with the time since when they are idle, the most recently used one last.
    idle: Vec<(Conn, Instant)>,
}

/// Connections to all backend servers and the store, by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    pools: RefCell<HashMap<SocketAddr, AddressPool>>,
    budget: Rc<ReceiveBudget>,
}

impl ConnectionPool {
    /// A pool without connections, whose large responses share this budget.
    #[must_use]
    pub fn with_budget(budget: Rc<ReceiveBudget>) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Number of connections to an address: in use, idle or being opened.
    #[must_use]
    pub fn open_count(&self, address: SocketAddr) -> usize {
        self.pools
            .borrow()
            .get(&address)
            .map_or(0, |pool| pool.open_count.get())
    }

    /// Returns a connection that was idle for at most `max_idle`, or opens a new one within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and can't be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        timeout: Duration,
    ) -> Result<Conn, ExchangeError> {
        if let Some(conn) = self.take_idle(address, max_idle) {
            return Ok(conn);
        }
        self.connect_new(address, timeout).await
    }

    /// Opens a new connection within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened in time.
    pub async fn connect_new(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Conn, ExchangeError> {
        let open_count = {
            let mut pools = self.pools.borrow_mut();
            pools.entry(address).or_default().open_count.clone()
        };
        open_count.set(open_count.get() + 1);
        let guard = OpenCountGuard(Some(open_count));
        let begun_at = Instant::now();
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ExchangeError::Connect)?,
            Err(_) => return Err(ExchangeError::Connect(io::ErrorKind::TimedOut.into())),
        };
        let setup_time = Some(begun_at.elapsed());
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        detect_dead_peer(&stream).map_err(ExchangeError::Connect)?;
        Ok(Conn {
            stream,
            buf: BytesMut::new(),
            address,
            open_count: guard.disarm(),
            reusable: true,
            is_broken: false,
            idle_limit: DEFAULT_IDLE_LIMIT,
            budget: self.budget.clone(),
            setup_time,
        })
    }

    /// Returns a connection to the pool after its response was read. The connection is closed
    /// instead if it can't be reused, if unread bytes are left, or if enough are idle.
    pub fn recycle(&self, conn: Conn, response: &Response) {
        if !conn.reusable || !response.decoder.is_done() || !conn.buf.is_empty() {
            return;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(conn.address).or_default();
        if pool.idle.len() < MAX_IDLE_PER_ADDRESS {
            pool.idle.push((conn, Instant::now()));
        }
    }

    /// Takes a connection out of the pool that was idle for at most `max_idle` and is still open;
    /// `None` if there is none.
    pub fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Conn> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&address)?;
        while let Some((conn, idle_since)) = pool.idle.pop() {
            if idle_since.elapsed() > max_idle.min(conn.idle_limit) {
                // The connections below have been idle at least as long.
                pool.idle.clear();
                return None;
            }
            // An idle connection has nothing to read. Bytes, the end of the stream or an error
            // make it useless.
            let mut byte = [0_u8; 1];
            match conn.stream.try_read(&mut byte) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(conn),
                _ => drop(conn),
            }
        }
        None
    }

    /// Closes connections that have been idle for too long and removes addresses without any
    /// connection. Call it at regular intervals.
    pub fn evict_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.idle
                .retain(|(conn, idle_since)| idle_since.elapsed() <= conn.idle_limit);
        }
        pools.retain(|_, pool| pool.open_count.get() > 0);
    }
}

/// Turns on keep-alive probes, which end a connection whose other side has gone silent.
///
/// # Errors
///
/// Fails if the operating system refuses the options.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(TCP_KEEPALIVE_TIME)
        .with_interval(TCP_KEEPALIVE_INTERVAL)
        .with_retries(TCP_KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Decrements the count of open connections when dropped, unless the connection was opened.
struct OpenCountGuard(Option<Rc<Cell<usize>>>);

impl OpenCountGuard {
    /// Hands the count over to the opened connection, which decrements it when it is dropped.
    fn disarm(mut self) -> Rc<Cell<usize>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        if let Some(open_count) = &self.0 {
            open_count.set(open_count.get().saturating_sub(1));
        }
    }
}
