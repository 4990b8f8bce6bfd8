//! Streams that began under a long timeout, while the operator shortens it, the engines are released at a
//! new version and a machine is restarted.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Played;
use crate::client::{Got, Ids, Stream, ask, begin, lock};
use crate::engine::{Engine, Runs};
use crate::fleet::{Deployment, Node, start_all};
use crate::record::Record;
use crate::store::Store;

const STREAMS: usize = 30;
const LONG_TIMEOUT_MS: u32 = 20_000;
const SHORT_TIMEOUT_MS: u32 = 4_000;
/// Time for which engines that leave go on serving after their entry was dropped.
const LINGER: Duration = Duration::from_secs(14);
const GRACE: Duration = Duration::from_secs(8);
/// Streams with events of two versions of which the rule speaks not yet.
const ALLOWED: usize = 2;

/// A configuration with one route of streams.
pub fn config(version: u32, timeout_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-chat\",\"host\":\"chat.example\",\"prefix\":\"/chat/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":2000,\"priority\":1,\
         \"service\":\"chat\",\"max_attempts\":2,\"stages\":[],\"anonymous\":false,\"sticky\":true,\
         \"stream_resume\":true,\"gap_aim_ms\":250}}],\"services\":[{{\"name\":\"chat\",\"health_path\":\"/healthz\",\
         \"max_connections\":280,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":327170,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}}]}}"
    )
}

fn engine(number: usize, version: &str) -> Engine {
    Engine {
        id: format!("i-{version}{number}7f3a91"),
        service: "chat".to_owned(),
        version: version.to_owned(),
        slots: 64,
        queue: 192,
        work: Duration::from_millis(100),
        events: 95,
        gap: Duration::from_millis(200),
        has_exited: Arc::default(),
    }
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, has_trouble: bool) -> Played {
    let fault = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(fault)?;
    let runs = Runs::default();
    let old: Vec<Engine> = (0..3).map(|number| engine(number, "v1")).collect();
    for engine in &old {
        let at = engine.start(&runs, record).map_err(fault)?;
        store.put("servers", &engine.id, &engine.entry(at));
    }
    store.put("op", "config", &config(3, LONG_TIMEOUT_MS));
    let deployment = Deployment {
        memory_mb: 260,
        max_fds: 4100,
    };
    let mut nodes = Vec::new();
    for number in 1..=2 {
        nodes.push(Node::new(number, address, deployment).map_err(fault)?);
    }
    start_all(&mut nodes)?;
    sleep(Duration::from_secs(10));
    let mut ids = Ids::new();
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|n| begin(nodes[0].front, n, &mut ids))
        .collect();
    sleep(Duration::from_millis(700));
    let begun = streams
        .iter()
        .filter(|s| !lock(&s.got).events.is_empty())
        .count();
    record.say(&format!(
        "streams begun at {}: {begun} of {STREAMS}",
        nodes[0].name
    ));
    if has_trouble {
        store.put("op", "config", &config(5, SHORT_TIMEOUT_MS));
        record.say(&format!("configuration 5 is acknowledged: timeout_ms {SHORT_TIMEOUT_MS} in place of {LONG_TIMEOUT_MS}"));
    }
    if has_trouble {
        // The new engines start first.
        for number in 0..3 {
            let engine = engine(number, "v2");
            let at = engine.start(&runs, record).map_err(fault)?;
            store.put("servers", &engine.id, &engine.entry(at));
        }
        for engine in &old {
            store.remove("servers", &engine.id);
        }
        let left_at = Instant::now();
        record.say("engines of v2 are listed; the entries of those of v1 are dropped, and they go on serving");
        let took = nodes[1].stop(GRACE);
        record.say(&format!("{} ended {took:?} after SIGTERM", nodes[1].name));
        sleep(Duration::from_millis(500));
        nodes[1].restart().map_err(fault)?;
        sleep(LINGER.saturating_sub(left_at.elapsed()));
        record.say("the engines of v1 exit");
        for engine in &old {
            engine.exit();
        }
    }
    let mut histories = Vec::new();
    for stream in streams {
        let _ended = stream.reader.join();
        let (is_whole, last) = {
            let got = lock(&stream.got);
            (got.is_whole, got.events.last().map(|(id, _)| *id))
        };
        let again = Arc::<Mutex<Got>>::default();
        let reader = last.filter(|_| !is_whole).map(|last| {
            let id = ids.next();
            let fields = format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.first_id);
            let (node, filled, until, session) =
                (nodes[1].front, again.clone(), stream.until, stream.session);
            record.line(&format!(
                "{} has events up to {last}; taken up as {id}",
                stream.first_id
            ));
            std::thread::spawn(move || ask(node, &id, session, &fields, until, &filled))
        });
        histories.push((stream.got, again, reader));
    }
    let mut mixed = 0;
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for (first, again, reader) in histories {
        let _ended = reader.map(std::thread::JoinHandle::join);
        let (first, again) = (lock(&first), lock(&again));
        let maker = |got: &Got| {
            got.events
                .first()
                .map_or("nothing", |(_, maker)| maker)
                .to_owned()
        };
        let end = if first.is_whole {
            format!("whole, of {}", maker(&first))
        } else {
            format!(
                "of {}, then taken up: status {}, {}",
                maker(&first),
                again.status,
                maker(&again)
            )
        };
        mixed += usize::from(!again.events.is_empty() && maker(&first) != maker(&again));
        *ends.entry(end).or_default() += 1;
    }
    for (end, count) in &ends {
        record.say(&format!("{count:3} {end}"));
    }
    for line in nodes[1]
        .log_lines("checked the list of servers")
        .iter()
        .take(3)
    {
        record.line(&format!("log of {}: {line}", nodes[1].name));
    }
    record.say(&format!(
        "streams with events of two versions of one service: {mixed}"
    ));
    Ok(mixed <= ALLOWED)
}
