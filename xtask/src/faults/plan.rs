//! Plan of the fault runs: which faults are combined, and with which seeds.

use std::fmt;

use crate::demo::fault::{self, Fault};

/// Numbers of runs and an optional filter.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of seeds for each single fault.
    pub seeds: u64,
    /// Number of seeds for each pair of faults.
    pub pair_seeds: u64,
    /// Fault that every run must include, if set.
    pub only: Option<Fault>,
}

/// One run, identified by its faults and its seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Faults injected together: one or a pair.
    pub faults: Vec<Fault>,
    /// Seed of all random choices of the run.
    pub seed: u64,
}

impl Plan {
    /// Returns all single faults and pairs of faults.
    #[must_use]
    pub fn fault_groups(&self) -> Vec<Vec<Fault>> {
        let singles = fault::ALL.iter().map(|fault| vec![*fault]);
        let pairs = fault::ALL.iter().enumerate().flat_map(|(i, first)| {
            let others = &fault::ALL[i + 1..];
            others.iter().map(move |second| vec![*first, *second])
        });
        let wanted = |faults: &Vec<Fault>| self.only.is_none_or(|only| faults.contains(&only));
        singles.chain(pairs).filter(wanted).collect()
    }

    /// Number of seeds for a group of faults.
    #[must_use]
    pub fn seeds_for(&self, faults: &[Fault]) -> u64 {
        if faults.len() == 1 {
            self.seeds
        } else {
            self.pair_seeds
        }
    }

    /// Returns all runs: those of the first seed of each group, then those of the second, and so
    /// on.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let fault_groups = self.fault_groups();
        let last = self.seeds.max(self.pair_seeds);
        let of_seed = |seed: u64| {
            let wanted = fault_groups
                .iter()
                .filter(move |faults| seed <= self.seeds_for(faults));
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
        write!(f, "{} seed {}", fault_names(&self.faults), self.seed)
    }
}

/// Joins the names of faults with commas.
#[must_use]
pub fn fault_names(faults: &[Fault]) -> String {
    let names: Vec<String> = faults.iter().map(ToString::to_string).collect();
    names.join(", ")
}
