//! JSON-RPC API that an entry instance offers to `sardinectl`.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sardineshore_core::{
    Change, ChangeError, CommandId, EngineAction, InstanceId, Query, QueryResponse, ServerId,
    Version,
};
use serde::{Deserialize, Serialize};

/// Methods that an entry instance serves to operators.
#[rpc(client, server, namespace = "operator")]
pub trait Operator {
    /// Answers a query.
    #[method(name = "query")]
    async fn query(&self, query: Query) -> RpcResult<QueryResponse>;

    /// Submits changes that are accepted together or not at all. Submitting the same command
    /// again returns the outcome of the first submission.
    #[method(name = "submit")]
    async fn submit(&self, submission: Submission) -> RpcResult<SubmitReply>;

    /// Returns on which instances an accepted version is active.
    #[method(name = "progress")]
    async fn progress(&self, version: Version) -> RpcResult<Progress>;

    /// Orders an engine to load a model or an adapter, or to change its role.
    #[method(name = "order")]
    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> RpcResult<OrderOutcome>;

    /// Lifts the quarantine of a fingerprint; returns whether there was one.
    #[method(name = "release")]
    async fn release(&self, fingerprint: Arc<str>) -> RpcResult<bool>;
}

/// A command of an operator that changes the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier, chosen by the sender; a command that is sent again keeps it.
    pub command: CommandId,
    /// Name of the operator.
    pub operator: Arc<str>,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// Outcome of a [`Submission`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum SubmitReply {
    /// The command is in the configuration log and stays there.
    Accepted {
        /// Version of the configuration that the command made.
        version: Version,
    },
    /// The command was rejected; nothing changed.
    Refused {
        /// Index of the change that can't be applied, from 0.
        change: usize,
        /// Why it can't be applied.
        refusal: ChangeError,
        /// Command that was accepted concurrently and made this one invalid, if that is the cause.
        winner: Option<CommandId>,
    },
    /// Nothing was written: this instance can't accept commands at present.
    NotAccepted {
        /// Why not.
        reason: String,
    },
    /// The write may have taken effect: its confirmation was lost and the log can't be read. The
    /// same command may be submitted again.
    Unconfirmed,
}

/// On which instances a version is active.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version that was asked about.
    pub version: Version,
    /// Whether it is active on every live instance.
    pub in_force: bool,
    /// Instances where it is active.
    pub applied: Vec<InstanceId>,
    /// Instances that have not confirmed that it is active.
    pub pending: Vec<InstanceId>,
}

/// Outcome of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OrderOutcome {
    /// The engine completed the order.
    Done,
    /// The order was not sent to the engine, and has no effect.
    NotSent {
        /// Why not.
        reason: String,
    },
    /// The engine may have carried out the order.
    Unknown {
        /// Why the outcome is not known.
        reason: String,
    },
}
