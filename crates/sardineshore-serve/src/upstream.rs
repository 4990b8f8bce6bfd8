//! Connections to servers and to the store: opened, reused, and one exchange on them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http1::{BodyDecoder, Decoded, Framing, MessageError, ResponseHead, parse_response};

/// Most bytes of a response's head.
const MAX_HEAD: usize = 64 * 1024;
/// Most bytes of a body that is read whole.
const MAX_WHOLE_BODY: usize = 8 * 1024 * 1024;
/// An idle connection is closed this much before the server would.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time after which a connection isn't used any more if the server names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Most idle connections to one address.
const MAX_IDLE: usize = 16;
/// A silent connection is probed after this time.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is lost.
const PROBES: u32 = 1;
/// Wrong answers that are skipped on one connection.
const MAX_STRAYS: u32 = 3;

/// Why an exchange has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection: nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke after something was sent.
    #[error("connection broke: {0}")]
    Io(io::Error),
    /// The bytes are no answer.
    #[error("no answer: {0}")]
    InvalidResponse(#[from] MessageError),
    /// The answer is too large.
    #[error("answer over the limit")]
    ResponseTooLarge,
}

/// An open connection.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    address: SocketAddr,
    open: Rc<Cell<usize>>,
    reusable: bool,
    idle_limit: Duration,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// Head of an answer and the decoder of its body.
#[derive(Debug)]
pub struct Response {
    /// Head.
    pub head: ResponseHead,
    decoder: BodyDecoder,
}

impl Response {
    /// An answer without content.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            head: ResponseHead::default(),
            decoder: BodyDecoder::new(Framing::Length(0)),
        }
    }
}

/// A request as bytes, with what its answer must echo.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// Head with its empty line.
    pub head: &'a [u8],
    /// Body.
    pub body: &'a [u8],
    /// Field and value that the answer echoes.
    pub echo: Option<(&'a str, &'a str)>,
    /// Whether the method is HEAD.
    pub is_head: bool,
}

impl Conn {
    /// Sends a request and reads the head of its answer. Answers to other requests are skipped.
    pub async fn send(&mut self, sending: OutgoingRequest<'_>) -> Result<Response, ExchangeError> {
        let Self { stream, buf, .. } = self;
        let (mut rd, mut wr) = stream.split();
        let mut out = Buf::chain(sending.head, sending.body);
        let mut written = false;
        let mut strays = 0;
        loop {
            let parsed = {
                let read = read_head(&mut rd, buf);
                tokio::pin!(read);
                loop {
                    if written {
                        break read.await;
                    }
                    tokio::select! {
                        biased;
                        done = wr.write_all_buf(&mut out) => {
                            written = true;
                            // The answer may have been sent before the server closed.
                            self.reusable &= done.is_ok();
                        }
                        parsed = &mut read => break parsed,
                    }
                }
            };
            let (head, used) = parsed?;
            buf.advance(used);
            if matches!(head.status, 100..=199) {
                continue;
            }
            if !written {
                self.reusable = false;
            }
            let mut decoder = BodyDecoder::new(head.framing(sending.is_head)?);
            let ours = sending
                .echo
                .is_none_or(|(name, value)| head.headers.get(name) == Some(value));
            if ours {
                self.note_keep_alive(&head, &decoder);
                return Ok(Response { head, decoder });
            }
            self.reusable = false;
            strays += 1;
            if strays > MAX_STRAYS || decoder.is_close_delimited() {
                return Err(ExchangeError::InvalidResponse(MessageError::Malformed));
            }
            skip_body(&mut rd, buf, &mut decoder).await?;
        }
    }

    fn note_keep_alive(&mut self, head: &ResponseHead, decoder: &BodyDecoder) {
        if !head.keeps_alive() || decoder.is_close_delimited() {
            self.reusable = false;
        }
        let stated = head.headers.get("keep-alive").and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
                .and_then(|seconds| seconds.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = stated {
            self.idle_limit = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        }
    }

    /// Next bytes of the answer's body; `None` at its end.
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
                if response.decoder.is_close_delimited() {
                    return Ok(None);
                }
                return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// The whole body of the answer.
    pub async fn read_body(&mut self, response: &mut Response) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        while let Some(data) = self.next_chunk(response).await? {
            body.extend_from_slice(&data);
            if body.len() > MAX_WHOLE_BODY {
                return Err(ExchangeError::ResponseTooLarge);
            }
        }
        Ok(body)
    }
}

async fn read_head(
    rd: &mut (impl AsyncReadExt + Unpin),
    buf: &mut BytesMut,
) -> Result<(ResponseHead, usize), ExchangeError> {
    loop {
        if let Some(parsed) = parse_response(buf)? {
            return Ok(parsed);
        }
        if buf.len() > MAX_HEAD {
            return Err(ExchangeError::ResponseTooLarge);
        }
        if rd.read_buf(buf).await.map_err(ExchangeError::Io)? == 0 {
            return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

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
    open: Rc<Cell<usize>>,
    idle: Vec<(Conn, Instant)>,
}

/// Connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    pools: RefCell<HashMap<SocketAddr, AddressPool>>,
}

impl ConnectionPool {
    /// Number of connections to an address, used or idle.
    #[must_use]
    pub fn open_count(&self, address: SocketAddr) -> usize {
        self.pools
            .borrow()
            .get(&address)
            .map_or(0, |pool| pool.open.get())
    }

    /// A connection that was idle for at most `idle`, or a new one.
    pub async fn connect(
        &self,
        address: SocketAddr,
        idle: Duration,
        timeout: Duration,
    ) -> Result<Conn, ExchangeError> {
        if let Some(conn) = self.take_idle(address, idle) {
            return Ok(conn);
        }
        self.connect_new(address, timeout).await
    }

    /// A new connection.
    pub async fn connect_new(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Conn, ExchangeError> {
        let open = {
            let mut pools = self.pools.borrow_mut();
            pools.entry(address).or_default().open.clone()
        };
        open.set(open.get() + 1);
        let guard = OpenGuard(Some(open));
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ExchangeError::Connect)?,
            Err(_) => return Err(ExchangeError::Connect(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_EVERY)
            .with_retries(PROBES);
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_keepalive(&probes)
            .map_err(ExchangeError::Connect)?;
        Ok(Conn {
            stream,
            buf: BytesMut::new(),
            address,
            open: guard.keep(),
            reusable: true,
            idle_limit: DEFAULT_IDLE,
        })
    }

    /// Keeps a connection for reuse after its answer was read whole.
    pub fn recycle(&self, conn: Conn, response: &Response) {
        if !conn.reusable || !response.decoder.is_done() || !conn.buf.is_empty() {
            return;
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(conn.address).or_default();
        if pool.idle.len() < MAX_IDLE {
            pool.idle.push((conn, Instant::now()));
        }
    }

    /// A connection that was idle for at most `idle`, if there is one.
    pub fn take_idle(&self, address: SocketAddr, idle: Duration) -> Option<Conn> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&address)?;
        while let Some((conn, since)) = pool.idle.pop() {
            if since.elapsed() > idle.min(conn.idle_limit) {
                // Older ones lie below: none of them is younger.
                pool.idle.clear();
                return None;
            }
            let mut probe = [0_u8; 1];
            match conn.stream.try_read(&mut probe) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(conn),
                _ => drop(conn),
            }
        }
        None
    }

    /// Closes connections that were idle for too long, and forgets unused addresses.
    pub fn evict_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.idle
                .retain(|(conn, since)| since.elapsed() <= conn.idle_limit);
        }
        pools.retain(|_, pool| pool.open.get() > 0);
    }
}

/// Counts a connection down unless it comes about.
struct OpenGuard(Option<Rc<Cell<usize>>>);

impl OpenGuard {
    fn keep(mut self) -> Rc<Cell<usize>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get().saturating_sub(1));
        }
    }
}
