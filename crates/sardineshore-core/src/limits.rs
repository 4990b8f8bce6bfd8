//! Admission of requests: how many run at once, in which order the rest wait, and who is refused.
//!
//! [`Admission`] answers each [`Offer`] at once with a [`Verdict`]. A request that has to wait holds
//! a [`Ticket`]; what becomes of it is told by a later [`Release`].
//!
//! ```
//! use std::time::{Duration, Instant};
//! use sardineshore_core::{Admission, AdmissionConfig, Completion, Offer, Verdict};
//!
//! let now = Instant::now();
//! let mut admission = Admission::new(AdmissionConfig::default());
//! let offer = Offer {
//!     request: "r1".into(),
//!     customer: "studio".into(),
//!     pipeline: "reports".into(),
//!     weight: 1.0,
//!     deadline: now + Duration::from_secs(6),
//!     cost_estimate: Duration::from_millis(300),
//! };
//! let Verdict::Run(ticket) = admission.offer(offer, now).verdict else { panic!() };
//! let releases = admission.finished(ticket, &Completion::default(), now);
//! assert!(releases.is_empty());
//! ```

mod admission;
mod concurrency;
mod fair_queue;
mod gate;
mod offer;

pub use admission::{Admission, AdmissionConfig};
pub use concurrency::{ConcurrencyLimit, QueueSample};
pub use offer::{Completion, Offer, Offered, Release, Released, Ticket, Verdict};
