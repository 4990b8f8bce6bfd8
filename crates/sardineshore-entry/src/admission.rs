//! Admission control for requests: the I/O around [`sardineshore_core::AdmissionController`].
//!
//! [`admit`] lets a request run, queues it or rejects it; [`expire_queued`] rejects requests that
//! waited too long.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use sardineshore_core::event::routing;
use sardineshore_core::{
    AdmissionDecision, AdmissionRequest, Completion, DequeueOutcome, NotRunReason, Ticket,
};

use crate::instance::Instance;
use crate::job::Job;

/// Time between two checks for queued requests that waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Permission for one request to run or to wait in the queue; dropping it releases the place.
#[derive(Debug)]
pub struct AdmissionPermit<'a> {
    instance: &'a Instance,
    ticket: Ticket,
    started: Instant,
    completion: Completion,
}

impl AdmissionPermit<'_> {
    /// Ends the permit and reports the completion of the request to admission control: whether the
    /// answer was in time, and the time that the request takes on backend servers.
    pub fn finish(mut self, in_time: bool, service: Duration) {
        let latency = self.instance.clock.now().duration_since(self.started);
        self.completion = Completion {
            in_time,
            latency,
            service,
        };
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let now = self.instance.clock.now();
        let mut table = self.instance.tables.admission();
        table.waiters.remove(self.ticket);
        let released = table.admission.finish(self.ticket, &self.completion, now);
        table.wake(released);
    }
}

/// Waits until the request may run; fails with the reason if admission control rejects it.
pub async fn admit<'a>(
    instance: &'a Instance,
    job: &Job,
) -> Result<AdmissionPermit<'a>, NotRunReason> {
    let now = instance.clock.now();
    let offer = offer(instance, job, now);
    let (tx, rx) = oneshot::channel();
    let verdict = {
        let mut table = instance.tables.admission();
        let offered = table.admission.submit(offer, now);
        if let AdmissionDecision::Queued(ticket) = offered.decision {
            table.waiters.insert(ticket, tx);
        }
        table.wake(offered.dequeued);
        offered.decision
    };
    let permit = |ticket| AdmissionPermit {
        instance,
        ticket,
        started: now,
        completion: Completion::default(),
    };
    match verdict {
        AdmissionDecision::Admitted(ticket) => Ok(permit(ticket)),
        AdmissionDecision::Refused(reason) => {
            log_shed(instance, job, reason);
            Err(reason)
        }
        AdmissionDecision::Queued(ticket) => {
            let mut permit = permit(ticket);
            let queued = &routing::REQUEST_QUEUED;
            instance.event_log.record_request(&job.request, queued, "");
            match rx.await {
                Ok(DequeueOutcome::Admitted) => {
                    permit.started = instance.clock.now();
                    Ok(permit)
                }
                Ok(DequeueOutcome::Refused(reason)) => {
                    log_shed(instance, job, reason);
                    Err(reason)
                }
                Err(_) => Err(NotRunReason::Overloaded),
            }
        }
    }
}

fn log_shed(instance: &Instance, job: &Job, reason: NotRunReason) {
    let text = format!("{reason:?}");
    let shed = &routing::REQUEST_SHED;
    instance.event_log.record_request(&job.request, shed, text);
}

/// Periodically rejects requests that waited too long in the queue; never returns.
pub async fn expire_queued(instance: &Instance) {
    loop {
        async_std::task::sleep(EXPIRY_INTERVAL).await;
        let now = instance.clock.now();
        let mut table = instance.tables.admission();
        let released = table.admission.remove_expired(now);
        table.wake(released);
        instance.metrics.policy.set_queued(table.admission.queued());
    }
}

/// Expected time on backend servers for all stages of a request, from the router's observations.
#[must_use]
pub fn expected_service_time(instance: &Instance, job: &Job) -> Duration {
    let router = instance.tables.router();
    job.pipeline
        .stages
        .iter()
        .filter_map(|stage| router.usual_service_time(&stage.pool))
        .sum()
}

/// Builds the request's offer to admission control. The cost estimate is limited to half of the
/// remaining time, so that it never causes the rejection of a request that has just arrived.
fn offer(instance: &Instance, job: &Job, now: Instant) -> AdmissionRequest {
    let deployment = instance.tables.deployment();
    let weight = deployment
        .customers
        .get(&job.customer)
        .map_or(1.0, |known| known.weight);
    AdmissionRequest {
        request: job.request.clone(),
        customer: job.customer.clone(),
        pipeline: job.pipeline.name.clone(),
        weight,
        deadline: job.deadline,
        cost_estimate: expected_service_time(instance, job).min(job.remaining(now) / 2),
    }
}
