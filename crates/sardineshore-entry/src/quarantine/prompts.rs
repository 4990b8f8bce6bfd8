//! Crashes by different requests whose prompts begin alike.
//!
//! The fingerprint covers a whole request, so requests that share only the beginning of their
//! prompt are told apart by it. [`PromptCauses`] finds out whether that beginning is what crashes
//! servers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use sardineshore_core::flow::quarantine::{
    Cause, CrashReport, Evidence, Feature, Quarantine as CrashCauses,
};
use sardineshore_core::quarantine::Crash;
use sardineshore_core::{Fingerprint, QuarantineRow};
use xxhash_rust::xxh3::xxh3_64;

use crate::job::Job;

/// Time for which a request whose connection was lost is kept until its server is known to have
/// crashed.
const LOST_RETENTION: Duration = Duration::from_secs(15);
/// Maximum age of evidence that is sent to peers.
const MAX_SHARED_AGE: Duration = Duration::from_secs(60);
/// Start of the name of a prompt's beginning in operators' commands and queries.
const NAME_PREFIX: &str = "prompt-";

/// Crashes that requests with the same beginning of their prompts have in common.
#[derive(Debug, Default)]
pub struct PromptCauses {
    causes: CrashCauses,
    /// Suspect features of requests whose connection was lost, by fingerprint.
    lost: HashMap<Fingerprint, (Vec<Feature>, Instant)>,
    /// Recent evidence, for peers.
    recent: VecDeque<(Evidence, Instant)>,
}

impl PromptCauses {
    /// Whether the request is refused because of the beginning of its prompt.
    #[must_use]
    pub fn is_quarantined(&self, job: &Job, now: Instant) -> bool {
        self.causes.time_left(&features(job), now).is_some()
    }

    /// Records that a server lost the connection of a request and may have crashed.
    pub fn record_lost(&mut self, job: &Job, now: Instant) {
        self.lost
            .retain(|_, (_, at)| now.duration_since(*at) < LOST_RETENTION);
        let suspects = self.causes.suspect_features(&features(job), job.arrived);
        if !suspects.is_empty() {
            self.lost.insert(job.fingerprint.clone(), (suspects, now));
        }
    }

    /// Records that a server answered a request.
    pub fn record_answer(&mut self, job: &Job, now: Instant) {
        self.causes.record_output(&features(job), now);
        self.share_sound_features(now);
    }

    /// Records crashes that were attributed to requests.
    pub fn record_crashes(&mut self, crashes: &[Crash], now: Instant) {
        for crash in crashes {
            if let Some((features, _)) = self.lost.get(&crash.fingerprint) {
                let report = CrashReport {
                    server: crash.server.clone(),
                    started_ms: crash.incarnation,
                    features: features.clone(),
                };
                self.add(Evidence::Crashed(report), now);
            }
        }
        self.share_sound_features(now);
    }

    /// Evidence of the last minute, for peers.
    #[must_use]
    pub fn recent(&self, now: Instant) -> Vec<Evidence> {
        let recent = self.recent.iter();
        recent
            .filter(|(_, at)| now.duration_since(*at) < MAX_SHARED_AGE)
            .map(|(evidence, _)| evidence.clone())
            .collect()
    }

    /// Merges evidence from a peer.
    pub fn merge(&mut self, evidence: Vec<Evidence>, now: Instant) {
        for piece in evidence {
            match piece {
                Evidence::Crashed(_) => self.add(piece, now),
                // Not handed on, as each merge would make it new again.
                Evidence::Sound(_) | Evidence::Trial(_) => {
                    self.causes.apply(&piece, now);
                }
            }
        }
        self.share_sound_features(now);
    }

    /// Lifts the quarantine of a prompt's beginning; returns whether there was one.
    pub fn lift(&mut self, name: &str, now: Instant) -> bool {
        let Some(feature) = parse_name(name) else {
            return false;
        };
        let has_feature = |cause: &Cause| now < cause.until && cause.features.contains(&feature);
        let is_quarantined = self.causes.causes().iter().any(has_feature);
        if is_quarantined {
            self.add(Evidence::Sound(feature), now);
        }
        is_quarantined
    }

    /// Beginnings of prompts that are under quarantine.
    #[must_use]
    pub fn rows(&self, now: Instant) -> Vec<QuarantineRow> {
        let causes = self.causes.causes().iter();
        let active = causes.filter(|cause| now < cause.until);
        active
            .filter_map(|cause| {
                let left = cause.until.duration_since(now);
                Some(QuarantineRow {
                    fingerprint: name(*cause.features.first()?).into(),
                    crashes: u32::try_from(cause.crashes).unwrap_or(u32::MAX),
                    servers: Vec::new(),
                    remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
                })
            })
            .collect()
    }

    /// Adds evidence and keeps it for peers if it is news.
    fn add(&mut self, evidence: Evidence, now: Instant) {
        if !self.causes.apply(&evidence, now) {
            return;
        }
        let is_old = |(_, at): &(Evidence, Instant)| now.duration_since(*at) >= MAX_SHARED_AGE;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.recent.push_back((evidence, now));
    }

    fn share_sound_features(&mut self, now: Instant) {
        for feature in self.causes.unshared_sound_features() {
            self.add(Evidence::Sound(feature), now);
        }
    }
}

/// Features of a request: the beginning of its prompt, and the request as a whole. None without a
/// prompt; then the fingerprint alone decides.
fn features(job: &Job) -> Vec<Feature> {
    if job.prefix == 0 {
        return Vec::new();
    }
    vec![job.prefix, xxh3_64(job.fingerprint.as_bytes())]
}

fn name(feature: Feature) -> String {
    format!("{NAME_PREFIX}{feature:016x}")
}

fn parse_name(name: &str) -> Option<Feature> {
    Feature::from_str_radix(name.strip_prefix(NAME_PREFIX)?, 16).ok()
}
