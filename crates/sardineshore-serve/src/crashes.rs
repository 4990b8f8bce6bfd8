//! Learns which requests crash servers, and shares the evidence with the other instances.
//!
//! When a connection is lost before a request got output, a probe tells whether the server still
//! listens. [`Quarantine`] decides what follows from a crash. The evidence lies in the store, where
//! it outlives the instances: each one writes a few rows of its own in turn and reads all of them.
//! It also travels over the links that are open between instances, so that it arrives while the
//! store is away.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::quarantine::{
    CrashReport, Evidence, Feature, Quarantine, Refusal, Trial,
};
use sardineshore_core::flow::selection::SelectedServer;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::dialect::{StoreRow, StoreVersion, Table};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::state::{SharedState, whole_ms};
use crate::store::{Store, StoreError};
use crate::upstream::{ConnectionPool, ExchangeError};

/// Delay before the probe, in which the operating system closes the sockets of a crashed process.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Longest time to open the probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before evidence is written, so that one write carries all suspects of a crash.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Delay before received evidence is applied, so that the evidence of many instances about many
/// crashes is applied together.
const RECEIVE_DELAY: Duration = Duration::from_millis(5);
/// Longest delay before an instance writes that features are sound; instances choose it at random,
/// so that the others need not write the same.
const MAX_SOUND_DELAY: Duration = Duration::from_millis(200);
/// Back-off after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of rows of one instance; a new one replaces the oldest.
const OWN_ROWS: u64 = 16;
/// Maximum number of pieces of evidence in one row.
const MAX_EVIDENCE_PER_ROW: usize = 256;
/// Maximum number of pieces of evidence that wait to be written; further ones are dropped.
const MAX_UNWRITTEN: usize = 4096;

/// Row that all instances write, with the trials that have brought no output. As each writer must
/// have read the row as it is, no two instances send a trial without knowing of the other's.
const TRIALS_KEY: &str = "trials";
/// Longest time to claim a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Evidence about crashes that this instance has, and its exchange with the others.
#[derive(Debug)]
pub struct CrashMonitor {
    instance: Name,
    quarantine: RefCell<Quarantine>,
    state: Rc<SharedState>,
    connections: Rc<ConnectionPool>,
    store: Rc<Store>,
    peers: Rc<Peers>,
    metrics: Rc<Metrics>,
    log: Logger,
    /// Suspects of each server that is being probed.
    probed: RefCell<HashMap<Name, Vec<Vec<Feature>>>>,
    probe_ended: Notify,
    unwritten: RefCell<Vec<Evidence>>,
    to_write: Notify,
    /// Whether a task waits to share features that are sound.
    sound_pending: Cell<bool>,
    next_row: Cell<u64>,
    /// Evidence in rows that were written and not read back yet, by their keys.
    unread: RefCell<HashMap<Name, Vec<Evidence>>>,
    /// Whether a request claims a trial.
    claiming: Cell<bool>,
    /// Time before which no trial is claimed, after a claim that failed.
    next_claim_at: Cell<Option<Instant>>,
    /// Version of the newest row of this instance.
    own_version: Cell<StoreVersion>,
    weak: Weak<Self>,
}

impl CrashMonitor {
    /// Creates a monitor without evidence.
    #[must_use]
    pub fn new(
        state: Rc<SharedState>,
        connections: Rc<ConnectionPool>,
        store: Rc<Store>,
        peers: Rc<Peers>,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak| Self {
            instance: peers.this_instance().name.clone(),
            quarantine: RefCell::default(),
            state,
            connections,
            store,
            peers,
            metrics,
            log,
            probed: RefCell::default(),
            probe_ended: Notify::new(),
            unwritten: RefCell::default(),
            to_write: Notify::new(),
            sound_pending: Cell::new(false),
            next_row: Cell::new(0),
            unread: RefCell::default(),
            claiming: Cell::new(false),
            next_claim_at: Cell::default(),
            own_version: Cell::default(),
            weak: weak.clone(),
        })
    }

    /// Whether requests with these features are refused, and until when.
    #[must_use]
    pub fn refusal(&self, features: &[Feature]) -> Option<Refusal> {
        self.quarantine.borrow().refusal(features, Instant::now())
    }

    /// Whether a request with these features, which would be refused otherwise, may claim a trial.
    #[must_use]
    pub fn is_trial_due(&self, features: &[Feature]) -> bool {
        let now = Instant::now();
        let is_held_back = self.claiming.get() || self.next_claim_at.get() > Some(now);
        let refusal = self.quarantine.borrow().refusal(features, now);
        !is_held_back && refusal.is_some_and(|refusal| refusal.trial_due)
    }

    /// Claims a trial for a request that is about to be sent; returns its id if the request may be sent
    /// although its like are quarantined. Without the store there are no trials.
    pub async fn claim_trial(&self, request: &str, features: &[Feature]) -> Option<u64> {
        if !self.is_trial_due(features) {
            return None;
        }
        let _claim = TrialClaim::begin(&self.claiming);
        let write = self.write_trial(request, features);
        let written = tokio::time::timeout(CLAIM_TIMEOUT, write).await;
        let claimed = match written.unwrap_or(Err(StoreError::Timeout)) {
            Ok(claimed) => claimed,
            Err(error) => {
                self.next_claim_at
                    .set(Some(Instant::now() + WRITE_RETRY_DELAY));
                info!(self.log, "can't claim a trial of quarantined requests"; "request" => request, "fault" => error.to_string());
                None
            }
        };
        if claimed.is_some() {
            self.metrics.quarantine_trials.inc();
        }
        claimed
    }

    /// Records that servers turned a trial away.
    pub fn record_trial_not_run(&self, id: u64) {
        let trial = self.quarantine.borrow().trial(id).cloned();
        if let Some(trial) = trial {
            let not_run = true;
            self.report(vec![Evidence::Trial(Trial { not_run, ..trial })]);
        }
    }

    /// Writes a trial to the store if it is still due after those that the store has; returns its id.
    async fn write_trial(
        &self,
        request: &str,
        features: &[Feature],
    ) -> Result<Option<u64>, StoreError> {
        let dialect = self.store.dialect();
        let call = dialect.read_row_call(Table::Crashes, TRIALS_KEY);
        let mut rows = self.store.read_page(call).await?.rows;
        rows.retain(|row| *row.key == *TRIALS_KEY);
        self.apply_rows(&rows);
        let version = rows.first().map_or(0, |row| row.version.number);
        let (trial, mut trials) = {
            let quarantine = self.quarantine.borrow();
            let trial = quarantine.due_trial(rand::rng().random(), features, Instant::now());
            (trial, quarantine.open_trials())
        };
        let Some(trial) = trial else {
            return Ok(None);
        };
        let id = trial.id;
        trials.push(trial.clone());
        let row: Vec<Evidence> = trials.into_iter().map(Evidence::Trial).collect();
        let value = postcard::to_stdvec(&row).map_err(StoreError::Encode)?;
        let call = dialect.replace_row_call(Table::Crashes, TRIALS_KEY, &value, version, &[]);
        self.store.write(call).await?;
        info!(self.log, "trial of quarantined requests"; "request" => request, "features" => ?trial.tested);
        let news = self.apply(vec![Evidence::Trial(trial)]);
        self.peers.broadcast_evidence(news);
        Ok(Some(id))
    }

    /// Records that a request with these features got output that shows it to be sound.
    pub fn record_output(&self, features: &[Feature]) {
        let now = Instant::now();
        self.quarantine.borrow_mut().record_output(features, now);
        self.share_sound_features();
    }

    /// Finds out whether a server crashed that lost the connection of a request sent at `sent_at`.
    /// Waits for the result if it may decide whether the request is sent again.
    pub async fn record_lost(
        &self,
        server: &SelectedServer,
        features: &[Feature],
        sent_at: Instant,
    ) {
        // The operators may switch the servers of such a domain off.
        let is_closed = {
            let selector = self.state.selector.borrow();
            (selector.evacuations()).is_closed(&server.domain, Instant::now())
        };
        if is_closed {
            return;
        }
        let suspect = {
            let quarantine = self.quarantine.borrow();
            quarantine.suspect_features(features, sent_at)
        };
        self.start_probe(server, suspect);
        if !self.is_suspect(features) {
            return;
        }
        loop {
            let ended = self.probe_ended.notified();
            if !self.probed.borrow().contains_key(&server.id) {
                return;
            }
            ended.await;
        }
    }

    /// Whether a crash of one of the servers that are being probed may decide about a request.
    fn is_suspect(&self, features: &[Feature]) -> bool {
        let probed = self.probed.borrow();
        let has = |suspects: &&Vec<Vec<Feature>>, feature| {
            suspects.iter().flatten().any(|f| *f == feature)
        };
        let unconfirmed = |feature| {
            probed
                .values()
                .filter(|suspects| has(suspects, feature))
                .count()
        };
        self.quarantine.borrow().is_suspect(features, unconfirmed)
    }

    /// Adds a suspect to the probe of a server, and starts the probe if there is none.
    fn start_probe(&self, server: &SelectedServer, suspect: Vec<Feature>) {
        let mut probed = self.probed.borrow_mut();
        if let Some(suspects) = probed.get_mut(&server.id) {
            suspects.push(suspect);
        } else if let Some(monitor) = self.weak.upgrade() {
            probed.insert(server.id.clone(), vec![suspect]);
            let server = server.clone();
            tokio::task::spawn_local(async move { monitor.probe(server).await });
        }
    }

    /// Probes a server. If it refuses connections though it should accept work, it has crashed.
    async fn probe(&self, server: SelectedServer) {
        tokio::time::sleep(PROBE_DELAY).await;
        let connecting = self.connections.connect_new(server.address, PROBE_TIMEOUT);
        let refused = match connecting.await {
            Err(ExchangeError::Connect(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(_) | Err(_) => false,
        };
        let suspects = self.probed.borrow_mut().remove(&server.id);
        let now = Instant::now();
        let started_ms = self.state.selector.borrow().started_ms(&server.id, now);
        if let Some(started_ms) = started_ms.filter(|_| refused) {
            self.metrics.crashes.inc();
            let suspects = suspects.unwrap_or_default();
            info!(self.log, "server crashed"; "server" => &*server.id, "suspects" => suspects.len());
            let reports = suspects.into_iter().filter(|features| !features.is_empty());
            let evidence = reports.map(|features| {
                Evidence::Crashed(CrashReport {
                    server: server.id.clone(),
                    started_ms,
                    features,
                })
            });
            self.report(evidence.collect());
        }
        self.probe_ended.notify_waiters();
    }

    /// Applies evidence of this instance, sends it to others and queues it to be written.
    fn report(&self, evidence: Vec<Evidence>) {
        let news = self.apply(evidence);
        if news.is_empty() {
            return;
        }
        self.peers.broadcast_evidence(news.clone());
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.len() + news.len() <= MAX_UNWRITTEN {
            unwritten.extend(news);
        } else {
            warn!(self.log, "evidence about a crash is not written"; "unwritten" => unwritten.len());
        }
        self.to_write.notify_one();
    }

    /// Applies evidence of any instance; returns what was news.
    fn apply(&self, mut evidence: Vec<Evidence>) -> Vec<Evidence> {
        let mut quarantine = self.quarantine.borrow_mut();
        let before = quarantine.causes().to_vec();
        let now = Instant::now();
        let is_start = !self.state.crashes_known.get();
        evidence.retain(|piece| {
            if is_start {
                quarantine.apply_earlier(piece, now)
            } else {
                quarantine.apply(piece, now)
            }
        });
        for cause in quarantine.causes().iter().filter(|c| !before.contains(c)) {
            let left = cause.until.saturating_duration_since(now);
            warn!(self.log, "requests are quarantined"; "features" => ?cause.features, "crashes" => cause.crashes, "ms" => whole_ms(left));
        }
        let causes = i64::try_from(quarantine.causes().len()).unwrap_or(i64::MAX);
        self.metrics.crash_causes.set(causes);
        drop(quarantine);
        if !evidence.is_empty() {
            self.share_sound_features();
        }
        evidence
    }

    /// Tells the other instances of features that they refuse and that this one knows to be sound.
    fn share_sound_features(&self) {
        let features = self.quarantine.borrow().unshared_sound_features();
        if self.sound_pending.get() || features.is_empty() {
            return;
        }
        let Some(monitor) = self.weak.upgrade() else {
            return;
        };
        self.sound_pending.set(true);
        let delay = MAX_SOUND_DELAY.mul_f64(rand::rng().random());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            let features = monitor.quarantine.borrow().unshared_sound_features();
            if !features.is_empty() {
                info!(monitor.log, "requests are not quarantined any more"; "features" => ?features);
                monitor.report(features.into_iter().map(Evidence::Sound).collect());
            }
            monitor.sound_pending.set(false);
        });
    }

    /// Applies evidence that other instances send and hands on what is news, forever.
    pub async fn receive_evidence(self: Rc<Self>) {
        let Some(mut received) = self.peers.take_evidence() else {
            return;
        };
        while let Some(mut evidence) = received.recv().await {
            tokio::time::sleep(RECEIVE_DELAY).await;
            while let Ok(more) = received.try_recv() {
                evidence.extend(more);
            }
            let news = self.apply(evidence);
            if !news.is_empty() {
                self.peers.broadcast_evidence(news);
            }
        }
    }

    /// Writes evidence of this instance to the store, forever.
    pub async fn share_evidence(self: Rc<Self>) {
        loop {
            self.to_write.notified().await;
            tokio::time::sleep(WRITE_DELAY).await;
            while !self.unwritten.borrow().is_empty() {
                self.write_row().await;
            }
        }
    }

    /// Writes a row of evidence; on an error the evidence stays queued.
    async fn write_row(&self) {
        let evidence: Vec<Evidence> = {
            let mut unwritten = self.unwritten.borrow_mut();
            let count = unwritten.len().min(MAX_EVIDENCE_PER_ROW);
            unwritten.drain(..count).collect()
        };
        let value = match postcard::to_stdvec(&evidence) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "can't encode evidence about crashes"; "fault" => error.to_string());
                return;
            }
        };
        let key = format!("{}/{}", self.instance, self.next_row.get());
        match self.store.put(Table::Crashes, &key, &value).await {
            Ok(()) => {
                self.unread.borrow_mut().insert(key.into(), evidence);
                self.next_row.set((self.next_row.get() + 1) % OWN_ROWS);
            }
            Err(error) => {
                info!(self.log, "can't write evidence about crashes; retrying"; "fault" => error.to_string());
                self.unwritten.borrow_mut().splice(0..0, evidence);
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
            }
        }
    }

    /// Applies rows of the store, written by any instance.
    pub fn apply_rows(&self, rows: &[StoreRow]) {
        let mut rows: Vec<&StoreRow> = rows.iter().collect();
        rows.sort_by_key(|row| row.version);
        for row in rows {
            let Some(value) = &row.value else { continue };
            self.skip_own_row(row);
            match postcard::from_bytes::<Vec<Evidence>>(value) {
                Ok(evidence) => {
                    self.apply(evidence);
                }
                Err(error) => {
                    warn!(self.log, "can't decode evidence about crashes"; "row" => &*row.key, "fault" => error.to_string());
                }
            }
        }
    }

    /// Writes evidence of this instance again that the store may have lost, given the rows that it
    /// lacks.
    pub fn rewrite(&self, lost: &[(Name, Arc<[u8]>)]) {
        let is_own = |key: &str| (key.rsplit_once('/')).is_some_and(|(i, _)| *i == *self.instance);
        let own = lost
            .iter()
            .filter(|(key, _)| is_own(key) || **key == *TRIALS_KEY);
        let evidence =
            own.filter_map(|(_, value)| postcard::from_bytes::<Vec<Evidence>>(value).ok());
        let mut evidence: Vec<Evidence> = evidence.flatten().collect();
        evidence.extend(self.unread.take().into_values().flatten());
        if !evidence.is_empty() {
            self.unwritten.borrow_mut().extend(evidence);
            self.to_write.notify_one();
        }
    }

    /// Writes on after the newest row of this instance, which may be that of an earlier process.
    fn skip_own_row(&self, row: &StoreRow) {
        let Some((instance, number)) = row.key.rsplit_once('/') else {
            return;
        };
        if *instance == *self.instance && row.version > self.own_version.get() {
            self.unread.borrow_mut().remove(&row.key);
            self.own_version.set(row.version);
            let number: u64 = number.parse().unwrap_or_default();
            self.next_row.set((number + 1) % OWN_ROWS);
        }
    }
}

/// Holds back other claims of this instance until it is dropped.
#[derive(Debug)]
struct TrialClaim<'a>(&'a Cell<bool>);

impl<'a> TrialClaim<'a> {
    fn begin(claiming: &'a Cell<bool>) -> Self {
        claiming.set(true);
        Self(claiming)
    }
}

impl Drop for TrialClaim<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
