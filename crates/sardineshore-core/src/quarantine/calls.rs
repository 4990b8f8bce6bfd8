//! This instance's calls of suspects, and broken calls that await attribution.

use std::collections::BTreeMap;

use super::{BeginError, Crash, QuarantineConfig, millis};
use crate::{Fingerprint, ServerId};

/// Calls of suspects in progress and broken calls.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectCalls {
    /// The suspect that runs on each backend server.
    suspects: BTreeMap<ServerId, Fingerprint>,
    /// Where the trial of each fingerprint on probation runs.
    trials: BTreeMap<Fingerprint, ServerId>,
    broken: Vec<Broken>,
}

/// A call whose connection broke; its server may have crashed.
#[derive(Debug, Clone)]
struct Broken {
    fingerprint: Fingerprint,
    server: ServerId,
    incarnation: u64,
    at_ms: u64,
}

impl SuspectCalls {
    pub(super) fn begin_suspect(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
    ) -> Result<(), BeginError> {
        if self.suspects.contains_key(server) {
            return Err(BeginError::SuspectRunning);
        }
        self.suspects.insert(server.clone(), fingerprint.clone());
        Ok(())
    }

    pub(super) fn begin_trial(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
    ) -> Result<(), BeginError> {
        if self.trials.contains_key(fingerprint) {
            return Err(BeginError::Quarantined);
        }
        self.begin_suspect(fingerprint, server)?;
        self.trials.insert(fingerprint.clone(), server.clone());
        Ok(())
    }

    /// Ends a call; returns whether it was a trial.
    pub(super) fn end(&mut self, fingerprint: &Fingerprint, server: &ServerId) -> bool {
        if self.suspects.get(server) == Some(fingerprint) {
            self.suspects.remove(server);
        }
        let trial = self.trials.get(fingerprint) == Some(server);
        if trial {
            self.trials.remove(fingerprint);
        }
        trial
    }

    pub(super) fn broken(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        incarnation: u64,
        at_ms: u64,
        cfg: &QuarantineConfig,
    ) {
        self.forget_old(at_ms, cfg);
        self.broken.push(Broken {
            fingerprint: fingerprint.clone(),
            server: server.clone(),
            incarnation,
            at_ms,
        });
    }

    fn forget_old(&mut self, now_ms: u64, cfg: &QuarantineConfig) {
        let oldest_ms = now_ms.saturating_sub(millis(cfg.attribution_window));
        self.broken.retain(|call| call.at_ms >= oldest_ms);
    }

    /// Takes the broken calls of a server whose fate is known now; returns the blamed ones.
    ///
    /// `seen` is the incarnation that was heard, or `None` if the server refused a connection.
    pub(super) fn blame(
        &mut self,
        server: &ServerId,
        seen: Option<u64>,
        now_ms: u64,
        cfg: &QuarantineConfig,
    ) -> Vec<Crash> {
        self.forget_old(now_ms, cfg);
        let all = std::mem::take(&mut self.broken).into_iter();
        let (decided, open): (Vec<_>, Vec<_>) = all.partition(|call| call.server == *server);
        self.broken = open;
        decided
            .into_iter()
            .filter(|call| seen.is_none_or(|seen| call.incarnation != seen))
            .map(|call| Crash {
                fingerprint: call.fingerprint,
                server: call.server,
                incarnation: call.incarnation,
                at_ms: call.at_ms,
            })
            .collect()
    }
}
