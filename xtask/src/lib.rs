//! Chores of sardineshore: checks, demonstration, fault runs and measurements.
//!
//! This is the only program of the workspace that starts others. [`demo`] holds what the rest
//! shares: a fleet of processes, faults on a timeline, and one run with its audit.

pub mod bench;
pub mod ci;
pub mod demo;
pub mod faults;
