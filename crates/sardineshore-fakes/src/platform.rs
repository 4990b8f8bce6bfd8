//! Stand-in of the platform: table, objects, instance list and weight store.
//!
//! Beside the published protocol of [`sardineshore_wire::platform`] it serves `PUT /v1/instances`
//! (replaces the whole list), `GET /v1/weights/NAME`, `POST /v1/faults` ([`faults`]) and
//! `GET /v1/stats` ([`Stats`]). A transaction or an object counts as one call of the rate limits.

pub mod bucket;
pub mod faults;
pub mod listing;
mod state;
pub mod table;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use sardineshore_core::{Clock, Txn};
use sardineshore_wire::platform::Listed;

use self::faults::{PlatformFaults, WriteFate};
pub use self::state::Stats;
use self::state::{Service, State};
use crate::dice::Dice;
use crate::reply;
use crate::serve::{Handler, Served};

const CUT_POLL: Duration = Duration::from_millis(20);
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

/// The platform's stand-in.
#[derive(Debug)]
pub struct Platform {
    clock: Arc<dyn Clock>,
    dice: Dice,
    state: Mutex<State>,
}

impl Platform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(settings: &PlatformSettings, clock: Arc<dyn Clock>) -> Self {
        let state = State::new(settings, clock.now());
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

    /// Replaces the instance list; readers see it after the lag.
    pub fn replace_instances(&self, list: Vec<Listed>) {
        let mut state = self.state();
        let now = state.now;
        state.listing.replace(list, now);
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
        match state.faults.write_fate(&self.dice) {
            WriteFate::Confirmed => {
                state.put_object(name, body, Duration::ZERO);
                reply::empty(StatusCode::Ok).into()
            }
            WriteFate::Unconfirmed => {
                state.put_object(name, body, Duration::ZERO);
                Served::Close
            }
            WriteFate::Late(delay) => {
                state.put_object(name, body, delay);
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
                    self.replace_instances(list);
                    reply::empty(StatusCode::Ok)
                }
                Err(res) => res,
            },
            _ => reply::empty(StatusCode::NotFound),
        }
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
