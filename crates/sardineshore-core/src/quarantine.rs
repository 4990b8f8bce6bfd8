//! Quarantine of requests that crash the backend servers that run them.
//!
//! Crashes are attributed to the fingerprints of the requests that were running. After two crashes,
//! a fingerprint is refused for a limited time; then one trial call may run. The evidence is a
//! grow-only set, merged from peers and from the table, so that neither the order nor the
//! repetition of messages matters.
//!
//! ```
//! use sardineshore_core::quarantine::{
//!     CallOutcome, FingerprintState, Quarantine, QuarantineConfig,
//! };
//!
//! let mut quarantine = Quarantine::new(QuarantineConfig::default());
//! for server in ["engine-1", "engine-2"] {
//!     quarantine.begin_call(&"f".into(), &server.into(), 1_000).unwrap();
//!     let lost = CallOutcome::ConnectionLost { incarnation: 4 };
//!     quarantine.end_call(&"f".into(), &server.into(), lost, 1_500);
//!     quarantine.connection_refused(&server.into(), 1_600);
//! }
//! assert!(matches!(quarantine.state("f", 2_000), FingerprintState::Quarantined { .. }));
//! ```

mod calls;
mod crashes;

use std::time::Duration;

use calls::SuspectCalls;
use crashes::CrashSet;
pub use crashes::{Crash, Evidence, QuarantineDelta};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, QuarantineRow, ServerId};

/// Number of crashes after which a fingerprint is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Maximum number of times that the duration of the quarantine doubles.
const MAX_DOUBLINGS: usize = 6;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuarantineConfig {
    /// Duration of the first quarantine; doubles with each further crash.
    pub base_duration: Duration,
    /// Age at which a crash no longer counts and is removed.
    pub crash_retention: Duration,
    /// Time after a lost connection within which a crash of the server is attributed to the call.
    pub attribution_window: Duration,
    /// Maximum number of pieces of evidence; the oldest are removed first.
    pub max_evidence: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            base_duration: Duration::from_secs(10 * 60),
            crash_retention: Duration::from_secs(24 * 60 * 60),
            attribution_window: Duration::from_secs(15),
            max_evidence: 10_000,
        }
    }
}

/// State of a fingerprint according to the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum FingerprintState {
    /// No crash counts against it.
    Clear,
    /// One crash: its calls run, but not concurrently with another suspect on the same backend
    /// server.
    Suspect,
    /// Its calls are refused.
    Quarantined {
        /// Unix time in milliseconds at which it may be tried again.
        until_ms: u64,
    },
    /// The quarantine has ended: one trial call may run.
    Probation,
}

/// Why a call may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BeginError {
    /// Another suspect runs on the backend server; select another server, or wait.
    SuspectRunning,
    /// The fingerprint is quarantined, or its trial is running elsewhere.
    Quarantined,
}

/// How a call ended, as far as a crash of the server is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The backend server answered, so it did not crash.
    Answered,
    /// The call was cancelled or never sent.
    Cancelled,
    /// The connection was lost after the call was sent.
    ConnectionLost {
        /// Incarnation of the backend server when the call was sent; 0 if unknown.
        incarnation: u64,
    },
}

/// Evidence against fingerprints, and the calls of this instance that may add to it.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    crashes: CrashSet,
    calls: SuspectCalls,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    #[must_use]
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// State of a fingerprint according to the evidence.
    #[must_use]
    pub fn state(&self, fingerprint: &str, now_ms: u64) -> FingerprintState {
        let crashes = self.crashes.counted(fingerprint, now_ms, &self.cfg);
        let Some(last_ms) = crashes.iter().map(|crash| crash.at_ms).max() else {
            return FingerprintState::Clear;
        };
        let Some(extra_crashes) = crashes.len().checked_sub(CRASHES_TO_QUARANTINE) else {
            return FingerprintState::Suspect;
        };
        let duration = self.cfg.base_duration * (1 << extra_crashes.min(MAX_DOUBLINGS));
        let until_ms = last_ms + millis(duration);
        if now_ms < until_ms {
            FingerprintState::Quarantined { until_ms }
        } else {
            FingerprintState::Probation
        }
    }

    /// Begins a call of a fingerprint on a backend server, or says why it may not begin; called
    /// immediately before the send.
    pub fn begin_call(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        now_ms: u64,
    ) -> Result<(), BeginError> {
        match self.state(fingerprint, now_ms) {
            FingerprintState::Clear => Ok(()),
            FingerprintState::Suspect => self.calls.begin_suspect(fingerprint, server),
            FingerprintState::Quarantined { .. } => Err(BeginError::Quarantined),
            FingerprintState::Probation => self.calls.begin_trial(fingerprint, server),
        }
    }

    /// Ends a call that [`Self::begin_call`] allowed.
    pub fn end_call(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        end: CallOutcome,
        now_ms: u64,
    ) {
        let was_trial = self.calls.end(fingerprint, server);
        match end {
            CallOutcome::Answered if was_trial => self.crashes.add(Evidence::Cleared {
                fingerprint: fingerprint.clone(),
                at_ms: now_ms,
            }),
            CallOutcome::ConnectionLost { incarnation } => {
                self.calls
                    .record_lost(fingerprint, server, incarnation, now_ms, &self.cfg);
            }
            CallOutcome::Answered | CallOutcome::Cancelled => {}
        }
    }

    /// Records that a backend server refused a connection: the crash is attributed to the calls
    /// whose connections to it were lost.
    ///
    /// Returns the new crashes.
    pub fn connection_refused(&mut self, server: &ServerId, now_ms: u64) -> Vec<Crash> {
        let attributed = self.calls.attribute(server, None, now_ms, &self.cfg);
        self.add_crashes(attributed)
    }

    /// Records the incarnation that a backend server reported. A new incarnation attributes a crash
    /// to the calls whose connections were lost under the old one; the same incarnation clears
    /// them.
    ///
    /// Returns the new crashes.
    pub fn record_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        now_ms: u64,
    ) -> Vec<Crash> {
        let attributed = self
            .calls
            .attribute(server, Some(incarnation), now_ms, &self.cfg);
        self.add_crashes(attributed)
    }

    /// Lifts the quarantine of a fingerprint; returns whether it was quarantined or on probation.
    pub fn lift(&mut self, fingerprint: &str, now_ms: u64) -> bool {
        let quarantined = !matches!(
            self.state(fingerprint, now_ms),
            FingerprintState::Clear | FingerprintState::Suspect
        );
        if quarantined {
            self.crashes.add(Evidence::Cleared {
                fingerprint: fingerprint.into(),
                at_ms: now_ms,
            });
        }
        quarantined
    }

    /// Merges evidence from a peer or from the table.
    pub fn merge(&mut self, delta: &QuarantineDelta, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(millis(self.cfg.crash_retention));
        let all = delta.evidence.iter();
        for evidence in all.filter(|evidence| evidence.at_ms() >= oldest_ms) {
            self.crashes.add(evidence.clone());
        }
        self.crashes.prune(now_ms, &self.cfg);
    }

    /// Evidence added after position `after`, for peers; 0 returns all of it.
    #[must_use]
    pub fn delta(&self, after: u64) -> QuarantineDelta {
        self.crashes.delta(after)
    }

    /// All evidence about one fingerprint, for its row in the table.
    #[must_use]
    pub fn evidence_for(&self, fingerprint: &str) -> Vec<Evidence> {
        self.crashes.evidence_for(fingerprint)
    }

    /// Fingerprints that are quarantined or on probation.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<QuarantineRow> {
        let fingerprints = self.crashes.fingerprints();
        fingerprints
            .filter_map(|fingerprint| self.row(fingerprint, now_ms))
            .collect()
    }

    fn row(&self, fingerprint: &Fingerprint, now_ms: u64) -> Option<QuarantineRow> {
        let remaining_ms = match self.state(fingerprint, now_ms) {
            FingerprintState::Quarantined { until_ms } => until_ms - now_ms,
            FingerprintState::Probation => 0,
            FingerprintState::Clear | FingerprintState::Suspect => return None,
        };
        let crashes = self.crashes.counted(fingerprint, now_ms, &self.cfg);
        Some(QuarantineRow {
            fingerprint: fingerprint.clone(),
            crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
            servers: crashes.iter().map(|crash| crash.server.clone()).collect(),
            remaining_ms,
        })
    }

    fn add_crashes(&mut self, crashes: Vec<Crash>) -> Vec<Crash> {
        for crash in &crashes {
            self.crashes.add(Evidence::Crashed(crash.clone()));
        }
        crashes
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
