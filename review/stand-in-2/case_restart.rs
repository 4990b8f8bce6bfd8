//! An engine crashes and starts again under its id at another version of its software, and crashes again.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, Work};
use crate::fleet::{Fleet, Instance};
use crate::record::Record;
use crate::store::Store;

const KEY: &str = "9dnn2ctnfzs989anu6ws";
const ZONES: [&str; 8] = ["z-a", "z-a", "z-a", "z-b", "z-b", "z-c", "z-c", "z-d"];
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 60;
const EVENT_MS: u64 = 50;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"chat","host":"chat.example","prefix":"/chat/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"model","max_attempts":2,"stages":[],"anonymous":false,"sticky":true,"stream_resume":true,"gap_aim_ms":250}],
"services":[
{"name":"shop","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false},
{"name":"model","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":327170,"kv_token_bytes":163840,"link_mbps":180000.0,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

#[derive(Default)]
struct Seen {
    whole: usize,
    /// Streams that hold events from engines of more than one version.
    mixed: Vec<String>,
}

struct World {
    fleet: Arc<Fleet>,
    seen: Mutex<Seen>,
    next_id: AtomicU64,
    is_over: AtomicBool,
    record: Arc<Record>,
}

impl World {
    /// Asks for one stream and reads it to its end.
    fn call(&self, instance: &Instance) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some((status, events, is_whole)) = self.read_stream(instance, &id, number) else {
            self.record
                .add(format!("stream {id} at {}: no answer", instance.name));
            return;
        };
        // An event tells by its data which engine made it, at which version.
        let made_by = events.iter().filter_map(|event| event.split_once(" by "));
        let makers: BTreeSet<&str> = made_by.map(|(_, maker)| maker.trim()).collect();
        let versions: BTreeSet<&str> = makers.iter().filter_map(|m| m.rsplit(' ').next()).collect();
        let mut seen = self.seen.lock().expect("seen");
        seen.whole += usize::from(is_whole);
        if makers.len() > 1 || !is_whole {
            let (name, count) = (&instance.name, events.len());
            self.record.add(format!(
                "stream {id} at {name}: {status}, {count} events, whole: {is_whole}, by {makers:?}"
            ));
        }
        if versions.len() > 1 {
            self.record
                .add(format!("stream {id}: EVENTS FROM TWO VERSIONS"));
            seen.mixed.push(id);
        }
    }

    /// Status, data of the events, and whether the answer is complete.
    fn read_stream(
        &self,
        instance: &Instance,
        id: &str,
        number: u64,
    ) -> Option<(u16, Vec<String>, bool)> {
        let mut stream = TcpStream::connect(instance.front).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(16)))
            .ok()?;
        let request = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 9190,246\r\nX-Prompt-Prefix: 5c1e07a2:2520,{:08x}:3780,{}:2890\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 3\r\n\r\nask",
            number % 24 + 0x91bd_3f06,
            &id[..8]
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut rd = BufReader::new(stream);
        let mut line = String::new();
        rd.read_line(&mut line).ok()?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        while !line.trim().is_empty() {
            line.clear();
            rd.read_line(&mut line).ok()?;
        }
        let (mut text, mut is_whole) = (Vec::new(), false);
        loop {
            line.clear();
            let size = rd
                .read_line(&mut line)
                .ok()
                .and_then(|_| usize::from_str_radix(line.trim(), 16).ok());
            let Some(size) = size else { break };
            let mut chunk = vec![0; size + 2];
            if rd.read_exact(&mut chunk).is_err() {
                break;
            }
            is_whole = size == 0;
            if is_whole {
                break;
            }
            text.extend_from_slice(&chunk[..size]);
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        Some((status, events.map(str::to_owned).collect(), is_whole))
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, store_address) = Store::start();
    let mut engines = Vec::new();
    for zone in ["z-a", "z-b", "z-c"] {
        for number in 1..=2 {
            let work = Work::Stream(EVENTS, EVENT_MS);
            engines.push(Engine::start(
                &format!("i-model-{zone}-{number}"),
                "model",
                zone,
                work,
                record,
            ));
            engines.push(Engine::start(
                &format!("i-shop-{zone}-{number}"),
                "shop",
                zone,
                Work::Plain(20),
                record,
            ));
        }
    }
    store.write("op", "config", Some(CONFIG));
    for engine in &engines {
        store.write("servers", &engine.id, Some(&engine.entry("ready")));
    }
    let Some(fleet) = Fleet::start(&ZONES, store_address, record) else {
        return Verdict::NotRun("the instances are not ready");
    };
    let world = Arc::new(World {
        fleet,
        seen: Mutex::default(),
        next_id: AtomicU64::new(u64::from(std::process::id()) << 20),
        is_over: AtomicBool::new(false),
        record: record.clone(),
    });
    let calling = world.clone();
    let callers = std::thread::spawn(move || {
        let mut callers = Vec::new();
        while !calling.is_over.load(Ordering::SeqCst) {
            let (world, number) = (calling.clone(), callers.len());
            callers.push(std::thread::spawn(move || {
                let instances = &world.fleet.instances;
                world.call(&instances[number % instances.len()]);
            }));
            std::thread::sleep(Duration::from_millis(20));
        }
        callers.into_iter().for_each(|caller| {
            let _ended = caller.join();
        });
    });
    std::thread::sleep(Duration::from_secs(8));
    if has_trouble {
        drill(&engines, &store, record);
    }
    std::thread::sleep(Duration::from_secs(6));
    world.is_over.store(true, Ordering::SeqCst);
    let _ended = callers.join();
    world.fleet.close();
    judge(&world)
}

fn drill(engines: &[Arc<Engine>], store: &Store, record: &Record) {
    let (model, shop) = (&engines[0], &engines[1]);
    model.crash();
    std::thread::sleep(Duration::from_millis(200));
    // A planned change of another service: one of its engines leaves.
    store.write("servers", &shop.id, Some(&shop.entry("draining")));
    record.add(format!("{} says that it drains", shop.id));
    let begun_at = Instant::now();
    std::thread::sleep(Duration::from_millis(50));
    model.begin_run("v2");
    // It takes requests only when the store has acknowledged its new entry.
    store.write("servers", &model.id, Some(&model.entry("ready")));
    record.add(format!(
        "{} has written its entry, version v2, {} ms later",
        model.id,
        begun_at.elapsed().as_millis()
    ));
    model.listen();
    std::thread::sleep(Duration::from_millis(1900));
    model.crash();
    std::thread::sleep(Duration::from_millis(500));
    model.begin_run("v2");
    store.write("servers", &model.id, Some(&model.entry("ready")));
    model.listen();
}

/// ORDER: more than two streams hold events from engines of two software versions of one service, in one
/// answer or over a client's tries.
fn judge(world: &World) -> Verdict {
    let seen = world.seen.lock().expect("seen");
    let (whole, mixed) = (seen.whole, seen.mixed.len());
    world.record.add(format!(
        "{whole} streams whole, {mixed} with events from two versions"
    ));
    if whole < 100 {
        return Verdict::NotRun("too few streams");
    }
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
