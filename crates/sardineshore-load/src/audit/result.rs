//! Result of an audit.

use std::fmt;
use std::sync::Arc;

use sardineshore_wire::audit_log::CallRecord;
use serde::{Deserialize, Serialize};

/// Counts of outcomes, and every violation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuditResult {
    /// Number of logical requests.
    pub offered: u64,
    /// Requests whose outcome was `answered`.
    pub answered: u64,
    /// Requests whose outcome was `not-run`.
    pub not_run: u64,
    /// Requests whose outcome was `unknown`, or that got no reply during an
    /// [`Outage`](super::Outage).
    pub unknown: u64,
    /// Requests that got no reply outside of an outage, an incomplete answer, or an answer although
    /// a stage did not finish.
    pub lost: Vec<Violation>,
    /// Non-idempotent stages that began more than once, or that began although the caller's outcome
    /// was `not-run`.
    pub doubled: Vec<Violation>,
    /// Answers that carry the tag of another request.
    pub misdelivered: Vec<Violation>,
}

impl AuditResult {
    /// Whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations().next().is_none()
    }

    /// All violations: lost, doubled, then misdelivered.
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

/// One request whose outcome contradicts the execution logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Tag of the logical request.
    pub tag: Arc<str>,
    /// Identifier of the request; empty if the caller got none.
    pub request: Arc<str>,
    /// What is wrong.
    pub text: String,
}

impl Violation {
    /// Creates a violation of the call's request.
    #[must_use]
    pub fn new(call: &CallRecord, text: &str) -> Self {
        Self {
            tag: call.tag.clone(),
            request: call.request.clone(),
            text: text.to_owned(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (request {}): {}", self.tag, self.request, self.text)
    }
}
