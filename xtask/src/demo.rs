//! `cargo xtask demo`: runs a whole deployment as separate processes on the loopback address, sends
//! load and audits the result.

pub mod build;
pub mod control;
pub mod fault;
pub mod fleet;
pub mod injector;
pub mod layout;
pub mod ports;
pub mod process;
pub mod programs;
pub mod proxy;
pub mod scenario;
pub mod supervised;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use async_std::stream::StreamExt;
use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use comfy_table::{Table, presets};
use futures::FutureExt;
use sardineshore_load::report::Report;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use self::build::Profile;
use self::fault::Fault;
use self::fleet::{Fleet, FleetSettings};
use self::layout::Layout;
use self::scenario::{Outcome, Scenario};

/// Returns the definition of the `demo` subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("demo")
        .about(
            "Runs small versions of both users' workloads on the loopback address and audits them",
        )
        .args([
            number_arg("seed", "1", "Seed of all random choices"),
            number_arg(
                "requests",
                "600",
                "Number of logical requests of both workloads together",
            ),
            number_arg("instances", "3", "Number of entry instances"),
            Arg::new("fault")
                .long("fault")
                .value_delimiter(',')
                .value_parser(value_parser!(Fault))
                .help("Faults to inject, separated by commas"),
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave everything running until this command is ended"),
        ])
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the demonstration; the exit code is a success if every guarantee held.
pub fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let scenario = Scenario {
        seed: read_number(matches, "seed"),
        requests: usize::try_from(read_number(matches, "requests"))?,
        faults: matches
            .get_many("fault")
            .unwrap_or_default()
            .copied()
            .collect(),
    };
    let instances = usize::try_from(read_number(matches, "instances"))?;
    if instances == 0 || scenario.requests == 0 {
        bail!("--instances and --requests must be positive");
    }
    let keep = matches.get_flag("keep");
    let programs = build::build(Profile::Debug)?;
    let settings = settings(programs, instances, scenario.seed)?;
    println!("logs: {}", settings.logs.display());
    task::block_on(until_signal(run_demo(scenario, settings, keep)))
}

fn read_number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("it has a default")
}

/// Returns the settings of a fleet, with a newly created log directory.
pub fn settings(programs: PathBuf, instances: usize, seed: u64) -> anyhow::Result<FleetSettings> {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("{now}-{}-{run}-{seed}", std::process::id());
    let demos = build::target_dir()?.join("demo");
    let logs = demos.join(name);
    std::fs::create_dir_all(&demos).with_context(|| format!("{}", demos.display()))?;
    std::fs::create_dir(&logs).with_context(|| format!("{}", logs.display()))?;
    Ok(FleetSettings {
        instances,
        seed,
        layout: Layout::demo(),
        entry_args: Vec::new(),
        count_bytes: false,
        programs,
        logs,
    })
}

/// Runs `work` to its end, or fails on SIGINT or SIGTERM. Dropping `work` ends its child processes.
pub async fn until_signal<T>(work: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("failed to install the signal handlers")?;
    let work = work.fuse();
    let signal = signals.next().fuse();
    futures::pin_mut!(work, signal);
    futures::select! {
        result = work => result,
        _ = signal => bail!("stopped by a signal"),
    }
}

async fn run_demo(
    scenario: Scenario,
    settings: FleetSettings,
    keep: bool,
) -> anyhow::Result<ExitCode> {
    let mut fleet = Fleet::start(settings.clone()).await?;
    let outcome = scenario.run(&mut fleet, &settings).await?;
    print_outcome(&outcome);
    if keep {
        print_example_commands(&fleet);
        futures::future::pending::<()>().await;
    }
    Ok(exit_code(outcome.is_clean()))
}

/// Exit code of a command that passes or fails.
#[must_use]
pub fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_outcome(outcome: &Outcome) {
    println!("{}", table(&outcome.reports));
    for unexpected_exit in &outcome.unexpected_exits {
        println!("unexpected exit: {unexpected_exit}");
    }
    for violation in outcome.verdict.violations() {
        println!("violation: {violation}");
    }
    println!("{}", outcome.verdict);
}

fn table(reports: &[Report]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        "workload", "pipeline", "offered", "answered", "in time", "not run", "unknown", "no reply",
        "p50 ms", "p99 ms",
    ]);
    for report in reports {
        for group in &report.pipelines {
            table.add_row([
                report.workload.to_string(),
                group.name.to_string(),
                group.offered.to_string(),
                group.answered.to_string(),
                group.in_time.to_string(),
                group.not_run.to_string(),
                group.unknown.to_string(),
                group.no_reply.to_string(),
                format!("{:.1}", group.latency.p50_ms),
                format!("{:.1}", group.latency.p99_ms),
            ]);
        }
    }
    table
}

fn print_example_commands(fleet: &Fleet) {
    let peer = &fleet.entries[0].peer;
    println!("\nThe fleet keeps running. Commands to try:");
    for line in [
        "show instances",
        "show pipelines",
        "show servers",
        "show cost by stage",
        "drain server tangolin-engines-0",
    ] {
        println!("  sardinectl --instance {peer} '{line}'");
    }
    println!("To stop the fleet: kill {}", std::process::id());
}
