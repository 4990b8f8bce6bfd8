//! Admission of requests: how many run at once, in which order the rest wait, and who is refused.
//!
//! [`AdmissionController`] answers each [`AdmissionRequest`] at once with a [`AdmissionDecision`]. A request that has to wait holds
//! a [`Ticket`]; what becomes of it is told by a later [`DequeueOutcome`].
//!
//! ```
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{AdmissionController, AdmissionConfig, Completion, AdmissionRequest, AdmissionDecision};
//!
//! let now = Instant::now();
//! let mut admission = AdmissionController::new(AdmissionConfig::default());
//! let request = AdmissionRequest {
//!     request: "r1".into(),
//!     customer: "studio".into(),
//!     pipeline: "reports".into(),
//!     weight: 1.0,
//!     deadline: now + Duration::from_secs(6),
//!     cost_estimate: Duration::from_millis(300),
//! };
//! let AdmissionDecision::Admitted(ticket) = admission.submit(request, now).decision else { panic!() };
//! let dequeued = admission.finish(ticket, &Completion::default(), now);
//! assert!(dequeued.is_empty());
//! ```

mod admission;
mod concurrency;
mod fair_queue;
mod pipeline;
mod request;

pub use admission::{AdmissionConfig, AdmissionController};
pub use concurrency::{ConcurrencyLimit, QueueSample};
pub use request::{
    AdmissionDecision, AdmissionRequest, AdmissionResponse, Completion, DequeueOutcome,
    DequeuedRequest, Ticket,
};
