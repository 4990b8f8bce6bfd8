//! Random search for streams that go on at another pool or version: several instances, a store that is restored
//! from copies and performs calls late, releases, restarts, cuts and freezes; a route that is split over pools and
//! moved between them, timeouts that change, and callers that take their streams up several times. An oracle knows
//! where each stream began.

mod instance;
mod store;

use std::time::{Duration, Instant};

use instance::{Instance, QueuedRecord};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::stream_versions::{
    StreamLife, StreamOrigin, StreamVersions, resolve, split_key,
};
use store::{BaseRow, BaseWrite, LIFE_KEY, POOLS, SPLITS, Store, route};

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const INSTANCES: usize = 4;
/// Number of seeds, unless the environment variable `SEARCH_SEEDS` sets another one; `SEARCH_FROM` sets the first.
const SEEDS: u64 = 60;

/// Times of the simulation, in milliseconds.
pub type Ms = u64;
const STEP: Ms = 20;
const END: Ms = 150_000;
/// Longest times of an answer that the operator configures.
const TIMEOUTS: [Ms; 2] = [8_000, 3_000];
/// Age of the newest confirmation from which on instances record streams at any version, and from which
/// on they begin none.
const RECORD_ALL_AGE: Ms = 4_000;
const REFUSE_AGE: Ms = 4_250;
const MAX_COPY_AGE: Ms = 5_000;
const COPY_INTERVAL: Ms = 500;
/// Longest time until operators and servers have written again what a restored store lacks.
const REWRITE_TIME: Ms = 2_000;
/// Average time between two disruptions of one kind.
const DISRUPTION_INTERVAL: Ms = 6_000;
const ENTRY_LIFETIME: Ms = 3_600;
/// How often instances compare base rows with what they know.
pub const BASE_CHECK_INTERVAL: Ms = 2_000;
/// Time without a disruption of the store after which take-ups count.
const STABLE: Ms = 3_000;

/// A fault of an earlier design, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The longest timeout that an instance has seen is taken for the life of streams.
    LifeOfKnownTimeouts,
    /// Memory and records don't tell pools apart.
    MemoryWithoutPools,
    /// Records are removed once an answer would have ended.
    RecordsRemovedAtTimeout,
    /// The pool follows from the id of the request that takes the stream up.
    PoolOfRequest,
    /// Other instances hold no copies.
    NoCopies,
}

struct Engine {
    pool: Name,
    version: Name,
    /// When it ends; its entry is dropped before, or lapses after.
    ends_at: Ms,
    unlisted_at: Ms,
    /// When it writes its entry next.
    lists_at: Ms,
}

#[derive(PartialEq)]
enum Phase {
    /// May wait for its record.
    Recording,
    Running,
    Ended,
}

struct Stream {
    origin: StreamOrigin,
    owner: Option<usize>,
    /// How long its caller says it waits, with its first request.
    waits: Option<Ms>,
    /// Whether the caller says the same with each request, not what is left.
    waits_anew: bool,
    take_ups: u32,
    /// When its caller gives up.
    leaves_at: Ms,
    /// When the present answer ends at the timeout.
    answered_until: Ms,
    /// When the stream is complete.
    ends_at: Ms,
    record: u32,
    phase: Phase,
}

/// Streams that were taken up at instances in touch.
#[derive(Default)]
struct TakeUps {
    all: u32,
    gone_on: u32,
    /// Those whose instance was lost lately, after a restore.
    lost: u32,
    lost_gone_on: u32,
}

struct Simulation {
    rng: StdRng,
    fault: Fault,
    /// Whether one version serves, but for servers of others that come and go around restores of the store.
    has_one_version: bool,
    /// Whether the operator changes the split.
    has_splits: bool,
    /// Whether instances reach each other, so that they hold copies of streams.
    has_links: bool,
    /// When the store is restored next.
    restored_at: Ms,
    origin: Instant,
    now: Ms,
    store: Store,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
    /// Numbers of the streams that have not ended.
    live: Vec<usize>,
    take_ups: TakeUps,
    /// First stream that went on elsewhere than it began.
    joined: Option<String>,
    seed: u64,
}

fn stream_name(stream: usize) -> Name {
    stream.to_string().into()
}

fn life_of(ms: Option<Ms>) -> StreamLife {
    StreamLife::new(ms.map(Duration::from_millis))
}

fn whole_ms(time: Duration) -> Ms {
    Ms::try_from(time.as_millis()).unwrap()
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            fault,
            has_one_version: seed % 2 == 1,
            has_splits: seed % 4 >= 2,
            // The earlier designs had no copies.
            has_links: seed % 3 != 0 && fault == Fault::None,
            restored_at: Ms::MAX,
            origin: Instant::now(),
            now: 0,
            store: Store::default(),
            engines: Vec::new(),
            instances: Vec::new(),
            streams: Vec::new(),
            live: Vec::new(),
            take_ups: TakeUps::default(),
            joined: None,
            seed,
        };
        simulation.store.rows.timeout = TIMEOUTS[0];
        simulation.store.rows.split = if simulation.has_splits { 2 } else { 0 };
        for _ in 0..INSTANCES {
            simulation.instances.push(Instance::start(true, 0, 0));
        }
        for pool in POOLS {
            for _ in 0..3 {
                simulation.add_engine(pool, VERSIONS[0]);
            }
        }
        simulation
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    /// Whether something happens in this step that happens once in `interval` on average.
    fn happens(&mut self, interval: Ms) -> bool {
        self.rng
            .random_ratio(1, u32::try_from(interval / STEP).unwrap())
    }

    fn add_engine(&mut self, pool: &str, version: &str) {
        self.engines.push(Engine {
            pool: pool.into(),
            version: version.into(),
            ends_at: Ms::MAX,
            unlisted_at: Ms::MAX,
            lists_at: self.now,
        });
    }

    fn any_pool(&mut self) -> &'static str {
        POOLS.choose(&mut self.rng).unwrap()
    }

    fn is_in_touch(&self, instance: usize) -> bool {
        let instance = &self.instances[instance];
        let free_at = instance.frozen_until.max(instance.cut_until);
        self.now >= free_at.max(self.store.away_until)
    }

    fn serves(&self, engine: usize) -> bool {
        self.engines[engine].ends_at > self.now
    }

    fn run(mut self) -> (TakeUps, Option<String>) {
        while self.now < END && self.joined.is_none() {
            self.step_engines();
            self.step_store();
            self.step_operator();
            self.disrupt();
            for instance in 0..INSTANCES {
                if self.now >= self.instances[instance].frozen_until {
                    self.step_instance(instance);
                }
            }
            self.step_streams();
            self.now += STEP;
        }
        (self.take_ups, self.joined)
    }

    fn step_engines(&mut self) {
        if self.has_one_version {
            self.step_short_engines();
        } else {
            self.step_releases();
        }
        if self.now < self.store.away_until {
            return;
        }
        for id in 0..self.engines.len() {
            let engine = &self.engines[id];
            if self.now >= engine.unlisted_at {
                self.store.drop_server(id);
            } else if self.now >= engine.lists_at && engine.ends_at == Ms::MAX {
                self.engines[id].lists_at = Ms::MAX;
                self.store.add_server(id);
            }
        }
    }

    /// Servers of another version start some time before a restore, and crash around it.
    fn step_short_engines(&mut self) {
        if self.restored_at == Ms::MAX && self.happens(12_000) {
            self.restored_at = self.now + self.rng.random_range(0..9_000);
            if self.rng.random_bool(0.7) {
                let pool = self.any_pool();
                self.add_engine(pool, VERSIONS[1]);
            }
        }
        let ends = self.now + 500 >= self.restored_at && self.happens(400);
        if !ends && !self.happens(20_000) {
            return;
        }
        let (now, lapse) = (self.now, self.rng.random_range(0..=ENTRY_LIFETIME));
        let serving = self.engines.iter_mut().filter(|e| e.ends_at == Ms::MAX);
        for engine in serving.filter(|e| *e.version == *VERSIONS[1]) {
            engine.ends_at = now;
            engine.unlisted_at = now + lapse;
        }
    }

    /// Servers of all versions start and leave.
    fn step_releases(&mut self) {
        if self.happens(4_000) {
            let (pool, version) = (self.any_pool(), *VERSIONS.choose(&mut self.rng).unwrap());
            for _ in 0..self.rng.random_range(1..3) {
                self.add_engine(pool, version);
            }
        }
        if self.happens(6_000) {
            // All servers of a version leave or crash, or one does.
            let (pool, version) = (self.any_pool(), *VERSIONS.choose(&mut self.rng).unwrap());
            let only_one = self.rng.random_bool(0.4);
            let (crashes, lapse) = (
                self.rng.random_bool(0.5),
                self.rng.random_range(0..=ENTRY_LIFETIME),
            );
            let now = self.now;
            // Those that leave serve on for some time, at times for many seconds.
            let lingers = self.rng.random_range(4_000..15_000);
            let leaving = self
                .engines
                .iter_mut()
                .filter(|e| *e.pool == *pool && *e.version == *version && e.ends_at == Ms::MAX);
            for engine in leaving.take(if only_one { 1 } else { usize::MAX }) {
                engine.ends_at = if crashes { now } else { now + lingers };
                engine.unlisted_at = if crashes { now + lapse } else { now };
            }
        }
    }

    fn step_store(&mut self) {
        let now = self.now;
        if now < self.store.away_until {
            return;
        }
        if now % COPY_INTERVAL == 0 {
            self.store.copies.push_back((now, self.store.rows.clone()));
        }
        let oldest = now.saturating_sub(MAX_COPY_AGE);
        self.store.copies.retain(|(at, _)| *at >= oldest);
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.store.late)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.store.late = late;
        for (_, write) in due {
            self.store.write_base(write);
        }
    }

    /// The operator changes the split or the timeout, at times for a moment.
    fn step_operator(&mut self) {
        let now = self.now;
        if now < self.store.away_until {
            return;
        }
        if let Some((_, split, timeout)) = self.store.rewritten.take_if(|(at, ..)| now >= *at) {
            (self.store.rows.split, self.store.rows.timeout) = (split, timeout);
        }
        if self.store.rewritten.is_some() {
            return;
        }
        if self.has_splits && self.happens(15_000) {
            self.store.rows.split = self.rng.random_range(0..SPLITS.len());
        }
        if self.happens(20_000) {
            self.store.rows.timeout = *TIMEOUTS.choose(&mut self.rng).unwrap();
        }
    }

    fn disrupt(&mut self) {
        let now = self.now;
        let is_due = if self.has_one_version {
            now >= self.restored_at
        } else {
            self.happens(20_000)
        };
        if now >= self.store.away_until && is_due {
            let away = self.rng.random_range(0..3_000);
            self.restored_at = Ms::MAX;
            if self.has_one_version && self.rng.random_bool(0.4) {
                self.restored_at = now + away + self.rng.random_range(0..9_000);
                let pool = self.any_pool();
                self.add_engine(pool, VERSIONS[1]);
            }
            self.store.away_until = now + away;
            self.store.disrupted_at = now + away;
            let copy = self.rng.random_range(0..self.store.copies.len().max(1));
            let copy = self.store.copies.get(copy).cloned();
            if let Some((_, rows)) = copy.filter(|_| self.rng.random_bool(0.8)) {
                let rewritten_at = now + away + self.rng.random_range(0..REWRITE_TIME);
                self.store.restore(rows, rewritten_at);
                for engine in &mut self.engines {
                    engine.lists_at = now + away + self.rng.random_range(0..REWRITE_TIME);
                    engine.unlisted_at = engine.unlisted_at.max(now + away);
                }
                if self.rng.random_bool(0.5) {
                    let instance = self.rng.random_range(0..INSTANCES);
                    self.restart(instance);
                }
            }
        }
        if self.happens(60_000) {
            for instance in 0..INSTANCES {
                self.restart(instance);
            }
        }
        if !self.happens(DISRUPTION_INTERVAL / 3) {
            return;
        }
        let longest = if self.rng.random_bool(0.2) {
            30_000
        } else {
            6_000
        };
        let until = now + self.rng.random_range(200..longest);
        let instance = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..3) {
            0 => self.instances[instance].frozen_until = until,
            1 => self.instances[instance].cut_until = until,
            _ => self.restart(instance),
        }
    }

    /// An instance is killed and starts again; its streams break.
    fn restart(&mut self, instance: usize) {
        let starts = self.instances[instance].starts + 1;
        self.instances[instance] = Instance::start(false, starts, self.now);
        for id in &self.live {
            let stream = &mut self.streams[*id];
            if stream.owner == Some(instance) {
                stream.owner = None;
                if stream.phase != Phase::Running {
                    stream.phase = Phase::Ended;
                }
            }
        }
    }

    fn step_instance(&mut self, id: usize) {
        if self.is_in_touch(id) {
            // Where one version serves, what matters is what an instance hasn't read yet.
            let share = if self.has_one_version { 0.02 } else { 0.05 };
            if self.rng.random_bool(share) {
                self.read_config(id);
            }
            if self.rng.random_bool(share) {
                self.read_list(id);
            }
            if self.rng.random_bool(share * 2.0) {
                self.read_bases(id);
            }
            if self.rng.random_bool(0.5) {
                self.write_records(id);
            }
            if self.rng.random_bool(0.2) {
                self.state_life(id);
            }
            if self.now >= self.instances[id].checks_base_at {
                self.instances[id].checks_base_at = self.now + BASE_CHECK_INTERVAL;
                self.change_bases(id);
            }
        }
        if self.rng.random_bool(0.3) {
            self.send_copies(id);
        }
        if self.rng.random_bool(0.08) {
            self.begin_stream(id);
        }
    }

    /// Learns the era of the store from a response.
    fn read_era(&mut self, id: usize) {
        let now = self.instant();
        let (store, instance) = (&self.store, &mut self.instances[id]);
        let list_age = instance.listed_at.map(|at| self.now - at);
        let list_age = list_age.map(Duration::from_millis);
        let era = instance.known.era();
        if instance.known.set_era(store.era, list_age, now) {
            instance.listed_at = None;
            let running: Vec<_> = instance.known.running(now).collect();
            for (stream, known) in running {
                instance.queue.push(QueuedRecord {
                    stream: stream.parse().unwrap(),
                    number: known.record,
                    origin: Some(known.origin.clone()),
                    life: known.life,
                    due_at: self.now,
                });
            }
        }
        if era.is_some_and(|era| era < store.era) {
            instance.era_since = self.now;
        }
    }

    /// The configuration is confirmed once operators have had time to write it again.
    fn read_config(&mut self, id: usize) {
        self.read_era(id);
        let now = self.instant();
        let (store, instance) = (&self.store, &mut self.instances[id]);
        let (split, timeout) = (store.rows.split, store.rows.timeout);
        instance.config = Some((split, timeout));
        instance
            .known
            .set_routes(std::iter::once(&route(split)), now);
        let life = Duration::from_millis(timeout);
        instance.known.life_mut().want(life);
        if self.fault == Fault::LifeOfKnownTimeouts {
            instance.known.life_mut().set_row(Some(life));
        }
        let is_settled = instance.era_since == 0 || self.now >= instance.era_since + REWRITE_TIME;
        if is_settled {
            instance.confirmed_at = Some(self.now);
        }
    }

    fn read_bases(&mut self, id: usize) {
        self.read_era(id);
        let now = self.instant();
        let (store, instance) = (&self.store, &mut self.instances[id]);
        let is_new_era = instance.base_era.replace(store.era) != Some(store.era);
        let gone: Vec<Name> = (instance.base_rows.keys())
            .filter(|key| !store.rows.bases.contains_key(*key))
            .cloned()
            .collect();
        for key in gone {
            instance.base_rows.remove(&key);
            instance.apply_base(&key, None, now);
        }
        for (key, (row, version)) in &store.rows.bases {
            let known = instance.base_rows.insert(key.clone(), *version);
            let ignores_life = self.fault == Fault::LifeOfKnownTimeouts && **key == *LIFE_KEY;
            if (is_new_era || known != Some(*version)) && !ignores_life {
                instance.apply_base(key, Some(row), now);
            }
        }
        instance.known.record_bases_read(store.era);
    }

    /// Reads the list of servers, and confirms it.
    fn read_list(&mut self, id: usize) {
        self.read_era(id);
        let now = self.instant();
        let (store, instance) = (&self.store, &mut self.instances[id]);
        let is_restored = instance.list_era.replace(store.era);
        if is_restored.is_some_and(|era| era != store.era) {
            // A restored store doesn't tell what was listed and dropped before it is read anew.
            instance.known.record_list_reread(now);
            instance.dropped_seen = store.dropped.len();
        }
        let dropped = &store.dropped[instance.dropped_seen..];
        if dropped.iter().any(|server| !instance.seen.contains(server)) {
            instance.known.record_list_gap(now);
        }
        instance.dropped_seen = store.dropped.len();
        instance.seen.extend(&store.rows.servers);
        instance.list = store.rows.servers.clone();
        let servers: Vec<Server> = (instance.list.iter())
            .map(|n| Server {
                id: n.to_string().into(),
                pool: self.engines[*n].pool.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                domain: "d".into(),
                version: Some(self.engines[*n].version.clone()),
                slots: 8,
                ready: true,
                started_ms: 1,
                cold_remaining: None,
            })
            .collect();
        instance.known.set_servers(servers.iter(), now);
        instance.known.record_list_confirmation(now);
        instance.listed_at = Some(self.now);
        let due = instance.known.take_copies_due(now);
        instance.copies.extend(due);
    }

    fn write_records(&mut self, id: usize) {
        let (store, instance) = (&mut self.store, &mut self.instances[id]);
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut instance.queue)
            .into_iter()
            .partition(|record| record.due_at <= now);
        instance.queue = later;
        for record in due {
            let key = (record.stream, record.number, id);
            let name = stream_name(record.stream);
            if instance.known.is_current_record(&name, record.number) {
                store.put_record(key, record.origin);
                let retention = if self.fault == Fault::RecordsRemovedAtTimeout {
                    instance.config.map_or(0, |(_, timeout)| timeout) + 6_000
                } else {
                    whole_ms(record.life.retention())
                };
                instance.written.push((now + retention, key));
            }
        }
        let (expired, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut instance.written)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        instance.written = kept;
        for (_, key) in expired {
            store.rows.records.remove(&key);
        }
    }

    /// Sends copies of streams to the other instances. A message may be lost.
    fn send_copies(&mut self, id: usize) {
        let new = std::mem::take(&mut self.instances[id].copies);
        let now = self.instant();
        let all: Vec<_> = self.instances[id].known.copies(now).collect();
        if !self.has_links {
            return;
        }
        for other in (0..INSTANCES).filter(|other| *other != id) {
            if self.now < self.instances[other].frozen_until || self.rng.random_bool(0.02) {
                self.instances[id].told.remove(&other);
                continue;
            }
            let starts = self.instances[other].starts;
            let told = self.instances[id].told.insert(other, starts);
            let copies = if told == Some(starts) { &new } else { &all };
            for copy in copies {
                self.instances[other].known.hold(copy.clone(), now);
            }
        }
    }

    /// Raises the stated life if a stream needs it.
    fn state_life(&mut self, id: usize) {
        let instance = &self.instances[id];
        let is_read = instance.known.bases_read_in() == instance.known.era();
        let change = instance.known.life().change().filter(|_| is_read);
        if let Some(life) = change {
            self.write_base(id, LIFE_KEY.into(), BaseRow::Life(whole_ms(life)));
        }
    }

    fn change_bases(&mut self, id: usize) {
        let now = self.instant();
        for pool in POOLS {
            if let Some(base) = self.instances[id].known.base_change(pool, now) {
                self.write_base(id, pool.into(), BaseRow::Version(base));
            }
        }
        let key = split_key(&route(0));
        let age = self.instances[id].confirmed_at.map(|at| self.now - at);
        if age.is_none_or(|age| age > RECORD_ALL_AGE) {
            return;
        }
        if let Some(base) = self.instances[id].known.split_change(&key, now) {
            self.write_base(id, key, BaseRow::Split(base));
        }
    }

    /// Writes a row, at times late.
    fn write_base(&mut self, id: usize, key: Name, row: BaseRow) {
        let rows = &self.instances[id].base_rows;
        let version = |key: &str| rows.get(key).copied().unwrap_or(0);
        let write = BaseWrite {
            expected: version(&key),
            expected_life: version(LIFE_KEY),
            key,
            row,
        };
        if self.rng.random_bool(0.3) {
            let at = self.now + self.rng.random_range(0..6_000);
            self.store.late.push((at, write));
        } else {
            self.store.write_base(write);
        }
    }

    fn begin_stream(&mut self, id: usize) {
        let age = self.instances[id].confirmed_at.map(|at| self.now - at);
        let Some(age) = age.filter(|age| *age < REFUSE_AGE) else {
            return;
        };
        let Some((split, timeout)) = self.instances[id].config else {
            return;
        };
        let stream = self.streams.len();
        let name = stream_name(stream);
        let pool = route(split).pool_of(&name).cloned().unwrap();
        let usable = self.instances[id].list.iter().copied();
        let usable: Vec<usize> = usable
            .filter(|n| self.serves(*n) && self.engines[*n].pool == pool)
            .collect();
        if usable.is_empty() {
            return;
        }
        let waits = match self.rng.random_range(0..100) {
            0..=69 => Some(self.rng.random_range(1_000..8_000)),
            70..=96 => Some(self.rng.random_range(8_000..25_000)),
            97 => Some(200_000),
            _ => None,
        };
        let life = life_of(waits);
        let rejections = u32::from(self.rng.random_bool(0.15));
        let mut origin = None;
        for number in 1..=rejections + 1 {
            let server = usable.choose(&mut self.rng).copied().unwrap();
            let tried = StreamOrigin {
                pool: pool.clone(),
                version: Some(self.engines[server].version.clone()),
            };
            self.prepare_record(id, stream, number, &tried, life, age < RECORD_ALL_AGE);
            origin = Some(tried);
        }
        self.live.push(stream);
        let waits_for = waits.unwrap_or(20_000).min(25_000);
        self.streams.push(Stream {
            origin: origin.unwrap(),
            owner: Some(id),
            waits,
            waits_anew: self.rng.random_bool(0.2),
            take_ups: 0,
            leaves_at: self.now + waits_for,
            answered_until: self.now + timeout.min(waits_for),
            ends_at: self.now + self.rng.random_range(500..25_000),
            record: rejections + 1,
            phase: Phase::Recording,
        });
    }

    /// Remembers where a stream may begin, and queues its record if it needs one.
    fn prepare_record(
        &mut self,
        id: usize,
        stream: usize,
        number: u32,
        origin: &StreamOrigin,
        life: StreamLife,
        is_confirmed: bool,
    ) {
        let now = self.instant();
        let (key, name) = (split_key(&route(0)), stream_name(stream));
        let instance = &mut self.instances[id];
        let known = &mut instance.known;
        if let Some(bounded) = life.bounded() {
            known.life_mut().want(bounded);
        }
        let needed = known.needs_record(origin, life, is_confirmed)
            || known.needs_split_record(&key, &origin.pool, &name);
        known.remember(&name, origin.clone(), number, life, now);
        let delay = known.record_delay(&origin.pool, origin.version.as_ref(), now);
        let due_at = self.now + whole_ms(delay);
        let mut queue = |origin, due_at| {
            instance.queue.push(QueuedRecord {
                stream,
                number,
                origin,
                life,
                due_at,
            });
        };
        if number > 1 && due_at > self.now {
            queue(None, self.now);
        }
        if needed || number > 1 {
            queue(Some(origin.clone()), due_at);
        }
    }

    fn step_streams(&mut self) {
        for id in self.live.clone() {
            let answer_ended = self.now >= self.streams[id].answered_until;
            if answer_ended && self.streams[id].phase == Phase::Running {
                // The caller may go on with it.
                self.streams[id].owner = None;
            }
            let stream = &self.streams[id];
            match stream.phase {
                Phase::Ended => {}
                _ if self.now >= stream.leaves_at => self.end_stream(id),
                Phase::Recording if self.now >= stream.answered_until => self.end_stream(id),
                Phase::Recording => self.begin_if_recorded(id),
                Phase::Running if stream.owner.is_some() && self.now >= stream.ends_at => {
                    self.end_stream(id);
                }
                Phase::Running if self.rng.random_bool(self.take_up_share(id)) => self.take_up(id),
                Phase::Running => {}
            }
        }
        let streams = &self.streams;
        self.live.retain(|id| streams[*id].phase != Phase::Ended);
    }

    /// Share of the steps in which a stream is taken up: often once its answer has ended.
    fn take_up_share(&self, id: usize) -> f64 {
        if self.streams[id].owner.is_none() {
            0.01
        } else {
            0.002
        }
    }

    fn end_stream(&mut self, id: usize) {
        let stream = &mut self.streams[id];
        stream.phase = Phase::Ended;
        if let Some(owner) = stream.owner {
            self.instances[owner].known.record_end(&stream_name(id));
        }
    }

    fn begin_if_recorded(&mut self, id: usize) {
        let now = self.instant();
        let stream = &self.streams[id];
        let owner = stream.owner.unwrap();
        let instance = &mut self.instances[owner];
        if self.now < instance.frozen_until {
            return;
        }
        let is_queued = instance.queue.iter().any(|record| record.stream == id);
        let key = (id, stream.record, owner);
        let is_written = !is_queued && self.store.rows.records.contains_key(&key);
        let (route, name) = (split_key(&route(0)), stream_name(id));
        let pool = &stream.origin.pool;
        let must_wait = instance.known.must_await_record(pool, &name, now)
            || instance.known.must_await_split_record(&route, pool, &name);
        let is_covered = self.fault == Fault::LifeOfKnownTimeouts
            || instance.known.life().covers(life_of(stream.waits));
        if (is_written || !must_wait) && is_covered {
            let copy = instance.known.record_first_event(&route, &name, now);
            instance.copies.extend(copy);
            self.streams[id].phase = Phase::Running;
        }
    }

    /// A stream's caller takes it up at any instance.
    fn take_up(&mut self, stream: usize) {
        let id = self.rng.random_range(0..INSTANCES);
        if self.now < self.instances[id].frozen_until {
            return;
        }
        let counts = self.is_in_touch(id)
            && self.now >= self.store.disrupted_at + STABLE
            && self.now >= self.instances[id].cut_until + STABLE;
        let taken = &self.streams[stream];
        let left = taken.leaves_at - self.now;
        let waits = match taken.waits {
            Some(waits) if taken.waits_anew => Some(waits),
            Some(_) => Some(left),
            None => None,
        };
        let life = life_of(waits);
        let known = self.instances[id].known.remembered(&stream_name(stream));
        let lasts = known.is_some_and(|known| known.lasts_for(life, self.instant()));
        let found = self.find(id, stream, life);
        let began_at = self.streams[stream].origin.clone();
        if let Some((found, _)) = found.as_ref().filter(|(found, _)| *found != began_at) {
            self.joined = Some(format!(
                "seed {}: at {} ms instance {id} goes on with stream {stream} at {found:?}, it began at {began_at:?}",
                self.seed, self.now,
            ));
            return;
        }
        if counts {
            self.take_ups.all += 1;
            self.take_ups.gone_on += u32::from(found.is_some());
            if self.streams[stream].owner.is_none() && self.store.era > 0 {
                self.take_ups.lost += 1;
                self.take_ups.lost_gone_on += u32::from(found.is_some());
            }
        }
        if let Some((origin, number)) = found {
            if !lasts {
                self.extend(id, stream, number, origin, life);
            }
            self.go_on(id, stream, waits, left);
        }
    }

    /// The stream goes on at an instance, unless the configuration forbids it there.
    fn go_on(&mut self, id: usize, stream: usize, waits: Option<Ms>, left: Ms) {
        let Some((split, timeout)) = self.instances[id].config else {
            return;
        };
        let taken = &mut self.streams[stream];
        let is_covered = self.fault == Fault::LifeOfKnownTimeouts
            || self.instances[id].known.life().covers(life_of(waits));
        if !route(split).leads_to(&taken.origin.pool) || !is_covered {
            return;
        }
        taken.take_ups += 1;
        taken.owner = Some(id);
        if taken.waits_anew && taken.take_ups <= 4 {
            taken.leaves_at = self.now + waits.unwrap_or(20_000).min(25_000);
            taken.ends_at = taken.ends_at.max(taken.leaves_at);
        }
        taken.answered_until = self.now + timeout.min(left);
    }

    /// Records that a stream may be taken up again for longer.
    fn extend(
        &mut self,
        id: usize,
        stream: usize,
        number: u32,
        origin: StreamOrigin,
        life: StreamLife,
    ) {
        let now = self.instant();
        let (route, name) = (split_key(&route(0)), stream_name(stream));
        let instance = &mut self.instances[id];
        if let Some(bounded) = life.bounded() {
            instance.known.life_mut().want(bounded);
        }
        instance
            .known
            .remember(&name, origin.clone(), number + 1, life, now);
        instance.queue.push(QueuedRecord {
            stream,
            number: number + 1,
            origin: Some(origin),
            life,
            due_at: self.now,
        });
        let copy = instance.known.record_first_event(&route, &name, now);
        instance.copies.extend(copy);
    }

    /// Where an instance would go on with a stream, and the number of the stream's record.
    fn find(&mut self, id: usize, stream: usize, life: StreamLife) -> Option<(StreamOrigin, u32)> {
        let name = stream_name(stream);
        let known = &self.instances[id].known;
        if let Some(remembered) = known.remembered(&name) {
            return Some((remembered.origin.clone(), remembered.record));
        }
        if let Some(held) = known.find_copy(&name) {
            return Some((held.origin, 0));
        }
        if self.is_in_touch(id) {
            let mut records = self
                .store
                .rows
                .records
                .range((stream, 0, 0)..=(stream, u32::MAX, 0));
            let record = records.next_back();
            let record = record.map(|((_, number, _), origin)| (origin.clone(), *number));
            let era = self.store.era;
            let found = if let Some((origin, number)) = record {
                origin.map(|origin| (origin, number))
            } else {
                self.find_unrecorded(id, &name, life, era)
                    .map(|origin| (origin, 0))
            };
            if found.is_some() {
                return found.map(|(origin, number)| (self.misled(id, &origin), number));
            }
        }
        // An instance that doesn't respond in time is not waited for.
        let others = (0..INSTANCES).filter(|other| *other != id);
        let others = others.filter(|other| self.now >= self.instances[*other].frozen_until);
        let mut copies = others.filter_map(|other| self.instances[other].known.find_copy(&name));
        let copy = copies.next().filter(|_| self.has_links)?;
        Some((copy.origin, 0))
    }

    /// Where a stream began that has no record in this era of the store.
    fn find_unrecorded(
        &mut self,
        id: usize,
        name: &Name,
        life: StreamLife,
        era: u64,
    ) -> Option<StreamOrigin> {
        let now = self.instant();
        life.bounded()?;
        self.read_bases(id);
        let pool = self.unrecorded_pool(id, name, now)?;
        let origin = |pool: &Name, version| StreamOrigin {
            pool: pool.clone(),
            version: Some(version),
        };
        let known = &self.instances[id].known;
        if let Some(version) = resolve(None, known.base_version(&pool), era) {
            return Some(origin(&pool, version));
        }
        self.read_list(id);
        let known = &self.instances[id].known;
        let sole = known.sole_version(&pool, now, now);
        let version = sole.or_else(|| {
            let base = known.base_version(&pool)?;
            let began_there = known.began_at_base(&pool, base, now, now);
            began_there.then(|| base.version.clone())
        })?;
        Some(origin(&pool, version))
    }

    fn unrecorded_pool(&mut self, id: usize, name: &Name, now: Instant) -> Option<Name> {
        if self.fault == Fault::PoolOfRequest {
            let request = self.rng.random_range(1_000_000..2_000_000);
            let (split, _) = self.instances[id].config?;
            return route(split).pool_of(&stream_name(request)).cloned();
        }
        let instance = &self.instances[id];
        let age = instance.confirmed_at.map(|at| self.now - at);
        let is_confirmed = age.is_some_and(|age| age <= RECORD_ALL_AGE);
        let known: &StreamVersions = &instance.known;
        let pool = known.unrecorded_pool(&split_key(&route(0)), Some(name), is_confirmed, now);
        pool.cloned()
    }

    /// What an instance makes of an origin whose pool it doesn't know.
    fn misled(&mut self, id: usize, origin: &StreamOrigin) -> StreamOrigin {
        let split = self.instances[id].config.map(|(split, _)| split);
        let Some(split) = split.filter(|_| self.fault == Fault::MemoryWithoutPools) else {
            return origin.clone();
        };
        let request = self.rng.random_range(1_000_000..2_000_000);
        StreamOrigin {
            pool: route(split)
                .pool_of(&stream_name(request))
                .cloned()
                .unwrap(),
            version: origin.version.clone(),
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().unwrap())
}

/// Guards against streams that go on at another origin than the one that began them, and against
/// streams that are refused although their origin could be known.
#[test]
fn find_never_names_another_version() {
    let mut take_ups = TakeUps::default();
    let from = env_number("SEARCH_FROM").unwrap_or_default();
    let seeds = env_number("SEARCH_SEEDS").unwrap_or(SEEDS);
    for seed in from..from + seeds {
        let (of_seed, joined) = Simulation::new(seed, Fault::None).run();
        assert_eq!(joined, None);
        take_ups.all += of_seed.all;
        take_ups.gone_on += of_seed.gone_on;
        take_ups.lost += of_seed.lost;
        take_ups.lost_gone_on += of_seed.lost_gone_on;
    }
    let TakeUps {
        all,
        gone_on,
        lost,
        lost_gone_on,
    } = take_ups;
    println!("{gone_on} of {all} streams that were taken up went on");
    println!("{lost_gone_on} of {lost} after a restore, without their instance");
    assert!(gone_on * 2 >= all, "{gone_on} of {all} streams went on");
    assert!(
        lost_gone_on * 2 >= lost,
        "{lost_gone_on} of {lost} streams went on"
    );
}

/// The search is worth something only if it finds the faults that streams have had.
#[test]
fn search_finds_faults_of_earlier_designs() {
    for fault in [
        Fault::LifeOfKnownTimeouts,
        Fault::MemoryWithoutPools,
        Fault::RecordsRemovedAtTimeout,
        Fault::PoolOfRequest,
    ] {
        let found = (0..SEEDS).find(|seed| Simulation::new(*seed, fault).run().1.is_some());
        println!("{fault:?}: seed {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
    let refused_share = |fault| {
        let runs = (0..SEEDS).map(|seed| Simulation::new(seed, fault).run().0);
        let (lost, gone_on) = runs.fold((0, 0), |(lost, gone_on), of_seed| {
            (lost + of_seed.lost, gone_on + of_seed.lost_gone_on)
        });
        f64::from(lost - gone_on) / f64::from(lost)
    };
    let (with, without) = (refused_share(Fault::None), refused_share(Fault::NoCopies));
    println!("refused after a restore: {with:.3} with copies, {without:.3} without");
    assert!(with < without);
}
