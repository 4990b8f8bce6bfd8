//! What admission is asked and what it answers.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::{CustomerId, NotRunReason, PipelineId, RequestId};

new_key_type! {
    /// A request's place in admission, from its offer until it has finished.
    pub struct Ticket;
}

/// A request that asks to run.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Request.
    pub request: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// Pipeline.
    pub pipeline: PipelineId,
    /// Customer's share of capacity relative to other customers.
    pub weight: f64,
    /// When the whole answer must be with the caller.
    pub deadline: Instant,
    /// Time that the request is expected to need once it runs.
    pub cost_estimate: Duration,
}

/// Answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionResponse {
    /// What becomes of the offered request.
    pub decision: AdmissionDecision,
    /// What becomes of waiting requests because of the offer.
    pub dequeued: Vec<DequeuedRequest>,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now; report its end with [`finish`](crate::AdmissionController::finish).
    Admitted(Ticket),
    /// It waits; a [`DequeuedRequest`] with this ticket follows.
    Queued(Ticket),
    /// It does not run.
    Refused(NotRunReason),
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its identifier.
    pub request: RequestId,
    /// Whether it runs.
    pub outcome: DequeueOutcome,
}

/// End of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The request runs now; report its end with [`finish`](crate::AdmissionController::finish).
    Admitted,
    /// The request does not run; its ticket is void.
    Refused(NotRunReason),
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Completion {
    /// Whether the whole answer was ready within the deadline.
    pub in_time: bool,
    /// Time from the verdict to run until the end.
    pub latency: Duration,
    /// Time spent on backend servers, summed over the stages, as they said; zero if unknown.
    pub service: Duration,
}
