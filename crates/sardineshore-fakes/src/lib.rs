//! Fake platform and fake backend servers for tests and demonstrations.
//!
//! * [`platform`]: table, object store, instance list and weight store in one process;
//! * [`server`]: a model engine, a member of a stage pool or a plain service;
//! * [`serve`] and [`http`]: the HTTP listener and the HTTP helpers that both use;
//! * [`fault_rng`]: seeded random decisions for fault injection.
//!
//! Platform and server accept a JSON document of faults at `POST /v1/faults`, which replaces all active faults:
//!
//! ```
//! use sardineshore_fakes::platform::faults::PlatformFaults;
//!
//! let text = r#"{"outage": {"cut": true}, "lose_confirmation": 0.1}"#;
//! let faults: PlatformFaults = serde_json::from_str(text).unwrap();
//! assert!(faults.outage.unwrap().cut);
//! ```

pub mod fault_rng;
pub mod http;
pub mod platform;
pub mod serve;
pub mod server;
