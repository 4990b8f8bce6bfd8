//! Stand-in of the platform: table, objects, instance list and weight store.
//!
//! Beside the published protocol of [`sardineshore_wire::platform`] it serves `PUT /v1/instances`
//! (replaces the whole list), `GET /v1/weights/NAME`, `POST /v1/faults` ([`faults`]) and
//! `GET /v1/stats` ([`Stats`]). A transaction or an object counts as one call of the rate limits.

pub mod bucket;
pub mod faults;
pub mod listing;
pub mod table;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use sardineshore_core::{Clock, Txn};
use sardineshore_wire::platform::Listed;
use serde::{Deserialize, Serialize};

use self::bucket::Bucket;
use self::faults::{PlatformFaults, WriteFate};
use self::listing::Listing;
use self::table::Table;
use crate::dice::Dice;
use crate::reply;
use crate::serve::{Handler, Served};

const CUT_POLL: Duration = Duration::from_millis(20);
const MAX_SCAN: usize = 1000;
const WEIGHT_BYTES: usize = 64 * 1024;

/// Settings of the platform's stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Writes per second.
    pub writes_per_second: f64,
    /// Reads per second.
    pub reads_per_second: f64,
    /// Reads of weights per second.
    pub weights_per_second: f64,
    /// Time until a new instance list is seen.
    pub lag: Duration,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
            weights_per_second: 20.0,
            lag: Duration::from_secs(1),
            seed: 1,
        }
    }
}

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

/// The platform's stand-in.
#[derive(Debug)]
pub struct Platform {
    clock: Arc<dyn Clock>,
    dice: Dice,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Time of the present call, taken under the lock so that it never goes back.
    now: Instant,
    table: Table,
    objects: HashMap<String, Vec<u8>>,
    late_objects: Vec<LateObject>,
    listing: Listing,
    faults: PlatformFaults,
    writes: Bucket,
    reads: Bucket,
    weights: Bucket,
    stats: Stats,
}

#[derive(Debug)]
struct LateObject {
    due: Instant,
    name: String,
    body: Vec<u8>,
}

/// One service of the platform, as the faults and the rate limits tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Service {
    Write,
    Read,
    List,
    Weights,
    Control,
}

impl Platform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(settings: &PlatformSettings, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = State {
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
        };
        Self {
            clock,
            dice: Dice::new(settings.seed),
            state: Mutex::new(state),
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    /// Calls served since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("platform lock poisoned");
        state.settle(self.clock.now());
        state
    }

    /// Delays or refuses a call as the faults say; `None` lets it pass.
    async fn hinder(&self) -> Option<Served> {
        let delay = Duration::from_millis(self.state().faults.delay_ms);
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        match self.state().faults.outage {
            None => return None,
            Some(outage) if !outage.cut => {
                return Some(reply::empty(StatusCode::ServiceUnavailable).into());
            }
            Some(_) => {}
        }
        while self.is_cut() {
            task::sleep(CUT_POLL).await;
        }
        Some(Served::Close)
    }

    fn is_cut(&self) -> bool {
        self.state().faults.outage.is_some_and(|outage| outage.cut)
    }

    async fn commit(&self, mut req: Request) -> Served {
        let txn: Txn = match reply::parse(&mut req).await {
            Ok(txn) => txn,
            Err(res) => return res.into(),
        };
        let mut state = self.state();
        let now = state.now;
        match state.faults.write_fate(&self.dice) {
            WriteFate::Confirmed => reply::json(&state.table.commit(&txn, now)).into(),
            WriteFate::Unconfirmed => {
                state.table.commit(&txn, now);
                Served::Close
            }
            WriteFate::Late(delay) => {
                state.table.commit_late(txn, now + delay);
                Served::Close
            }
        }
    }

    async fn put_object(&self, name: String, mut req: Request) -> Served {
        let Ok(body) = req.body_bytes().await else {
            return Served::Close;
        };
        let mut state = self.state();
        let now = state.now;
        match state.faults.write_fate(&self.dice) {
            WriteFate::Confirmed => {
                state.objects.insert(name, body);
                reply::empty(StatusCode::Ok).into()
            }
            WriteFate::Unconfirmed => {
                state.objects.insert(name, body);
                Served::Close
            }
            WriteFate::Late(delay) => {
                let due = now + delay;
                state.late_objects.push(LateObject { due, name, body });
                Served::Close
            }
        }
    }

    async fn control(&self, method: Method, path: &str, mut req: Request) -> Response {
        match (method, path) {
            (Method::Get, "/v1/stats") => reply::json(&self.stats()),
            (Method::Post, "/v1/faults") => match reply::parse(&mut req).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    reply::empty(StatusCode::Ok)
                }
                Err(res) => res,
            },
            (Method::Put, "/v1/instances") => match reply::parse::<Vec<Listed>>(&mut req).await {
                Ok(list) => {
                    let mut state = self.state();
                    let now = state.now;
                    state.listing.replace(list, now);
                    reply::empty(StatusCode::Ok)
                }
                Err(res) => res,
            },
            _ => reply::empty(StatusCode::NotFound),
        }
    }
}

impl State {
    fn settle(&mut self, now: Instant) {
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
    fn admit(&mut self, service: Service) -> bool {
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

    fn read(&self, path: &str, req: &Request) -> Response {
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

#[async_trait]
impl Handler for Platform {
    async fn handle(self: Arc<Self>, req: Request) -> Served {
        let (method, path) = reply::route(&req);
        let Some(service) = service(method, &path) else {
            return reply::empty(StatusCode::NotFound).into();
        };
        if service == Service::Control {
            return self.control(method, &path, req).await.into();
        }
        if let Some(hindered) = self.hinder().await {
            return hindered;
        }
        if !self.state().admit(service) {
            return reply::empty(StatusCode::TooManyRequests).into();
        }
        match service {
            Service::Write if path == "/v1/txn" => self.commit(req).await,
            Service::Write => {
                let name = path.trim_start_matches("/v1/objects/").to_owned();
                self.put_object(name, req).await
            }
            Service::List => reply::json(&self.state().listing.served()).into(),
            Service::Weights => {
                let mut res = reply::empty(StatusCode::Ok);
                res.set_body(vec![0_u8; WEIGHT_BYTES]);
                res.into()
            }
            Service::Read | Service::Control => self.state().read(&path, &req).into(),
        }
    }
}

fn service(method: Method, path: &str) -> Option<Service> {
    let object = path.starts_with("/v1/objects/");
    match (method, path) {
        (Method::Post, "/v1/txn") => Some(Service::Write),
        (Method::Put, _) if object => Some(Service::Write),
        (Method::Get, "/v1/row" | "/v1/rows") => Some(Service::Read),
        (Method::Get, _) if object => Some(Service::Read),
        (Method::Get, "/v1/instances") => Some(Service::List),
        (Method::Get, _) if path.starts_with("/v1/weights/") => Some(Service::Weights),
        (Method::Get, "/v1/stats")
        | (Method::Post, "/v1/faults")
        | (Method::Put, "/v1/instances") => Some(Service::Control),
        _ => None,
    }
}
