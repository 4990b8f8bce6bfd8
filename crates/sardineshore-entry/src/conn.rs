//! A caller's connection with limited reads.
//!
//! The HTTP library checks the size of a request head only at line ends, and reads a rejected body
//! to its end. This wrapper limits both: a head larger than [`MAX_HEAD_BYTES`] is an error, and
//! after [`ReadLimits::stop_reading`] reads report the end of the stream.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

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
