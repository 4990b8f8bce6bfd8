//! `cargo xtask bench`: measurements of entry instances, in release builds.
//!
//! Nothing here passes or fails. Results go to `target/bench/NAME.json` and, as a table in
//! Markdown, to standard output.

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

/// Declares the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("bench")
        .about("Measures entry instances in release builds")
        .subcommand_required(true)
        .arg(
            Arg::new("jemalloc")
                .long("jemalloc")
                .action(ArgAction::SetTrue)
                .help("Builds entry instances with the feature jemalloc; needs make"),
        )
        .subcommands([
            Command::new("latency").about("Added latency of one entry instance over a direct call"),
            Command::new("throughput").about("Requests per second and core at 1 KiB"),
            Command::new("idle").about("Memory with 10,000 idle connections"),
            Command::new("decision").about("Time of one routing decision among 600 servers"),
            Command::new("slopes")
                .about("Cost at rest over numbers of instances and of configured servers")
                .arg(
                    Arg::new("instances")
                        .long("instances")
                        .value_delimiter(',')
                        .default_value("3,9,30")
                        .value_parser(value_parser!(usize))
                        .help("Numbers of entry instances"),
                )
                .arg(
                    Arg::new("servers")
                        .long("servers")
                        .value_delimiter(',')
                        .default_value("20,100,600")
                        .value_parser(value_parser!(usize))
                        .help("Numbers of configured servers"),
                ),
        ])
}

/// Runs one measurement.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    if matches.subcommand_name() == Some("decision") {
        return decision();
    }
    if cfg!(debug_assertions) {
        return become_release();
    }
    let profile = if matches.get_flag("jemalloc") {
        Profile::Jemalloc
    } else {
        Profile::Release
    };
    let programs = build::build(profile)?;
    let Some((name, matches)) = matches.subcommand() else {
        bail!("a measurement is needed");
    };
    let work = async {
        match name {
            "latency" => latency::run(programs).await,
            "throughput" => throughput::run(programs).await,
            "idle" => idle::run(programs).await,
            _ => {
                slopes::run(
                    programs,
                    &numbers(matches, "instances"),
                    &numbers(matches, "servers"),
                )
                .await
            }
        }
    };
    task::block_on(until_signal(work))
}

fn numbers(matches: &ArgMatches, name: &str) -> Vec<usize> {
    matches
        .get_many(name)
        .unwrap_or_default()
        .copied()
        .collect()
}

/// Runs the core's own measurement, which needs no processes.
fn decision() -> anyhow::Result<()> {
    let args = ["run", "--quiet", "--release", "-p", "sardineshore-core"];
    let mut cargo = build::cargo();
    cargo.args(args).args(["--example", "decision_time"]);
    let status = cargo.status().context("cargo run")?;
    if !status.success() {
        bail!("the measurement failed");
    }
    Ok(())
}

/// Builds this program in release and goes on as that one.
fn become_release() -> anyhow::Result<()> {
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
    Err(err).context("the release build did not start")
}

/// Settings of a fleet for a measurement.
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

/// Writes a result to `target/bench/NAME.json`.
fn save<T: Serialize>(name: &str, result: &T) -> anyhow::Result<()> {
    let dir = build::target_dir()?.join("bench");
    std::fs::create_dir_all(&dir)?;
    let path = dir.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_string_pretty(result)?)
        .with_context(|| format!("{}", path.display()))
}
