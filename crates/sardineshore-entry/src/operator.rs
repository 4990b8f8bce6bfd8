//! The JSON-RPC methods for operators: queries, commands and orders to engines.

use std::fmt;
use std::sync::Arc;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use sardineshore_core::{CommandId, EngineAction, Query, QueryResponse, ServerId, Version};
use sardineshore_wire::operator::{
    OperatorServer, OrderOutcome, Progress, Submission, SubmitReply,
};

use crate::config::ConfigService;

/// Answers queries about requests, backend servers and costs.
pub trait QueryHandler: fmt::Debug + Send + Sync {
    /// The result of a query; `None` for queries about the configuration or instances.
    fn answer(&self, query: &Query) -> Option<QueryResponse>;
}

/// Executes orders to engines.
#[async_trait]
pub trait OrderExecutor: fmt::Debug + Send + Sync {
    /// Executes an action on one engine and returns its outcome.
    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> OrderOutcome;
}

/// Lifts the quarantine of requests.
#[async_trait]
pub trait QuarantineRelease: fmt::Debug + Send + Sync {
    /// Lifts the quarantine of a fingerprint; returns whether it was under quarantine.
    async fn release(&self, fingerprint: Arc<str>) -> bool;
}

/// The JSON-RPC methods for operators.
#[derive(Debug, Clone)]
pub struct OperatorApi {
    service: Arc<ConfigService>,
    queries: Arc<dyn QueryHandler>,
    orders: Arc<dyn OrderExecutor>,
    releases: Arc<dyn QuarantineRelease>,
}

impl OperatorApi {
    /// Creates the methods from the services that handle them.
    #[must_use]
    pub fn new(
        service: Arc<ConfigService>,
        queries: Arc<dyn QueryHandler>,
        orders: Arc<dyn OrderExecutor>,
        releases: Arc<dyn QuarantineRelease>,
    ) -> Self {
        Self {
            service,
            queries,
            orders,
            releases,
        }
    }

    /// The configuration service.
    #[must_use]
    pub fn service(&self) -> &Arc<ConfigService> {
        &self.service
    }

    fn answer_from_config(&self, query: &Query) -> Option<QueryResponse> {
        let deployment = || self.service.state().log.deployment().clone();
        match query {
            Query::Instances => Some(QueryResponse::Instances(self.service.instances())),
            Query::Versions => Some(QueryResponse::Versions(self.service.versions())),
            Query::Pipelines => {
                let pipelines = deployment().pipelines.values().cloned().collect();
                Some(QueryResponse::Pipelines(pipelines))
            }
            _ => None,
        }
    }
}

#[async_trait]
impl OperatorServer for OperatorApi {
    async fn query(&self, query: Query) -> RpcResult<QueryResponse> {
        let answer = self.queries.answer(&query);
        let answer = answer.or_else(|| self.answer_from_config(&query));
        answer.ok_or_else(|| unsupported_query(&query))
    }

    async fn submit(&self, submission: Submission) -> RpcResult<SubmitReply> {
        Ok(self.service.submit(submission).await)
    }

    async fn progress(&self, version: Version) -> RpcResult<Progress> {
        Ok(self.service.progress(version))
    }

    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> RpcResult<OrderOutcome> {
        Ok(self.orders.order(command, server, action).await)
    }

    async fn release(&self, fingerprint: Arc<str>) -> RpcResult<bool> {
        Ok(self.releases.release(fingerprint).await)
    }
}

fn unsupported_query(query: &Query) -> ErrorObjectOwned {
    let message = format!("this instance does not answer {query:?}");
    ErrorObjectOwned::owned(ErrorCode::InvalidParams.code(), message, None::<()>)
}
