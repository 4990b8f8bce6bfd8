//! Command line of the development tasks: `cargo xtask ci`, `demo`, `faults` and `bench`.

use std::process::ExitCode;

use clap::Command;
use xtask::{bench, ci, demo, faults};

fn main() -> anyhow::Result<ExitCode> {
    let matches = Command::new("xtask")
        .about("Development tasks of sardineshore")
        .subcommand_required(true)
        .subcommand(
            Command::new("ci")
                .about("Runs the formatter, the linter, all tests and the documentation build"),
        )
        .subcommand(demo::command())
        .subcommand(faults::command())
        .subcommand(bench::command())
        .get_matches();
    match matches.subcommand() {
        Some(("ci", _)) => ci::run().map(|()| ExitCode::SUCCESS),
        Some(("demo", matches)) => demo::run(matches),
        Some(("faults", matches)) => faults::run(matches),
        Some(("bench", matches)) => bench::run(matches).map(|()| ExitCode::SUCCESS),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
