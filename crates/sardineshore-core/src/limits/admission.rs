//! Admission of requests to one entry instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::fair_queue::Waiting;
use super::pipeline::PipelineLimiter;
use super::{
    AdmissionDecision, AdmissionRequest, AdmissionResponse, Completion, DequeueOutcome,
    DequeuedRequest, Ticket,
};
use crate::{NotRunReason, PipelineId};

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Most requests that run at once, of all pipelines.
    pub max_running: usize,
    /// Requests of one pipeline that may run at once before anything was observed.
    pub initial_limit: f64,
    /// Least limit of the requests of one pipeline that run at once.
    pub min_limit: f64,
    /// Most requests that wait, of all pipelines and customers.
    pub max_queued: usize,
    /// Most requests of one customer that wait for one pipeline.
    pub max_queued_per_customer: usize,
    /// Multiple of its time on backend servers that a request may take before fewer are run.
    pub max_latency_ratio: f64,
    /// Share of a request's spare time that it may be expected to wait.
    pub max_wait_share: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_running: 1024,
            initial_limit: 16.0,
            min_limit: 2.0,
            max_queued: 1024,
            max_queued_per_customer: 256,
            max_latency_ratio: 2.0,
            max_wait_share: 0.5,
        }
    }
}

#[derive(Debug)]
struct Entry {
    request: AdmissionRequest,
    running: bool,
}

/// Admission of requests to one entry instance.
#[derive(Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    entries: SlotMap<Ticket, Entry>,
    gates: BTreeMap<PipelineId, PipelineLimiter>,
    running: usize,
    queued: usize,
}

impl AdmissionController {
    /// Makes an admission without requests.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            entries: SlotMap::with_key(),
            gates: BTreeMap::new(),
            running: 0,
            queued: 0,
        }
    }

    /// Offers a request.
    ///
    /// It runs at once if its pipeline's limit and its customer's turn allow it. It is refused if
    /// it can't finish in time or if the queues are full; a request of a customer with a longer
    /// line, for its weight, is refused in its place.
    pub fn submit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionResponse {
        if let Some(reason) = self.objection(&request, now) {
            return AdmissionResponse {
                decision: AdmissionDecision::Refused(reason),
                dequeued: Vec::new(),
            };
        }
        if self.runs_at_once(&request.pipeline) {
            return AdmissionResponse {
                decision: AdmissionDecision::Admitted(self.run(request)),
                dequeued: Vec::new(),
            };
        }
        let mut dequeued = Vec::new();
        if self.queued >= self.cfg.max_queued {
            let Some(shed) = self.shed_longest(&request) else {
                return AdmissionResponse {
                    decision: AdmissionDecision::Refused(NotRunReason::Overloaded),
                    dequeued,
                };
            };
            dequeued.push(shed);
        }
        AdmissionResponse {
            decision: AdmissionDecision::Queued(self.enqueue(request)),
            dequeued,
        }
    }

    /// Ends a request that ran, or withdraws one that waits; an unknown ticket has no effect.
    ///
    /// The releases are those of other requests.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        end: &Completion,
        now: Instant,
    ) -> Vec<DequeuedRequest> {
        let Some(entry) = self.entries.remove(ticket) else {
            return Vec::new();
        };
        let gate = gate(&mut self.gates, &entry.request.pipeline, &self.cfg);
        if entry.running {
            self.running -= 1;
            gate.finished(end, &self.cfg, now);
        } else {
            self.queued -= 1;
            gate.queue.remove(&entry.request.customer, ticket);
        }
        self.release(now)
    }

    /// Refuses waiting requests that can't finish in time any more; to be called periodically.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let late: Vec<Ticket> = self
            .gates
            .values()
            .flat_map(|gate| gate.queue.tickets().map(move |ticket| (gate, ticket)))
            .filter(|(gate, ticket)| late(&self.entries[*ticket].request, gate, now))
            .map(|(_, ticket)| ticket)
            .collect();
        late.into_iter()
            .map(|ticket| self.refuse(ticket, NotRunReason::Overloaded))
            .collect()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Limit of a pipeline's requests that run at once, if it was ever asked for.
    #[must_use]
    pub fn limit(&self, pipeline: &str) -> Option<f64> {
        self.gates.get(pipeline).map(PipelineLimiter::limit)
    }

    fn objection(&mut self, request: &AdmissionRequest, now: Instant) -> Option<NotRunReason> {
        if now + request.cost_estimate > request.deadline {
            return Some(NotRunReason::DeadlineUnreachable);
        }
        if self.runs_at_once(&request.pipeline) {
            return None;
        }
        let gate = gate(&mut self.gates, &request.pipeline, &self.cfg);
        let full = gate.queue.len_of(&request.customer) >= self.cfg.max_queued_per_customer;
        let spare = request
            .deadline
            .saturating_duration_since(now + gate.needed(request));
        let too_long = gate.wait(request) > spare.mul_f64(self.cfg.max_wait_share);
        (full || too_long).then_some(NotRunReason::Overloaded)
    }

    fn runs_at_once(&mut self, pipeline: &PipelineId) -> bool {
        let gate = gate(&mut self.gates, pipeline, &self.cfg);
        gate.open() && gate.queue.len() == 0 && self.running < self.cfg.max_running
    }

    fn run(&mut self, request: AdmissionRequest) -> Ticket {
        let gate = gate(&mut self.gates, &request.pipeline, &self.cfg);
        gate.queue
            .charge(&request.customer, request.weight, cost(&request));
        gate.running += 1;
        self.running += 1;
        self.entries.insert(Entry {
            request,
            running: true,
        })
    }

    fn shed_longest(&mut self, request: &AdmissionRequest) -> Option<DequeuedRequest> {
        let gate = gate(&mut self.gates, &request.pipeline, &self.cfg);
        let ticket = gate.queue.pop_longest(&request.customer, request.weight)?;
        Some(self.refuse(ticket, NotRunReason::Overloaded))
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> Ticket {
        let customer = request.customer.clone();
        let weight = request.weight;
        let cost = cost(&request);
        let gate = gate(&mut self.gates, &request.pipeline, &self.cfg);
        let ticket = self.entries.insert(Entry {
            request,
            running: false,
        });
        gate.queue.push(&customer, weight, Waiting { ticket, cost });
        self.queued += 1;
        ticket
    }

    fn release(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let mut released = Vec::new();
        for gate in self.gates.values_mut() {
            while gate.open() && self.running < self.cfg.max_running {
                let Some(ticket) = gate.queue.pop() else {
                    break;
                };
                self.queued -= 1;
                let entry = &mut self.entries[ticket];
                let request = entry.request.request.clone();
                let outcome = if late(&entry.request, gate, now) {
                    gate.queue
                        .refund(&entry.request.customer, cost(&entry.request));
                    self.entries.remove(ticket);
                    DequeueOutcome::Refused(NotRunReason::Overloaded)
                } else {
                    entry.running = true;
                    gate.running += 1;
                    self.running += 1;
                    DequeueOutcome::Admitted
                };
                released.push(DequeuedRequest {
                    ticket,
                    request,
                    outcome,
                });
            }
        }
        released
    }

    /// Voids the ticket of a waiting request.
    fn refuse(&mut self, ticket: Ticket, reason: NotRunReason) -> DequeuedRequest {
        let entry = self.entries.remove(ticket).expect("the ticket waits");
        if let Some(gate) = self.gates.get_mut(&entry.request.pipeline) {
            gate.queue.remove(&entry.request.customer, ticket);
        }
        self.queued -= 1;
        DequeuedRequest {
            ticket,
            request: entry.request.request,
            outcome: DequeueOutcome::Refused(reason),
        }
    }
}

fn gate<'a>(
    gates: &'a mut BTreeMap<PipelineId, PipelineLimiter>,
    pipeline: &PipelineId,
    cfg: &AdmissionConfig,
) -> &'a mut PipelineLimiter {
    gates
        .entry(pipeline.clone())
        .or_insert_with(|| PipelineLimiter::new(cfg))
}

/// Work that a request stands for, in seconds.
fn cost(request: &AdmissionRequest) -> f64 {
    const COST_MIN: Duration = Duration::from_millis(1);
    request.cost_estimate.max(COST_MIN).as_secs_f64()
}

/// Whether a waiting request can't finish in time any more.
fn late(request: &AdmissionRequest, gate: &PipelineLimiter, now: Instant) -> bool {
    now + gate.needed(request) > request.deadline
}
