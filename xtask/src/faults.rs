//! `cargo xtask faults`: every fault with many seeds, and every pair of faults with some.
//!
//! Results go to a file of JSON lines as soon as a run ends, so that a later call can go on where
//! an earlier one was ended. The last output is a table in Markdown.

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

/// Declares the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("faults")
        .about("Runs every fault and every pair of faults, and prints a table")
        .args([
            Arg::new("seeds")
                .long("seeds")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Seeds for each fault"),
            Arg::new("pairs")
                .long("pairs")
                .default_value("3")
                .value_parser(value_parser!(u64))
                .help("Seeds for each pair of faults"),
            Arg::new("jobs")
                .long("jobs")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Runs at the same time"),
            Arg::new("requests")
                .long("requests")
                .default_value("240")
                .value_parser(value_parser!(u64))
                .help("Logical requests of each run"),
            Arg::new("resume")
                .long("resume")
                .value_parser(value_parser!(PathBuf))
                .help("File of results to go on with; runs found in it are not repeated"),
            Arg::new("only")
                .long("only")
                .value_parser(value_parser!(Fault))
                .help("Runs only what includes this fault"),
            Arg::new("table")
                .long("table")
                .action(ArgAction::SetTrue)
                .requires("resume")
                .help("Runs nothing; prints the table of the file of results"),
        ])
}

/// Runs what is not in the file of results yet; the exit code tells whether all passed.
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
        None => results::fresh_file()?,
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
        .filter(|run| !results.has(run))
        .collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} (left {eta}) {msg}")?;
    let bar = ProgressBar::new(runs.len() as u64).with_style(style);
    let mut ended = stream::iter(runs)
        .map(|run| async move {
            let result = run_one(&run, requests, programs).await;
            (run, result)
        })
        .buffer_unordered(jobs);
    while let Some((run, result)) = ended.next().await {
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

/// Runs once; a run that can't be completed counts as failed.
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
            let breaches = outcome.verdict.complaints().map(ToString::to_string);
            let all: Vec<String> = breaches.chain(outcome.surprises.iter().cloned()).collect();
            format!("{}; logs in {}", all.join("; "), logs.display())
        }
    }
}
