//! State of one backend server in the router: its declaration, load, latencies, health and limit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::estimate::{Smoothed, age_weight};
use super::health::{Health, HealthSample};
use super::{
    AttemptReport, AttemptResult, RoutingDecision, RoutingNotice, ServerLoad, StreamOrigin,
};
use crate::duration;
use crate::limits::{ConcurrencyLimit, QueueSample};
use crate::{BackendServer, ServerRow, ServerState};

/// Age at which the weight of a load report is one half.
const LOAD_REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Age at which the weight of an observed service time is one half.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Assumed service time before the first answer of a pool, in seconds.
const SERVICE_PRIOR: f64 = 0.05;
/// Multiple of the pool's service time above which a timeout counts as a failure.
const TIMEOUT_FAILURE_FACTOR: f64 = 2.0;
/// Weight of a new sample that raises the estimated network time; a lower sample replaces it at
/// once.
const NETWORK_RISE_WEIGHT: f64 = 0.02;

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) declared: BackendServer,
    pub(super) addr: Arc<str>,
    pub(super) leaving: bool,
    /// Incarnation that reported that it shuts down.
    announced_leaving: Option<u64>,
    /// It wants no requests before this time.
    paused_until: Option<Instant>,
    /// Hash of the name, for rendezvous hashing.
    pub(super) hash: u64,
    pub(super) in_flight: u32,
    pub(super) health: Health,
    limit: ConcurrencyLimit,
    service: Smoothed,
    /// Estimated network time of an answer, in seconds.
    network: Option<f64>,
    /// When an attempt last ended with an answer or a failure, or was sent to the idle server.
    last_progress_at: Option<Instant>,
    report: Option<Report>,
    polled_at: Option<Instant>,
}

/// The last load report of a server.
#[derive(Debug, Clone)]
struct Report {
    load: ServerLoad,
    /// Attempts of this instance that the reported load includes.
    own: u32,
    at: Instant,
}

impl Server {
    pub(super) fn new(declared: &BackendServer, leaving: bool, health: Health) -> Self {
        Self {
            addr: declared.addr.as_str().into(),
            hash: xxh3_64(declared.name.as_bytes()),
            limit: ConcurrencyLimit::new(declared.capacity),
            declared: declared.clone(),
            leaving,
            announced_leaving: None,
            paused_until: None,
            health,
            in_flight: 0,
            service: Smoothed::default(),
            network: None,
            last_progress_at: None,
            report: None,
            polled_at: None,
        }
    }

    /// Applies a changed declaration; the observations are kept.
    pub(super) fn declare(&mut self, declared: &BackendServer, leaving: bool) {
        if declared.capacity != self.declared.capacity {
            self.limit = ConcurrencyLimit::new(declared.capacity);
        }
        if declared.addr != self.declared.addr {
            self.addr = declared.addr.as_str().into();
        }
        self.declared = declared.clone();
        self.leaving = leaving;
    }

    /// Whether the server accepts new work: it is active and not leaving.
    pub(super) fn accepts_work(&self) -> bool {
        self.declared.state == ServerState::Active && !self.is_leaving()
    }

    /// Whether the instance list or the server itself says that it is leaving.
    fn is_leaving(&self) -> bool {
        self.leaving || self.announced_leaving.is_some()
    }

    /// Time for which it wants no requests.
    pub(super) fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that it wants no requests before this time.
    pub(super) fn record_pause(&mut self, until: Instant) {
        // A reply may overtake an earlier one with a longer pause.
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Whether the attempts of this instance in flight on the server have reached its limit.
    pub(super) fn at_limit(&self, now: Instant) -> bool {
        let limit = self.limit.get() * self.health.slow_start_share(now);
        f64::from(self.in_flight) >= limit.max(1.0)
    }

    /// Number of attempts that the server runs concurrently without queueing.
    pub(super) fn capacity(&self) -> f64 {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |report| report.load.capacity);
        let capacity = if reported > 0 {
            reported
        } else {
            self.declared.capacity
        };
        f64::from(capacity.max(1))
    }

    /// Estimated service time in seconds; `usual_service` is that of the pool.
    ///
    /// While attempts are in flight, it is at least the time since the last one ended, so that the
    /// estimate of a stalled server grows.
    pub(super) fn service(&self, usual_service: Option<f64>, now: Instant) -> f64 {
        let usual_service = usual_service.unwrap_or(SERVICE_PRIOR);
        let service = self.service.decayed(usual_service, SERVICE_HALF_LIFE, now);
        service.max(self.stalled_seconds(now))
    }

    /// Estimated network time of an answer in seconds; `None` before the first answer.
    pub(super) fn network(&self) -> Option<f64> {
        self.network
    }

    /// Attempts of other instances on the server; tends to `usual` as the last report
    /// grows older.
    pub(super) fn other_load(&self, usual: f64, now: Instant) -> f64 {
        let Some(report) = &self.report else {
            return usual;
        };
        let age = now.saturating_duration_since(report.at);
        let weight = age_weight(age, LOAD_REPORT_HALF_LIFE);
        usual + weight * (report.other_load() - usual)
    }

    /// Records that an attempt was sent.
    pub(super) fn record_start(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_progress_at = Some(now);
        }
        self.in_flight += 1;
    }

    /// Records the end of an attempt; returns whether the server should be ejected.
    pub(super) fn record_end(
        &mut self,
        attempt: &AttemptReport,
        usual_service: Option<f64>,
        now: Instant,
    ) -> bool {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        match attempt.result {
            AttemptResult::Answered => self.record_answer(attempt, in_flight, now),
            AttemptResult::Refused => {
                let service = duration::from_secs(self.service(usual_service, now));
                self.limit.record_refusal(service, now);
            }
            AttemptResult::Failed => self.last_progress_at = Some(now),
            AttemptResult::Lost | AttemptResult::TimedOut | AttemptResult::Cancelled => {
                self.service.add_lower_bound(attempt.latency, now);
            }
        }
        health_sample(attempt, usual_service).is_some_and(|sample| self.health.record(sample, now))
    }

    /// Records a load report; returns whether the server was restarted since the previous one.
    pub(super) fn record_load(&mut self, load: &ServerLoad, now: Instant) -> bool {
        let at = now.checked_sub(load.age).unwrap_or(now);
        let previous = self.report.as_ref();
        let is_outdated = previous.is_some_and(|previous| previous.at > at);
        let restarted =
            previous.is_some_and(|previous| previous.load.incarnation != load.incarnation);
        // Reports that overtake each other don't take back that a process shuts down.
        if load.leaving {
            self.announced_leaving = Some(load.incarnation);
        } else if !is_outdated && self.announced_leaving != Some(load.incarnation) {
            self.announced_leaving = None;
        }
        if is_outdated {
            return false;
        }
        self.report = Some(Report {
            load: load.clone(),
            own: self.in_flight,
            at,
        });
        if restarted {
            self.service = Smoothed::default();
            self.limit = ConcurrencyLimit::new(self.declared.capacity);
            self.health = Health::with_slow_start(now);
            self.paused_until = None;
        }
        restarted
    }

    /// Whether a stream of this origin may continue on the server according to its last load report;
    /// `None` before the first report.
    pub(super) fn may_continue(&self, origin: &StreamOrigin) -> Option<bool> {
        let load = &self.report.as_ref()?.load;
        Some(origin.may_continue_at(&StreamOrigin {
            server: self.declared.name.clone(),
            incarnation: load.incarnation,
            version: load.version.clone(),
        }))
    }

    /// Records that the server's load is being polled.
    pub(super) fn record_poll(&mut self, now: Instant) {
        self.polled_at = Some(now);
    }

    /// Time of the last load report or poll.
    pub(super) fn load_known_at(&self) -> Option<Instant> {
        self.report
            .as_ref()
            .map(|report| report.at)
            .max(self.polled_at)
    }

    /// Creates a notice of a decision about the server.
    pub(super) fn notice(&self, decision: RoutingDecision) -> RoutingNotice {
        RoutingNotice {
            server: self.declared.name.clone(),
            pool: self.declared.pool.clone(),
            decision,
        }
    }

    /// The server as a row of operators' queries.
    pub(super) fn row(&self, now: Instant) -> ServerRow {
        let report = self.report.as_ref();
        let load = report.map(|report| &report.load);
        ServerRow {
            server: self.declared.clone(),
            in_flight: self.in_flight,
            running: load.map_or(0, |load| load.running),
            queued: load.map_or(0, |load| load.queued),
            report_age_ms: report.map(|report| age_ms(report.at, now)),
            ejected: self.health.is_ejected(now),
            leaving: self.is_leaving(),
        }
    }

    fn stalled_seconds(&self, now: Instant) -> f64 {
        match self.last_progress_at {
            Some(at) if self.in_flight > 0 => now.saturating_duration_since(at).as_secs_f64(),
            _ => 0.0,
        }
    }

    fn record_answer(&mut self, attempt: &AttemptReport, in_flight: u32, now: Instant) {
        let service = if attempt.service.is_zero() {
            attempt.latency
        } else {
            attempt.service
        };
        let excess = attempt.latency.saturating_sub(service);
        let network = self.update_network(excess);
        let sample = QueueSample {
            in_flight,
            queued: excess.saturating_sub(network),
            service,
        };
        self.limit.record_answer(sample, now);
        self.service.add(service, now);
        self.last_progress_at = Some(now);
    }

    fn update_network(&mut self, excess: Duration) -> Duration {
        let excess = excess.as_secs_f64();
        let known = self.network.unwrap_or(excess);
        let network = excess.min(known + NETWORK_RISE_WEIGHT * (excess - known));
        self.network = Some(network);
        duration::from_secs(network)
    }
}

impl Report {
    fn other_load(&self) -> f64 {
        let all = self.load.running.saturating_add(self.load.queued);
        f64::from(all.saturating_sub(self.own))
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// What a result says of the server's health; `None` if nothing.
fn health_sample(attempt: &AttemptReport, usual_service: Option<f64>) -> Option<HealthSample> {
    match attempt.result {
        AttemptResult::Answered => Some(HealthSample::Success),
        AttemptResult::Refused => Some(HealthSample::Refusal),
        AttemptResult::Failed | AttemptResult::Lost => Some(HealthSample::Failure),
        AttemptResult::TimedOut => {
            let usual_service = usual_service.unwrap_or(SERVICE_PRIOR);
            let overdue = attempt.latency.as_secs_f64() > TIMEOUT_FAILURE_FACTOR * usual_service;
            overdue.then_some(HealthSample::Failure)
        }
        AttemptResult::Cancelled => None,
    }
}
