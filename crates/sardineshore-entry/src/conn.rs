//! A caller's connection with limited reads.
//!
//! The HTTP library checks the size of a request head only at line ends, and reads a rejected body
//! to its end. This wrapper limits both: a head larger than [`MAX_HEAD_BYTES`] is an error, and
//! after [`ReadLimits::stop_reading`] reads report the end of the stream.
//!
//! [`CallerStream::close_gracefully`] ends a connection after its last reply. Closing a connection
//! with unread bytes resets it, and a caller behind a slow link would lose the reply.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::io::{Read, ReadExt, Write};
use async_std::net::TcpStream;

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time for a caller to close its side after the last reply.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes that are discarded after the last reply.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Size of the buffer into which they are read, in bytes.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// A caller's connection.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: TcpStream,
    limits: Arc<ReadLimits>,
}

/// Limits on what is read from a connection.
#[derive(Debug, Default)]
pub struct ReadLimits {
    in_body: AtomicBool,
    stopped: AtomicBool,
    head_bytes: AtomicUsize,
}

impl ReadLimits {
    /// Starts to count a new request head.
    pub fn expect_head(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.in_body.store(false, Ordering::Relaxed);
    }

    /// Stops counting after the head; the reader of the body limits the body.
    pub fn expect_body(&self) {
        self.in_body.store(true, Ordering::Relaxed);
    }

    /// Makes all further reads report the end of the stream.
    pub fn stop_reading(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Whether at least one byte of a head was read.
    #[must_use]
    pub fn has_head_started(&self) -> bool {
        self.head_bytes.load(Ordering::Relaxed) > 0
    }

    fn count_head_bytes(&self, n: usize) -> io::Result<usize> {
        if self.in_body.load(Ordering::Relaxed) {
            return Ok(n);
        }
        let total = self.head_bytes.fetch_add(n, Ordering::Relaxed) + n;
        if total > MAX_HEAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head is too large",
            ));
        }
        Ok(n)
    }
}

impl CallerStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            limits: Arc::default(),
        }
    }

    /// The read limits.
    #[must_use]
    pub fn limits(&self) -> &Arc<ReadLimits> {
        &self.limits
    }

    /// The underlying TCP connection.
    #[must_use]
    pub fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    /// Waits until the caller sends data; false if it closed the connection instead.
    pub async fn wait_for_data(&self) -> bool {
        let mut buf = [0_u8; 1];
        matches!(self.stream.peek(&mut buf).await, Ok(1))
    }

    /// Ends the connection after its last reply: closes this side, then discards what the caller
    /// still sends until it closes its own, for at most 3 s and 1 MiB.
    pub async fn close_gracefully(&self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut buf = [0_u8; DISCARD_BUFFER_BYTES];
            let mut stream = &self.stream;
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match stream.read(&mut buf).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => discarded += n,
                }
            }
        };
        let _timed_out = async_std::future::timeout(CLOSE_TIMEOUT, discard).await;
    }

    /// Returns when the caller closes its side; never returns if the caller sends more data.
    pub async fn wait_for_close(&self) {
        let mut buf = [0_u8; 1];
        match self.stream.peek(&mut buf).await {
            Ok(0) | Err(_) => (),
            Ok(_) => futures::future::pending().await,
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.limits.stopped.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        polled.map(|read| read.and_then(|n| self.limits.count_head_bytes(n)))
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
