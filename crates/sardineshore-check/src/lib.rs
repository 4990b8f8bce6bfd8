//! Exhaustive model checking of sardineshore's core protocols.
//!
//! A [`Model`] drives the product's own state machines and chooses freely among everything that
//! may happen next: messages in any order, lost answers, late writes, pauses and crashes.
//! [`explore()`] visits every reachable state up to the model's bounds and reports the shortest way
//! to a state that violates an invariant. The invariants are stated in words in `docs/spec/`.
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
