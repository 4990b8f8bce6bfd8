//! The entry instance: I/O around the decisions of `sardineshore-core`.
//!
//! A request flows through these modules in this order: [`listener`] → [`api`] → [`admission`] →
//! [`runner`] → [`dispatch`] (or [`stream`]) → backend server → [`runner`] → [`reply`]. All
//! instances are alike and keep nothing on disk.

pub mod admission;
pub mod api;
pub mod assembly;
pub mod claims;
pub mod config;
pub mod conn;
pub mod dispatch;
pub mod hedge;
pub mod instance;
pub mod job;
pub mod journal;
pub mod listener;
pub mod load;
pub mod metrics;
pub mod operator;
pub mod orders;
pub mod pacing;
pub mod peers;
pub mod quarantine;
pub mod queries;
pub mod reply;
pub mod runner;
pub mod settings;
pub mod stop;
pub mod stream;
pub mod tables;
pub mod totals;

mod program;

pub use instance::{Gate, Instance, OpenGate};
pub use job::{Finished, Job};
pub use program::run;
pub use settings::{Settings, command};
