//! Streams of a machine that loses power while the store comes back from a copy, where two software versions
//! serve side by side.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::Played;
use crate::case_split::config;
use crate::client::{Got, Ids, Stream, ask, begin, lock};
use crate::engine::{Engine, Runs};
use crate::fleet::{Deployment, Node, start_all};
use crate::record::Record;
use crate::store::Store;

const STREAMS: usize = 24;
const LEAST_TAKEN_UP: usize = 12;
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_millis(200);
/// Time from just before the drill until the connections of the machine end: 3.5 s after it lost power.
const DARK: Duration = Duration::from_millis(3450);

/// Plays the case; returns whether the rule held. Without trouble the machine loses power, without the drill.
pub fn play(record: &Record, has_trouble: bool) -> Played {
    let fault = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(fault)?;
    let runs = Runs::default();
    for number in 0..6 {
        let engine = Engine {
            id: format!("i-{number}7f3a91c2"),
            service: "chat".to_owned(),
            version: format!("v{}", 1 + number / 3),
            slots: 64,
            queue: 192,
            work: Duration::from_millis(100),
            events: 80,
            gap: Duration::from_millis(200),
            has_exited: Arc::default(),
        };
        let at = engine.start(&runs, record).map_err(fault)?;
        store.put("servers", &engine.id, &engine.entry(at));
        record.line(&format!(
            "engine {}, version {}, at {at}",
            engine.id, engine.version
        ));
    }
    store.put("op", "config", &config(&[("chat", 280)]));
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
    let copy = store.copy();
    sleep(Duration::from_millis(500));
    let mut ids = Ids::new();
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|n| begin(nodes[0].front, n, &mut ids))
        .collect();
    sleep(COPY_AGE - Duration::from_millis(500));
    let begun = streams
        .iter()
        .filter(|s| !lock(&s.got).events.is_empty())
        .count();
    record.say(&format!(
        "streams begun at {}: {begun} of {STREAMS}",
        nodes[0].name
    ));
    record.say(&format!(
        "rows with versions of streams in the store: {}",
        store.count("sardine-streams")
    ));
    record.say(&format!("{} loses power", nodes[0].name));
    nodes[0].freeze();
    sleep(Duration::from_millis(50));
    if has_trouble {
        store.go_away();
        sleep(AWAY);
        store.come_back(copy);
        record.say(&format!("the store is back from a copy, away for {AWAY:?}"));
        record.say(&format!(
            "rows with versions of streams in the store: {}",
            store.count("sardine-streams")
        ));
    }
    sleep(DARK.saturating_sub(if has_trouble { AWAY } else { Duration::ZERO }));
    nodes[0].kill();
    nodes[0].restart().map_err(fault)?;
    record.say(&format!(
        "the connections of {} end; its process starts again",
        nodes[0].name
    ));
    let mut taken_up = Vec::new();
    for stream in streams {
        let _ended = stream.reader.join();
        let last = lock(&stream.got).events.last().cloned();
        let Some((last, maker)) = last else { continue };
        let id = ids.next();
        let fields = format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.first_id);
        let got = Arc::<Mutex<Got>>::default();
        let (filled, node, until, session) =
            (got.clone(), nodes[1].front, stream.until, stream.session);
        let sent = id.clone();
        let reader = std::thread::spawn(move || ask(node, &sent, session, &fields, until, &filled));
        taken_up.push((stream.first_id, id, last, maker, got, reader));
    }
    let new_streams: Vec<Stream> = (0..STREAMS)
        .map(|n| begin(nodes[1].front, STREAMS + n, &mut ids))
        .collect();
    sleep(Duration::from_secs(4));
    let mut went_on = 0;
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for (first, id, last, maker, got, _) in &taken_up {
        let got = lock(got);
        let next = got.events.first();
        went_on += usize::from(next.is_some_and(|(event, _)| *event == last + 1));
        let end = match next {
            Some((_, next_maker)) => format!("of {maker}: goes on at {next_maker}"),
            None => format!("of {maker}: answered {}", got.status),
        };
        record.line(&format!(
            "stream {first}, events up to {last}, taken up as {id}, {end}"
        ));
        *ends.entry(end).or_default() += 1;
    }
    for (end, count) in &ends {
        record.say(&format!("{count:3} taken up {end}"));
    }
    let count = taken_up.len();
    let new_begun = new_streams
        .iter()
        .filter(|s| !lock(&s.got).events.is_empty())
        .count();
    record.say(&format!(
        "streams taken up: {count}, of which {went_on} go on"
    ));
    record.say(&format!(
        "new streams: {STREAMS}, of which {new_begun} began"
    ));
    for line in nodes[1]
        .log_lines("version of the stream unknown")
        .iter()
        .take(2)
    {
        record.line(&format!("log of {}: {line}", nodes[1].name));
    }
    let share = went_on as f64 / count.max(1) as f64;
    Ok(count < LEAST_TAKEN_UP || share >= new_begun as f64 / STREAMS as f64 / 2.0)
}
