//! Runs the models by name, for the command-line program and the tests.

use std::fmt;
use std::time::Duration;

use crate::claim::{ClaimBounds, ClaimModel, ClaimMutation};
use crate::config::{ConfigBounds, ConfigModel, ConfigMutation};
use crate::lease::{LeaseBounds, LeaseModel, LeaseMutation};
use crate::{Report, explore};

/// Names of all models.
pub const MODELS: &[&str] = &["claim", "config", "lease-fencing", "lease-plain"];

/// Result of one search.
#[derive(Debug, Clone)]
pub struct SearchResult {
    /// Name of the model.
    pub model: String,
    /// Name of the broken variant, if one was checked.
    pub variant: Option<String>,
    /// Visited states and the violation, if one was found.
    pub report: Report,
    /// Duration of the search.
    pub duration: Duration,
}

impl SearchResult {
    /// Whether the result is the expected one: a violation if and only if a broken variant was
    /// checked.
    #[must_use]
    pub fn is_expected(&self) -> bool {
        self.variant.is_some() == self.report.violation.is_some()
    }
}

impl fmt::Display for SearchResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            states,
            depth,
            violation,
        } = &self.report;
        write!(f, "{}", self.model)?;
        if let Some(mutation) = &self.variant {
            write!(f, " (variant {mutation})")?;
        }
        match violation {
            None => write!(f, ": {states} states, depth {depth}, all invariants hold"),
            Some(violation) => {
                let steps = violation.steps.len();
                writeln!(
                    f,
                    ": invariant violated after {states} states, in {steps} steps"
                )?;
                write!(f, "{violation}")
            }
        }
    }
}

/// Names of the broken variants of a model; empty if the model is unknown.
#[must_use]
pub fn variants(model: &str) -> Vec<&'static str> {
    match model {
        "claim" => ClaimMutation::ALL.iter().map(|(name, _)| *name).collect(),
        "config" => ConfigMutation::ALL.iter().map(|(name, _)| *name).collect(),
        "lease-fencing" => lease_variants(true),
        "lease-plain" => lease_variants(false),
        _ => Vec::new(),
    }
}

fn lease_variants(fencing: bool) -> Vec<&'static str> {
    let all = LeaseMutation::ALL.iter();
    let matching = all.filter(|(_, mutation)| mutation.bounds().fencing == fencing);
    matching.map(|(name, _)| *name).collect()
}

/// Checks a model or one of its broken variants; `None` if the model or the variant is unknown.
/// `faults` replaces the maximum number of faults in one run.
#[must_use]
pub fn check(model: &str, variant: Option<&str>, faults: Option<u8>) -> Option<SearchResult> {
    let started = std::time::Instant::now();
    let report = match model {
        "claim" => check_claim(variant, faults)?,
        "config" => check_config(variant, faults)?,
        "lease-fencing" => check_lease(true, variant, faults)?,
        "lease-plain" => check_lease(false, variant, faults)?,
        _ => return None,
    };
    Some(SearchResult {
        model: model.into(),
        variant: variant.map(Into::into),
        report,
        duration: started.elapsed(),
    })
}

fn check_claim(variant: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let mutation = match variant {
        Some(name) => Some(find(ClaimMutation::ALL, name)?),
        None => None,
    };
    let mut bounds = mutation.map_or(ClaimBounds::default(), ClaimMutation::bounds);
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&ClaimModel::new(bounds, mutation)))
}

fn check_config(variant: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let mutation = match variant {
        Some(name) => Some(find(ConfigMutation::ALL, name)?),
        None => None,
    };
    let mut bounds = mutation.map_or(ConfigBounds::default(), ConfigMutation::bounds);
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&ConfigModel::new(bounds, mutation)))
}

fn check_lease(fencing: bool, variant: Option<&str>, faults: Option<u8>) -> Option<Report> {
    let mutation = match variant {
        Some(name) => Some(find(LeaseMutation::ALL, name)?),
        None => None,
    };
    let mut bounds = mutation.map_or(LeaseBounds::default(), LeaseMutation::bounds);
    bounds.fencing = fencing;
    bounds.faults = faults.unwrap_or(bounds.faults);
    Some(explore(&LeaseModel::new(bounds, mutation)))
}

fn find<T: Copy>(all: &[(&str, T)], name: &str) -> Option<T> {
    let found = all.iter().find(|(known, _)| *known == name);
    found.map(|(_, mutation)| *mutation)
}
