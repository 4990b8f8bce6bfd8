//! HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks, and a server with a thread for
//! each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First line and header fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a field; `None` if there is none.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the first line is none of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Connects within a second, as clients do.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes until `deadline`; fails at the end of the connection.
    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<()> {
        let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut part = [0_u8; 65536];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..count]);
        Ok(())
    }

    /// Reads a head.
    pub fn head(&mut self, deadline: Option<Instant>) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                });
                return Ok(Head {
                    first_line,
                    fields: fields.collect(),
                });
            }
            self.fill(deadline)?;
        }
    }

    /// Reads `length` bytes.
    pub fn bytes(&mut self, length: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill(deadline)?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the next chunk of a body in chunks; empty at its end.
    pub fn chunk(&mut self, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        let line = self.line(deadline)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.bytes(size, deadline)?;
        self.bytes(2, deadline)?;
        Ok(data)
    }

    /// Reads a body that a head announces.
    pub fn body(&mut self, head: &Head, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk(deadline)?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let length = head.get("content-length").and_then(|n| n.parse().ok());
        self.bytes(length.unwrap_or(0), deadline)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a length.
pub fn response(status: u16, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Value of a parameter in a target's query.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(n, _)| *n == name)?;
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next()?, bytes.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        out.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(out).ok()
}

/// Serves connections with a thread each, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Conn) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(Conn::new(stream)));
        }
    });
}
