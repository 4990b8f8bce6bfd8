//! The configuration log: each accepted operator command is one entry and makes one version, which
//! all instances adopt in order.
//!
//! The log is stored in the platform's table. [`ConfigLog`] is an instance's copy of it: the
//! [`Deployment`] at the adopted version and the latest entries, which other instances may ask for.
//! [`SubmitMachine`](submit::SubmitMachine) appends one command to the stored log.
//!
//! ```
//! use sardineshore_core::config_log::{Adoption, ConfigLog, LogEntry};
//!
//! let mut log = ConfigLog::default();
//! let entry = LogEntry { version: 1, command: "c-1".into(), ..LogEntry::default() };
//! assert_eq!(log.adopt(&entry), Adoption::Adopted);
//! assert_eq!(log.adopt(&entry), Adoption::AlreadyAdopted);
//! assert_eq!(log.version(), 1);
//! ```

pub mod submit;

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Change, ChangeError, CommandId, Deployment, Version};

/// Table key of the row that names the newest version.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the table keys of log entries.
pub const LOG_PREFIX: &str = "config/log/";
/// Name of the stored object that holds a snapshot: the [`Deployment`] at some earlier version.
pub const SNAPSHOT_OBJECT: &str = "config/snapshot";
/// Number of versions between two snapshots.
pub const SNAPSHOT_INTERVAL_VERSIONS: Version = 32;
/// Maximum number of entries kept in memory, for other instances and to name the command that won
/// a race.
const MAX_KEPT_ENTRIES: usize = 256;

/// Table key of the log entry of a version.
#[must_use]
pub fn log_key(version: Version) -> Arc<str> {
    format!("{LOG_PREFIX}{version:016}").into()
}

/// Table key of the row that holds the version of a command.
#[must_use]
pub fn command_key(command: &str) -> Arc<str> {
    format!("config/command/{command}").into()
}

/// Value of the row [`HEAD_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: Version,
    /// Command that made the version.
    pub command: CommandId,
}

/// Value of the row [`command_key`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommandRow {
    /// Version that the command made.
    pub version: Version,
}

/// Log entry of one accepted command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogEntry {
    /// Version that the command made.
    pub version: Version,
    /// Identifier of the command.
    pub command: CommandId,
    /// Name of the operator who sent the command.
    pub operator: Arc<str>,
    /// Changes of the command, in order.
    pub changes: Vec<Change>,
    /// When the instance received the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl Default for LogEntry {
    fn default() -> Self {
        Self {
            version: 0,
            command: "".into(),
            operator: "".into(),
            changes: Vec::new(),
            at_ms: 0,
        }
    }
}

/// Result of [`ConfigLog::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The entry was the next version and is now the active one.
    Adopted,
    /// The version of the entry, or a higher one, was adopted before.
    AlreadyAdopted,
    /// Entries before this one are missing.
    Gap,
    /// A change of the entry is not valid for the active configuration, so the entry was accepted
    /// under other rules than those of this instance.
    Rejected,
}

/// An instance's copy of the configuration log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigLog {
    deployment: Arc<Deployment>,
    /// Latest entries, up to the active version; without those that a snapshot replaced.
    entries: VecDeque<LogEntry>,
}

impl ConfigLog {
    /// Active version: the version that was adopted last.
    #[must_use]
    pub fn version(&self) -> Version {
        self.deployment.version
    }

    /// Active configuration.
    #[must_use]
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Replaces the active configuration by a snapshot, only if the snapshot's version is higher;
    /// returns whether it did.
    pub fn restore(&mut self, snapshot: Deployment) -> bool {
        if snapshot.version <= self.version() {
            return false;
        }
        self.deployment = Arc::new(snapshot);
        self.entries.clear();
        true
    }

    /// Adopts the entry if it is the next version: applies its changes to the active
    /// configuration. Each version is adopted once and in order.
    pub fn adopt(&mut self, entry: &LogEntry) -> Adoption {
        let version = self.version();
        if entry.version <= version {
            return Adoption::AlreadyAdopted;
        }
        if entry.version != version + 1 {
            return Adoption::Gap;
        }
        let Ok(next) = apply_all(&self.deployment, &entry.changes) else {
            return Adoption::Rejected;
        };
        self.deployment = Arc::new(Deployment {
            version: entry.version,
            ..next
        });
        self.entries.push_back(entry.clone());
        if self.entries.len() > MAX_KEPT_ENTRIES {
            self.entries.pop_front();
        }
        Adoption::Adopted
    }

    /// Entries after a version, in order; `None` if some of them are no longer kept.
    #[must_use]
    pub fn entries_after(&self, version: Version) -> Option<Vec<LogEntry>> {
        if version >= self.version() {
            return Some(Vec::new());
        }
        let first = self.entries.front()?.version;
        if version + 1 < first {
            return None;
        }
        let newer = |entry: &&LogEntry| entry.version > version;
        Some(self.entries.iter().filter(newer).cloned().collect())
    }
}

/// A change that could not be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedChange {
    /// Index of the change in its command, from 0.
    pub index: usize,
    /// Why it could not be applied.
    pub error: ChangeError,
}

/// Applies all changes in order to a copy of `base`; fails at the first that can't be applied.
pub fn apply_all(base: &Deployment, changes: &[Change]) -> Result<Deployment, RejectedChange> {
    let mut next = base.clone();
    for (number, change) in changes.iter().enumerate() {
        next.apply(change).map_err(|error| RejectedChange {
            index: number,
            error,
        })?;
    }
    Ok(next)
}
