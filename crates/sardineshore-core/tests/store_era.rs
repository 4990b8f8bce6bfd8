//! When a store that may have been restored confirms the configuration: single cases, and a random search
//! over several instances, restores, late writes and restarts with an oracle on revoked keys.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardineshore_core::flow::replica::StoreVersion;
use sardineshore_core::flow::store_era::{SETTLE_TIME, SettledEra, StoreEra};

const NOW: Duration = Duration::from_secs(1_000);
/// Just before the settle time has passed.
const EARLY: Duration = Duration::from_millis(1_999);

fn at(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era, number }
}

fn settled(era: u64, written: StoreVersion) -> SettledEra {
    SettledEra { era, written }
}

fn started(is_first_start: bool, era: u64) -> StoreEra {
    let mut store = StoreEra::new(is_first_start);
    store.record_era(era, NOW);
    store.record_first_list(false);
    store
}

/// Guards against a key that was taken away and works again at an instance that starts after a restore.
#[test]
fn confirms_nothing_for_settle_time_without_row_of_this_era() {
    for row in [None, Some(settled(1, at(2, 7)))] {
        let mut store = started(false, 2);
        store.record_settled(row);
        assert!(!store.confirms(at(2, 9), NOW + EARLY));
        assert!(store.confirms(at(2, 9), NOW + SETTLE_TIME));
        assert_eq!(store.settles_at(NOW), Some(NOW + SETTLE_TIME));
        assert_eq!(store.settles_at(NOW + SETTLE_TIME), None);
    }
    assert!(!StoreEra::new(true).confirms(at(0, 1), NOW));
}

#[test]
fn confirms_at_once_if_era_has_settled() {
    let mut store = started(false, 2);
    store.record_settled(Some(settled(2, at(2, 7))));
    assert!(store.confirms(at(2, 7), NOW));
    assert_eq!(store.settles_at(NOW), None);
    // Produced before the era had settled.
    assert!(!store.confirms(at(2, 6), NOW));
    assert!(!store.confirms(at(1, 9), NOW + SETTLE_TIME));
}

#[test]
fn confirms_at_first_start_until_rows_or_restore_contradict() {
    let first = started(true, 0);
    assert!(first.confirms(at(0, 1), NOW));
    let mut misled = started(true, 2);
    misled.record_settled(Some(settled(1, at(2, 7))));
    assert!(!misled.confirms(at(2, 9), NOW));
    let mut misled = started(true, 2);
    misled.record_old_rows();
    assert!(!misled.confirms(at(2, 9), NOW));
    let mut misled = StoreEra::new(true);
    misled.record_era(2, NOW);
    assert!(!misled.confirms(at(2, 9), NOW));
    misled.record_first_list(true);
    assert!(!misled.confirms(at(2, 9), NOW));
    let mut restored = started(true, 0);
    restored.record_era(1, NOW + SETTLE_TIME);
    assert!(!restored.confirms(at(1, 1), NOW + SETTLE_TIME));
}

#[test]
fn confirms_once_configuration_is_written_again() {
    let mut store = started(false, 2);
    store.record_config_written(at(1, 50));
    assert!(!store.confirms(at(2, 9), NOW));
    store.record_config_written(at(2, 9));
    assert!(store.confirms(at(2, 9), NOW));
    assert!(!store.confirms(at(2, 8), NOW));
    store.record_era(3, NOW);
    assert!(!store.confirms(at(3, 9), NOW));
}

/// Guards against a row that is written early, for ever again, or by all instances.
#[test]
fn settled_change_after_settle_time_and_in_order() {
    let mut store = started(true, 2);
    assert_eq!(store.settled_change(0, NOW + EARLY), None);
    assert_eq!(store.settled_change(0, NOW + SETTLE_TIME), Some(2));
    assert_eq!(store.settled_change(1, NOW + SETTLE_TIME), None);
    assert_eq!(store.settled_change(1, NOW + SETTLE_TIME * 2), Some(2));
    assert_eq!(store.settled_change(3, NOW + SETTLE_TIME * 90), None);
    store.record_settled(Some(settled(1, at(2, 3))));
    assert_eq!(store.settled_change(0, NOW + SETTLE_TIME), Some(2));
    store.record_settled(Some(settled(2, at(2, 4))));
    assert_eq!(store.settled_change(0, NOW + SETTLE_TIME * 90), None);
    store.record_era(3, NOW + SETTLE_TIME);
    assert_eq!(store.settled_change(0, NOW + SETTLE_TIME), None);
    assert_eq!(store.settled_change(0, NOW + SETTLE_TIME * 2), Some(3));
}

/// Times of the simulation, in milliseconds.
type Ms = u64;
const STEP: Ms = 20;
const END: Ms = 120_000;
const INSTANCES: usize = 4;
/// Number of seeds, unless the environment variable `SEARCH_SEEDS` sets another one.
const SEEDS: u64 = 40;
const MAX_COPY_AGE: Ms = 9_000;
/// Longest time from a restore until the operator has written again what was lost.
const MAX_REWRITE_DELAY: Ms = 1_900;
/// Longest time that a response or a write takes.
const MAX_DELAY: Ms = 3_000;

/// State of the store: its version, the configuration, and the row that names the settled era.
#[derive(Clone, Copy, Default)]
struct Rows {
    version: u64,
    /// Number of the configuration; each takes a key away. With the version of its row.
    config: (u64, u64),
    /// With the version of its row.
    settled: Option<(u64, u64)>,
}

/// A write of the settled era on the condition that its row still has a version.
#[derive(Clone, Copy)]
struct Write {
    due: Ms,
    era: u64,
    expected: u64,
}

/// A response on its way to an instance.
#[derive(Clone, Copy)]
struct Response {
    instance: usize,
    received_at: Ms,
    produced_at: Ms,
    era: u64,
    rows: Rows,
    /// Whether it brings the configuration, and else the row that names the settled era.
    has_config: bool,
    /// Newest configuration that was acknowledged when it was produced.
    acknowledged: u64,
}

struct Instance {
    store: StoreEra,
    /// Row of the newest configuration that was read, and the version and era of the store with it.
    config_row: Option<u64>,
    config_seen: StoreVersion,
    row_seen: StoreVersion,
    row: u64,
    /// Latest response that confirmed nothing.
    unconfirmed: Option<Response>,
    frozen_until: Ms,
}

impl Instance {
    fn start(is_first_start: bool) -> Self {
        let mut store = StoreEra::new(is_first_start);
        store.record_first_list(!is_first_start);
        Self {
            store,
            config_row: None,
            config_seen: StoreVersion::default(),
            row_seen: StoreVersion::default(),
            row: 0,
            unconfirmed: None,
            frozen_until: 0,
        }
    }

    /// Takes a response; returns those that confirm the configuration.
    fn receive(&mut self, response: Response) -> Option<Response> {
        let version = at(response.era, response.rows.version);
        let received = Duration::from_millis(response.received_at);
        self.store.record_era(response.era, received);
        if response.has_config {
            if version < self.config_seen {
                return None;
            }
            let row = response.rows.config.1;
            let is_same_era = self.config_seen.era == response.era;
            if is_same_era && self.config_row.is_some_and(|known| known != row) {
                self.store.record_config_written(version);
            }
            (self.config_row, self.config_seen) = (Some(row), version);
            self.unconfirmed = Some(response);
        } else {
            if version < self.row_seen {
                return None;
            }
            self.row_seen = version;
            let settled = response.rows.settled;
            self.row = settled.map_or(0, |(_, row)| row);
            self.store
                .record_settled(settled.map(|(era, row)| SettledEra {
                    era,
                    written: at(response.era, row),
                }));
        }
        let response = self.unconfirmed?;
        let produced = Duration::from_millis(response.produced_at);
        let version = at(response.era, response.rows.version);
        if !self.store.confirms(version, produced) {
            return None;
        }
        self.unconfirmed.take()
    }
}

struct Simulation {
    rng: StdRng,
    seed: u64,
    now: Ms,
    era: u64,
    rows: Rows,
    away_until: Ms,
    /// When the operator writes again what was lost.
    rewrites_at: Option<Ms>,
    acknowledged: u64,
    copies: VecDeque<(Ms, Rows)>,
    writes: Vec<Write>,
    responses: Vec<Response>,
    instances: Vec<Instance>,
    /// Number of writes of the settled era, and of confirmations by instances that started late.
    written: u32,
    confirmed: u32,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            seed,
            now: 0,
            era: 0,
            rows: Rows::default(),
            away_until: 0,
            rewrites_at: None,
            acknowledged: 0,
            copies: VecDeque::new(),
            writes: Vec::new(),
            responses: Vec::new(),
            instances: (0..INSTANCES).map(|_| Instance::start(true)).collect(),
            written: 0,
            confirmed: 0,
        }
    }

    /// Whether something happens in this step that happens once in `interval` on average.
    fn happens(&mut self, interval: Ms) -> bool {
        self.rng
            .random_ratio(1, u32::try_from(interval / STEP).unwrap())
    }

    fn delay(&mut self) -> Ms {
        if self.rng.random_bool(0.8) {
            self.rng.random_range(0..40)
        } else {
            self.rng.random_range(0..MAX_DELAY)
        }
    }

    fn write_config(&mut self, config: u64) {
        self.rows.version += 1;
        self.rows.config = (config, self.rows.version);
        self.acknowledged = config;
    }

    fn run(mut self) -> (u32, u32) {
        self.write_config(1);
        while self.now < END {
            self.step_store();
            self.disrupt();
            for instance in 0..INSTANCES {
                self.step_instance(instance);
            }
            self.deliver();
            self.now += STEP;
        }
        (self.written, self.confirmed)
    }

    fn step_store(&mut self) {
        let now = self.now;
        if now < self.away_until {
            return;
        }
        if self.rewrites_at.is_some_and(|at| now >= at) {
            self.rewrites_at = None;
            self.write_config(self.acknowledged);
        }
        if self.rewrites_at.is_none() && self.happens(6_000) {
            self.write_config(self.acknowledged + 1);
        }
        for write in std::mem::take(&mut self.writes) {
            let row = self.rows.settled.map_or(0, |(_, row)| row);
            if now < write.due {
                self.writes.push(write);
            } else if row == write.expected {
                self.rows.version += 1;
                self.rows.settled = Some((write.era, self.rows.version));
                self.written += 1;
            }
        }
        self.copies.push_back((now, self.rows));
        self.copies.retain(|(at, _)| at + MAX_COPY_AGE >= now);
    }

    fn disrupt(&mut self) {
        let now = self.now;
        if now >= self.away_until && self.rewrites_at.is_none() && self.happens(9_000) {
            let copy = self.rng.random_range(0..self.copies.len());
            self.rows = self.copies[copy].1;
            self.copies.clear();
            self.era += 1;
            self.away_until = now + self.rng.random_range(0..3_000);
            if self.rows.config.0 < self.acknowledged {
                let delay = self.rng.random_range(0..MAX_REWRITE_DELAY);
                self.rewrites_at = Some(self.away_until + delay);
            }
            if self.rng.random_bool(0.3) {
                for instance in &mut self.instances {
                    *instance = Instance::start(false);
                }
                self.responses.clear();
            }
        }
        if self.happens(1_500) {
            let instance = self.rng.random_range(0..INSTANCES);
            if self.rng.random_bool(0.6) {
                self.instances[instance] = Instance::start(false);
                self.responses.retain(|r| r.instance != instance);
            } else {
                self.instances[instance].frozen_until = now + self.rng.random_range(0..5_000);
            }
        }
    }

    fn step_instance(&mut self, instance: usize) {
        let now = Duration::from_millis(self.now);
        if self.now < self.instances[instance].frozen_until {
            return;
        }
        // A write may be performed late, also across a restore.
        if self.happens(1_000) {
            let rank = u32::try_from(instance).unwrap();
            let known = &self.instances[instance];
            if let Some(era) = known.store.settled_change(rank, now) {
                let expected = known.row;
                let due = self.now + self.delay();
                self.writes.push(Write { due, era, expected });
            }
        }
        if self.now < self.away_until {
            return;
        }
        for has_config in [true, false] {
            if self.happens(200) {
                let response = Response {
                    instance,
                    received_at: self.now + self.delay(),
                    produced_at: self.now,
                    era: self.era,
                    rows: self.rows,
                    has_config,
                    acknowledged: self.acknowledged,
                };
                self.responses.push(response);
            }
        }
    }

    fn deliver(&mut self) {
        for response in std::mem::take(&mut self.responses) {
            let instance = &mut self.instances[response.instance];
            if self.now < response.received_at || self.now < instance.frozen_until {
                self.responses.push(response);
                continue;
            }
            let received = Response {
                received_at: self.now,
                ..response
            };
            if let Some(confirmed) = instance.receive(received) {
                self.confirmed += 1;
                assert!(
                    confirmed.rows.config.0 >= confirmed.acknowledged,
                    "seed {}, at {} ms: configuration {} is confirmed, {} was acknowledged",
                    self.seed,
                    self.now,
                    confirmed.rows.config.0,
                    confirmed.acknowledged
                );
            }
        }
    }
}

/// Guards against a configuration that is confirmed although a later one was acknowledged.
#[test]
fn confirms_never_an_older_configuration() {
    let seeds = std::env::var("SEARCH_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let (mut written, mut confirmed) = (0, 0);
    for seed in 0..seeds {
        let (rows, responses) = Simulation::new(seed).run();
        written += rows;
        confirmed += responses;
    }
    assert!(written > 0 && confirmed > 0);
}
