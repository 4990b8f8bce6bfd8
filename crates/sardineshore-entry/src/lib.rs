//! The entry instance: accepts callers' requests and runs them on backend servers.
//!
//! This crate performs the I/O; the decisions are made by `sardineshore-core`.
//!
//! A request passes through these modules in this order: [`listener`] → [`api`] → [`admission`] →
//! [`runner`] → [`dispatch`] (or [`stream`]) → backend server → [`runner`] → [`reply`]. All
//! instances are equal and store nothing on disk.

pub mod admission;
pub mod api;
pub mod assembly;
pub mod claims;
pub mod config;
pub mod conn;
pub mod dispatch;
pub mod event_log;
pub mod hedge;
pub mod instance;
pub mod job;
pub mod listener;
pub mod load;
pub mod metrics;
pub mod operator;
pub mod orders;
pub mod peers;
pub mod quarantine;
pub mod queries;
pub mod reply;
pub mod runner;
pub mod settings;
pub mod shutdown;
pub mod stream;
pub mod tables;
pub mod timing;
pub mod totals;

mod program;

pub use instance::{DispatchGate, Instance, OpenGate};
pub use job::{Job, RequestOutcome};
pub use program::run;
pub use settings::{Settings, command};
