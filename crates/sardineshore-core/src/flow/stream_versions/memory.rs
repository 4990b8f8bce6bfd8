//! The streams that an instance remembers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::flow::config::Name;

/// The servers at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Their pool.
    pub pool: Name,
    /// Their software version; `None` if the server named none. Versions of different pools have nothing in
    /// common.
    pub version: Option<Name>,
}

/// A stream whose origin an instance remembers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownStream {
    /// Where it began.
    pub origin: StreamOrigin,
    /// Number of its record, if it has one; the highest one counts.
    pub record: u32,
    /// Whether records with lower numbers may name other origins.
    pub(super) has_misleading_records: bool,
    /// When it was remembered.
    pub(super) at: Instant,
    /// Whether it has ended, so that it needs no record.
    pub(super) has_ended: bool,
}

/// Streams by their ids, until they can't be taken up any more.
#[derive(Debug, Default)]
pub(super) struct StreamMemory {
    streams: HashMap<Name, KnownStream>,
    /// Ids of the streams in the order in which they were remembered, some more than once.
    by_age: VecDeque<(Instant, Name)>,
}

impl StreamMemory {
    pub(super) fn get(&self, id: &str) -> Option<&KnownStream> {
        self.streams.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &KnownStream)> {
        self.streams.iter()
    }

    /// Remembers a stream, and forgets those that were remembered more than `lifetime` ago.
    pub(super) fn insert(
        &mut self,
        id: &Name,
        origin: StreamOrigin,
        record: u32,
        lifetime: Duration,
        now: Instant,
    ) {
        while let Some((at, _)) = self.by_age.front()
            && now.saturating_duration_since(*at) > lifetime
        {
            let at = *at;
            if let Some((_, old)) = self.by_age.pop_front()
                && self.streams.get(&old).is_some_and(|latest| latest.at == at)
            {
                self.streams.remove(&old);
            }
        }
        let has_misleading_records = self
            .streams
            .get(id)
            .is_some_and(|earlier| earlier.has_misleading_records || earlier.origin != origin);
        let stream = KnownStream {
            origin,
            record,
            has_misleading_records,
            at: now,
            has_ended: false,
        };
        self.streams.insert(id.clone(), stream);
        self.by_age.push_back((now, id.clone()));
    }

    /// Records that a stream has ended, or that none has begun.
    pub(super) fn record_end(&mut self, id: &str) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.has_ended = true;
        }
    }
}
