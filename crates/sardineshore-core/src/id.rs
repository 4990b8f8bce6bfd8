//! Type aliases for the identifiers and numbers that several modules use.

use std::sync::Arc;

/// Name of a customer.
pub type CustomerId = Arc<str>;
/// Name of a pipeline.
pub type PipelineId = Arc<str>;
/// Name of a pool: backend servers that can run the same stages.
pub type PoolId = Arc<str>;
/// Name of a backend server.
pub type ServerId = Arc<str>;
/// Name of an entry instance; each start of a process has a new one.
pub type InstanceId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Identifier of one caller's request, assigned by the instance that admits it.
pub type RequestId = Arc<str>;
/// Identifier of one attempt to run a stage or to claim a key; unique across all instances.
pub type AttemptId = Arc<str>;
/// Identifier of one operator's command.
pub type CommandId = Arc<str>;
/// SHA-256 hash of a request's pipeline and body, in hexadecimal.
pub type Fingerprint = Arc<str>;
/// Number of a configuration. Each accepted command raises it by one; the first makes version 1.
pub type Version = u64;
/// Revision of a row in the platform's table; 0 means that the row does not exist.
pub type Revision = u64;
