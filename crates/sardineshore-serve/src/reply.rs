//! Answers to callers.

use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

use crate::http1::{Headers, is_end_to_end, put_header, put_status_line};

/// Why a request has no answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorResponse {
    /// The request can't be read.
    Malformed,
    /// The caller is too slow to send its request.
    SlowCaller,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// No route.
    NoRoute,
    /// Unknown key.
    UnknownKey,
    /// Not run: come back after this time.
    NotRun(Duration, &'static str),
    /// May have run; no usable answer.
    OutcomeUnknown(&'static str),
    /// May have run; time is over.
    DeadlineExceeded,
}

impl ErrorResponse {
    /// Status code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::SlowCaller => 408,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::NotRun(..) => 503,
            Self::OutcomeUnknown(_) => 502,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Word for logs.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::SlowCaller => "slow caller",
            Self::HeadTooLong => "head too long",
            Self::BodyTooLong => "body too long",
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::NotRun(_, reason) | Self::OutcomeUnknown(reason) => reason,
            Self::DeadlineExceeded => "time over",
        }
    }

    /// Whole answer.
    #[must_use]
    pub fn encode(self, request_id: Option<(&str, &str)>, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(192);
        put_status_line(&mut out, self.status());
        if let Some((name, id)) = request_id {
            put_header(&mut out, name, id.as_bytes());
        }
        if let Self::NotRun(wait, _) = self {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            put_header(&mut out, "Retry-After", seconds.as_bytes());
        }
        put_header(&mut out, "Content-Length", b"0");
        if close {
            put_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Head of a server's answer as it goes to the caller; `length` is `None` for a chunked body.
#[must_use]
pub fn answer_head(status: u16, headers: &Headers, length: Option<usize>, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    put_status_line(&mut out, status);
    for (name, value) in &headers.0 {
        if is_end_to_end(name, headers) {
            put_header(&mut out, name, value);
        }
    }
    match length {
        Some(length) => put_header(&mut out, "Content-Length", length.to_string().as_bytes()),
        None => put_header(&mut out, "Transfer-Encoding", b"chunked"),
    }
    if close {
        put_header(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes one chunk of a chunked body.
pub async fn write_chunk<W: AsyncWrite + Unpin>(
    wr: &mut W,
    head: &mut Vec<u8>,
    data: &[u8],
) -> std::io::Result<()> {
    head.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    head.extend_from_slice(data);
    head.extend_from_slice(b"\r\n");
    let written = wr.write_all(head).await;
    head.clear();
    written
}
