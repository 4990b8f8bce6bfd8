//! Random search for streams that go on at another software version: several instances, a store that
//! is restored from copies and performs calls late, releases, restarts, cuts and freezes. An oracle
//! knows where each stream began.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::stream_versions::{
    BaseVersion, StreamLife, StreamOrigin, StreamVersions, resolve,
};

const POOL: &str = "engine";
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const INSTANCES: usize = 4;
/// Number of seeds, unless the environment variable `SEARCH_SEEDS` sets another one.
const SEEDS: u64 = 60;

/// Times of the simulation, in milliseconds.
type Ms = u64;
const STEP: Ms = 20;
const END: Ms = 150_000;
/// Longest time from a request to the last event of its stream.
const TIMEOUT: Ms = 8_000;
/// Age of the newest confirmation from which on instances record streams at any version, and from which
/// on they begin none.
const RECORD_ALL_AGE: Ms = 4_000;
const REFUSE_AGE: Ms = 4_250;
const MAX_COPY_AGE: Ms = 5_000;
const COPY_INTERVAL: Ms = 500;
/// Average time between two disruptions of one kind.
const DISRUPTION_INTERVAL: Ms = 6_000;
const ENTRY_LIFETIME: Ms = 3_600;
const BASE_CHECK_INTERVAL: Ms = 2_000;
/// Time without a disruption of the store after which take-ups count.
const STABLE: Ms = 3_000;

/// Number of a stream's request, and of its record.
type RecordKey = (usize, u32);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    /// With the version of its row.
    base: Option<(BaseVersion, u64)>,
    /// Versions that records name; `None` for those that only take the place of earlier ones.
    records: BTreeMap<RecordKey, Option<Name>>,
    /// Numbers of the listed servers.
    servers: BTreeSet<usize>,
}

/// A change of the base version on the condition that its row still has a version.
struct BaseWrite {
    expected: u64,
    base: BaseVersion,
}

#[derive(Default)]
struct Store {
    rows: Rows,
    era: u64,
    away_until: Ms,
    disrupted_at: Ms,
    copies: VecDeque<(Ms, Rows)>,
    late: Vec<(Ms, BaseWrite)>,
    /// Servers that were dropped from the list, in order.
    dropped: Vec<usize>,
}

impl Store {
    fn write_base(&mut self, write: BaseWrite) {
        let row = self.rows.base.as_ref().map_or(0, |(_, row)| *row);
        if row == write.expected {
            self.rows.version += 1;
            self.rows.base = Some((write.base, self.rows.version));
        }
    }

    fn drop_server(&mut self, server: usize) {
        if self.rows.servers.remove(&server) {
            self.rows.version += 1;
            self.dropped.push(server);
        }
    }
}

struct Engine {
    version: Name,
    /// When it ends; its entry is dropped before, or lapses after.
    ends_at: Ms,
    unlisted_at: Ms,
    /// When it writes its entry next.
    lists_at: Ms,
}

struct Instance {
    known: StreamVersions,
    frozen_until: Ms,
    cut_until: Ms,
    confirmed_at: Option<Ms>,
    /// When the list was last read; the instance doesn't tell the time while it is frozen.
    listed_at: Option<Ms>,
    base_row: u64,
    /// Era in which the base version was read last.
    base_era: Option<u64>,
    list: BTreeSet<usize>,
    seen: BTreeSet<usize>,
    dropped_seen: usize,
    /// Records that are to be written, and when at the earliest.
    queue: Vec<(usize, u32, Option<Name>, Ms)>,
    checks_base_at: Ms,
}

impl Instance {
    fn start(is_first_start: bool, now: Ms) -> Self {
        let mut known = StreamVersions::new(is_first_start);
        known
            .life_mut()
            .set_row(Some(Duration::from_millis(TIMEOUT)));
        Self {
            known,
            frozen_until: 0,
            cut_until: 0,
            confirmed_at: None,
            listed_at: None,
            base_row: 0,
            base_era: None,
            list: BTreeSet::new(),
            seen: BTreeSet::new(),
            dropped_seen: 0,
            queue: Vec::new(),
            checks_base_at: now + BASE_CHECK_INTERVAL,
        }
    }
}

#[derive(PartialEq)]
enum Phase {
    /// May wait for its record.
    Recording,
    Running,
    Ended,
}

struct Stream {
    version: Name,
    owner: Option<usize>,
    sent_at: Ms,
    ends_at: Ms,
    record: u32,
    phase: Phase,
}

/// Streams that were taken up at instances in touch.
#[derive(Default)]
struct TakeUps {
    all: u32,
    gone_on: u32,
}

struct Simulation {
    rng: StdRng,
    /// Whether one version serves, but for servers of others that come and go around restores of the store.
    has_one_version: bool,
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
    seed: u64,
}

fn origin(version: &Name) -> StreamOrigin {
    StreamOrigin {
        pool: POOL.into(),
        version: Some(version.clone()),
    }
}

fn life() -> StreamLife {
    StreamLife::new(Some(Duration::from_millis(TIMEOUT)))
}

fn stream_name(stream: usize) -> Name {
    stream.to_string().into()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            has_one_version: seed % 2 == 1,
            restored_at: Ms::MAX,
            origin: Instant::now(),
            now: 0,
            store: Store::default(),
            engines: Vec::new(),
            instances: Vec::new(),
            streams: Vec::new(),
            live: Vec::new(),
            take_ups: TakeUps::default(),
            seed,
        };
        for _ in 0..INSTANCES {
            simulation.instances.push(Instance::start(true, 0));
        }
        for _ in 0..3 {
            simulation.add_engine(VERSIONS[0]);
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

    fn add_engine(&mut self, version: &str) {
        self.engines.push(Engine {
            version: version.into(),
            ends_at: Ms::MAX,
            unlisted_at: Ms::MAX,
            lists_at: self.now,
        });
    }

    fn is_in_touch(&self, instance: usize) -> bool {
        let instance = &self.instances[instance];
        let free_at = instance.frozen_until.max(instance.cut_until);
        self.now >= free_at.max(self.store.away_until)
    }

    fn serves(&self, engine: usize) -> bool {
        self.engines[engine].ends_at > self.now
    }

    fn run(mut self) -> TakeUps {
        while self.now < END {
            self.step_engines();
            self.step_store();
            self.disrupt();
            for instance in 0..INSTANCES {
                if self.now >= self.instances[instance].frozen_until {
                    self.step_instance(instance);
                }
            }
            self.step_streams();
            self.now += STEP;
        }
        self.take_ups
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
                self.store.rows.version += 1;
                self.store.rows.servers.insert(id);
            }
        }
    }

    /// Servers of another version start some time before a restore, and crash around it.
    fn step_short_engines(&mut self) {
        if self.restored_at == Ms::MAX && self.happens(12_000) {
            self.restored_at = self.now + self.rng.random_range(0..9_000);
            if self.rng.random_bool(0.7) {
                self.add_engine(VERSIONS[1]);
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
        if self.happens(5_000) {
            let version = *VERSIONS.choose(&mut self.rng).unwrap();
            for _ in 0..self.rng.random_range(1..3) {
                self.add_engine(version);
            }
        }
        if self.happens(7_000) {
            // All servers of a version leave or crash, or one does.
            let version = *VERSIONS.choose(&mut self.rng).unwrap();
            let only_one = self.rng.random_bool(0.4);
            let (crashes, lapse) = (
                self.rng.random_bool(0.5),
                self.rng.random_range(0..=ENTRY_LIFETIME),
            );
            let now = self.now;
            let serving = self.engines.iter_mut();
            let leaving = serving.filter(|e| *e.version == *version && e.ends_at == Ms::MAX);
            for engine in leaving.take(if only_one { 1 } else { usize::MAX }) {
                engine.ends_at = if crashes { now } else { now + 4_000 };
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
        let (due, late) = std::mem::take(&mut self.store.late)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.store.late = late;
        let due: Vec<(Ms, BaseWrite)> = due;
        for (_, write) in due {
            self.store.write_base(write);
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
                self.add_engine(VERSIONS[1]);
            }
            self.store.away_until = now + away;
            self.store.disrupted_at = now + away;
            let copy = self.rng.random_range(0..self.store.copies.len().max(1));
            let copy = self.store.copies.get(copy).cloned();
            if let Some((_, rows)) = copy.filter(|_| self.rng.random_bool(0.8)) {
                self.store.era += 1;
                self.store.rows = rows;
                self.store.copies.clear();
                for engine in &mut self.engines {
                    engine.lists_at = now + away + self.rng.random_range(0..2_000);
                    engine.unlisted_at = engine.unlisted_at.max(now + away);
                }
                if self.has_one_version && self.rng.random_bool(0.5) {
                    let instance = self.rng.random_range(0..INSTANCES);
                    self.restart(instance);
                }
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
        self.instances[instance] = Instance::start(false, self.now);
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
                self.sync(id);
            }
            if self.rng.random_bool(0.5) {
                self.write_records(id);
            }
            if self.now >= self.instances[id].checks_base_at {
                self.instances[id].checks_base_at = self.now + BASE_CHECK_INTERVAL;
                self.change_base(id);
            }
        }
        if self.rng.random_bool(0.08) {
            self.begin_stream(id);
        }
    }

    /// Brings what an instance knows of the store up to date.
    fn sync(&mut self, id: usize) {
        let now = self.instant();
        let (store, instance) = (&self.store, &mut self.instances[id]);
        let list_age = instance.listed_at.map(|at| self.now - at);
        let list_age = list_age.map(Duration::from_millis);
        if instance.known.set_era(store.era, list_age, now) {
            for (stream, known) in instance.known.running(now) {
                let version = known.origin.version.clone();
                let stream = stream.parse().unwrap();
                instance
                    .queue
                    .push((stream, known.record, version, self.now));
            }
            // A restored store doesn't tell what was listed and dropped before it is read anew.
            instance.known.record_list_reread(now);
            instance.dropped_seen = store.dropped.len();
        }
        let is_new_era = instance.base_era.replace(store.era) != Some(store.era);
        let row = store.rows.base.as_ref().map_or(0, |(_, row)| *row);
        if is_new_era || row != instance.base_row {
            let base = store.rows.base.as_ref().map(|(base, _)| base.clone());
            if base.is_some() || instance.base_row != 0 {
                instance.known.set_base(&POOL.into(), base, now);
            }
            instance.base_row = row;
        }
        instance.known.record_bases_read(store.era);
        let dropped = &store.dropped[instance.dropped_seen..];
        if dropped.iter().any(|server| !instance.seen.contains(server)) {
            instance.known.record_list_gap(now);
        }
        instance.dropped_seen = store.dropped.len();
        instance.seen.extend(&store.rows.servers);
        instance.list = store.rows.servers.clone();
        let servers: Vec<Server> = instance
            .list
            .iter()
            .map(|n| Server {
                id: n.to_string().into(),
                pool: POOL.into(),
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
        instance.confirmed_at = Some(self.now);
        instance.listed_at = Some(self.now);
    }

    fn write_records(&mut self, id: usize) {
        let (store, instance) = (&mut self.store, &mut self.instances[id]);
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut instance.queue)
            .into_iter()
            .partition(|(.., due_at)| *due_at <= now);
        instance.queue = later;
        for (stream, record, version, _) in due {
            let name = stream_name(stream);
            if instance.known.is_current_record(&name, record) {
                store.rows.version += 1;
                store.rows.records.insert((stream, record), version);
            }
        }
    }

    fn change_base(&mut self, id: usize) {
        let instance = &self.instances[id];
        let change = instance.known.base_change(POOL, self.instant());
        let Some(base) = change else { return };
        let expected = instance.base_row;
        let write = BaseWrite { expected, base };
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
        let usable: Vec<usize> = self.instances[id].list.iter().copied().collect();
        let usable: Vec<usize> = usable.into_iter().filter(|n| self.serves(*n)).collect();
        let stream = self.streams.len();
        let rejections = u32::from(self.rng.random_bool(0.15));
        let Some(server) = usable.choose(&mut self.rng).copied() else {
            return;
        };
        let mut version = self.engines[server].version.clone();
        for record in 1..=rejections + 1 {
            let server = usable.choose(&mut self.rng).copied().unwrap();
            version = self.engines[server].version.clone();
            let now = self.instant();
            let instance = &mut self.instances[id];
            let is_confirmed = age < RECORD_ALL_AGE;
            let needed = instance
                .known
                .needs_record(&origin(&version), life(), is_confirmed);
            let name = stream_name(stream);
            instance
                .known
                .remember(&name, origin(&version), record, life(), now);
            let delay = instance.known.record_delay(POOL, Some(&version), now);
            let due_at = self.now + u64::try_from(delay.as_millis()).unwrap();
            if record > 1 && due_at > self.now {
                instance.queue.push((stream, record, None, self.now));
            }
            if needed || record > 1 {
                let version = Some(version.clone());
                instance.queue.push((stream, record, version, due_at));
            }
        }
        self.live.push(stream);
        self.streams.push(Stream {
            version,
            owner: Some(id),
            sent_at: self.now,
            ends_at: self.now + self.rng.random_range(500..TIMEOUT),
            record: rejections + 1,
            phase: Phase::Recording,
        });
    }

    fn step_streams(&mut self) {
        for id in self.live.clone() {
            let stream = &self.streams[id];
            match stream.phase {
                Phase::Ended => {}
                _ if self.now >= stream.sent_at + TIMEOUT => self.end_stream(id),
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

    /// Share of the steps in which a stream is taken up: often once its instance is gone.
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
        let instance = &self.instances[stream.owner.unwrap()];
        if self.now < instance.frozen_until {
            return;
        }
        let is_queued = instance.queue.iter().any(|(queued, ..)| *queued == id);
        let key = (id, stream.record);
        let is_written = !is_queued && self.store.rows.records.contains_key(&key);
        let must_wait = instance
            .known
            .must_await_record(POOL, &stream_name(id), now);
        if is_written || !must_wait {
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
        let found = self.find(id, stream);
        let began_at = &self.streams[stream].version;
        assert!(
            found.as_ref().is_none_or(|found| found == began_at),
            "seed {}: at {} ms instance {id} goes on with stream {stream} at {found:?}, it began at {began_at}",
            self.seed,
            self.now,
        );
        if counts {
            self.take_ups.all += 1;
            self.take_ups.gone_on += u32::from(found.is_some());
        }
    }

    /// Version at which an instance would go on with a stream.
    fn find(&mut self, id: usize, stream: usize) -> Option<Name> {
        let now = self.instant();
        let name = stream_name(stream);
        if let Some(remembered) = self.instances[id].known.remembered(&name) {
            return remembered.origin.version.clone();
        }
        let is_in_touch = self.is_in_touch(id);
        if is_in_touch && self.instances[id].known.is_sole_version_likely(POOL, now) {
            self.sync(id);
        }
        let sole = self.instances[id].known.sole_version(POOL, now, now);
        let (version, record) = if sole.is_some() {
            (sole, 0)
        } else if is_in_touch {
            let rows = &self.store.rows;
            let mut records = rows.records.range((stream, 0)..=(stream, u32::MAX));
            let record = records.next_back();
            let number = record.map_or(0, |((_, number), _)| *number);
            let base = rows.base.as_ref().map(|(base, _)| base);
            let record = record.map(|(_, version)| version.clone());
            let version = resolve(record.clone(), base, self.store.era);
            let base = base
                .filter(|_| version.is_none() && record.is_none())
                .cloned();
            let unrecorded = base.filter(|base| {
                self.sync(id);
                let known = &self.instances[id].known;
                known.began_at_base(POOL, base, now, now)
            });
            (version.or(unrecorded.map(|base| base.version)), number)
        } else {
            (None, 0)
        };
        if let Some(version) = &version {
            let known = &mut self.instances[id].known;
            known.remember(&name, origin(version), record, life(), now);
        }
        version
    }
}

/// Guards against streams that go on at another version than the one that began them, and against
/// streams that are refused although their version could be known.
#[test]
fn find_never_names_another_version() {
    let mut take_ups = TakeUps::default();
    let seeds = std::env::var("SEARCH_SEEDS").map(|text| text.parse().unwrap());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let of_seed = Simulation::new(seed).run();
        take_ups.all += of_seed.all;
        take_ups.gone_on += of_seed.gone_on;
    }
    let TakeUps { all, gone_on } = take_ups;
    println!("{gone_on} of {all} streams that were taken up went on");
    assert!(gone_on * 2 >= all, "{gone_on} of {all} streams went on");
}
