//! The cases, and what they share: a configuration like that of tangolin-tpe and its clients.

mod drill_keys;
mod drill_resume;
mod drill_versions;
mod encoded_stream;
mod lost_event;
mod stale_version;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Answer, Call, End};
use crate::engine::{Engine, Listing, Runs};
use crate::fleet::{self, Instance};
use crate::record::Record;
use crate::store::Store;
use crate::{Failure, Setup, Verdict};

/// Runs a case by its name.
pub fn run(name: &str, setup: &Setup) -> Result<Verdict, Failure> {
    match name {
        "drill-versions" => drill_versions::run(setup),
        "drill-resume" => drill_resume::run(setup),
        "drill-keys" => drill_keys::run(setup),
        "encoded-stream" => encoded_stream::run(setup),
        "lost-event" => lost_event::run(setup),
        "stale-version" => stale_version::run(setup),
        _ => Err(format!("no case {name}").into()),
    }
}

/// Longest time for an instance to become ready.
const START_TIME: Duration = Duration::from_secs(15);
/// Key that all configurations hold.
const KEY: &str = "9dnn2ctnfzs989anu6ws";
const ZONES: [&str; 3] = ["tpe-a", "tpe-b", "ntp-c"];

/// The platform of a case: its store, an address range and a record.
struct Platform {
    store: Store,
    network: String,
    record: Record,
    runs: Runs,
    folder: std::path::PathBuf,
    hosts: u32,
}

impl Platform {
    fn start(setup: &Setup) -> Result<Self, Failure> {
        let network = fleet::free_network()?;
        let store = Store::start(&format!("{network}.250"), &setup.record)?;
        Ok(Self {
            store,
            network,
            record: setup.record.clone(),
            runs: Runs::default(),
            folder: setup.folder.clone(),
            hosts: 0,
        })
    }

    /// Writes a configuration, as the operator does.
    fn write_config(&self, version: u64, keys: &[&str]) {
        self.record.line(&format!(
            "operator: writes configuration {version}, keys {keys:?}"
        ));
        self.store.put("op", "config", &config(version, keys));
        self.record.line(&format!(
            "operator: configuration {version} is acknowledged"
        ));
    }

    fn start_instance(&mut self, name: &str, zone: &str) -> Result<Instance, Failure> {
        self.start_instance_with(name, zone, self.store.address())
    }

    /// Starts an instance that reaches the store at an address of its own.
    fn start_instance_with(
        &mut self,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Result<Instance, Failure> {
        self.hosts += 1;
        let ip = format!("{}.{}", self.network, self.hosts);
        Ok(Instance::start(
            name,
            zone,
            &ip,
            store,
            &self.folder,
            &self.record,
        )?)
    }

    fn start_engine(
        &self,
        listing: &Listing<'_>,
        answer: impl Fn(
            &Engine,
            &crate::http::Request,
            &mut std::net::TcpStream,
        ) -> std::io::Result<bool>
        + Send
        + Sync
        + 'static,
    ) -> Result<Arc<Engine>, Failure> {
        let ip = format!("{}.251", self.network);
        let answer = Arc::new(answer);
        Ok(Engine::start(
            &ip,
            listing,
            &self.store,
            &self.record,
            &self.runs,
            answer,
        )?)
    }

    /// Waits until the store has a base version of the streams' service.
    fn wait_for_base(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        while self.store.keys("sardine-versions").is_empty() {
            if Instant::now() > until {
                return Err("no base version was written".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

/// A configuration with the requests of tangolin-tpe that need no stages.
fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"style-chat","host":"chat.example","prefix":"/style-chat/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":2000,"priority":2,"service":"matchmind","max_attempts":2,"stages":[],"anonymous":false,"sticky":true,"stream_resume":true,"gap_aim_ms":250}},
{{"name":"compat-report","host":"chat.example","prefix":"/compat-report/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":1200,"priority":1,"service":"matchmind","max_attempts":2,"stages":[],"anonymous":false,"sticky":true,"stream_resume":true,"gap_aim_ms":250}},
{{"name":"slot-book","host":"book.example","prefix":"/slot-book/","route_type":"unsafe","timeout_ms":600,"target_latency_ms":120,"priority":2,"service":"floorbook","max_attempts":1,"stages":[],"anonymous":false}},
{{"name":"avail-check","host":"book.example","prefix":"/avail-check/","route_type":"safe","timeout_ms":600,"target_latency_ms":120,"priority":2,"service":"floorbook","max_attempts":2,"stages":[],"anonymous":false}}],
"services":[{{"name":"matchmind","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":344193,"models":[{{"name":"m"}}]}}}},
{{"name":"floorbook","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"studio-a","api_keys":[{}]}}]}}"#,
        keys.join(",")
    )
}

/// A request of `route` for a stream, by a client that has a key.
fn stream_call(route: &str, deadline: Duration) -> Call {
    let id = client::new_id();
    let part = &id[8..];
    Call {
        method: "POST",
        host: "chat.example",
        path: format!("/{route}/2f"),
        key: KEY.into(),
        deadline,
        fields: format!(
            "X-Model: m\r\nX-Token-Usage: 715,246\r\nX-Prompt-Prefix: 5c1e07a2:103,{part}:612\r\n"
        ),
        body: "hola".repeat(300),
        id,
    }
}

/// One stream over all tries of its client.
#[derive(Debug, Clone)]
struct Stream {
    /// Answers to the client's attempts, with the times at which they were sent.
    attempts: Vec<(Instant, Answer)>,
}

impl Stream {
    /// Events over all tries, in order: their numbers and data.
    fn events(&self) -> Vec<(u64, String)> {
        self.attempts
            .iter()
            .flat_map(|(_, answer)| answer.events.clone())
            .collect()
    }

    /// Software versions that wrote events of the stream.
    fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = Vec::new();
        for (_, data) in self.events() {
            let version = data.split(' ').next().unwrap_or_default().to_owned();
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }
}

/// Sends a stream's request to `first` and, if the stream breaks off after its first event, takes it up
/// once at `second`, like a client of the site: one retry, on a new connection, within its deadline.
fn follow_stream(
    record: &Record,
    first: SocketAddr,
    second: SocketAddr,
    route: &str,
    deadline: Duration,
) -> Stream {
    let sent_at = Instant::now();
    let call = stream_call(route, deadline);
    let answer = client::send(first, &call, record, |_| {});
    let (last, end) = (answer.events.last().map(|(id, _)| *id), answer.end);
    let mut stream = Stream {
        attempts: vec![(sent_at, answer)],
    };
    let left = deadline.saturating_sub(sent_at.elapsed());
    if let Some(last) = last.filter(|_| end == End::Broken && !left.is_zero()) {
        let again = Call {
            id: client::new_id(),
            deadline: left,
            fields: format!(
                "{}Last-Event-Id: {last}\r\nResumes: {}\r\n",
                call.fields, call.id
            ),
            ..call
        };
        let at = Instant::now();
        let answer = client::send(second, &again, record, |_| {});
        stream.attempts.push((at, answer));
    }
    stream
}

/// Runs `count` clients at the same time, `gap` apart, and returns what `run` returns for each.
fn in_parallel<T: Send + 'static>(
    count: usize,
    gap: Duration,
    run: impl Fn(usize) -> T + Send + Sync + 'static,
) -> std::thread::JoinHandle<Vec<T>> {
    let run = Arc::new(run);
    std::thread::spawn(move || {
        let results = Arc::new(Mutex::new(Vec::new()));
        let clients: Vec<_> = (0..count)
            .map(|number| {
                let (run, results) = (run.clone(), results.clone());
                std::thread::sleep(gap);
                std::thread::spawn(move || {
                    let result = run(number);
                    results.lock().unwrap().push(result);
                })
            })
            .collect();
        for client in clients {
            client.join().unwrap();
        }
        std::mem::take(&mut *results.lock().unwrap())
    })
}
