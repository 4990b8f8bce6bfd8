//! Stand-ins for engines: they register in the store, write there at intervals, and answer requests.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;

/// How often an engine writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// `X-Attempt-Id` of each request that an engine of the case has run, in order.
pub type Runs = Arc<Mutex<Vec<String>>>;

/// Answers a request that the engine runs; writes to the connection, and returns whether it stays open.
pub type Answer = dyn Fn(&Engine, &Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// One engine.
pub struct Engine {
    pub id: String,
    pub version: String,
    pub record: Record,
    runs: Runs,
}

/// What an engine tells the store about itself.
pub struct Listing<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    /// Version of its software.
    pub version: &'a str,
    pub slots: u32,
}

impl Engine {
    /// Starts an engine, registers it in the store and keeps its entry up to date.
    pub fn start(
        ip: &str,
        listing: &Listing<'_>,
        store: &Store,
        record: &Record,
        runs: &Runs,
        answer: Arc<Answer>,
    ) -> io::Result<Arc<Self>> {
        let (listener, address) = http::listen(ip)?;
        let engine = Arc::new(Self {
            id: listing.id.into(),
            version: listing.version.into(),
            record: record.clone(),
            runs: runs.clone(),
        });
        let served = engine.clone();
        let handler =
            move |request: &Request, out: &mut TcpStream| served.handle(request, out, &*answer);
        http::serve(listener, Arc::new(handler));
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let entry = format!(
            r#"{{"service":"{}","address":"{address}","zone":"{}","version":"{}","slots":{},"state":"ready","cold_remaining_ms":0,"born":{born},"sequence":"#,
            listing.service, listing.zone, listing.version, listing.slots
        );
        record.line(&format!(
            "{}: engine of {}, software {}",
            listing.id, listing.service, listing.version
        ));
        store.put("servers", listing.id, &format!("{entry}1}}"));
        let (id, store) = (listing.id.to_owned(), store.clone());
        std::thread::spawn(move || {
            for sequence in 2_u64.. {
                std::thread::sleep(HEARTBEAT);
                store.put("servers", &id, &format!("{entry}{sequence}}}"));
            }
        });
        Ok(engine)
    }

    fn handle(&self, request: &Request, out: &mut TcpStream, answer: &Answer) -> io::Result<bool> {
        let id = request.head.get("x-attempt-id").unwrap_or_default();
        let expected = request.head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.turn_away(421, id, out);
        }
        let tenant = request.head.get("x-tenant").unwrap_or_default();
        let last = request.head.get("last-event-id").unwrap_or("-");
        self.record.line(&format!(
            "{}: runs {id}, software {}, tenant {tenant}, last event {last}, ms left {}",
            self.id,
            self.version,
            request.head.get("x-deadline-ms").unwrap_or("-")
        ));
        self.runs.lock().unwrap().push(id.into());
        answer(self, request, out)
    }

    fn turn_away(&self, status: u16, id: &str, out: &mut TcpStream) -> io::Result<bool> {
        self.record
            .line(&format!("{}: turns {id} away with {status}", self.id));
        let answer = format!(
            "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nX-Engine-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        out.write_all(answer.as_bytes())?;
        Ok(true)
    }
}

/// Head of a stream's answer.
pub fn stream_head(request: &Request, seal: &str) -> String {
    let id = request.head.get("x-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {seal}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Bytes as one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An event of a stream; its data names the software that wrote it.
pub fn event(engine: &Engine, number: u64) -> String {
    format!(
        "id: {number}\ndata: {} wrote piece {number}\n\n",
        engine.version
    )
}

/// The number of the first event that a request asks for.
pub fn first_event(request: &Request) -> u64 {
    let last = request
        .head
        .get("last-event-id")
        .and_then(|text| text.trim().parse::<u64>().ok());
    last.map_or(1, |last| last + 1)
}

/// Answers a streaming request with the events up to `count`, one each `gap`.
pub fn stream(
    engine: &Engine,
    request: &Request,
    out: &mut TcpStream,
    count: u64,
    gap: Duration,
) -> io::Result<bool> {
    out.write_all(stream_head(request, &engine.id).as_bytes())?;
    for number in first_event(request)..=count {
        out.write_all(chunk(&event(engine, number)).as_bytes())?;
        std::thread::sleep(gap);
    }
    out.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
