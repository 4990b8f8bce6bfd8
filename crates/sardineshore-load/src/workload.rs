//! Workloads: which pipelines are requested and by which customers, each with its share.
//!
//! A workload is a [preset](crate::preset) or comes from a JSON file:
//!
//! ```
//! use sardineshore_load::workload::Workload;
//!
//! let text = r#"{
//!     "name": "small",
//!     "pipelines": [{"name": "ask", "deadline_ms": 2000, "stages": [{"name": "answer"}]}],
//!     "customers": [{"name": "bench", "share": 3.0}]
//! }"#;
//! assert!(Workload::from_json(text).is_ok());
//! ```

use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::{CustomerId, Diagnostic, Location, PipelineId};
use serde::{Deserialize, Serialize};

/// A mix of requests and of the customers that send them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    /// Name, used in tags and reports.
    pub name: Arc<str>,
    /// Pipelines that are requested; at least one.
    pub pipelines: Vec<PipelineLoad>,
    /// Customers that send the requests; at least one.
    pub customers: Vec<CustomerShare>,
}

/// One pipeline and the requests that are sent to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipelineLoad {
    /// Name of the pipeline.
    pub name: PipelineId,
    /// Share of all requests, relative to the other pipelines; positive.
    pub share: f64,
    /// Time within which callers ask for the answer, in milliseconds; positive.
    pub deadline_ms: u64,
    /// Share of this pipeline's requests that ask for a stream, from 0 to 1.
    pub streamed: f64,
    /// Size of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Number of distinct prompt prefixes; positive.
    pub prefixes: u32,
    /// Number of tokens that a generate stage must return; 0 for a pipeline without one.
    pub max_tokens: u32,
    /// Stages that an answer must have passed, in order; at least one.
    pub stages: Vec<StageInfo>,
}

impl Default for PipelineLoad {
    fn default() -> Self {
        Self {
            name: "".into(),
            share: 1.0,
            deadline_ms: 2_000,
            streamed: 0.0,
            prompt_bytes: 256,
            prefixes: 4,
            max_tokens: 0,
            stages: Vec::new(),
        }
    }
}

impl PipelineLoad {
    /// Whether every stage is idempotent.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.idempotent)
    }

    /// Time within which callers ask for the answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// What the load tool knows about a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StageInfo {
    /// Name of the stage.
    pub name: Arc<str>,
    /// Whether it may run more than once for the same request.
    pub idempotent: bool,
}

impl Default for StageInfo {
    fn default() -> Self {
        Self {
            name: "".into(),
            idempotent: true,
        }
    }
}

/// One customer and its share of the requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CustomerShare {
    /// Name of the customer.
    pub name: CustomerId,
    /// Share of all requests, relative to the other customers; positive.
    pub share: f64,
}

impl Default for CustomerShare {
    fn default() -> Self {
        Self {
            name: "".into(),
            share: 1.0,
        }
    }
}

impl Workload {
    /// Parses a workload from JSON text; all errors are returned together.
    pub fn from_json(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let parsed: Result<Self, _> = serde_json::from_str(text);
        let workload = parsed.map_err(|err| vec![syntax_finding(&err)])?;
        let findings = workload.findings();
        if findings.is_empty() {
            Ok(workload)
        } else {
            Err(findings)
        }
    }

    /// Errors in the workload, each with the path of its field.
    #[must_use]
    pub fn findings(&self) -> Vec<Diagnostic> {
        let mut errors = ErrorCollector::default();
        errors.require(!self.name.is_empty(), "name", "it is empty");
        errors.require(!self.pipelines.is_empty(), "pipelines", "there are none");
        errors.require(!self.customers.is_empty(), "customers", "there are none");
        for (i, pipeline) in self.pipelines.iter().enumerate() {
            check_pipeline(&mut errors, &format!("pipelines[{i}]"), pipeline);
        }
        for (i, customer) in self.customers.iter().enumerate() {
            let path = format!("customers[{i}]");
            errors.require(
                !customer.name.is_empty(),
                &format!("{path}.name"),
                "it is empty",
            );
            errors.require_share(&format!("{path}.share"), customer.share);
        }
        errors.findings
    }
}

fn check_pipeline(errors: &mut ErrorCollector, path: &str, pipeline: &PipelineLoad) {
    let field = |name: &str| format!("{path}.{name}");
    errors.require(!pipeline.name.is_empty(), &field("name"), "it is empty");
    errors.require_share(&field("share"), pipeline.share);
    errors.require(pipeline.deadline_ms > 0, &field("deadline_ms"), "it is 0");
    errors.require(
        (0.0..=1.0).contains(&pipeline.streamed),
        &field("streamed"),
        "it is not between 0 and 1",
    );
    errors.require(pipeline.prefixes > 0, &field("prefixes"), "it is 0");
    errors.require(
        !pipeline.stages.is_empty(),
        &field("stages"),
        "there are none",
    );
}

fn syntax_finding(err: &serde_json::Error) -> Diagnostic {
    Diagnostic {
        place: Location::Text {
            line: err.line(),
            column: err.column(),
        },
        message: err.to_string(),
    }
}

#[derive(Debug, Default)]
struct ErrorCollector {
    findings: Vec<Diagnostic>,
}

impl ErrorCollector {
    fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.findings.push(Diagnostic {
                place: Location::Setting(path.into()),
                message: message.into(),
            });
        }
    }

    fn require_share(&mut self, path: &str, share: f64) {
        let positive = share.is_finite() && share > 0.0;
        self.require(positive, path, "it is not a positive number");
    }
}
