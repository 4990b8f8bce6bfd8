//! Keeps the base versions in the store up to date.

use std::rc::Rc;
use std::time::Instant;

use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::BaseVersion;
use slog::info;

use super::{CHECK_INTERVAL, VersionRecords};
use crate::dialect::Table;

impl VersionRecords {
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

pub(super) fn decode_base(value: &[u8]) -> Option<BaseVersion> {
    postcard::from_bytes(value).ok()
}
