//! Finds out where a stream began that a caller takes up.

use std::time::Instant;

use sardineshore_core::flow::config::{Name, Route};
use sardineshore_core::flow::stream_versions::{
    StreamLife, StreamOrigin, StreamRecord, StreamVersions, resolve, split_key,
};
use slog::info;

use super::records::{PendingRecord, partition, row_id};
use super::{TableCheckEnd, VersionRecords};
use crate::store::StoreError;

/// What the store holds about one stream.
struct ReadRecord {
    /// Its latest record; `None` if it has none.
    record: Option<StreamRecord>,
    /// Number of that record; 0 without one.
    number: u32,
    /// Era of the store.
    era: u64,
}

/// A stream that a caller takes up.
#[derive(Debug)]
pub struct TakenUp {
    /// Where it began.
    pub origin: StreamOrigin,
    /// What its next event waits for, if the caller names the stream.
    pub record: Option<PendingRecord>,
}

impl VersionRecords {
    /// Finds out where a stream began that a caller takes up; `None` if that isn't known. `stream` is the id of
    /// the request that brought its first event, if the caller names it, and `route` the one on which it is taken
    /// up. The caller waits for `life`, so that the stream may be taken up
    /// again for so long.
    pub async fn take_up(
        &self,
        route: &Route,
        stream: Option<&str>,
        life: StreamLife,
    ) -> Option<TakenUp> {
        let taken_up = Instant::now();
        let Some(stream) = stream else {
            let origin = self.sole_origin(route, life, taken_up).await?;
            let record = None;
            return Some(TakenUp { origin, record });
        };
        let known = self.known.borrow().remembered(stream).cloned();
        let held = self.find_copy(stream);
        let (origin, number, is_covered) = if let Some(known) = known {
            let is_covered = known.lasts_for(life, taken_up);
            (known.origin, known.record, is_covered)
        } else if let Some(held) = held {
            (held.origin, 0, false)
        } else if let Some((origin, number)) = self.look_up(route, stream, life, taken_up).await {
            (origin, number, false)
        } else {
            (self.ask_holders(stream).await?, 0, false)
        };
        let record = if is_covered {
            None
        } else {
            let record = self.extend(route, stream, number, &origin, life);
            self.record_first_event(&record);
            Some(record)
        };
        Some(TakenUp { origin, record })
    }

    /// Finds out where a stream began that this instance doesn't remember, and the number of its record; 0
    /// without one.
    async fn look_up(
        &self,
        route: &Route,
        stream: &str,
        life: StreamLife,
        taken_up: Instant,
    ) -> Option<(StreamOrigin, u32)> {
        let ReadRecord {
            record,
            number,
            era,
        } = match self.read(stream).await {
            Ok(read) => read,
            Err(error) => {
                info!(self.log, "can't read where a stream began"; "stream" => stream, "fault" => error.to_string());
                return None;
            }
        };
        let is_recorded = record.is_some();
        let found = if let Some(record) = record {
            record.origin
        } else {
            self.unrecorded_origin(route, stream, life, era, taken_up)
                .await
        };
        info!(self.log, "read where a stream began"; "stream" => stream, "recorded" => is_recorded,
            "pool" => found.as_ref().map(|origin| &*origin.pool),
            "version" => found.as_ref().and_then(|origin| origin.version.as_deref()), "era" => era);
        found.map(|origin| (origin, number))
    }

    /// Reads the latest record of a stream.
    async fn read(&self, stream: &str) -> Result<ReadRecord, StoreError> {
        let dialect = self.store.dialect();
        let id = row_id(stream);
        let call = dialect.read_stream_records_call(&partition(stream), Some(&id));
        let page = self.store.read_page(call).await?;
        let latest = page.rows.iter().max_by_key(|row| &row.key);
        let number = latest.and_then(|row| record_number(&row.key, &id));
        // Nothing is known of a stream whose record can't be decoded.
        let undecodable = StreamRecord {
            origin: None,
            life: StreamLife::new(None),
        };
        let record = latest.and_then(|row| row.value.as_deref());
        let record = record.map(|value| postcard::from_bytes(value).unwrap_or(undecodable));
        Ok(ReadRecord {
            record,
            number: number.unwrap_or_default(),
            era: page.version.era,
        })
    }

    /// Where a stream began that had no record in this era of the store, when that was looked for after
    /// `taken_up`; `None` if it isn't known.
    async fn unrecorded_origin(
        &self,
        route: &Route,
        stream: &str,
        life: StreamLife,
        era: u64,
        taken_up: Instant,
    ) -> Option<StreamOrigin> {
        // A stream whose life isn't bounded has a record that may have been lost or removed.
        life.bounded()?;
        // The base split and version are read later than the record, as they change only when all streams
        // without a record have ended.
        if self.rows_check.run().await != TableCheckEnd::Confirmed {
            return None;
        }
        let pool = {
            let known = self.known.borrow();
            if known.era() != Some(era) {
                return None;
            }
            let pool = self.unrecorded_pool(&known, route, Some(stream))?;
            let version = resolve(None, known.base_version(&pool), era);
            if let Some(version) = version {
                return Some(origin(pool, version));
            }
            pool
        };
        let end = self.list_check.run().await;
        let known = self.known.borrow();
        // A restore since the record was looked for would make the list say less.
        if known.era() != Some(era) {
            return None;
        }
        let now = Instant::now();
        let base = known.base_version(&pool);
        let version = known.sole_version(&pool, taken_up, now).or_else(|| {
            let began_at_base = |base: &&_| known.began_at_base(&pool, base, taken_up, now);
            base.filter(began_at_base).map(|base| base.version.clone())
        });
        info!(self.log, "checked which versions can have begun a stream"; "pool" => &*pool, "end" => ?end,
            "version" => version.as_deref(), "base" => base.map(|base| &*base.version));
        version.map(|version| origin(pool, version))
    }

    /// Where all streams of a route began, if that is one pool whose servers have had one version for a
    /// stream's life.
    async fn sole_origin(
        &self,
        route: &Route,
        life: StreamLife,
        taken_up: Instant,
    ) -> Option<StreamOrigin> {
        life.bounded()?;
        let pool = self.unrecorded_pool(&self.known.borrow(), route, None)?;
        let is_likely = self.known.borrow().is_sole_version_likely(&pool, taken_up);
        if !is_likely {
            return None;
        }
        let (end, rows) = futures::join!(self.list_check.run(), self.rows_check.run());
        let known = self.known.borrow();
        let is_pool_known = self.unrecorded_pool(&known, route, None).as_ref() == Some(&pool);
        let sole = known.sole_version(&pool, taken_up, Instant::now());
        // Another split or a longer life may have been stated than was known.
        let sole = sole.filter(|_| rows == TableCheckEnd::Confirmed && is_pool_known);
        info!(self.log, "checked the list of servers for a stream's version"; "pool" => &*pool, "end" => ?end,
            "rows" => ?rows, "version" => sole.as_deref());
        sole.map(|version| origin(pool, version))
    }

    /// Pool at which a stream of a route began that has no record; without an id, the pool of all.
    fn unrecorded_pool(
        &self,
        known: &StreamVersions,
        route: &Route,
        stream: Option<&str>,
    ) -> Option<Name> {
        let is_confirmed = self.is_configuration_confirmed();
        let key = split_key(route);
        let pool = known.unrecorded_pool(&key, stream, is_confirmed, Instant::now());
        pool.cloned()
    }
}

/// Number of a stream's record; its key is `ID/NUMBER-INSTANCE`.
fn record_number(key: &str, id: &str) -> Option<u32> {
    let written = key.strip_prefix(id)?.strip_prefix('/')?;
    written.split('-').next()?.parse().ok()
}

fn origin(pool: Name, version: Name) -> StreamOrigin {
    StreamOrigin {
        pool,
        version: Some(version),
    }
}
