//! When a store that may have been restored from a copy confirms the configuration.
//!
//! A copy lacks what was written since, a configuration that took a key away included. The operators write
//! that again within the settle time. Until then the store's responses confirm nothing.
//!
//! Each restore begins a new era of the store. An instance that starts can't have seen a restore, so one row
//! of the store names its *settled era*: the latest one that an instance has known for the settle time. A copy
//! can hold only rows that name earlier eras, and a write that is performed late names the era for which it
//! was right. Without a row that names the present era, an instance waits for the settle time itself.
//!
//! ```
//! use std::time::Duration;
//!
//! use sardineshore_core::flow::replica::StoreVersion;
//! use sardineshore_core::flow::store_era::{SETTLE_TIME, SettledEra, StoreEra};
//!
//! let at = |number| StoreVersion { era: 3, number };
//! let now = Duration::from_secs(100);
//! let mut store = StoreEra::new(false);
//! store.record_era(3, now);
//! assert!(!store.confirms(at(40), now));
//! assert!(store.confirms(at(40), now + SETTLE_TIME));
//! store.record_settled(Some(SettledEra { era: 3, written: at(25) }));
//! assert!(store.confirms(at(40), now));
//! ```

use std::time::Duration;

use super::replica::StoreVersion;

/// Time after which a restored store holds again what operators, servers and instances wrote.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of instances that may write the settled era.
const WRITERS: u32 = 3;

/// The row that names the settled era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledEra {
    /// The settled era.
    pub era: u64,
    /// Version of the store with this row.
    pub written: StoreVersion,
}

/// What an instance knows about the era of the store. All times must come from one clock that also runs
/// while the machine is suspended.
#[derive(Debug, Default)]
pub struct StoreEra {
    /// Whether the whole system starts for the first time, so that the store can't have been restored.
    is_first_start: bool,
    /// Whether the store had no row of this instance at its start.
    was_unlisted: bool,
    /// Era of the store, and since when it is known; `None` before the first response.
    era: Option<(u64, Duration)>,
    /// The row, as it was read last.
    settled: Option<SettledEra>,
    /// Version from which on the store has a configuration that was written in this era.
    config_written: Option<StoreVersion>,
}

impl StoreEra {
    /// What an instance knows at its start; `is_first_start` is what its settings tell of the whole system. It
    /// counts only if the store's rows agree.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Records the era of a response that was received at `now`.
    pub fn record_era(&mut self, era: u64, now: Duration) {
        if self.era.is_some_and(|(known, _)| era <= known) {
            return;
        }
        self.is_first_start &= self.era.is_none();
        self.era = Some((era, now));
        self.config_written = None;
    }

    /// Records the row that names the settled era, as the store has it; `None` if it has none.
    pub fn record_settled(&mut self, settled: Option<SettledEra>) {
        self.settled = settled;
        let era = self.era.map(|(era, _)| era);
        if settled.is_some_and(|settled| Some(settled.era) != era) {
            self.is_first_start = false;
        }
    }

    /// Records the first list of instances: one that is listed has run before.
    pub fn record_first_list(&mut self, is_listed: bool) {
        self.is_first_start &= !is_listed;
        self.was_unlisted = !is_listed;
    }

    /// Records that rows of an earlier era were read: the system doesn't start for the first time.
    pub fn record_old_rows(&mut self) {
        self.is_first_start = false;
    }

    /// Records that the store has a configuration which was written after the restore that began the era of
    /// `version`.
    pub fn record_config_written(&mut self, version: StoreVersion) {
        if self.era.is_some_and(|(era, _)| era == version.era) && self.config_written.is_none() {
            self.config_written = Some(version);
        }
    }

    /// Whether a response confirms the configuration. `version` is that of the store in the response, and
    /// `produced` a time at which the store had not yet produced it, or was just doing so.
    #[must_use]
    pub fn confirms(&self, version: StoreVersion, produced: Duration) -> bool {
        let Some((era, since)) = self.era.filter(|(era, _)| *era == version.era) else {
            return false;
        };
        // A response from before the row was written may lack what was written again.
        let settled = self.settled.filter(|settled| settled.era == era);
        (self.is_first_start && self.was_unlisted)
            || settled.is_some_and(|settled| settled.written <= version)
            || self.config_written.is_some_and(|at| at <= version)
            || produced >= since + SETTLE_TIME
    }

    /// When the store's responses confirm the configuration at the latest; `None` if they may do so now, or
    /// nothing is known of the store.
    #[must_use]
    pub fn settles_at(&self, now: Duration) -> Option<Duration> {
        let (era, since) = self.era?;
        let newest = StoreVersion {
            era,
            number: u64::MAX,
        };
        (!self.confirms(newest, now)).then_some(since + SETTLE_TIME)
    }

    /// The era that this instance has to write as the settled one; `None` if the store names it or another
    /// instance should write it. `rank` is the position of this instance in an order that all instances
    /// agree upon. The value stays right however late it is written.
    #[must_use]
    pub fn settled_change(&self, rank: u32, now: Duration) -> Option<u64> {
        let (era, since) = self.era?;
        let is_named = self.settled.is_some_and(|settled| settled.era >= era);
        let is_due = rank < WRITERS && now >= since + SETTLE_TIME * (rank + 1);
        (is_due && !is_named).then_some(era)
    }
}
