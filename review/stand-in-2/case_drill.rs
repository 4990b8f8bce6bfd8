//! The store comes back from a copy that still has a revoked key, and an instance is restarted meanwhile.

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

const KEPT_KEY: &str = "9dnn2ctnfzs989anu6ws";
const REVOKED_KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5000);
/// Time from the store's return until the operator has written the newest configuration again.
const REWRITE_DELAY: Duration = Duration::from_millis(3000);

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"order","host":"shop.example","prefix":"/order/","route_type":"unsafe","timeout_ms":1500,"target_latency_ms":500,"priority":0,"service":"shop","max_attempts":2,"stages":[],"anonymous":false,"sticky":false,"stream_resume":false}}],
"services":[{{"name":"shop","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"bozi300","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

struct World {
    engines: Vec<Arc<Engine>>,
    fleet: Arc<Fleet>,
    /// When requests with the revoked key were sent, by their ids.
    sent: Mutex<HashMap<String, Instant>>,
    /// Number of answers by key and status.
    answers: Mutex<HashMap<(bool, u16), usize>>,
    next_id: AtomicU64,
    is_over: AtomicBool,
    record: Arc<Record>,
}

impl World {
    fn call(&self, instance: &Instance, is_revoked: bool) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(mut client) = Client::connect(instance.front, Duration::from_secs(3)) else {
            return;
        };
        let headers = [
            ("Host", "shop.example".to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Deadline-Ms", "1500".to_owned()),
            (
                "Authorization",
                format!("Bearer {}", if is_revoked { REVOKED_KEY } else { KEPT_KEY }),
            ),
        ];
        if is_revoked {
            self.sent
                .lock()
                .expect("sent")
                .insert(id.clone(), Instant::now());
        }
        client.send("POST", "/order/1", &headers, b"one");
        let status = client.receive().map_or(0, |answer| answer.status());
        *self
            .answers
            .lock()
            .expect("answers")
            .entry((is_revoked, status))
            .or_default() += 1;
        if is_revoked {
            let name = &instance.name;
            self.record.add(format!(
                "request {id} with the revoked key to {name}: {status}"
            ));
        }
    }

    fn call_often(&self, instance: &Instance, is_revoked: bool) {
        while !self.is_over.load(Ordering::SeqCst) {
            self.call(instance, is_revoked);
            std::thread::sleep(Duration::from_millis(100));
        }
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
            Work::Plain(20),
            record,
        ));
    }
    let newest = config(8, &[KEPT_KEY]);
    store.write("op", "config", Some(&config(7, &[KEPT_KEY, REVOKED_KEY])));
    for engine in &engines {
        store.write("servers", &engine.id, Some(&engine.entry("ready")));
    }
    let Some(fleet) = Fleet::start(&["z-a", "z-a", "z-b", "z-b"], store_address, record) else {
        return Verdict::NotRun("the instances are not ready");
    };
    let world = Arc::new(World {
        engines,
        fleet,
        sent: Mutex::default(),
        answers: Mutex::default(),
        next_id: AtomicU64::new(u64::from(std::process::id()) << 20),
        is_over: AtomicBool::new(false),
        record: record.clone(),
    });
    let mut callers = Vec::new();
    for instance in &world.fleet.instances {
        for is_revoked in [false, true] {
            let (world, instance) = (world.clone(), instance.clone());
            callers.push(std::thread::spawn(move || {
                world.call_often(&instance, is_revoked)
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    let copy = store.copy();
    record.add("a copy of the store is made".to_owned());
    std::thread::sleep(Duration::from_secs(2));
    store.write("op", "config", Some(&newest));
    let revoked_at = Instant::now();
    record.add("the store has acknowledged the configuration without the key".to_owned());
    std::thread::sleep(Duration::from_millis(2100));
    if has_trouble {
        // A planned restart: the process ends a little over two seconds later.
        let restarted = &world.fleet.instances[1];
        restarted.is_disturbed.store(true, Ordering::SeqCst);
        world.fleet.signal(restarted, "TERM");
        std::thread::sleep(Duration::from_millis(2400));
        store.leave();
        record.add("the store is away".to_owned());
        std::thread::sleep(Duration::from_millis(1000));
        store.come_back(copy);
        record.add("the store is back from the copy".to_owned());
        for engine in &world.engines {
            store.write("servers", &engine.id, Some(&engine.entry("ready")));
        }
        std::thread::sleep(REWRITE_DELAY);
        store.write("op", "config", Some(&newest));
        record.add("the operator has written the newest configuration again".to_owned());
        std::thread::sleep(Duration::from_secs(3));
    } else {
        std::thread::sleep(Duration::from_secs(10));
    }
    world.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    world.fleet.close();
    judge(&world, revoked_at)
}

/// CONFIG: where `fail_closed` is true, a request sent later than `revoke_ms` after the acknowledgement of a
/// configuration that took its key away runs. This holds for all machines, in touch or not.
fn judge(world: &World, revoked_at: Instant) -> Verdict {
    let mut answers: Vec<_> = world
        .answers
        .lock()
        .expect("answers")
        .clone()
        .into_iter()
        .collect();
    answers.sort_unstable();
    for ((is_revoked, status), count) in &answers {
        let key = if *is_revoked { "revoked" } else { "kept" };
        world
            .record
            .add(format!("{count} requests with the {key} key: {status}"));
    }
    let sent = world.sent.lock().expect("sent");
    let late = sent.iter().filter(|(_, at)| **at > revoked_at + REVOKE);
    let ran = late.filter(|(id, _)| {
        world
            .engines
            .iter()
            .any(|e| e.begun.lock().expect("begun").contains_key(*id))
    });
    let ran = ran.count();
    world.record.add(format!(
        "{ran} requests ran that were sent later than {REVOKE:?} after the key was taken away"
    ));
    let is_served = answers
        .iter()
        .any(|((is_revoked, status), count)| !is_revoked && *status == 200 && *count > 100);
    if !is_served {
        return Verdict::NotRun("too few requests were answered");
    }
    if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
