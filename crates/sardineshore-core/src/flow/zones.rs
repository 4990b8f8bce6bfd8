//! Decides when sending work to another failure domain pays, and how much.
//!
//! Work leaves its home domain if it gains more time there than the way costs: the round trip, the
//! transfer of its inputs, and what bytes are priced at. How much leaves is the share by which the
//! home's own demand exceeds its capacity, and no domain takes more than its own callers can spare.
//! `docs/design/leaving-the-zone.md` tells what else was weighed.
//!
//! [`Spillover`] decides for cells, from figures that their owners measure; [`PoolRoom`] tells the
//! room of a pool's servers by domain and the cost of a server in another one. Figures older than
//! [`MAX_FIGURE_AGE`] aren't used.

mod figures;
mod links;
mod plan;
mod pool;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::config::Name;
use figures::AVERAGING_TIME;
pub use figures::{CAPACITY_UNIT, CellFigures, DemandMeter, PoolFigures};
pub use links::{RoundTrips, SpilloverPrices};
pub use plan::{DomainLoad, QUEUE_TARGET, plan_flows};
pub use pool::{CrossingReason, PoolRoom};

/// Age from which figures are not used any more.
pub const MAX_FIGURE_AGE: Duration = Duration::from_secs(2);
/// Time between two plans of an instance.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Figures replace known ones only if they are younger by this time. Their age doesn't include the
/// way between instances, so figures that come back over others would seem to be newer.
const MIN_PROGRESS: Duration = Duration::from_millis(20);
/// Time over which it is compared how many jobs should have left a home and how many did. It is
/// several times the age of the figures, so that their delay doesn't count as a difference.
const COMPARISON_TIME: Duration = Duration::from_secs(3);
/// Share of the demand that is added to both sides of the comparison, so that small ones say little.
const COMPARISON_WEIGHT: f64 = 0.02;
/// Least share of the jobs that should have left by which the plan is corrected.
const MIN_FOLLOWED: f64 = 0.5;
/// Change of a share from which it is reported again.
const REPORTED_CHANGE: f64 = 0.15;
/// Shares below this count as none in reports.
const REPORTED_FROM: f64 = 0.02;
/// Least time between two reports of one pair of domains.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Round trip to a domain to which none was measured.
const UNKNOWN_ROUND_TRIP: Duration = Duration::from_millis(8);
/// Seed of the hash by which a request leaves or stays.
const LEAVE_SEED: u64 = 0x1eaf;
/// Seed of the hash by which a refused request chooses a cell.
const REFUSED_SEED: u64 = 0x2eaf;

/// A job whose cell is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct SpillRequest<'a> {
    /// Key that a retry of the request has too; decides at random whether it leaves.
    pub hash_key: &'a str,
    /// Cell that the request belongs to.
    pub home: &'a Name,
    /// Time that it costs to leave the home: inputs to transfer or prompts that are not cached.
    pub stay_value: Duration,
    /// Bytes that move between domains if it leaves.
    pub bytes: u64,
}

/// Share of a home's jobs that leave for another cell, as it changed.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// Home of the jobs.
    pub from: Name,
    /// Cell that they leave for.
    pub to: Name,
    /// Share that leaves, 0 to 1.
    pub share: f64,
}

/// Jobs that leave a home for one other cell.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// Share of the home's jobs, 0 to 1; follows the plan within the age of the figures.
    share: f64,
    /// Seconds that a job gains which costs nothing to leave.
    gain: f64,
    /// What was last reported, and when.
    reported: f64,
    reported_at: Option<Instant>,
}

impl Flow {
    fn at(share: f64) -> Self {
        Self {
            share,
            ..Self::default()
        }
    }
}

/// Jobs that leave one home.
#[derive(Debug, Clone, Default)]
struct HomeFlows {
    /// By the cell that they leave for.
    flows: BTreeMap<Name, Flow>,
    /// Share of the demand that should leave, as late as figures show it.
    lagging: f64,
    /// Shares of the demand that should have left and that did, averaged.
    planned: f64,
    left: f64,
}

impl HomeFlows {
    /// Share of the jobs that should leave which does: some belong to instances without figures, and
    /// some lose more than they gain.
    fn followed(&self) -> f64 {
        let followed = (self.left + COMPARISON_WEIGHT) / (self.planned + COMPARISON_WEIGHT);
        followed.clamp(MIN_FOLLOWED, 1.0)
    }

    /// Compares what should leave now with what does.
    fn compare(&mut self, planned: f64, left: f64, age: Duration, elapsed: Duration) {
        let weight = |time: Duration| 1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
        self.lagging += (planned - self.lagging) * weight(age + AVERAGING_TIME);
        let weight = weight(COMPARISON_TIME);
        self.planned += (self.lagging - self.planned) * weight;
        self.left += (left - self.left) * weight;
    }
}

/// Figures of a cell, as this instance knows them.
#[derive(Debug, Clone)]
struct KnownFigures {
    figures: CellFigures,
    measured_at: Instant,
    /// Whether this instance measured them.
    is_own: bool,
}

impl KnownFigures {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.measured_at)
    }
}

/// Least times between two sets of a cell's figures on one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendIntervals {
    /// For cells that this instance owns.
    pub own: Duration,
    /// For all others.
    pub other: Duration,
}

impl SendIntervals {
    /// From an owner to an instance. With 60 bytes per cell and three cells, that is at most 0.5 KB per
    /// second and link; those of the other cells matter less, as their owners send them too.
    pub const FROM_OWNER: Self = Self {
        own: Duration::from_millis(250),
        other: Duration::from_millis(500),
    };
    /// From an instance to an owner, at most 0.2 KB per second and link.
    pub const TO_OWNER: Self = Self {
        own: Duration::from_secs(1),
        other: Duration::from_secs(1),
    };
    /// From a reader of the store to the instances that follow it, of which some have few jobs.
    pub const FROM_READER: Self = Self {
        own: Duration::from_millis(400),
        other: Duration::from_millis(400),
    };
}

/// Chooses cells for jobs, from figures of all cells.
#[derive(Debug, Clone, Default)]
pub struct Spillover {
    domain: Name,
    prices: SpilloverPrices,
    round_trips: RoundTrips,
    /// Latest figures of each cell.
    known: BTreeMap<Name, KnownFigures>,
    homes: BTreeMap<Name, HomeFlows>,
    planned_at: Option<Instant>,
    changes: Vec<ShareChange>,
}

impl Spillover {
    /// Without figures, for an instance in `domain`.
    #[must_use]
    pub fn new(domain: Name, prices: SpilloverPrices) -> Self {
        Self {
            domain,
            prices,
            ..Self::default()
        }
    }

    /// Measured round trips.
    #[must_use]
    pub fn round_trips(&self) -> &RoundTrips {
        &self.round_trips
    }

    /// Records how long it took to set up a connection to a domain or to get a heartbeat back.
    pub fn record_round_trip(&mut self, domain: &Name, sample: Duration, now: Instant) {
        self.round_trips.record(domain, sample, now);
    }

    /// Records figures that this instance measured.
    pub fn record_own(&mut self, figures: CellFigures, now: Instant) {
        let known = KnownFigures {
            figures,
            measured_at: now,
            is_own: true,
        };
        self.known.insert(known.figures.cell.clone(), known);
    }

    /// Records figures that were received, unless younger ones are known.
    pub fn record(&mut self, figures: CellFigures, now: Instant) {
        let age = Duration::from_millis(figures.age_ms.into());
        let Some(measured_at) = now.checked_sub(age).filter(|_| age < MAX_FIGURE_AGE) else {
            return;
        };
        let known = self.known.get(&figures.cell);
        if known.is_none_or(|known| measured_at > known.measured_at + MIN_PROGRESS) {
            let known = KnownFigures {
                figures,
                measured_at,
                is_own: false,
            };
            self.known.insert(known.figures.cell.clone(), known);
        }
    }

    /// Figures that are due on a link, with their age. `sent` holds when those that were sent there
    /// were measured, and is updated.
    pub fn due_figures(
        &self,
        sent: &mut BTreeMap<Name, Instant>,
        intervals: SendIntervals,
        now: Instant,
    ) -> Vec<CellFigures> {
        let mut due = Vec::new();
        for (cell, known) in &self.known {
            let interval = if known.is_own {
                intervals.own
            } else {
                intervals.other
            };
            let is_due = |last: &Instant| known.measured_at >= *last + interval;
            let age = known.age(now);
            if age < MAX_FIGURE_AGE && sent.get(cell).is_none_or(is_due) {
                sent.insert(cell.clone(), known.measured_at);
                due.push(CellFigures {
                    age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                    ..known.figures.clone()
                });
            }
        }
        due
    }

    /// Cell that a job goes to: its home, or one of the other `cells`. `None` if nothing is known of
    /// the home.
    pub fn choose(
        &mut self,
        request: &SpillRequest<'_>,
        cells: &[Name],
        now: Instant,
    ) -> Option<Name> {
        self.load(request.home, now)?;
        let is_due = |at| now.saturating_duration_since(at) >= PLAN_INTERVAL;
        if self.planned_at.is_none_or(is_due) {
            self.plan(cells, now);
        }
        let cost = request.stay_value + self.prices.time_worth(request.bytes);
        let mut left = uniform_hash(request.hash_key, LEAVE_SEED);
        let Some(home) = self.homes.get(request.home) else {
            return Some(request.home.clone());
        };
        let followed = home.followed();
        for (cell, flow) in &home.flows {
            let share = flow.share / followed;
            if left < share {
                let pays = flow.gain > cost.as_secs_f64() && cells.contains(cell);
                return Some(if pays { cell } else { request.home }.clone());
            }
            left -= share;
        }
        Some(request.home.clone())
    }

    /// Cell with room for a job that another cell refused, chosen at random by room; `None` if none
    /// is known to have some.
    #[must_use]
    pub fn with_room(
        &self,
        refused_by: &Name,
        hash_key: &str,
        cells: &[Name],
        now: Instant,
    ) -> Option<Name> {
        let others = cells.iter().filter(|cell| *cell != refused_by);
        let rooms: Vec<(&Name, f64)> = others
            .filter_map(|cell| Some((cell, self.load(cell, now)?.room())))
            .filter(|(_, room)| *room > 0.0)
            .collect();
        let sum: f64 = rooms.iter().map(|(_, room)| room).sum();
        let mut left = uniform_hash(hash_key, REFUSED_SEED) * sum;
        for (cell, room) in &rooms {
            if left < *room {
                return Some((*cell).clone());
            }
            left -= room;
        }
        rooms.last().map(|(cell, _)| (*cell).clone())
    }

    /// Shares that changed since the last call; at most one for each pair of cells per second.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// Load of a cell; `None` if its figures are missing or too old.
    fn load(&self, cell: &str, now: Instant) -> Option<DomainLoad> {
        let known = self.known.get(cell)?;
        let (figures, age) = (&known.figures, known.age(now));
        if age >= MAX_FIGURE_AGE {
            return None;
        }
        let own = figures.demand.iter().filter(|(home, _)| **home == *cell);
        let stayed: f64 = own.map(|(_, rate)| f64::from(*rate)).sum();
        Some(DomainLoad {
            capacity: f64::from(figures.capacity),
            demand: stayed + self.left(cell, now),
            queue: Duration::from_millis(figures.queue_ms.into()),
            age,
        })
    }

    /// Work per second of a home that arrives at other cells.
    fn left(&self, home: &str, now: Instant) -> f64 {
        let others = self
            .known
            .values()
            .filter(|known| *known.figures.cell != *home && known.age(now) < MAX_FIGURE_AGE);
        let demand = others.flat_map(|known| &known.figures.demand);
        let left = demand.filter(|(of, _)| **of == *home);
        left.map(|(_, rate)| f64::from(*rate)).sum()
    }

    /// Time that it costs to send a job to a cell instead of its home, as seen from this instance.
    fn crossing(&self, home: &str, cell: &str) -> Duration {
        let way = |cell: &str| {
            if *cell == *self.domain {
                Duration::ZERO
            } else {
                self.round_trips.to(cell).unwrap_or(UNKNOWN_ROUND_TRIP)
            }
        };
        // A job whose home is elsewhere crosses domains in any case.
        way(cell).saturating_sub(way(home))
    }

    /// Brings the shares closer to what the figures ask for.
    fn plan(&mut self, cells: &[Name], now: Instant) {
        let elapsed = self
            .planned_at
            .replace(now)
            .map_or(PLAN_INTERVAL, |at| now.saturating_duration_since(at));
        let known: Vec<(&Name, DomainLoad)> = cells
            .iter()
            .filter_map(|cell| Some((cell, self.load(cell, now)?)))
            .collect();
        let loads: Vec<DomainLoad> = known.iter().map(|(_, load)| *load).collect();
        let crossings: Vec<Vec<Duration>> = known
            .iter()
            .map(|(from, _)| {
                known
                    .iter()
                    .map(|(to, _)| self.crossing(from, to))
                    .collect()
            })
            .collect();
        let planned = plan_flows(&loads, |from, to| crossings[from][to]);
        let left: Vec<f64> = known.iter().map(|(home, _)| self.left(home, now)).collect();
        self.homes.retain(|home, _| cells.contains(home));
        for (home, row) in &mut self.homes {
            // Nothing is known of the home, or of the other cell: its jobs stay.
            let is_known = |cell: &Name| known.iter().any(|(known, _)| *known == cell);
            let is_home_known = is_known(home);
            row.flows.retain(|cell, _| is_home_known && is_known(cell));
        }
        for (from, (home, load)) in known.iter().enumerate() {
            let row = self.homes.entry((*home).clone()).or_default();
            // Figures don't tell more than what changes within their age.
            let time = load.age.max(PLAN_INTERVAL).as_secs_f64();
            let weight = 1.0 - (-elapsed.as_secs_f64() / time).exp();
            let demand = load.demand.max(f64::EPSILON);
            for (to, (cell, other)) in known.iter().enumerate().filter(|(to, _)| *to != from) {
                let wanted = (planned[from][to] / demand).clamp(0.0, 1.0);
                // After figures were missing, there is no earlier share to go on from.
                let flow = row
                    .flows
                    .entry((*cell).clone())
                    .or_insert_with(|| Flow::at(wanted));
                flow.share += (wanted - flow.share) * weight;
                flow.gain = plan::gain(load, other, crossings[from][to]);
                report_change(&mut self.changes, home, cell, flow, now);
            }
            let share = row.flows.values().map(|flow| flow.share).sum();
            row.compare(share, left[from] / demand, load.age, elapsed);
        }
    }
}

/// Notes the share of a flow if it differs enough from what was reported.
fn report_change(
    changes: &mut Vec<ShareChange>,
    from: &Name,
    to: &Name,
    flow: &mut Flow,
    now: Instant,
) {
    let share = if flow.share < REPORTED_FROM {
        0.0
    } else {
        flow.share
    };
    let is_recent = |at| now.saturating_duration_since(at) < REPORT_INTERVAL;
    let starts_or_ends = (share > 0.0) != (flow.reported > 0.0);
    let differs = (share - flow.reported).abs() >= REPORTED_CHANGE;
    if (starts_or_ends || differs) && !flow.reported_at.is_some_and(is_recent) {
        flow.reported = share;
        flow.reported_at = Some(now);
        let (from, to) = (from.clone(), to.clone());
        changes.push(ShareChange { from, to, share });
    }
}

/// Pseudo-random number from 0 to 1 that depends only on key and seed.
fn uniform_hash(key: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(key.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}
