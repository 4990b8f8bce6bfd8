//! An instance of the simulation: what it knows and what it has to write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::{
    StreamCopy, StreamLife, StreamOrigin, StreamVersions,
};

use crate::store::{BaseRow, RecordKey};
use crate::{BASE_CHECK_INTERVAL, Ms};

/// A record that is to be written.
pub struct QueuedRecord {
    pub stream: usize,
    pub number: u32,
    pub origin: Option<StreamOrigin>,
    pub life: StreamLife,
    /// It is not written before this time.
    pub due_at: Ms,
}

pub struct Instance {
    pub known: StreamVersions,
    pub frozen_until: Ms,
    pub cut_until: Ms,
    /// When the configuration was last confirmed.
    pub confirmed_at: Option<Ms>,
    /// When the list was last read; the instance doesn't tell the time while it is frozen.
    pub listed_at: Option<Ms>,
    /// Since when it knows the present era of the store.
    pub era_since: Ms,
    /// Versions of the base rows that it has read.
    pub base_rows: BTreeMap<Name, u64>,
    /// Era in which they were read last.
    pub base_era: Option<u64>,
    pub list: BTreeSet<usize>,
    pub seen: BTreeSet<usize>,
    /// Era in which the list was read last.
    pub list_era: Option<u64>,
    pub dropped_seen: usize,
    /// Number of the configured split, and the longest time of an answer.
    pub config: Option<(usize, Ms)>,
    pub queue: Vec<QueuedRecord>,
    /// Records in the store, and when they are removed.
    pub written: Vec<(Ms, RecordKey)>,
    pub copies: Vec<StreamCopy>,
    /// Number of starts of each other instance at which it got all copies.
    pub told: BTreeMap<usize, u32>,
    pub starts: u32,
    pub checks_base_at: Ms,
}

impl Instance {
    pub fn start(is_first_start: bool, starts: u32, now: Ms) -> Self {
        Self {
            known: StreamVersions::new(is_first_start),
            frozen_until: 0,
            cut_until: 0,
            confirmed_at: None,
            listed_at: None,
            era_since: 0,
            base_rows: BTreeMap::new(),
            base_era: None,
            list: BTreeSet::new(),
            seen: BTreeSet::new(),
            list_era: None,
            dropped_seen: 0,
            config: None,
            queue: Vec::new(),
            written: Vec::new(),
            copies: Vec::new(),
            told: BTreeMap::new(),
            starts,
            checks_base_at: now + BASE_CHECK_INTERVAL,
        }
    }

    /// Applies a row with a base version, base split or stated life; `None` if there is none.
    pub fn apply_base(&mut self, key: &Name, row: Option<&BaseRow>, now: Instant) {
        let Some(pool) = crate::store::POOLS.iter().find(|pool| **pool == &**key) else {
            match row {
                Some(BaseRow::Life(life)) => {
                    let life = Duration::from_millis(*life);
                    self.known.life_mut().set_row(Some(life));
                }
                Some(BaseRow::Split(split)) => {
                    self.known.set_base_split(key, Some(split.clone()), now);
                }
                _ if **key == *crate::store::LIFE_KEY => self.known.life_mut().set_row(None),
                _ => self.known.set_base_split(key, None, now),
            }
            return;
        };
        let base = row.and_then(|row| match row {
            BaseRow::Version(base) => Some(base.clone()),
            _ => None,
        });
        self.known.set_base(&Name::from(*pool), base, now);
    }
}
