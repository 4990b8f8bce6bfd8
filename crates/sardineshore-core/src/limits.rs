//! Admission control and concurrency limits of one entry instance.
//!
//! [`AdmissionController`] limits how many requests run concurrently, queues the rest fairly by
//! customer, and refuses those that can't finish in time. It answers each [`AdmissionRequest`] at
//! once with an [`AdmissionDecision`]; a request that has to wait receives a [`Ticket`], and a
//! later [`DequeueOutcome`] says whether it runs. [`ConcurrencyLimit`] limits the attempts that the
//! instance has in flight on one backend server.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{
//!     AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, Completion,
//! };
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
//! let response = admission.submit(request, now);
//! let AdmissionDecision::Admitted(ticket) = response.decision else { panic!() };
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
