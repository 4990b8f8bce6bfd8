//! Measures the policy of routing, limits and retries against baselines, without processes.
//!
//! Drives the state machines of nine entry instances under manual time and prints, for each
//! scenario and variant, figures with their spread over the seeds.
//!
//! `cargo run --release -p sardineshore-core --example policy [-- SCENARIO…]`

mod backend;
mod flow;
mod instance;
mod scenario;
mod tally;
mod world;

use sardineshore_core::Objective;
use scenario::{SCENARIOS, Scenario, VARIANTS, Variant};
use tally::{Spread, Tally};
use world::World;

const SEEDS: u64 = 5;

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    println!("scenario | objective | variant | {}", Tally::heading());
    for scenario in SCENARIOS {
        if wanted.is_empty() || wanted.iter().any(|name| name == scenario.name) {
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
            .map(|column| Spread::of(figures.iter().map(|row| row[column])).to_string())
            .collect();
        let columns = columns.join(" | ");
        println!(
            "{} | {objective:?} | {} | {columns}",
            scenario.name, variant.name
        );
    }
}

fn run(scenario: &Scenario, variant: &Variant, objective: Objective, seed: u64) -> Tally {
    World::new(scenario, variant, objective, seed).run()
}
