//! Changes that operators make to the configuration, and the rules for applying them.
//!
//! [`Deployment::apply`] applies one [`Change`], or returns a [`ChangeError`] and leaves the
//! configuration as it is.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    BackendServer, Customer, CustomerId, Deployment, Objective, Pipeline, PipelineId, ServerId,
    ServerState,
};

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// Declares a new pipeline.
    CreatePipeline {
        /// Declaration of the pipeline; it has at least one stage, and its stages differ in name.
        pipeline: Pipeline,
    },
    /// Removes a pipeline.
    RemovePipeline {
        /// Name of the pipeline.
        name: PipelineId,
    },
    /// Changes the deadline of a pipeline.
    SetDeadline {
        /// Name of the pipeline.
        name: PipelineId,
        /// New deadline, above zero.
        deadline: Duration,
    },
    /// Marks one stage idempotent or non-idempotent.
    MarkStage {
        /// Name of the pipeline.
        pipeline: PipelineId,
        /// Name of the stage in the pipeline.
        stage: std::sync::Arc<str>,
        /// Whether the stage may run more than once for the same request.
        idempotent: bool,
    },
    /// Declares a new backend server.
    AddServer {
        /// Declaration of the backend server.
        server: BackendServer,
    },
    /// Replaces the declaration of a backend server, except its state.
    ReconfigureServer {
        /// New declaration of the backend server with this name.
        server: BackendServer,
    },
    /// Stops new work for a backend server.
    DrainServer {
        /// Name of the backend server.
        name: ServerId,
    },
    /// Allows new work for a draining backend server again.
    ResumeServer {
        /// Name of the backend server.
        name: ServerId,
    },
    /// Removes a backend server, which must be draining.
    RemoveServer {
        /// Name of the backend server.
        name: ServerId,
    },
    /// Sets the weight of a customer.
    SetWeight {
        /// Name of the customer.
        name: CustomerId,
        /// Share of capacity relative to other customers; finite and above zero.
        weight: f64,
    },
    /// Sets what routing optimises first.
    SetObjective {
        /// New objective.
        objective: Objective,
    },
}

/// Why a change can't be applied to a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum ChangeError {
    /// The item to declare already exists.
    #[error("{kind} {name:?} already exists")]
    Exists {
        /// Kind of the item, such as `pipeline` or `server`.
        kind: String,
        /// Name of the item.
        name: String,
    },
    /// The item to change does not exist.
    #[error("{kind} {name:?} does not exist")]
    Missing {
        /// Kind of the item, such as `pipeline` or `server`.
        kind: String,
        /// Name of the item.
        name: String,
    },
    /// The declaration is not valid, or the item's state does not allow the change.
    #[error("{kind} {name:?}: {reason}")]
    Invalid {
        /// Kind of the item, such as `pipeline` or `server`.
        kind: String,
        /// Name of the item.
        name: String,
        /// What is wrong with the item or the change.
        reason: String,
    },
}

impl ChangeError {
    fn exists(kind: &str, name: &str) -> Self {
        Self::Exists {
            kind: kind.into(),
            name: name.into(),
        }
    }

    fn missing(kind: &str, name: &str) -> Self {
        Self::Missing {
            kind: kind.into(),
            name: name.into(),
        }
    }

    fn invalid(kind: &str, name: &str, reason: &str) -> Self {
        Self::Invalid {
            kind: kind.into(),
            name: name.into(),
            reason: reason.into(),
        }
    }
}

impl Deployment {
    /// Applies a change. Does not change [`Self::version`]; the caller sets it.
    pub fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::CreatePipeline { pipeline } => self.create_pipeline(pipeline),
            Change::RemovePipeline { name } => self
                .pipelines
                .remove(name)
                .map(|_| ())
                .ok_or_else(|| ChangeError::missing("pipeline", name)),
            Change::SetDeadline { name, deadline } => self.set_deadline(name, *deadline),
            Change::MarkStage {
                pipeline,
                stage,
                idempotent,
            } => self.mark_stage(pipeline, stage, *idempotent),
            Change::AddServer { server } => self.add_server(server),
            Change::ReconfigureServer { server } => self.reconfigure_server(server),
            Change::DrainServer { name } => self.set_state(name, ServerState::Draining),
            Change::ResumeServer { name } => self.set_state(name, ServerState::Active),
            Change::RemoveServer { name } => self.remove_server(name),
            Change::SetWeight { name, weight } => self.set_weight(name, *weight),
            Change::SetObjective { objective } => {
                self.objective = *objective;
                Ok(())
            }
        }
    }

    fn create_pipeline(&mut self, pipeline: &Pipeline) -> Result<(), ChangeError> {
        if self.pipelines.contains_key(&pipeline.name) {
            return Err(ChangeError::exists("pipeline", &pipeline.name));
        }
        if pipeline.stages.is_empty() {
            return Err(ChangeError::invalid(
                "pipeline",
                &pipeline.name,
                "it has no stages",
            ));
        }
        if pipeline.deadline.is_zero() {
            return Err(ChangeError::invalid(
                "pipeline",
                &pipeline.name,
                "its deadline is zero",
            ));
        }
        let mut names: Vec<_> = pipeline.stages.iter().map(|stage| &stage.name).collect();
        names.sort();
        names.dedup();
        if names.len() != pipeline.stages.len() {
            return Err(ChangeError::invalid(
                "pipeline",
                &pipeline.name,
                "two stages share a name",
            ));
        }
        self.pipelines
            .insert(pipeline.name.clone(), pipeline.clone());
        Ok(())
    }

    fn set_deadline(&mut self, name: &PipelineId, deadline: Duration) -> Result<(), ChangeError> {
        let Some(pipeline) = self.pipelines.get_mut(name) else {
            return Err(ChangeError::missing("pipeline", name));
        };
        if deadline.is_zero() {
            return Err(ChangeError::invalid(
                "pipeline",
                name,
                "its deadline is zero",
            ));
        }
        pipeline.deadline = deadline;
        Ok(())
    }

    fn mark_stage(
        &mut self,
        name: &PipelineId,
        stage: &str,
        idempotent: bool,
    ) -> Result<(), ChangeError> {
        let Some(pipeline) = self.pipelines.get_mut(name) else {
            return Err(ChangeError::missing("pipeline", name));
        };
        let Some(found) = pipeline
            .stages
            .iter_mut()
            .find(|known| &*known.name == stage)
        else {
            return Err(ChangeError::missing("stage", stage));
        };
        found.idempotent = idempotent;
        Ok(())
    }

    fn add_server(&mut self, server: &BackendServer) -> Result<(), ChangeError> {
        if self.servers.contains_key(&server.name) {
            return Err(ChangeError::exists("server", &server.name));
        }
        check_server(server)?;
        self.servers.insert(server.name.clone(), server.clone());
        Ok(())
    }

    /// Replaces the declaration of a server, except its state.
    fn reconfigure_server(&mut self, server: &BackendServer) -> Result<(), ChangeError> {
        check_server(server)?;
        let Some(known) = self.servers.get_mut(&server.name) else {
            return Err(ChangeError::missing("server", &server.name));
        };
        *known = BackendServer {
            state: known.state,
            ..server.clone()
        };
        Ok(())
    }

    fn set_state(&mut self, name: &ServerId, state: ServerState) -> Result<(), ChangeError> {
        let Some(server) = self.servers.get_mut(name) else {
            return Err(ChangeError::missing("server", name));
        };
        server.state = state;
        Ok(())
    }

    fn remove_server(&mut self, name: &ServerId) -> Result<(), ChangeError> {
        let Some(server) = self.servers.get(name) else {
            return Err(ChangeError::missing("server", name));
        };
        if server.state == ServerState::Active {
            return Err(ChangeError::invalid(
                "server",
                name,
                "drain it before removing it",
            ));
        }
        self.servers.remove(name);
        Ok(())
    }

    fn set_weight(&mut self, name: &CustomerId, weight: f64) -> Result<(), ChangeError> {
        if !(weight.is_finite() && weight > 0.0) {
            return Err(ChangeError::invalid(
                "customer",
                name,
                "its weight is not positive",
            ));
        }
        self.customers.insert(
            name.clone(),
            Customer {
                name: name.clone(),
                weight,
            },
        );
        Ok(())
    }
}

/// Validates the address, capacity and cost of a declared server.
fn check_server(server: &BackendServer) -> Result<(), ChangeError> {
    if server.addr.parse::<std::net::SocketAddr>().is_err() {
        return Err(ChangeError::invalid(
            "server",
            &server.name,
            "its address is not IP:PORT",
        ));
    }
    if server.capacity == 0 {
        return Err(ChangeError::invalid(
            "server",
            &server.name,
            "its capacity is zero",
        ));
    }
    if !(server.cost.is_finite() && server.cost >= 0.0) {
        return Err(ChangeError::invalid(
            "server",
            &server.name,
            "its cost is negative",
        ));
    }
    Ok(())
}
