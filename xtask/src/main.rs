//! Chores of sardineshore: `cargo xtask ci`, `demo`, `faults` and `bench`.

mod bench;
mod ci;
mod demo;
mod faults;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("xtask")
        .about("Chores of sardineshore")
        .subcommand_required(true)
        .subcommand(Command::new("ci").about("Runs formatter, linter, tests and documentation"))
        .subcommand(demo::command())
        .subcommand(faults::command())
        .subcommand(bench::command())
        .get_matches();
    match matches.subcommand() {
        Some(("ci", _)) => ci::run(),
        Some(("demo", matches)) => demo::run(matches),
        Some(("faults", matches)) => faults::run(matches),
        Some(("bench", matches)) => bench::run(matches),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
