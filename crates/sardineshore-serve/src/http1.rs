//! HTTP/1.1 message heads and bodies: a parser, an incremental body decoder and encoding helpers.
//!
//! The module does no I/O. [`crate::caller`] and [`crate::upstream`] read from the sockets and
//! pass it the bytes. A message whose length can be read in more than one way is rejected, because
//! the next hop could see the message end at another place.
//!
//! ```
//! use sardineshore_serve::http1::{Framing, parse_request};
//!
//! let (head, head_len) = parse_request(b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n").unwrap().unwrap();
//! assert_eq!((head.target.as_str(), head_len), ("/a", 28));
//! assert_eq!(head.framing().unwrap(), Framing::Length(0));
//! ```

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of header fields in a message.
const MAX_HEADERS: usize = 96;
/// Maximum number of bytes that are buffered while a chunk-size line, with its extensions, is
/// incomplete.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Maximum size of all trailer fields together, in bytes.
const MAX_TRAILER_BYTES: usize = 8192;

/// Why a message can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not a valid HTTP/1 message.
    #[error("malformed message")]
    Malformed,
    /// The header fields allow more than one reading of the body's length.
    #[error("ambiguous body length")]
    AmbiguousLength,
}

/// Header fields in the order in which they were received. Look-ups ignore the case of names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    /// Value of the first field with this name; `None` if there is none or it isn't valid UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Values of all fields with this name, without those that aren't valid UTF-8.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Whether a comma-separated field, such as `Connection`, contains a token. Ignores case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The chunked transfer coding marks the end.
    Chunked,
    /// The body ends when the sender closes the connection. Only responses may use this.
    UntilClose,
}

/// Request line and header fields of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, for example `POST`.
    pub method: String,
    /// Request target as received: path and query.
    pub target: String,
    /// Minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// All header fields, also those that apply to one connection only.
    pub headers: Headers,
}

impl RequestHead {
    /// Framing of the request's body; a request without a declared length has no body.
    ///
    /// # Errors
    ///
    /// Fails if the body's length is ambiguous, which includes chunks in an HTTP/1.0 request.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        match declared_framing(&self.headers)? {
            Some(Framing::Chunked) if self.minor_version == 0 => Err(MessageError::AmbiguousLength),
            Some(framing) => Ok(framing),
            None => Ok(Framing::Length(0)),
        }
    }
}

/// Status line and header fields of a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// All header fields, also those that apply to one connection only.
    pub headers: Headers,
}

impl ResponseHead {
    /// Framing of the response's body; `is_head` tells that the request had the method `HEAD`.
    ///
    /// # Errors
    ///
    /// Fails if the body's length is ambiguous.
    pub fn framing(&self, is_head: bool) -> Result<Framing, MessageError> {
        if is_head || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(declared_framing(&self.headers)?.unwrap_or(Framing::UntilClose))
    }

    /// Whether the sender keeps the connection open for another request after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.minor_version == 1 && !self.headers.has_token("connection", "close")
    }
}

/// Framing that the header fields declare; `None` if they declare none.
fn declared_framing(headers: &Headers) -> Result<Option<Framing>, MessageError> {
    let count = |name: &str| {
        headers
            .0
            .iter()
            .filter(|(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .count()
    };
    let (encoding_count, length_count) = (count("transfer-encoding"), count("content-length"));
    if encoding_count > 0 {
        let chunked = headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        if encoding_count > 1 || length_count > 0 || !chunked {
            return Err(MessageError::AmbiguousLength);
        }
        return Ok(Some(Framing::Chunked));
    }
    if length_count == 0 {
        return Ok(None);
    }
    let mut values = headers.all("content-length").map(str::trim);
    let first = values.next().ok_or(MessageError::AmbiguousLength)?;
    let is_number = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
    if length_count > 1 || !is_number {
        return Err(MessageError::AmbiguousLength);
    }
    let length = first.parse().map_err(|_| MessageError::AmbiguousLength)?;
    Ok(Some(Framing::Length(length)))
}

/// Status codes that a response can have.
const STATUSES: RangeInclusive<u16> = 100..=599;

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let fields = parsed
        .iter()
        .map(|field| (field.name.to_owned(), field.value.to_vec()));
    Headers(fields.collect())
}

/// Parses a request head at the start of `buf`.
///
/// Returns the head and its length in bytes, or `None` if `buf` doesn't hold the whole head yet.
///
/// # Errors
///
/// Fails if the bytes are malformed or there are too many header fields.
pub fn parse_request(buf: &[u8]) -> Result<Option<(RequestHead, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => {
            let head = RequestHead {
                method: request.method.unwrap_or_default().to_owned(),
                target: request.path.unwrap_or_default().to_owned(),
                minor_version: request.version.unwrap_or(1),
                headers: copy_headers(request.headers),
            };
            Ok(Some((head, head_len)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Parses a response head at the start of `buf`.
///
/// Returns the head and its length in bytes, or `None` if `buf` doesn't hold the whole head yet.
///
/// # Errors
///
/// Fails if the bytes are malformed, the status is none of the protocol's or there are too many header
/// fields.
pub fn parse_response(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => {
            let status = response.code.unwrap_or_default();
            if !STATUSES.contains(&status) {
                return Err(MessageError::Malformed);
            }
            let head = ResponseHead {
                status,
                minor_version: response.version.unwrap_or(1),
                headers: copy_headers(response.headers),
            };
            Ok(Some((head, head_len)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Result of one step of a [`BodyDecoder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// Next bytes of the body; never empty.
    Data(Bytes),
    /// The buffer holds too little: read more bytes into it and call again.
    NeedMore,
    /// The body is complete. What is remaining in the buffer belongs to the next message.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Remaining bytes of a body with a known length.
    Length(u64),
    UntilClose,
    /// A chunk-size line comes next.
    ChunkSize,
    /// Remaining bytes of the current chunk.
    ChunkData(u64),
    /// The line end after a chunk's data comes next.
    ChunkEnd,
    /// Trailer fields follow; holds the bytes of those already skipped.
    Trailers(usize),
    Done,
}

/// Incremental decoder of one message body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecoderState::Done,
            Framing::Length(length) => DecoderState::Length(length),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body ends only when the connection closes.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Whether the whole body has been decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Removes the next part of the body from the start of `buf`.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed or its trailers are too long.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, MessageError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(Decoded::End),
                DecoderState::UntilClose if buf.is_empty() => return Ok(Decoded::NeedMore),
                DecoderState::UntilClose => return Ok(Decoded::Data(buf.split().freeze())),
                DecoderState::Length(remaining) => {
                    let Some(data) = split_up_to(buf, remaining) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        DecoderState::Done
                    } else {
                        DecoderState::Length(remaining)
                    };
                    return Ok(Decoded::Data(data));
                }
                DecoderState::ChunkData(remaining) => {
                    let Some(data) = split_up_to(buf, remaining) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        DecoderState::ChunkEnd
                    } else {
                        DecoderState::ChunkData(remaining)
                    };
                    return Ok(Decoded::Data(data));
                }
                DecoderState::ChunkSize => {
                    if !self.read_chunk_size(buf)? {
                        return Ok(Decoded::NeedMore);
                    }
                }
                DecoderState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Decoded::NeedMore);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(MessageError::Malformed);
                    }
                    buf.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailers(skipped) => {
                    if !self.skip_trailer(buf, skipped)? {
                        return Ok(Decoded::NeedMore);
                    }
                }
            }
        }
    }

    /// Reads a chunk-size line; returns whether `buf` held all of it.
    fn read_chunk_size(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((used, size))) => {
                buf.advance(used);
                self.state = if size == 0 {
                    DecoderState::Trailers(0)
                } else {
                    DecoderState::ChunkData(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(MessageError::Malformed),
        }
    }

    /// Skips one trailer line, or the empty line that ends the body; returns whether `buf` held
    /// all of it. `skipped` counts the bytes of earlier trailers.
    fn skip_trailer(&mut self, buf: &mut BytesMut, skipped: usize) -> Result<bool, MessageError> {
        let Some(line_len) = buf.windows(2).position(|pair| pair == b"\r\n") else {
            if skipped + buf.len() > MAX_TRAILER_BYTES {
                return Err(MessageError::Malformed);
            }
            return Ok(false);
        };
        buf.advance(line_len + 2);
        self.state = match line_len {
            0 => DecoderState::Done,
            _ if skipped + line_len > MAX_TRAILER_BYTES => return Err(MessageError::Malformed),
            _ => DecoderState::Trailers(skipped + line_len),
        };
        Ok(true)
    }
}

/// Removes at most `max` bytes from the start of `buf`; `None` if it is empty.
fn split_up_to(buf: &mut BytesMut, max: u64) -> Option<Bytes> {
    if buf.is_empty() {
        return None;
    }
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let count = buf.len().min(max);
    Some(buf.split_to(count).freeze())
}

/// Reason phrase of a status code, or a generic word for a code that isn't in the table.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Header fields that apply to one connection only. `Content-Length` is among them because each
/// hop writes the length of the body that it sends itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "expect",
];

/// Whether a proxy forwards a field: it isn't hop-by-hop by definition, and the message's
/// `Connection` field doesn't name it.
#[must_use]
pub fn is_end_to_end(name: &str, headers: &Headers) -> bool {
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop_by_hop| hop_by_hop.eq_ignore_ascii_case(name))
        && !headers.has_token("connection", name)
}

/// Appends one header line to `out`.
pub fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the status line of an HTTP/1.1 response to `out`.
pub fn put_status_line(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
}
