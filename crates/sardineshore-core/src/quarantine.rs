//! Quarantine of requests that crash the backend servers which run them.
//!
//! Crashes are attributed to fingerprints. After two, the fingerprint is refused for a bounded
//! time, then tried once. Evidence is a set that only grows and is merged from peers and from the
//! table, so that neither order nor repetition of messages matters.
//!
//! ```
//! use sardineshore_core::quarantine::{CallEnd, Quarantine, QuarantineConfig, Standing};
//!
//! let mut quarantine = Quarantine::new(QuarantineConfig::default());
//! for server in ["engine-1", "engine-2"] {
//!     quarantine.begin(&"f".into(), &server.into(), 1_000).unwrap();
//!     let broken = CallEnd::Broken { incarnation: 4 };
//!     quarantine.end(&"f".into(), &server.into(), broken, 1_500);
//!     quarantine.server_refused(&server.into(), 1_600);
//! }
//! assert!(matches!(quarantine.standing("f", 2_000), Standing::Quarantined { .. }));
//! ```

mod gate;
mod strikes;

use std::time::Duration;

use gate::Gate;
use serde::{Deserialize, Serialize};
use strikes::Strikes;
pub use strikes::{Evidence, QuarantineDelta, Strike};

use crate::{Fingerprint, QuarantineRow, ServerId};

/// Crashes after which a fingerprint is quarantined.
const STRIKES_TO_QUARANTINE: usize = 2;

/// Largest number of doublings of the quarantine's length.
const MAX_DOUBLINGS: usize = 6;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuarantineConfig {
    /// Length of the first quarantine; doubles with each further crash.
    pub length: Duration,
    /// Age at which a crash is forgotten.
    pub strike_age: Duration,
    /// How long after a broken connection a failure of the server is still attributed to it.
    pub attribution: Duration,
    /// Most pieces of evidence kept; the oldest go first.
    pub max_evidence: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10 * 60),
            strike_age: Duration::from_secs(24 * 60 * 60),
            attribution: Duration::from_secs(15),
            max_evidence: 10_000,
        }
    }
}

/// What the evidence says of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum Standing {
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
pub enum Hold {
    /// Another suspect runs on the backend server: choose another, or wait.
    SuspectRunning,
    /// The request is refused.
    Quarantined,
}

/// How a call ended, as far as crashes are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallEnd {
    /// The backend server answered; it did not crash.
    Answered,
    /// The call was cancelled or never sent.
    Abandoned,
    /// The connection broke after the call was sent.
    Broken {
        /// Incarnation of the backend server when it was sent; 0 if unknown.
        incarnation: u64,
    },
}

/// Evidence against fingerprints, and the calls that may add to it.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    strikes: Strikes,
    gate: Gate,
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
    pub fn standing(&self, fingerprint: &str, now_ms: u64) -> Standing {
        let strikes = self.strikes.live(fingerprint, now_ms, &self.cfg);
        let Some(last_ms) = strikes.iter().map(|strike| strike.at_ms).max() else {
            return Standing::Clear;
        };
        let Some(further) = strikes.len().checked_sub(STRIKES_TO_QUARANTINE) else {
            return Standing::Suspect;
        };
        let length = self.cfg.length * (1 << further.min(MAX_DOUBLINGS));
        let until_ms = last_ms + millis(length);
        if now_ms < until_ms {
            Standing::Quarantined { until_ms }
        } else {
            Standing::Probation
        }
    }

    /// Asks to send a call of a fingerprint to a backend server; called just before the send.
    pub fn begin(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        now_ms: u64,
    ) -> Result<(), Hold> {
        match self.standing(fingerprint, now_ms) {
            Standing::Clear => Ok(()),
            Standing::Suspect => self.gate.begin_suspect(fingerprint, server),
            Standing::Quarantined { .. } => Err(Hold::Quarantined),
            Standing::Probation => self.gate.begin_trial(fingerprint, server),
        }
    }

    /// Ends a call that [`Self::begin`] allowed.
    pub fn end(&mut self, fingerprint: &Fingerprint, server: &ServerId, end: CallEnd, now_ms: u64) {
        let trial = self.gate.end(fingerprint, server);
        match end {
            CallEnd::Answered if trial => self.strikes.add(Evidence::Cleared {
                fingerprint: fingerprint.clone(),
                at_ms: now_ms,
            }),
            CallEnd::Broken { incarnation } => {
                self.gate
                    .broken(fingerprint, server, incarnation, now_ms, &self.cfg);
            }
            CallEnd::Answered | CallEnd::Abandoned => {}
        }
    }

    /// A backend server refused a connection: calls that broke on it are blamed.
    ///
    /// Returns the new strikes.
    pub fn server_refused(&mut self, server: &ServerId, now_ms: u64) -> Vec<Strike> {
        let blamed = self.gate.blame(server, None, now_ms, &self.cfg);
        self.add_strikes(blamed)
    }

    /// A backend server was heard with an incarnation: a new one blames the calls that broke on
    /// the old one, the same one acquits them.
    ///
    /// Returns the new strikes.
    pub fn server_seen(&mut self, server: &ServerId, incarnation: u64, now_ms: u64) -> Vec<Strike> {
        let blamed = self
            .gate
            .blame(server, Some(incarnation), now_ms, &self.cfg);
        self.add_strikes(blamed)
    }

    /// Lifts the quarantine of a fingerprint; returns whether it was under quarantine.
    pub fn lift(&mut self, fingerprint: &str, now_ms: u64) -> bool {
        let quarantined = !matches!(
            self.standing(fingerprint, now_ms),
            Standing::Clear | Standing::Suspect
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
        let oldest_ms = now_ms.saturating_sub(millis(self.cfg.strike_age));
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
    pub fn evidence_on(&self, fingerprint: &str) -> Vec<Evidence> {
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
        let remaining_ms = match self.standing(fingerprint, now_ms) {
            Standing::Quarantined { until_ms } => until_ms - now_ms,
            Standing::Probation => 0,
            Standing::Clear | Standing::Suspect => return None,
        };
        let strikes = self.strikes.live(fingerprint, now_ms, &self.cfg);
        Some(QuarantineRow {
            fingerprint: fingerprint.clone(),
            crashes: u32::try_from(strikes.len()).unwrap_or(u32::MAX),
            servers: strikes.iter().map(|strike| strike.server.clone()).collect(),
            remaining_ms,
        })
    }

    fn add_strikes(&mut self, strikes: Vec<Strike>) -> Vec<Strike> {
        for strike in &strikes {
            self.strikes.add(Evidence::Crashed(strike.clone()));
        }
        strikes
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
