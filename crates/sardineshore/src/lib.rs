//! Facade crate of sardineshore: re-exports the core's types and decision logic as [`core`], and
//! the typed messages between its programs as [`wire`].
//!
//! Depend on this crate to parse or write those messages, or to run the decision logic without
//! I/O.
//!
//! ```
//! use sardineshore::core::{QueryResponse, Query};
//! use sardineshore::wire::headers;
//!
//! let query = Query::Servers { pool: Some("engines".into()) };
//! assert!(matches!(query, Query::Servers { .. }));
//! assert_eq!(headers::OUTCOME, "x-sardine-outcome");
//! # let _ = QueryResponse::Servers(Vec::new());
//! ```

pub use sardineshore_core as core;
pub use sardineshore_wire as wire;
