//! Fake platform: table, object store, instance list and weight store.
//!
//! Besides the published protocol of [`sardineshore_wire::platform`] it serves `PUT /v1/instances`
//! (replaces the whole list), `GET /v1/weights/NAME`, `POST /v1/faults` ([`faults`]) and
//! `GET /v1/stats` ([`Stats`]). The rate limits count a transaction or
//! an object as one call.

pub mod faults;
pub mod instance_list;
mod state;
pub mod table;
pub mod token_bucket;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use sardineshore_core::{Clock, Txn};
use sardineshore_wire::platform::ListedProcess;

use self::faults::{PlatformFaults, WriteOutcome};
pub use self::state::Stats;
use self::state::{Service, State};
use crate::fault_rng::FaultRng;
use crate::http;
use crate::serve::{Handler, HandlerOutcome};

/// Time between checks whether an outage that leaves calls hanging has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the body that stands for model weights.
const WEIGHT_BYTES: usize = 64 * 1024;

/// Settings of the fake platform.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Rate limit for writes of the table and of objects, in calls per second.
    pub writes_per_second: f64,
    /// Rate limit for reads of the table and of objects, in calls per second.
    pub reads_per_second: f64,
    /// Rate limit for reads of model weights, in calls per second.
    pub weights_per_second: f64,
    /// Time until readers see a new instance list.
    pub lag: Duration,
    /// Seed of the random fault decisions.
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

/// The fake platform; its state is in memory and lost when the process ends.
#[derive(Debug)]
pub struct Platform {
    clock: Arc<dyn Clock>,
    fault_rng: FaultRng,
    state: Mutex<State>,
}

impl Platform {
    /// Creates a platform with an empty table, no objects and an empty instance list.
    #[must_use]
    pub fn new(settings: &PlatformSettings, clock: Arc<dyn Clock>) -> Self {
        let state = State::new(settings, clock.now());
        Self {
            clock,
            fault_rng: FaultRng::new(settings.seed),
            state: Mutex::new(state),
        }
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    /// Replaces the instance list; readers see it after the lag.
    pub fn replace_instances(&self, list: Vec<ListedProcess>) {
        let mut state = self.state();
        let now = state.now;
        state.instance_list.replace(list, now);
    }

    /// Counts the calls since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("platform lock poisoned");
        state.apply_due(self.clock.now());
        state
    }

    /// Applies the active delay and outage to a call; `None` if the call proceeds.
    async fn inject_faults(&self) -> Option<HandlerOutcome> {
        let delay = Duration::from_millis(self.state().faults.delay_ms);
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        match self.state().faults.outage {
            None => return None,
            Some(outage) if !outage.cut => {
                return Some(http::empty(StatusCode::ServiceUnavailable).into());
            }
            Some(_) => {}
        }
        while self.leaves_calls_hanging() {
            task::sleep(CUT_POLL_INTERVAL).await;
        }
        Some(HandlerOutcome::Close)
    }

    fn leaves_calls_hanging(&self) -> bool {
        self.state().faults.outage.is_some_and(|outage| outage.cut)
    }

    async fn commit(&self, mut req: Request) -> HandlerOutcome {
        let txn: Txn = match http::parse(&mut req).await {
            Ok(txn) => txn,
            Err(res) => return res.into(),
        };
        let mut state = self.state();
        let now = state.now;
        match state.faults.draw_write_outcome(&self.fault_rng) {
            WriteOutcome::Confirmed => http::json(&state.table.commit(&txn, now)).into(),
            WriteOutcome::Unconfirmed => {
                state.table.commit(&txn, now);
                HandlerOutcome::Close
            }
            WriteOutcome::Late(delay) => {
                state.table.schedule(txn, now + delay);
                HandlerOutcome::Close
            }
        }
    }

    async fn put_object(&self, name: String, mut req: Request) -> HandlerOutcome {
        let Ok(body) = req.body_bytes().await else {
            return HandlerOutcome::Close;
        };
        let mut state = self.state();
        match state.faults.draw_write_outcome(&self.fault_rng) {
            WriteOutcome::Confirmed => {
                state.put_object(name, body, Duration::ZERO);
                http::empty(StatusCode::Ok).into()
            }
            WriteOutcome::Unconfirmed => {
                state.put_object(name, body, Duration::ZERO);
                HandlerOutcome::Close
            }
            WriteOutcome::Late(delay) => {
                state.put_object(name, body, delay);
                HandlerOutcome::Close
            }
        }
    }

    async fn control(&self, method: Method, path: &str, mut req: Request) -> Response {
        match (method, path) {
            (Method::Get, "/v1/stats") => http::json(&self.stats()),
            (Method::Post, "/v1/faults") => match http::parse(&mut req).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    http::empty(StatusCode::Ok)
                }
                Err(res) => res,
            },
            (Method::Put, "/v1/instances") => {
                match http::parse::<Vec<ListedProcess>>(&mut req).await {
                    Ok(list) => {
                        self.replace_instances(list);
                        http::empty(StatusCode::Ok)
                    }
                    Err(res) => res,
                }
            }
            _ => http::empty(StatusCode::NotFound),
        }
    }
}

#[async_trait]
impl Handler for Platform {
    async fn handle(self: Arc<Self>, req: Request) -> HandlerOutcome {
        let (method, path) = http::route(&req);
        let Some(service) = service(method, &path) else {
            return http::empty(StatusCode::NotFound).into();
        };
        if service == Service::Control {
            return self.control(method, &path, req).await.into();
        }
        if let Some(injected) = self.inject_faults().await {
            return injected;
        }
        if !self.state().admit(service) {
            return http::empty(StatusCode::TooManyRequests).into();
        }
        match service {
            Service::Write if path == "/v1/txn" => self.commit(req).await,
            Service::Write => {
                let name = path.trim_start_matches("/v1/objects/").to_owned();
                self.put_object(name, req).await
            }
            Service::List => http::json(&self.state().instance_list.visible()).into(),
            Service::Weights => {
                let mut res = http::empty(StatusCode::Ok);
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
