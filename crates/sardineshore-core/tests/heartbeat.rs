//! Heartbeats of links between instances, on a manual clock.

use std::time::{Duration, Instant};

use sardineshore_core::flow::heartbeat::{Heartbeat, HeartbeatAction};

/// Times at which a link is checked until it is closed, while this side sends every `interval`.
fn checks_of_silent_link(start: Instant, interval: Duration) -> Vec<(Duration, HeartbeatAction)> {
    let mut heartbeat = Heartbeat::default();
    let mut checks = Vec::new();
    let (mut now, mut sends_at) = (start, start + interval);
    loop {
        let check_at = heartbeat.next_check(true, now).unwrap();
        if sends_at < check_at {
            now = sends_at;
            sends_at += interval;
            continue;
        }
        now = check_at;
        let action = heartbeat.check(now);
        checks.push((now - start, action));
        if action == HeartbeatAction::Close {
            return checks;
        }
    }
}

#[test]
fn check_silent_link_is_closed_however_often_this_side_sends() {
    let start = Instant::now();
    let expected = checks_of_silent_link(start, Duration::from_secs(60));
    assert_eq!(expected.len(), 2);
    assert_eq!(expected[0].1, HeartbeatAction::Send);
    let frequent = checks_of_silent_link(start, Duration::from_millis(1));
    assert_eq!(frequent, expected);
}

#[test]
fn check_link_stays_while_anything_arrives_or_nothing_is_waited_for() {
    let start = Instant::now();
    let mut heartbeat = Heartbeat::default();
    let mut now = start;
    for _ in 0..20 {
        now = heartbeat.next_check(true, now).unwrap();
        assert_eq!(heartbeat.check(now), HeartbeatAction::Send);
        assert!(heartbeat.next_check(true, now).unwrap() > now);
        assert_eq!(heartbeat.check(now), HeartbeatAction::Wait);
        heartbeat.record_received();
    }
    now += Duration::from_secs(60);
    assert_eq!(heartbeat.next_check(false, now), None);
    assert!(heartbeat.next_check(true, now).unwrap() > now);
    assert_eq!(heartbeat.check(now), HeartbeatAction::Wait);
}
