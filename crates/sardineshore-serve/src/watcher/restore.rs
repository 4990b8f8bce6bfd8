//! Handles a store that was restored from a copy: it lacks what was written since, until that is
//! written again.
//!
//! The active configuration stays. It is not confirmed before the operators have had time to write a
//! newer one that was lost. What this instance wrote is written again. An instance that starts just after a
//! restore waits as long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::replica::TableChanges;
use slog::warn;

use super::{PageError, StoreWatcher, table_index};
use crate::dialect::{StoreRow, Table};
use crate::state::whole_ms;

/// Time after which a restored store holds again what operators, servers and instances wrote.
pub(super) const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(2);

/// What the first rows of a restored store show, compared with those known before.
pub(super) struct Restored {
    /// Keys and values of rows that the store lacks or has in another state.
    lost: Vec<(Name, Arc<[u8]>)>,
    /// Whether the known configuration has been written again.
    has_rewritten_config: bool,
}

impl StoreWatcher {
    /// Time until a restored store may confirm the configuration; unlimited if it may now, and for
    /// other tables.
    pub(super) fn time_to_settle(&self, table: Table) -> Duration {
        let settled_at = self.settled_at.get().filter(|_| table == Table::Config);
        settled_at.map_or(Duration::MAX, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    /// Whether the store's responses confirm the configuration: it was not restored just now.
    pub(super) fn is_settled(&self) -> bool {
        let settled = self.settled_at.get().is_none_or(|at| Instant::now() >= at);
        if settled {
            self.settled_at.set(None);
        }
        settled
    }

    /// Finds out whether the store was restored just before this instance started: rows of an older era tell.
    /// If not, confirms the configuration that was read before.
    pub(super) fn check_restore(&self) {
        if self.restore_checked.replace(true) {
            return;
        }
        let unchecked = self.unchecked.take();
        if self.versions.may_be_restored_lately() {
            warn!(self.log, "the store may have been restored lately; waiting for a newer configuration"; "ms" => whole_ms(RESTORE_SETTLE_TIME));
            self.settled_at
                .set(Some(Instant::now() + RESTORE_SETTLE_TIME));
            self.state.freshness.borrow_mut().discard_confirmation();
        } else if let Some(confirmation) = unchecked {
            self.confirm(confirmation);
        }
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
        let settled_at = Instant::now() + RESTORE_SETTLE_TIME;
        match table {
            Table::Config => {
                let unsettled = Some(settled_at).filter(|_| !restored.has_rewritten_config);
                self.settled_at.set(unsettled);
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
