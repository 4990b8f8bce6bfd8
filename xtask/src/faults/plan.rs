//! Which runs there are.

use std::fmt;

use crate::demo::fault::{self, Fault};

/// How many runs are wanted.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Seeds for each fault.
    pub seeds: u64,
    /// Seeds for each pair of faults.
    pub pair_seeds: u64,
    /// Fault that every run must include.
    pub only: Option<Fault>,
}

/// One run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Faults.
    pub faults: Vec<Fault>,
    /// Seed.
    pub seed: u64,
}

impl Plan {
    /// Faults and pairs of faults.
    #[must_use]
    pub fn groups(&self) -> Vec<Vec<Fault>> {
        let singles = fault::ALL.iter().map(|fault| vec![*fault]);
        let pairs = fault::ALL.iter().enumerate().flat_map(|(i, first)| {
            let others = &fault::ALL[i + 1..];
            others.iter().map(move |second| vec![*first, *second])
        });
        let wanted = |faults: &Vec<Fault>| self.only.is_none_or(|only| faults.contains(&only));
        singles.chain(pairs).filter(wanted).collect()
    }

    /// Number of seeds for a group.
    #[must_use]
    pub fn seeds_of(&self, faults: &[Fault]) -> u64 {
        if faults.len() == 1 {
            self.seeds
        } else {
            self.pair_seeds
        }
    }

    /// All runs, first one seed of each group, then the next.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let groups = self.groups();
        let last = self.seeds.max(self.pair_seeds);
        let of_seed = |seed: u64| {
            let wanted = groups
                .iter()
                .filter(move |faults| seed <= self.seeds_of(faults));
            wanted.map(move |faults| Run {
                faults: faults.clone(),
                seed,
            })
        };
        (1..=last).flat_map(of_seed).collect()
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} seed {}", name(&self.faults), self.seed)
    }
}

/// Names of faults, joined.
#[must_use]
pub fn name(faults: &[Fault]) -> String {
    let names: Vec<String> = faults.iter().map(ToString::to_string).collect();
    names.join(", ")
}
