//! Quarantine of requests that crash the backend servers which run them.
//!
//! Crashes are attributed to fingerprints. After two, the fingerprint is refused for a bounded
//! time, then tried once. Evidence is a set that only grows and is merged from peers and from the
//! table, so that neither order nor repetition of messages matters.
//!
//! ```
//! use sardineshore_core::quarantine::{CallOutcome, Quarantine, QuarantineConfig, FingerprintState};
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

/// Crashes after which a fingerprint is quarantined.
const STRIKES_TO_QUARANTINE: usize = 2;

/// Largest number of doublings of the quarantine's length.
const MAX_DOUBLINGS: usize = 6;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuarantineConfig {
    /// Length of the first quarantine; doubles with each further crash.
    pub base_duration: Duration,
    /// Age at which a crash is forgotten.
    pub crash_retention: Duration,
    /// How long after a broken connection a failure of the server is still attributed to it.
    pub attribution_window: Duration,
    /// Most pieces of evidence kept; the oldest go first.
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

/// What the evidence says of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum FingerprintState {
    /// Nothing is held against it.
    Clear,
    /// One crash: it runs, but not beside another suspect on the same backend server.
    Suspect,
    /// It is refused.
    Quarantined {
        /// Unix time in milliseconds at which it may be tried again.
        until_ms: u64,
    },
    /// The quarantine has passed: one trial may run.
    Probation,
}

/// Why a call may not begin now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BeginError {
    /// Another suspect runs on the backend server: choose another, or wait.
    SuspectRunning,
    /// The request is refused.
    Quarantined,
}

/// How a call ended, as far as crashes are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The backend server answered; it did not crash.
    Answered,
    /// The call was cancelled or never sent.
    Cancelled,
    /// The connection broke after the call was sent.
    ConnectionLost {
        /// Incarnation of the backend server when it was sent; 0 if unknown.
        incarnation: u64,
    },
}

/// Evidence against fingerprints, and the calls that may add to it.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    strikes: CrashSet,
    gate: SuspectCalls,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// What the evidence says of a fingerprint.
    #[must_use]
    pub fn state(&self, fingerprint: &str, now_ms: u64) -> FingerprintState {
        let strikes = self.strikes.live(fingerprint, now_ms, &self.cfg);
        let Some(last_ms) = strikes.iter().map(|strike| strike.at_ms).max() else {
            return FingerprintState::Clear;
        };
        let Some(further) = strikes.len().checked_sub(STRIKES_TO_QUARANTINE) else {
            return FingerprintState::Suspect;
        };
        let length = self.cfg.base_duration * (1 << further.min(MAX_DOUBLINGS));
        let until_ms = last_ms + millis(length);
        if now_ms < until_ms {
            FingerprintState::Quarantined { until_ms }
        } else {
            FingerprintState::Probation
        }
    }

    /// Asks to send a call of a fingerprint to a backend server; called just before the send.
    pub fn begin_call(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        now_ms: u64,
    ) -> Result<(), BeginError> {
        match self.state(fingerprint, now_ms) {
            FingerprintState::Clear => Ok(()),
            FingerprintState::Suspect => self.gate.begin_suspect(fingerprint, server),
            FingerprintState::Quarantined { .. } => Err(BeginError::Quarantined),
            FingerprintState::Probation => self.gate.begin_trial(fingerprint, server),
        }
    }

    /// Ends a call that [`Self::begin`] allowed.
    pub fn end_call(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        end: CallOutcome,
        now_ms: u64,
    ) {
        let trial = self.gate.end(fingerprint, server);
        match end {
            CallOutcome::Answered if trial => self.strikes.add(Evidence::Cleared {
                fingerprint: fingerprint.clone(),
                at_ms: now_ms,
            }),
            CallOutcome::ConnectionLost { incarnation } => {
                self.gate
                    .broken(fingerprint, server, incarnation, now_ms, &self.cfg);
            }
            CallOutcome::Answered | CallOutcome::Cancelled => {}
        }
    }

    /// A backend server refused a connection: calls that broke on it are blamed.
    ///
    /// Returns the new strikes.
    pub fn connection_refused(&mut self, server: &ServerId, now_ms: u64) -> Vec<Crash> {
        let blamed = self.gate.blame(server, None, now_ms, &self.cfg);
        self.add_strikes(blamed)
    }

    /// A backend server was heard with an incarnation: a new one blames the calls that broke on
    /// the old one, the same one acquits them.
    ///
    /// Returns the new strikes.
    pub fn record_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: u64,
        now_ms: u64,
    ) -> Vec<Crash> {
        let blamed = self
            .gate
            .blame(server, Some(incarnation), now_ms, &self.cfg);
        self.add_strikes(blamed)
    }

    /// Lifts the quarantine of a fingerprint; returns whether it was under quarantine.
    pub fn lift(&mut self, fingerprint: &str, now_ms: u64) -> bool {
        let quarantined = !matches!(
            self.state(fingerprint, now_ms),
            FingerprintState::Clear | FingerprintState::Suspect
        );
        if quarantined {
            self.strikes.add(Evidence::Cleared {
                fingerprint: fingerprint.into(),
                at_ms: now_ms,
            });
        }
        quarantined
    }

    /// Takes evidence from a peer or from the table.
    pub fn merge(&mut self, delta: &QuarantineDelta, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(millis(self.cfg.crash_retention));
        let all = delta.evidence.iter();
        for evidence in all.filter(|evidence| evidence.at_ms() >= oldest_ms) {
            self.strikes.add(evidence.clone());
        }
        self.strikes.prune(now_ms, &self.cfg);
    }

    /// Evidence that was added after position `after`, for peers; 0 gives all.
    #[must_use]
    pub fn delta(&self, after: u64) -> QuarantineDelta {
        self.strikes.delta(after)
    }

    /// All evidence on one fingerprint, for its row in the table.
    #[must_use]
    pub fn evidence_for(&self, fingerprint: &str) -> Vec<Evidence> {
        self.strikes.evidence_on(fingerprint)
    }

    /// Fingerprints with at least the strikes of a quarantine.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<QuarantineRow> {
        let fingerprints = self.strikes.fingerprints();
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
        let strikes = self.strikes.live(fingerprint, now_ms, &self.cfg);
        Some(QuarantineRow {
            fingerprint: fingerprint.clone(),
            crashes: u32::try_from(strikes.len()).unwrap_or(u32::MAX),
            servers: strikes.iter().map(|strike| strike.server.clone()).collect(),
            remaining_ms,
        })
    }

    fn add_strikes(&mut self, strikes: Vec<Crash>) -> Vec<Crash> {
        for strike in &strikes {
            self.strikes.add(Evidence::Crashed(strike.clone()));
        }
        strikes
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
