//! Compares the policies of routing, limits and retries with baselines in a simulation.
//!
//! Runs the state machines of the entry instances under simulated time and prints, for each
//! scenario and variant, the mean of each figure and half of its range over the seeds.
//!
//! `cargo run --release -p sardineshore-core --example policy [-- SCENARIO…]`

mod backend;
mod flow;
mod instance;
mod scenario;
mod simulation;
mod totals;

use sardineshore_core::Objective;
use scenario::{SCENARIOS, Scenario, VARIANTS, Variant};
use simulation::Simulation;
use totals::{SeedRange, Totals};

const SEEDS: u64 = 5;

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    println!("scenario | objective | variant | {}", Totals::heading());
    for scenario in SCENARIOS {
        if selected.is_empty() || selected.iter().any(|name| name == scenario.name) {
            for objective in [Objective::Attainment, Objective::Cost] {
                report(scenario, objective);
            }
        }
    }
}

fn report(scenario: &Scenario, objective: Objective) {
    for variant in VARIANTS {
        let figures: Vec<_> = (0..SEEDS)
            .map(|seed| run(scenario, variant, objective, seed).figures())
            .collect();
        let columns: Vec<String> = (0..figures[0].len())
            .map(|column| SeedRange::of(figures.iter().map(|row| row[column])).to_string())
            .collect();
        let columns = columns.join(" | ");
        println!(
            "{} | {objective:?} | {} | {columns}",
            scenario.name, variant.name
        );
    }
}

fn run(scenario: &Scenario, variant: &Variant, objective: Objective, seed: u64) -> Totals {
    Simulation::new(scenario, variant, objective, seed).run()
}
