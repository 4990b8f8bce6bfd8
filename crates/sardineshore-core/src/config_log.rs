//! The configuration log: every accepted command is one version, adopted in order by all instances.
//!
//! The log lives in the platform's table. [`ConfigLog`] is an instance's copy of it: the
//! [`Deployment`] at its version and the latest entries, which peers may ask for.
//! [`SubmitMachine`](submit::SubmitMachine) takes one command through acceptance.
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

/// Key of the row that names the newest version.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of the log.
pub const LOG_PREFIX: &str = "config/log/";
/// Name of the object that holds a [`Deployment`] at some earlier version.
pub const SNAPSHOT_OBJECT: &str = "config/snapshot";
/// Versions between two snapshots.
pub const SNAPSHOT_INTERVAL_VERSIONS: Version = 32;
/// Entries kept for peers and for naming the winner of a race.
const KEPT_ENTRIES: usize = 256;

/// Key of the log's row of a version.
#[must_use]
pub fn log_key(version: Version) -> Arc<str> {
    format!("{LOG_PREFIX}{version:016}").into()
}

/// Key of the row that tells a command's version.
#[must_use]
pub fn command_key(command: &str) -> Arc<str> {
    format!("config/command/{command}").into()
}

/// Value of the row [`HEAD_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: Version,
    /// Command that made it.
    pub command: CommandId,
}

/// Value of the row of one command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommandRow {
    /// Version that the command made.
    pub version: Version,
}

/// One accepted command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogEntry {
    /// Version that it made.
    pub version: Version,
    /// Command.
    pub command: CommandId,
    /// Who asked.
    pub operator: Arc<str>,
    /// Changes, in order.
    pub changes: Vec<Change>,
    /// Unix time of acceptance, in milliseconds.
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

/// What became of an entry that was offered for adoption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It is the next version and is now in force.
    Adopted,
    /// Its version, or a higher one, is in force already.
    AlreadyAdopted,
    /// Entries before it are missing.
    Gap,
    /// It does not fit the configuration before it, so it was not accepted by these rules.
    Rejected,
}

/// An instance's copy of the log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigLog {
    deployment: Arc<Deployment>,
    entries: VecDeque<LogEntry>,
}

impl ConfigLog {
    /// Version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.deployment.version
    }

    /// Configuration in force.
    #[must_use]
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Takes a whole configuration, only if its version is higher than the one in force.
    pub fn restore(&mut self, snapshot: Deployment) -> bool {
        if snapshot.version <= self.version() {
            return false;
        }
        self.deployment = Arc::new(snapshot);
        self.entries.clear();
        true
    }

    /// Takes the next entry; each version is adopted once and in order.
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
        if self.entries.len() > KEPT_ENTRIES {
            self.entries.pop_front();
        }
        Adoption::Adopted
    }

    /// Entries after a version, or nothing if some of them are no longer kept.
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

/// A change that does not fit, with its number in the submission, from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedChange {
    /// Number of the change.
    pub index: usize,
    /// Why it does not fit.
    pub error: ChangeError,
}

/// Applies all changes in order, or none.
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
