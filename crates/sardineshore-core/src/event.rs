//! Catalogue of the numbered log events.
//!
//! Every log line of a program carries the number of one [`EventKind`]. `docs/EVENTS.md` is
//! generated from [`catalogue`]; a test fails when the two differ.

pub mod claim;
pub mod config;
pub mod entry;
pub mod routing;

/// Kind of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Number, unique in the catalogue.
    pub number: u32,
    /// Short name in kebab case.
    pub name: &'static str,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

/// All kinds of events, in the order of their numbers.
#[must_use]
pub fn catalogue() -> Vec<EventKind> {
    let mut all = [entry::ALL, claim::ALL, config::ALL, routing::ALL].concat();
    all.sort_by_key(|kind| kind.number);
    all
}
