//! Open-loop load for sardineshore, its report, and the audit of what callers were told.
//!
//! A run goes through these modules in this order: [`workload`] (what is asked, by whom),
//! [`schedule`] (when), [`run`] (pacing), [`caller`] (one logical request with its repeats),
//! [`balancer`] (to which instance), [`sender`] (one HTTP exchange), [`verify`] (is the answer whole), then [`report`], [`text`] and
//! [`plots`]. [`audit`] compares callers' logs with the execution logs of backend servers.
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
