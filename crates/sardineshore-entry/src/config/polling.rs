//! Reads of the configuration log and of the instance list from the platform.

use sardineshore_core::config_log::{
    HEAD_KEY, Head, LOG_PREFIX, LogEntry, SNAPSHOT_INTERVAL_VERSIONS, SNAPSHOT_OBJECT, log_key,
};
use sardineshore_core::event::config as events;
use sardineshore_core::membership::Member;
use sardineshore_core::membership::leaving::ListedServer;
use sardineshore_core::{Deployment, Row, StoreError, Version};
use sardineshore_wire::platform::{ListedProcess, ProcessRole};

use super::ConfigService;

/// Maximum number of log rows read in one call.
const ROWS_PER_SCAN: usize = 256;

impl ConfigService {
    /// Reads the log head and, if it is newer, the missing entries.
    pub async fn poll_head(&self) -> Result<(), StoreError> {
        let started = self.now();
        let row = self.dependencies.table.read(HEAD_KEY).await?;
        let Some(head) = self.decode_head(row.as_ref()) else {
            return Ok(());
        };
        let known = self.record_head(head, started);
        if head > known {
            self.catch_up(head).await?;
        }
        self.mark_loaded(head);
        Ok(())
    }

    /// Reads the instance list and updates the members and the leaving backend servers.
    pub async fn poll_list(&self) -> Result<(), StoreError> {
        let started = self.now();
        let listed = self.dependencies.list.list().await?;
        let now = self.now();
        let (entries, servers): (Vec<_>, Vec<_>) = listed
            .processes
            .into_iter()
            .partition(|listed| listed.role == ProcessRole::Entry);
        let members: Vec<Member> = entries.into_iter().map(member).collect();
        let servers: Vec<ListedServer> = servers.into_iter().map(listed_server).collect();
        let names: Vec<_> = members.iter().map(|member| member.name.clone()).collect();
        let mut state = self.state();
        let unreadable_before = std::mem::replace(&mut state.unreadable_listed, listed.unreadable);
        if listed.unreadable > unreadable_before {
            let text = format!("{} entries", listed.unreadable);
            self.event_log.warn(&events::LIST_ENTRY_UNFIT, text);
        }
        state.quorum.update_members(&names, started, now);
        if state.membership.update_members(members) {
            let text = format!("{} members", names.len());
            self.event_log.info(&events::MEMBERS_CHANGED, text);
        }
        if state.leaving.apply_list(&servers, started, now) {
            self.activate_leaving(&state);
        }
        Ok(())
    }

    /// Reads the log up to a version. Starts from the snapshot if many entries are missing.
    pub(super) async fn catch_up(&self, head: Version) -> Result<(), StoreError> {
        let mut known = self.state().log.version();
        if head >= known + SNAPSHOT_INTERVAL_VERSIONS {
            self.read_snapshot().await;
            known = self.state().log.version();
        }
        while known < head {
            let after = log_key(known);
            let rows = self
                .dependencies
                .table
                .scan(LOG_PREFIX, &after, ROWS_PER_SCAN);
            self.adopt(&self.decode_entries(&rows.await?));
            let version = self.state().log.version();
            if version == known {
                return Ok(());
            }
            known = version;
        }
        Ok(())
    }

    /// Marks the instance as up to date if it has reached the announced version.
    pub(crate) fn mark_loaded(&self, announced: Version) {
        let mut state = self.state();
        let version = state.log.version();
        if version >= announced {
            state.quorum.record_active_version(version, self.now());
        }
    }

    /// Reads the snapshot. If it is missing or damaged, the entries are read from the log instead.
    async fn read_snapshot(&self) {
        let Ok(Some(text)) = self.dependencies.objects.get(SNAPSHOT_OBJECT).await else {
            return;
        };
        if let Ok(snapshot) = serde_json::from_str::<Deployment>(&text) {
            self.restore_snapshot(snapshot);
        }
    }

    fn decode_head(&self, row: Option<&Row>) -> Option<Version> {
        let Some(row) = row else { return Some(0) };
        let head = serde_json::from_str::<Head>(&row.value);
        if let Err(err) = &head {
            self.event_log.warn(&events::ENTRY_UNFIT, err.to_string());
        }
        head.ok().map(|head| head.version)
    }

    /// Records the log head and returns the active version.
    fn record_head(&self, head: Version, started: std::time::Instant) -> Version {
        let mut state = self.state();
        let version = state.log.version();
        state.quorum.record_store_head(head, started, self.now());
        if head < version {
            let text = format!("log head {head} is older than the active version {version}");
            self.event_log.warn(&events::STORE_BEHIND, text);
        }
        version
    }

    /// Decodes rows up to the first damaged one.
    fn decode_entries(&self, rows: &[Row]) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        for row in rows {
            match serde_json::from_str(&row.value) {
                Ok(entry) => entries.push(entry),
                Err(err) => {
                    let text = format!("{}: {err}", row.key);
                    self.event_log.warn(&events::ENTRY_UNFIT, text);
                    break;
                }
            }
        }
        entries
    }
}

fn member(listed: ListedProcess) -> Member {
    Member {
        name: listed.name,
        addr: listed.addr.into(),
        domain: listed.domain,
        leaving: listed.leaving,
    }
}

fn listed_server(listed: ListedProcess) -> ListedServer {
    ListedServer {
        server: listed.name,
        leaving: listed.leaving,
    }
}
