//! Time limits of requests: what sets them, and why a request ends at one.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{ConfigIndex, Route, ServingConfig};
use sardineshore_core::flow::time_limit::{
    Expiry, LimitSource, StreamDurations, TimeLimit, time_to_first_event,
};

const SOUND_SILENCE: Duration = Duration::from_millis(1600);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn new_shorter_time_sets_the_limit() {
    let limit = |allowed, shortened| TimeLimit::new(ms(500), shortened, allowed);
    assert_eq!(limit(Some(ms(400)), true).source, LimitSource::Caller);
    assert_eq!(limit(Some(ms(400)), true).duration, ms(400));
    assert_eq!(limit(Some(ms(600)), false).source, LimitSource::Route);
    assert_eq!(limit(None, true).source, LimitSource::ShortenedRoute);
    assert_eq!(limit(None, true).duration, ms(500));
}

#[test]
fn expiry_tells_silence_from_end_of_time() {
    let by_route = |shortened| TimeLimit::new(ms(8000), shortened, None);
    let expiry = |limit: TimeLimit, silence| limit.expiry(silence, SOUND_SILENCE);
    assert_eq!(expiry(by_route(false), ms(193)), Expiry::Deadline);
    assert_eq!(expiry(by_route(true), ms(193)), Expiry::ShortenedTimeout);
    assert_eq!(expiry(by_route(true), ms(1601)), Expiry::Silence);
    let by_caller = TimeLimit::new(ms(8000), true, Some(ms(7850)));
    assert_eq!(expiry(by_caller, ms(193)), Expiry::Deadline);
}

/// The configuration after `previous` with one route, and whether its timeout counts as shortened.
fn change_timeout(previous: &ConfigIndex, name: &str, timeout: u64) -> (ConfigIndex, bool) {
    let route = Route {
        name: name.into(),
        timeout: ms(timeout),
        ..Route::default()
    };
    let mut index = ConfigIndex::new(ServingConfig {
        routes: vec![route],
        ..ServingConfig::default()
    });
    index.compare_timeouts(previous);
    let is_shortened = index.has_shortened_timeout(name);
    (index, is_shortened)
}

#[test]
fn compare_timeouts_shortened_one_stays_so_until_it_is_longer_again() {
    let mut index = ConfigIndex::default();
    for (name, timeout, expected) in [
        ("a", 800, false),
        ("a", 600, true),
        ("a", 600, true),
        ("a", 700, false),
        ("a", 500, true),
        ("b", 100, false),
    ] {
        let (next, is_shortened) = change_timeout(&index, name, timeout);
        assert_eq!(is_shortened, expected, "{name} {timeout}");
        index = next;
    }
}

/// A route of which this many streams have ended just now, the fastest one after 250 ms.
fn known_durations(count: u64, now: Instant) -> StreamDurations {
    let mut durations = StreamDurations::default();
    for n in 0..count {
        durations.record(&"chat".into(), ms(250 + 100 * n), now);
    }
    durations
}

/// Guards against a stream that begins so late that its caller gets only a part of it.
#[test]
fn can_end_no_stream_ended_so_fast() {
    let now = Instant::now();
    let durations = known_durations(16, now);
    let can_end =
        |left| durations.can_end("chat", TimeLimit::new(ms(8000), false, None), left, now);
    assert!(!can_end(ms(120)));
    assert!(!can_end(ms(249)));
    assert!(can_end(ms(250)));
}

#[test]
fn can_end_unless_durations_are_known() {
    let now = Instant::now();
    let limit = TimeLimit::new(ms(8000), false, None);
    assert!(known_durations(15, now).can_end("chat", limit, ms(1), now));
    let mut durations = known_durations(16, now);
    assert!(durations.can_end("report", limit, ms(1), now));
    assert!(durations.can_end("chat", limit, ms(1), now + ms(30_001)));
    durations.retain(|route| route != "chat");
    assert!(durations.can_end("chat", limit, ms(1), now));
}

/// Guards against a route that is never tried again after its timeout was shortened.
#[test]
fn can_end_limit_that_no_stream_would_have_met_is_tried() {
    let now = Instant::now();
    let durations = known_durations(64, now);
    let limit = |timeout| TimeLimit::new(ms(timeout), true, None);
    assert!(durations.can_end("chat", limit(240), ms(230), now));
    assert!(!durations.can_end("chat", limit(260), ms(230), now));
}

/// Guards against stages that run on until the deadline of a stream whose caller has left by then.
#[test]
fn time_to_first_event_ends_when_the_caller_leaves() {
    let route = |target, pause: Option<u64>| Route {
        target_latency: ms(target),
        pause_target: pause.map(ms),
        ..Route::default()
    };
    for (target, pause, elapsed, left, expected) in [
        (1800, Some(400), 0, 20_000, 7200),
        (1800, Some(400), 700, 19_300, 6500),
        (1100, Some(800), 0, 20_000, 6400),
        (300, Some(100), 0, 20_000, 2000),
        // The deadline is earlier, or nothing is known of the caller's patience.
        (1900, Some(400), 0, 6000, 6000),
        (1800, None, 0, 20_000, 20_000),
        (1800, Some(400), 8000, 12_000, 0),
    ] {
        let route = route(target, pause);
        let time = time_to_first_event(&route, ms(elapsed), ms(left));
        assert_eq!(time, ms(expected), "{target} {pause:?} {elapsed}");
    }
}
