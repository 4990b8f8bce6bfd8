//! Records in the store that tell at which software version streams began; see
//! [`sardineshore_core::flow::stream_versions`].
//!
//! Records are written in batches, one call at a time, and removed once their stream can't be taken up
//! any more. They are read when a caller takes up a stream that this instance doesn't remember.

mod list_check;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use list_check::{ListCheck, ListCheckEnd};
use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::replica::TableChanges;
use sardineshore_core::flow::stream_versions::{
    BaseVersion, KnownStream, RecordSweep, StreamRecord, StreamVersions, resolve,
};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Table;
use crate::peers::Peers;
use crate::state::{SharedState, boot_time, whole_ms};
use crate::store::{Store, StoreError};

/// Name under which one instance is chosen to remove records that were left behind.
const SWEEP: &str = "stream records";
/// Number of partitions over which records are spread.
const PARTITIONS: u64 = 16;
/// Maximum number of records that one call writes, and of those that it removes.
const MAX_BATCH: usize = 48;
/// Cost of a record, in time that another server may take longer.
const RECORD_COST: Duration = Duration::from_millis(10);
/// The same while records can't be written: streams begin elsewhere only if there is no choice.
const NO_RECORD_COST: Duration = Duration::from_secs(60);
/// Back-off after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often base versions are compared with the listed servers, and expired records removed.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Age of the store's newest confirmation from which on streams get records at any version: another
/// instance may have withdrawn the base version. Shorter than [`LIFETIME_MARGIN`].
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);
/// How often records are looked for that instances have left behind.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// Time that a stream's life may exceed the longest timeout of a route, for the delays until all
/// instances know of a change.
const LIFETIME_MARGIN: Duration = Duration::from_secs(6);
/// How often a stream whose record is not written checks whether it has to wait for it any longer.
const WAIT_STEP: Duration = Duration::from_millis(200);

/// A record that is being written.
#[derive(Debug)]
pub struct PendingRecord {
    pool: Name,
    stream: Name,
    written: oneshot::Receiver<()>,
}

/// A record in the store.
#[derive(Debug, Clone)]
struct RecordKey {
    part: String,
    key: String,
}

#[derive(Debug)]
struct QueuedRecord {
    stream: Name,
    number: u32,
    key: RecordKey,
    value: Vec<u8>,
    queued_at: Instant,
    /// It is not written before this time.
    due_at: Instant,
    /// Told when it is written, if someone waits for it.
    written: Option<oneshot::Sender<()>>,
}

/// Writes and reads at which versions streams began.
#[derive(Debug)]
pub struct VersionRecords {
    state: Rc<SharedState>,
    peers: Rc<Peers>,
    store: Rc<Store>,
    log: Logger,
    known: RefCell<StreamVersions>,
    /// Versions of the rows that hold base versions.
    base_rows: RefCell<HashMap<Name, u64>>,
    lifetime: Cell<Duration>,
    queue: RefCell<VecDeque<QueuedRecord>>,
    to_write: Notify,
    list_check: ListCheck,
    /// When the list of servers was last known to hold all changes, by the clock that also runs while the
    /// machine is suspended. `None` if that is not known in the present era of the store.
    list_complete_at: Cell<Option<Duration>>,
    /// Records of this instance in the store, oldest first, and when each was queued.
    written: RefCell<VecDeque<(Instant, RecordKey)>>,
    /// Whether the latest write failed.
    is_failing: Cell<bool>,
}

impl VersionRecords {
    /// Creates an object that knows no versions. `is_first_start` tells whether the whole system starts for
    /// the first time.
    #[must_use]
    pub fn new(
        is_first_start: bool,
        state: Rc<SharedState>,
        peers: Rc<Peers>,
        store: Rc<Store>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            state,
            peers,
            store,
            log,
            known: RefCell::new(StreamVersions::new(is_first_start)),
            base_rows: RefCell::default(),
            lifetime: Cell::default(),
            queue: RefCell::default(),
            to_write: Notify::new(),
            list_check: ListCheck::default(),
            list_complete_at: Cell::new(None),
            written: RefCell::default(),
            is_failing: Cell::new(false),
        })
    }

    /// Records a change of the listed servers or of the configuration.
    pub fn update(&self) {
        let mut known = self.known.borrow_mut();
        let timeout = self.state.config().map(|config| config.longest_stream());
        if let Some(timeout) = timeout {
            // Streams that began under longer timeouts may still run.
            let lifetime = self.lifetime.get().max(timeout + LIFETIME_MARGIN);
            self.lifetime.set(lifetime);
            known.set_lifetime(lifetime);
        }
        known.set_servers(self.state.selector.borrow().servers(), Instant::now());
    }

    /// Records the era of the store in a response. If the store was restored from a copy, the records of
    /// running streams are written again.
    pub fn record_era(&self, era: u64) {
        let mut known = self.known.borrow_mut();
        let list_age = self.list_complete_at.get();
        let list_age = list_age.map(|at| boot_time().saturating_sub(at));
        if !known.set_era(era, list_age, Instant::now()) {
            return;
        }
        self.list_complete_at.set(None);
        let running: Vec<(Name, KnownStream)> = known
            .running(Instant::now())
            .map(|(id, stream)| (id.clone(), stream.clone()))
            .collect();
        drop(known);
        info!(self.log, "recording versions of running streams again"; "era" => era,
            "streams" => running.len(), "list_age_ms" => list_age.map(whole_ms));
        for (id, stream) in running {
            let _not_awaited =
                self.queue_record(&id, stream.record, stream.version, Duration::ZERO);
        }
    }

    /// Whether the whole system starts for the first time, as far as this instance knows.
    #[must_use]
    pub fn is_first_start(&self) -> bool {
        self.known.borrow().is_first_start()
    }

    /// Whether the store may have been restored from a copy lately, as far as its rows show.
    #[must_use]
    pub fn may_be_restored_lately(&self) -> bool {
        self.known.borrow().may_be_restored_lately()
    }

    /// Records that entries of servers may have come and gone unseen.
    pub fn record_list_gap(&self) {
        self.known.borrow_mut().record_list_gap(Instant::now());
    }

    /// Records that all servers were read from a restored store.
    pub fn record_list_reread(&self) {
        self.known.borrow_mut().record_list_reread(Instant::now());
    }

    /// Records that the system has run before this instance read the store.
    pub fn record_earlier_run(&self) {
        self.known.borrow_mut().record_earlier_run();
    }

    /// Records that the list of servers holds all changes until `at`, in this era of the store. `at` is a
    /// reading of the clock that also runs while the machine is suspended.
    pub fn record_list_complete(&self, era: u64, at: Duration) {
        if self.known.borrow().era() == Some(era) {
            let latest = self.list_complete_at.get().max(Some(at));
            self.list_complete_at.set(latest);
        }
    }

    /// Time since the list of servers was last known to hold all changes.
    #[must_use]
    pub fn list_age(&self) -> Duration {
        let complete_at = self.list_complete_at.get();
        complete_at.map_or(Duration::MAX, |at| boot_time().saturating_sub(at))
    }

    /// Checks of the list of servers that streams wait for.
    #[must_use]
    pub fn list_check(&self) -> &ListCheck {
        &self.list_check
    }

    /// Records the end of a check of the list of servers that began at `began_at`.
    pub fn record_list_check(&self, began_at: Instant, end: ListCheckEnd) {
        if end == ListCheckEnd::Confirmed {
            self.known.borrow_mut().record_list_confirmation(began_at);
        }
        self.list_check.finish(began_at, end);
    }

    /// Applies changes of the base versions in the store.
    pub fn apply(&self, changes: &TableChanges) {
        let mut known = self.known.borrow_mut();
        let mut rows = self.base_rows.borrow_mut();
        let now = Instant::now();
        for row in &changes.rows {
            let base = row.value.as_deref().and_then(decode_base);
            info!(self.log, "base version"; "pool" => &*row.key, "row" => row.version.number,
                "version" => base.as_ref().map(|base| &*base.version),
                "holds_in" => base.as_ref().and_then(|base| base.era), "era" => changes.version.era);
            known.set_base(&row.key, base, now);
            rows.insert(row.key.clone(), row.version.number);
        }
        for pool in &changes.missing {
            known.set_base(pool, None, now);
            rows.remove(pool);
        }
        known.record_bases_read(changes.version.era);
    }

    /// Version at whose servers streams of a pool need no record, or don't wait for it, and the cost of
    /// beginning one at another version.
    #[must_use]
    pub fn favored(&self, pool: &str) -> Option<(Name, Duration)> {
        let known = self.known.borrow();
        let cost = if self.is_failing.get() {
            NO_RECORD_COST
        } else {
            known.holding_base(pool)?;
            RECORD_COST
        };
        known.base(pool).map(|base| (base.clone(), cost))
    }

    /// Remembers that a stream may begin at a server of this version, and queues its record if it needs
    /// one. `number` counts the calls for one stream from 1 on; the latest one tells the version.
    #[must_use]
    pub fn begin(
        &self,
        stream: &str,
        number: u32,
        pool: &Name,
        version: Option<&Name>,
    ) -> Option<PendingRecord> {
        let now = Instant::now();
        let stream = Name::from(stream);
        let mut known = self.known.borrow_mut();
        // A record of a server that rejected the request must not count.
        let has_record = number > 1 && known.remembered(&stream).is_some();
        let freshness = self.state.freshness.borrow();
        let is_confirmed = freshness.within(boot_time(), MAX_CONFIRMATION_AGE);
        drop(freshness);
        let needs_record = known.needs_record(pool, version, is_confirmed);
        known.remember(&stream, version.cloned(), number, now);
        let delay = known.record_delay(pool, version, now);
        drop(known);
        if !needs_record && !has_record {
            return None;
        }
        if has_record && !delay.is_zero() {
            // A copy of the store must not hold the record of the rejected request alone for so long.
            let _not_awaited = self.queue_record(&stream, number, None, Duration::ZERO);
        }
        let written = self.queue_record(&stream, number, version.cloned(), delay)?;
        if !delay.is_zero() {
            info!(self.log, "stream waits to be recorded at a version that was listed lately"; "stream" => &*stream,
                "pool" => &**pool, "version" => version.map(|version| &**version), "ms" => whole_ms(delay));
        }
        Some(PendingRecord {
            pool: pool.clone(),
            stream,
            written,
        })
    }

    /// Records that a stream has ended, or that its request began none. Its record is not written any more.
    pub fn end(&self, stream: &str) {
        self.known.borrow_mut().record_end(stream);
    }

    /// Queues the record of a stream with this number, to be written after `delay`.
    fn queue_record(
        &self,
        stream: &Name,
        number: u32,
        version: Option<Name>,
        delay: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        let value = postcard::to_stdvec(&StreamRecord { version }).ok()?;
        let (tx, written) = oneshot::channel();
        let key = RecordKey {
            part: partition(stream),
            key: format!("{stream}/{number:04}"),
        };
        self.queue.borrow_mut().push_back(QueuedRecord {
            stream: stream.clone(),
            number,
            key,
            value,
            queued_at: Instant::now(),
            due_at: Instant::now() + delay,
            written: Some(tx),
        });
        self.to_write.notify_one();
        Some(written)
    }

    /// Waits until a record is written, if the stream might be taken for one of another version without it.
    pub async fn wait_written(&self, record: &mut PendingRecord) {
        let must_wait = || {
            let known = self.known.borrow();
            known.must_await_record(&record.pool, &record.stream, Instant::now())
        };
        while must_wait() {
            let written = tokio::time::timeout(WAIT_STEP, &mut record.written).await;
            if written.is_ok() {
                return;
            }
        }
    }

    /// Version at which a stream began that a caller takes up; `None` if it can't be found out.
    /// `stream` is the id of the request that brought its first event, if the caller names it.
    pub async fn find(&self, pool: &str, stream: Option<&str>) -> Option<Name> {
        let taken_up = Instant::now();
        let remembered = stream.and_then(|id| self.known.borrow().remembered(id));
        if let Some(version) = remembered {
            return version;
        }
        let is_sole_likely = {
            let known = self.known.borrow();
            known.is_sole_version_likely(pool, taken_up)
        };
        let mut sole = None;
        if is_sole_likely {
            let end = self.list_check.run().await;
            let known = self.known.borrow();
            sole = known.sole_version(pool, taken_up, Instant::now());
            info!(self.log, "checked the list of servers for a stream's version"; "stream" => stream,
                "end" => ?end, "version" => sole.as_deref());
            if end == ListCheckEnd::Unreachable {
                return None;
            }
        }
        let Some(stream) = stream else {
            return sole;
        };
        let (version, number) = match sole {
            Some(version) => (Some(version), 0),
            None => match self.read(pool, stream, taken_up).await {
                Ok(found) => found,
                Err(error) => {
                    info!(self.log, "can't read at which version a stream began"; "stream" => stream, "fault" => error.to_string());
                    return None;
                }
            },
        };
        if version.is_some() {
            let mut known = self.known.borrow_mut();
            known.remember(&stream.into(), version.clone(), number, Instant::now());
        }
        version
    }

    /// Reads at which version a stream began that was taken up at `taken_up`, and the number of its record;
    /// 0 if it has none.
    async fn read(
        &self,
        pool: &str,
        stream: &str,
        taken_up: Instant,
    ) -> Result<(Option<Name>, u32), StoreError> {
        let dialect = self.store.dialect();
        let call = dialect.read_stream_records_call(&partition(stream), Some(stream));
        let records = self.store.read_page(call).await?;
        // The base version is read later, as it changes only when all streams without a record have
        // ended.
        let call = dialect.read_row_call(Table::BaseVersions, pool);
        let bases = self.store.read_page(call).await?;
        let latest = records.rows.iter().max_by_key(|row| &row.key);
        let number = latest.and_then(|row| row.key.rsplit_once('/')?.1.parse().ok());
        let record = latest.and_then(|row| row.value.as_deref());
        let record = match record.map(postcard::from_bytes::<StreamRecord>) {
            Some(Ok(record)) => Some(record.version),
            // Nothing is known of the stream.
            Some(Err(_)) => Some(None),
            None => None,
        };
        let base = bases.rows.iter().find(|row| *row.key == *pool);
        let base = base.and_then(|row| row.value.as_deref().and_then(decode_base));
        let era = bases.version.era;
        if records.version.era != era {
            return Err(StoreError::Restored);
        }
        let version = resolve(record.clone(), base.as_ref(), era);
        info!(self.log, "read at which version a stream began"; "stream" => stream,
            "version" => version.as_deref(), "recorded" => record.is_some(), "era" => era,
            "base" => base.as_ref().map(|base| &*base.version), "base_holds_in" => base.as_ref().and_then(|base| base.era));
        if let (None, None, Some(base)) = (&version, &record, base) {
            let version = self
                .unrecorded_version(pool, stream, &base, era, taken_up)
                .await;
            return Ok((version, 0));
        }
        Ok((version, number.unwrap_or_default()))
    }

    /// Version at which a stream began that has no record in this era, though the base version doesn't hold;
    /// `None` if it isn't known.
    async fn unrecorded_version(
        &self,
        pool: &str,
        stream: &str,
        base: &BaseVersion,
        era: u64,
        taken_up: Instant,
    ) -> Option<Name> {
        let end = self.list_check.run().await;
        let known = self.known.borrow();
        // A restore since the record was looked for would make the list say less.
        let is_known =
            known.era() == Some(era) && known.began_at_base(pool, base, taken_up, Instant::now());
        info!(self.log, "checked which versions can have begun a stream"; "stream" => stream, "end" => ?end,
            "version" => is_known.then_some(&*base.version));
        is_known.then(|| base.version.clone())
    }

    /// Writes records, forever.
    pub async fn write_records(self: Rc<Self>) {
        loop {
            let (part, batch) = match self.next_batch() {
                Ok(next) => next,
                Err(due_at) => {
                    let due_in = due_at.map(|at| at.saturating_duration_since(Instant::now()));
                    let due_in = due_in.unwrap_or(CHECK_INTERVAL);
                    let _due = tokio::time::timeout(due_in, self.to_write.notified()).await;
                    continue;
                }
            };
            let expired = self.take_expired(Some(&part));
            match self.write_batch(&part, &batch, &expired).await {
                Ok(()) => {
                    self.is_failing.set(false);
                    let mut written = self.written.borrow_mut();
                    for record in batch {
                        written.push_back((record.queued_at, record.key));
                        // The stream may have ended.
                        let _ended = record.written.map(|written| written.send(()));
                    }
                }
                Err(error) => {
                    if !self.is_failing.replace(true) {
                        warn!(self.log, "can't record versions of streams; retrying"; "streams" => batch.len(), "fault" => error.to_string());
                    }
                    self.requeue(batch, expired);
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// The oldest due record with others of its partition. Without one, the time at which the next one is
    /// due. Streams that have ended need none, nor do requests that others have taken the place of.
    fn next_batch(&self) -> Result<(String, Vec<QueuedRecord>), Option<Instant>> {
        let mut queue = self.queue.borrow_mut();
        let lifetime = self.lifetime.get();
        let known = self.known.borrow();
        queue.retain(|record| {
            let is_current = known.is_current_record(&record.stream, record.number);
            record.queued_at.elapsed() < lifetime && is_current
        });
        drop(known);
        let now = Instant::now();
        let Some(first) = queue.iter().find(|record| record.due_at <= now) else {
            return Err(queue.iter().map(|record| record.due_at).min());
        };
        let part = first.key.part.clone();
        let is_next = |record: &QueuedRecord| record.key.part == part && record.due_at <= now;
        let (mut batch, rest): (Vec<_>, Vec<_>) = queue.drain(..).partition(is_next);
        queue.extend(rest);
        let excess = batch.split_off(batch.len().min(MAX_BATCH));
        for record in excess.into_iter().rev() {
            queue.push_front(record);
        }
        Ok((part, batch))
    }

    fn requeue(&self, batch: Vec<QueuedRecord>, expired: Vec<RecordKey>) {
        let mut queue = self.queue.borrow_mut();
        for record in batch.into_iter().rev() {
            queue.push_front(record);
        }
        let mut written = self.written.borrow_mut();
        for key in expired {
            let expired_at = Instant::now().checked_sub(self.lifetime.get());
            written.push_front((expired_at.unwrap_or_else(Instant::now), key));
        }
    }

    /// Takes records whose streams can't be taken up any more, of one partition.
    fn take_expired(&self, part: Option<&str>) -> Vec<RecordKey> {
        let mut written = self.written.borrow_mut();
        let lifetime = self.lifetime.get();
        let oldest = written.front().filter(|(at, _)| at.elapsed() >= lifetime);
        let Some((_, first)) = oldest else {
            return Vec::new();
        };
        let part = part.unwrap_or(&first.part).to_owned();
        let mut expired = Vec::new();
        written.retain(|(at, key)| {
            let taken = at.elapsed() >= lifetime && key.part == part && expired.len() < MAX_BATCH;
            if taken {
                expired.push(key.clone());
            }
            !taken
        });
        expired
    }

    async fn write_batch(
        &self,
        part: &str,
        batch: &[QueuedRecord],
        expired: &[RecordKey],
    ) -> Result<(), StoreError> {
        let records: Vec<(&str, &[u8])> = batch
            .iter()
            .map(|record| (record.key.key.as_str(), record.value.as_slice()))
            .collect();
        let expired: Vec<&str> = expired.iter().map(|key| key.key.as_str()).collect();
        let dialect = self.store.dialect();
        let call = dialect.put_stream_records_call(part, &records, &expired);
        self.store.write(call).await
    }

    /// Keeps the base versions in the store up to date and removes expired records, forever.
    pub async fn maintain(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let expired = self.take_expired(None);
            if let Some(first) = expired.first() {
                let removed = self.write_batch(&first.part.clone(), &[], &expired).await;
                if removed.is_err() {
                    self.requeue(Vec::new(), expired);
                }
            }
            for (pool, base) in self.base_changes() {
                info!(self.log, "changing a base version"; "pool" => &*pool, "version" => &*base.version, "holds_in" => base.era);
                let Ok(value) = postcard::to_stdvec(&base) else {
                    continue;
                };
                let row = self.base_rows.borrow().get(&pool).copied().unwrap_or(0);
                let dialect = self.store.dialect();
                let call = dialect.replace_row_call(Table::BaseVersions, &pool, &value, row);
                if let Err(error) = self.store.write(call).await {
                    info!(self.log, "can't change a base version; retrying"; "pool" => &*pool, "fault" => error.to_string());
                }
            }
        }
    }

    /// Removes records that instances have left behind, forever. One instance does so for all.
    pub async fn sweep(self: Rc<Self>) {
        let mut seen = RecordSweep::default();
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let owners = rank_owners(SWEEP, &self.peers.candidates());
            if owners.first() != Some(&self.peers.this_instance().name) {
                seen = RecordSweep::default();
                continue;
            }
            for part in (0..PARTITIONS).map(partition_name) {
                if let Err(error) = self.sweep_partition(&part, &mut seen).await {
                    info!(self.log, "can't remove old records of streams"; "fault" => error.to_string());
                }
            }
        }
    }

    /// Removes the old records among the first of a partition.
    async fn sweep_partition(&self, part: &str, seen: &mut RecordSweep) -> Result<(), StoreError> {
        let dialect = self.store.dialect();
        let call = dialect.read_stream_records_call(part, None);
        let page = self.store.read_page(call).await?;
        let keys = page.rows.into_iter().map(|row| row.key);
        let old = seen.update(part, keys, self.lifetime.get(), Instant::now());
        let old: Vec<&str> = old.iter().map(|key| &**key).collect();
        for keys in old.chunks(MAX_BATCH) {
            let call = dialect.put_stream_records_call(part, &[], keys);
            self.store.write(call).await?;
        }
        Ok(())
    }

    /// Base versions that this instance has to write: each pool's are written by one instance.
    fn base_changes(&self) -> Vec<(Name, BaseVersion)> {
        let known = self.known.borrow();
        let candidates = self.peers.candidates();
        let own = &self.peers.this_instance().name;
        let config = self.state.config();
        let streams = |pool: &&Name| {
            let config = config.as_ref();
            config.is_some_and(|config| config.serves_streams(pool))
        };
        let mine = known
            .pools()
            .filter(streams)
            .filter(|pool| rank_owners(pool, &candidates).first() == Some(own));
        mine.filter_map(|pool| {
            let change = known.base_change(pool, Instant::now())?;
            Some((pool.clone(), change))
        })
        .collect()
    }
}

fn decode_base(value: &[u8]) -> Option<BaseVersion> {
    postcard::from_bytes(value).ok()
}

/// Partition of the store that holds the records of a stream.
fn partition(stream: &str) -> String {
    partition_name(xxh3_64(stream.as_bytes()) % PARTITIONS)
}

fn partition_name(number: u64) -> String {
    format!("{number:x}")
}
