//! Many callers send large requests to one instance at about the same time.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, Work};
use crate::fleet::{Fleet, Instance};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;

const KEY: &str = "9dnn2ctnfzs989anu6ws";
/// Callers of plain requests at each instance, each with a connection that it keeps.
const CALLERS: usize = 8;
/// Streams that begin in the burst, and the time between two of them.
const STREAMS: usize = 100;
const STREAM_INTERVAL: Duration = Duration::from_millis(60);
/// Size of their requests: a little less than `max_body_bytes`, and the largest of the site's file.
const LARGE_BODY: usize = 4_000_000;
const USUAL_BODY: usize = 110_000;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"look-up","host":"shop.example","prefix":"/look/","route_type":"safe","timeout_ms":1500,"target_latency_ms":500,"priority":0,"service":"shop","max_attempts":2,"stages":[],"anonymous":false,"sticky":false,"stream_resume":false},
{"name":"chat","host":"chat.example","prefix":"/chat/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":2000,"priority":2,"service":"model","max_attempts":2,"stages":[],"anonymous":false,"sticky":true,"stream_resume":false,"gap_aim_ms":250}],
"services":[
{"name":"shop","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false},
{"name":"model","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":327170,"kv_token_bytes":163840,"link_mbps":180000.0,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

struct World {
    engines: Vec<Arc<Engine>>,
    fleet: Arc<Fleet>,
    /// Ids of requests on kept connections that were closed without an answer, by instance.
    closed: Mutex<HashMap<String, Vec<String>>>,
    answered: AtomicUsize,
    whole_streams: AtomicUsize,
    next_id: AtomicU64,
    is_over: AtomicBool,
    record: Arc<Record>,
}

impl World {
    fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Sends plain requests to an instance one after the other, on a connection that is kept.
    fn call_plainly(&self, instance: &Instance) {
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(mut client) = Client::connect(instance.front, Duration::from_secs(3)) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            let mut is_kept = false;
            while !self.is_over.load(Ordering::SeqCst) {
                let id = self.new_id();
                let headers = [
                    ("Host", "shop.example".to_owned()),
                    ("X-Attempt-Id", id.clone()),
                    ("X-Deadline-Ms", "1500".to_owned()),
                    ("Authorization", format!("Bearer {KEY}")),
                ];
                client.send("GET", "/look/1", &headers, b"");
                let Some(answer) = client.receive() else {
                    let name = &instance.name;
                    self.record.add(format!("request {id} to {name}: closed without an answer, kept connection: {is_kept}"));
                    if is_kept {
                        let mut closed = self.closed.lock().expect("closed");
                        closed.entry(name.clone()).or_default().push(id);
                    }
                    break;
                };
                if answer.status() == 200 {
                    self.answered.fetch_add(1, Ordering::SeqCst);
                } else {
                    self.record.add(format!(
                        "request {id} to {}: {}",
                        instance.name,
                        answer.status()
                    ));
                }
                is_kept = true;
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Sends one request for a stream, on a connection of its own.
    fn call_for_stream(&self, instance: &Instance, body: &[u8]) {
        let id = self.new_id();
        let Some(mut client) = Client::connect(instance.front, Duration::from_secs(20)) else {
            return;
        };
        let headers = [
            ("Host", "chat.example".to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "715,246".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:172,{}:543", &id[..8])),
            ("X-Deadline-Ms", "20000".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
        ];
        let sent_at = Instant::now();
        client.send("POST", "/chat/1", &headers, body);
        let end = match client.receive() {
            Some(answer) => {
                let is_whole = answer.status() == 200;
                self.whole_streams
                    .fetch_add(usize::from(is_whole), Ordering::SeqCst);
                answer.status().to_string()
            }
            None => "closed without a whole answer".to_owned(),
        };
        let (name, ms, bytes) = (&instance.name, sent_at.elapsed().as_millis(), body.len());
        self.record.add(format!(
            "stream {id} of {bytes} bytes to {name}: {end} after {ms} ms"
        ));
    }

    fn was_begun(&self, id: &str) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.begun.lock().expect("begun").contains_key(id))
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, store_address) = Store::start();
    let mut engines = Vec::new();
    for number in 1..=4 {
        engines.push(Engine::start(
            &format!("i-shop-{number}"),
            "shop",
            "z-a",
            Work::Plain(200),
            record,
        ));
        // 82 events, each of three tokens at 20 ms.
        engines.push(Engine::start(
            &format!("i-model-{number}"),
            "model",
            "z-a",
            Work::Stream(82, 60),
            record,
        ));
    }
    store.write("op", "config", Some(CONFIG));
    for engine in &engines {
        store.write("servers", &engine.id, Some(&engine.entry("ready")));
    }
    let Some(fleet) = Fleet::start(&["z-a", "z-a"], store_address, record) else {
        return Verdict::NotRun("the instances are not ready");
    };
    let world = Arc::new(World {
        engines,
        fleet,
        closed: Mutex::default(),
        answered: AtomicUsize::new(0),
        whole_streams: AtomicUsize::new(0),
        next_id: AtomicU64::new(u64::from(std::process::id()) << 20),
        is_over: AtomicBool::new(false),
        record: record.clone(),
    });
    let mut callers = Vec::new();
    for instance in &world.fleet.instances {
        for _ in 0..CALLERS {
            let (world, instance) = (world.clone(), instance.clone());
            callers.push(std::thread::spawn(move || world.call_plainly(&instance)));
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    record.add("the burst begins".to_owned());
    let body = Arc::new(vec![
        b'a';
        if has_trouble { LARGE_BODY } else { USUAL_BODY }
    ]);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let (world, body) = (world.clone(), body.clone());
        streams.push(std::thread::spawn(move || {
            let instance = world.fleet.instances[0].clone();
            world.call_for_stream(&instance, &body);
        }));
        std::thread::sleep(STREAM_INTERVAL);
    }
    for stream in streams {
        let _ended = stream.join();
    }
    world.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    world.fleet.close();
    judge(&world)
}

/// LOST: a machine in touch passes a request from a kept connection on to a sound engine and closes that
/// connection without an answer, more than three times. A process that ends by itself counts as running.
fn judge(world: &World) -> Verdict {
    let (answered, streams) = (&world.answered, &world.whole_streams);
    let (answered, streams) = (
        answered.load(Ordering::SeqCst),
        streams.load(Ordering::SeqCst),
    );
    world.record.add(format!(
        "{answered} plain requests answered, {streams} of {STREAMS} streams whole"
    ));
    let closed = world.closed.lock().expect("closed");
    let mut is_broken = false;
    for instance in &world.fleet.instances {
        let closed = closed
            .get(&instance.name)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let lost = closed.iter().filter(|id| world.was_begun(id)).count();
        let own_ends = instance.own_ends.lock().expect("ends").len();
        let peak = instance.peak_bytes.load(Ordering::SeqCst);
        world.record.add(format!(
            "{}: at most {peak} bytes in use, ended {own_ends} times; {lost} requests that an engine had begun lost their kept connection without an answer",
            instance.name
        ));
        is_broken |= lost > 3;
    }
    if answered < 100 {
        return Verdict::NotRun("too few requests were answered");
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
