//! The arrival schedule: when each request is due, from whom and for what.
//!
//! It is computed before the run from a seed, so that slow answers can't delay later requests.

use std::sync::Arc;
use std::time::Duration;

use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};

use crate::workload::Workload;

/// How many requests arrive, and how fast.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduleSettings {
    /// Number of logical requests.
    pub requests: usize,
    /// Mean arrivals per second outside of bursts.
    pub rate: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time in which the rate is higher.
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

/// A time in which arrivals come faster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Factor on the rate.
    pub factor: f64,
}

/// One logical request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start of the run.
    pub due: Duration,
    /// Index of its customer in the workload.
    pub customer: usize,
    /// Index of its pipeline in the workload.
    pub pipeline: usize,
    /// Tag, unique in the run.
    pub tag: Arc<str>,
    /// Number of its prompt prefix.
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
    /// Plans a run with Poisson arrivals.
    ///
    /// # Panics
    ///
    /// Panics if the workload has [findings](Workload::findings).
    #[must_use]
    pub fn plan(workload: &Workload, settings: &ScheduleSettings) -> Self {
        let mut planner = Planner::new(workload, settings);
        let arrivals = (0..settings.requests).map(|i| planner.next(i)).collect();
        Self { arrivals }
    }

    /// When the last request is due.
    #[must_use]
    pub fn length(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |last| last.due)
    }
}

struct Planner<'a> {
    workload: &'a Workload,
    settings: &'a ScheduleSettings,
    rng: StdRng,
    pipelines: WeightedIndex<f64>,
    customers: WeightedIndex<f64>,
    clock: f64,
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
            clock: 0.0,
        }
    }

    fn next(&mut self, number: usize) -> Arrival {
        self.advance();
        let pipeline = self.pipelines.sample(&mut self.rng);
        let mix = &self.workload.pipelines[pipeline];
        let poison = mix.idempotent() && self.is_poison(number);
        Arrival {
            due: Duration::from_secs_f64(self.clock),
            customer: self.customers.sample(&mut self.rng),
            pipeline,
            tag: format!("{}-{}-{number}", self.workload.name, self.settings.seed).into(),
            prefix: self.rng.random_range(0..mix.prefixes),
            streamed: self.rng.random_bool(mix.streamed),
            poison,
        }
    }

    /// Moves to the next arrival of a Poisson process whose rate changes at the burst's borders.
    fn advance(&mut self) {
        let mut work: f64 = Exp1.sample(&mut self.rng);
        loop {
            let (rate, until) = self.rate_at(self.clock);
            let next = self.clock + work / rate;
            if next <= until {
                self.clock = next;
                return;
            }
            work -= (until - self.clock) * rate;
            self.clock = until;
        }
    }

    /// The rate at `at` seconds, and when it changes.
    fn rate_at(&self, at: f64) -> (f64, f64) {
        let rate = self.settings.rate;
        let Some(burst) = self.settings.burst else {
            return (rate, f64::INFINITY);
        };
        let start = burst.at.as_secs_f64();
        let end = start + burst.length.as_secs_f64();
        if at < start {
            (rate, start)
        } else if at < end {
            (rate * burst.factor, end)
        } else {
            (rate, f64::INFINITY)
        }
    }

    fn is_poison(&self, number: usize) -> bool {
        let every = self.settings.requests / self.settings.poison.max(1);
        self.settings.poison > 0 && number % every.max(1) == every / 2
    }
}
