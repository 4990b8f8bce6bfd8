//! Quarantine of requests that crash backend servers: I/O around the core's decisions.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use sardineshore_core::clock::unix_ms;
use sardineshore_core::event::claim as events;
use sardineshore_core::quarantine::{
    CallEnd, Evidence, Hold, Quarantine, QuarantineDelta, Standing, Strike,
};
use sardineshore_core::{AttemptResult, Choice, QuarantineRow, ServerId};
use sardineshore_wire::http::{ClientError, Reuse};

use crate::claims::incarnations::probe;
use crate::dispatch::Attempted;
use crate::instance::Instance;
use crate::job::Job;

/// Pauses before a server whose connection broke is looked after.
const LOOK_AFTER: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Age up to which evidence is told to peers.
const TOLD_AGE: Duration = Duration::from_secs(60);

/// The quarantine of one instance.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    quarantine: Mutex<Quarantine>,
}

impl QuarantineTable {
    /// Whether a request is refused at present.
    pub fn refuses(&self, instance: &Instance, job: &Job) -> bool {
        let standing = self.table().standing(&job.fingerprint, now_ms(instance));
        matches!(standing, Standing::Quarantined { .. })
    }

    /// Asks to send a call; called at the last moment before it.
    pub fn begin(
        &self,
        instance: &Instance,
        job: &Job,
        server: &ServerId,
    ) -> Result<(), Attempted> {
        let begun = self
            .table()
            .begin(&job.fingerprint, server, now_ms(instance));
        begun.map_err(|hold| Attempted::NotRun {
            detail: match hold {
                Hold::SuspectRunning => "another suspect runs on the backend server".into(),
                Hold::Quarantined => "the request is quarantined".into(),
            },
        })
    }

    /// Ends a call that was begun.
    pub fn end(&self, instance: &Instance, job: &Job, server: &ServerId, end: CallEnd) {
        let now = now_ms(instance);
        self.table().end(&job.fingerprint, server, end, now);
    }

    /// Ends a call by its result; after a broken connection the server is looked after.
    pub fn ended(
        &self,
        instance: &Arc<Instance>,
        job: &Job,
        choice: &Choice,
        result: AttemptResult,
    ) {
        let end = match result {
            AttemptResult::Answered => CallEnd::Answered,
            AttemptResult::Lost => CallEnd::Broken {
                incarnation: instance.incarnations.of(&choice.server),
            },
            _ => CallEnd::Abandoned,
        };
        self.end(instance, job, &choice.server, end);
        if matches!(end, CallEnd::Broken { .. }) {
            task::spawn(look_after(instance.clone(), choice.clone()));
        }
    }

    /// A backend server refused a connection.
    pub fn refused(&self, instance: &Instance, server: &ServerId) {
        let strikes = self.table().server_refused(server, now_ms(instance));
        report(instance, &strikes);
    }

    /// A backend server was heard.
    pub fn seen(&self, instance: &Instance, server: &ServerId, incarnation: u64) {
        let now = now_ms(instance);
        let strikes = self.table().server_seen(server, incarnation, now);
        report(instance, &strikes);
    }

    /// Evidence of the last minute, for peers.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Evidence> {
        let oldest = now_ms.saturating_sub(u64::try_from(TOLD_AGE.as_millis()).unwrap_or(0));
        let mut evidence = self.table().delta(0).evidence;
        evidence.retain(|entry| entry.at_ms() >= oldest);
        evidence
    }

    /// Takes evidence of a peer.
    pub fn merge(&self, evidence: Vec<Evidence>, now_ms: u64) {
        let delta = QuarantineDelta { evidence, next: 0 };
        self.table().merge(&delta, now_ms);
    }

    /// Lifts the quarantine of a fingerprint; returns whether it was under quarantine.
    pub fn lift(&self, fingerprint: &str, now_ms: u64) -> bool {
        self.table().lift(fingerprint, now_ms)
    }

    /// Fingerprints under quarantine.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<QuarantineRow> {
        self.table().rows(now_ms)
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("quarantine lock poisoned")
    }
}

/// Finds out whether a server whose connection broke has crashed.
async fn look_after(instance: Arc<Instance>, choice: Choice) {
    for pause in LOOK_AFTER {
        task::sleep(pause).await;
        let checkout = instance
            .client
            .checkout(&choice.addr, Reuse::Never, LOOK_TIMEOUT);
        match checkout.await {
            Ok(conn) => {
                let incarnation = probe(&instance, &conn, &choice.addr).await;
                if incarnation != 0 {
                    instance
                        .quarantine
                        .seen(&instance, &choice.server, incarnation);
                    return;
                }
            }
            Err(ClientError::NotSent(_)) => {
                instance.quarantine.refused(&instance, &choice.server);
                return;
            }
            Err(_) => {}
        }
    }
}

fn report(instance: &Instance, strikes: &[Strike]) {
    for strike in strikes {
        let text = format!("{} on {}", strike.fingerprint, strike.server);
        instance.journal.alarm(&events::STRIKE, text);
    }
}

fn now_ms(instance: &Instance) -> u64 {
    unix_ms(instance.clock.wall())
}
