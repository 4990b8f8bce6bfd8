//! Follows the log and the instance list: reads of the platform.

use sardineshore_core::config_log::{
    HEAD_KEY, Head, LOG_PREFIX, LogEntry, SNAPSHOT_INTERVAL_VERSIONS, SNAPSHOT_OBJECT, log_key,
};
use sardineshore_core::event::config as events;
use sardineshore_core::membership::Member;
use sardineshore_core::membership::leaving::ListedServer;
use sardineshore_core::{Deployment, Row, StoreError, Version};
use sardineshore_wire::platform::{ListedProcess, ProcessRole};

use super::ConfigService;

/// Rows read in one call.
const ROWS_PER_SCAN: usize = 256;

impl ConfigService {
    /// Reads the head and adopts what is new.
    pub async fn poll_head(&self) -> Result<(), StoreError> {
        let began = self.now();
        let row = self.ports.table.read(HEAD_KEY).await?;
        let Some(head) = self.head_version(row.as_ref()) else {
            return Ok(());
        };
        let known = self.head_seen(head, began);
        if head > known {
            self.catch_up(head).await?;
        }
        self.loaded(head);
        Ok(())
    }

    /// Reads the instance list.
    pub async fn poll_list(&self) -> Result<(), StoreError> {
        let began = self.now();
        let listed = self.ports.list.list().await?;
        let now = self.now();
        let (entries, servers): (Vec<_>, Vec<_>) = listed
            .into_iter()
            .partition(|listed| listed.role == ProcessRole::Entry);
        let members: Vec<Member> = entries.into_iter().map(member).collect();
        let servers: Vec<ListedServer> = servers.into_iter().map(listed_server).collect();
        let names: Vec<_> = members.iter().map(|member| member.name.clone()).collect();
        let mut state = self.state();
        state.quorum.update_members(&names, began, now);
        if state.membership.update_members(members) {
            let text = format!("{} members", names.len());
            self.event_log.info(&events::MEMBERS_CHANGED, text);
        }
        if state.leaving.apply_list(&servers, began, now) {
            self.leaving_changed(&state);
        }
        Ok(())
    }

    /// Reads the log up to a version, from a snapshot if much is missing.
    pub(super) async fn catch_up(&self, head: Version) -> Result<(), StoreError> {
        let mut known = self.state().log.version();
        if head >= known + SNAPSHOT_INTERVAL_VERSIONS {
            self.read_snapshot().await;
            known = self.state().log.version();
        }
        while known < head {
            let after = log_key(known);
            let rows = self.ports.table.scan(LOG_PREFIX, &after, ROWS_PER_SCAN);
            self.adopt(&self.decode(&rows.await?));
            let version = self.state().log.version();
            if version == known {
                return Ok(());
            }
            known = version;
        }
        Ok(())
    }

    /// Marks the instance as started once it holds the version that it was told of.
    pub(crate) fn loaded(&self, told: Version) {
        let mut state = self.state();
        let version = state.log.version();
        if version >= told {
            state.quorum.record_active_version(version, self.now());
        }
    }

    /// A missing or damaged snapshot leaves the log to be read.
    async fn read_snapshot(&self) {
        let Ok(Some(text)) = self.ports.objects.get(SNAPSHOT_OBJECT).await else {
            return;
        };
        if let Ok(snapshot) = serde_json::from_str::<Deployment>(&text) {
            self.restore(snapshot);
        }
    }

    fn head_version(&self, row: Option<&Row>) -> Option<Version> {
        let Some(row) = row else { return Some(0) };
        let head = serde_json::from_str::<Head>(&row.value);
        if let Err(err) = &head {
            self.event_log.warn(&events::ENTRY_UNFIT, err.to_string());
        }
        head.ok().map(|head| head.version)
    }

    /// Notes the head; returns the version in force.
    fn head_seen(&self, head: Version, began: std::time::Instant) -> Version {
        let mut state = self.state();
        let version = state.log.version();
        state.quorum.record_store_head(head, began, self.now());
        if head < version {
            let text = format!("head {head}, in force {version}");
            self.event_log.warn(&events::STORE_BEHIND, text);
        }
        version
    }

    /// Decodes rows up to the first that is damaged.
    fn decode(&self, rows: &[Row]) -> Vec<LogEntry> {
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
