//! `cargo xtask bench`: benchmarks of entry instances, in release builds.
//!
//! The benchmarks have no pass criteria. Each writes its results to `target/bench/NAME.json` and
//! prints them as a Markdown table.

mod echo;
mod idle;
mod latency;
mod slopes;
mod throughput;
mod usage;

use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Command as Child;

use anyhow::{Context, bail};
use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::demo::build::{self, Profile};
use crate::demo::fleet::FleetSettings;
use crate::demo::layout::Layout;
use crate::demo::{settings, until_signal};

/// Returns the definition of the `bench` subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("bench")
        .about("Benchmarks entry instances in release builds")
        .subcommand_required(true)
        .arg(
            Arg::new("jemalloc")
                .long("jemalloc")
                .action(ArgAction::SetTrue)
                .help("Build entry instances with the jemalloc feature; needs make"),
        )
        .subcommands([
            Command::new("latency").about("Latency that one entry instance adds to a direct call"),
            Command::new("throughput").about("Requests per second and core with bodies of 1 KiB"),
            Command::new("idle").about("Memory of one entry instance with 10,000 idle connections"),
            Command::new("decision").about("Duration of one routing decision among 600 servers"),
            Command::new("slopes")
                .about("Idle cost by number of instances and of configured servers")
                .arg(
                    Arg::new("instances")
                        .long("instances")
                        .value_delimiter(',')
                        .default_value("3,9,30")
                        .value_parser(value_parser!(usize))
                        .help("Numbers of entry instances, separated by commas"),
                )
                .arg(
                    Arg::new("servers")
                        .long("servers")
                        .value_delimiter(',')
                        .default_value("20,100,600")
                        .value_parser(value_parser!(usize))
                        .help("Numbers of configured servers, separated by commas"),
                ),
        ])
}

/// Runs the selected benchmark.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    if matches.subcommand_name() == Some("decision") {
        return run_decision_example();
    }
    if cfg!(debug_assertions) {
        return exec_release_build();
    }
    let profile = if matches.get_flag("jemalloc") {
        Profile::Jemalloc
    } else {
        Profile::Release
    };
    let programs = build::build(profile)?;
    let Some((name, matches)) = matches.subcommand() else {
        bail!("no benchmark given");
    };
    let work = async {
        match name {
            "latency" => latency::run(programs).await,
            "throughput" => throughput::run(programs).await,
            "idle" => idle::run(programs).await,
            _ => {
                slopes::run(
                    programs,
                    &count_list(matches, "instances"),
                    &count_list(matches, "servers"),
                )
                .await
            }
        }
    };
    task::block_on(until_signal(work))
}

fn count_list(matches: &ArgMatches, name: &str) -> Vec<usize> {
    matches
        .get_many(name)
        .unwrap_or_default()
        .copied()
        .collect()
}

/// Runs the benchmark of `sardineshore-core`, an example program that needs no fleet.
fn run_decision_example() -> anyhow::Result<()> {
    let args = ["run", "--quiet", "--release", "-p", "sardineshore-core"];
    let mut cargo = build::cargo();
    cargo.args(args).args(["--example", "decision_time"]);
    let status = cargo.status().context("cargo run")?;
    if !status.success() {
        bail!("the benchmark failed");
    }
    Ok(())
}

/// Builds xtask in release mode and replaces this process with it.
fn exec_release_build() -> anyhow::Result<()> {
    let build_args = ["build", "--quiet", "--release", "--workspace", "--bins"];
    let status = build::cargo()
        .args(build_args)
        .status()
        .context("cargo build")?;
    if !status.success() {
        bail!("cargo build failed");
    }
    let program = build::target_dir()?.join("release/xtask");
    let err = Child::new(program).args(std::env::args_os().skip(1)).exec();
    Err(err).context("failed to start the release build of xtask")
}

/// Settings of the fleet for a benchmark.
fn fleet_settings(
    programs: PathBuf,
    instances: usize,
    layout: Layout,
    entry_args: &[&str],
) -> anyhow::Result<FleetSettings> {
    Ok(FleetSettings {
        layout,
        entry_args: entry_args.iter().map(ToString::to_string).collect(),
        ..settings(programs, instances, 1)?
    })
}

/// Writes a result to `target/bench/NAME.json`, replacing an earlier one.
fn save<T: Serialize>(name: &str, result: &T) -> anyhow::Result<()> {
    let dir = build::target_dir()?.join("bench");
    std::fs::create_dir_all(&dir)?;
    let path = dir.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_string_pretty(result)?)
        .with_context(|| format!("{}", path.display()))
}
