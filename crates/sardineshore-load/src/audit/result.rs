//! What an audit found.

use std::fmt;
use std::sync::Arc;

use sardineshore_wire::audit_log::CallRecord;
use serde::{Deserialize, Serialize};

/// Counts of an audit, with every breach.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuditResult {
    /// Logical requests.
    pub offered: u64,
    /// Requests told as answered.
    pub answered: u64,
    /// Requests told as not run.
    pub not_run: u64,
    /// Requests told as unknown, or without a reply from an instance that was made to fail.
    pub unknown: u64,
    /// Requests without a reply, answered without having run, or answered incompletely.
    pub lost: Vec<Violation>,
    /// Non-idempotent work that began more than once, or although its caller was told otherwise.
    pub doubled: Vec<Violation>,
    /// Answers that belong to another request.
    pub misdelivered: Vec<Violation>,
}

impl AuditResult {
    /// Whether nothing was lost, doubled or misdelivered.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations().next().is_none()
    }

    /// All breaches.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        let others = self.doubled.iter().chain(&self.misdelivered);
        self.lost.iter().chain(others)
    }
}

impl fmt::Display for AuditResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "audit: answered {} of {}, not run {}, unknown {}, lost {}, doubled {}, misdelivered {}",
            self.answered,
            self.offered,
            self.not_run,
            self.unknown,
            self.lost.len(),
            self.doubled.len(),
            self.misdelivered.len()
        )
    }
}

/// One breach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Tag of the logical request.
    pub tag: Arc<str>,
    /// Request's identifier, if there was one.
    pub request: Arc<str>,
    /// What is wrong.
    pub text: String,
}

impl Violation {
    /// A breach towards one caller.
    #[must_use]
    pub fn new(told: &CallRecord, text: &str) -> Self {
        Self {
            tag: told.tag.clone(),
            request: told.request.clone(),
            text: text.to_owned(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (request {}): {}", self.tag, self.request, self.text)
    }
}
