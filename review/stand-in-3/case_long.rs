//! Streams that last longer than one client attempt may take: the system ends each attempt at the route's timeout,
//! and the client takes the stream up, twice. Meanwhile the service is being released at a new version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::Played;
use crate::client::{Got, Ids, ask, lock};
use crate::engine::{Engine, Runs};
use crate::fleet::{Deployment, Node, start_all};
use crate::record::Record;
use crate::store::Store;

const STREAMS: usize = 120;
/// Short streams that begin at the same machine all the while, one every 150 ms.
const OTHERS: usize = 190;
const TIMEOUT_MS: u32 = 9000;
const CLIENT_DEADLINE: Duration = Duration::from_secs(28);
/// Attempts of a client: the first one and two retries.
const ATTEMPTS: usize = 3;
/// Streams with events of two versions of which the rule speaks not yet.
const ALLOWED: usize = 2;

fn engine(number: usize, version: &str) -> Engine {
    Engine {
        id: format!("i-{version}{number}7f3a91"),
        service: "chat".to_owned(),
        version: version.to_owned(),
        slots: 64,
        queue: 192,
        work: Duration::from_millis(100),
        events: 125,
        gap: Duration::from_millis(200),
        has_exited: Arc::default(),
    }
}

/// What a client got in one attempt.
#[derive(Debug)]
struct Attempt {
    id: String,
    status: u16,
    is_whole: bool,
    first: u64,
    last: u64,
    makers: BTreeSet<String>,
}

/// Asks for a stream and takes it up, each time at another machine, until it is whole.
fn use_stream(
    fronts: [std::net::SocketAddr; ATTEMPTS],
    session: usize,
    ids: &Mutex<Ids>,
) -> Vec<Attempt> {
    let until = std::time::Instant::now() + CLIENT_DEADLINE;
    let mut attempts: Vec<Attempt> = Vec::new();
    for front in fronts {
        let id = ids.lock().map(|mut ids| ids.next()).unwrap_or_default();
        let last = attempts.iter().map(|one| one.last).max().unwrap_or(0);
        let fields = match attempts.first() {
            Some(first) if last > 0 => {
                format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.id)
            }
            _ => String::new(),
        };
        let got = Mutex::<Got>::default();
        ask(front, &id, session, &fields, until, &got);
        let got = lock(&got);
        attempts.push(Attempt {
            id,
            status: got.status,
            is_whole: got.is_whole,
            first: got.events.first().map_or(0, |(event, _)| *event),
            last: got.events.last().map_or(0, |(event, _)| *event),
            makers: got.events.iter().map(|(_, maker)| maker.clone()).collect(),
        });
        if got.is_whole {
            break;
        }
        sleep(got.retry_after);
    }
    attempts
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, has_trouble: bool) -> Played {
    let fault = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(fault)?;
    let runs = Runs::default();
    let add = |number: usize, version: &str| -> Result<(), String> {
        let engine = engine(number, version);
        let at = engine.start(&runs, record).map_err(fault)?;
        store.put("servers", &engine.id, &engine.entry(at));
        record.line(&format!("engine {}, version {version}, at {at}", engine.id));
        Ok(())
    };
    for number in 0..2 {
        add(number, "v1")?;
    }
    store.put("op", "config", &crate::case_timeouts::config(3, TIMEOUT_MS));
    let deployment = Deployment {
        memory_mb: 260,
        max_fds: 4100,
    };
    let mut nodes = Vec::new();
    for number in 1..=3 {
        nodes.push(Node::new(number, address, deployment).map_err(fault)?);
    }
    start_all(&mut nodes)?;
    sleep(Duration::from_secs(10));
    if has_trouble {
        record.say("a release begins: four engines of v2 are listed beside the two of v1, which stay for now");
        for number in 0..4 {
            add(number, "v2")?;
        }
    }
    sleep(Duration::from_secs(5));
    let ids = Arc::new(Mutex::new(Ids::new()));
    let fronts = [nodes[0].front, nodes[1].front, nodes[2].front];
    let clients: Vec<_> = (0..STREAMS)
        .map(|session| {
            let ids = ids.clone();
            sleep(Duration::from_millis(20));
            std::thread::spawn(move || use_stream(fronts, session, &ids))
        })
        .collect();
    // Other streams begin there all the while.
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            sleep(Duration::from_millis(150));
            let (ids, front) = (ids.clone(), fronts[0]);
            std::thread::spawn(move || {
                let id = ids.lock().map(|mut ids| ids.next()).unwrap_or_default();
                let until = std::time::Instant::now() + Duration::from_secs(3);
                ask(front, &id, 1000 + number, "", until, &Mutex::default());
            })
        })
        .collect();
    let mut mixed = 0;
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for client in clients {
        let attempts = client.join().map_err(|_| "a client failed")?;
        let makers: BTreeSet<&String> = attempts.iter().flat_map(|one| &one.makers).collect();
        mixed += usize::from(makers.len() > 1);
        let end: Vec<String> = attempts
            .iter()
            .map(|one| {
                let makers: Vec<&str> = one.makers.iter().map(String::as_str).collect();
                format!("{} {}", one.status, makers.join(" + "))
            })
            .collect();
        let events: Vec<String> = attempts
            .iter()
            .map(|one| {
                format!(
                    "{} {} to {}{}",
                    one.id,
                    one.first,
                    one.last,
                    if one.is_whole { " whole" } else { "" }
                )
            })
            .collect();
        record.line(&format!(
            "stream: {}: {}",
            events.join(", "),
            end.join(", ")
        ));
        *ends.entry(end.join(", then ")).or_default() += 1;
    }
    for other in others {
        let _ended = other.join();
    }
    for (end, count) in &ends {
        record.say(&format!("{count:3} streams: {end}"));
    }
    for line in nodes[2]
        .log_lines("read at which version a stream began")
        .iter()
        .take(3)
    {
        record.line(&format!("log of {}: {line}", nodes[2].name));
    }
    record.say(&format!(
        "streams with events of two versions of one service: {mixed}"
    ));
    Ok(mixed <= ALLOWED)
}
