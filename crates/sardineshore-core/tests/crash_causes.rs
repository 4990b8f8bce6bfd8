//! Quarantine on the serving path: causes of crashes among the features of requests.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::flow::quarantine::{CrashReport, Evidence, Feature, Quarantine};

const FIRST_PART: Feature = 1;
const SECOND_PART: Feature = 2;
const BAD_PART: Feature = 3;

fn crash(server: &str, features: &[Feature]) -> Evidence {
    Evidence::Crashed(CrashReport {
        server: server.into(),
        started_ms: 1,
        features: features.to_vec(),
    })
}

/// Three crashes by different requests with the bad part, which have all other parts in common.
fn three_crashes(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (server, own) in [("a", 100), ("b", 101), ("c", 102)] {
        let features = [FIRST_PART, SECOND_PART, BAD_PART, own];
        assert!(quarantine.apply(&crash(server, &features), now));
    }
    quarantine
}

#[test]
fn time_left_different_requests_with_same_bad_part() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for (n, server) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(quarantine.time_left(&[BAD_PART], now).is_none());
        let other_part = 10 + n as u64;
        quarantine.apply(&crash(server, &[other_part, BAD_PART]), now);
    }
    assert!(quarantine.time_left(&[50, BAD_PART, 60], now).is_some());
    assert!(quarantine.time_left(&[10, 11, 12], now).is_none());
}

#[test]
fn time_left_sound_requests_share_all_other_parts() {
    let now = Instant::now();
    let quarantine = three_crashes(now);
    let bad = [FIRST_PART, SECOND_PART, BAD_PART, 200];
    assert!(quarantine.time_left(&bad, now).is_some());
    let sound = [FIRST_PART, SECOND_PART, 201];
    assert!(quarantine.time_left(&sound, now).is_none());
}

#[test]
fn time_left_other_request_with_bad_part_after_output_of_sound_one() {
    let now = Instant::now();
    let mut quarantine = three_crashes(now);
    let other = [BAD_PART, 200];
    assert!(quarantine.time_left(&other, now).is_none());
    quarantine.record_output(&[FIRST_PART, SECOND_PART, 201], now);
    assert!(quarantine.time_left(&other, now).is_some());
}

#[test]
fn time_left_crashes_of_one_server_process_count_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for own in 10..20 {
        quarantine.apply(&crash("a", &[BAD_PART, own]), now);
    }
    assert!(quarantine.time_left(&[BAD_PART], now).is_none());
}

#[test]
fn time_left_request_beside_explained_crashes() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    // A sound request is retried at servers that others crash.
    for (server, own) in [("a", 100), ("b", 101), ("c", 102), ("d", 103)] {
        quarantine.apply(&crash(server, &[BAD_PART, own]), now);
    }
    for server in ["a", "b", "c"] {
        quarantine.apply(&crash(server, &[FIRST_PART, 200]), now);
    }
    assert!(quarantine.time_left(&[BAD_PART], now).is_some());
    assert!(quarantine.time_left(&[FIRST_PART, 200], now).is_none());
}

#[test]
fn time_left_two_bad_parts() {
    let now = Instant::now();
    let mut quarantine = three_crashes(now);
    for (server, own) in [("d", 100), ("e", 101), ("f", 102)] {
        quarantine.apply(&crash(server, &[FIRST_PART, 7, own]), now);
    }
    quarantine.record_output(&[FIRST_PART, SECOND_PART], now);
    assert!(quarantine.time_left(&[BAD_PART], now).is_some());
    assert!(quarantine.time_left(&[7], now).is_some());
    assert!(quarantine.time_left(&[FIRST_PART], now).is_none());
}

#[test]
fn time_left_same_request_again() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for server in ["a", "b", "c"] {
        quarantine.apply(&crash(server, &[77]), now);
    }
    assert!(quarantine.time_left(&[77], now).is_some());
    assert!(quarantine.is_suspect(&[77], |_| 0));
    assert!(!quarantine.is_suspect(&[78], |_| 1));
    assert!(quarantine.is_suspect(&[78], |_| 2));
}

#[test]
fn time_left_quarantine_ends_and_doubles_with_next_crash() {
    let now = Instant::now();
    let mut quarantine = three_crashes(now);
    let bad = [FIRST_PART, SECOND_PART, BAD_PART];
    let first = quarantine.time_left(&bad, now).unwrap();
    let later = now + first;
    assert!(quarantine.time_left(&bad, later).is_none());
    quarantine.apply(&crash("d", &bad), later);
    assert_eq!(quarantine.time_left(&bad, later), Some(first * 2));
}

#[test]
fn suspect_features_hot_part_with_output_meanwhile() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let sent_at = now + Duration::from_millis(10);
    quarantine.record_output(&[BAD_PART], now);
    quarantine.record_output(&[FIRST_PART], now + Duration::from_millis(20));
    let suspects = quarantine.suspect_features(&[FIRST_PART, BAD_PART], sent_at);
    assert_eq!(
        suspects,
        [BAD_PART],
        "an output before the send proves nothing"
    );
}

#[test]
fn apply_output_seen_by_one_instance_clears_feature_at_all() {
    let now = Instant::now();
    let (mut seen, mut unseen) = (Quarantine::default(), Quarantine::default());
    for (server, own) in [("a", 100), ("b", 101)] {
        for quarantine in [&mut seen, &mut unseen] {
            quarantine.apply(&crash(server, &[FIRST_PART, own]), now);
        }
    }
    seen.record_output(&[FIRST_PART, 200], now);
    assert!(
        seen.unshared_sound_features().is_empty(),
        "nothing is refused yet"
    );
    for quarantine in [&mut seen, &mut unseen] {
        quarantine.apply(&crash("c", &[FIRST_PART, 102]), now);
    }
    assert!(seen.time_left(&[FIRST_PART], now).is_none());
    assert!(unseen.time_left(&[FIRST_PART], now).is_some());
    let shared = seen.unshared_sound_features();
    assert_eq!(shared, [FIRST_PART]);
    for quarantine in [&mut seen, &mut unseen] {
        quarantine.apply(&Evidence::Sound(FIRST_PART), now);
    }
    assert!(unseen.time_left(&[FIRST_PART], now).is_none());
    assert!(seen.unshared_sound_features().is_empty());
}

#[test]
fn apply_known_evidence_is_no_news() {
    let now = Instant::now();
    let mut quarantine = three_crashes(now);
    assert!(!quarantine.apply(&crash("a", &[FIRST_PART, SECOND_PART, BAD_PART, 100]), now));
    assert!(quarantine.apply(&crash("a", &[8]), now));
}

proptest! {
    /// However the other parts of the requests are mixed, a part that crashes every server that
    /// begins to answer is stopped after a few crashes, and sound requests go on.
    #[test]
    fn time_left_bad_part_is_stopped_in_any_mix(
        requests in prop::collection::vec((0..4_u64, 0..6_u64, any::<bool>()), 200..300),
    ) {
        let now = Instant::now();
        let mut quarantine = Quarantine::default();
        let mut crashes = 0;
        let (mut sound, mut served) = (0, 0);
        for (n, (first, second, is_bad)) in requests.into_iter().enumerate() {
            let mut features = vec![10 + first, 20 + second, 1_000 + n as u64];
            if is_bad {
                features.push(BAD_PART);
            } else {
                sound += 1;
            }
            if quarantine.time_left(&features, now).is_some() {
                continue;
            }
            if is_bad {
                crashes += 1;
                quarantine.apply(&crash(&format!("s{crashes}"), &features), now);
            } else {
                served += 1;
                quarantine.record_output(&features, now);
            }
        }
        prop_assert!(crashes <= 5, "{crashes} crashes");
        prop_assert!(served * 10 >= sound * 9, "{served} of {sound}");
    }
}
