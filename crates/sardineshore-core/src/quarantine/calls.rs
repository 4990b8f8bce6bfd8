//! Calls of this instance that matter to the quarantine: running calls of suspects, and lost calls
//! whose server may have crashed.

use std::collections::BTreeMap;

use super::{BeginError, Crash, QuarantineConfig, millis};
use crate::{Fingerprint, ServerId};

/// Running calls of suspects, and lost calls that may be attributed to a crash.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectCalls {
    /// The suspect that is running on each backend server.
    suspects: BTreeMap<ServerId, Fingerprint>,
    /// The backend server on which the trial of each fingerprint on probation is running.
    trials: BTreeMap<Fingerprint, ServerId>,
    /// Calls whose connections were lost within the attribution window.
    lost: Vec<LostCall>,
}

/// A call whose connection was lost; its server may have crashed.
#[derive(Debug, Clone)]
struct LostCall {
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

    pub(super) fn record_lost(
        &mut self,
        fingerprint: &Fingerprint,
        server: &ServerId,
        incarnation: u64,
        at_ms: u64,
        cfg: &QuarantineConfig,
    ) {
        self.remove_old(at_ms, cfg);
        self.lost.push(LostCall {
            fingerprint: fingerprint.clone(),
            server: server.clone(),
            incarnation,
            at_ms,
        });
    }

    fn remove_old(&mut self, now_ms: u64, cfg: &QuarantineConfig) {
        let oldest_ms = now_ms.saturating_sub(millis(cfg.attribution_window));
        self.lost.retain(|call| call.at_ms >= oldest_ms);
    }

    /// Removes the lost calls of a server once it is known whether it crashed; returns a crash for
    /// each call that it is attributed to.
    ///
    /// `reported` is the incarnation that the server reported, or `None` if it refused a
    /// connection.
    pub(super) fn attribute(
        &mut self,
        server: &ServerId,
        reported: Option<u64>,
        now_ms: u64,
        cfg: &QuarantineConfig,
    ) -> Vec<Crash> {
        self.remove_old(now_ms, cfg);
        let all = std::mem::take(&mut self.lost).into_iter();
        let (of_server, remaining): (Vec<_>, Vec<_>) = all.partition(|call| call.server == *server);
        self.lost = remaining;
        of_server
            .into_iter()
            .filter(|call| reported.is_none_or(|reported| call.incarnation != reported))
            .map(|call| Crash {
                fingerprint: call.fingerprint,
                server: call.server,
                incarnation: call.incarnation,
                at_ms: call.at_ms,
            })
            .collect()
    }
}
