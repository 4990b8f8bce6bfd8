//! Repeated attempts within a budget, hedges, and the split of a deadline over stages.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::{AttemptResult, Retries, RetryDecision, RetryConfig};
//!
//! let mut retries = Retries::new(RetryConfig::default());
//! let pool = "encoders".into();
//! retries.sent(&pool);
//! let decision = retries.after(&pool, AttemptResult::Refused, 1, Duration::from_secs(5), false);
//! assert!(matches!(decision, RetryDecision::Retry { .. }));
//! ```

mod budget;

pub use budget::{GiveUp, Retries, RetryBudget, RetryConfig, RetryDecision};
