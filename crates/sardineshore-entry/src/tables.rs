//! State that all requests of an instance share, behind locks.
//!
//! Lock order: the state of [`config`](crate::config), deployment, admission, router, retries,
//! timing, totals. No lock is held across an `await`.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use futures::channel::oneshot;
use sardineshore_core::{
    AdmissionConfig, AdmissionController, Deployment, DequeueOutcome, DequeuedRequest, Objective,
    RetryConfig, RetryController, Router, ServerId, Ticket,
};
use slotmap::SecondaryMap;

use crate::timing::StageTiming;
use crate::totals::Totals;

/// Admission control and the requests in its queue.
#[derive(Debug)]
pub struct AdmissionTable {
    /// Admission control.
    pub admission: AdmissionController,
    /// Channel of each queued request, on which it receives its release.
    pub waiters: SecondaryMap<Ticket, oneshot::Sender<DequeueOutcome>>,
}

impl AdmissionTable {
    /// Sends the released requests their results.
    pub fn wake(&mut self, released: Vec<DequeuedRequest>) {
        for DequeuedRequest {
            ticket, outcome, ..
        } in released
        {
            if let Some(tx) = self.waiters.remove(ticket) {
                let _ = tx.send(outcome);
            }
        }
    }
}

/// Shared tables of one instance.
#[derive(Debug)]
pub struct Tables {
    deployment: RwLock<Arc<Deployment>>,
    admission: Mutex<AdmissionTable>,
    router: Mutex<Router>,
    retries: Mutex<RetryController>,
    timing: Mutex<StageTiming>,
    totals: Mutex<Totals>,
}

impl Tables {
    /// Creates tables around a router, with an empty deployment.
    #[must_use]
    pub fn new(router: Router, admission: AdmissionConfig, retries: RetryConfig) -> Self {
        let admission = AdmissionController::new(admission);
        Self {
            deployment: RwLock::default(),
            admission: Mutex::new(AdmissionTable {
                admission,
                waiters: SecondaryMap::new(),
            }),
            retries: Mutex::new(RetryController::new(retries, Objective::default())),
            router: Mutex::new(router),
            timing: Mutex::default(),
            totals: Mutex::default(),
        }
    }

    /// The active deployment.
    #[must_use]
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment
            .read()
            .expect("deployment lock poisoned")
            .clone()
    }

    /// Activates a deployment, with the backend servers that the instance list reports as leaving.
    pub fn activate(&self, deployment: Arc<Deployment>, leaving: &BTreeSet<ServerId>) {
        let mut current = self.deployment.write().expect("deployment lock poisoned");
        self.router().update_servers(&deployment, leaving);
        self.retries().set_objective(deployment.objective);
        *current = deployment;
    }

    /// Locks admission control.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionTable> {
        self.admission.lock().expect("admission lock poisoned")
    }

    /// Locks the retry budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryController> {
        self.retries.lock().expect("retries lock poisoned")
    }

    /// Locks the observed stage latencies.
    pub fn timing(&self) -> MutexGuard<'_, StageTiming> {
        self.timing.lock().expect("timing lock poisoned")
    }

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().expect("router lock poisoned")
    }

    /// Locks the totals.
    pub fn totals(&self) -> MutexGuard<'_, Totals> {
        self.totals.lock().expect("totals lock poisoned")
    }
}
