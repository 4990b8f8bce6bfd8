//! Engines: a model engine that streams events, and a plain engine that works on a few requests at a time.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{self, Conn, Head, response};
use crate::record::Record;

/// What an engine is and how it works.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub version: String,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Requests that wait besides.
    pub queue: usize,
    /// Time for which it works on a plain request, or until the first event of a stream.
    pub work: Duration,
    /// Events of a stream, and the time between two; 0 for an engine of plain requests.
    pub events: u64,
    pub gap: Duration,
    pub has_exited: Arc<AtomicBool>,
}

/// What engines have run: events by the id of the client's request.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// The running requests of an engine, and how it tells that one has ended.
type Places = Arc<(Mutex<Load>, Condvar)>;

impl Engine {
    /// Starts to listen; returns the address.
    pub fn start(&self, runs: &Runs, record: &Record) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (engine, runs, record) = (self.clone(), runs.clone(), record.clone());
        let places = Places::default();
        http::serve(listener, move |conn| {
            if !engine.has_exited.load(Ordering::Relaxed) {
                let _closed = engine.serve(conn, &places, &runs, &record);
            }
        });
        Ok(address)
    }

    /// Ends the engine: its connections close, and it takes no more.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::Relaxed);
    }

    /// Its entry in the store.
    pub fn entry(&self, address: SocketAddr) -> String {
        let Self {
            service,
            version,
            slots,
            ..
        } = self;
        let born = std::process::id();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":17000000{born:05}}}"
        )
    }

    fn serve(
        &self,
        mut conn: Conn,
        places: &Places,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<()> {
        loop {
            let head = conn.head(None)?;
            let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let fields = format!("X-Attempt-Id: {id}\r\nX-Engine-Id: {}\r\n", self.id);
            if head.target() == "/healthz" {
                conn.write(&response(200, &fields, ""))?;
                continue;
            }
            if head
                .get("x-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                conn.body(&head, None)?;
                conn.write(&response(421, &fields, ""))?;
                continue;
            }
            let place = Place::take(places, self);
            conn.body(&head, None)?;
            let Some(place) = place else {
                let refused = format!("{fields}X-Not-Executed: 1\r\n{}", self.load(places));
                conn.write(&response(503, &refused, ""))?;
                continue;
            };
            place.wait_turn(self.slots);
            std::thread::sleep(self.work);
            record.line(&format!("{} {} runs {id}", self.service, self.id));
            if self.events == 0 {
                let answered = format!("{fields}X-Response-Seal: s.{id}\r\n{}", self.load(places));
                drop(place);
                conn.write(&response(200, &answered, &format!("done {id}")))?;
            } else {
                self.stream(&mut conn, &head, &id, places, runs)?;
            }
        }
    }

    fn load(&self, places: &Places) -> String {
        let load = places.0.lock().unwrap_or_else(PoisonError::into_inner);
        format!(
            "X-Engine-Load: {},{},{}\r\n",
            load.running, load.waiting, self.slots
        )
    }

    /// Streams the events after the last one that the client has.
    fn stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        id: &str,
        places: &Places,
        runs: &Runs,
    ) -> io::Result<()> {
        let last: u64 = head
            .get("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let load = self.load(places);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n{load}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(answer.as_bytes())?;
        for event in last + 1..=self.events {
            if self.has_exited.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!(
                "id: {event}\ndata: {} {} {event}\n\n",
                self.service, self.version
            );
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
            let ran = format!("{} {} {event}", self.service, self.version);
            runs.entry(id.to_owned()).or_default().push(ran);
            drop(runs);
            std::thread::sleep(self.gap);
        }
        conn.write(b"0\r\n\r\n")
    }
}

/// A place among the requests that an engine works on or keeps waiting.
struct Place<'a> {
    places: &'a Places,
    runs: std::cell::Cell<bool>,
}

impl<'a> Place<'a> {
    /// Takes a place; `None` if the engine is full.
    fn take(places: &'a Places, engine: &Engine) -> Option<Self> {
        let mut load = places.0.lock().unwrap_or_else(PoisonError::into_inner);
        if load.running + load.waiting >= engine.slots + engine.queue {
            return None;
        }
        load.waiting += 1;
        Some(Self {
            places,
            runs: std::cell::Cell::new(false),
        })
    }

    /// Waits until the request is among those that the engine works on.
    fn wait_turn(&self, slots: usize) {
        let (load, ended) = &**self.places;
        let mut load = load.lock().unwrap_or_else(PoisonError::into_inner);
        while load.running >= slots {
            load = ended.wait(load).unwrap_or_else(PoisonError::into_inner);
        }
        load.running += 1;
        load.waiting -= 1;
        self.runs.set(true);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let (load, ended) = &**self.places;
        let mut load = load.lock().unwrap_or_else(PoisonError::into_inner);
        if self.runs.get() {
            load.running -= 1;
        } else {
            load.waiting -= 1;
        }
        ended.notify_all();
    }
}
