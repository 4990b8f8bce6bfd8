//! A small replay of cells with queues, instances that choose cells, and figures that travel with
//! jobs and their outcomes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use sardineshore_core::duration;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::zones::{
    CellFigures, DemandMeter, PoolFigures, SendIntervals, SpillRequest, Spillover, SpilloverPrices,
};

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 5100;
/// Steps until the meters are full.
const FIRST_COUNTED: u32 = 300;
/// Steps between figures of an owner, heartbeats of a link while jobs wait, and rows of a reader.
const MEASURE_STEPS: u32 = 10;
const HEARTBEAT_STEPS: usize = 25;
const READER_STEPS: u32 = 40;
/// Instances of a domain from which on they follow a reader of the store.
const MIN_FOLLOWERS: usize = 4;
/// Time from a submission to its outcome, besides the queue.
const SERVICE_TIME: Duration = Duration::from_millis(600);
/// Expected arrivals are drawn in parts of this size, which makes them vary almost as if independent.
const ARRIVAL_PART: f64 = 0.2;
/// Pieces per second of a cell with all its servers.
const CAPACITY: f64 = 150.0;
/// Queue that a job bears.
const BEARABLE: Duration = Duration::from_millis(400);

/// A load, by cell and by seconds since the start; demand and capacity as shares of [`CAPACITY`].
pub struct Load {
    pub cells: usize,
    pub instances: usize,
    pub demand: fn(usize, f64) -> f64,
    pub capacity: fn(usize, f64) -> f64,
    /// Whether a cell is in the list.
    pub listed: fn(usize, f64) -> bool,
    /// Share of messages whose figures are lost, and the age that the others add.
    pub loss: f64,
    pub delay: Duration,
    /// Falsifies what an owner says.
    pub falsify: fn(&mut CellFigures),
}

impl Default for Load {
    fn default() -> Self {
        Self {
            cells: 3,
            instances: 30,
            demand: |_, _| 0.7,
            capacity: |_, _| 1.0,
            listed: |_, _| true,
            loss: 0.0,
            delay: Duration::ZERO,
            falsify: |_| {},
        }
    }
}

/// What a replay shows after its first seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Share of all pieces that left their home.
    pub left: f64,
    /// Least share that has to leave so that no demand exceeds its capacity while others have some.
    pub needed: f64,
    /// Share of the cells' time with a queue over [`BEARABLE`] while another cell had room.
    pub over: f64,
    pub longest: Duration,
    /// Pieces that left by second, as a share of [`CAPACITY`].
    pub left_by_second: Vec<f64>,
    /// Pieces that left for each cell.
    pub received: Vec<u32>,
}

struct Cell {
    queued: f64,
    meter: DemandMeter,
    /// What was sent to each instance, and by each to the owner.
    from_owner: Vec<BTreeMap<Name, Instant>>,
    to_owner: Vec<BTreeMap<Name, Instant>>,
}

/// A linear congruential generator, so that each run is the same.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        let factor = 6_364_136_223_846_793_005;
        self.0 = self.0.wrapping_mul(factor).wrapping_add(1);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn index(&mut self, count: usize) -> usize {
        self.next();
        usize::try_from(self.0 >> 33).unwrap() % count
    }
}

struct Replay<'a> {
    load: &'a Load,
    now: Instant,
    /// Seconds since the start.
    t: f64,
    counts: bool,
    names: Vec<Name>,
    instances: Vec<Spillover>,
    cells: Vec<Cell>,
    /// For arrivals, which so are the same whatever is lost.
    random: Random,
    losses: Random,
    /// Outcomes and heartbeats on their way, by step: the instance and the cell.
    answers: VecDeque<Vec<(usize, usize)>>,
    /// Figures on their way, by step.
    figures: VecDeque<Vec<(usize, Vec<CellFigures>)>>,
    submitted: u64,
    counted: f64,
    outcome: Outcome,
}

pub fn run(load: &Load) -> Outcome {
    let start = Instant::now();
    let names: Vec<Name> = (0..load.cells).map(|n| format!("z{n}").into()).collect();
    let cell = |_| Cell {
        queued: 0.0,
        meter: DemandMeter::new(start),
        from_owner: vec![BTreeMap::new(); load.instances],
        to_owner: vec![BTreeMap::new(); load.instances],
    };
    let prices = SpilloverPrices::default();
    let spillover = |n: usize| Spillover::new(names[n % load.cells].clone(), prices);
    let mut replay = Replay {
        load,
        now: start,
        t: 0.0,
        counts: false,
        instances: (0..load.instances).map(spillover).collect(),
        cells: names.iter().map(cell).collect(),
        names,
        random: Random(7),
        losses: Random(11),
        answers: VecDeque::new(),
        figures: VecDeque::new(),
        submitted: 0,
        counted: 0.0,
        outcome: Outcome::default(),
    };
    replay.outcome.received = vec![0; load.cells];
    for step in 0..STEPS {
        replay.now = start + STEP * step;
        replay.t = f64::from(step) * STEP.as_secs_f64();
        replay.counts = step >= FIRST_COUNTED;
        if step % 100 == 0 {
            replay.outcome.left_by_second.push(0.0);
        }
        replay.serve(step);
        replay.deliver(step);
        replay.arrive();
        replay.observe();
    }
    let mut outcome = replay.outcome;
    outcome.left /= replay.counted;
    outcome.needed /= replay.counted;
    outcome.over /= f64::from(STEPS - FIRST_COUNTED) * load.cells as f64;
    outcome
}

impl Replay<'_> {
    /// Pieces per second that a cell can do.
    fn rate(&self, cell: usize) -> f64 {
        (self.load.capacity)(cell, self.t) * CAPACITY
    }

    fn queue(&self, cell: usize) -> Duration {
        duration::from_secs(self.cells[cell].queued / self.rate(cell))
    }

    fn owner(&self, cell: usize) -> usize {
        cell % self.load.instances
    }

    /// Serves waiting pieces; owners measure their cells.
    fn serve(&mut self, step: u32) {
        for index in 0..self.load.cells {
            let served = self.rate(index) * STEP.as_secs_f64();
            self.cells[index].queued = (self.cells[index].queued - served).max(0.0);
            if step as usize % MEASURE_STEPS as usize != index {
                continue;
            }
            let figures = PoolFigures {
                queue: self.queue(index),
                rate: self.rate(index),
                nominal: CAPACITY * self.load.cells as f64,
            };
            let pools = [(&Name::from("pool"), figures)];
            let meter = &self.cells[index].meter;
            let figures = meter.figures(&self.names[index], pools.into_iter(), self.now);
            let mut figures = figures.unwrap();
            (self.load.falsify)(&mut figures);
            let owner = self.owner(index);
            self.instances[owner].record_own(figures, self.now);
        }
    }

    /// Delivers the figures that go along with outcomes, heartbeats and the rows of readers.
    fn deliver(&mut self, step: u32) {
        for (instance, cell) in self.answers.pop_front().unwrap_or_default() {
            let owner = self.owner(cell);
            let sent = &mut self.cells[cell].from_owner[instance];
            let intervals = SendIntervals::FROM_OWNER;
            let figures = self.instances[owner].due_figures(sent, intervals, self.now);
            self.send(instance, figures);
        }
        let (cells, instances) = (self.load.cells, self.load.instances);
        if instances >= MIN_FOLLOWERS * cells && step % READER_STEPS == 0 {
            for instance in 2 * cells..instances {
                let reader = &self.instances[cells + instance % cells];
                let (mut sent, intervals) = (BTreeMap::new(), SendIntervals::FROM_READER);
                let figures = reader.due_figures(&mut sent, intervals, self.now);
                self.send(instance, figures);
            }
        }
        for (instance, figures) in self.figures.pop_front().unwrap_or_default() {
            for mut figures in figures {
                figures.age_ms += u32::try_from(self.load.delay.as_millis()).unwrap();
                self.instances[instance].record(figures, self.now);
            }
        }
    }

    fn send(&mut self, instance: usize, figures: Vec<CellFigures>) {
        if self.losses.next() >= self.load.loss {
            push_at(&mut self.figures, self.load.delay, (instance, figures));
        }
    }

    /// Pieces arrive at any instance.
    fn arrive(&mut self) {
        let listed = |cell: &usize| (self.load.listed)(*cell, self.t);
        let homes: Vec<usize> = (0..self.load.cells).filter(listed).collect();
        let names: Vec<Name> = homes.iter().map(|n| self.names[*n].clone()).collect();
        for home in homes {
            let mut due = (self.load.demand)(home, self.t) * CAPACITY * STEP.as_secs_f64();
            while due > 0.0 {
                if self.random.next() < due.min(ARRIVAL_PART) {
                    self.submit(home, &names);
                }
                due -= ARRIVAL_PART;
            }
        }
    }

    fn submit(&mut self, home: usize, listed: &[Name]) {
        self.submitted += 1;
        let instance = self.random.index(self.load.instances);
        let request = SpillRequest {
            hash_key: &format!("r{}", self.submitted),
            home: &self.names[home],
            stay_value: Duration::ZERO,
            bytes: 0,
        };
        let chosen = self.instances[instance].choose(&request, listed, self.now);
        let chosen = chosen.unwrap_or_else(|| self.names[home].clone());
        assert!(listed.contains(&chosen), "{chosen} is not in the list");
        let cell = self.names.iter().position(|name| *name == chosen).unwrap();
        let sent = &mut self.cells[cell].to_owner[instance];
        let intervals = SendIntervals::TO_OWNER;
        let known = self.instances[instance].due_figures(sent, intervals, self.now);
        let (owner, is_lost) = (self.owner(cell), self.losses.next() < self.load.loss);
        for figures in known.into_iter().filter(|_| !is_lost) {
            self.instances[owner].record(figures, self.now);
        }
        self.cells[cell].queued += 1.0;
        let meter = &mut self.cells[cell].meter;
        meter.record(&self.names[home], &"pool".into(), 1, self.now);
        let ends_in = SERVICE_TIME + self.queue(cell);
        push_at(&mut self.answers, ends_in, (instance, cell));
        for at in (HEARTBEAT_STEPS..steps_in(ends_in)).step_by(HEARTBEAT_STEPS) {
            self.answers[at].push((instance, cell));
        }
        if self.counts {
            self.counted += 1.0;
        }
        if self.counts && cell != home {
            self.outcome.left += 1.0;
            self.outcome.received[cell] += 1;
            *self.outcome.left_by_second.last_mut().unwrap() += 1.0 / CAPACITY;
        }
    }

    /// Compares the cells with each other and with the optimum.
    fn observe(&mut self) {
        if !self.counts {
            return;
        }
        let (mut excess, mut spare) = (0.0, 0.0);
        for cell in (0..self.load.cells).filter(|cell| (self.load.listed)(*cell, self.t)) {
            let balance = (self.load.demand)(cell, self.t) * CAPACITY - self.rate(cell);
            excess += balance.max(0.0);
            spare += (-balance).max(0.0);
        }
        self.outcome.needed += excess.min(spare) * STEP.as_secs_f64();
        let is_empty = |cell: &Cell| cell.queued < 0.05 * CAPACITY;
        let has_room = spare > 0.1 * CAPACITY && self.cells.iter().any(is_empty);
        for cell in 0..self.load.cells {
            let queue = self.queue(cell);
            self.outcome.longest = self.outcome.longest.max(queue);
            self.outcome.over += f64::from(u8::from(queue > BEARABLE && has_room));
        }
    }
}

fn steps_in(time: Duration) -> usize {
    usize::try_from(time.as_millis() / STEP.as_millis()).unwrap()
}

fn push_at<T: Clone>(steps: &mut VecDeque<Vec<T>>, time: Duration, item: T) {
    let at = steps_in(time);
    steps.resize(steps.len().max(at + 1), Vec::new());
    steps[at].push(item);
}
