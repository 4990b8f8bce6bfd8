//! `cargo xtask faults`: audited runs of every fault and of every pair of faults, with many seeds.
//!
//! Each result is appended to a JSON Lines file as soon as its run ends, so that a later call can
//! resume an interrupted one. At the end the results are printed as a Markdown table.

pub mod plan;
pub mod results;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use futures::{StreamExt, stream};
use indicatif::{ProgressBar, ProgressStyle};

use self::plan::{Plan, Run};
use self::results::{Results, RunResult};
use crate::demo::build::{self, Profile};
use crate::demo::fault::Fault;
use crate::demo::fleet::Fleet;
use crate::demo::scenario::{Outcome, Scenario};
use crate::demo::{exit_code, settings, until_signal};

const INSTANCES: usize = 3;

/// Returns the definition of the `faults` subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("faults")
        .about("Runs every fault and every pair of faults, and prints a table of the results")
        .args([
            Arg::new("seeds")
                .long("seeds")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Number of seeds for each fault"),
            Arg::new("pairs")
                .long("pairs")
                .default_value("3")
                .value_parser(value_parser!(u64))
                .help("Number of seeds for each pair of faults"),
            Arg::new("jobs")
                .long("jobs")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Number of concurrent runs"),
            Arg::new("requests")
                .long("requests")
                .default_value("240")
                .value_parser(value_parser!(u64))
                .help("Number of logical requests in each run"),
            Arg::new("resume")
                .long("resume")
                .value_parser(value_parser!(PathBuf))
                .help("Results file to resume; runs found in it are not repeated"),
            Arg::new("only")
                .long("only")
                .value_parser(value_parser!(Fault))
                .help("Run only the combinations that include this fault"),
            Arg::new("table")
                .long("table")
                .action(ArgAction::SetTrue)
                .requires("resume")
                .help("Run nothing; print the table of the results file"),
        ])
}

/// Runs what the results file doesn't contain yet; the exit code is a success if all runs passed.
pub fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let plan = Plan {
        seeds: number("seeds"),
        pair_seeds: number("pairs"),
        only: matches.get_one("only").copied(),
    };
    let requests = usize::try_from(number("requests"))?;
    let jobs = usize::try_from(number("jobs"))?.max(1);
    let path = match matches.get_one::<PathBuf>("resume") {
        Some(path) => path.clone(),
        None => results::new_file()?,
    };
    let mut results = Results::open(&path)?;
    println!("results: {}", path.display());
    if !matches.get_flag("table") {
        let programs = build::build(Profile::Debug)?;
        let work = run_all(&plan, requests, jobs, &programs, &mut results);
        task::block_on(until_signal(work))?;
    }
    println!("{}", results.table(&plan));
    Ok(exit_code(results.all_passed()))
}

async fn run_all(
    plan: &Plan,
    requests: usize,
    jobs: usize,
    programs: &Path,
    results: &mut Results,
) -> anyhow::Result<()> {
    let runs: Vec<Run> = plan
        .runs()
        .into_iter()
        .filter(|run| !results.contains(run))
        .collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} (left {eta}) {msg}")?;
    let bar = ProgressBar::new(runs.len() as u64).with_style(style);
    let mut completed = stream::iter(runs)
        .map(|run| async move {
            let result = run_one(&run, requests, programs).await;
            (run, result)
        })
        .buffer_unordered(jobs);
    while let Some((run, result)) = completed.next().await {
        let result = result?;
        bar.set_message(run.to_string());
        if !result.passed {
            bar.suspend(|| println!("failed: {run}: {}", result.detail));
        }
        results.add(result)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Executes one run; a run that can't be completed counts as failed. The logs of a passed run are
/// deleted.
async fn run_one(run: &Run, requests: usize, programs: &Path) -> anyhow::Result<RunResult> {
    let started = Instant::now();
    let settings = settings(programs.to_owned(), INSTANCES, run.seed)?;
    let scenario = Scenario {
        seed: run.seed,
        requests,
        faults: run.faults.clone(),
    };
    let outcome = async {
        let mut fleet = Fleet::start(settings.clone()).await?;
        scenario.run(&mut fleet, &settings).await
    };
    let outcome = outcome.await;
    let passed = outcome.as_ref().is_ok_and(Outcome::is_clean);
    if passed {
        std::fs::remove_dir_all(&settings.logs)?;
    }
    Ok(RunResult {
        faults: run.faults.clone(),
        seed: run.seed,
        passed,
        detail: detail(&outcome, &settings.logs),
        seconds: started.elapsed().as_secs_f64(),
        verdict: outcome.map(|outcome| outcome.verdict).unwrap_or_default(),
    })
}

fn detail(outcome: &anyhow::Result<Outcome>, logs: &Path) -> String {
    match outcome {
        Err(err) => format!("{err:#}; logs in {}", logs.display()),
        Ok(outcome) if outcome.is_clean() => String::new(),
        Ok(outcome) => {
            let violations = outcome.verdict.violations().map(ToString::to_string);
            let all: Vec<String> = violations
                .chain(outcome.unexpected_exits.iter().cloned())
                .collect();
            format!("{}; logs in {}", all.join("; "), logs.display())
        }
    }
}
