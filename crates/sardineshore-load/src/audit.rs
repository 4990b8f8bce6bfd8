//! Compares what callers were told with the execution logs of backend servers.
//!
//! The execution logs are the witness; counters of the audited programs play no part. An audit
//! that can't see a log fails.
//!
//! ```
//! use sardineshore_load::audit::{Audit, AuditLogs};
//!
//! let verdict = Audit::default().check(&AuditLogs::default());
//! assert!(verdict.is_clean());
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

/// A time in which an entry instance was made to fail, so that it could not reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// `IP:PORT` of its callers' listener.
    pub entry: Arc<str>,
    /// Start, Unix time in milliseconds.
    pub from_ms: u64,
    /// End, Unix time in milliseconds.
    pub until_ms: u64,
}

impl Outage {
    fn excuses(&self, told: &CallRecord) -> bool {
        let in_time = told.due_ms <= self.until_ms && self.from_ms <= replied_by_ms(told);
        self.entry == told.entry && in_time
    }
}

fn replied_by_ms(told: &CallRecord) -> u64 {
    told.due_ms + told.latency_us.div_ceil(1_000)
}

/// What an audit knows beforehand.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, PipelineLoad>,
    /// Times in which entry instances were made to fail.
    pub outages: Vec<Outage>,
}

impl Audit {
    /// An audit of runs of these workloads.
    #[must_use]
    pub fn for_workloads(workloads: &[Workload]) -> Self {
        let pipelines = workloads.iter().flat_map(|workload| &workload.pipelines);
        Self {
            pipelines: pipelines
                .map(|mix| (mix.name.clone(), mix.clone()))
                .collect(),
            outages: Vec::new(),
        }
    }

    /// Counts outcomes and finds every breach.
    #[must_use]
    pub fn check(&self, evidence: &AuditLogs) -> AuditResult {
        let runs = Runs::new(&evidence.executions);
        let mut verdict = AuditResult::default();
        for told in &evidence.told {
            self.judge_told(told, &runs, &mut verdict);
        }
        verdict.doubled.extend(runs.doubled_run_ids());
        verdict
            .doubled
            .extend(self.doubled_tags(&evidence.told, &runs));
        verdict
    }

    fn judge_told(&self, told: &CallRecord, runs: &Runs, verdict: &mut AuditResult) {
        verdict.offered += 1;
        match &*told.outcome {
            "answered" => {
                verdict.answered += 1;
                self.judge_answer(told, runs, verdict);
            }
            "not-run" => {
                verdict.not_run += 1;
                self.judge_refusal(told, runs, verdict);
            }
            "unknown" => verdict.unknown += 1,
            "no-reply" if self.outages.iter().any(|outage| outage.excuses(told)) => {
                verdict.unknown += 1;
            }
            _ => verdict
                .lost
                .push(Violation::new(told, &self.no_reply(told))),
        }
    }

    /// Text of a violation about a missing reply, with the outages that did not excuse it.
    fn no_reply(&self, told: &CallRecord) -> String {
        let (due, by) = (told.due_ms, replied_by_ms(told));
        let ours = self
            .outages
            .iter()
            .filter(|outage| outage.entry == told.entry);
        let times: Vec<String> = ours
            .map(|outage| format!("{} to {}", outage.from_ms, outage.until_ms))
            .collect();
        if times.is_empty() {
            return "no reply".into();
        }
        format!("no reply from {due} to {by}; outages: {}", times.join(", "))
    }

    fn judge_answer(&self, told: &CallRecord, runs: &Runs, verdict: &mut AuditResult) {
        if told.answer_tag != told.tag {
            verdict
                .misdelivered
                .push(Violation::new(told, "the answer's tag differs"));
            return;
        }
        if !told.whole {
            verdict
                .lost
                .push(Violation::new(told, "the answer is incomplete"));
            return;
        }
        let finished = |stage: &&StageInfo| runs.finished(&told.tag, &stage.name);
        let stages = self.stages(told);
        if stages.is_empty() {
            verdict
                .lost
                .push(Violation::new(told, "the pipeline is not known"));
        }
        if let Some(missing) = stages.iter().find(|stage| !finished(stage)) {
            let text = format!("stage {} has no finished execution", missing.name);
            verdict.lost.push(Violation::new(told, &text));
        }
    }

    fn judge_refusal(&self, told: &CallRecord, runs: &Runs, verdict: &mut AuditResult) {
        let begun =
            |stage: &&StageInfo| !stage.idempotent && runs.begun(&told.tag, &stage.name) > 0;
        if let Some(stage) = self.stages(told).iter().find(begun) {
            let text = format!("told not run, but stage {} had begun", stage.name);
            verdict.doubled.push(Violation::new(told, &text));
        }
    }

    fn doubled_tags<'a>(
        &'a self,
        told: &'a [CallRecord],
        runs: &'a Runs,
    ) -> impl Iterator<Item = Violation> + 'a {
        told.iter().flat_map(move |told| {
            let effects = self.stages(told).iter().filter(|stage| !stage.idempotent);
            let doubled = effects.filter(|stage| runs.begun(&told.tag, &stage.name) > 1);
            doubled.map(|stage| {
                let times = runs.begun(&told.tag, &stage.name);
                Violation::new(told, &format!("stage {} began {times} times", stage.name))
            })
        })
    }

    fn stages(&self, told: &CallRecord) -> &[StageInfo] {
        self.pipelines
            .get(&told.pipeline)
            .map_or(&[], |mix| &mix.stages)
    }
}

type TagStage = (Arc<str>, Arc<str>);

/// Executions by tag and stage, and by run identifier.
#[derive(Debug, Default)]
struct Runs {
    begun: HashMap<TagStage, usize>,
    finished: HashSet<TagStage>,
    begun_run_ids: BTreeMap<Arc<str>, Vec<ExecutionRecord>>,
}

impl Runs {
    fn new(executions: &[ExecutionRecord]) -> Self {
        let mut runs = Self::default();
        for execution in executions {
            runs.add(execution);
        }
        runs
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

    fn begun(&self, tag: &Arc<str>, stage: &Arc<str>) -> usize {
        let count = self.begun.get(&(tag.clone(), stage.clone()));
        count.copied().unwrap_or(0)
    }

    fn finished(&self, tag: &Arc<str>, stage: &Arc<str>) -> bool {
        self.finished.contains(&(tag.clone(), stage.clone()))
    }

    /// Run identifiers that began more than once, unless their tag and stage say so as well.
    fn doubled_run_ids(&self) -> impl Iterator<Item = Violation> + '_ {
        let doubled = self
            .begun_run_ids
            .iter()
            .filter(|(_, begun)| begun.len() > 1);
        let unseen = doubled.filter(|(_, begun)| {
            let first = &begun[0];
            self.begun(&first.tag, &first.stage) < 2
        });
        unseen.map(|(run_id, begun)| Violation {
            tag: begun[0].tag.clone(),
            request: begun[0].request.clone(),
            text: format!("run id {run_id} began {} times", begun.len()),
        })
    }
}
