//! A caller's connection with bounded reads.
//!
//! The HTTP library bounds the head of a request only at line ends, and reads a refused body to
//! its end. This wrapper ends both: a head larger than [`MAX_HEAD_BYTES`] is an error, and after
//! [`Reads::cut`] the connection reads as closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;

/// Largest head of a request, in bytes, before its body begins.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A caller's connection.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: TcpStream,
    reads: Arc<Reads>,
}

/// What may still be read.
#[derive(Debug, Default)]
pub struct Reads {
    in_body: AtomicBool,
    cut: AtomicBool,
    head_bytes: AtomicUsize,
}

impl Reads {
    /// A new head is expected.
    pub fn expect_head(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.in_body.store(false, Ordering::Relaxed);
    }

    /// The head was read; its body is bounded by whoever reads it.
    pub fn expect_body(&self) {
        self.in_body.store(true, Ordering::Relaxed);
    }

    /// Nothing more shall be read.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
    }

    /// Whether a part of a head was read.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.head_bytes.load(Ordering::Relaxed) > 0
    }

    fn count(&self, n: usize) -> io::Result<usize> {
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
            reads: Arc::default(),
        }
    }

    /// The bounds of its reads.
    #[must_use]
    pub fn reads(&self) -> &Arc<Reads> {
        &self.reads
    }

    /// The connection itself.
    #[must_use]
    pub fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    /// Waits until the caller sends something; false if it closed the connection instead.
    pub async fn begun(&self) -> bool {
        let mut buf = [0_u8; 1];
        matches!(self.stream.peek(&mut buf).await, Ok(1))
    }

    /// Returns when the caller has closed its side; never, if it sends anything more.
    pub async fn closed(&self) {
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
        if self.reads.cut.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        polled.map(|read| read.and_then(|n| self.reads.count(n)))
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
