//! One run: a fleet, both workloads, faults, and the audit.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, bail};
use async_std::task;
use sardineshore_load::audit::{Audit, Evidence, Verdict};
use sardineshore_load::report::Report;
use sardineshore_load::workload::Workload;

use super::director::Director;
use super::fault::{self, Fault, Targets};
use super::fleet::{Fleet, FleetSettings};
use super::layout;
use super::process::{Process, Program};

const TICK: Duration = Duration::from_millis(50);
/// Mean arrivals per second of each workload.
const RATE: f64 = 60.0;
const BURST_FACTOR: &str = "5";
const POISONED: usize = 2;
/// Time without a new execution after which the logs count as complete.
const QUIET: Duration = Duration::from_millis(600);

/// What to run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the load, the stand-ins and the faults.
    pub seed: u64,
    /// Logical requests of both workloads together.
    pub requests: usize,
    /// Faults to cause.
    pub faults: Vec<Fault>,
}

/// What a run gave.
#[derive(Debug)]
pub struct Outcome {
    /// Reports of the workloads.
    pub reports: Vec<Report>,
    /// Result of the audit.
    pub verdict: Verdict,
    /// Entry instances that ended without being told to, or not as they should.
    pub surprises: Vec<String>,
}

impl Outcome {
    /// Whether every promise held.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.surprises.is_empty()
    }
}

impl Scenario {
    /// Runs against a fleet.
    pub async fn run(
        &self,
        fleet: &mut Fleet,
        settings: &FleetSettings,
    ) -> anyhow::Result<Outcome> {
        let workloads = layout::workloads();
        let each = self.requests.div_ceil(workloads.len()).max(1);
        let length = Duration::from_secs_f64(each as f64 / RATE);
        let targets = Targets {
            entries: fleet.entries.len(),
            servers: fleet.servers.len(),
            length,
        };
        let steps = fault::timeline(&self.faults, self.seed, targets);
        let load = |workload: &Workload| self.start_load(workload, each, length, fleet, settings);
        let mut loads: Vec<Load> = workloads.iter().map(load).collect::<anyhow::Result<_>>()?;
        let mut director = Director::new(steps);
        loop {
            director.tick(fleet).await?;
            if all_ended(&mut loads)? && director.is_done(fleet)? {
                break;
            }
            task::sleep(TICK).await;
        }
        wait_quiet(&fleet.execution_logs()).await?;
        let mut audit = Audit::of(&workloads);
        audit.outages = director.outages().to_vec();
        let evidence = read_evidence(fleet, &loads, each)?;
        Ok(Outcome {
            reports: loads
                .iter()
                .map(Load::report)
                .collect::<anyhow::Result<_>>()?,
            verdict: audit.judge(&evidence),
            surprises: std::mem::take(&mut fleet.surprises),
        })
    }

    fn start_load(
        &self,
        workload: &Workload,
        requests: usize,
        length: Duration,
        fleet: &Fleet,
        settings: &FleetSettings,
    ) -> anyhow::Result<Load> {
        let entries: Vec<&str> = fleet
            .entries
            .iter()
            .map(|entry| &*entry.member.addr)
            .collect();
        let name = format!("load-{}", workload.name);
        let told = settings.logs.join(format!("{name}.told"));
        let mut args = vec![
            format!("--workload={}", workload.name),
            format!("--entries={}", entries.join(",")),
            format!("--requests={requests}"),
            format!("--rate={RATE}"),
            format!("--seed={}", self.seed),
            format!("--log={}", told.display()),
            "--output=json".to_owned(),
        ];
        if self.faults.contains(&Fault::Burst) {
            args.push(format!("--burst-at={}ms", length.as_millis() / 4));
            args.push(format!("--burst-length={}ms", length.as_millis() / 8));
            args.push(format!("--burst-factor={BURST_FACTOR}"));
        }
        if self.faults.contains(&Fault::Poison) {
            args.push(format!("--poison={POISONED}"));
        }
        let program = Program {
            executable: settings.programs.join("sardine-load"),
            args,
            env: Vec::new(),
            name: name.clone(),
        };
        Ok(Load {
            process: Process::start(&program, &settings.logs)?,
            output: settings.logs.join(format!("{name}.out")),
            told,
        })
    }
}

/// A load tool that runs.
#[derive(Debug)]
struct Load {
    process: Process,
    output: PathBuf,
    told: PathBuf,
}

impl Load {
    fn report(&self) -> anyhow::Result<Report> {
        let text = std::fs::read_to_string(&self.output).context("report of a load")?;
        serde_json::from_str(&text).with_context(|| format!("{}", self.output.display()))
    }
}

fn all_ended(loads: &mut [Load]) -> anyhow::Result<bool> {
    let mut all = true;
    for load in loads {
        match load.process.poll()? {
            Some(status) if !status.success() => {
                bail!("a load ended with {status}, see {}", load.output.display())
            }
            status => all &= status.is_some(),
        }
    }
    Ok(all)
}

fn read_evidence(fleet: &Fleet, loads: &[Load], each: usize) -> anyhow::Result<Evidence> {
    let mut evidence = Evidence::default();
    for log in fleet.execution_logs() {
        evidence.read_executions(&log)?;
    }
    for load in loads {
        evidence.read_told(&load.told, each)?;
    }
    Ok(evidence)
}

/// Waits until no execution log grows any more.
async fn wait_quiet(logs: &[PathBuf]) -> anyhow::Result<()> {
    let mut size = total_size(logs)?;
    loop {
        task::sleep(QUIET).await;
        let now = total_size(logs)?;
        if now == size {
            return Ok(());
        }
        size = now;
    }
}

fn total_size(logs: &[PathBuf]) -> anyhow::Result<u64> {
    let size = |log: &PathBuf| size_of(log);
    logs.iter().map(size).sum()
}

fn size_of(log: &Path) -> anyhow::Result<u64> {
    let metadata = std::fs::metadata(log);
    Ok(metadata
        .with_context(|| format!("log {}", log.display()))?
        .len())
}
