//! The store of the simulation, its restores from copies, and what the operator and the servers write there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sardineshore_core::flow::config::{Name, Route, RouteKind};
use sardineshore_core::flow::stream_versions::{BaseSplit, BaseVersion, StreamOrigin};

use crate::Ms;

pub const POOLS: [&str; 2] = ["engine", "other"];
/// Splits of the route that the operator configures.
pub const SPLITS: [&[(&str, u32)]; 4] = [
    &[("engine", 1)],
    &[("other", 1)],
    &[("engine", 1), ("other", 1)],
    &[("engine", 1), ("other", 4)],
];

/// Number of a stream's request, of its record, and of the instance that wrote it.
pub type RecordKey = (usize, u32, usize);

/// The route as the operator configures it.
pub fn route(split: usize) -> Route {
    let pools = SPLITS[split].iter();
    Route {
        name: "chat".into(),
        host: "h".into(),
        prefix: "/chat/".into(),
        kind: RouteKind::ResumableStream,
        pools: pools
            .map(|(pool, weight)| (Name::from(*pool), *weight))
            .collect(),
        ..Route::default()
    }
}

/// A row that instances write on condition that it has not changed.
#[derive(Debug, Clone, PartialEq)]
pub enum BaseRow {
    Version(BaseVersion),
    Split(BaseSplit),
    Life(Ms),
}

#[derive(Clone, Default)]
pub struct Rows {
    version: u64,
    /// Rows of base versions, the base split and the stated life, each with its version.
    pub bases: BTreeMap<Name, (BaseRow, u64)>,
    /// Origins that records name; `None` for those that only take the place of earlier ones.
    pub records: BTreeMap<RecordKey, Option<StreamOrigin>>,
    /// Numbers of the listed servers.
    pub servers: BTreeSet<usize>,
    /// Number of the configured split, and the longest time of an answer.
    pub split: usize,
    pub timeout: Ms,
}

impl Rows {
    pub fn base_version(&self, key: &str) -> u64 {
        self.bases.get(key).map_or(0, |(_, version)| *version)
    }
}

/// A change of a row on the condition that it and the stated life still have these versions.
pub struct BaseWrite {
    pub key: Name,
    pub row: BaseRow,
    pub expected: u64,
    pub expected_life: u64,
}

pub const LIFE_KEY: &str = "/stream-life";

#[derive(Default)]
pub struct Store {
    pub rows: Rows,
    pub era: u64,
    pub away_until: Ms,
    pub disrupted_at: Ms,
    /// Whether the disruption was a restore from a copy.
    pub copies: VecDeque<(Ms, Rows)>,
    pub late: Vec<(Ms, BaseWrite)>,
    /// Servers that were dropped from the list, in order.
    pub dropped: Vec<usize>,
    /// What the operator writes again after a restore, and when.
    pub rewritten: Option<(Ms, usize, Ms)>,
}

impl Store {
    pub fn write_base(&mut self, write: BaseWrite) {
        let is_expected = self.rows.base_version(&write.key) == write.expected
            && self.rows.base_version(LIFE_KEY) == write.expected_life;
        if is_expected {
            self.rows.version += 1;
            let row = (write.row, self.rows.version);
            self.rows.bases.insert(write.key, row);
        }
    }

    pub fn add_server(&mut self, server: usize) {
        self.rows.version += 1;
        self.rows.servers.insert(server);
    }

    pub fn drop_server(&mut self, server: usize) {
        if self.rows.servers.remove(&server) {
            self.rows.version += 1;
            self.dropped.push(server);
        }
    }

    pub fn put_record(&mut self, key: RecordKey, origin: Option<StreamOrigin>) {
        self.rows.version += 1;
        self.rows.records.insert(key, origin);
    }

    /// Replaces the rows by those of a copy. What the operator wrote since is written again at `rewritten_at`.
    pub fn restore(&mut self, copy: Rows, rewritten_at: Ms) {
        let Rows { split, timeout, .. } = self.rows;
        self.rewritten = Some((rewritten_at, split, timeout));
        self.era += 1;
        self.rows = copy;
        self.copies.clear();
    }
}
