//! Quarantine of requests that crash backend servers: the I/O around
//! [`sardineshore_core::quarantine`].
//!
//! When a connection breaks during a call, a task probes the server to find out whether it crashed.
//! A request that crashed servers repeatedly is quarantined, on this instance and on its peers.

mod prompts;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use sardineshore_core::clock::unix_ms;
use sardineshore_core::event::claim as events;
use sardineshore_core::flow::quarantine::Evidence as PromptEvidence;
use sardineshore_core::quarantine::{
    BeginError, CallOutcome, Crash, Evidence, FingerprintState, Quarantine, QuarantineDelta,
};
use sardineshore_core::{
    AttemptResult, NotRunReason, PoolId, QuarantineRow, SelectedServer, ServerId,
};
use sardineshore_wire::http::{ClientError, Reuse};

use crate::claims::incarnations::probe_incarnation;
use crate::dispatch::AttemptOutcome;
use crate::instance::Instance;
use crate::job::Job;
use prompts::PromptCauses;

/// Delays before each probe of a server whose connection broke.
const CRASH_CHECK_DELAYS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];
/// Maximum time that a retry waits for the crash check of the previous server.
const MAX_CRASH_CHECK_WAIT: Duration = Duration::from_millis(300);
/// Maximum time to connect for one probe.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum age of evidence that is sent to peers.
const MAX_SHARED_EVIDENCE_AGE: Duration = Duration::from_secs(60);

/// Time for which a server counts as down after a failed connection, unless it responds.
const DOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// The quarantine of one instance. At most one of its locks is held at a time.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    quarantine: Mutex<Quarantine>,
    prompts: Mutex<PromptCauses>,
    /// Time of the first failed connection to each server since its last response.
    down_since: Mutex<HashMap<ServerId, Instant>>,
    /// Running crash checks, by server.
    crash_checks: Mutex<HashMap<ServerId, JoinHandle<()>>>,
}

impl QuarantineTable {
    /// Whether the request is under quarantine now.
    pub fn is_quarantined(&self, instance: &Instance, job: &Job) -> bool {
        let standing = self.table().state(&job.fingerprint, now_ms(instance));
        matches!(standing, FingerprintState::Quarantined { .. })
            || self.prompts().is_quarantined(job, instance.clock.now())
    }

    /// Whether a request that is suspected of a crash must wait, because another crash would leave
    /// the pool without a server.
    pub fn must_wait(&self, instance: &Instance, job: &Job, pool: &PoolId) -> bool {
        let standing = self.table().state(&job.fingerprint, now_ms(instance));
        if standing == FingerprintState::Clear {
            return false;
        }
        let deployment = instance.tables.deployment();
        let of_pool = deployment.servers.values();
        let names: Vec<_> = of_pool
            .filter(|server| server.pool == *pool)
            .map(|server| &server.name)
            .collect();
        let now = instance.clock.now();
        let down = self.down_since.lock().expect("down lock poisoned");
        let is_up = |name: &&&ServerId| {
            let failed = down.get(**name);
            failed.is_none_or(|at| now.duration_since(*at) > DOWN_TIMEOUT)
        };
        names.len() > 1 && names.iter().filter(is_up).count() < 2
    }

    /// Registers a call immediately before it is sent. Fails if the request is under quarantine, or
    /// if another suspect request runs on the server.
    pub fn begin_call(
        &self,
        instance: &Instance,
        job: &Job,
        server: &ServerId,
    ) -> Result<(), AttemptOutcome> {
        if self.prompts().is_quarantined(job, instance.clock.now()) {
            let detail = "the beginning of the prompt is quarantined";
            return Err(AttemptOutcome::not_run(NotRunReason::Quarantined, detail));
        }
        let registered = self
            .table()
            .begin_call(&job.fingerprint, server, now_ms(instance));
        registered.map_err(|hold| match hold {
            BeginError::SuspectRunning => {
                let detail = "another suspect runs on the backend server";
                AttemptOutcome::not_run(NotRunReason::NoServer, detail)
            }
            BeginError::Quarantined => {
                AttemptOutcome::not_run(NotRunReason::Quarantined, "the request is quarantined")
            }
        })
    }

    /// Ends a call that [`Self::begin_call`] registered.
    pub fn end_call(&self, instance: &Instance, job: &Job, server: &ServerId, end: CallOutcome) {
        let now = now_ms(instance);
        self.table().end_call(&job.fingerprint, server, end, now);
    }

    /// Ends the call of an attempt according to its result. After a broken connection it starts a
    /// crash check of the server.
    pub fn finish_attempt(
        &self,
        instance: &Arc<Instance>,
        job: &Job,
        choice: &SelectedServer,
        result: AttemptResult,
    ) {
        let end = match result {
            AttemptResult::Answered => CallOutcome::Answered,
            AttemptResult::Lost => CallOutcome::ConnectionLost {
                incarnation: instance.incarnations.last_known(&choice.server),
            },
            _ => CallOutcome::Cancelled,
        };
        self.end_call(instance, job, &choice.server, end);
        let now = instance.clock.now();
        match end {
            CallOutcome::Answered => self.prompts().record_answer(job, now),
            CallOutcome::ConnectionLost { .. } => self.prompts().record_lost(job, now),
            CallOutcome::Cancelled => {}
        }
        if matches!(end, CallOutcome::ConnectionLost { .. }) {
            let check = check_for_crash(instance.clone(), choice.clone());
            let check = task::spawn(check);
            self.crash_checks().insert(choice.server.clone(), check);
        }
    }

    /// Waits for the crash check of a server, within a limit, so that a retry knows whether its
    /// request is a suspect.
    pub async fn wait_for_crash_check(&self, server: &ServerId) {
        let check = self.crash_checks().remove(server);
        if let Some(check) = check {
            let _ = async_std::future::timeout(MAX_CRASH_CHECK_WAIT, check).await;
        }
    }

    /// Records that no connection to a backend server could be opened. Only a refused connection
    /// shows that the server's process is gone; one that is merely silent may go on.
    pub fn record_no_connection(&self, instance: &Instance, server: &ServerId, err: &ClientError) {
        let now = instance.clock.now();
        let mut down = self.down_since.lock().expect("down lock poisoned");
        down.entry(server.clone()).or_insert(now);
        drop(down);
        if !matches!(err, ClientError::NotSent(_)) {
            return;
        }
        let strikes = self.table().connection_refused(server, now_ms(instance));
        self.prompts().record_crashes(&strikes, now);
        log_strikes(instance, &strikes);
    }

    /// Records a response of a backend server with this incarnation.
    pub fn record_contact(&self, instance: &Instance, server: &ServerId, incarnation: u64) {
        instance.incarnations.record(server, incarnation);
        self.down_since
            .lock()
            .expect("down lock poisoned")
            .remove(server);
        let now = now_ms(instance);
        let strikes = self.table().record_incarnation(server, incarnation, now);
        self.prompts()
            .record_crashes(&strikes, instance.clock.now());
        log_strikes(instance, &strikes);
    }

    /// Evidence of the last minute, to send to peers.
    #[must_use]
    pub fn recent_evidence(&self, now_ms: u64) -> Vec<Evidence> {
        let oldest =
            now_ms.saturating_sub(u64::try_from(MAX_SHARED_EVIDENCE_AGE.as_millis()).unwrap_or(0));
        let mut evidence = self.table().delta(0).evidence;
        evidence.retain(|entry| entry.at_ms() >= oldest);
        evidence
    }

    /// Merges evidence from a peer.
    pub fn merge(&self, evidence: Vec<Evidence>, now_ms: u64) {
        let delta = QuarantineDelta { evidence, next: 0 };
        self.table().merge(&delta, now_ms);
    }

    /// Evidence of the last minute about beginnings of prompts, to send to peers.
    #[must_use]
    pub fn recent_prompt_evidence(&self, now: Instant) -> Vec<PromptEvidence> {
        self.prompts().recent(now)
    }

    /// Merges evidence from a peer about beginnings of prompts.
    pub fn merge_prompt_evidence(&self, evidence: Vec<PromptEvidence>, now: Instant) {
        self.prompts().merge(evidence, now);
    }

    /// Lifts the quarantine of a fingerprint or of a prompt's beginning; returns true if it was
    /// under quarantine.
    pub fn lift(&self, instance: &Instance, name: &str) -> bool {
        let lifted = self.table().lift(name, now_ms(instance));
        lifted || self.prompts().lift(name, instance.clock.now())
    }

    /// Fingerprints and beginnings of prompts under quarantine.
    #[must_use]
    pub fn rows(&self, instance: &Instance) -> Vec<QuarantineRow> {
        let mut rows = self.table().rows(now_ms(instance));
        rows.extend(self.prompts().rows(instance.clock.now()));
        rows
    }

    fn crash_checks(&self) -> MutexGuard<'_, HashMap<ServerId, JoinHandle<()>>> {
        self.crash_checks.lock().expect("crash check lock poisoned")
    }

    fn prompts(&self) -> MutexGuard<'_, PromptCauses> {
        self.prompts.lock().expect("prompt lock poisoned")
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("quarantine lock poisoned")
    }
}

/// Probes a server whose connection broke, once after each delay, until it responds or refuses a
/// connection.
async fn check_for_crash(instance: Arc<Instance>, choice: SelectedServer) {
    for pause in CRASH_CHECK_DELAYS {
        task::sleep(pause).await;
        let checkout = instance
            .client
            .checkout(&choice.addr, Reuse::Never, CRASH_CHECK_TIMEOUT);
        match checkout.await {
            Ok(conn) => {
                let probed = probe_incarnation(&instance, &conn, &choice.addr).await;
                if let Ok(incarnation @ 1..) = probed {
                    instance
                        .quarantine
                        .record_contact(&instance, &choice.server, incarnation);
                    return;
                }
            }
            Err(err) => {
                instance
                    .quarantine
                    .record_no_connection(&instance, &choice.server, &err);
                if matches!(err, ClientError::NotSent(_)) {
                    return;
                }
            }
        }
    }
}

fn log_strikes(instance: &Instance, strikes: &[Crash]) {
    for strike in strikes {
        let text = format!(
            "request fingerprint {}, server {}",
            strike.fingerprint, strike.server
        );
        instance.event_log.warn(&events::STRIKE, text);
    }
}

fn now_ms(instance: &Instance) -> u64 {
    unix_ms(instance.clock.wall_time())
}
