//! A small replay of cells with queues, instances that choose cells, and figures that travel with
//! jobs and their outcomes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::zones::{
    CellFigures, DemandMeter, PoolFigures, SpillRequest, Spillover, SpilloverPrices,
};

/// Step of the replay.
const STEP: Duration = Duration::from_millis(10);
/// Time between two figures of an owner.
const MEASURE_INTERVAL: u64 = 10;
/// Least time between figures of a cell on one link.
const LINK_INTERVAL: Duration = Duration::from_millis(250);
/// Steps between heartbeats of a link while jobs wait.
const HEARTBEAT_STEPS: usize = 25;
/// Instances of a domain from which on they follow a reader of the store.
const MIN_FOLLOWERS: usize = 4;
/// Steps between messages of a reader.
const RELAY_STEPS: u64 = 25;
/// Time from a submission to its outcome, besides the queue.
const SERVICE_TIME: Duration = Duration::from_millis(600);
/// Expected arrivals are drawn in parts of this size, which makes them vary almost as if independent.
const ARRIVAL_PART: f64 = 0.2;
/// Pieces per second of a cell with all its servers.
pub const CAPACITY: f64 = 150.0;

/// What a replay does to cells and messages. Times are seconds since the start.
pub struct Load {
    pub cells: usize,
    pub instances: usize,
    pub seconds: u64,
    /// Pieces per second whose home is a cell, as a share of [`CAPACITY`].
    pub demand: fn(usize, f64) -> f64,
    /// Capacity of a cell, as a share of [`CAPACITY`].
    pub capacity: fn(usize, f64) -> f64,
    /// Whether the figures of a message are lost, by a random number.
    pub loss: f64,
    /// Age that messages add.
    pub delay: Duration,
    /// Falsifies what an owner says.
    pub falsify: fn(&mut CellFigures, f64),
    /// Time that each job loses by leaving.
    pub stay_value: Duration,
    /// Whether a cell is in the list.
    pub listed: fn(usize, f64) -> bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            cells: 3,
            instances: 30,
            seconds: 51,
            demand: |_, _| 0.7,
            capacity: |_, _| 1.0,
            loss: 0.0,
            delay: Duration::ZERO,
            falsify: |_, _| {},
            stay_value: Duration::ZERO,
            listed: |_, _| true,
        }
    }
}

/// What a replay shows. The first seconds, until the meters are full, don't count.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Share of all pieces that left their home.
    pub left: f64,
    /// Least share that has to leave so that no demand exceeds its capacity while others have some.
    pub needed: f64,
    /// Longest queue of each cell.
    pub longest: Vec<Duration>,
    /// Share of the cells' time with a queue over a bound while another cell had spare capacity.
    pub over: f64,
    /// Pieces that left by second, as a share of the pieces of that second.
    pub left_by_second: Vec<f64>,
    /// Longest queue of any cell by second.
    pub queue_by_second: Vec<Duration>,
    /// Pieces that left for each cell.
    pub received: Vec<u32>,
    /// Pieces that went to a cell that was not in the list.
    pub sent_to_unlisted: u32,
}

struct Cell {
    name: Name,
    queued: f64,
    meter: DemandMeter,
    links: Vec<BTreeMap<Name, Instant>>,
}

/// A linear congruential generator, so that each run is the same.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Runs a load. `bound` is the queue from which [`Outcome::over`] counts.
pub fn run(load: &Load, bound: Duration) -> Outcome {
    let start = Instant::now();
    let dt = STEP.as_secs_f64();
    let names: Vec<Name> = (0..load.cells).map(|n| format!("z{n}").into()).collect();
    let spillover =
        |n: usize| Spillover::new(names[n % load.cells].clone(), SpilloverPrices::default());
    let mut instances: Vec<Spillover> = (0..load.instances).map(spillover).collect();
    let mut cells: Vec<Cell> = Vec::new();
    for name in &names {
        cells.push(Cell {
            name: name.clone(),
            queued: 0.0,
            meter: DemandMeter::new(start),
            links: vec![BTreeMap::new(); load.instances],
        });
    }
    let mut random = Random(7);
    // Outcomes on their way: when they arrive, for which instance, and the figures with them.
    let mut outcomes: VecDeque<Vec<(usize, usize)>> = VecDeque::new();
    let mut late: VecDeque<Vec<(usize, Vec<CellFigures>)>> = VecDeque::new();
    let mut result = Outcome {
        longest: vec![Duration::ZERO; load.cells],
        received: vec![0; load.cells],
        ..Outcome::default()
    };
    let (mut total, mut left, mut needed, mut over) = (0.0, 0.0, 0.0, 0.0);
    let steps = load.seconds * 100;
    let mut number = 0_u64;
    for step in 0..steps {
        let now = start + STEP * u32::try_from(step).unwrap();
        let t = step as f64 * dt;
        let counts = t >= 3.0;
        let listed: Vec<Name> = (0..load.cells)
            .filter(|cell| (load.listed)(*cell, t))
            .map(|cell| names[cell].clone())
            .collect();
        let second = usize::try_from(step / 100).unwrap();
        if result.left_by_second.len() <= second {
            result.left_by_second.push(0.0);
            result.queue_by_second.push(Duration::ZERO);
        }
        for cell in 0..load.cells {
            let capacity = (load.capacity)(cell, t);
            cells[cell].queued = (cells[cell].queued - capacity * CAPACITY * dt).max(0.0);
            if step % MEASURE_INTERVAL == cell as u64 {
                let rate = capacity * CAPACITY;
                let queue = Duration::from_secs_f64(cells[cell].queued / rate);
                let nominal = CAPACITY * load.cells as f64;
                let pool = (
                    &Name::from("pool"),
                    PoolFigures {
                        queue,
                        rate,
                        nominal,
                    },
                );
                let name = &cells[cell].name;
                let figures = cells[cell].meter.figures(name, [pool].into_iter(), now);
                let mut figures = figures.unwrap();
                (load.falsify)(&mut figures, t);
                instances[cell % load.instances].record(figures, now);
            }
        }
        // Figures of all cells that the owner knows come with outcomes.
        for (instance, cell) in outcomes.pop_front().unwrap_or_default() {
            let sent = &mut cells[cell].links[instance];
            let owner = &instances[cell % load.instances];
            let figures = owner.figures_since(sent, LINK_INTERVAL, now);
            if random.next() >= load.loss {
                let at = usize::try_from(load.delay.as_millis() / STEP.as_millis()).unwrap();
                late.resize(late.len().max(at + 1), Vec::new());
                late[at].push((instance, figures));
            }
        }
        // Readers of the store pass theirs on with the store's rows.
        if load.instances >= MIN_FOLLOWERS * load.cells && step % RELAY_STEPS == 0 {
            for instance in 2 * load.cells..load.instances {
                let reader = &instances[load.cells + instance % load.cells];
                let mut all = BTreeMap::new();
                let figures = reader.figures_since(&mut all, LINK_INTERVAL, now);
                if random.next() >= load.loss {
                    let at = usize::try_from(load.delay.as_millis() / STEP.as_millis()).unwrap();
                    late.resize(late.len().max(at + 1), Vec::new());
                    late[at].push((instance, figures));
                }
            }
        }
        for (instance, figures) in late.pop_front().unwrap_or_default() {
            for mut figures in figures {
                figures.age_ms += u32::try_from(load.delay.as_millis()).unwrap();
                instances[instance].record(figures, now);
            }
        }
        let mut excess = 0.0;
        let mut spare = 0.0;
        for home in (0..load.cells).filter(|home| (load.listed)(*home, t)) {
            let rate = (load.demand)(home, t) * CAPACITY;
            let capacity = (load.capacity)(home, t) * CAPACITY;
            excess += (rate - capacity).max(0.0);
            spare += (capacity - rate).max(0.0);
            let mut due = rate * dt;
            while due > 0.0 {
                let arrives = random.next() < due.min(ARRIVAL_PART);
                due -= ARRIVAL_PART;
                if !arrives {
                    continue;
                }
                number += 1;
                let instance = (random.next() * load.instances as f64) as usize;
                let key = format!("r{number}");
                let request = SpillRequest {
                    hash_key: &key,
                    home: &names[home],
                    stay_value: load.stay_value,
                    bytes: 0,
                };
                let chosen = instances[instance].choose(&request, &listed, now);
                let chosen = chosen.unwrap_or_else(|| names[home].clone());
                let cell = names.iter().position(|name| *name == chosen).unwrap();
                result.sent_to_unlisted += u32::from(!listed.contains(&chosen));
                cells[cell].queued += 1.0;
                cells[cell]
                    .meter
                    .record(&names[home], &"pool".into(), 1, now);
                let rate = (load.capacity)(cell, t).max(0.01) * CAPACITY;
                let wait = SERVICE_TIME.as_secs_f64() + cells[cell].queued / rate;
                let at = (wait / dt) as usize;
                outcomes.resize(outcomes.len().max(at + 1), Vec::new());
                outcomes[at].push((instance, cell));
                for heartbeat in (HEARTBEAT_STEPS..at).step_by(HEARTBEAT_STEPS) {
                    outcomes[heartbeat].push((instance, cell));
                }
                if counts {
                    total += 1.0;
                    result.left_by_second[second] += f64::from(u8::from(cell != home)) / rate;
                }
                if counts && cell != home {
                    left += 1.0;
                    result.received[cell] += 1;
                }
            }
        }
        if counts {
            needed += excess.min(spare) * dt;
        }
        for cell in 0..load.cells {
            let capacity = (load.capacity)(cell, t).max(0.01) * CAPACITY;
            let queue = Duration::from_secs_f64(cells[cell].queued / capacity);
            let worst = &mut result.queue_by_second[second];
            *worst = queue.max(*worst);
            if counts {
                result.longest[cell] = result.longest[cell].max(queue);
                let others_wait = (0..load.cells).any(|n| {
                    n != cell && cells[n].queued < 0.05 * CAPACITY && spare > 0.1 * CAPACITY
                });
                over += f64::from(u8::from(queue > bound && others_wait));
            }
        }
    }
    result.left = left / total;
    result.needed = needed / total;
    result.over = over / ((steps - 300) * load.cells as u64) as f64;
    result
}
