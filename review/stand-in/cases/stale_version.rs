//! An instance is cut off from the store while a release begins: it takes up streams of the new software
//! version at engines of the old one.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::{KEY, Platform, START_TIME, ZONES, follow_stream, in_parallel};
use crate::engine::{Listing, stream};
use crate::{Failure, Setup, Verdict};

/// Pieces of a stream and the pause between two.
const EVENTS: u64 = 82;
const EVENT_GAP: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which one version has served alone: longer than a stream and its margin (26 s).
const ONE_VERSION: Duration = Duration::from_secs(28);
/// Streams that begin, one each so often, from the start of the release on.
const STREAMS: usize = 30;
const STREAM_GAP: Duration = Duration::from_millis(50);
/// Time from the cut to the release, and to the kill of the other instance.
const RELEASE: Duration = Duration::from_millis(100);
const KILL: Duration = Duration::from_millis(1700);
/// Time for which the link to the store is cut.
const CUT: Duration = Duration::from_secs(5);
/// The rule is broken by more streams than this.
const ALLOWED: usize = 2;

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
    platform.start_engine(&listing("i-old1", ZONES[0], "v1"), answer)?;
    platform.start_engine(&listing("i-old2", ZONES[0], "v1"), answer)?;
    let link = platform
        .store
        .listen_at(&format!("{}.250", platform.network))?;
    let cut_off = platform.start_instance_with("front-tpe-a-1", ZONES[0], link.address)?;
    let mut other = platform.start_instance("front-tpe-b-1", ZONES[1])?;
    cut_off.wait_ready(START_TIME)?;
    other.wait_ready(START_TIME)?;
    platform.wait_for_base()?;
    std::thread::sleep(ONE_VERSION);

    let begun_at = Instant::now();
    if setup.trouble {
        platform
            .record
            .line("link of front-tpe-a-1 to the store: cut");
        link.is_cut.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(RELEASE);
    // The first engines of a new version start.
    platform.start_engine(&listing("i-new1", ZONES[1], "v2"), answer)?;
    platform.start_engine(&listing("i-new2", ZONES[1], "v2"), answer)?;
    let (record, first, second) = (platform.record.clone(), other.address(), cut_off.address());
    let streams = in_parallel(STREAMS, STREAM_GAP, move |_| {
        follow_stream(&record, first, second, "style-chat", DEADLINE)
    });
    std::thread::sleep(KILL.saturating_sub(begun_at.elapsed()));
    other.kill();
    std::thread::sleep(CUT.saturating_sub(begun_at.elapsed()));
    if setup.trouble {
        platform
            .record
            .line("link of front-tpe-a-1 to the store: whole");
        link.is_cut.store(false, Ordering::Relaxed);
    }
    let streams = streams.join().map_err(|_| "a client failed")?;
    cut_off.quote_log("at which version", 40);
    let taken_up = streams.iter().filter(|s| s.attempts.len() > 1).count();
    let joined = streams.iter().filter(|s| s.versions().len() > 1).count();
    let begun_new = streams
        .iter()
        .filter(|s| s.versions().first().is_some_and(|v| v == "v2"));
    platform.record.line(&format!(
        "{STREAMS} streams, {} began at v2, {taken_up} were taken up, {joined} hold events of two versions; allowed: {ALLOWED}",
        begun_new.count()
    ));
    Ok(if joined > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
