//! One audited run: sends both workloads to a fleet while faults are injected, then audits the
//! logs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, bail};
use async_std::task;
use sardineshore_core::duration;
use sardineshore_load::audit::{Audit, AuditLogs, AuditResult};
use sardineshore_load::report::Report;
use sardineshore_load::workload::Workload;

use super::fault::{self, Fault, Targets};
use super::fleet::{Fleet, FleetSettings};
use super::injector::FaultInjector;
use super::layout;
use super::process::{Process, Program};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Mean arrival rate of each workload, in requests per second.
const ARRIVALS_PER_SECOND: f64 = 60.0;
/// Factor on the arrival rate during a burst.
const BURST_FACTOR: &str = "5";
/// Requests of each workload that crash their server.
const POISON_REQUESTS: usize = 2;
/// Time without a new log line after which the execution logs are considered complete.
const QUIET_PERIOD: Duration = Duration::from_millis(600);

/// Load and faults of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the load and of the timeline of faults.
    pub seed: u64,
    /// Number of logical requests of both workloads together.
    pub requests: usize,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Load reports, one for each workload.
    pub reports: Vec<Report>,
    /// Result of the audit.
    pub verdict: AuditResult,
    /// Descriptions of entry instances that exited unexpectedly or with an error.
    pub unexpected_exits: Vec<String>,
}

impl Outcome {
    /// Whether every guarantee held.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.unexpected_exits.is_empty()
    }
}

impl Scenario {
    /// Runs the scenario against a fleet.
    pub async fn run(
        &self,
        fleet: &mut Fleet,
        settings: &FleetSettings,
    ) -> anyhow::Result<Outcome> {
        let workloads = layout::workloads();
        let each = self.requests.div_ceil(workloads.len()).max(1);
        let duration = duration::from_secs(each as f64 / ARRIVALS_PER_SECOND);
        let targets = Targets {
            entries: fleet.entries.len(),
            servers: fleet.servers.len(),
            duration,
        };
        let steps = fault::timeline(&self.faults, self.seed, targets);
        let load = |workload: &Workload| self.start_load(workload, each, duration, fleet, settings);
        let mut loads: Vec<LoadProcess> =
            workloads.iter().map(load).collect::<anyhow::Result<_>>()?;
        let mut injector = FaultInjector::new(steps);
        loop {
            injector.tick(fleet).await?;
            if have_all_ended(&mut loads)? && injector.is_done(fleet)? {
                break;
            }
            task::sleep(TICK_INTERVAL).await;
        }
        wait_until_quiet(&fleet.execution_logs()).await?;
        let mut audit = Audit::for_workloads(&workloads);
        audit.outages = injector.outages().to_vec();
        let evidence = read_evidence(fleet, &loads, each)?;
        Ok(Outcome {
            reports: loads
                .iter()
                .map(LoadProcess::report)
                .collect::<anyhow::Result<_>>()?,
            verdict: audit.check(&evidence),
            unexpected_exits: std::mem::take(&mut fleet.unexpected_exits),
        })
    }

    fn start_load(
        &self,
        workload: &Workload,
        requests: usize,
        duration: Duration,
        fleet: &Fleet,
        settings: &FleetSettings,
    ) -> anyhow::Result<LoadProcess> {
        let entries: Vec<&str> = fleet
            .entries
            .iter()
            .map(|entry| &*entry.process.addr)
            .collect();
        let name = format!("load-{}", workload.name);
        let caller_log = settings.logs.join(format!("{name}.told"));
        let mut args = vec![
            format!("--workload={}", workload.name),
            format!("--entries={}", entries.join(",")),
            format!("--requests={requests}"),
            format!("--rate={ARRIVALS_PER_SECOND}"),
            format!("--seed={}", self.seed),
            format!("--log={}", caller_log.display()),
            "--output=json".to_owned(),
        ];
        if self.faults.contains(&Fault::Burst) {
            args.push(format!("--burst-at={}ms", duration.as_millis() / 4));
            args.push(format!("--burst-length={}ms", duration.as_millis() / 8));
            args.push(format!("--burst-factor={BURST_FACTOR}"));
        }
        if self.faults.contains(&Fault::Poison) {
            args.push(format!("--poison={POISON_REQUESTS}"));
        }
        let program = Program {
            executable: settings.programs.join("sardine-load"),
            args,
            env: Vec::new(),
            name: name.clone(),
        };
        Ok(LoadProcess {
            process: Process::start(&program, &settings.logs)?,
            output: settings.logs.join(format!("{name}.out")),
            caller_log,
        })
    }
}

/// A running load tool, which sends one workload.
#[derive(Debug)]
struct LoadProcess {
    process: Process,
    output: PathBuf,
    caller_log: PathBuf,
}

impl LoadProcess {
    fn report(&self) -> anyhow::Result<Report> {
        let text = std::fs::read_to_string(&self.output).context("failed to read a load report")?;
        serde_json::from_str(&text).with_context(|| format!("{}", self.output.display()))
    }
}

fn have_all_ended(loads: &mut [LoadProcess]) -> anyhow::Result<bool> {
    let mut all = true;
    for load in loads {
        match load.process.exit_status()? {
            Some(status) if !status.success() => {
                bail!(
                    "a load tool exited with {status}, see {}",
                    load.output.display()
                )
            }
            status => all &= status.is_some(),
        }
    }
    Ok(all)
}

fn read_evidence(fleet: &Fleet, loads: &[LoadProcess], each: usize) -> anyhow::Result<AuditLogs> {
    let mut evidence = AuditLogs::default();
    for log in fleet.execution_logs() {
        evidence.read_execution_log(&log)?;
    }
    for load in loads {
        evidence.read_call_log(&load.caller_log, each)?;
    }
    Ok(evidence)
}

/// Waits until the execution logs have stopped growing.
async fn wait_until_quiet(logs: &[PathBuf]) -> anyhow::Result<()> {
    let mut size = total_size(logs)?;
    loop {
        task::sleep(QUIET_PERIOD).await;
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
