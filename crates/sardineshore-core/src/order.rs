//! Orders to model engines, such as loading a model or changing the role.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CommandId, ServerId};

/// Fencing token of a lease; grows with each new holder.
pub type FencingToken = u64;

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifier of the command that requested the order.
    pub command: CommandId,
    /// Backend server that is the engine.
    pub server: ServerId,
    /// Action to execute.
    pub action: EngineAction,
}

/// Action that an engine executes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum EngineAction {
    /// Load a version of a model.
    LoadModel {
        /// Model.
        model: Arc<str>,
        /// Version.
        version: Arc<str>,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// Adapter.
        adapter: Arc<str>,
    },
    /// Change role.
    SetRole {
        /// Role, such as `prefill` or `decode`.
        role: Arc<str>,
    },
}
