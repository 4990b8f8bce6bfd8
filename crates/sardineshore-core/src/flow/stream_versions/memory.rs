//! The streams that an instance remembers.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::StreamLife;
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
    /// For how long it may be taken up, as its latest request states.
    pub life: StreamLife,
    /// When it can't be taken up any more.
    pub(super) expires_at: Instant,
    /// Whether it has ended, so that it needs no record.
    pub(super) has_ended: bool,
    /// Key of its route, once its first event has made the origin certain.
    pub(super) begun_on: Option<Name>,
    /// Whether other instances are told of it.
    pub(super) is_copied: bool,
}

/// What one instance tells others about a stream that has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCopy {
    /// Id of the stream.
    pub id: Name,
    /// Where it began.
    pub origin: StreamOrigin,
    /// For how long it may be taken up from now on.
    pub life: StreamLife,
}

impl KnownStream {
    pub(super) fn copy(&self, id: &Name) -> StreamCopy {
        StreamCopy {
            id: id.clone(),
            origin: self.origin.clone(),
            life: self.life,
        }
    }

    /// Whether the stream is remembered for as long as a caller needs that takes it up now.
    #[must_use]
    pub fn lasts_for(&self, life: StreamLife, now: Instant) -> bool {
        self.expires_at >= now + life.retention()
    }
}

/// Streams by their ids, until they can't be taken up any more.
#[derive(Debug, Default)]
pub(super) struct StreamMemory {
    streams: HashMap<Name, KnownStream>,
    /// Times at which they expire.
    expiries: BTreeSet<(Instant, Name)>,
}

impl StreamMemory {
    pub(super) fn get(&self, id: &str) -> Option<&KnownStream> {
        self.streams.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &KnownStream)> {
        self.streams.iter()
    }

    /// Remembers a stream, not for a shorter time than before, and forgets those that have expired.
    pub(super) fn insert(
        &mut self,
        id: &Name,
        origin: StreamOrigin,
        record: u32,
        life: StreamLife,
        now: Instant,
    ) {
        while let Some((at, _)) = self.expiries.first()
            && *at < now
        {
            if let Some((_, expired)) = self.expiries.pop_first() {
                self.streams.remove(&expired);
            }
        }
        let mut expires_at = now + life.retention();
        let mut has_misleading_records = false;
        let (mut begun_on, mut is_copied) = (None, false);
        if let Some(earlier) = self.streams.remove(id) {
            self.expiries.remove(&(earlier.expires_at, id.clone()));
            expires_at = expires_at.max(earlier.expires_at);
            has_misleading_records = earlier.has_misleading_records || earlier.origin != origin;
            (begun_on, is_copied) = (earlier.begun_on, earlier.is_copied);
        }
        let stream = KnownStream {
            origin,
            record,
            has_misleading_records,
            life,
            expires_at,
            has_ended: false,
            begun_on,
            is_copied,
        };
        self.streams.insert(id.clone(), stream);
        self.expiries.insert((expires_at, id.clone()));
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut KnownStream> {
        self.streams.get_mut(id)
    }

    /// Records that a stream has ended, or that none has begun.
    pub(super) fn record_end(&mut self, id: &str) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.has_ended = true;
        }
    }
}
