//! Heads and bodies of HTTP/1.1 messages, without I/O.
//!
//! ```
//! use sardineshore_serve::http1::{Framing, parse_request};
//!
//! let (head, used) = parse_request(b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n").unwrap().unwrap();
//! assert_eq!((head.target.as_str(), used), ("/a", 28));
//! assert_eq!(head.framing().unwrap(), Framing::Length(0));
//! ```

use bytes::{Buf, Bytes, BytesMut};

/// Most headers of a message.
const MAX_HEADERS: usize = 96;
/// Longest line of a chunk's size with its extension, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Most bytes of trailers.
const MAX_TRAILERS: usize = 8192;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not HTTP/1.1.
    #[error("malformed message")]
    Malformed,
    /// More than one reading of the body's length is possible.
    #[error("ambiguous body length")]
    AmbiguousLength,
}

/// Header fields in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    /// First value of a field, if it is text.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// All values of a field that are text.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.0
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Whether a comma-separated field names a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// How the request's body ends.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        match declared_framing(&self.headers)? {
            Some(Framing::Chunked) if self.minor_version == 0 => Err(MessageError::AmbiguousLength),
            Some(framing) => Ok(framing),
            None => Ok(Framing::Length(0)),
        }
    }
}

/// Head of a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// How the response's body ends; `head_request` if its request had the method HEAD.
    pub fn framing(&self, head_request: bool) -> Result<Framing, MessageError> {
        if head_request || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(declared_framing(&self.headers)?.unwrap_or(Framing::UntilClose))
    }

    /// Whether the connection can carry another request after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.minor_version == 1 && !self.headers.has_token("connection", "close")
    }
}

fn declared_framing(headers: &Headers) -> Result<Option<Framing>, MessageError> {
    let count = |name: &str| {
        headers
            .0
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name))
            .count()
    };
    let (codings, lengths) = (count("transfer-encoding"), count("content-length"));
    if codings > 0 {
        let chunked = headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        if codings > 1 || lengths > 0 || !chunked {
            return Err(MessageError::AmbiguousLength);
        }
        return Ok(Some(Framing::Chunked));
    }
    if lengths == 0 {
        return Ok(None);
    }
    let mut values = headers.all("content-length").map(str::trim);
    let first = values.next().ok_or(MessageError::AmbiguousLength)?;
    let digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
    if lengths > 1 || !digits {
        return Err(MessageError::AmbiguousLength);
    }
    let length = first.parse().map_err(|_| MessageError::AmbiguousLength)?;
    Ok(Some(Framing::Length(length)))
}

fn collect(parsed: &[httparse::Header<'_>]) -> Headers {
    let fields = parsed
        .iter()
        .map(|field| (field.name.to_owned(), field.value.to_vec()));
    Headers(fields.collect())
}

/// Head of a request and its length in bytes; `None` while more bytes are needed.
pub fn parse_request(buf: &[u8]) -> Result<Option<(RequestHead, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(buf) {
        Ok(httparse::Status::Complete(used)) => {
            let head = RequestHead {
                method: request.method.unwrap_or_default().to_owned(),
                target: request.path.unwrap_or_default().to_owned(),
                minor_version: request.version.unwrap_or(1),
                headers: collect(request.headers),
            };
            Ok(Some((head, used)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// Head of a response and its length in bytes; `None` while more bytes are needed.
pub fn parse_response(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(buf) {
        Ok(httparse::Status::Complete(used)) => {
            let head = ResponseHead {
                status: response.code.unwrap_or_default(),
                minor_version: response.version.unwrap_or(1),
                headers: collect(response.headers),
            };
            Ok(Some((head, used)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(MessageError::Malformed),
    }
}

/// What the decoder of a body found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes are needed.
    NeedMore,
    /// The body is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    Done,
}

/// Decoder of a body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// A decoder of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the end of the connection ends the body.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Whether the whole body was taken.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next part of the body out of `buf`.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, MessageError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilClose if buf.is_empty() => return Ok(Decoded::NeedMore),
                State::UntilClose => return Ok(Decoded::Data(buf.split().freeze())),
                State::Length(left) => {
                    let Some(data) = take(buf, left) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 {
                        State::Done
                    } else {
                        State::Length(left)
                    };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkData(left) => {
                    let Some(data) = take(buf, left) else {
                        return Ok(Decoded::NeedMore);
                    };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(left)
                    };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize => {
                    if !self.chunk_size(buf)? {
                        return Ok(Decoded::NeedMore);
                    }
                }
                State::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Decoded::NeedMore);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(MessageError::Malformed);
                    }
                    buf.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers(seen) => {
                    if !self.trailer(buf, seen)? {
                        return Ok(Decoded::NeedMore);
                    }
                }
            }
        }
    }

    fn chunk_size(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((used, size))) => {
                buf.advance(used);
                self.state = if size == 0 {
                    State::Trailers(0)
                } else {
                    State::ChunkData(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(MessageError::Malformed),
        }
    }

    fn trailer(&mut self, buf: &mut BytesMut, seen: usize) -> Result<bool, MessageError> {
        let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") else {
            if seen + buf.len() > MAX_TRAILERS {
                return Err(MessageError::Malformed);
            }
            return Ok(false);
        };
        buf.advance(end + 2);
        self.state = match end {
            0 => State::Done,
            _ if seen + end > MAX_TRAILERS => return Err(MessageError::Malformed),
            _ => State::Trailers(seen + end),
        };
        Ok(true)
    }
}

fn take(buf: &mut BytesMut, most: u64) -> Option<Bytes> {
    if buf.is_empty() {
        return None;
    }
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let count = buf.len().min(most);
    Some(buf.split_to(count).freeze())
}

/// Reason phrase of a status code.
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

/// Fields that concern one connection only.
const CONNECTION_FIELDS: &[&str] = &[
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

/// Whether a field is passed on, given the message it stands in.
#[must_use]
pub fn is_end_to_end(name: &str, headers: &Headers) -> bool {
    !CONNECTION_FIELDS
        .iter()
        .any(|own| own.eq_ignore_ascii_case(name))
        && !headers.has_token("connection", name)
}

/// Appends one header field.
pub fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the status line of a response.
pub fn put_status_line(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
}
