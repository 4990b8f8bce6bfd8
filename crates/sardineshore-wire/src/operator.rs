//! JSON-RPC between `sardinectl` and an entry instance.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sardineshore_core::{
    Answer, Change, ChangeError, CommandId, EngineAction, InstanceId, Query, ServerId, Version,
};
use serde::{Deserialize, Serialize};

/// Methods that an entry instance serves to operators.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Answers a query.
    #[method(name = "query")]
    async fn query(&self, query: Query) -> RpcResult<Answer>;

    /// Submits changes that are accepted together or not at all. Submitting the same command
    /// again answers with what became of it.
    #[method(name = "submit")]
    async fn submit(&self, submission: Submission) -> RpcResult<SubmitReply>;

    /// Tells where an accepted version is in force.
    #[method(name = "progress")]
    async fn progress(&self, version: Version) -> RpcResult<Progress>;

    /// Orders an engine to load or to change role.
    #[method(name = "order")]
    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> RpcResult<OrderOutcome>;

    /// Lifts the quarantine of a fingerprint.
    #[method(name = "release")]
    async fn release(&self, fingerprint: Arc<str>) -> RpcResult<bool>;
}

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier, chosen by the sender, the same when it is sent again.
    pub command: CommandId,
    /// Who asks.
    pub operator: Arc<str>,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum SubmitReply {
    /// Written to the log; it never reverts.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// Refused; nothing was changed.
    Refused {
        /// Number of the change that does not fit, from 0.
        change: usize,
        /// Why.
        refusal: ChangeError,
        /// The command that won a race against this one, if that is the cause.
        winner: Option<CommandId>,
    },
    /// Nothing was written: this instance may not accept commands now.
    NotAccepted {
        /// Why.
        reason: String,
    },
    /// The write's confirmation was lost and the log can't be read; ask again.
    Unconfirmed,
}

/// Where a version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version asked for.
    pub version: Version,
    /// Whether it is in force on every live instance.
    pub in_force: bool,
    /// Instances where it is in force.
    pub applied: Vec<InstanceId>,
    /// Instances that have not confirmed it.
    pub pending: Vec<InstanceId>,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OrderOutcome {
    /// The engine carried it out.
    Done,
    /// The engine can't be told now.
    NotSent {
        /// Why.
        reason: String,
    },
    /// The engine may have carried it out.
    Unknown {
        /// Why.
        reason: String,
    },
}
