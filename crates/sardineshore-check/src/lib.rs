//! Exhaustive model checking of the core protocols: claims, configuration and leases.
//!
//! A [`Model`] drives the state machines of `sardineshore-core` and enumerates everything that can
//! happen next: messages in any order, lost answers, delayed writes, pauses and crashes.
//! [`explore()`] visits every state that is reachable within the bounds of the model and reports
//! the shortest path to a state that violates an invariant. `docs/spec/` explains the invariants.
//!
//! ```
//! use sardineshore_check::claim::{ClaimBounds, ClaimModel};
//! use sardineshore_check::explore;
//!
//! let bounds = ClaimBounds { faults: 0, ..ClaimBounds::default() };
//! let report = explore(&ClaimModel::new(bounds, None));
//! assert!(report.violation.is_none());
//! ```

pub mod claim;
pub mod config;
pub mod explore;
pub mod lease;
pub mod run;
pub mod table;

pub use explore::{Model, Report, Violation, explore};
