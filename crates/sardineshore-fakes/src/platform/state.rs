//! State of the fake platform: stored data, active faults and rate limiters of its services.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::PlatformSettings;
use super::faults::PlatformFaults;
use super::instance_list::LaggingList;
use super::table::Table;
use super::token_bucket::TokenBucket;
use crate::http;

/// Maximum number of rows that one scan returns.
const MAX_SCAN_ROWS: usize = 1000;

/// Numbers of calls since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Writes of the table and of objects, including those whose response was lost.
    pub writes: u64,
    /// Calls rejected by the rate limiters.
    pub throttled: u64,
}

/// Kinds of calls that faults and rate limits distinguish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    /// Writes of the table and of objects.
    Write,
    /// Reads of the table and of objects.
    Read,
    /// Reads of the instance list.
    List,
    /// Reads of model weights.
    Weights,
    /// Calls that control the fake: faults, statistics and a new instance list. They have no rate
    /// limit and no injected faults.
    Control,
}

/// State behind the lock of the platform.
#[derive(Debug)]
pub(super) struct State {
    /// Time of the current call, taken under the lock so that it never goes back.
    pub(super) now: Instant,
    pub(super) table: Table,
    objects: HashMap<String, Vec<u8>>,
    delayed_objects: Vec<DelayedObject>,
    pub(super) instance_list: LaggingList,
    pub(super) faults: PlatformFaults,
    writes: TokenBucket,
    reads: TokenBucket,
    weights: TokenBucket,
    pub(super) stats: Stats,
}

#[derive(Debug)]
struct DelayedObject {
    due: Instant,
    name: String,
    body: Vec<u8>,
}

impl State {
    /// Creates an empty state with full token buckets.
    pub fn new(settings: &PlatformSettings, now: Instant) -> Self {
        Self {
            now,
            table: Table::default(),
            objects: HashMap::new(),
            delayed_objects: Vec::new(),
            instance_list: LaggingList::new(settings.lag),
            faults: PlatformFaults::default(),
            writes: TokenBucket::new(settings.writes_per_second, now),
            reads: TokenBucket::new(settings.reads_per_second, now),
            weights: TokenBucket::new(settings.weights_per_second, now),
            stats: Stats::default(),
        }
    }

    /// Writes an object, immediately or after `delay`.
    pub fn put_object(&mut self, name: String, body: Vec<u8>, delay: Duration) {
        if delay.is_zero() {
            self.objects.insert(name, body);
            return;
        }
        let due = self.now + delay;
        self.delayed_objects.push(DelayedObject { due, name, body });
    }

    /// Starts a call: applies the scheduled writes that are due and publishes due instance lists.
    pub fn apply_due(&mut self, now: Instant) {
        self.now = now;
        self.table.apply_due(now);
        self.instance_list.apply_due(now);
        let objects = std::mem::take(&mut self.delayed_objects);
        for delayed in objects {
            if delayed.due <= now {
                self.objects.insert(delayed.name, delayed.body);
            } else {
                self.delayed_objects.push(delayed);
            }
        }
    }

    /// Counts a call; returns `false` if it exceeds its rate limit.
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

    /// Handles a read of the table or of an object.
    pub fn read(&self, path: &str, req: &Request) -> Response {
        let now = self.now;
        let as_of = now
            .checked_sub(Duration::from_millis(self.faults.stale_head))
            .unwrap_or(now);
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return match self.objects.get(name) {
                Some(body) => {
                    let mut res = http::empty(StatusCode::Ok);
                    res.set_body(body.clone());
                    res
                }
                None => http::empty(StatusCode::NotFound),
            };
        }
        if path == "/v1/row" {
            return match self.table.read(&http::query(req, "key"), as_of) {
                Some(row) => http::json(&row),
                None => http::empty(StatusCode::NotFound),
            };
        }
        let limit = http::query(req, "limit").parse().unwrap_or(MAX_SCAN_ROWS);
        let prefix = http::query(req, "prefix");
        let after = http::query(req, "after");
        http::json(
            &self
                .table
                .scan(&prefix, &after, limit.min(MAX_SCAN_ROWS), as_of),
        )
    }
}
