//! HTTP/1.1 over blocking sockets: messages, a server with one thread for each connection, a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response with its complete body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    /// A field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(n, _)| *n == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` if the connection ends before it does.
pub fn read_message(rd: &mut impl BufRead) -> Option<Message> {
    let mut message = Message {
        first_line: read_line(rd)?,
        ..Message::default()
    };
    loop {
        let line = read_line(rd)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(rd)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            rd.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            read_line(rd)?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    rd.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(rd: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let count = rd.read_line(&mut line).ok()?;
    (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection in a thread until it ends. `handle` returns whether to go on.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _set = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || {
                let Ok(read_half) = stream.try_clone() else {
                    return;
                };
                let mut rd = BufReader::new(read_half);
                while let Some(request) = read_message(&mut rd) {
                    if !handle(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// A kept connection of a client.
pub struct Client {
    stream: TcpStream,
    rd: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let rd = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, rd })
    }

    /// Sends a request; returns whether that succeeded.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> bool {
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out).is_ok()
    }

    /// Reads the response; `None` if the connection ends before it is complete.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.rd)
    }
}
