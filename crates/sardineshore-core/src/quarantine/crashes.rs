//! The set of crashes by fingerprint: it only grows, so merging it is order-free.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{QuarantineConfig, millis};
use crate::{Fingerprint, ServerId};

/// One crash attributed to one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Backend server that crashed.
    pub server: ServerId,
    /// Incarnation of its process that crashed.
    pub incarnation: u64,
    /// Unix time of the crash in milliseconds, by the first observer.
    pub at_ms: u64,
}

/// One piece of evidence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "evidence")]
pub enum Evidence {
    /// A crash.
    Crashed(Crash),
    /// A trial passed: crashes up to this time no longer count.
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
    /// Evidence in the order in which the sender learnt it.
    pub evidence: Vec<Evidence>,
    /// Position to ask from next time.
    pub next: u64,
}

/// What is held against one fingerprint.
#[derive(Debug, Clone, Default)]
struct Record {
    /// Time of the crash by server and incarnation; the earliest report counts.
    crashes: BTreeMap<(ServerId, u64), u64>,
    cleared_ms: u64,
}

/// All records, with a log of additions for peers.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashSet {
    records: BTreeMap<Fingerprint, Record>,
    log: Vec<Evidence>,
    /// Position of the log's first entry.
    log_start: u64,
}

impl CrashSet {
    /// Adds evidence; what is known already changes nothing.
    pub(super) fn add(&mut self, evidence: Evidence) {
        let news = match &evidence {
            Evidence::Crashed(strike) => self.add_crash(strike),
            Evidence::Cleared { fingerprint, at_ms } => self.add_cleared(fingerprint, *at_ms),
        };
        if news {
            self.log.push(evidence);
        }
    }

    fn add_crash(&mut self, strike: &Crash) -> bool {
        let record = self.records.entry(strike.fingerprint.clone()).or_default();
        let crash = (strike.server.clone(), strike.incarnation);
        let known_ms = record.crashes.entry(crash).or_insert(u64::MAX);
        let earlier = strike.at_ms < *known_ms;
        *known_ms = strike.at_ms.min(*known_ms);
        earlier
    }

    fn add_cleared(&mut self, fingerprint: &Fingerprint, at_ms: u64) -> bool {
        let record = self.records.entry(fingerprint.clone()).or_default();
        let later = at_ms > record.cleared_ms;
        record.cleared_ms = record.cleared_ms.max(at_ms);
        later
    }

    /// Crashes that still count, in the order of servers.
    pub(super) fn live(
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

    /// Forgets what is too old to count, and the oldest evidence above the limit.
    pub(super) fn prune(&mut self, now_ms: u64, cfg: &QuarantineConfig) {
        let oldest_ms = now_ms.saturating_sub(millis(cfg.crash_retention));
        for record in self.records.values_mut() {
            record.crashes.retain(|_, at_ms| *at_ms >= oldest_ms);
        }
        self.records
            .retain(|_, record| !record.crashes.is_empty() || record.cleared_ms >= oldest_ms);
        let full = self.log.len().saturating_sub(cfg.max_evidence);
        let old = self
            .log
            .iter()
            .take_while(|entry| entry.at_ms() < oldest_ms);
        let excess = full.max(old.count());
        let dropped: Vec<_> = self.log.drain(..excess).collect();
        for evidence in dropped {
            self.remove(&evidence);
        }
        self.log_start += excess as u64;
    }

    fn remove(&mut self, evidence: &Evidence) {
        let Evidence::Crashed(strike) = evidence else {
            return;
        };
        if let Some(record) = self.records.get_mut(&strike.fingerprint) {
            let crash = (strike.server.clone(), strike.incarnation);
            record.crashes.remove(&crash);
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

    pub(super) fn evidence_on(&self, fingerprint: &str) -> Vec<Evidence> {
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
            Self::Crashed(strike) => &strike.fingerprint,
            Self::Cleared { fingerprint, .. } => fingerprint,
        }
    }

    /// Unix time in milliseconds of the crash or of the trial.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::Crashed(strike) => strike.at_ms,
            Self::Cleared { at_ms, .. } => *at_ms,
        }
    }
}
