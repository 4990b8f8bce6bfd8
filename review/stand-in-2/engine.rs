//! Engines: plain servers, model engines and servers of stages.

use std::collections::{HashMap, HashSet};
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, response};
use crate::json::{Json, parse};
use crate::record::Record;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work {
    /// A single answer after this time.
    Plain(u64),
    /// A stream of this many events, one after each such time.
    Stream(u64, u64),
    /// Pieces of a stage: time of a call, and of each piece in it.
    Stage(u64, u64),
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    work: Work,
    /// Version of its software and Unix millisecond of its start; they change with a restart.
    run: Mutex<(String, u128)>,
    /// None while it is down.
    listener: Mutex<Option<TcpListener>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Held by the call that is being worked on, at a server of stages.
    slot: Mutex<()>,
    calls: AtomicUsize,
    /// Requests that are running.
    running: AtomicUsize,
    next_handle: AtomicU64,
    handles: Mutex<HashSet<String>>,
    silent_until: Mutex<Option<Instant>>,
    /// Ids of the requests that it has begun to run, and how often.
    pub begun: Mutex<HashMap<String, u32>>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        listener.set_nonblocking(true).expect("set");
        let engine = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("address"),
            work,
            run: Mutex::new(("v1".to_owned(), unix_ms())),
            listener: Mutex::default(),
            connections: Mutex::default(),
            slot: Mutex::default(),
            calls: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            next_handle: AtomicU64::new(0x51f2_9a00),
            handles: Mutex::default(),
            silent_until: Mutex::default(),
            begun: Mutex::default(),
            record: record.clone(),
        });
        *engine.listener.lock().expect("listener") = Some(listener);
        let accepting = engine.clone();
        std::thread::spawn(move || accepting.accept());
        engine
    }

    fn accept(self: Arc<Self>) {
        loop {
            let accepted = self
                .listener
                .lock()
                .expect("listener")
                .as_ref()
                .map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            self.connections.lock().expect("connections").push(kept);
            let engine = self.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let is_set = stream
            .set_nonblocking(false)
            .and_then(|()| stream.set_nodelay(true));
        let Ok(read_half) = is_set.and_then(|()| stream.try_clone()) else {
            return;
        };
        let mut rd = BufReader::new(read_half);
        while let Some(request) = read_message(&mut rd) {
            if self.handle(&request, &mut stream).is_err() {
                break;
            }
        }
        let _ended = stream.shutdown(Shutdown::Both);
    }

    /// Crashes: all its connections end, and new ones are refused.
    pub fn crash(&self) {
        self.record.add(format!("{} crashes", self.id));
        self.listener.lock().expect("listener").take();
        for stream in self.connections.lock().expect("connections").drain(..) {
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }

    /// A new run of the engine with its id and address, which takes no requests yet.
    pub fn begin_run(&self, version: &str) {
        *self.run.lock().expect("run") = (version.to_owned(), unix_ms());
    }

    /// Takes requests again.
    pub fn listen(&self) {
        let listener = TcpListener::bind(self.address).expect("listen");
        listener.set_nonblocking(true).expect("set");
        *self.listener.lock().expect("listener") = Some(listener);
        let version = self.version();
        self.record
            .add(format!("{} takes requests, version {version}", self.id));
    }

    fn version(&self) -> String {
        self.run.lock().expect("run").0.clone()
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            service,
            address,
            zone,
            ..
        } = self;
        let slots = self.slots();
        let (version, born) = self.run.lock().expect("run").clone();
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
        )
    }

    fn slots(&self) -> u32 {
        match self.work {
            Work::Plain(_) => 64,
            Work::Stream(..) => 32,
            Work::Stage(..) => 1,
        }
    }

    /// Sends nothing until then.
    pub fn fall_silent(&self, until: Instant) {
        *self.silent_until.lock().expect("silence") = Some(until);
    }

    fn pause(&self) {
        let until = *self.silent_until.lock().expect("silence");
        let left = until.map(|at| at.saturating_duration_since(Instant::now()));
        std::thread::sleep(left.unwrap_or_default());
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Engine-Id", self.id.clone()),
                ("X-Not-Executed", "1".into()),
            ];
            return stream.write_all(&response(421, &headers, b""));
        }
        match request.target() {
            "/api/report" => {
                let body = r#"{"waiting":0,"busy":false,"free_mb":400,"sequence":1}"#;
                stream.write_all(&response(200, &[], body.as_bytes()))
            }
            "/api/stage-free" => {
                let body = parse(&request.body).unwrap_or(Json::Null);
                let mut handles = self.handles.lock().expect("handles");
                for handle in body.list("handles") {
                    if let Json::Text(handle) = handle {
                        handles.remove(handle);
                    }
                }
                stream.write_all(&response(200, &[], b""))
            }
            "/api/stage-run" => self.run_stage(request, stream),
            "/healthz" => {
                let headers = [("X-Engine-Id", self.id.clone())];
                stream.write_all(&response(200, &headers, b""))
            }
            _ => {
                self.running.fetch_add(1, Ordering::SeqCst);
                let ended = self.run_request(request, stream);
                self.running.fetch_sub(1, Ordering::SeqCst);
                ended
            }
        }
    }

    /// The load that it tells in its answers.
    fn load(&self) -> String {
        let (running, slots) = (self.running.load(Ordering::SeqCst), self.slots());
        format!("{running},0,{slots}")
    }

    fn run_stage(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let Work::Stage(call_ms, item_ms) = self.work else {
            return stream.write_all(&response(404, &[], b""));
        };
        if self.calls.fetch_add(1, Ordering::SeqCst) >= 3 {
            self.calls.fetch_sub(1, Ordering::SeqCst);
            return stream.write_all(&response(503, &[("X-Not-Executed", "1".into())], b""));
        }
        let body = parse(&request.body).unwrap_or(Json::Null);
        let items = body.list("items");
        let slot = self.slot.lock().expect("slot");
        std::thread::sleep(Duration::from_millis(
            call_ms + item_ms * items.len() as u64,
        ));
        let mut results = Vec::new();
        for item in items {
            let (id, stage, piece) = (item.text("id"), item.number("stage"), item.number("piece"));
            let number = self.next_handle.fetch_add(0x1_0001, Ordering::SeqCst);
            let handle = format!("{}/{number:x}", self.address);
            self.handles.lock().expect("handles").insert(handle.clone());
            results.push(format!(r#"{{"handle":"{handle}"}}"#));
            let (stage, piece) = (stage.unwrap_or(0), piece.unwrap_or(0));
            self.record.add(format!(
                "piece {id} stage {stage} piece {piece} computed by {}",
                self.id
            ));
        }
        drop(slot);
        self.calls.fetch_sub(1, Ordering::SeqCst);
        self.pause();
        let body = format!(r#"{{"items":[{}]}}"#, results.join(","));
        let headers = [("Content-Type", "application/json".to_owned())];
        stream.write_all(&response(200, &headers, body.as_bytes()))
    }

    fn run_request(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Attempt-Id", id.clone());
        *self
            .begun
            .lock()
            .expect("begun")
            .entry(id.clone())
            .or_default() += 1;
        self.record
            .add(format!("request {id} begun by {}", self.id));
        let seal = ("X-Response-Seal", format!("3e1b.{id}"));
        match self.work {
            Work::Plain(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                self.pause();
                let body = format!("answer to {id}");
                stream.write_all(&response(200, &[echo, seal], body.as_bytes()))
            }
            Work::Stream(events, ms) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}\r\nX-Engine-Load: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    seal.1,
                    self.load()
                );
                stream.write_all(head.as_bytes())?;
                let last = request
                    .header("last-event-id")
                    .and_then(|id| id.parse().ok());
                let version = self.version();
                for number in last.unwrap_or(0) + 1..=events {
                    std::thread::sleep(Duration::from_millis(ms));
                    self.pause();
                    let event =
                        format!("id: {number}\ndata: {number} by {} {version}\n\n", self.id);
                    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
            Work::Stage(..) => stream.write_all(&response(404, &[echo], b"")),
        }
    }
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}
