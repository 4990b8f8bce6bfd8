//! Where a stream began: at which pool of servers, and at which software version of them, so that nothing else
//! continues it.
//!
//! `docs/design/stream-versions.md` lists what may be concluded about that *origin*, from which fact, and how long
//! the fact holds.
//!
//! What two versions write doesn't fit together, and servers don't check this. Each instance remembers
//! the streams that it began. For streams that other instances began, or this one before it restarted,
//! the store tells:
//!
//! - A stream gets a *record* with its origin.
//! - A route has a *base split*, and a pool may have a *base version*: streams without a record began at the
//!   pool that the split assigns to their id, and at the base version of that pool. Streams that do need no
//!   record then, so nothing is written for single streams while one version and one split are in use. See
//!   [`BaseSplit`] and [`BaseVersion`].
//! - The *stated life* bounds how long streams may be taken up, and so after which time all have ended
//!   that had begun. See [`StatedLife`].
//!
//! Where a restored store may lack the record, and the list of servers doesn't tell, other instances hold
//! copies; see [`StreamCopy`].
//!
//! A base version holds for one era of the store. After a restore from a copy, records and changes of
//! the base version may be missing, so it doesn't hold, and every stream gets a record. It holds again,
//! or another version takes its place, once an instance has seen for a stream's life that none holds:
//! all streams without a record have ended by then. A base version whose servers have left is
//! withdrawn first, for the same reason.
//!
//! Until then, an instance may still know that no server of another version can have begun a stream. A
//! record is lost in a restore only if it was written before, and one that names another version than the
//! base version is written no sooner than [`NEW_VERSION_DELAY`] after its instance has seen a server of
//! that version listed. An instance whose list was complete that long before it learned of the restore, or
//! later, has therefore seen all versions that lost records name. See [`StreamVersions::began_at_base`].
//!
//! ```
//! use sardineshore_core::flow::stream_versions::{BaseVersion, resolve};
//!
//! let base = BaseVersion { version: "v1".into(), era: Some(0) };
//! assert_eq!(resolve(None, Some(&base), 0).as_deref(), Some("v1"));
//! assert_eq!(resolve(Some(Some("v2".into())), Some(&base), 0).as_deref(), Some("v2"));
//! assert_eq!(resolve(None, Some(&base), 1), None);
//! ```

mod life;
mod memory;
mod pool;
mod split;
mod sweep;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use life::{LIFE_MARGIN, StatedLife, StreamLife};
use memory::StreamMemory;
pub use memory::{KnownStream, StreamCopy, StreamOrigin};
use pool::{Listed, PoolVersions};
use split::RouteSplits;
pub use split::{BaseSplit, SPLIT_KEY_PREFIX, split_key};
pub use sweep::RecordSweep;

use super::config::{Name, Server};

/// Time without a server of the base version after which it is withdrawn. Entries of servers may lapse
/// for moments.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Time for which an instance has known that servers of a version are listed before it writes records that
/// name it, unless it is the base version. Longer than the time between two checks of the list and a short
/// outage of the store together; not so long that callers leave before their first event.
pub const NEW_VERSION_DELAY: Duration = Duration::from_millis(2500);

/// The version at which the streams of a pool began that have no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseVersion {
    /// Software version.
    pub version: Name,
    /// Era of the store in which this holds; `None` if it was withdrawn. In another era, or if it was
    /// withdrawn, streams without a record may have begun at any version.
    pub era: Option<u64>,
}

impl BaseVersion {
    /// Whether streams without a record began at this version, in this era of the store.
    #[must_use]
    pub fn holds_in(&self, era: u64) -> bool {
        self.era == Some(era)
    }
}

/// Version at which a stream began that this instance doesn't remember; `None` if it isn't known.
///
/// `record` is the stream's record, which holds `None` if its server named no version. The base version
/// must have been read after the record, and the record after the caller took up the stream.
#[must_use]
pub fn resolve(record: Option<Option<Name>>, base: Option<&BaseVersion>, era: u64) -> Option<Name> {
    match record {
        Some(version) => version,
        None => base
            .filter(|base| base.holds_in(era))
            .map(|base| base.version.clone()),
    }
}

/// The record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Where it began; `None` in a record that only takes the place of earlier ones.
    pub origin: Option<StreamOrigin>,
    /// For how long it may be taken up, from when the record was written.
    pub life: StreamLife,
}

/// What an instance knows about the versions at which streams began.
#[derive(Debug, Default)]
pub struct StreamVersions {
    life: StatedLife,
    pools: HashMap<Name, PoolVersions>,
    /// When the call was sent whose response last confirmed the list of servers.
    list_confirmed_at: Option<Instant>,
    /// Base versions of pools, as the store has them.
    bases: HashMap<Name, BaseVersion>,
    /// Since when a pool's base version is known not to hold.
    open_since: HashMap<Name, Instant>,
    splits: RouteSplits,
    /// Era of the store, and since when it is known; `None` before the first response.
    era: Option<(u64, Instant)>,
    /// Era in which base versions were read.
    bases_read_in: Option<u64>,
    /// Whether no stream can have begun before this instance read the store.
    is_first_start: bool,
    /// The same, and `followed_since` holds from then on.
    is_followed_from_first_start: bool,
    /// When the list was last read without the changes before it, as the store was restored.
    reread_at: Option<Instant>,
    begun: StreamMemory,
    /// Streams of other instances.
    held: StreamMemory,
}

impl StreamVersions {
    /// What an instance knows at its start; `is_first_start` tells whether the whole system starts for
    /// the first time.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            is_followed_from_first_start: is_first_start,
            ..Self::default()
        }
    }

    /// Whether the whole system starts for the first time, and no restore or gap has been seen since.
    #[must_use]
    pub fn is_first_start(&self) -> bool {
        self.is_first_start
    }

    /// How long streams may be taken up, as the store states it.
    #[must_use]
    pub fn life(&self) -> &StatedLife {
        &self.life
    }

    /// The same, to record what is read and needed.
    pub fn life_mut(&mut self) -> &mut StatedLife {
        &mut self.life
    }

    /// Time after which all streams have ended that had begun; without end if that is not known.
    #[must_use]
    pub fn time_to_end(&self) -> Duration {
        self.life.time_to_end().unwrap_or(Duration::MAX)
    }

    /// Records the listed servers, draining ones included.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>, now: Instant) {
        let mut listed: HashMap<Name, BTreeMap<Option<Name>, Listed>> = HashMap::new();
        for server in servers {
            let versions = listed.entry(server.pool.clone()).or_default();
            let first = Listed {
                count: 0,
                since: now,
            };
            let version = versions.entry(server.version.clone()).or_insert(first);
            version.count += 1;
        }
        for (pool, known) in &mut self.pools {
            let mut now_listed = listed.remove(pool).unwrap_or_default();
            for (version, now_listed) in &mut now_listed {
                let before = known.listed.get(version);
                now_listed.since = before.map_or(now, |listed| listed.since);
            }
            let gone = known.listed.keys().filter(|v| !now_listed.contains_key(*v));
            known.gone_at.extend(gone.map(|v| (v.clone(), now)));
            known.gone_at.retain(|v, _| !now_listed.contains_key(v));
            known.listed = now_listed;
        }
        let new_pools = listed.into_iter().map(|(pool, listed)| {
            let versions = PoolVersions {
                listed,
                gone_at: HashMap::new(),
                seen_since: now,
                followed_since: now,
            };
            (pool, versions)
        });
        self.pools.extend(new_pools);
    }

    /// Records that servers may have been listed and dropped since the list was known last.
    pub fn record_list_gap(&mut self, now: Instant) {
        self.record_list_reread(now);
        self.reread_at = None;
        self.is_followed_from_first_start = false;
        for pool in self.pools.values_mut() {
            pool.followed_since = now;
        }
    }

    /// Records that all servers were read from a restored store. Servers may have been listed and dropped
    /// unseen since the list was known last, but [`Self::set_era`] has judged what can have begun there.
    pub fn record_list_reread(&mut self, now: Instant) {
        self.is_first_start = false;
        self.reread_at = Some(now);
        for pool in self.pools.values_mut() {
            pool.seen_since = now;
        }
    }

    /// Records that the list of servers holds all changes until the call was sent, or later ones.
    pub fn record_list_confirmation(&mut self, sent: Instant) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(sent));
    }

    /// Sets the base version of a pool as the store has it since its last change; `None` if it has none.
    pub fn set_base(&mut self, pool: &Name, base: Option<BaseVersion>, now: Instant) {
        if base.is_some() && self.bases_read_in.is_none() {
            self.record_earlier_run();
        }
        match base {
            Some(base) => self.bases.insert(pool.clone(), base),
            None => self.bases.remove(pool),
        };
        if self.holding_base(pool).is_some() {
            self.open_since.remove(pool);
        } else {
            // It may have held between two changes that were read together.
            self.open_since.insert(pool.clone(), now);
        }
    }

    /// Records that the system has run before this instance read the store, whatever it was told.
    pub fn record_earlier_run(&mut self) {
        self.is_followed_from_first_start = false;
    }

    /// Era in which base versions were read last; `None` before that.
    #[must_use]
    pub fn bases_read_in(&self) -> Option<u64> {
        self.bases_read_in
    }

    /// Records that all base versions were read, in this era.
    pub fn record_bases_read(&mut self, era: u64) {
        self.bases_read_in = Some(era);
    }

    /// Records the era of the store. Returns whether the store was restored from a copy since the last
    /// time: it may lack the records of running streams.
    ///
    /// `list_age` is the time since the list of servers was known to hold all changes, in the era before;
    /// it must include times in which the machine was suspended. After two restores within a stream's life, the
    /// list counts as unknown before the second one.
    pub fn set_era(&mut self, era: u64, list_age: Option<Duration>, now: Instant) -> bool {
        let known = self.era.map(|(known, _)| known);
        if known.is_some_and(|known| era <= known) {
            return false;
        }
        self.era = Some((era, now));
        if known.is_none() {
            return false;
        }
        self.open_since.clear();
        self.splits.record_restore();
        self.list_confirmed_at = None;
        let is_followed = list_age.is_some_and(|age| age <= NEW_VERSION_DELAY)
            && self.reread_at.is_none_or(|at| self.is_old(at, now));
        if is_followed {
            self.record_list_reread(now);
        } else {
            self.record_list_gap(now);
        }
        true
    }

    /// Version that the store names for a pool, whether it holds or not; `None` if it names none.
    #[must_use]
    pub fn base(&self, pool: &str) -> Option<&Name> {
        self.bases.get(pool).map(|base| &base.version)
    }

    /// What the store has as the base version of a pool, whether it holds or not.
    #[must_use]
    pub fn base_version(&self, pool: &str) -> Option<&BaseVersion> {
        self.bases.get(pool)
    }

    /// Version at which all streams of a pool began that have no record, as far as this instance knows;
    /// `None` if they may have begun at several.
    #[must_use]
    pub fn holding_base(&self, pool: &str) -> Option<&Name> {
        let (era, _) = self.era?;
        let base = self.bases.get(pool).filter(|base| base.holds_in(era))?;
        Some(&base.version)
    }

    /// Whether the store may have been restored from a copy lately: a base version doesn't hold. It is written
    /// again a stream's life after a restore.
    #[must_use]
    pub fn may_be_restored_lately(&self) -> bool {
        self.bases
            .keys()
            .any(|pool| self.holding_base(pool).is_none())
    }

    /// Whether a stream that begins at this origin needs a record. `is_confirmed` tells whether the
    /// store confirmed recently what this instance knows.
    #[must_use]
    pub fn needs_record(
        &self,
        origin: &StreamOrigin,
        life: StreamLife,
        is_confirmed: bool,
    ) -> bool {
        let StreamOrigin { pool, version } = origin;
        let is_at_base = version.is_some() && self.holding_base(pool) == version.as_ref();
        !is_confirmed || !is_at_base || life.bounded().is_none()
    }

    /// Whether the record of a stream must be written before its first event is forwarded: without it, the
    /// stream might be taken for one of another version. Not so at the version that the store names, unless
    /// another one may take its place just now, as it doesn't hold and its servers have not been listed for
    /// long. If the store names none, the first one may be any, unless no server has ever had another.
    #[must_use]
    pub fn must_await_record(&self, pool: &str, id: &str, now: Instant) -> bool {
        let stream = self.begun.get(id);
        let stream = stream.filter(|s| !s.has_misleading_records && s.life.bounded().is_some());
        let version = stream.and_then(|stream| stream.origin.version.as_ref());
        let (Some(version), Some(servers)) = (version, self.pools.get(pool)) else {
            return true;
        };
        match self.base(pool) {
            None => self.bases_read_in.is_none() || self.first_version(servers) != Some(version),
            Some(base) if base != version => true,
            Some(_) if self.holding_base(pool).is_some() => false,
            Some(_) => !servers
                .listed_since(version)
                .is_some_and(|at| self.is_old(at, now)),
        }
    }

    /// Time for which the record of a stream that begins now at this version has to wait: see
    /// [`NEW_VERSION_DELAY`].
    #[must_use]
    pub fn record_delay(&self, pool: &str, version: Option<&Name>, now: Instant) -> Duration {
        let servers = self.pools.get(pool);
        let needs_none = if let Some(base) = self.base(pool) {
            version == Some(base)
        } else {
            let first = servers.and_then(|servers| self.first_version(servers));
            version.is_none() || version == first
        };
        if needs_none {
            return Duration::ZERO;
        }
        let listed = servers.and_then(|servers| servers.listed.get(&version.cloned()));
        listed.map_or(NEW_VERSION_DELAY, |listed| {
            NEW_VERSION_DELAY.saturating_sub(now.saturating_duration_since(listed.since))
        })
    }

    /// Remembers where a stream may begin, or where one began that is taken up; `record` is the number of its
    /// record, and `life` the time for which it may be taken up from now on.
    pub fn remember(
        &mut self,
        id: &Name,
        origin: StreamOrigin,
        record: u32,
        life: StreamLife,
        now: Instant,
    ) {
        self.begun.insert(id, origin, record, life, now);
    }

    /// Records that a stream has ended, or that none has begun. Its version stays known.
    pub fn record_end(&mut self, id: &str) {
        self.begun.record_end(id);
    }

    /// A stream that this instance remembers.
    #[must_use]
    pub fn remembered(&self, id: &str) -> Option<&KnownStream> {
        self.begun.get(id)
    }

    /// Records that the first event of a stream is about to be forwarded, so that its origin is certain. Returns
    /// what other instances are to be told, unless any of them finds out the origin even if a restored store lacks
    /// the stream's record: it is where all streams of the route began.
    pub fn record_first_event(
        &mut self,
        route: &Name,
        id: &Name,
        now: Instant,
    ) -> Option<StreamCopy> {
        let is_evident = self.is_evident(route, id, &self.begun.get(id)?.origin, now);
        let stream = self.begun.get_mut(id)?;
        stream.begun_on = Some(route.clone());
        stream.is_copied |= !is_evident;
        (!is_evident).then(|| stream.copy(id))
    }

    /// Streams that may still run and whose origin was evident, but is no longer: other instances are to be told.
    pub fn take_copies_due(&mut self, now: Instant) -> Vec<StreamCopy> {
        let due = self.running(now).filter(|(id, stream)| {
            let route = stream.begun_on.as_ref().filter(|_| !stream.is_copied);
            route.is_some_and(|route| !self.is_evident(route, id, &stream.origin, now))
        });
        let due: Vec<StreamCopy> = due.map(|(id, stream)| stream.copy(id)).collect();
        for copy in &due {
            if let Some(stream) = self.begun.get_mut(&copy.id) {
                stream.is_copied = true;
            }
        }
        due
    }

    /// Whether a stream began where all streams of its route have begun that may still run.
    fn is_evident(&self, route: &str, id: &str, origin: &StreamOrigin, now: Instant) -> bool {
        let version = origin.version.as_ref();
        let Some(servers) = self.pools.get(&origin.pool) else {
            return false;
        };
        !self.needs_split_record(route, &origin.pool, id)
            && version.is_some()
            && self.holding_base(&origin.pool) == version
            && servers.only_listed() == version
            && self.have_others_ended(servers, now)
    }

    /// The streams that others were told of and that may still run, for one that doesn't hold them yet. Their
    /// lives count from now on.
    pub fn copies(&self, now: Instant) -> impl Iterator<Item = StreamCopy> {
        let copied = self.running(now).filter(|(_, stream)| stream.is_copied);
        copied.map(|(id, stream)| stream.copy(id))
    }

    /// Holds a stream for another instance.
    pub fn hold(&mut self, copy: StreamCopy, now: Instant) {
        let StreamCopy { id, origin, life } = copy;
        self.held.insert(&id, origin, 0, life, now);
    }

    /// A stream that began here or that is held for another instance.
    #[must_use]
    pub fn find_copy(&self, id: &str) -> Option<StreamCopy> {
        let stream = self.begun.get(id).filter(|stream| stream.is_copied);
        let stream = stream.or_else(|| self.held.get(id))?;
        Some(stream.copy(&id.into()))
    }

    /// Whether a stream that this instance remembers may still run.
    #[must_use]
    pub fn is_running(&self, id: &str) -> bool {
        self.begun.get(id).is_some_and(|stream| !stream.has_ended)
    }

    /// Whether the record with this number is to be written: the stream may still run, and no later request
    /// has taken the place of the one that the record is about.
    #[must_use]
    pub fn is_current_record(&self, id: &str, record: u32) -> bool {
        let stream = self.begun.get(id);
        stream.is_some_and(|stream| !stream.has_ended && stream.record == record)
    }

    /// Streams that may still run. A restored store needs their records, as it may lack those that were
    /// written, and the base version doesn't hold.
    pub fn running(&self, now: Instant) -> impl Iterator<Item = (&Name, &KnownStream)> {
        let running = self.begun.iter();
        running.filter(move |(_, stream)| !stream.has_ended && stream.expires_at > now)
    }

    /// Whether one version alone may have served for as long as a stream can last, so that a confirmation
    /// of the list of servers would tell the version of all streams.
    #[must_use]
    pub fn is_sole_version_likely(&self, pool: &str, now: Instant) -> bool {
        self.settled_version(pool, now).is_some()
    }

    /// The only version that any server of the pool has had for as long as a stream can last, for a stream
    /// that was taken up at `taken_up`. `None` if there were several, if this instance hasn't followed the
    /// list of servers for so long, or if the list wasn't confirmed since: an older list may lack the
    /// server that began the stream.
    #[must_use]
    pub fn sole_version(&self, pool: &str, taken_up: Instant, now: Instant) -> Option<Name> {
        self.list_confirmed_at.filter(|at| *at >= taken_up)?;
        self.settled_version(pool, now).cloned()
    }

    /// Whether a stream without a record in the store, that was taken up at `taken_up`, began at the version
    /// that a base version names which doesn't hold. So it did if no server of another version can have begun
    /// it and had its record lost in a restore: this instance has followed the list of servers for a stream's
    /// life, or from the first start of the system, and they all had this version. The record and the base
    /// version must have been read, and the list confirmed, in this era of the store and after `taken_up`.
    #[must_use]
    pub fn began_at_base(
        &self,
        pool: &str,
        base: &BaseVersion,
        taken_up: Instant,
        now: Instant,
    ) -> bool {
        let Some(servers) = self.pools.get(pool) else {
            return false;
        };
        let is_followed =
            self.is_followed_from_first_start || self.is_old(servers.followed_since, now);
        self.list_confirmed_at.is_some_and(|at| at >= taken_up)
            && is_followed
            && self.have_others_ended(servers, now)
            && servers.only_listed() == Some(&base.version)
    }

    /// Era of the store; `None` before its first response.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era.map(|(era, _)| era)
    }

    /// Whether all streams have ended that servers of versions began which are listed no more.
    fn have_others_ended(&self, servers: &PoolVersions, now: Instant) -> bool {
        servers.gone_at.values().all(|at| self.is_old(*at, now))
    }

    /// The only version that servers of a pool have had since the first start of the system.
    fn first_version<'a>(&self, servers: &'a PoolVersions) -> Option<&'a Name> {
        let is_first = self.is_first_start && servers.gone_at.is_empty();
        servers.only_listed().filter(|_| is_first)
    }

    fn settled_version(&self, pool: &str, now: Instant) -> Option<&Name> {
        let pool = self.pools.get(pool)?;
        let is_settled = self.is_old(pool.seen_since, now) && self.have_others_ended(pool, now);
        pool.only_listed().filter(|_| is_settled)
    }

    /// The base version that the store should get for a pool; `None` if it has the right one, or it is
    /// too early to change it. It may be written only in place of what the store had for the pool when
    /// [`StreamVersions::set_base`] was called last; it stays right however late it is written then.
    #[must_use]
    pub fn base_change(&self, pool: &str, now: Instant) -> Option<BaseVersion> {
        let versions = self.pools.get(pool)?;
        let (era, era_since) = self
            .era
            .filter(|(era, _)| self.bases_read_in == Some(*era))?;
        let open_since = self.open_since.get(pool).copied().unwrap_or(era_since);
        let unrecorded_ended = self.is_old(open_since, now);
        let holding = |version: &Name| BaseVersion {
            version: version.clone(),
            era: Some(era),
        };
        let Some(base) = self.bases.get(pool) else {
            let has_streams = !self.is_first_start || self.open_since.contains_key(pool);
            let sole = if has_streams {
                self.settled_version(pool, now).filter(|_| unrecorded_ended)
            } else {
                versions
                    .only_listed()
                    .filter(|_| versions.gone_at.is_empty())
            };
            return sole.map(holding);
        };
        let absent_since = versions.absent_since(&base.version);
        if base.holds_in(era) {
            let absent = absent_since.filter(|_| !versions.listed.is_empty())?;
            let is_absent = now.saturating_duration_since(absent) >= WITHDRAWAL_DELAY;
            return is_absent.then(|| BaseVersion {
                version: base.version.clone(),
                era: None,
            });
        }
        match absent_since {
            _ if !unrecorded_ended => None,
            None => Some(holding(&base.version)),
            Some(at) => versions
                .most_common()
                .filter(|version| {
                    self.is_old(at, now) && self.record_delay(pool, Some(version), now).is_zero()
                })
                .map(holding),
        }
    }

    /// Pools that have servers.
    pub fn pools(&self) -> impl Iterator<Item = &Name> {
        self.pools.keys()
    }

    /// Whether all streams that had begun at a time have ended.
    fn is_old(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= self.time_to_end()
    }
}
