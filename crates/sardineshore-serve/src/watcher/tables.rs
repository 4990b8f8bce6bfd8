//! Applies changes of the store's tables to what depends on them.

use std::time::Instant;

use sardineshore_core::flow::config::ConfigIndex;
use sardineshore_core::flow::registry::{ApplyOutcome, RegistryEntry, RegistryRow};
use sardineshore_core::flow::replica::TableChanges;
use slog::{debug, info, warn};

use super::{PageError, StoreWatcher};
use crate::dialect::{StoreRow, Table};
use crate::logging::shorten;
use crate::state::whole_ms;

impl StoreWatcher {
    /// Applies changes that are news to what depends on the table.
    pub(super) fn apply_news(&self, table: Table, news: &TableChanges) -> Result<(), PageError> {
        match table {
            Table::Config => {
                let mut rows = news.rows.iter();
                let is_written = rows.any(|row| *row.key == *self.dialect.config_key());
                if is_written && self.state.config().is_some() {
                    self.era.borrow_mut().record_config_written(news.version);
                }
                self.apply_evacuations(false);
                self.apply_config(news)
            }
            Table::Servers => {
                self.apply_servers(news);
                Ok(())
            }
            Table::Instances => {
                self.apply_instances(news);
                Ok(())
            }
            Table::Crashes => {
                self.crashes.apply_rows(&news.rows);
                self.state.crashes_known.set(true);
                Ok(())
            }
            Table::Limits => {
                self.limits.apply(news);
                Ok(())
            }
            Table::BaseVersions => {
                self.apply_base_versions(news);
                Ok(())
            }
        }
    }

    /// Applies changes of the configuration. Fails if the newest one can't be used; nothing is
    /// confirmed then.
    pub(super) fn apply_config(&self, changes: &TableChanges) -> Result<(), PageError> {
        for row in &changes.rows {
            if &*row.key != self.dialect.config_key() {
                continue;
            }
            let Some(value) = &row.value else { continue };
            self.config_usable.set(false);
            match self.dialect.decode_config(value) {
                Ok(config) => {
                    let version = config.version;
                    let current = self.state.config().map_or(0, |config| config.version());
                    if version < current {
                        warn!(self.log, "configuration is older than the active one"; "version" => version, "active" => current, "row" => row.version.number);
                        continue;
                    }
                    self.config_usable.set(true);
                    if self.state.install_config(ConfigIndex::new(config)) {
                        info!(self.log, "new configuration is active"; "version" => version, "row" => row.version.number);
                        (self.on_change)();
                    }
                }
                Err(error) => {
                    warn!(self.log, "can't decode configuration; keeping the previous one"; "row" => row.version.number, "fault" => format!("{error:#}"));
                }
            }
        }
        if self.config_usable.get() {
            Ok(())
        } else {
            Err(PageError::UnusableConfig)
        }
    }

    /// Applies changes of the servers.
    fn apply_servers(&self, changes: &TableChanges) {
        let rows: Vec<_> = (changes.rows.iter())
            .map(|row| self.decode_entry(row))
            .collect();
        let entries = rows.iter().filter_map(|row| match &row.entry {
            RegistryEntry::Server(server) => Some(server.clone()),
            _ => None,
        });
        let entries: Vec<_> = entries.collect();
        let mut registry = self.servers.borrow_mut();
        let (missing, version) = (changes.missing.clone(), changes.version);
        self.state.servers_known.set(true);
        let (missing_before, now) = (registry.missing_entries(), Instant::now());
        let applied = registry.apply_changes(rows, missing, version, now);
        let (missing, end) = (registry.missing_entries(), registry.next_end());
        if let Some(end) = end.filter(|_| missing > missing_before) {
            let left = end.saturating_duration_since(now);
            info!(self.log, "servers without an entry stay in use for a while"; "servers" => missing, "ms" => whole_ms(left), "version" => version.number);
        }
        self.servers_applied.notify_waiters();
        if applied == ApplyOutcome::Changed {
            let servers = registry.servers();
            drop(registry);
            let ready = servers.iter().filter(|server| server.ready).count();
            info!(self.log, "servers"; "listed" => servers.len(), "ready" => ready, "version" => version.number, "era" => version.era);
            let mut selector = self.state.selector.borrow_mut();
            selector.set_servers(servers);
            selector.record_entries(&entries, now);
            drop(selector);
            (self.on_change)();
        } else if applied == ApplyOutcome::Unchanged {
            let mut selector = self.state.selector.borrow_mut();
            selector.record_entries(&[], now);
        }
    }

    /// Applies changes of the instances.
    pub(super) fn apply_instances(&self, changes: &TableChanges) {
        let mut instances = self.instances.borrow_mut();
        let mut unlisted = self.unlisted_instances.borrow_mut();
        for row in &changes.rows {
            unlisted.remove(&row.key);
            let info = row.value.as_deref().map(postcard::from_bytes);
            match info {
                Some(Ok(info)) => instances.insert(row.key.clone(), info),
                Some(Err(_)) | None => instances.remove(&row.key),
            };
        }
        self.state.instances_known.set(true);
        let now = Instant::now();
        let mut missing = changes.missing.clone();
        let expired = unlisted.iter().filter(|(_, until)| now >= **until);
        missing.extend(expired.map(|(name, _)| name.clone()));
        unlisted.retain(|_, until| now < *until);
        for name in &missing {
            instances.remove(name);
        }
        if !changes.rows.is_empty() || !missing.is_empty() {
            self.peers
                .set_instances(instances.values().cloned().collect());
            info!(self.log, "instances"; "listed" => instances.len(), "version" => changes.version.number);
        }
    }

    /// Decodes a row of the table of servers.
    fn decode_entry(&self, row: &StoreRow) -> RegistryRow {
        let entry = match &row.value {
            None => RegistryEntry::Removed,
            Some(value) => match self.dialect.decode_server(&row.key, value) {
                Ok(server) => RegistryEntry::Server(server),
                Err(error) => {
                    warn!(self.log, "can't decode server entry; the server gets no requests"; "server" => &*row.key, "fault" => shorten(format!("{error:#}")));
                    RegistryEntry::Unreadable
                }
            },
        };
        debug!(self.log, "read server entry"; "server" => &*row.key, "row" => row.version.number, "entry" => ?entry);
        RegistryRow {
            id: row.key.clone(),
            entry,
            version: row.version,
        }
    }
}
