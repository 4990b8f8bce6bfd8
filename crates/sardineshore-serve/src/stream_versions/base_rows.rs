//! Keeps the base versions, the base splits and the stated life of streams in the store up to date.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::{BaseSplit, BaseVersion};
use slog::info;

use super::{CHECK_INTERVAL, VersionRecords};
use crate::dialect::Table;
use crate::state::whole_ms;
use crate::store::StoreError;

/// Key of the row in [`Table::BaseVersions`] that states how long streams may be taken up. Pools have other
/// names.
pub(super) const LIFE_KEY: &str = "/stream-life";
/// Time after which the next instance in rank states the life of streams if none before it has.
const LIFE_RANK_DELAY: Duration = Duration::from_millis(250);
/// Rank from which on instances wait equally long.
const MAX_RANK: u32 = 8;
/// How often base rows are compared with what is known while the first ones are missing.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before the stated life is checked again after a write.
const LIFE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl VersionRecords {
    /// Raises the stated life in the store whenever it is too short, forever. One instance does so for all, unless
    /// it takes too long or a stream waits.
    pub async fn state_life(self: Rc<Self>) {
        loop {
            self.life_due.notified().await;
            if !self.is_life_awaited.get() {
                let owners = rank_owners(LIFE_KEY, &self.peers.candidates());
                let own = &self.peers.this_instance().name;
                let rank = owners.iter().position(|owner| owner == own);
                let rank = rank.and_then(|rank| u32::try_from(rank).ok());
                let delay = LIFE_RANK_DELAY.saturating_mul(rank.unwrap_or(MAX_RANK));
                let delay = delay.min(LIFE_RANK_DELAY * MAX_RANK);
                let _awaited = tokio::time::timeout(delay, self.life_due.notified()).await;
            }
            let Some(life) = self.life_change() else {
                self.is_life_awaited.set(false);
                continue;
            };
            if let Err(error) = self.write_life(life).await {
                info!(self.log, "can't state a longer life of streams; retrying"; "ms" => whole_ms(life), "fault" => error.to_string());
            }
            tokio::time::sleep(LIFE_RETRY_DELAY).await;
            if self.life_change().is_some() {
                self.life_due.notify_one();
            }
        }
    }

    /// What the row with the stated life must name instead; `None` if it needs no change.
    fn life_change(&self) -> Option<Duration> {
        let known = self.known.borrow();
        let is_read = known.era().is_some() && known.era() == known.bases_read_in();
        known.life().change().filter(|_| is_read)
    }

    async fn write_life(&self, life: Duration) -> Result<(), StoreError> {
        let value = postcard::to_stdvec(&whole_ms(life)).unwrap_or_default();
        let row = self.base_row(LIFE_KEY);
        let dialect = self.store.dialect();
        let call = dialect.replace_row_call(Table::BaseVersions, LIFE_KEY, &value, row, &[]);
        info!(self.log, "stating a longer life of streams"; "ms" => whole_ms(life), "row" => row);
        self.store.write(call).await
    }

    /// Version of a row as it was read last; 0 if there was none.
    fn base_row(&self, key: &str) -> u64 {
        self.base_rows.borrow().get(key).copied().unwrap_or(0)
    }

    /// Keeps the base versions in the store up to date and removes expired records, forever.
    pub async fn maintain(self: Rc<Self>) {
        loop {
            // Instances get ready once the first base splits are stated.
            let is_stated = self.state.streams_stated.get();
            let interval = if is_stated {
                CHECK_INTERVAL
            } else {
                FIRST_CHECK_INTERVAL
            };
            tokio::time::sleep(interval).await;
            let expired = self.take_expired(None);
            if let Some(first) = expired.first() {
                let removed = self.write_batch(&first.part.clone(), &[], &expired).await;
                if removed.is_err() {
                    self.requeue(Vec::new(), expired);
                }
            }
            for change in self.base_changes() {
                let key = change.key();
                info!(self.log, "changing a base version or split"; "change" => ?change);
                let Ok(value) = change.encode() else {
                    continue;
                };
                let row = self.base_row(key);
                let dialect = self.store.dialect();
                // Streams with a longer life may have begun since it was stated.
                let unchanged = [(LIFE_KEY, self.base_row(LIFE_KEY))];
                let call =
                    dialect.replace_row_call(Table::BaseVersions, key, &value, row, &unchanged);
                if let Err(error) = self.store.write(call).await {
                    info!(self.log, "can't change a base version or split; retrying"; "row" => &**key, "fault" => error.to_string());
                }
            }
        }
    }

    /// Base splits and versions that this instance has to write: each row is written by one instance.
    fn base_changes(&self) -> Vec<BaseChange> {
        let known = self.known.borrow();
        let candidates = self.peers.candidates();
        let own = &self.peers.this_instance().name;
        let config = self.state.config();
        let streams = |pool: &&Name| {
            let config = config.as_ref();
            config.is_some_and(|config| config.serves_streams(pool))
        };
        let now = Instant::now();
        // An instance that was cut off may know an outdated split.
        let is_confirmed = self.is_configuration_confirmed();
        let routes = known.routes().filter(|_| is_confirmed);
        let splits = routes.filter_map(|route| {
            let base = known.split_change(route, now)?;
            Some(BaseChange::Split(route.clone(), base))
        });
        let versions = known.pools().filter(streams).filter_map(|pool| {
            let base = known.base_change(pool, now)?;
            Some(BaseChange::Version(pool.clone(), base))
        });
        let changes = splits.chain(versions);
        // The first rows must not depend on one instance.
        let patience = if self.state.streams_stated.get() {
            Duration::ZERO
        } else {
            self.created_at.elapsed()
        };
        let is_own = |change: &BaseChange| {
            let owners = rank_owners(change.key(), &candidates);
            let rank = owners.iter().position(|owner| owner == own);
            let rank = rank.and_then(|rank| u32::try_from(rank).ok());
            rank.is_some_and(|rank| FIRST_CHECK_INTERVAL * rank.min(MAX_RANK) <= patience)
        };
        changes.filter(is_own).collect()
    }
}

/// A row to write.
#[derive(Debug)]
enum BaseChange {
    /// Base split of a route.
    Split(Name, BaseSplit),
    /// Base version of a pool.
    Version(Name, BaseVersion),
}

impl BaseChange {
    fn key(&self) -> &Name {
        match self {
            Self::Split(key, _) | Self::Version(key, _) => key,
        }
    }

    fn encode(&self) -> postcard::Result<Vec<u8>> {
        match self {
            Self::Split(_, base) => postcard::to_stdvec(base),
            Self::Version(_, base) => postcard::to_stdvec(base),
        }
    }
}

pub(super) fn decode_split(value: &[u8]) -> Option<BaseSplit> {
    postcard::from_bytes(value).ok()
}

pub(super) fn decode_base(value: &[u8]) -> Option<BaseVersion> {
    postcard::from_bytes(value).ok()
}

pub(super) fn decode_life(value: &[u8]) -> Option<Duration> {
    let ms: u64 = postcard::from_bytes(value).ok()?;
    Some(Duration::from_millis(ms))
}
