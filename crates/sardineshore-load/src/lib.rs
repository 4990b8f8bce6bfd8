//! Open-loop load generator for sardineshore, its report, and an audit of the outcomes.
//!
//! Requests are sent when the schedule says, not when earlier ones have finished. A run goes
//! through these modules in this order:
//!
//! * [`workload`] and [`preset`]: which pipelines are requested, and by which customers;
//! * [`schedule`]: when each request is due;
//! * [`run`]: starts the requests when they are due;
//! * [`caller`]: one logical request with its retries;
//! * [`balancer`]: which entry instance gets a request;
//! * [`sender`]: one HTTP request and its reply;
//! * [`verify`]: whether the answer is complete;
//! * [`report`], [`cost`], [`text`] and [`plots`]: the results.
//!
//! [`audit`] compares call logs with the execution logs of backend servers.
//!
//! ```
//! use sardineshore_load::preset;
//! use sardineshore_load::schedule::{Schedule, ScheduleSettings};
//!
//! let workload = preset::find("mangos").unwrap();
//! let settings = ScheduleSettings { requests: 100, ..ScheduleSettings::default() };
//! let schedule = Schedule::plan(&workload, &settings);
//! assert_eq!(schedule.arrivals.len(), 100);
//! ```

pub mod audit;
pub mod balancer;
pub mod caller;
pub mod cost;
pub mod plots;
pub mod preset;
pub mod report;
pub mod run;
pub mod schedule;
pub mod sender;
pub mod settings;
pub mod text;
pub mod verify;
pub mod workload;
