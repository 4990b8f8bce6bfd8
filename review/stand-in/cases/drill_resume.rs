//! A drill of the store while engines of two versions serve: streams that begin after it can't be taken
//! up at another instance.

use std::time::Duration;

use super::{KEY, Platform, START_TIME, ZONES, follow_stream, in_parallel, stream_call};
use crate::client;
use crate::engine::{Listing, stream};
use crate::{Failure, Setup, Verdict};

/// Pieces of a stream and the pause between two: 8.2 s, within the deadline of 20 s.
const EVENTS: u64 = 82;
const EVENT_GAP: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(20);
const STREAMS: usize = 24;
/// Streams that are taken up below which the rule doesn't count.
const LEAST_TAKEN_UP: usize = 12;
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time from the return of the store to the first stream: the store is stable, and all machines are in
/// touch.
const CALM: Duration = Duration::from_secs(6);

pub fn run(setup: &Setup) -> Result<Verdict, Failure> {
    let mut platform = Platform::start(setup)?;
    platform.write_config(1, &[KEY]);
    let answer =
        |engine: &_, request: &_, out: &mut _| stream(engine, request, out, EVENTS, EVENT_GAP);
    let listing = |id, zone, version| Listing {
        id,
        service: "matchmind",
        zone,
        version,
        slots: 64,
    };
    for (id, zone) in [
        ("i-old1", ZONES[0]),
        ("i-old2", ZONES[0]),
        ("i-old3", ZONES[1]),
        ("i-old4", ZONES[1]),
    ] {
        platform.start_engine(&listing(id, zone, "v1"), answer)?;
    }
    let mut first = platform.start_instance("front-tpe-a-1", ZONES[0])?;
    let second = platform.start_instance("front-tpe-b-1", ZONES[1])?;
    first.wait_ready(START_TIME)?;
    second.wait_ready(START_TIME)?;
    platform.wait_for_base()?;
    // A release has begun: engines of two versions serve side by side.
    platform.start_engine(&listing("i-new1", ZONES[0], "v2"), answer)?;
    platform.start_engine(&listing("i-new2", ZONES[1], "v2"), answer)?;
    std::thread::sleep(Duration::from_secs(3));

    let copy = platform.store.copy();
    platform.record.line("store: copied");
    std::thread::sleep(COPY_AGE - AWAY);
    if setup.trouble {
        platform.record.line("store: away");
        platform.store.leave();
        std::thread::sleep(AWAY);
        platform.store.come_back_from(copy);
        platform.record.line("store: back from the copy");
    }
    std::thread::sleep(CALM);

    let (record, from, to) = (platform.record.clone(), first.address(), second.address());
    let streams = in_parallel(STREAMS, Duration::from_millis(20), move |_| {
        follow_stream(&record, from, to, "style-chat", DEADLINE)
    });
    std::thread::sleep(Duration::from_secs(3));
    // One process is killed; its streams break off, and their clients take them up at the other one.
    first.kill();
    // New streams at the same time.
    let (record, to) = (platform.record.clone(), second.address());
    let new = in_parallel(STREAMS, Duration::from_millis(20), move |_| {
        client::send(to, &stream_call("style-chat", DEADLINE), &record, |_| {})
    });
    let streams = streams.join().map_err(|_| "a client failed")?;
    let new = new.join().map_err(|_| "a client failed")?;
    second.quote_log("at which version", 40);
    let taken_up: Vec<_> = streams
        .iter()
        .filter_map(|stream| stream.attempts.get(1))
        .collect();
    let went_on = taken_up
        .iter()
        .filter(|(_, answer)| !answer.events.is_empty())
        .count();
    let begun = new
        .iter()
        .filter(|answer| !answer.events.is_empty())
        .count();
    platform.record.line(&format!(
        "{} streams were taken up, {went_on} of them went on; {} new streams, {begun} of them began",
        taken_up.len(),
        new.len()
    ));
    if taken_up.len() < LEAST_TAKEN_UP {
        return Err("too few streams were taken up".into());
    }
    // Share of those that go on under half of the share of new ones that begin.
    let is_broken = 2 * went_on * new.len() < begun * taken_up.len();
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
