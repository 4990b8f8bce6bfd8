//! What a load asks for: pipelines with their shares, and customers with theirs.
//!
//! A workload comes from a [preset](crate::preset) or from a JSON file:
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

use sardineshore_core::{CustomerId, Finding, PipelineId, Place};
use serde::{Deserialize, Serialize};

/// A mix of requests and of the customers that send them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    /// Name, used in tags and reports.
    pub name: Arc<str>,
    /// Pipelines that are asked.
    pub pipelines: Vec<PipelineLoad>,
    /// Customers that ask.
    pub customers: Vec<CustomerShare>,
}

/// One pipeline and the requests that are sent to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipelineLoad {
    /// Name of the pipeline.
    pub name: PipelineId,
    /// Share of the requests, relative to the other pipelines.
    pub share: f64,
    /// Deadline that callers ask for, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the requests that ask for a stream, from 0 to 1.
    pub streamed: f64,
    /// Size of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Number of distinct prompt prefixes.
    pub prefixes: u32,
    /// Tokens that a generate stage is asked for; 0 for a pipeline that generates none.
    pub max_tokens: u32,
    /// Stages that an answer must have passed, in order.
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
    pub fn idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.idempotent)
    }

    /// Deadline that callers ask for.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// What a caller knows of a stage.
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
    /// Share of the requests, relative to the other customers.
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
    /// Reads a workload from JSON text; all faults are returned together.
    pub fn from_json(text: &str) -> Result<Self, Vec<Finding>> {
        let parsed: Result<Self, _> = serde_json::from_str(text);
        let workload = parsed.map_err(|err| vec![syntax_finding(&err)])?;
        let findings = workload.findings();
        if findings.is_empty() {
            Ok(workload)
        } else {
            Err(findings)
        }
    }

    /// Faults of the workload, each with the path of its field.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let mut faults = Faults::default();
        faults.require(!self.name.is_empty(), "name", "it is empty");
        faults.require(!self.pipelines.is_empty(), "pipelines", "there are none");
        faults.require(!self.customers.is_empty(), "customers", "there are none");
        for (i, pipeline) in self.pipelines.iter().enumerate() {
            check_pipeline(&mut faults, &format!("pipelines[{i}]"), pipeline);
        }
        for (i, customer) in self.customers.iter().enumerate() {
            let path = format!("customers[{i}]");
            faults.require(
                !customer.name.is_empty(),
                &format!("{path}.name"),
                "it is empty",
            );
            faults.require_share(&format!("{path}.share"), customer.share);
        }
        faults.findings
    }
}

fn check_pipeline(faults: &mut Faults, path: &str, pipeline: &PipelineLoad) {
    let field = |name: &str| format!("{path}.{name}");
    faults.require(!pipeline.name.is_empty(), &field("name"), "it is empty");
    faults.require_share(&field("share"), pipeline.share);
    faults.require(pipeline.deadline_ms > 0, &field("deadline_ms"), "it is 0");
    faults.require(
        (0.0..=1.0).contains(&pipeline.streamed),
        &field("streamed"),
        "it is not between 0 and 1",
    );
    faults.require(pipeline.prefixes > 0, &field("prefixes"), "it is 0");
    faults.require(
        !pipeline.stages.is_empty(),
        &field("stages"),
        "there are none",
    );
}

fn syntax_finding(err: &serde_json::Error) -> Finding {
    Finding {
        place: Place::Text {
            line: err.line(),
            column: err.column(),
        },
        message: err.to_string(),
    }
}

#[derive(Debug, Default)]
struct Faults {
    findings: Vec<Finding>,
}

impl Faults {
    fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.findings.push(Finding {
                place: Place::Setting(path.into()),
                message: message.into(),
            });
        }
    }

    fn require_share(&mut self, path: &str, share: f64) {
        let positive = share.is_finite() && share > 0.0;
        self.require(positive, path, "it is not a positive number");
    }
}
