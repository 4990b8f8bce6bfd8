//! The models by name, as the program and the tests run them.

use std::fmt;
use std::time::Duration;

use crate::claim::{ClaimBounds, ClaimBreak, ClaimModel};
use crate::config::{ConfigBounds, ConfigBreak, ConfigModel};
use crate::lease::{LeaseBounds, LeaseBreak, LeaseModel};
use crate::{Report, explore};

/// Names of all models.
pub const MODELS: &[&str] = &["claim", "config", "lease-fencing", "lease-plain"];

/// One search and its result.
#[derive(Debug, Clone)]
pub struct Checked {
    /// Model.
    pub model: String,
    /// Broken rule, if any.
    pub broken: Option<String>,
    /// Result.
    pub report: Report,
    /// Time that the search took.
    pub took: Duration,
}

impl Checked {
    /// Whether the result is the expected one: a violation exactly where a rule is broken.
    #[must_use]
    pub fn as_expected(&self) -> bool {
        self.broken.is_some() == self.report.violation.is_some()
    }
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            states,
            depth,
            violation,
        } = &self.report;
        write!(f, "{}", self.model)?;
        if let Some(rule) = &self.broken {
            write!(f, " with {rule} broken")?;
        }
        match violation {
            None => write!(f, ": {states} states, depth {depth}, every invariant holds"),
            Some(violation) => {
                let steps = violation.steps.len();
                writeln!(f, ": violated after {states} states, in {steps} steps")?;
                write!(f, "{violation}")
            }
        }
    }
}

/// Names of the broken variants of a model.
#[must_use]
pub fn variants(model: &str) -> Vec<&'static str> {
    match model {
        "claim" => ClaimBreak::ALL.iter().map(|(name, _)| *name).collect(),
        "config" => ConfigBreak::ALL.iter().map(|(name, _)| *name).collect(),
        "lease-fencing" => lease_variants(true),
        "lease-plain" => lease_variants(false),
        _ => Vec::new(),
    }
}

fn lease_variants(fencing: bool) -> Vec<&'static str> {
    let all = LeaseBreak::ALL.iter();
    let fitting = all.filter(|(_, rule)| rule.bounds().fencing == fencing);
    fitting.map(|(name, _)| *name).collect()
}

/// Searches a model, or one of its broken variants; `None` if there is no such.
#[must_use]
pub fn check(model: &str, broken: Option<&str>, faults: Option<u8>) -> Option<Checked> {
    let started = std::time::Instant::now();
    let report = match model {
        "claim" => check_claim(broken, faults)?,
        "config" => check_config(broken, faults)?,
        "lease-fencing" => check_lease(true, broken, faults)?,
        "lease-plain" => check_lease(false, broken, faults)?,
        _ => return None,
    };
    Some(Checked {
        model: model.into(),
        broken: broken.map(Into::into),
        report,
        took: started.elapsed(),
    })
}

fn check_claim(broken: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let rule = match broken {
        Some(name) => Some(find(ClaimBreak::ALL, name)?),
        None => None,
    };
    let mut bounds = rule.map_or(ClaimBounds::default(), ClaimBreak::bounds);
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&ClaimModel::new(bounds, rule)))
}

fn check_config(broken: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let rule = match broken {
        Some(name) => Some(find(ConfigBreak::ALL, name)?),
        None => None,
    };
    let mut bounds = rule.map_or(ConfigBounds::default(), ConfigBreak::bounds);
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&ConfigModel::new(bounds, rule)))
}

fn check_lease(fencing: bool, broken: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let rule = match broken {
        Some(name) => Some(find(LeaseBreak::ALL, name)?),
        None => None,
    };
    let mut bounds = rule.map_or(LeaseBounds::default(), LeaseBreak::bounds);
    bounds.fencing = fencing;
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&LeaseModel::new(bounds, rule)))
}

fn find<T: Copy>(all: &[(&str, T)], name: &str) -> Option<T> {
    let found = all.iter().find(|(known, _)| *known == name);
    found.map(|(_, rule)| *rule)
}
