//! Domain types and the decision logic of sardineshore, as state machines without I/O.
//!
//! Nothing in this crate performs I/O, reads the clock by itself or starts a task: a state machine
//! takes events and the current time and returns actions. The programs, the tests and the model
//! checker all run the same code.
//!
//! ```
//! use sardineshore_core::{Change, Deployment, Pipeline, Stage};
//!
//! let mut deployment = Deployment::default();
//! let pipeline = Pipeline {
//!     name: "reports".into(),
//!     stages: vec![Stage { name: "encode".into(), pool: "encoders".into(), ..Stage::default() }],
//!     ..Pipeline::default()
//! };
//! deployment.apply(&Change::CreatePipeline { pipeline }).unwrap();
//! assert!(deployment.pipelines.contains_key("reports"));
//! ```

pub mod change;
pub mod claim;
pub mod clock;
pub mod command;
pub mod config_log;

pub mod deployment;
pub mod diagnostic;
pub mod duration;
pub mod event;

pub mod flow;
pub mod id;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod order;
pub mod outcome;
pub mod quarantine;
pub mod query;
pub mod quorum;
pub mod retry;
pub mod routing;
pub mod store;

pub use change::{Change, ChangeError};
pub use clock::{Clock, ManualClock, SystemClock};
pub use command::Statement;
pub use deployment::{
    BackendServer, Customer, Deployment, Objective, Pipeline, ServerState, Stage, StageKind,
};
pub use diagnostic::{Diagnostic, Location};
pub use event::EventKind;
pub use id::{
    AttemptId, CommandId, CustomerId, DomainId, Fingerprint, InstanceId, PipelineId, PoolId,
    RequestId, Revision, ServerId, Version,
};
pub use limits::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, AdmissionResponse,
    Completion, ConcurrencyLimit, DequeueOutcome, DequeuedRequest, QueueSample, Ticket,
};
pub use order::{EngineAction, EngineOrder, FencingToken};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use query::{
    CostGrouping, CostRow, CustomerRow, EventRow, InstanceRow, QuarantineRow, Query, QueryResponse,
    ServerRow, VersionRow,
};
pub use retry::{
    DeadlineSplitter, EndedAttempt, HedgePolicy, NoRetryReason, RetryBudget, RetryConfig,
    RetryController, RetryDecision, StageLatencies, StageQuantiles,
};
pub use routing::{
    AttemptReport, AttemptResult, LoadPoll, Policy, Router, RoutingConfig, RoutingDecision,
    RoutingNotice, SelectedServer, SelectionError, SelectionRequest, ServerLoad, StreamOrigin,
};
pub use store::{Check, CommitOutcome, MemoryTable, Put, Row, StoreError, Txn};
