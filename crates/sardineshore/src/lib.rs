//! Facade of sardineshore: the core's types and decisions, and the typed messages around them.
//!
//! Depend on this crate to read or write what the programs exchange, or to drive their decisions
//! without I/O.
//!
//! ```
//! use sardineshore::core::{Answer, Query};
//! use sardineshore::wire::headers;
//!
//! let query = Query::Servers { pool: Some("engines".into()) };
//! assert!(matches!(query, Query::Servers { .. }));
//! assert_eq!(headers::OUTCOME, "x-sardine-outcome");
//! # let _ = Answer::Servers(Vec::new());
//! ```

pub use sardineshore_core as core;
pub use sardineshore_wire as wire;
