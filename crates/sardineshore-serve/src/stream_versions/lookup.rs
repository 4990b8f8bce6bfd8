//! Finds out at which version a stream began that a caller takes up.

use std::time::Instant;

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::{BaseVersion, StreamRecord, resolve};
use slog::info;

use super::records::partition;
use super::{TableCheckEnd, VersionRecords, decode_base};
use crate::dialect::Table;
use crate::store::StoreError;

impl VersionRecords {
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
            let (end, rows) = futures::join!(self.list_check.run(), self.rows_check.run());
            let known = self.known.borrow();
            // A longer life may have been stated than was known.
            if rows == TableCheckEnd::Confirmed {
                sole = known.sole_version(pool, taken_up, Instant::now());
            }
            info!(self.log, "checked the list of servers for a stream's version"; "stream" => stream,
                "end" => ?end, "rows" => ?rows, "version" => sole.as_deref());
            if end == TableCheckEnd::Unreachable {
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
        let (end, rows) = futures::join!(self.list_check.run(), self.rows_check.run());
        let known = self.known.borrow();
        // A restore since the record was looked for would make the list say less.
        let is_known = rows == TableCheckEnd::Confirmed
            && known.era() == Some(era)
            && known.began_at_base(pool, base, taken_up, Instant::now());
        info!(self.log, "checked which versions can have begun a stream"; "stream" => stream, "end" => ?end,
            "version" => is_known.then_some(&*base.version));
        is_known.then(|| base.version.clone())
    }
}
