//! What the platform holds, and the limits and lags of its services.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::PlatformSettings;
use super::bucket::Bucket;
use super::faults::PlatformFaults;
use super::listing::Listing;
use super::table::Table;
use crate::reply;

const MAX_SCAN: usize = 1000;

/// Calls served since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Writes of the table and of objects, also those whose answer was lost.
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub throttled: u64,
}

/// One service of the platform, as the faults and the rate limits tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    /// Writes of the table and of objects.
    Write,
    /// Reads of the table and of objects.
    Read,
    /// The instance list.
    List,
    /// The weight store.
    Weights,
    /// Faults, statistics and the demonstration's own calls; never hindered.
    Control,
}

/// All that the platform holds.
#[derive(Debug)]
pub(super) struct State {
    /// Time of the present call, taken under the lock so that it never goes back.
    pub(super) now: Instant,
    pub(super) table: Table,
    objects: HashMap<String, Vec<u8>>,
    late_objects: Vec<LateObject>,
    pub(super) listing: Listing,
    pub(super) faults: PlatformFaults,
    writes: Bucket,
    reads: Bucket,
    weights: Bucket,
    pub(super) stats: Stats,
}

#[derive(Debug)]
struct LateObject {
    due: Instant,
    name: String,
    body: Vec<u8>,
}

impl State {
    /// Holds nothing.
    pub fn new(settings: &PlatformSettings, now: Instant) -> Self {
        Self {
            now,
            table: Table::default(),
            objects: HashMap::new(),
            late_objects: Vec::new(),
            listing: Listing::new(settings.lag),
            faults: PlatformFaults::default(),
            writes: Bucket::new(settings.writes_per_second, now),
            reads: Bucket::new(settings.reads_per_second, now),
            weights: Bucket::new(settings.weights_per_second, now),
            stats: Stats::default(),
        }
    }

    /// Writes an object, at once or when it is due.
    pub fn put_object(&mut self, name: String, body: Vec<u8>, delay: Duration) {
        if delay.is_zero() {
            self.objects.insert(name, body);
            return;
        }
        let due = self.now + delay;
        self.late_objects.push(LateObject { due, name, body });
    }

    /// Starts a call: applies and shows what is due.
    pub fn settle(&mut self, now: Instant) {
        self.now = now;
        self.table.settle(now);
        self.listing.settle(now);
        let objects = std::mem::take(&mut self.late_objects);
        for late in objects {
            if late.due <= now {
                self.objects.insert(late.name, late.body);
            } else {
                self.late_objects.push(late);
            }
        }
    }

    /// Counts a call; false if it exceeds its rate limit.
    pub fn admit(&mut self, service: Service) -> bool {
        let now = self.now;
        let admitted = match service {
            Service::Write => self.writes.take(now),
            Service::Read => self.reads.take(now),
            Service::Weights => self.weights.take(now),
            Service::List | Service::Control => true,
        };
        match (service, admitted) {
            (_, false) => self.stats.throttled += 1,
            (Service::Write, true) => self.stats.writes += 1,
            (Service::Read, true) => self.stats.reads += 1,
            _ => {}
        }
        admitted
    }

    /// Answers a read of the table or of an object.
    pub fn read(&self, path: &str, req: &Request) -> Response {
        let now = self.now;
        let at = now
            .checked_sub(Duration::from_millis(self.faults.stale_head))
            .unwrap_or(now);
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return match self.objects.get(name) {
                Some(body) => {
                    let mut res = reply::empty(StatusCode::Ok);
                    res.set_body(body.clone());
                    res
                }
                None => reply::empty(StatusCode::NotFound),
            };
        }
        if path == "/v1/row" {
            return match self.table.read(&reply::query(req, "key"), at) {
                Some(row) => reply::json(&row),
                None => reply::empty(StatusCode::NotFound),
            };
        }
        let limit = reply::query(req, "limit").parse().unwrap_or(MAX_SCAN);
        let prefix = reply::query(req, "prefix");
        let after = reply::query(req, "after");
        reply::json(&self.table.scan(&prefix, &after, limit.min(MAX_SCAN), at))
    }
}
