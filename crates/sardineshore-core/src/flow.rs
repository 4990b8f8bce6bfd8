//! Decisions of the serving path: the route of a request, the server that runs it, the batches of
//! its stages, and when to retry or reject it.
//!
//! Each type here is a plain state machine: it takes events and the current time and returns what
//! to do next. The serving program performs the I/O.
//!
//! ```
//! use sardineshore_core::flow::config::{ConfigIndex, Route, ServingConfig};
//!
//! let route = Route { host: "a.example".into(), prefix: "/x/".into(), ..Route::default() };
//! let index = ConfigIndex::new(ServingConfig { routes: vec![route], ..ServingConfig::default() });
//! assert!(index.route("a.example", "/x/1").is_some());
//! assert!(index.route("a.example", "/y/").is_none());
//! ```

pub mod batching;
pub mod cells;
pub mod cold;
pub mod config;
pub mod evacuation;
pub mod freshness;
pub mod heartbeat;
pub mod notices;
pub mod quarantine;
pub mod readers;
pub mod registry;
pub mod replica;
pub mod retry_budget;
pub mod selection;
pub mod speed;
pub mod store_era;
pub mod stream_versions;
pub mod time_limit;
pub mod turns;
pub mod zones;
