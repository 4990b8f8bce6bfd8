//! Queries of operators and the rows of their responses.

pub mod merge;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    BackendServer, CustomerId, DomainId, InstanceId, Pipeline, PoolId, RequestId, ServerId, Version,
};

/// A query of an operator; all of them are read-only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "query")]
pub enum Query {
    /// Entry instances known to the instance that responds.
    Instances,
    /// Declared pipelines.
    Pipelines,
    /// Backend servers, of one pool or of all.
    Servers {
        /// Pool, or all pools.
        pool: Option<PoolId>,
    },
    /// Customers that are declared or have sent requests.
    Customers,
    /// Cost since the start of each instance, by stage or by customer.
    Cost {
        /// Grouping.
        by: CostGrouping,
    },
    /// Active configuration version of each instance.
    Versions,
    /// Events of one request: which decisions were taken, when and why.
    Explain {
        /// The request.
        request: RequestId,
    },
    /// Quarantined fingerprints.
    Quarantine,
}

/// Grouping of costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CostGrouping {
    /// By pipeline and stage.
    Stage,
    /// By customer.
    Customer,
}

/// Response to a query: the rows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer", content = "rows")]
pub enum QueryResponse {
    /// Entry instances.
    Instances(Vec<InstanceRow>),
    /// Pipelines.
    Pipelines(Vec<Pipeline>),
    /// Backend servers.
    Servers(Vec<ServerRow>),
    /// Customers.
    Customers(Vec<CustomerRow>),
    /// Costs.
    Cost(Vec<CostRow>),
    /// Versions.
    Versions(Vec<VersionRow>),
    /// Events of one request, oldest first.
    Explain(Vec<EventRow>),
    /// Quarantined fingerprints.
    Quarantine(Vec<QuarantineRow>),
}

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// `self`, `live`, `silent` or `leaving`.
    pub state: Arc<str>,
    /// Active configuration version there, as last reported; 0 if unknown.
    pub version: Version,
    /// Milliseconds since it was last heard, directly or through others.
    pub heard_ms: u64,
}

/// One backend server with its load as last reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Its declaration.
    pub server: BackendServer,
    /// Attempts in flight from the instance that responds.
    pub in_flight: u32,
    /// Running requests according to its last load report.
    pub running: u32,
    /// Queued requests according to its last load report.
    pub queued: u32,
    /// Age of that report in milliseconds, if there was one.
    pub report_age_ms: Option<u64>,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Whether the instance list says that it is leaving.
    pub leaving: bool,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerRow {
    /// Name.
    pub customer: CustomerId,
    /// Share of capacity relative to other customers.
    pub weight: f64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests with unknown outcome.
    pub unknown: u64,
}

/// Cost of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CostRow {
    /// `pipeline/stage` or the customer's name.
    pub group: Arc<str>,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts beyond the first of each request and stage.
    pub extra: u64,
    /// Service time on backend servers in seconds.
    pub seconds: f64,
    /// Cost in the deployment's unit.
    pub cost: f64,
}

/// Active configuration version of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Instance.
    pub instance: InstanceId,
    /// Active version, as last reported.
    pub version: Version,
    /// Milliseconds since the instance last confirmed that this is the newest version.
    pub confirmed_ms: u64,
}

/// One numbered event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRow {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Instance that logged it.
    pub instance: InstanceId,
    /// Number in the event catalogue.
    pub event: u32,
    /// Text of the event.
    pub text: String,
}

/// One quarantined fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Fingerprint.
    pub fingerprint: Arc<str>,
    /// Crashes attributed to it.
    pub crashes: u32,
    /// Backend servers that crashed.
    pub servers: Vec<ServerId>,
    /// Milliseconds until a trial call may run; 0 on probation.
    pub remaining_ms: u64,
}
