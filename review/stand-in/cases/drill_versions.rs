//! A drill of the store during a release of the engines, then a rolling restart of the instances: streams
//! that are taken up go on at another software version.

use std::time::{Duration, Instant};

use super::{KEY, Platform, START_TIME, ZONES, follow_stream, in_parallel};
use crate::engine::{Listing, stream};
use crate::{Failure, Setup, Verdict};

/// Pieces of a stream and the pause between two: 16.4 s, within the deadline of 20 s.
const EVENTS: u64 = 82;
const EVENT_GAP: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(20);
const STREAMS: usize = 24;
/// The rule is broken by more streams than this.
const ALLOWED: usize = 2;
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time between the stops of two instances.
const RESTART_GAP: Duration = Duration::from_secs(2);

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
    // The first one changes the base version of the service.
    let mut owner = platform.start_instance("front-tpe-a-1", ZONES[0])?;
    let mut other = platform.start_instance("front-tpe-b-1", ZONES[1])?;
    owner.wait_ready(START_TIME)?;
    other.wait_ready(START_TIME)?;
    platform.wait_for_base()?;
    // A release has begun: engines of two versions serve side by side.
    platform.start_engine(&listing("i-new1", ZONES[1], "v2"), answer)?;
    platform.start_engine(&listing("i-new2", ZONES[1], "v2"), answer)?;
    std::thread::sleep(Duration::from_secs(3));

    let copy = platform.store.copy();
    let copied_at = Instant::now();
    platform.record.line("store: copied");
    let (record, first, second) = (platform.record.clone(), other.address(), owner.address());
    let streams = in_parallel(STREAMS, Duration::from_millis(100), move |_| {
        follow_stream(&record, first, second, "style-chat", DEADLINE)
    });
    if setup.trouble {
        std::thread::sleep(COPY_AGE.saturating_sub(AWAY + copied_at.elapsed()));
        platform.record.line("store: away");
        platform.store.leave();
        std::thread::sleep(AWAY);
        platform.store.come_back_from(copy);
        platform.record.line("store: back from the copy");
    }
    // What the operator wrote is there; the engines write on. A planned restart in turn follows.
    owner.signal("TERM");
    let mut restarted = false;
    let stopped_at = Instant::now();
    if owner.wait_end(RESTART_GAP.max(Duration::from_secs(9))) {
        owner.spawn()?;
        owner.wait_ready(START_TIME)?;
        restarted = true;
    }
    if !restarted {
        return Err("an instance didn't stop".into());
    }
    std::thread::sleep(RESTART_GAP.saturating_sub(stopped_at.elapsed()));
    other.signal("TERM");
    if !other.wait_end(Duration::from_secs(9)) {
        return Err("an instance didn't stop".into());
    }
    let streams = streams.join().map_err(|_| "a client failed")?;
    owner.quote_log("at which version", 40);
    owner.quote_log("base version", 10);
    let taken_up = streams
        .iter()
        .filter(|stream| stream.attempts.len() > 1)
        .count();
    let joined = streams
        .iter()
        .filter(|stream| stream.versions().len() > 1)
        .count();
    let begun_new = streams
        .iter()
        .filter(|s| s.versions().first().is_some_and(|v| v == "v2"))
        .count();
    platform.record.line(&format!(
        "{STREAMS} streams, {begun_new} began at v2, {taken_up} were taken up, {joined} hold events of two versions; allowed: {ALLOWED}"
    ));
    Ok(if joined > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
