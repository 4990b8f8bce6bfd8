//! Numbered log events and their catalogue.
//!
//! Every log line of a program carries the number of one [`EventKind`]. `docs/EVENTS.md` is
//! generated from [`catalogue`], and a test keeps the two equal.

pub mod claim;
pub mod config;
pub mod entry;
pub mod routing;

/// A kind of event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Number, unique in the catalogue.
    pub number: u32,
    /// Short name in kebab case.
    pub name: &'static str,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

/// All events by number.
#[must_use]
pub fn catalogue() -> Vec<EventKind> {
    let mut all = [entry::ALL, claim::ALL, config::ALL, routing::ALL].concat();
    all.sort_by_key(|kind| kind.number);
    all
}
