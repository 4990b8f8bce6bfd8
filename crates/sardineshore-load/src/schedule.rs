//! The arrival schedule: when each request is due, from which customer and for which pipeline.
//!
//! It is computed from a seed before the run, so that slow answers can't delay later requests
//! (coordinated omission).

use std::sync::Arc;
use std::time::Duration;

use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use sardineshore_core::duration;

use crate::workload::Workload;

/// Number and rate of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduleSettings {
    /// Number of logical requests.
    pub requests: usize,
    /// Mean arrivals per second outside of bursts.
    pub rate: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Interval in which the rate differs, if there is one.
    pub burst: Option<Burst>,
    /// Number of requests, spread evenly over the run, that crash the server that runs them.
    pub poison: usize,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            requests: 1_000,
            rate: 100.0,
            seed: 1,
            burst: None,
            poison: 0,
        }
    }
}

/// An interval in which the arrival rate is multiplied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start of the interval, counted from the start of the run.
    pub at: Duration,
    /// Length of the interval.
    pub length: Duration,
    /// Factor by which the rate is multiplied; positive.
    pub factor: f64,
}

/// One logical request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is due, counted from the start of the run.
    pub due: Duration,
    /// Index of its customer in the workload.
    pub customer: usize,
    /// Index of its pipeline in the workload.
    pub pipeline: usize,
    /// Tag that identifies the request in logs; unique in the run.
    pub tag: Arc<str>,
    /// Number of its prompt prefix, which it shares with other requests.
    pub prefix: u32,
    /// Whether it asks for a stream.
    pub streamed: bool,
    /// Whether it crashes the server that runs it.
    pub poison: bool,
}

/// All logical requests of a run, in the order in which they are due.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Schedule {
    /// Logical requests.
    pub arrivals: Vec<Arrival>,
}

impl Schedule {
    /// Plans a run whose requests arrive as a Poisson process.
    ///
    /// # Panics
    ///
    /// Panics if the workload has [findings](Workload::findings).
    #[must_use]
    pub fn plan(workload: &Workload, settings: &ScheduleSettings) -> Self {
        let mut planner = Planner::new(workload, settings);
        let arrivals = (0..settings.requests)
            .map(|i| planner.next_arrival(i))
            .collect();
        Self { arrivals }
    }

    /// When the last request is due.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |last| last.due)
    }
}

struct Planner<'a> {
    workload: &'a Workload,
    settings: &'a ScheduleSettings,
    rng: StdRng,
    pipelines: WeightedIndex<f64>,
    customers: WeightedIndex<f64>,
    elapsed_s: f64,
}

impl<'a> Planner<'a> {
    fn new(workload: &'a Workload, settings: &'a ScheduleSettings) -> Self {
        let pipelines = workload.pipelines.iter().map(|pipeline| pipeline.share);
        let customers = workload.customers.iter().map(|customer| customer.share);
        Self {
            workload,
            settings,
            rng: StdRng::seed_from_u64(settings.seed),
            pipelines: WeightedIndex::new(pipelines).expect("checked shares"),
            customers: WeightedIndex::new(customers).expect("checked shares"),
            elapsed_s: 0.0,
        }
    }

    fn next_arrival(&mut self, number: usize) -> Arrival {
        self.advance_to_next_arrival();
        let pipeline = self.pipelines.sample(&mut self.rng);
        let mix = &self.workload.pipelines[pipeline];
        let poison = mix.is_idempotent() && self.is_poison(number);
        Arrival {
            due: duration::from_secs(self.elapsed_s),
            customer: self.customers.sample(&mut self.rng),
            pipeline,
            tag: format!("{}-{}-{number}", self.workload.name, self.settings.seed).into(),
            prefix: self.rng.random_range(0..mix.prefixes),
            streamed: self.rng.random_bool(mix.streamed),
            poison,
        }
    }

    /// Moves the time to the next arrival of a Poisson process whose rate changes when the burst
    /// starts and ends.
    fn advance_to_next_arrival(&mut self) {
        let mut remaining: f64 = Exp1.sample(&mut self.rng);
        loop {
            let (rate, rate_change_s) = self.rate_at(self.elapsed_s);
            let next = self.elapsed_s + remaining / rate;
            if next <= rate_change_s {
                self.elapsed_s = next;
                return;
            }
            remaining -= (rate_change_s - self.elapsed_s) * rate;
            self.elapsed_s = rate_change_s;
        }
    }

    /// The rate at a time, and when it changes next; both times in seconds from the start.
    fn rate_at(&self, time_s: f64) -> (f64, f64) {
        let rate = self.settings.rate;
        let Some(burst) = self.settings.burst else {
            return (rate, f64::INFINITY);
        };
        let start = burst.at.as_secs_f64();
        let end = start + burst.length.as_secs_f64();
        if time_s < start {
            (rate, start)
        } else if time_s < end {
            (rate * burst.factor, end)
        } else {
            (rate, f64::INFINITY)
        }
    }

    /// Whether the request with this number is one of those that crash servers.
    fn is_poison(&self, number: usize) -> bool {
        let every = self.settings.requests / self.settings.poison.max(1);
        self.settings.poison > 0 && number % every.max(1) == every / 2
    }
}
