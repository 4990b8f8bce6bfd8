//! Retries and hedged attempts within a budget, and the split of a deadline over stages.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::{
//!     AttemptResult, EndedAttempt, Objective, RetryController, RetryConfig, RetryDecision,
//! };
//!
//! let mut retries = RetryController::new(RetryConfig::default(), Objective::Attainment);
//! let pool = "orders".into();
//! retries.record_first_send(&pool);
//! let refused = EndedAttempt {
//!     result: AttemptResult::Refused,
//!     attempts: 1,
//!     remaining: Duration::from_secs(5),
//!     idempotent: false,
//! };
//! let decision = retries.decide(&pool, refused);
//! assert_eq!(decision, RetryDecision::Retry { delay: Duration::ZERO });
//! ```

mod budget;
mod controller;
mod deadline;
mod hedge;
mod latency;

pub use budget::RetryBudget;
pub use controller::{EndedAttempt, NoRetryReason, RetryConfig, RetryController, RetryDecision};
pub use deadline::DeadlineSplitter;
pub use hedge::HedgePolicy;
pub use latency::{StageLatencies, StageQuantiles};
