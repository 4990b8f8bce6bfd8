//! Which software version of a pool's servers began a stream, so that no other version continues it.
//!
//! What two versions write doesn't fit together, and servers don't check this. Each instance remembers
//! the streams that it began. For streams that other instances began, or this one before it restarted,
//! the store tells:
//!
//! - It names a *base version* for each pool.
//! - A stream that begins at another version gets a *record* before its first event is forwarded.
//!
//! A stream without a record therefore began at the base version, and nothing is written for single
//! streams while one version serves. The base version changes only after none of its servers has been
//! listed for as long as a stream can last: no stream without a record is left then.
//!
//! ```
//! use sardineshore_core::flow::stream_versions::{BaseVersion, resolve};
//!
//! let base = BaseVersion { version: "v1".into(), era: 0 };
//! assert_eq!(resolve(None, Some(&base), 0).as_deref(), Some("v1"));
//! assert_eq!(resolve(Some(Some("v2".into())), Some(&base), 0).as_deref(), Some("v2"));
//! assert_eq!(resolve(None, None, 0), None);
//! ```

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::config::{Name, Server};

/// Longest life of a stream unless the configuration sets another one.
pub const DEFAULT_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// The version at which the streams of a pool began that have no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseVersion {
    /// Software version.
    pub version: Name,
    /// Era of the store in which this was written. A store that was restored from a copy since may lack
    /// records.
    pub era: u64,
}

/// Version at which a stream began that this instance doesn't remember; `None` if it isn't known.
///
/// `record` is the stream's record, which holds `None` if its server named no version. The base version
/// must have been read after the record.
#[must_use]
pub fn resolve(record: Option<Option<Name>>, base: Option<&BaseVersion>, era: u64) -> Option<Name> {
    match record {
        Some(version) => version,
        None => base
            .filter(|base| base.era == era)
            .map(|base| base.version.clone()),
    }
}

/// The record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Version at which it began; `None` if its server named none.
    pub version: Option<Name>,
    /// Reading of the store's clock when it was queued; zero if unknown.
    pub store_time: Duration,
}

impl StreamRecord {
    /// Whether the stream has ended for longer than it can have lasted.
    #[must_use]
    pub fn is_expired(&self, store_time: Duration, lifetime: Duration) -> bool {
        // A clock that runs behind the record's was started anew.
        store_time < self.store_time || store_time > self.store_time + lifetime * 2
    }
}

/// Software versions of the servers of one pool.
#[derive(Debug)]
struct PoolVersions {
    /// Number of listed servers of each version.
    listed: BTreeMap<Name, usize>,
    /// When the last server of a version was dropped from the list.
    gone_at: HashMap<Name, Instant>,
    /// When the pool was first seen.
    seen_since: Instant,
}

impl PoolVersions {
    /// The version that most servers have.
    fn most_common(&self) -> Option<&Name> {
        let (version, _) = self.listed.iter().max_by_key(|(_, count)| **count)?;
        Some(version)
    }
}

/// What an instance knows about the versions at which streams began.
#[derive(Debug)]
pub struct StreamVersions {
    lifetime: Duration,
    pools: HashMap<Name, PoolVersions>,
    /// Base versions of pools, as the store has them.
    bases: HashMap<Name, BaseVersion>,
    /// Era of the store; `None` before the first response.
    era: Option<u64>,
    /// When the store was seen to have been restored.
    restored_at: Option<Instant>,
    /// Versions of streams by their ids, `None` if the server named none, and when each was remembered.
    begun: HashMap<Name, (Option<Name>, Instant)>,
    /// Ids of `begun` in the order in which they were remembered, some more than once.
    by_age: VecDeque<(Instant, Name)>,
}

impl Default for StreamVersions {
    fn default() -> Self {
        Self {
            lifetime: DEFAULT_STREAM_LIFETIME,
            pools: HashMap::new(),
            bases: HashMap::new(),
            era: None,
            restored_at: None,
            begun: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }
}

impl StreamVersions {
    /// Sets how long a stream can last, from its first event to the last time that it is taken up.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Records the listed servers, draining ones included.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>, now: Instant) {
        let mut listed: HashMap<Name, BTreeMap<Name, usize>> = HashMap::new();
        for server in servers {
            let Some(version) = &server.version else {
                continue;
            };
            let versions = listed.entry(server.pool.clone()).or_default();
            *versions.entry(version.clone()).or_default() += 1;
        }
        for (pool, known) in &mut self.pools {
            let now_listed = listed.remove(pool).unwrap_or_default();
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
            };
            (pool, versions)
        });
        self.pools.extend(new_pools);
    }

    /// Sets the base version of a pool; `None` if the store has none.
    pub fn set_base(&mut self, pool: &Name, base: Option<BaseVersion>) {
        match base {
            Some(base) => self.bases.insert(pool.clone(), base),
            None => self.bases.remove(pool),
        };
    }

    /// Records the era of the store; a later one than before means that it was restored from a copy.
    pub fn set_era(&mut self, era: u64, now: Instant) {
        if self.era.is_some_and(|known| era > known) {
            self.restored_at = Some(now);
        }
        self.era = Some(era);
    }

    /// Base version of a pool; `None` if the store has none.
    #[must_use]
    pub fn base(&self, pool: &str) -> Option<&Name> {
        self.bases.get(pool).map(|base| &base.version)
    }

    /// Whether a stream of the pool that has no record may be taken for one of the base version. Not if the
    /// store is known to have no base version.
    #[must_use]
    pub fn assumes_base(&self, pool: &str) -> bool {
        self.era.is_none() || self.bases.contains_key(pool)
    }

    /// Whether a stream that begins at this version needs a record.
    #[must_use]
    pub fn needs_record(&self, pool: &str, version: Option<&Name>) -> bool {
        self.base(pool) != version || version.is_none()
    }

    /// Remembers at which version a stream began.
    pub fn remember(&mut self, id: &Name, version: Option<Name>, now: Instant) {
        while let Some((at, _)) = self.by_age.front()
            && now.saturating_duration_since(*at) > self.lifetime
        {
            let at = *at;
            if let Some((_, old)) = self.by_age.pop_front()
                && self
                    .begun
                    .get(&old)
                    .is_some_and(|(_, latest)| *latest == at)
            {
                self.begun.remove(&old);
            }
        }
        self.begun.insert(id.clone(), (version, now));
        self.by_age.push_back((now, id.clone()));
    }

    /// Version at which a stream began that this instance remembers; holds `None` if the server named
    /// none.
    #[must_use]
    pub fn remembered(&self, id: &str) -> Option<Option<Name>> {
        self.begun.get(id).map(|(version, _)| version.clone())
    }

    /// The only version that any server of the pool has had for as long as a stream can last; `None` if
    /// there were several, or this instance hasn't run for so long.
    #[must_use]
    pub fn sole_version(&self, pool: &str, now: Instant) -> Option<Name> {
        let pool = self.pools.get(pool)?;
        let is_old = |at: Instant| now.saturating_duration_since(at) >= self.lifetime;
        let mut versions = pool.listed.keys();
        let version = versions.next().filter(|_| versions.next().is_none())?;
        let settled = is_old(pool.seen_since) && pool.gone_at.values().all(|at| is_old(*at));
        settled.then(|| version.clone())
    }

    /// The base version that the store should get for a pool; `None` if it has the right one, or it is
    /// too early to change it.
    #[must_use]
    pub fn base_change(&self, pool: &str, now: Instant) -> Option<BaseVersion> {
        let (versions, era) = (self.pools.get(pool)?, self.era?);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= self.lifetime;
        let records_complete = self.restored_at.is_none_or(is_old);
        let version = match self.bases.get(pool) {
            // Streams at the only version need no record from now on, and none has begun elsewhere.
            None => {
                let others_ended = versions.gone_at.values().all(|at| is_old(*at));
                let is_sole = versions.listed.len() == 1 && others_ended;
                versions
                    .most_common()
                    .filter(|_| is_sole && records_complete)?
            }
            Some(base) if versions.listed.contains_key(&base.version) => {
                let is_outdated = base.era != era;
                Some(&base.version).filter(|_| is_outdated && records_complete)?
            }
            Some(base) => {
                let gone_at = versions.gone_at.get(&base.version);
                let gone_since = gone_at.copied().unwrap_or(versions.seen_since);
                versions
                    .most_common()
                    .filter(|_| is_old(gone_since) && records_complete)?
            }
        };
        Some(BaseVersion {
            version: version.clone(),
            era,
        })
    }

    /// Pools whose servers name versions.
    pub fn pools(&self) -> impl Iterator<Item = &Name> {
        self.pools.keys()
    }
}
