//! `sardinectl`, the command-line program of operators: parses statements, calls an entry instance
//! and prints the answers.
//!
//! * [`settings`]: flags, environment variables and statements of the command line;
//! * [`step`]: groups statements into calls;
//! * [`client`]: calls to entry instances, with failover to the next one;
//! * [`session`]: runs the steps and reports each; [`submission`]: what is known of one command;
//! * [`report`] and [`render`]: the result of a step, as tables or JSON, and the exit code.

pub mod client;
pub mod render;
pub mod report;
pub mod session;
pub mod settings;
pub mod step;
pub mod submission;
