//! What the router knows of one backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::estimate::{Smoothed, freshness};
use super::health::{Health, Mark};
use super::{AttemptReport, AttemptResult, RoutingDecision, RoutingNotice, ServerLoad};
use crate::limits::{ConcurrencyLimit, QueueSample};
use crate::{BackendServer, ServerRow, ServerState};

/// Age at which a load report counts for half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Age at which an observed time of service counts for half.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Time of service assumed before anything was observed in a pool, in seconds.
const SERVICE_PRIOR: f64 = 0.05;
/// Multiple of the usual time of service from which a missing answer counts as a failure.
const OVERDUE_FACTOR: f64 = 2.0;
/// Weight with which the network's share of a latency rises; it falls at once.
const NETWORK_RISE: f64 = 0.02;

/// A backend server as the router knows it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) declared: BackendServer,
    pub(super) addr: Arc<str>,
    pub(super) leaving: bool,
    pub(super) hash: u64,
    pub(super) in_flight: u32,
    pub(super) health: Health,
    limit: ConcurrencyLimit,
    service: Smoothed,
    network: Option<f64>,
    progress: Option<Instant>,
    report: Option<Report>,
    polled: Option<Instant>,
}

/// The last load report.
#[derive(Debug, Clone, Copy)]
struct Report {
    figures: ServerLoad,
    /// Attempts of this instance that the figures include.
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
            health,
            in_flight: 0,
            service: Smoothed::default(),
            network: None,
            progress: None,
            report: None,
            polled: None,
        }
    }

    /// Takes over a changed declaration; what was observed is kept.
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

    /// Whether it may receive new work by what operators and the instance list say.
    pub(super) fn may_send(&self) -> bool {
        self.declared.state == ServerState::Active && !self.leaving
    }

    /// Whether this instance has as many attempts in flight on it as it may.
    pub(super) fn at_limit(&self, now: Instant) -> bool {
        let limit = self.limit.get() * self.health.ramp(now);
        f64::from(self.in_flight) >= limit.max(1.0)
    }

    /// Attempts that it runs at the same time without queueing.
    pub(super) fn capacity(&self) -> f64 {
        let reported = self.report.map_or(0, |report| report.figures.capacity);
        let capacity = if reported > 0 {
            reported
        } else {
            self.declared.capacity
        };
        f64::from(capacity.max(1))
    }

    /// Time of service in seconds; `usual` is that of its pool.
    ///
    /// While attempts are in flight it is at least the time since one of them last ended.
    pub(super) fn service(&self, usual: Option<f64>, now: Instant) -> f64 {
        let usual = usual.unwrap_or(SERVICE_PRIOR);
        let service = self.service.faded(usual, SERVICE_HALF_LIFE, now);
        service.max(self.stalled(now))
    }

    /// Time in seconds that an answer spends on the network, if one was seen.
    pub(super) fn network(&self) -> Option<f64> {
        self.network
    }

    /// Attempts of other instances on the server; `usual` is assumed where reports are old.
    pub(super) fn others(&self, usual: f64, now: Instant) -> f64 {
        let Some(report) = &self.report else {
            return usual;
        };
        let age = now.saturating_duration_since(report.at);
        let weight = freshness(age, REPORT_HALF_LIFE);
        usual + weight * (report.others() - usual)
    }

    /// Notes that an attempt was sent.
    pub(super) fn started(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.progress = Some(now);
        }
        self.in_flight += 1;
    }

    /// Notes that an attempt ended; true if the server should be ejected.
    pub(super) fn finished(
        &mut self,
        feedback: &AttemptReport,
        usual: Option<f64>,
        now: Instant,
    ) -> bool {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        match feedback.result {
            AttemptResult::Answered => self.answered(feedback, in_flight, now),
            AttemptResult::Refused => {
                let service = Duration::from_secs_f64(self.service(usual, now));
                self.limit.refused(service, now);
            }
            AttemptResult::Failed => self.progress = Some(now),
            AttemptResult::Lost | AttemptResult::TimedOut | AttemptResult::Cancelled => {
                self.service.add_at_least(feedback.latency, now);
            }
        }
        judge(feedback, usual).is_some_and(|mark| self.health.mark(mark, now))
    }

    /// Takes in a load report; true if the server was restarted since the one before.
    pub(super) fn reported(&mut self, figures: &ServerLoad, now: Instant) -> bool {
        let at = now.checked_sub(figures.age).unwrap_or(now);
        let previous = self.report;
        if previous.is_some_and(|previous| previous.at > at) {
            return false;
        }
        self.report = Some(Report {
            figures: *figures,
            own: self.in_flight,
            at,
        });
        let restarted =
            previous.is_some_and(|previous| previous.figures.incarnation != figures.incarnation);
        if restarted {
            self.service = Smoothed::default();
            self.limit = ConcurrencyLimit::new(self.declared.capacity);
            self.health = Health::starting(now);
        }
        restarted
    }

    /// Notes that its load is being polled.
    pub(super) fn polled(&mut self, now: Instant) {
        self.polled = Some(now);
    }

    /// Time of the last load report or poll.
    pub(super) fn load_known_at(&self) -> Option<Instant> {
        self.report.map(|report| report.at).max(self.polled)
    }

    /// A decision about the server, for operators.
    pub(super) fn notice(&self, decision: RoutingDecision) -> RoutingNotice {
        RoutingNotice {
            server: self.declared.name.clone(),
            pool: self.declared.pool.clone(),
            decision,
        }
    }

    /// The server as a row for operators.
    pub(super) fn row(&self, now: Instant) -> ServerRow {
        let figures = self.report.map(|report| report.figures).unwrap_or_default();
        ServerRow {
            server: self.declared.clone(),
            in_flight: self.in_flight,
            running: figures.running,
            queued: figures.queued,
            report_age_ms: self.report.map(|report| age_ms(report.at, now)),
            ejected: self.health.ejected(now),
            leaving: self.leaving,
        }
    }

    fn stalled(&self, now: Instant) -> f64 {
        match self.progress {
            Some(at) if self.in_flight > 0 => now.saturating_duration_since(at).as_secs_f64(),
            _ => 0.0,
        }
    }

    fn answered(&mut self, feedback: &AttemptReport, in_flight: u32, now: Instant) {
        let service = if feedback.service.is_zero() {
            feedback.latency
        } else {
            feedback.service
        };
        let beyond = feedback.latency.saturating_sub(service);
        let network = self.learn_network(beyond);
        let sample = QueueSample {
            in_flight,
            queued: beyond.saturating_sub(network),
            service,
        };
        self.limit.answered(sample, now);
        self.service.add(service, now);
        self.progress = Some(now);
    }

    fn learn_network(&mut self, beyond: Duration) -> Duration {
        let beyond = beyond.as_secs_f64();
        let known = self.network.unwrap_or(beyond);
        let network = beyond.min(known + NETWORK_RISE * (beyond - known));
        self.network = Some(network);
        Duration::from_secs_f64(network)
    }
}

impl Report {
    fn others(&self) -> f64 {
        let all = self.figures.running.saturating_add(self.figures.queued);
        f64::from(all.saturating_sub(self.own))
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// What a result says of the server's health, if anything.
fn judge(feedback: &AttemptReport, usual: Option<f64>) -> Option<Mark> {
    match feedback.result {
        AttemptResult::Answered => Some(Mark::Good),
        AttemptResult::Refused => Some(Mark::Refusal),
        AttemptResult::Failed | AttemptResult::Lost => Some(Mark::Failure),
        AttemptResult::TimedOut => {
            let usual = usual.unwrap_or(SERVICE_PRIOR);
            let overdue = feedback.latency.as_secs_f64() > OVERDUE_FACTOR * usual;
            overdue.then_some(Mark::Failure)
        }
        AttemptResult::Cancelled => None,
    }
}
