//! An engine answers some streams with an encoded body, which isn't the engine's body.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::{KEY, Platform, START_TIME, ZONES, in_parallel, stream_call};
use crate::client::{self, End};
use crate::engine::{Engine, Listing, chunk, event, stream, stream_head};
use crate::http::Request;
use crate::{Failure, Setup, Verdict};

const EVENTS: u64 = 17;
const EVENT_GAP: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(8);
const STREAMS: usize = 200;
/// One answer of this many is spoiled at the engine that hands out wrong bytes: one in fifty.
const SPOILED_EACH: usize = 50;

pub fn run(setup: &Setup) -> Result<Verdict, Failure> {
    let mut platform = Platform::start(setup)?;
    platform.write_config(1, &[KEY]);
    let (trouble, answered) = (setup.trouble, AtomicUsize::new(0));
    let spoiled = move |engine: &Engine, request: &Request, out: &mut std::net::TcpStream| {
        let number = answered.fetch_add(1, Ordering::Relaxed);
        if !trouble || number % SPOILED_EACH != SPOILED_EACH / 2 {
            return stream(engine, request, out, EVENTS, EVENT_GAP);
        }
        let id = request.head.get("x-attempt-id").unwrap_or_default();
        engine
            .record
            .line(&format!("{}: encoded answer to {id}", engine.id));
        let head = stream_head(request, &engine.id);
        let head = head.replace("\r\n\r\n", "\r\nContent-Encoding: x-rot13\r\n\r\n");
        out.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            // The data is encoded; the lines are not.
            let encoded = event(engine, number).replace("wrote piece", "jebgr cvrpr");
            out.write_all(chunk(&encoded).as_bytes())?;
            std::thread::sleep(EVENT_GAP);
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    };
    let listing = |id, zone| Listing {
        id,
        service: "matchmind",
        zone,
        version: "v1",
        slots: 64,
    };
    platform.start_engine(&listing("i-wrong", ZONES[0]), spoiled)?;
    platform.start_engine(&listing("i-sound", ZONES[0]), |engine, request, out| {
        stream(engine, request, out, EVENTS, EVENT_GAP)
    })?;
    let instance = platform.start_instance("front-tpe-a-1", ZONES[0])?;
    instance.wait_ready(START_TIME)?;
    std::thread::sleep(Duration::from_secs(2));
    let (record, address) = (platform.record.clone(), instance.address());
    let streams = in_parallel(STREAMS, Duration::from_millis(50), move |_| {
        client::send(
            address,
            &stream_call("compat-report", DEADLINE),
            &record,
            |_| {},
        )
    });
    let streams = streams.join().map_err(|_| "a client failed")?;
    let successes = streams
        .iter()
        .filter(|answer| answer.status == 200 && answer.end == End::Complete);
    let encoded = successes.clone().filter(|answer| {
        answer.head.get("content-encoding").is_some()
            || answer
                .events
                .iter()
                .any(|(_, data)| !data.contains("wrote piece"))
    });
    let (successes, encoded) = (successes.count(), encoded.count());
    platform.record.line(&format!(
        "{STREAMS} streams, {successes} successes, {encoded} of them with a body that isn't the engine's"
    ));
    Ok(if encoded > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
