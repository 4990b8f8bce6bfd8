//! JSON-RPC API between entry instances.
//!
//! Instances exchange a [`GossipMessage`] with one peer after another ([`PeerClient::exchange`]).
//! The request names the sender's configuration version, so that the receiver can fetch entries
//! that it lacks. The response holds ages, which the sender of the request counts from when it
//! sent it. Serialized field names are short, since these messages are most of an instance's
//! control traffic.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sardineshore_core::claim::PeerReply;
use sardineshore_core::config_log::LogEntry;
use sardineshore_core::flow::quarantine::Evidence as PromptEvidence;
use sardineshore_core::membership::leaving::LeavingNotice;
use sardineshore_core::quarantine::Evidence;
use sardineshore_core::{
    AttemptId, CommitOutcome, Deployment, InstanceId, StoreError, Txn, Version,
};
use serde::{Deserialize, Serialize};

/// Methods that an entry instance serves to its peers.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Takes the peer's state, and answers with what this instance knows.
    #[method(name = "exchange")]
    async fn exchange(&self, exchange: GossipMessage) -> RpcResult<GossipMessage>;

    /// Returns the entries of the configuration log after a version.
    #[method(name = "log")]
    async fn log(&self, after: Version) -> RpcResult<LogReply>;

    /// Returns the roster of this instance: the member names in the order that
    /// [`GossipMessage::relay`] uses.
    #[method(name = "roster")]
    async fn roster(&self) -> RpcResult<Vec<InstanceId>>;
}

/// Methods about claims on idempotency keys that an entry instance serves to its peers.
#[rpc(client, server, namespace = "claims")]
pub trait Claims {
    /// Returns the state of an attempt that the called instance made.
    #[method(name = "claim")]
    async fn claim(&self, attempt: AttemptId) -> RpcResult<PeerReply>;

    /// Commits a claim's transaction, batched with those of other instances.
    #[method(name = "commit")]
    async fn commit(&self, txn: Txn) -> RpcResult<RelayReply>;
}

/// Result of a transaction that one instance committed for another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum RelayReply {
    /// The table service answered.
    Answered {
        /// Its answer.
        commit: CommitOutcome,
    },
    /// The table service did not answer.
    Failed {
        /// Why; it also says whether the transaction may have been committed.
        error: StoreError,
    },
}

/// State that one instance sends to another, as the request or the response of
/// [`PeerClient::exchange`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GossipMessage {
    /// Instance that sends the message.
    #[serde(rename = "i")]
    pub sender: InstanceId,
    /// Configuration version that is active on the sender; `None` while it starts.
    #[serde(rename = "v", skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Lifecycle phase of the sender.
    #[serde(rename = "p", skip_serializing_if = "InstancePhase::is_running")]
    pub phase: InstancePhase,
    /// Time since the store last confirmed the sender's configuration, in milliseconds; only in
    /// responses.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub confirmation_age_ms: Option<u64>,
    /// Digest of the roster that gives the order of members in `relay`; only in responses.
    #[serde(rename = "d", skip_serializing_if = "is_zero")]
    pub roster_digest: u64,
    /// What the sender knows of all members, as a `sardineshore_core::contact::relay::Relay`
    /// encodes it; only in responses.
    #[serde(rename = "r", skip_serializing_if = "str::is_empty")]
    pub relay: Arc<str>,
    /// Backend servers that the instance list marks as leaving, or no longer does. Requests name
    /// only those that are leaving.
    #[serde(rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingNotice>,
    /// Recent evidence about requests that crash backend servers.
    #[serde(rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<Evidence>,
    /// Recent evidence about beginnings of prompts that crash backend servers.
    #[serde(rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<PromptEvidence>,
}

impl Default for GossipMessage {
    fn default() -> Self {
        Self {
            sender: "".into(),
            version: None,
            phase: InstancePhase::Running,
            confirmation_age_ms: None,
            roster_digest: 0,
            relay: "".into(),
            leaving: Vec::new(),
            evidence: Vec::new(),
            prompts: Vec::new(),
        }
    }
}

/// Lifecycle phase of an entry instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstancePhase {
    /// The instance is starting or running.
    #[default]
    Running,
    /// The instance finishes its requests in flight and admits no new ones.
    Leaving,
    /// The instance has finished its last request and will never dispatch again.
    Stopped,
}

impl InstancePhase {
    /// Whether the phase is [`InstancePhase::Running`]; such a phase is not serialized.
    #[must_use]
    pub fn is_running(&self) -> bool {
        *self == Self::Running
    }
}

/// Reply to a request for log entries after a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum LogReply {
    /// All entries after the version.
    Entries {
        /// Entries, oldest first.
        entries: Vec<LogEntry>,
    },
    /// The instance no longer has all of these entries, and sends its whole configuration.
    Snapshot {
        /// Configuration that is active on the instance.
        deployment: Arc<Deployment>,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference to skip_serializing_if"
)]
fn is_zero(digest: &u64) -> bool {
    *digest == 0
}
