//! Requests to admission control and its responses.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::{CustomerId, NotRunReason, PipelineId, RequestId};

new_key_type! {
    /// Handle of a submitted request, valid until the request has finished or was refused.
    pub struct Ticket;
}

/// A request that is submitted to admission control.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// Pipeline.
    pub pipeline: PipelineId,
    /// Customer's share of capacity relative to other customers.
    pub weight: f64,
    /// When the complete answer must have reached the caller.
    pub deadline: Instant,
    /// Expected time that the request needs to run.
    pub cost_estimate: Duration,
}

/// Response to a submitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionResponse {
    /// Decision on the submitted request.
    pub decision: AdmissionDecision,
    /// Queued requests that are dequeued because of it.
    pub dequeued: Vec<DequeuedRequest>,
}

/// Decision on a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now; report its end with [`finish`](crate::AdmissionController::finish).
    Admitted(Ticket),
    /// It is queued; a [`DequeuedRequest`] with this ticket follows.
    Queued(Ticket),
    /// It does not run.
    Refused(NotRunReason),
}

/// A request that has left the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its identifier.
    pub request: RequestId,
    /// Whether it runs or is refused.
    pub outcome: DequeueOutcome,
}

/// Why a request has left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The request runs now; report its end with [`finish`](crate::AdmissionController::finish).
    Admitted,
    /// The request does not run; its ticket is invalid.
    Refused(NotRunReason),
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Completion {
    /// Whether the complete answer was ready before the deadline.
    pub in_time: bool,
    /// Time from the admission to the end.
    pub latency: Duration,
    /// Service time on backend servers, summed over the stages, as they reported it; zero if
    /// unknown.
    pub service: Duration,
}
