//! An engine spoils an event of some streams: when another engine goes on, an event before it is missing.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::{KEY, Platform, START_TIME, ZONES, in_parallel, stream_call};
use crate::client::{self, End};
use crate::engine::{Engine, Listing, chunk, event, first_event, stream, stream_head};
use crate::http::Request;
use crate::{Failure, Setup, Verdict};

const EVENTS: u64 = 17;
const EVENT_GAP: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(8);
const STREAMS: usize = 400;
/// One answer of this many is spoiled at the engine that hands out wrong bytes: one in fifty.
const SPOILED_EACH: usize = 50;

/// A stream whose engine writes two events at once, the second with a byte of its id spoiled, and then
/// breaks off.
fn spoil(
    engine: &Engine,
    request: &Request,
    out: &mut std::net::TcpStream,
) -> std::io::Result<bool> {
    let id = request.head.get("x-attempt-id").unwrap_or_default();
    engine
        .record
        .line(&format!("{}: spoiled answer to {id}", engine.id));
    out.write_all(stream_head(request, &engine.id).as_bytes())?;
    let first = first_event(request);
    for number in first..first + 3 {
        out.write_all(chunk(&event(engine, number)).as_bytes())?;
        std::thread::sleep(EVENT_GAP);
    }
    let spoiled = event(engine, first + 4).replacen("id: 5", "id: 9", 1);
    let both = format!("{}{spoiled}", event(engine, first + 3));
    out.write_all(chunk(&both).as_bytes())?;
    std::thread::sleep(EVENT_GAP);
    Ok(false)
}

pub fn run(setup: &Setup) -> Result<Verdict, Failure> {
    let mut platform = Platform::start(setup)?;
    platform.write_config(1, &[KEY]);
    let (trouble, answered) = (setup.trouble, AtomicUsize::new(0));
    let wrong = move |engine: &Engine, request: &Request, out: &mut std::net::TcpStream| {
        let number = answered.fetch_add(1, Ordering::Relaxed);
        if trouble && first_event(request) == 1 && number % SPOILED_EACH == SPOILED_EACH / 2 {
            return spoil(engine, request, out);
        }
        stream(engine, request, out, EVENTS, EVENT_GAP)
    };
    let listing = |id, zone| Listing {
        id,
        service: "matchmind",
        zone,
        version: "v1",
        slots: 64,
    };
    platform.start_engine(&listing("i-wrong", ZONES[0]), wrong)?;
    platform.start_engine(&listing("i-sound", ZONES[0]), |engine, request, out| {
        stream(engine, request, out, EVENTS, EVENT_GAP)
    })?;
    let instance = platform.start_instance("front-tpe-a-1", ZONES[0])?;
    instance.wait_ready(START_TIME)?;
    std::thread::sleep(Duration::from_secs(2));
    let (record, address) = (platform.record.clone(), instance.address());
    let streams = in_parallel(STREAMS, Duration::from_millis(40), move |_| {
        client::send(
            address,
            &stream_call("compat-report", DEADLINE),
            &record,
            |_| {},
        )
    });
    let streams = streams.join().map_err(|_| "a client failed")?;
    let mut with_gap = 0;
    let mut complete = 0;
    for answer in streams
        .iter()
        .filter(|a| a.status == 200 && a.end == End::Complete)
    {
        complete += 1;
        let ids: Vec<u64> = answer.events.iter().map(|(id, _)| *id).collect();
        if ids != (1..=EVENTS).collect::<Vec<u64>>() {
            platform.record.line(&format!(
                "client: a complete stream holds the events {ids:?}"
            ));
            with_gap += 1;
        }
    }
    platform.record.line(&format!(
        "{STREAMS} streams, {complete} ended as complete, {with_gap} of them without a piece or with one twice"
    ));
    Ok(if with_gap > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
