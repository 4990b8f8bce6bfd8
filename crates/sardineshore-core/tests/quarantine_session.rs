//! Quarantine of fingerprints: sessions of calls and crashes, and merges of evidence.

use proptest::prelude::*;
use sardineshore_core::quarantine::{
    BeginError, CallOutcome, Crash, Evidence, FingerprintState, Quarantine, QuarantineConfig,
    QuarantineDelta,
};
use sardineshore_core::{Fingerprint, ServerId};

const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_800_000_000_000;

/// Runs a call whose server crashes and refuses the next connection.
fn crash(quarantine: &mut Quarantine, fingerprint: &str, server: &str, at_ms: u64) {
    let fingerprint: Fingerprint = fingerprint.into();
    let server: ServerId = server.into();
    quarantine.begin_call(&fingerprint, &server, at_ms).unwrap();
    let lost = CallOutcome::ConnectionLost { incarnation: 1 };
    quarantine.end_call(&fingerprint, &server, lost, at_ms);
    assert_eq!(quarantine.connection_refused(&server, at_ms + 5).len(), 1);
}

#[test]
fn quarantine_two_crashes() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    crash(&mut quarantine, "poison", "s1", START_MS);
    assert_eq!(
        quarantine.state("poison", START_MS),
        FingerprintState::Suspect
    );
    crash(&mut quarantine, "poison", "s2", START_MS + 10);
    let refused = quarantine.begin_call(&"poison".into(), &"s3".into(), START_MS + 20);
    assert_eq!(refused, Err(BeginError::Quarantined));
    assert_eq!(quarantine.rows(START_MS + 20)[0].crashes, 2);
    assert_eq!(quarantine.state("other", START_MS), FingerprintState::Clear);
}

#[test]
fn quarantine_innocent_passes_probation() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    crash(&mut quarantine, "unlucky", "s1", START_MS);
    crash(&mut quarantine, "unlucky", "s2", START_MS);
    let later = START_MS + 11 * MINUTE_MS;
    let (unlucky, s3, s4) = ("unlucky".into(), "s3".into(), "s4".into());
    quarantine.begin_call(&unlucky, &s3, later).unwrap();
    let second = quarantine.begin_call(&unlucky, &s4, later);
    assert_eq!(second, Err(BeginError::Quarantined), "one trial at a time");
    quarantine.end_call(&unlucky, &s3, CallOutcome::Answered, later + 1);
    assert_eq!(
        quarantine.state("unlucky", later + 2),
        FingerprintState::Clear
    );
}

#[test]
fn quarantine_failed_probation_lasts_longer() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    crash(&mut quarantine, "poison", "s1", START_MS);
    crash(&mut quarantine, "poison", "s2", START_MS);
    let trial_ms = START_MS + 11 * MINUTE_MS;
    crash(&mut quarantine, "poison", "s3", trial_ms);
    let until_ms = trial_ms + 20 * MINUTE_MS;
    assert_eq!(
        quarantine.state("poison", trial_ms + 1),
        FingerprintState::Quarantined { until_ms }
    );
}

#[test]
fn quarantine_suspects_do_not_share_a_server() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    let (poison, innocent) = ("poison".into(), "innocent".into());
    let (s1, s2): (ServerId, ServerId) = ("s1".into(), "s2".into());
    quarantine.begin_call(&poison, &s1, START_MS).unwrap();
    quarantine.begin_call(&innocent, &s1, START_MS).unwrap();
    let lost = CallOutcome::ConnectionLost { incarnation: 1 };
    quarantine.end_call(&poison, &s1, lost, START_MS);
    quarantine.end_call(&innocent, &s1, lost, START_MS);
    assert_eq!(
        quarantine.record_incarnation(&s1, 2, START_MS + 100).len(),
        2
    );
    quarantine.begin_call(&poison, &s2, START_MS).unwrap();
    let concurrent = quarantine.begin_call(&innocent, &s2, START_MS);
    assert_eq!(concurrent, Err(BeginError::SuspectRunning));
}

#[test]
fn quarantine_lost_connection_alone_is_no_crash() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    let (fingerprint, server) = ("f".into(), "s1".into());
    let lost = CallOutcome::ConnectionLost { incarnation: 7 };
    quarantine.end_call(&fingerprint, &server, lost, START_MS);
    assert!(
        quarantine
            .record_incarnation(&server, 7, START_MS + 50)
            .is_empty()
    );
    assert!(
        quarantine
            .connection_refused(&server, START_MS + 60)
            .is_empty()
    );
    quarantine.end_call(&fingerprint, &server, lost, START_MS);
    let late = quarantine.connection_refused(&server, START_MS + MINUTE_MS);
    assert!(late.is_empty(), "attributed only for a short time");
}

#[test]
fn quarantine_old_crashes_do_not_count() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    crash(&mut quarantine, "f", "s1", START_MS);
    crash(&mut quarantine, "f", "s2", START_MS);
    let next_day = START_MS + 25 * 60 * MINUTE_MS;
    assert_eq!(quarantine.state("f", next_day), FingerprintState::Clear);
}

fn any_evidence() -> impl Strategy<Value = Evidence> {
    (0..3_u8, 0..3_u8, 0..2_u64, 0..4_u64, any::<bool>()).prop_map(
        |(fingerprint, server, incarnation, minute, crashed)| {
            let fingerprint: Fingerprint = fingerprint.to_string().into();
            let at_ms = START_MS + minute * MINUTE_MS;
            if crashed {
                let server = server.to_string().into();
                Evidence::Crashed(Crash {
                    fingerprint,
                    server,
                    incarnation,
                    at_ms,
                })
            } else {
                Evidence::Cleared { fingerprint, at_ms }
            }
        },
    )
}

proptest! {
    #[test]
    fn merge_order_and_repetition_do_not_matter(
        evidence in prop::collection::vec(any_evidence(), 0..12),
        rotate in 0..12_usize,
    ) {
        let now_ms = START_MS + 5 * MINUTE_MS;
        let mut one = Quarantine::new(QuarantineConfig::default());
        one.merge(&QuarantineDelta { evidence: evidence.clone(), next: 0 }, now_ms);
        let mut other = evidence;
        let by = rotate % other.len().max(1);
        other.rotate_left(by);
        other.extend(other.clone());
        let mut two = Quarantine::new(QuarantineConfig::default());
        two.merge(&QuarantineDelta { evidence: other, next: 0 }, now_ms);
        two.merge(&one.delta(0), now_ms);
        for fingerprint in ["0", "1", "2"] {
            prop_assert_eq!(
                one.state(fingerprint, now_ms),
                two.state(fingerprint, now_ms)
            );
        }
        let next = one.delta(0).next;
        prop_assert!(one.delta(next).evidence.is_empty());
    }
}
