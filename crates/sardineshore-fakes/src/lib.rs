//! Stand-ins of the platform and of backend servers, for tests and demonstrations.
//!
//! * [`platform`]: table, objects, instance list and weight store in one process;
//! * [`server`]: a model engine, a stage pool's member or a plain service;
//! * [`serve`] and [`reply`]: what both share of HTTP.
//!
//! Both take a typed document of faults at `POST /v1/faults`, which replaces the whole set:
//!
//! ```
//! use sardineshore_fakes::platform::faults::PlatformFaults;
//!
//! let text = r#"{"outage": {"cut": true}, "lose_confirmation": 0.1}"#;
//! let faults: PlatformFaults = serde_json::from_str(text).unwrap();
//! assert!(faults.outage.unwrap().cut);
//! ```

pub mod dice;
pub mod platform;
pub mod reply;
pub mod serve;
pub mod server;
