//! The claim row as it is stored in the table, as JSON.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Fingerprint, InstanceId, RequestId, ServerId};

/// One claim: which attempt may run a request, on which servers, and with what outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that holds the claim; unique across all instances.
    pub attempt: AttemptId,
    /// Identifier that the claimant's instance assigned to the request.
    pub request: RequestId,
    /// Instance of the claimant.
    pub instance: InstanceId,
    /// Fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the claim, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// First non-idempotent call of the request.
    pub run: ClaimedCall,
    /// Whether the request is claimed, released or answered.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Serializes the row as JSON text.
    ///
    /// # Panics
    ///
    /// Never: every field can be serialized as JSON.
    #[must_use]
    pub fn to_json(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("a claim row can be serialized")
            .into()
    }

    /// Parses the JSON text of a row; `None` if it is not a claim row.
    #[must_use]
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Copy of this claim in another state.
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

/// First non-idempotent call of a request, and the servers that it may be sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ClaimedCall {
    /// Index of the stage in its pipeline, from 0.
    pub stage: u32,
    /// Whether it is the last stage, so that its answer is the answer to the whole request.
    pub last: bool,
    /// Backend servers that the claimant may send the call to; it uses no others.
    pub servers: Vec<ClaimServer>,
}

/// A backend server as the claimant knew it at the time of the claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimServer {
    /// Name of the backend server.
    pub name: ServerId,
    /// Number that identifies one start of the server's process; 0 if unknown.
    pub incarnation: u64,
    /// Whether the server answers status queries about a run.
    pub answers_status: bool,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The claimant may run the request, or may have run it.
    Claimed,
    /// The request did not run under this attempt and never will; another attempt may claim it.
    Released,
    /// The request ran and gave this answer.
    Answered {
        /// Body of the answer, JSON text.
        answer: Arc<str>,
    },
}

/// Identifier under which a backend server runs one stage of one attempt at most once.
#[must_use]
pub fn run_id(attempt: &AttemptId, stage: u32) -> Arc<str> {
    format!("{attempt}.{stage}").into()
}
