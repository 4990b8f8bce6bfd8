//! The set of crashes by fingerprint. It only grows, so that merges commute.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{QuarantineConfig, millis};
use crate::{Fingerprint, ServerId};

/// A crash attributed to a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Name of the backend server that crashed.
    pub server: ServerId,
    /// Incarnation of the server's process that crashed.
    pub incarnation: u64,
    /// Unix time of the crash in milliseconds, by the clock of the instance that observed it first.
    pub at_ms: u64,
}

/// One piece of evidence about a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "evidence")]
pub enum Evidence {
    /// A crash.
    Crashed(Crash),
    /// A trial call succeeded or an operator lifted the quarantine: crashes up to this time no
    /// longer count.
    Cleared {
        /// Fingerprint.
        fingerprint: Fingerprint,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
}

/// Evidence sent to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuarantineDelta {
    /// Evidence in the order in which the sender received it.
    pub evidence: Vec<Evidence>,
    /// Position from which to request the next delta.
    pub next: u64,
}

/// Evidence about one fingerprint.
#[derive(Debug, Clone, Default)]
struct Record {
    /// Unix time of the crash in milliseconds by server and incarnation; the earliest report
    /// counts.
    crashes: BTreeMap<(ServerId, u64), u64>,
    cleared_ms: u64,
}

/// The evidence about all fingerprints, with a log of additions for peers.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashSet {
    records: BTreeMap<Fingerprint, Record>,
    log: Vec<Evidence>,
    /// Position of the log's first entry.
    log_start: u64,
}

impl CrashSet {
    /// Adds evidence; known evidence has no effect.
    pub(super) fn add(&mut self, evidence: Evidence) {
        let is_new = match &evidence {
            Evidence::Crashed(crash) => self.add_crash(crash),
            Evidence::Cleared { fingerprint, at_ms } => self.add_cleared(fingerprint, *at_ms),
        };
        if is_new {
            self.log.push(evidence);
        }
    }

    fn add_crash(&mut self, crash: &Crash) -> bool {
        let record = self.records.entry(crash.fingerprint.clone()).or_default();
        let key = (crash.server.clone(), crash.incarnation);
        let known_ms = record.crashes.entry(key).or_insert(u64::MAX);
        let is_earlier = crash.at_ms < *known_ms;
        *known_ms = crash.at_ms.min(*known_ms);
        is_earlier
    }

    fn add_cleared(&mut self, fingerprint: &Fingerprint, at_ms: u64) -> bool {
        let record = self.records.entry(fingerprint.clone()).or_default();
        let is_later = at_ms > record.cleared_ms;
        record.cleared_ms = record.cleared_ms.max(at_ms);
        is_later
    }

    /// Crashes that still count, in the order of server names.
    pub(super) fn counted(
        &self,
        fingerprint: &str,
        now_ms: u64,
        cfg: &QuarantineConfig,
    ) -> Vec<Crash> {
        let Some((name, record)) = self.records.get_key_value(fingerprint) else {
            return Vec::new();
        };
        let oldest_ms = now_ms.saturating_sub(millis(cfg.crash_retention));
        let counts = |at_ms: u64| at_ms > record.cleared_ms && at_ms >= oldest_ms;
        let crashes = record.crashes.iter().filter(|(_, at_ms)| counts(**at_ms));
        crashes
            .map(|((server, incarnation), at_ms)| Crash {
                fingerprint: name.clone(),
                server: server.clone(),
                incarnation: *incarnation,
                at_ms: *at_ms,
            })
            .collect()
    }

    /// Removes evidence that is too old to count, and the oldest evidence above the limit.
    pub(super) fn prune(&mut self, now_ms: u64, cfg: &QuarantineConfig) {
        let oldest_ms = now_ms.saturating_sub(millis(cfg.crash_retention));
        for record in self.records.values_mut() {
            record.crashes.retain(|_, at_ms| *at_ms >= oldest_ms);
        }
        self.records
            .retain(|_, record| !record.crashes.is_empty() || record.cleared_ms >= oldest_ms);
        let excess_entries = self.log.len().saturating_sub(cfg.max_evidence);
        let outdated = self
            .log
            .iter()
            .take_while(|entry| entry.at_ms() < oldest_ms);
        let removed_count = excess_entries.max(outdated.count());
        let dropped: Vec<_> = self.log.drain(..removed_count).collect();
        for evidence in dropped {
            self.remove(&evidence);
        }
        self.log_start += removed_count as u64;
    }

    fn remove(&mut self, evidence: &Evidence) {
        let Evidence::Crashed(crash) = evidence else {
            return;
        };
        if let Some(record) = self.records.get_mut(&crash.fingerprint) {
            let key = (crash.server.clone(), crash.incarnation);
            record.crashes.remove(&key);
        }
    }

    pub(super) fn delta(&self, after: u64) -> QuarantineDelta {
        let skipped = after.saturating_sub(self.log_start);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        QuarantineDelta {
            evidence: self.log.iter().skip(skipped).cloned().collect(),
            next: self.log_start + self.log.len() as u64,
        }
    }

    pub(super) fn evidence_for(&self, fingerprint: &str) -> Vec<Evidence> {
        let all = self.log.iter();
        all.filter(|evidence| **evidence.fingerprint() == *fingerprint)
            .cloned()
            .collect()
    }

    pub(super) fn fingerprints(&self) -> impl Iterator<Item = &Fingerprint> {
        self.records.keys()
    }
}

impl Evidence {
    /// Fingerprint that the evidence is about.
    #[must_use]
    pub fn fingerprint(&self) -> &Fingerprint {
        match self {
            Self::Crashed(crash) => &crash.fingerprint,
            Self::Cleared { fingerprint, .. } => fingerprint,
        }
    }

    /// Unix time in milliseconds of the crash or of the clearance.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::Crashed(crash) => crash.at_ms,
            Self::Cleared { at_ms, .. } => *at_ms,
        }
    }
}
