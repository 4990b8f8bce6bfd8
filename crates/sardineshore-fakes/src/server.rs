//! Fake backend server: a model engine, a member of a stage pool or a plain service.
//!
//! It speaks the protocol of [`sardineshore_wire::backend`] and writes an execution log, from
//! which audits learn what really ran. A run identifier that arrives twice runs twice, unless a
//! status query sealed it: deduplicating here would hide a duplicate dispatch by the caller. The
//! input `"poison": true` crashes the process. `GET /v1/orders` lists the orders that an engine has
//! completed, and `POST /v1/faults` sets the injected faults ([`faults::ServerFaults`]).

pub mod attempt;
pub mod cancel;
pub mod engine;
pub mod faults;
pub mod load;
pub mod log;
pub mod response;
mod run;
pub mod settings;
pub mod slots;
pub mod status;
mod stream;

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use sardineshore_core::Clock;
use sardineshore_core::clock::unix_ms;
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::backend::{CancelRequest, LoadReport, RunStatus};

use self::attempt::Attempt;
use self::cancel::CancelRegistry;
use self::engine::Engine;
use self::faults::ServerFaults;
use self::load::LoadSampler;
use self::log::ExecutionLog;
use self::response::AttemptResponse;
use self::settings::{ServerKind, ServerSettings};
use self::slots::Slots;
use self::status::RunStatuses;
use crate::fault_rng::FaultRng;
use crate::http;
use crate::serve::{Handler, HandlerOutcome};

/// One fake backend server, which handles the HTTP requests of a process.
#[derive(Debug)]
pub struct FakeServer {
    settings: ServerSettings,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    fault_rng: FaultRng,
    log: ExecutionLog,
    slots: Arc<Slots>,
    cancel_registry: Arc<CancelRegistry>,
    statuses: Mutex<RunStatuses>,
    load: Mutex<LoadSampler>,
    faults: Mutex<ServerFaults>,
    previous: Mutex<Option<AttemptResponse>>,
    engine: Option<Engine>,
}

impl FakeServer {
    /// Starts a server that appends to the execution log at `path` and restores the run identifiers
    /// of earlier starts from it.
    pub fn start(settings: ServerSettings, path: &Path, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let log = ExecutionLog::open(path, settings.name.clone(), clock.clone())?;
        let statuses = RunStatuses::restore(&log::read(path)?);
        log.write(ExecutionEvent::Started, &Attempt::default());
        Ok(Self {
            incarnation: unix_ms(clock.wall_time()),
            fault_rng: FaultRng::new(settings.seed),
            slots: Slots::new(settings.capacity, settings.max_queue),
            cancel_registry: Arc::default(),
            statuses: Mutex::new(statuses),
            load: Mutex::new(LoadSampler::new(settings.load_lag, clock.now())),
            faults: Mutex::default(),
            previous: Mutex::default(),
            engine: engine(&settings),
            settings,
            clock,
            log,
        })
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: ServerFaults) {
        *self.faults() = faults;
    }

    fn faults(&self) -> MutexGuard<'_, ServerFaults> {
        self.faults.lock().expect("faults lock poisoned")
    }

    fn statuses(&self) -> MutexGuard<'_, RunStatuses> {
        self.statuses.lock().expect("statuses lock poisoned")
    }

    fn load_report(&self) -> LoadReport {
        let faults = self.faults().clone();
        let version = match &*faults.reported_version {
            "" => self.settings.version.clone(),
            _ => faults.reported_version,
        };
        let current = self.slots.occupancy();
        let mut load = self.load.lock().expect("load lock poisoned");
        let (sample, age) = load.report(current, self.clock.now());
        LoadReport {
            server: self.settings.name.clone(),
            incarnation: self.incarnation,
            running: count(sample.running),
            queued: count(sample.queued),
            capacity: count(self.settings.capacity),
            age_ms: millis(age),
            leaving: faults.leaving,
            version,
            ..LoadReport::default()
        }
    }

    async fn load(&self) -> Response {
        let late = self.faults().late_load_ms;
        task::sleep(Duration::from_millis(late)).await;
        http::json(&self.load_report())
    }

    async fn cancel(&self, mut req: Request) -> Response {
        match http::parse::<CancelRequest>(&mut req).await {
            Ok(cancel) if self.cancel_registry.cancel(&cancel) => http::empty(StatusCode::Ok),
            Ok(_) => http::empty(StatusCode::NotFound),
            Err(res) => res,
        }
    }

    fn status(&self, run_id: &str, req: &Request) -> Response {
        if !self.settings.answers_status {
            return http::empty(StatusCode::NotFound);
        }
        let run_id = Arc::from(run_id);
        if http::query(req, "seal") != "true" {
            return http::json(&self.statuses().get(&run_id));
        }
        let mut statuses = self.statuses();
        if statuses.seal(&run_id) {
            let seal = Attempt {
                run_id,
                ..Attempt::default()
            };
            self.log.write(ExecutionEvent::Refused, &seal);
            return http::json(&RunStatus::Sealed);
        }
        http::json(&statuses.get(&run_id))
    }

    async fn order(&self, mut req: Request) -> Response {
        let Some(engine) = &self.engine else {
            return http::empty(StatusCode::NotFound);
        };
        match http::parse(&mut req).await {
            Ok(order) => http::json(&engine.order(&order, self.clock.now())),
            Err(res) => res,
        }
    }

    fn engine_query(&self, path: &str, req: &Request) -> Response {
        let Some(engine) = &self.engine else {
            return http::empty(StatusCode::NotFound);
        };
        let now = self.clock.now();
        if path == "/v1/orders" {
            return http::json(&engine.completed(now));
        }
        let after = http::query(req, "after").parse().unwrap_or(0);
        http::json(&engine.cache_events(after, now))
    }

    async fn replace_faults(&self, mut req: Request) -> Response {
        match http::parse(&mut req).await {
            Ok(faults) => {
                self.set_faults(faults);
                http::empty(StatusCode::Ok)
            }
            Err(res) => res,
        }
    }
}

#[async_trait]
impl Handler for FakeServer {
    async fn handle(self: Arc<Self>, req: Request) -> HandlerOutcome {
        let (method, path) = http::route(&req);
        match (method, path.as_str()) {
            (Method::Post, "/v1/run") => self.run(req).await,
            (Method::Post, "/v1/cancel") => self.cancel(req).await.into(),
            (Method::Get, "/v1/load") => self.load().await.into(),
            (Method::Post, "/v1/faults") => self.replace_faults(req).await.into(),
            (Method::Post, "/v1/orders") => self.order(req).await.into(),
            (Method::Get, "/v1/orders" | "/v1/cache-events") => {
                self.engine_query(&path, &req).into()
            }
            (Method::Get, path) if path.starts_with("/v1/requests/") => {
                let run_id = path.trim_start_matches("/v1/requests/");
                self.status(run_id, &req).into()
            }
            _ => http::empty(StatusCode::NotFound).into(),
        }
    }
}

fn engine(settings: &ServerSettings) -> Option<Engine> {
    let is_engine = settings.kind == ServerKind::Engine;
    is_engine.then(|| Engine::new(settings.engine.clone(), settings.fencing))
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
