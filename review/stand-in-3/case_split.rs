//! Streams of a route that is split over four services, taken up after a machine was killed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Played;
use crate::client::{Got, Ids, Stream, ask, begin, lock};
use crate::engine::{Engine, Runs};
use crate::fleet::{Deployment, Node, start_all};
use crate::record::Record;
use crate::store::Store;

const SERVICES: [&str; 4] = ["chat-a", "chat-b", "chat-c", "chat-d"];
/// Streams at the machine that is killed.
const STREAMS: usize = 60;
/// Streams that begin at the other machines after that.
const NEW_STREAMS: usize = 30;
/// Least number of streams taken up of which the rule speaks.
const LEAST_TAKEN_UP: usize = 12;

/// A configuration with a route of streams that is split equally over services, each with the connections
/// that one engine of it takes.
pub fn config(services: &[(&str, u32)]) -> String {
    let split: Vec<String> = services
        .iter()
        .map(|(name, _)| format!("{{\"service\":\"{name}\",\"weight\":1}}"))
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, connections)| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false,\
                 \"engine\":{{\"slots\":64,\"kv_capacity\":327170,\"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-chat\",\"host\":\"chat.example\",\"prefix\":\"/chat/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":2000,\"priority\":1,\
         \"traffic_split\":[{}],\"max_attempts\":2,\"stages\":[],\"anonymous\":false,\"sticky\":true,\
         \"stream_resume\":true,\"gap_aim_ms\":250}}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}}]}}",
        split.join(","),
        services.join(",")
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, has_trouble: bool) -> Played {
    let fault = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(fault)?;
    let runs = Runs::default();
    for service in SERVICES {
        let letter = &service[5..];
        for number in 0..4 {
            let engine = Engine {
                id: format!("i-{letter}{number}7f3a91"),
                service: service.to_owned(),
                version: format!("{letter}-{}", 7 + number / 2),
                slots: 64,
                queue: 192,
                work: Duration::from_millis(100),
                events: 60,
                gap: Duration::from_millis(200),
                has_exited: Arc::default(),
            };
            let at = engine.start(&runs, record).map_err(fault)?;
            store.put("servers", &engine.id, &engine.entry(at));
            record.line(&format!(
                "engine {} of {service}, version {}, at {at}",
                engine.id, engine.version
            ));
        }
    }
    store.put("op", "config", &config(&SERVICES.map(|name| (name, 280))));
    let deployment = Deployment {
        memory_mb: 260,
        max_fds: 4100,
    };
    let mut nodes = Vec::new();
    for number in 1..=3 {
        nodes.push(Node::new(number, address, deployment).map_err(fault)?);
    }
    start_all(&mut nodes)?;
    // Traffic starts 10 s after the machines do.
    std::thread::sleep(Duration::from_secs(10));
    let mut ids = Ids::new();
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|n| begin(nodes[0].front, n, &mut ids))
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let begun = streams
        .iter()
        .filter(|s| !lock(&s.got).events.is_empty())
        .count();
    record.say(&format!(
        "streams begun at {}: {begun} of {STREAMS}",
        nodes[0].name
    ));
    if begun < STREAMS / 2 {
        return Err("too few streams began".to_owned());
    }
    if has_trouble {
        record.say(&format!("SIGKILL for {}", nodes[0].name));
        nodes[0].kill();
    }
    let others = [nodes[1].front, nodes[2].front];
    let mut taken_up = Vec::new();
    if has_trouble {
        for (number, stream) in streams.into_iter().enumerate() {
            let _ended = stream.reader.join();
            let (last, makers) = {
                let got = lock(&stream.got);
                (
                    got.events.last().map(|(id, _)| *id),
                    got.events.iter().map(|(_, m)| m.clone()).next(),
                )
            };
            let (Some(last), Some(maker)) = (last, makers) else {
                continue;
            };
            let id = ids.next();
            let fields = format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.first_id);
            let got = Arc::<Mutex<Got>>::default();
            let (filled, node, until, session) = (
                got.clone(),
                others[number % 2],
                stream.until,
                stream.session,
            );
            let (sent, sent_fields) = (id.clone(), fields.clone());
            let reader =
                std::thread::spawn(move || ask(node, &sent, session, &sent_fields, until, &filled));
            taken_up.push((stream.first_id, id, last, maker, got, reader));
        }
    }
    let new_streams: Vec<Stream> = (0..NEW_STREAMS)
        .map(|n| begin(others[n % 2], STREAMS + n, &mut ids))
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    if has_trouble {
        // The platform starts a process again after a short delay.
        nodes[0].restart().map_err(fault)?;
    }
    std::thread::sleep(Duration::from_secs(3));
    let new_begun = new_streams
        .iter()
        .filter(|s| !lock(&s.got).events.is_empty())
        .count();
    let mut went_on = 0;
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let count = taken_up.len();
    for (first, id, last, maker, got, _) in &taken_up {
        let got = lock(got);
        let next = got.events.first();
        let goes_on = next.is_some_and(|(event, _)| *event == last + 1);
        went_on += usize::from(goes_on);
        let end = match next {
            Some((_, next_maker)) if next_maker == maker => {
                "goes on at its service and version".to_owned()
            }
            Some((_, next_maker)) => format!("goes on at {next_maker} instead of {maker}"),
            None => format!("answered {}", got.status),
        };
        record.line(&format!(
            "stream {first} of {maker}, events up to {last}, taken up as {id}: {end}"
        ));
        *ends.entry(end).or_default() += 1;
    }
    for (end, times) in &ends {
        record.say(&format!("{times:3} taken up: {end}"));
    }
    record.say(&format!(
        "streams taken up: {count}, of which {went_on} go on"
    ));
    record.say(&format!(
        "new streams: {NEW_STREAMS}, of which {new_begun} began"
    ));
    for node in &nodes {
        for line in node.log_lines("\"status\":503").iter().take(3) {
            record.line(&format!("log of {}: {line}", node.name));
        }
    }
    let share = went_on as f64 / count.max(1) as f64;
    let new_share = new_begun as f64 / NEW_STREAMS as f64;
    Ok(count < LEAST_TAKEN_UP || share >= new_share / 2.0)
}
