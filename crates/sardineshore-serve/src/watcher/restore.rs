//! Handles a store that was restored from a copy: it lacks what was written since, until that is
//! written again.
//!
//! The active configuration stays. It is not confirmed before the operators have had time to write a
//! newer one that was lost. What this instance wrote is written again. An instance that starts just after a
//! restore waits as long, unless a row shows that another one has done so; see
//! [`sardineshore_core::flow::store_era`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::replica::TableChanges;
use sardineshore_core::flow::store_era::{SETTLE_TIME, SettledEra};
use slog::{info, warn};

use super::{ConfigResponse, PageError, StoreWatcher, table_index};
use crate::dialect::{StoreRow, Table};
use crate::relay::Stamp;
use crate::state::{boot_time, whole_ms};

/// Key of the row in [`Table::BaseVersions`] that names the settled era. Pools have other names.
pub(super) const SETTLED_ERA_KEY: &str = "/settled-era";
/// Time beyond the settle time for which a call waits, so that its response is dated later.
const SETTLE_MARGIN: Duration = Duration::from_millis(20);
/// How often an instance checks whether it has to write the settled era.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// What the first rows of a restored store show, compared with those known before.
pub(super) struct Restored {
    /// Keys and values of rows that the store lacks or has in another state.
    lost: Vec<(Name, Arc<[u8]>)>,
    /// Whether the known configuration has been written again.
    has_rewritten_config: bool,
}

impl StoreWatcher {
    /// Longest time for which the next call may wait, so that it confirms the configuration as soon as that is
    /// possible; unlimited if responses do so now, and for other tables.
    pub(super) fn time_to_settle(&self, table: Table) -> Duration {
        if table != Table::Config {
            return Duration::MAX;
        }
        let now = boot_time();
        match self.era.borrow().settles_at(now) {
            Some(at) => at.saturating_sub(now) + SETTLE_MARGIN,
            None if self.unconfirmed.get().is_some() => Duration::ZERO,
            None => Duration::MAX,
        }
    }

    /// Records a response with the newest configuration. Returns its stamp if it confirms the
    /// configuration.
    pub(super) fn handle_response(&self, response: ConfigResponse) -> Option<Stamp> {
        let (sent, received) = (response.sent, response.received);
        let mut freshness = self.state.freshness.borrow_mut();
        // The clocks can be compared, which is all that what others hand on needs.
        let produced = freshness.date(sent, received, response.store_time_ms);
        drop(freshness);
        if self.era.borrow().confirms(response.version, produced) {
            self.unconfirmed.set(None);
            return Some(self.confirm(response));
        }
        self.unconfirmed.set(Some((response, produced)));
        None
    }

    /// Applies changes of the base versions, and of the row that names the settled era.
    pub(super) fn apply_base_versions(&self, news: &TableChanges) {
        let (settled, base_rows): (Vec<_>, Vec<_>) = news
            .rows
            .iter()
            .cloned()
            .partition(|row| *row.key == *SETTLED_ERA_KEY);
        self.versions.apply(&TableChanges {
            rows: base_rows,
            ..news.clone()
        });
        let now = boot_time();
        let mut era = self.era.borrow_mut();
        let confirmed_before = era.settles_at(now).is_none();
        if news.missing.iter().any(|key| **key == *SETTLED_ERA_KEY) {
            era.record_settled(None);
        }
        if let Some(row) = settled.last() {
            let named = row.value.as_deref();
            let named: Option<u64> = named.and_then(|value| postcard::from_bytes(value).ok());
            info!(self.log, "settled era of the store"; "settled" => named, "era" => news.version.era, "row" => row.version.number);
            era.record_settled(named.map(|named| SettledEra {
                era: named,
                written: row.version,
            }));
        }
        if self.versions.may_be_restored_lately() {
            era.record_old_rows();
        }
        if let Some(at) = era.settles_at(now) {
            warn!(self.log, "the store may have been restored lately; waiting for a newer configuration"; "era" => news.version.era, "ms" => whole_ms(at.saturating_sub(now)));
            if confirmed_before {
                self.state.freshness.borrow_mut().discard_confirmation();
            }
        }
        drop(era);
        self.recheck_response();
    }

    /// Checks again whether the latest response confirms the configuration.
    pub(super) fn recheck_response(&self) {
        let Some((response, produced)) = self.unconfirmed.get() else {
            return;
        };
        if self.era.borrow().confirms(response.version, produced) {
            self.unconfirmed.set(None);
            self.confirm(response);
        }
    }

    /// Writes the settled era whenever the store doesn't name it, forever.
    pub(super) async fn write_settled_era(&self) {
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            let is_named = self.era.borrow().settled_change(0, boot_time()).is_none();
            if is_named || self.version(Table::BaseVersions).is_none() {
                continue;
            }
            let owners = rank_owners(SETTLED_ERA_KEY, &self.peers.candidates());
            let own = &self.peers.this_instance().name;
            let rank = owners.iter().position(|owner| owner == own);
            let rank = rank.and_then(|rank| u32::try_from(rank).ok());
            let change = rank.and_then(|rank| self.era.borrow().settled_change(rank, boot_time()));
            let Some(era) = change else {
                continue;
            };
            let Ok(value) = postcard::to_stdvec(&era) else {
                continue;
            };
            let row = self.settled_era_row();
            let call = self.dialect.replace_row_call(
                Table::BaseVersions,
                SETTLED_ERA_KEY,
                &value,
                row,
                &[],
            );
            info!(self.log, "writing the settled era of the store"; "era" => era, "row" => row, "rank" => rank);
            if let Err(error) = self.store.write(call).await {
                info!(self.log, "can't write the settled era of the store; retrying"; "era" => era, "fault" => error.to_string());
            }
        }
    }

    /// Version of the row that names the settled era; 0 if the store has none.
    fn settled_era_row(&self) -> u64 {
        let replicas = self.replicas.borrow();
        let mut rows = replicas[table_index(Table::BaseVersions)].rows();
        let row = rows.find(|row| *row.key == *SETTLED_ERA_KEY && row.value.is_some());
        row.map_or(0, |row| row.version.number)
    }

    /// Compares the first rows of a restored store with the replica; `None` for other changes.
    pub(super) fn compare_restored(
        &self,
        table: Table,
        changes: &TableChanges,
    ) -> Option<Restored> {
        let replicas = self.replicas.borrow();
        let replica = &replicas[table_index(table)];
        let known = replica.version()?;
        if !changes.is_snapshot || changes.version.era <= known.era {
            return None;
        }
        let rows = changes.rows.iter().map(|row| (&row.key, row));
        let rows: HashMap<&Name, &StoreRow> = rows.collect();
        let mut restored = Restored {
            lost: Vec::new(),
            has_rewritten_config: false,
        };
        for known in replica.rows() {
            let row = rows.get(&known.key);
            match (&known.value, row.filter(|row| row.value == known.value)) {
                (Some(_), Some(row)) => {
                    let is_config = *known.key == *self.dialect.config_key();
                    restored.has_rewritten_config |=
                        is_config && row.version.number != known.version.number;
                }
                (Some(value), None) => restored.lost.push((known.key.clone(), value.clone())),
                (None, _) => {}
            }
        }
        warn!(self.log, "the store was restored from a copy"; "table" => ?table, "era" => changes.version.era, "row" => changes.version.number, "before" => known.number, "lost" => restored.lost.len(), "config_rewritten" => restored.has_rewritten_config);
        Some(restored)
    }

    /// Applies the rows of a restored store to what depends on the table.
    pub(super) fn apply_restored(
        &self,
        table: Table,
        news: &TableChanges,
        restored: &Restored,
    ) -> Result<(), PageError> {
        let settled_at = Instant::now() + SETTLE_TIME;
        match table {
            Table::Config => {
                if restored.has_rewritten_config {
                    self.era.borrow_mut().record_config_written(news.version);
                }
                self.apply_evacuations(true);
                // The copy may lack the configuration.
                self.config_usable.set(false);
                self.apply_config(news)
            }
            Table::Instances => {
                let gone = news.missing.iter().map(|name| (name.clone(), settled_at));
                self.unlisted_instances.borrow_mut().extend(gone);
                self.apply_instances(&TableChanges {
                    missing: Vec::new(),
                    ..news.clone()
                });
                self.instances_restored.notify_one();
                Ok(())
            }
            Table::Crashes => {
                self.crashes.rewrite(&restored.lost);
                self.apply_news(table, news)
            }
            Table::Limits => {
                self.limits.apply_restored(news);
                Ok(())
            }
            Table::Servers | Table::BaseVersions => self.apply_news(table, news),
        }
    }
}
