//! Type aliases of the identifiers that cross module borders.

use std::sync::Arc;

/// Name of a customer.
pub type CustomerId = Arc<str>;
/// Name of a pipeline.
pub type PipelineId = Arc<str>;
/// Name of a pool of backend servers that serve the same stage.
pub type PoolId = Arc<str>;
/// Name of a backend server.
pub type ServerId = Arc<str>;
/// Name of an entry instance; unique for each start of a process.
pub type InstanceId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Identifier of one caller's request, assigned by the instance that admits it.
pub type RequestId = Arc<str>;
/// Identifier of one attempt to run a stage or to claim a key; unique across the fleet.
pub type AttemptId = Arc<str>;
/// Identifier of one operator's command.
pub type CommandId = Arc<str>;
/// SHA-256 of a request's pipeline and body, in hexadecimal.
pub type Fingerprint = Arc<str>;
/// Number of an accepted configuration; grows by one with each change, starting from 1.
pub type Version = u64;
/// Revision of a row in the table service; 0 means that the row does not exist.
pub type Revision = u64;
