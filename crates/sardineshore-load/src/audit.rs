//! Compares the outcomes that callers saw with the execution logs of backend servers.
//!
//! An audit relies on these logs only, not on the counters of the programs that it audits. A log
//! that can't be read is an error, so that missing data never passes for a clean result.
//!
//! ```
//! use sardineshore_load::audit::{Audit, AuditLogs};
//!
//! let result = Audit::default().check(&AuditLogs::default());
//! assert!(result.is_clean());
//! ```

pub mod logs;
pub mod result;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use sardineshore_core::PipelineId;
use sardineshore_wire::audit_log::{CallRecord, ExecutionEvent, ExecutionRecord};

use crate::workload::{PipelineLoad, StageInfo, Workload};

pub use logs::{AuditLogs, LogError};
pub use result::{AuditResult, Violation};

/// Interval in which an entry instance was made to fail on purpose, so that it could not reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// `IP:PORT` where the instance accepts callers.
    pub entry: Arc<str>,
    /// Start of the interval, Unix time in milliseconds.
    pub from_ms: u64,
    /// End of the interval, Unix time in milliseconds.
    pub until_ms: u64,
}

impl Outage {
    /// Whether the outage overlaps a call to the same instance, which may then get no reply.
    fn explains(&self, call: &CallRecord) -> bool {
        let overlaps = call.due_ms <= self.until_ms && self.from_ms <= ended_by_ms(call);
        self.entry == call.entry && overlaps
    }
}

/// Unix time in milliseconds, rounded up, at which the caller had its reply or gave up.
fn ended_by_ms(call: &CallRecord) -> u64 {
    call.due_ms + call.latency_us.div_ceil(1_000)
}

/// Checks logs, given the pipelines and the outages of the run.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, PipelineLoad>,
    /// Intervals in which entry instances were made to fail.
    pub outages: Vec<Outage>,
}

impl Audit {
    /// Creates an audit of runs with these workloads, without outages.
    #[must_use]
    pub fn for_workloads(workloads: &[Workload]) -> Self {
        let pipelines = workloads.iter().flat_map(|workload| &workload.pipelines);
        Self {
            pipelines: pipelines
                .map(|pipeline| (pipeline.name.clone(), pipeline.clone()))
                .collect(),
            outages: Vec::new(),
        }
    }

    /// Counts the outcomes and finds every violation.
    #[must_use]
    pub fn check(&self, logs: &AuditLogs) -> AuditResult {
        let index = ExecutionIndex::new(&logs.executions);
        let mut result = AuditResult::default();
        for call in &logs.calls {
            self.check_call(call, &index, &mut result);
        }
        result.doubled.extend(index.doubled_run_ids());
        result
            .doubled
            .extend(self.doubled_tags(&logs.calls, &index));
        result
    }

    fn check_call(&self, call: &CallRecord, index: &ExecutionIndex, result: &mut AuditResult) {
        result.offered += 1;
        match &*call.outcome {
            "answered" => {
                result.answered += 1;
                self.check_answer(call, index, result);
            }
            "not-run" => {
                result.not_run += 1;
                self.check_not_run(call, index, result);
            }
            "unknown" => result.unknown += 1,
            "no-reply" if self.outages.iter().any(|outage| outage.explains(call)) => {
                result.unknown += 1;
            }
            _ => result
                .lost
                .push(Violation::new(call, &self.no_reply_text(call))),
        }
    }

    /// Describes a missing reply, with the outages of its entry instance, none of which overlap
    /// the call.
    fn no_reply_text(&self, call: &CallRecord) -> String {
        let (due, by) = (call.due_ms, ended_by_ms(call));
        let outages = self
            .outages
            .iter()
            .filter(|outage| outage.entry == call.entry);
        let intervals: Vec<String> = outages
            .map(|outage| format!("{} to {}", outage.from_ms, outage.until_ms))
            .collect();
        if intervals.is_empty() {
            return "no reply".into();
        }
        format!(
            "no reply from {due} to {by}; outages: {}",
            intervals.join(", ")
        )
    }

    fn check_answer(&self, call: &CallRecord, index: &ExecutionIndex, result: &mut AuditResult) {
        if call.answer_tag != call.tag {
            result
                .misdelivered
                .push(Violation::new(call, "the answer's tag differs"));
            return;
        }
        if !call.whole {
            result
                .lost
                .push(Violation::new(call, "the answer is incomplete"));
            return;
        }
        let finished = |stage: &&StageInfo| index.is_finished(&call.tag, &stage.name);
        let stages = self.stages(call);
        if stages.is_empty() {
            result
                .lost
                .push(Violation::new(call, "the pipeline is not known"));
        }
        if let Some(missing) = stages.iter().find(|stage| !finished(stage)) {
            let text = format!("stage {} has no finished execution", missing.name);
            result.lost.push(Violation::new(call, &text));
        }
    }

    fn check_not_run(&self, call: &CallRecord, index: &ExecutionIndex, result: &mut AuditResult) {
        let begun =
            |stage: &&StageInfo| !stage.idempotent && index.begun_count(&call.tag, &stage.name) > 0;
        if let Some(stage) = self.stages(call).iter().find(begun) {
            let text = format!(
                "the outcome was not-run, but stage {} had begun",
                stage.name
            );
            result.doubled.push(Violation::new(call, &text));
        }
    }

    /// Non-idempotent stages that began more than once for the same logical request.
    fn doubled_tags<'a>(
        &'a self,
        calls: &'a [CallRecord],
        index: &'a ExecutionIndex,
    ) -> impl Iterator<Item = Violation> + 'a {
        calls.iter().flat_map(move |call| {
            let effects = self.stages(call).iter().filter(|stage| !stage.idempotent);
            let doubled = effects.filter(|stage| index.begun_count(&call.tag, &stage.name) > 1);
            doubled.map(|stage| {
                let times = index.begun_count(&call.tag, &stage.name);
                Violation::new(call, &format!("stage {} began {times} times", stage.name))
            })
        })
    }

    fn stages(&self, call: &CallRecord) -> &[StageInfo] {
        self.pipelines
            .get(&call.pipeline)
            .map_or(&[], |pipeline| &pipeline.stages)
    }
}

/// Tag of a logical request, and name of a stage.
type TagStage = (Arc<str>, Arc<str>);

/// Executions by tag and stage, and by run identifier.
#[derive(Debug, Default)]
struct ExecutionIndex {
    begun: HashMap<TagStage, usize>,
    finished: HashSet<TagStage>,
    begun_run_ids: BTreeMap<Arc<str>, Vec<ExecutionRecord>>,
}

impl ExecutionIndex {
    fn new(executions: &[ExecutionRecord]) -> Self {
        let mut index = Self::default();
        for execution in executions {
            index.add(execution);
        }
        index
    }

    fn add(&mut self, execution: &ExecutionRecord) {
        let key = (execution.tag.clone(), execution.stage.clone());
        match execution.event {
            ExecutionEvent::Begun => {
                *self.begun.entry(key).or_default() += 1;
                if !execution.run_id.is_empty() {
                    let by_run_id = self.begun_run_ids.entry(execution.run_id.clone());
                    by_run_id.or_default().push(execution.clone());
                }
            }
            ExecutionEvent::Finished => {
                self.finished.insert(key);
            }
            _ => {}
        }
    }

    fn begun_count(&self, tag: &Arc<str>, stage: &Arc<str>) -> usize {
        let count = self.begun.get(&(tag.clone(), stage.clone()));
        count.copied().unwrap_or(0)
    }

    fn is_finished(&self, tag: &Arc<str>, stage: &Arc<str>) -> bool {
        self.finished.contains(&(tag.clone(), stage.clone()))
    }

    /// Run identifiers that began more than once, except those whose tag and stage began more than
    /// once: [`Audit::doubled_tags`] reports these.
    fn doubled_run_ids(&self) -> impl Iterator<Item = Violation> + '_ {
        let doubled = self
            .begun_run_ids
            .iter()
            .filter(|(_, begun)| begun.len() > 1);
        let unreported = doubled.filter(|(_, begun)| {
            let first = &begun[0];
            self.begun_count(&first.tag, &first.stage) < 2
        });
        unreported.map(|(run_id, begun)| Violation {
            tag: begun[0].tag.clone(),
            request: begun[0].request.clone(),
            text: format!("run id {run_id} began {} times", begun.len()),
        })
    }
}
