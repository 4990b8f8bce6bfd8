//! Names of the HTTP headers that sardineshore reads and writes.
//!
//! "Entry" is an entry instance.

/// Caller to entry: the customer's name.
pub const CUSTOMER: &str = "x-sardine-customer";
/// Caller to entry, and entry to backend server: time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-sardine-deadline-ms";
/// Caller to entry: a version 7 UUID, required for non-idempotent requests.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Entry to caller, entry to backend server and back: the request's identifier.
pub const REQUEST: &str = "x-sardine-request";
/// Entry to caller: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-sardine-outcome";
/// Entry to caller: the reason of `not-run` or `unknown`.
pub const REASON: &str = "x-sardine-reason";
/// Entry to caller: what `not-run` applies to, `send` or `request`.
pub const COVERS: &str = "x-sardine-covers";
/// Entry to backend server and back: the stage's name.
pub const STAGE: &str = "x-sardine-stage";
/// Entry to backend server and back: the attempt's identifier.
pub const ATTEMPT: &str = "x-sardine-attempt";
/// Entry to backend server: identifier of a non-idempotent run, which may run at most once.
pub const RUN_ID: &str = "x-sardine-run-id";
/// Entry to engine (a backend server that generates tokens): priority, 0 is the most urgent.
pub const PRIORITY: &str = "x-sardine-priority";
/// Entry to engine: sequence number of the first token to send, to resume a stream.
pub const RESUME_FROM: &str = "x-sardine-resume-from";
/// Backend server to entry: `ran` or `not-run`.
pub const RUN: &str = "x-sardine-run";
/// Backend server to entry, with a refusal: time for which it wants no requests, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Backend server to entry: a [`crate::backend::LoadReport`] as JSON.
pub const LOAD: &str = "x-sardine-load";
