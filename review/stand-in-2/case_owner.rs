//! The servers of a stage leave a zone, and the owner of the zone's cell is killed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, Work};
use crate::fleet::{Fleet, Instance};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 4] = ["z-a", "z-b", "z-c", "z-d"];
/// Servers of the first stage in each zone.
const ENCODERS: [usize; 4] = [1, 3, 2, 2];
const KEY: &str = "9dnn2ctnfzs989anu6ws";
/// Callers of plain requests at each instance, each with a connection that it keeps.
const CALLERS: usize = 8;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"look-up","host":"shop.example","prefix":"/look/","route_type":"safe","timeout_ms":1500,"target_latency_ms":500,"priority":0,"service":"shop","max_attempts":2,"stages":[],"anonymous":false,"sticky":false,"stream_resume":false},
{"name":"draft","host":"draft.example","prefix":"/draft/","route_type":"streaming","timeout_ms":6000,"target_latency_ms":1000,"priority":1,"service":"model","max_attempts":1,"stages":[{"service":"encode","after":[],"bytes":8000},{"service":"rank","after":[0],"bytes":6000}],"anonymous":false,"sticky":true,"stream_resume":false,"gap_aim_ms":250}],
"services":[
{"name":"shop","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false},
{"name":"model","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":327170,"kv_token_bytes":163840,"link_mbps":180000.0,"stride":3,"models":[{"name":"m"}]}},
{"name":"encode","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,"item_ms":5.0,"headroom_mb":400.0,"handle_s":4.0,"link_mbps":10000}},
{"name":"rank","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,"item_ms":20.0,"headroom_mb":400.0,"handle_s":4.0,"link_mbps":10000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// What callers saw.
#[derive(Default)]
struct Seen {
    /// Ids of requests on kept connections that were closed without an answer, by instance.
    closed: HashMap<String, Vec<String>>,
    answered: usize,
}

struct World {
    engines: Vec<Arc<Engine>>,
    fleet: Arc<Fleet>,
    seen: Mutex<Seen>,
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
                        let mut seen = self.seen.lock().expect("seen");
                        seen.closed.entry(name.clone()).or_default().push(id);
                    }
                    break;
                };
                if answer.status() == 200 {
                    self.seen.lock().expect("seen").answered += 1;
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

    /// Sends one request with stages on a connection of its own.
    fn call_with_stages(&self, instance: &Instance) {
        let id = self.new_id();
        let Some(mut client) = Client::connect(instance.front, Duration::from_secs(3)) else {
            return;
        };
        let headers = [
            ("Host", "draft.example".to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "150,80".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:100,{}:50", &id[..8])),
            ("X-Pieces", "1,1".to_owned()),
            ("X-Piece-Key", id[4..].to_owned()),
            ("X-Deadline-Ms", "1000".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
        ];
        let sent_at = Instant::now();
        client.send("POST", "/draft/1", &headers, b"a draft");
        let end = match client.receive() {
            Some(answer) => answer.status().to_string(),
            None => "closed without a whole answer".to_owned(),
        };
        let (name, ms) = (&instance.name, sent_at.elapsed().as_millis());
        self.record.add(format!(
            "request {id} with stages to {name}: {end} after {ms} ms"
        ));
    }

    /// Sends `count` requests with stages to instances other than that of the first zone, in turn from `first` on.
    fn burst(self: &Arc<Self>, first: usize, count: usize) {
        for number in first..first + count {
            let world = self.clone();
            std::thread::spawn(move || {
                let others = &world.fleet.instances[1..];
                world.call_with_stages(&others[number % others.len()]);
            });
        }
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
    for (index, zone) in ZONES.into_iter().enumerate() {
        for (service, count, work) in [
            ("shop", 1, Work::Plain(200)),
            ("model", 1, Work::Stream(3, 30)),
            ("encode", ENCODERS[index], Work::Stage(200, 5)),
            ("rank", 2, Work::Stage(200, 20)),
        ] {
            for number in 1..=count {
                let id = format!("i-{service}-{zone}-{number}");
                engines.push(Engine::start(&id, service, zone, work, record));
            }
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
        engines,
        fleet,
        seen: Mutex::default(),
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
    // All instances know of each other by then.
    std::thread::sleep(Duration::from_secs(4));
    // Steady requests with stages, until all machines have long been in touch.
    for number in 0..80 {
        world.burst(number, 1);
        std::thread::sleep(Duration::from_millis(100));
    }
    drill(has_trouble, &world, &store);
    std::thread::sleep(Duration::from_secs(5));
    world.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    for line in world.fleet.log_lines("cannot convert") {
        record.add(format!("log of {line}"));
    }
    world.fleet.close();
    judge(&world)
}

fn drill(has_trouble: bool, world: &Arc<World>, store: &Store) {
    let in_first_zone = |service: &str| {
        let engines = world
            .engines
            .iter()
            .filter(|e| e.zone == ZONES[0] && e.service == service);
        engines.cloned().collect::<Vec<Arc<Engine>>>()
    };
    world.record.add("the drill begins".to_owned());
    world.burst(0, 24);
    // The first stage of these requests has ended by then, and the second one runs.
    std::thread::sleep(Duration::from_millis(330));
    for engine in in_first_zone("rank") {
        engine.fall_silent(Instant::now() + Duration::from_millis(800));
        world
            .record
            .add(format!("{} falls silent for 800 ms", engine.id));
    }
    std::thread::sleep(Duration::from_millis(150));
    if !has_trouble {
        return;
    }
    for engine in in_first_zone("encode") {
        store.write("servers", &engine.id, Some(&engine.entry("draining")));
        world
            .record
            .add(format!("{} says that it drains", engine.id));
    }
    std::thread::sleep(Duration::from_millis(160));
    let owner = &world.fleet.instances[0];
    owner.is_disturbed.store(true, Ordering::SeqCst);
    world.fleet.signal(owner, "KILL");
}

/// LOST: a machine in touch passes a request from a kept connection on to a sound engine and closes that
/// connection without an answer, more than three times. A process that ends by itself counts as running.
fn judge(world: &World) -> Verdict {
    let seen = world.seen.lock().expect("seen");
    world
        .record
        .add(format!("{} plain requests answered", seen.answered));
    let mut is_broken = false;
    for instance in &world.fleet.instances {
        if instance.is_disturbed.load(Ordering::SeqCst) {
            world.record.add(format!(
                "{} was killed by the script and does not count",
                instance.name
            ));
            continue;
        }
        let closed = seen
            .closed
            .get(&instance.name)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let lost = closed.iter().filter(|id| world.was_begun(id)).count();
        let own_ends = instance.own_ends.lock().expect("ends").len();
        world.record.add(format!(
            "{}: ended by itself {own_ends} times; {lost} requests that an engine had begun lost their kept connection without an answer",
            instance.name
        ));
        is_broken |= lost > 3;
    }
    if seen.answered < 200 {
        return Verdict::NotRun("too few requests were answered");
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
