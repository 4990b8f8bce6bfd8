//! Repeated attempts within a budget, hedges, and the split of a deadline over stages.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::{
//!     AttemptResult, EndedAttempt, Objective, Retries, RetryConfig, RetryDecision,
//! };
//!
//! let mut retries = Retries::new(RetryConfig::default(), Objective::Attainment);
//! let pool = "orders".into();
//! retries.sent(&pool);
//! let refused = EndedAttempt {
//!     result: AttemptResult::Refused,
//!     tried: 1,
//!     remaining: Duration::from_secs(5),
//!     idempotent: false,
//! };
//! let decision = retries.after(&pool, refused);
//! assert_eq!(decision, RetryDecision::Retry { after: Duration::ZERO });
//! ```

mod budget;
mod hedge;
mod latency;
mod policy;
mod stage_budget;

pub use budget::RetryBudget;
pub use hedge::HedgePolicy;
pub use latency::{StageLatencies, StageQuantiles};
pub use policy::{EndedAttempt, GiveUp, Retries, RetryConfig, RetryDecision};
pub use stage_budget::StageBudget;
