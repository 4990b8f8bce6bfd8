//! Development tasks of sardineshore: CI checks, demonstration, fault runs and benchmarks.
//!
//! This is the only program of the workspace that starts other programs. [`demo`] contains the
//! parts that the other tasks share: a fleet of processes, a timeline of faults, and one audited
//! run.

pub mod bench;
pub mod ci;
pub mod demo;
pub mod faults;
