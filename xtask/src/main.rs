//! Chores of sardineshore: `cargo xtask ci`, `cargo xtask demo`, `cargo xtask bench`.

mod ci;

use clap::Command;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("xtask")
        .about("Chores of sardineshore")
        .subcommand_required(true)
        .subcommand(Command::new("ci").about("Runs formatter, linter, tests and documentation"))
        .get_matches();
    match matches.subcommand_name() {
        Some("ci") => ci::run(),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
