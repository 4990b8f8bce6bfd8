//! Which software versions the servers of a pool have had.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::flow::config::Name;

/// Listed servers of one version.
#[derive(Debug)]
pub(super) struct Listed {
    pub(super) count: usize,
    /// Since when there has been one at least.
    pub(super) since: Instant,
}

/// Software versions of the servers of one pool.
#[derive(Debug)]
pub(super) struct PoolVersions {
    /// Listed servers of each version; `None` for those that name none.
    pub(super) listed: BTreeMap<Option<Name>, Listed>,
    /// When the last server of a version was dropped from the list.
    pub(super) gone_at: HashMap<Option<Name>, Instant>,
    /// Time from which on no server can have been listed unseen.
    pub(super) seen_since: Instant,
    /// Time from which on no server can have begun a stream unseen whose record isn't in the store. Not
    /// later than `seen_since`.
    pub(super) followed_since: Instant,
}

impl PoolVersions {
    /// The version that most servers have.
    pub(super) fn most_common(&self) -> Option<&Name> {
        let named = self.listed.iter();
        let named = named.filter_map(|(version, listed)| Some((version.as_ref()?, listed.count)));
        let (version, _) = named.max_by_key(|(_, count)| *count)?;
        Some(version)
    }

    /// The version that all listed servers have.
    pub(super) fn only_listed(&self) -> Option<&Name> {
        let mut versions = self.listed.keys();
        let version = versions.next().filter(|_| versions.next().is_none())?;
        version.as_ref()
    }

    /// Since when servers of a version have been listed; `None` if none is.
    pub(super) fn listed_since(&self, version: &Name) -> Option<Instant> {
        let listed = self.listed.get(&Some(version.clone()))?;
        Some(listed.since.max(self.seen_since))
    }

    /// Since when no server of a version has been listed; `None` if one is.
    pub(super) fn absent_since(&self, version: &Name) -> Option<Instant> {
        let version = Some(version.clone());
        if self.listed.contains_key(&version) {
            return None;
        }
        let gone_at = self.gone_at.get(&version).copied();
        Some(gone_at.map_or(self.seen_since, |at| at.max(self.seen_since)))
    }
}
