//! JSON-RPC between entry instances.
//!
//! Instances ask one another in turn ([`PeerClient::exchange`]). The question names the asker's version,
//! so that the asked instance can fetch entries that it lacks; the answer tells ages, which the
//! asker counts from when it asked. Field names are short, since these messages are most of what
//! an instance spends on control.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sardineshore_core::claim::PeerReply;
use sardineshore_core::config_log::LogEntry;
use sardineshore_core::membership::leaving::LeavingNotice;
use sardineshore_core::quarantine::Evidence;
use sardineshore_core::{
    AttemptId, CommitOutcome, Deployment, InstanceId, StoreError, Txn, Version,
};
use serde::{Deserialize, Serialize};

/// Methods that an entry instance serves to its peers.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Tells the asker's version, and answers with what this instance knows.
    #[method(name = "exchange")]
    async fn exchange(&self, exchange: GossipMessage) -> RpcResult<GossipMessage>;

    /// Entries of the log after a version.
    #[method(name = "log")]
    async fn log(&self, after: Version) -> RpcResult<LogReply>;

    /// Names in whose order this instance tells of members.
    #[method(name = "roster")]
    async fn roster(&self) -> RpcResult<Vec<InstanceId>>;
}

/// Questions about claims between entry instances.
#[rpc(client, server, namespace = "claims")]
pub trait Claims {
    /// What became of an attempt of the asked instance.
    #[method(name = "claim")]
    async fn claim(&self, attempt: AttemptId) -> RpcResult<PeerReply>;

    /// Writes a claim's transaction together with those of other instances.
    #[method(name = "commit")]
    async fn commit(&self, txn: Txn) -> RpcResult<RelayReply>;
}

/// What the table answered to a relayed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum RelayReply {
    /// It answered.
    Answered {
        /// Its answer.
        commit: CommitOutcome,
    },
    /// It gave no answer.
    Failed {
        /// Why.
        error: StoreError,
    },
}

/// What one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GossipMessage {
    /// Instance that tells.
    #[serde(rename = "i")]
    pub sender: InstanceId,
    /// Version in force there; nothing while it starts.
    #[serde(rename = "v", skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Whether it is stopping, or has ended its last work.
    #[serde(rename = "p", skip_serializing_if = "InstancePhase::is_running")]
    pub phase: InstancePhase,
    /// Age of its store confirmation, in milliseconds; only in answers.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub confirmation_age_ms: Option<u64>,
    /// Digest of the roster in whose order `relay` tells of members; only in answers.
    #[serde(rename = "d", skip_serializing_if = "is_zero")]
    pub roster_digest: u64,
    /// What it knows of all members, as a `sardineshore_core::contact::relay::Relay` writes it;
    /// only in answers.
    #[serde(rename = "r", skip_serializing_if = "str::is_empty")]
    pub relay: Arc<str>,
    /// Backend servers whose mark in the instance list has changed; in questions only those that
    /// are leaving.
    #[serde(rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingNotice>,
    /// Recent evidence on requests that crash backend servers.
    #[serde(rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<Evidence>,
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
        }
    }
}

/// How far an instance is in its life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstancePhase {
    /// It runs, or starts.
    #[default]
    Running,
    /// It finishes its work in flight and admits no more.
    Leaving,
    /// It has ended its last work and will never dispatch again.
    Stopped,
}

impl InstancePhase {
    /// Whether the instance is neither leaving nor stopped.
    #[must_use]
    pub fn is_running(&self) -> bool {
        *self == Self::Running
    }
}

/// Entries after the version asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum LogReply {
    /// The entries, oldest first.
    Entries {
        /// Entries.
        entries: Vec<LogEntry>,
    },
    /// Some of the entries are no longer kept; the configuration as a whole.
    Snapshot {
        /// Configuration in force.
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
