//! The claim row as the table holds it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Fingerprint, InstanceId, RequestId, ServerId};

/// One claim: who may run a request, where, and what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt to claim that wrote the row; unique across the fleet.
    pub attempt: AttemptId,
    /// Request of the claimant.
    pub request: RequestId,
    /// Instance that claimed.
    pub instance: InstanceId,
    /// Fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the claim, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// Which run is claimed.
    pub run: ClaimRun,
    /// State.
    pub state: ClaimState,
}

impl ClaimRow {
    /// The row as JSON text.
    ///
    /// # Panics
    ///
    /// Never: all fields have a JSON form.
    #[must_use]
    pub fn to_json(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("a claim row serializes")
            .into()
    }

    /// Reads a row's JSON text; `None` if it is not a claim row.
    #[must_use]
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The same claim in another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Identifier of the claim's first non-idempotent call.
    #[must_use]
    pub fn run_id(&self) -> Arc<str> {
        run_id(&self.attempt, self.run.stage)
    }
}

/// The first non-idempotent call of a request, and where it may be sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ClaimRun {
    /// Index of the stage.
    pub stage: u32,
    /// Whether it is the last stage, so that its answer is the whole answer.
    pub last: bool,
    /// Backend servers that the claimant may send it to; it uses no others.
    pub servers: Vec<ClaimServer>,
}

/// A backend server as the claimant knew it when it claimed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimServer {
    /// Name.
    pub name: ServerId,
    /// Number of its process start; 0 if unknown.
    pub incarnation: u64,
    /// Whether it answers what became of a run.
    pub answers_status: bool,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The claimant may run the request, or may have run it.
    Claimed,
    /// It did not run and never will under this attempt; another attempt may claim.
    Released,
    /// It ran; this was the answer.
    Answered {
        /// The answer's body, JSON text.
        answer: Arc<str>,
    },
}

/// Identifier under which one stage of one claim may run once.
#[must_use]
pub fn run_id(attempt: &AttemptId, stage: u32) -> Arc<str> {
    format!("{attempt}.{stage}").into()
}
