//! Admission control: decides which requests run, wait or are refused.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::fair_queue::QueuedRequest;
use super::pipeline::PipelineLimiter;
use super::{
    AdmissionDecision, AdmissionRequest, AdmissionResponse, Completion, DequeueOutcome,
    DequeuedRequest, Ticket,
};
use crate::{NotRunReason, PipelineId};

/// Settings of [`AdmissionController`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum number of requests that run concurrently, over all pipelines.
    pub max_running: usize,
    /// Initial limit of the concurrent requests of one pipeline.
    pub initial_limit: f64,
    /// Lower bound of the limit of the concurrent requests of one pipeline.
    pub min_limit: f64,
    /// Maximum number of queued requests, over all pipelines and customers.
    pub max_queued: usize,
    /// Maximum number of queued requests of one customer and one pipeline.
    pub max_queued_per_customer: usize,
    /// Ratio of a request's latency to its service time on backend servers above which the limit of
    /// its pipeline is lowered.
    pub max_latency_ratio: f64,
    /// Maximum expected waiting time of a request, as a share of the time that remains until its
    /// deadline beyond the time that it needs to run.
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

/// Decides which requests run on one entry instance, and queues the rest by pipeline and customer.
#[derive(Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    entries: SlotMap<Ticket, Entry>,
    pipelines: BTreeMap<PipelineId, PipelineLimiter>,
    running: usize,
    queued: usize,
}

impl AdmissionController {
    /// Creates a controller without requests.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            entries: SlotMap::with_key(),
            pipelines: BTreeMap::new(),
            running: 0,
            queued: 0,
        }
    }

    /// Submits a request.
    ///
    /// The request runs at once if the limit of its pipeline allows it and no other request of the
    /// pipeline waits. It is refused if it can't finish in time or if the queues are full. If the
    /// total queue is full but another customer has a longer queue, relative to its weight, the
    /// newest request of that customer is refused instead and is part of the response.
    pub fn submit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionResponse {
        if let Some(reason) = self.refusal_reason(&request, now) {
            return AdmissionResponse {
                decision: AdmissionDecision::Refused(reason),
                dequeued: Vec::new(),
            };
        }
        if self.can_run(&request.pipeline) {
            return AdmissionResponse {
                decision: AdmissionDecision::Admitted(self.start(request)),
                dequeued: Vec::new(),
            };
        }
        let mut dequeued = Vec::new();
        if self.queued >= self.cfg.max_queued {
            let Some(shed) = self.shed_from_longest(&request) else {
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

    /// Ends a running request or withdraws a queued one; an unknown ticket has no effect.
    ///
    /// Returns other requests that are dequeued as a result.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        completion: &Completion,
        now: Instant,
    ) -> Vec<DequeuedRequest> {
        let Some(entry) = self.entries.remove(ticket) else {
            return Vec::new();
        };
        let limiter = limiter(&mut self.pipelines, &entry.request.pipeline, &self.cfg);
        if entry.running {
            self.running -= 1;
            limiter.record_end(completion, &self.cfg, now);
        } else {
            self.queued -= 1;
            limiter.queue.remove(&entry.request.customer, ticket);
        }
        self.dequeue(now)
    }

    /// Refuses queued requests that can no longer finish in time; to be called periodically.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let expired: Vec<Ticket> = self
            .pipelines
            .values()
            .flat_map(|limiter| limiter.queue.tickets().map(move |ticket| (limiter, ticket)))
            .filter(|(limiter, ticket)| is_late(&self.entries[*ticket].request, limiter, now))
            .map(|(_, ticket)| ticket)
            .collect();
        expired
            .into_iter()
            .map(|ticket| self.refuse(ticket, NotRunReason::Overloaded))
            .collect()
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Limit of the concurrent requests of a pipeline; `None` before its first request.
    #[must_use]
    pub fn limit(&self, pipeline: &str) -> Option<f64> {
        self.pipelines.get(pipeline).map(PipelineLimiter::limit)
    }

    fn refusal_reason(&mut self, request: &AdmissionRequest, now: Instant) -> Option<NotRunReason> {
        if now + request.cost_estimate > request.deadline {
            return Some(NotRunReason::DeadlineUnreachable);
        }
        if self.can_run(&request.pipeline) {
            return None;
        }
        let limiter = limiter(&mut self.pipelines, &request.pipeline, &self.cfg);
        let queue_full =
            limiter.queue.len_of(&request.customer) >= self.cfg.max_queued_per_customer;
        let spare_time = request
            .deadline
            .saturating_duration_since(now + limiter.time_needed(request));
        let wait_too_long =
            limiter.expected_wait(request) > spare_time.mul_f64(self.cfg.max_wait_share);
        (queue_full || wait_too_long).then_some(NotRunReason::Overloaded)
    }

    fn can_run(&mut self, pipeline: &PipelineId) -> bool {
        let limiter = limiter(&mut self.pipelines, pipeline, &self.cfg);
        limiter.has_capacity() && limiter.queue.len() == 0 && self.running < self.cfg.max_running
    }

    fn start(&mut self, request: AdmissionRequest) -> Ticket {
        let limiter = limiter(&mut self.pipelines, &request.pipeline, &self.cfg);
        limiter
            .queue
            .charge(&request.customer, request.weight, cost(&request));
        limiter.running += 1;
        self.running += 1;
        self.entries.insert(Entry {
            request,
            running: true,
        })
    }

    fn shed_from_longest(&mut self, request: &AdmissionRequest) -> Option<DequeuedRequest> {
        let limiter = limiter(&mut self.pipelines, &request.pipeline, &self.cfg);
        let ticket = limiter
            .queue
            .pop_longest(&request.customer, request.weight)?;
        Some(self.refuse(ticket, NotRunReason::Overloaded))
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> Ticket {
        let customer = request.customer.clone();
        let weight = request.weight;
        let cost = cost(&request);
        let limiter = limiter(&mut self.pipelines, &request.pipeline, &self.cfg);
        let ticket = self.entries.insert(Entry {
            request,
            running: false,
        });
        limiter
            .queue
            .push(&customer, weight, QueuedRequest { ticket, cost });
        self.queued += 1;
        ticket
    }

    fn dequeue(&mut self, now: Instant) -> Vec<DequeuedRequest> {
        let mut dequeued = Vec::new();
        for limiter in self.pipelines.values_mut() {
            while limiter.has_capacity() && self.running < self.cfg.max_running {
                let Some(ticket) = limiter.queue.pop() else {
                    break;
                };
                self.queued -= 1;
                let entry = &mut self.entries[ticket];
                let request = entry.request.request.clone();
                let outcome = if is_late(&entry.request, limiter, now) {
                    limiter
                        .queue
                        .refund(&entry.request.customer, cost(&entry.request));
                    self.entries.remove(ticket);
                    DequeueOutcome::Refused(NotRunReason::Overloaded)
                } else {
                    entry.running = true;
                    limiter.running += 1;
                    self.running += 1;
                    DequeueOutcome::Admitted
                };
                dequeued.push(DequeuedRequest {
                    ticket,
                    request,
                    outcome,
                });
            }
        }
        dequeued
    }

    /// Refuses a queued request and invalidates its ticket.
    fn refuse(&mut self, ticket: Ticket, reason: NotRunReason) -> DequeuedRequest {
        let entry = self.entries.remove(ticket).expect("the ticket waits");
        if let Some(limiter) = self.pipelines.get_mut(&entry.request.pipeline) {
            limiter.queue.remove(&entry.request.customer, ticket);
        }
        self.queued -= 1;
        DequeuedRequest {
            ticket,
            request: entry.request.request,
            outcome: DequeueOutcome::Refused(reason),
        }
    }
}

fn limiter<'a>(
    pipelines: &'a mut BTreeMap<PipelineId, PipelineLimiter>,
    pipeline: &PipelineId,
    cfg: &AdmissionConfig,
) -> &'a mut PipelineLimiter {
    pipelines
        .entry(pipeline.clone())
        .or_insert_with(|| PipelineLimiter::new(cfg))
}

/// Cost of a request in the fair queue: its estimated time in seconds.
fn cost(request: &AdmissionRequest) -> f64 {
    const COST_MIN: Duration = Duration::from_millis(1);
    request.cost_estimate.max(COST_MIN).as_secs_f64()
}

/// Whether a queued request can no longer finish before its deadline.
fn is_late(request: &AdmissionRequest, limiter: &PipelineLimiter, now: Instant) -> bool {
    now + limiter.time_needed(request) > request.deadline
}
