//! Streams of a route that is split over two services, taken up after a machine was killed while one of the
//! services has no room for all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Played;
use crate::case_split::config;
use crate::client::{Got, Ids, Stream, ask, begin, lock};
use crate::engine::{Engine, Runs};
use crate::fleet::{Deployment, Node, start_all};
use crate::record::Record;
use crate::store::Store;

/// Engines by service: id, version.
const ENGINES: [(&str, &str, &str); 6] = [
    ("chat-a", "i-a07f3a91", "v1"),
    ("chat-a", "i-a17f3a91", "v1"),
    ("chat-a", "i-a27f3a91", "v2"),
    ("chat-a", "i-a37f3a91", "v2"),
    ("chat-b", "i-b07f3a91", "v2"),
    ("chat-b", "i-b17f3a91", "v2"),
];
/// Connections that one engine takes, by service.
const CONNECTIONS: [(&str, u32); 2] = [("chat-a", 280), ("chat-b", 66)];
/// Streams at each of the two machines.
const STREAMS: usize = 100;
/// Attempts of a client at the rest of its stream: "clients retry a few times".
const MAX_RETRIES: usize = 3;
/// Time for which the killed machine is down.
const DOWN: Duration = Duration::from_secs(3);
/// Streams with events of two versions of one service of which the rule speaks not yet.
const ALLOWED: usize = 2;

/// What a client got over all its attempts.
#[derive(Debug, Default)]
struct History {
    /// One text for each attempt.
    attempts: Vec<String>,
    /// Services and versions that made its events.
    makers: BTreeSet<String>,
}

fn makers(got: &Got) -> BTreeSet<String> {
    got.events.iter().map(|(_, maker)| maker.clone()).collect()
}

/// Takes a stream up until it goes on, and reads it to its end.
fn take_up(stream: Stream, node: std::net::SocketAddr, ids: &Mutex<Ids>) -> History {
    let _ended = stream.reader.join();
    let got = lock(&stream.got);
    let mut history = History {
        attempts: vec![format!(
            "{} got events up to {:?}",
            stream.first_id,
            got.events.last()
        )],
        makers: makers(&got),
    };
    let Some(mut last) = got.events.last().map(|(id, _)| *id) else {
        return history;
    };
    drop(got);
    for _ in 0..MAX_RETRIES {
        let id = ids.lock().map(|mut ids| ids.next()).unwrap_or_default();
        let fields = format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.first_id);
        let got = Mutex::<Got>::default();
        ask(node, &id, stream.session, &fields, stream.until, &got);
        let got = lock(&got);
        history.makers.extend(makers(&got));
        let first = got.events.first();
        history
            .attempts
            .push(format!("{id} answered {} from {first:?}", got.status));
        if let Some((event, _)) = got.events.last() {
            last = *event;
        }
        if got.is_whole {
            break;
        }
        let left = stream.until.saturating_duration_since(Instant::now());
        std::thread::sleep(got.retry_after.min(left / 3));
    }
    history
}

/// Whether events come from two versions of one service.
fn is_mixed(makers: &BTreeSet<String>) -> bool {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (service, version) in makers.iter().filter_map(|maker| maker.split_once(' ')) {
        versions.entry(service).or_default().insert(version);
    }
    versions.values().any(|versions| versions.len() > 1)
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, has_trouble: bool) -> Played {
    let fault = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(fault)?;
    let runs = Runs::default();
    for (service, id, version) in ENGINES {
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            slots: 64,
            queue: 192,
            work: Duration::from_millis(100),
            events: 50,
            gap: Duration::from_millis(200),
            has_exited: Arc::default(),
        };
        let at = engine.start(&runs, record).map_err(fault)?;
        store.put("servers", &engine.id, &engine.entry(at));
        record.line(&format!(
            "engine {id} of {service}, version {version}, at {at}"
        ));
    }
    store.put("op", "config", &config(&CONNECTIONS));
    let deployment = Deployment {
        memory_mb: 260,
        max_fds: 4100,
    };
    let mut nodes = Vec::new();
    for number in 1..=2 {
        nodes.push(Node::new(number, address, deployment).map_err(fault)?);
    }
    start_all(&mut nodes)?;
    // The machines have run for longer than a stream can last.
    std::thread::sleep(Duration::from_secs(28));
    let ids = Arc::new(Mutex::new(Ids::new()));
    let mut streams: [Vec<Stream>; 2] = Default::default();
    for number in 0..STREAMS * 2 {
        let at = number % 2;
        let mut ids = ids.lock().map_err(|_| "ids")?;
        streams[at].push(begin(nodes[at].front, number, &mut ids));
        drop(ids);
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_secs(2));
    let [broken, kept] = streams;
    for (node, streams) in nodes.iter().zip([&broken, &kept]) {
        let begun = streams
            .iter()
            .filter(|s| !lock(&s.got).events.is_empty())
            .count();
        record.say(&format!(
            "streams begun at {}: {begun} of {STREAMS}",
            node.name
        ));
    }
    let mut histories = Vec::new();
    if has_trouble {
        record.say(&format!("SIGKILL for {}, down for 3 s", nodes[0].name));
        nodes[0].kill();
        let node = nodes[1].front;
        let readers: Vec<JoinHandle<History>> = broken
            .into_iter()
            .map(|stream| {
                let ids = ids.clone();
                std::thread::spawn(move || take_up(stream, node, &ids))
            })
            .collect();
        std::thread::sleep(DOWN);
        nodes[0].restart().map_err(fault)?;
        for reader in readers {
            histories.push(reader.join().map_err(|_| "a client failed")?);
        }
    }
    for stream in kept {
        let _ended = stream.reader.join();
        let got = lock(&stream.got);
        histories.push(History {
            attempts: vec![format!("{} answered {}", stream.first_id, got.status)],
            makers: makers(&got),
        });
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut mixed = 0;
    for history in &histories {
        let is_mixed = is_mixed(&history.makers);
        mixed += usize::from(is_mixed);
        let makers: Vec<&str> = history.makers.iter().map(String::as_str).collect();
        *ends.entry(makers.join(" + ")).or_default() += 1;
        let word = if is_mixed { "MIXED" } else { "stream" };
        record.line(&format!("{word}: {:?}", history.attempts));
    }
    for (makers, count) in &ends {
        record.say(&format!("{count:3} streams hold events of: {makers}"));
    }
    record.say(&format!(
        "streams with events of two versions of one service: {mixed}"
    ));
    Ok(mixed <= ALLOWED)
}
