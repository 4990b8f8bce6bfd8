//! Serves operators: queries, commands and orders.

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
pub trait Queries: fmt::Debug + Send + Sync {
    /// Rows, or nothing if the query is not of this kind.
    fn answer(&self, query: &Query) -> Option<QueryResponse>;
}

/// Sends orders to engines.
#[async_trait]
pub trait Orders: fmt::Debug + Send + Sync {
    /// Orders one engine to act.
    async fn order(
        &self,
        command: CommandId,
        server: ServerId,
        action: EngineAction,
    ) -> OrderOutcome;
}

/// Lifts quarantines.
#[async_trait]
pub trait Releases: fmt::Debug + Send + Sync {
    /// Lifts the quarantine of a fingerprint; returns whether it was under quarantine.
    async fn release(&self, fingerprint: Arc<str>) -> bool;
}

/// Methods for operators.
#[derive(Debug, Clone)]
pub struct OperatorApi {
    service: Arc<ConfigService>,
    queries: Arc<dyn Queries>,
    orders: Arc<dyn Orders>,
    releases: Arc<dyn Releases>,
}

impl OperatorApi {
    /// Joins what answers operators.
    #[must_use]
    pub fn new(
        service: Arc<ConfigService>,
        queries: Arc<dyn Queries>,
        orders: Arc<dyn Orders>,
        releases: Arc<dyn Releases>,
    ) -> Self {
        Self {
            service,
            queries,
            orders,
            releases,
        }
    }

    /// The configuration service behind it.
    #[must_use]
    pub fn service(&self) -> &Arc<ConfigService> {
        &self.service
    }

    fn known_here(&self, query: &Query) -> Option<QueryResponse> {
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
        let answer = answer.or_else(|| self.known_here(&query));
        answer.ok_or_else(|| unanswered(&query))
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

fn unanswered(query: &Query) -> ErrorObjectOwned {
    let message = format!("this instance does not answer {query:?}");
    ErrorObjectOwned::owned(ErrorCode::InvalidParams.code(), message, None::<()>)
}
