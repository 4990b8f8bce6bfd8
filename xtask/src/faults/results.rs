//! Results file of the fault runs, and its summary as a table.

use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use sardineshore_load::audit::AuditResult;
use serde::{Deserialize, Serialize};

use super::plan::{Plan, Run, fault_names};
use crate::demo::build;
use crate::demo::fault::Fault;

/// Result of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Faults injected together: one or a pair.
    pub faults: Vec<Fault>,
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Whether the run was completed and every guarantee held.
    pub passed: bool,
    /// Errors and violations, with the path of the logs; empty if the run passed.
    pub detail: String,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Result of the audit; empty if the run was not completed.
    pub verdict: AuditResult,
}

/// Results so far, and the file that they are appended to.
#[derive(Debug)]
pub struct Results {
    all: Vec<RunResult>,
    file: File,
}

/// Totals over the runs of one group of faults.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    run: u64,
    failed: u64,
    offered: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
}

impl Results {
    /// Reads the results in a file; creates the file if it doesn't exist. A line that isn't a valid
    /// result is an error.
    pub fn open(path: &Path) -> anyhow::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .read(true)
            .append(true)
            .open(path);
        let file = file.with_context(|| format!("{}", path.display()))?;
        let mut all = Vec::new();
        for line in BufReader::new(&file).lines() {
            let line = line?;
            all.push(
                serde_json::from_str(&line).with_context(|| format!("invalid result {line:?}"))?,
            );
        }
        Ok(Self { all, file })
    }

    /// Whether the results contain a run.
    #[must_use]
    pub fn contains(&self, run: &Run) -> bool {
        let same = |result: &RunResult| result.faults == run.faults && result.seed == run.seed;
        self.all.iter().any(same)
    }

    /// Whether no run failed.
    #[must_use]
    pub fn all_passed(&self) -> bool {
        self.all.iter().all(|result| result.passed)
    }

    /// Appends a result to the file.
    pub fn add(&mut self, result: RunResult) -> anyhow::Result<()> {
        let mut line = serde_json::to_string(&result)?;
        line.push('\n');
        self.file
            .write_all(line.as_bytes())
            .context("failed to write the results file")?;
        self.all.push(result);
        Ok(())
    }

    /// Formats a Markdown table with one row for each group of the plan.
    #[must_use]
    pub fn table(&self, plan: &Plan) -> String {
        let mut text = String::from(
            "| faults | run | failed | not run | requests | answered | refused | unknown |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for faults in plan.fault_groups() {
            let tally = self.tally(&faults);
            let wanted = plan.seeds_for(&faults);
            if wanted == 0 && tally.run == 0 {
                continue;
            }
            let left = wanted.saturating_sub(tally.run);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {left} | {} | {} | {} | {} |",
                fault_names(&faults),
                tally.run,
                tally.failed,
                tally.offered,
                tally.answered,
                tally.not_run,
                tally.unknown
            );
        }
        text
    }

    fn tally(&self, faults: &[Fault]) -> Tally {
        let mut tally = Tally::default();
        for result in self.all.iter().filter(|result| result.faults == faults) {
            tally.run += 1;
            tally.failed += u64::from(!result.passed);
            tally.offered += result.verdict.offered;
            tally.answered += result.verdict.answered;
            tally.not_run += result.verdict.not_run;
            tally.unknown += result.verdict.unknown;
        }
        tally
    }
}

/// Path for a new results file, named after the current Unix time in seconds.
pub fn new_file() -> anyhow::Result<PathBuf> {
    let dir = build::target_dir()?.join("faults");
    std::fs::create_dir_all(&dir).with_context(|| format!("{}", dir.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(dir.join(format!("{}.jsonl", now.as_secs())))
}
