//! Clients: they send a request on a new connection and read its answer, a stream event by event.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::record::Record;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Complete, as far as its framing tells.
    Complete,
    /// The connection ended before the answer did, or before it began.
    Broken,
}

/// An answer as a client saw it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; 0 if there was none.
    pub status: u16,
    pub head: Head,
    /// Events of a stream: their ids and data.
    pub events: Vec<(u64, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

/// What a client sends.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    /// `X-Attempt-Id`.
    pub id: String,
    pub key: String,
    pub deadline: Duration,
    /// Other header lines, each with its line end.
    pub fields: String,
    pub body: String,
}

/// A new `X-Attempt-Id`.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Sends a call and reads the answer to its end. `on_event` is called after each event of a stream.
pub fn send(
    address: SocketAddr,
    call: &Call,
    record: &Record,
    mut on_event: impl FnMut(u64),
) -> Answer {
    let mut answer = Answer {
        status: 0,
        head: Head::default(),
        events: Vec::new(),
        body: Vec::new(),
        end: End::Broken,
    };
    record.line(&format!(
        "client: sends {} {} to {address}",
        call.id, call.path
    ));
    let read = exchange(address, call, &mut answer, &mut on_event);
    if read.is_ok() {
        answer.end = End::Complete;
    }
    record.line(&format!(
        "client: {} got {}, {} events to {}, {:?}{}",
        call.id,
        answer.status,
        answer.events.len(),
        answer.events.last().map_or(0, |(id, _)| *id),
        answer.end,
        read.err()
            .map_or_else(String::new, |error| format!(" ({error})"))
    ));
    answer
}

fn exchange(
    address: SocketAddr,
    call: &Call,
    answer: &mut Answer,
    on_event: &mut dyn FnMut(u64),
) -> io::Result<()> {
    let until = Instant::now() + call.deadline;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let key = if call.key.is_empty() {
        String::new()
    } else {
        format!("Authorization: Bearer {}\r\n", call.key)
    };
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline.as_millis(),
        call.fields,
        call.body.len(),
        call.body
    );
    stream.write_all(request.as_bytes())?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left + Duration::from_secs(1)))?;
    let mut rd = BufReader::new(stream);
    let head = http::read_head(&mut rd)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.second_word().parse().unwrap_or(0);
    answer.head = head.clone();
    if !head.is_chunked() {
        answer.body = http::read_body(&mut rd, &head)?;
        return Ok(());
    }
    let mut unread = Vec::new();
    while let Some(chunk) = http::read_chunk(&mut rd)? {
        answer.body.extend(&chunk);
        unread.extend(chunk);
        while let Some(end) = unread.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = unread.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            let line = |name: &str| {
                let mut lines = event.lines();
                lines
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or_default()
                    .trim()
                    .to_owned()
            };
            let id = line("id:").parse().unwrap_or(0);
            answer.events.push((id, line("data:")));
            on_event(id);
        }
    }
    Ok(())
}
