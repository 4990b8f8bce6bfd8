//! Finds out where streams began that callers take up, and keeps what that needs; see
//! [`sardineshore_core::flow::stream_versions`].
//!
//! `records` writes the records of single streams in batches, one call at a time, and removes them once their
//! stream can't be taken up any more. `base_rows` keeps base versions, base splits and the stated life up to date.
//! `holders` copies origins to other instances. `lookup` uses all of them when a caller takes up a stream that
//! this instance doesn't remember.

mod base_rows;
mod holders;
mod lookup;
mod records;
mod table_check;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use base_rows::{LIFE_KEY, decode_base, decode_life, decode_split};
pub use records::PendingRecord;
use records::{QueuedRecord, RecordKey};
use sardineshore_core::flow::config::{Name, Route};
use sardineshore_core::flow::replica::TableChanges;
use sardineshore_core::flow::stream_versions::{
    KnownStream, SPLIT_KEY_PREFIX, StreamCopy, StreamLife, StreamOrigin, StreamVersions, split_key,
};
use slog::{Logger, info};
pub use table_check::{TableCheck, TableCheckEnd};
use tokio::sync::{Notify, mpsc};

use crate::peers::{Link, Peers};
use crate::state::{SharedState, boot_time, whole_ms};
use crate::store::Store;

/// Cost of a record, in time that another server may take longer.
const RECORD_COST: Duration = Duration::from_millis(10);
/// The same while records can't be written: streams begin elsewhere only if there is no choice.
const NO_RECORD_COST: Duration = Duration::from_secs(60);
/// How often base versions are compared with the listed servers, and expired records removed.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Age of the store's newest confirmation from which on streams get records at any version: another
/// instance may have withdrawn the base version. Shorter than
/// [`sardineshore_core::flow::stream_versions::LIFE_MARGIN`].
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);

/// Writes and reads at which versions streams began.
#[derive(Debug)]
pub struct VersionRecords {
    state: Rc<SharedState>,
    peers: Rc<Peers>,
    store: Rc<Store>,
    log: Logger,
    created_at: Instant,
    known: RefCell<StreamVersions>,
    /// Versions of the rows that hold base versions, base splits and the stated life.
    base_rows: RefCell<HashMap<Name, u64>>,
    /// Notified when the stated life has changed.
    life_changed: Notify,
    /// Notified when the stated life is too short.
    life_due: Notify,
    /// Whether a stream waits for a longer one.
    is_life_awaited: Cell<bool>,
    queue: RefCell<VecDeque<QueuedRecord>>,
    to_write: Notify,
    list_check: TableCheck,
    rows_check: TableCheck,
    /// When the list of servers was last known to hold all changes, by the clock that also runs while the
    /// machine is suspended. `None` if that is not known in the present era of the store.
    list_complete_at: Cell<Option<Duration>>,
    /// Records of this instance in the store, and when each is to be removed.
    written: RefCell<BTreeSet<(Instant, RecordKey)>>,
    /// Whether the latest write failed.
    is_failing: Cell<bool>,
    /// Copies of streams that holders are to be sent.
    copies: RefCell<Vec<StreamCopy>>,
    /// Whether the origins of other streams may not be evident any more.
    may_need_copies: Cell<bool>,
    to_copy: Notify,
    /// Links over which holders got copies.
    links: RefCell<HashMap<Name, Weak<Link>>>,
    /// Where the answers to questions go, by the question's number.
    questions: RefCell<HashMap<u64, mpsc::UnboundedSender<Option<StreamCopy>>>>,
    next_question: Cell<u64>,
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
            created_at: Instant::now(),
            known: RefCell::new(StreamVersions::new(is_first_start)),
            base_rows: RefCell::default(),
            life_changed: Notify::new(),
            life_due: Notify::new(),
            is_life_awaited: Cell::new(false),
            queue: RefCell::default(),
            to_write: Notify::new(),
            list_check: TableCheck::default(),
            rows_check: TableCheck::default(),
            list_complete_at: Cell::new(None),
            written: RefCell::default(),
            is_failing: Cell::new(false),
            copies: RefCell::default(),
            may_need_copies: Cell::new(false),
            to_copy: Notify::new(),
            links: RefCell::default(),
            questions: RefCell::default(),
            next_question: Cell::new(0),
        })
    }

    /// Records a change of the listed servers or of the configuration.
    pub fn update(&self) {
        let mut known = self.known.borrow_mut();
        if let Some(config) = self.state.config() {
            known.life_mut().want(config.longest_stream());
            known.set_routes(config.resumable_routes(), Instant::now());
            self.check_life(&known);
        }
        known.set_servers(self.state.selector.borrow().servers(), Instant::now());
        self.check_copies();
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
        self.check_copies();
        let running: Vec<(Name, KnownStream)> = known
            .running(Instant::now())
            .map(|(id, stream)| (id.clone(), stream.clone()))
            .collect();
        drop(known);
        info!(self.log, "recording versions of running streams again"; "era" => era,
            "streams" => running.len(), "list_age_ms" => list_age.map(whole_ms));
        for (id, stream) in running {
            let (record, life) = (stream.record, stream.life);
            let _not_awaited =
                self.queue_record(&id, record, Some(stream.origin), life, Duration::ZERO);
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
    pub fn list_check(&self) -> &TableCheck {
        &self.list_check
    }

    /// Checks of the rows with base versions and the stated life that streams wait for.
    #[must_use]
    pub fn rows_check(&self) -> &TableCheck {
        &self.rows_check
    }

    /// Records the end of a check of the list of servers that began at `began_at`.
    pub fn record_list_check(&self, began_at: Instant, end: TableCheckEnd) {
        if end == TableCheckEnd::Confirmed {
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
            rows.insert(row.key.clone(), row.version.number);
            let value = row.value.as_deref();
            if *row.key == *LIFE_KEY {
                let life = value.and_then(decode_life);
                info!(self.log, "stated life of streams"; "ms" => life.map(whole_ms), "row" => row.version.number);
                known.life_mut().set_row(life);
            } else if row.key.starts_with(SPLIT_KEY_PREFIX) {
                let base = value.and_then(decode_split);
                info!(self.log, "base split"; "route" => &*row.key, "row" => row.version.number,
                    "pools" => base.as_ref().map(|base| format!("{:?}", base.pools)),
                    "withdrawn" => base.as_ref().map(|base| base.is_withdrawn),
                    "holds_in" => base.as_ref().map(|base| base.era), "era" => changes.version.era);
                known.set_base_split(&row.key, base, now);
            } else {
                let base = value.and_then(decode_base);
                info!(self.log, "base version"; "pool" => &*row.key, "row" => row.version.number,
                    "version" => base.as_ref().map(|base| &*base.version),
                    "holds_in" => base.as_ref().and_then(|base| base.era), "era" => changes.version.era);
                known.set_base(&row.key, base, now);
            }
        }
        for key in &changes.missing {
            rows.remove(key);
            if **key == *LIFE_KEY {
                known.life_mut().set_row(None);
            } else if key.starts_with(SPLIT_KEY_PREFIX) {
                known.set_base_split(key, None, now);
            } else {
                known.set_base(key, None, now);
            }
        }
        known.record_bases_read(changes.version.era);
        self.check_life(&known);
        self.life_changed.notify_waiters();
        self.check_copies();
    }

    /// Compares the stated life with the streams of the configuration, and has it raised if it is too short.
    fn check_life(&self, known: &StreamVersions) {
        if known.life().change().is_some() {
            self.life_due.notify_one();
        } else if known.bases_read_in().is_some()
            && self.state.config().is_some()
            && known.are_first_splits_stated()
        {
            self.state.streams_stated.set(true);
        }
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

    /// Remembers that a stream may begin at a server of this origin, and queues its record if it needs
    /// one. `number` counts the calls for one stream from 1 on; the latest one tells the origin. `life` is the
    /// time for which the stream may be taken up.
    #[must_use]
    pub fn begin(
        &self,
        route: &Route,
        stream: &str,
        number: u32,
        origin: StreamOrigin,
        life: StreamLife,
    ) -> PendingRecord {
        let now = Instant::now();
        let stream = Name::from(stream);
        self.need_life(life);
        let mut known = self.known.borrow_mut();
        // A record of a server that rejected the request must not count.
        let has_record = number > 1 && known.remembered(&stream).is_some();
        let is_confirmed = self.is_configuration_confirmed();
        let route = split_key(route);
        let needs_record = known.needs_record(&origin, life, is_confirmed)
            || known.needs_split_record(&route, &origin.pool, &stream);
        known.remember(&stream, origin.clone(), number, life, now);
        let delay = known.record_delay(&origin.pool, origin.version.as_ref(), now);
        drop(known);
        let mut record = PendingRecord {
            route,
            pool: origin.pool.clone(),
            stream: stream.clone(),
            life,
            written: None,
        };
        if !needs_record && !has_record {
            return record;
        }
        if has_record && !delay.is_zero() {
            // A copy of the store must not hold the record of the rejected request alone for so long.
            let _not_awaited = self.queue_record(&stream, number, None, life, Duration::ZERO);
        }
        if !delay.is_zero() {
            info!(self.log, "stream waits to be recorded at a version that was listed lately"; "stream" => &*stream,
                "pool" => &*origin.pool, "version" => origin.version.as_deref(), "ms" => whole_ms(delay));
        }
        record.written = self.queue_record(&stream, number, Some(origin), life, delay);
        record
    }

    /// Extends the time for which a stream is remembered and its record kept: a request takes it up whose caller
    /// waits for `life`. `number` is that of its latest record; 0 if it has none.
    fn extend(
        &self,
        route: &Route,
        stream: &str,
        number: u32,
        origin: &StreamOrigin,
        life: StreamLife,
    ) -> PendingRecord {
        let stream = Name::from(stream);
        self.need_life(life);
        let number = number + 1;
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        known.remember(&stream, origin.clone(), number, life, now);
        drop(known);
        let origin = origin.clone();
        let pool = origin.pool.clone();
        let written = self.queue_record(&stream, number, Some(origin), life, Duration::ZERO);
        PendingRecord {
            route: split_key(route),
            pool,
            stream,
            life,
            // The record that it has, or the base version, tells its origin meanwhile.
            written: written.filter(|_| life.bounded().is_none()),
        }
    }

    /// Whether the store confirmed lately what this instance knows.
    fn is_configuration_confirmed(&self) -> bool {
        let freshness = self.state.freshness.borrow();
        freshness.within(boot_time(), MAX_CONFIRMATION_AGE)
    }

    /// Has the stated life raised if it doesn't cover a stream.
    fn need_life(&self, life: StreamLife) {
        let mut known = self.known.borrow_mut();
        if let Some(bounded) = life.bounded() {
            known.life_mut().want(bounded);
        }
        if !known.life().covers(life) {
            self.is_life_awaited.set(true);
            self.life_due.notify_one();
        }
    }

    /// Records that a stream has ended, or that its request began none. Its record is not written any more.
    pub fn end(&self, stream: &str) {
        self.known.borrow_mut().record_end(stream);
    }
}
