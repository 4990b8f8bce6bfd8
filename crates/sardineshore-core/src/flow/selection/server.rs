//! A server with its load and health as this instance sees them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::health::Health;
use super::request::{LoadReport, SelectionRequest, sum_tokens};
use crate::flow::config::{Name, Server};
use crate::flow::speed::SpeedSlot;

/// How long a prompt part counts as cached at a server after it was last sent there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);
/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Share of a server's slots from which on it gets no requests that other servers with a rate limit
/// don't take.
const SATURATED_UTILIZATION: f64 = 0.6;
/// Number of recent prompt parts of a server above which the expired ones are removed.
const RECENT_PARTS_BEFORE_CLEANUP: usize = 512;

/// A server with its load and health as this instance sees them.
#[derive(Debug)]
pub(super) struct ServerState {
    pub server: Server,
    /// Where its speed is found.
    pub speed: SpeedSlot,
    /// Attempts of this instance that have not ended.
    pub in_flight: u32,
    /// Uncached prompt tokens of these attempts that the server has not prefilled yet.
    pub prefill_tokens: u64,
    /// Latest load report and when it arrived.
    pub report: Option<(LoadReport, Instant)>,
    pub health: Health,
    /// Shared prompt parts sent to the server, and when each was last sent.
    pub recent_parts: HashMap<Name, Instant>,
}

impl ServerState {
    pub fn new(server: Server) -> Self {
        Self {
            server,
            speed: SpeedSlot::default(),
            in_flight: 0,
            prefill_tokens: 0,
            report: None,
            health: Health::default(),
            recent_parts: HashMap::new(),
        }
    }

    /// Whether its latest report shows that it has as much to do as it can well work on.
    pub fn is_saturated(&self, now: Instant) -> bool {
        let slots = f64::from(self.server.slots.max(1));
        self.fresh_report(now).is_some_and(|report| {
            report.waiting > 0 || f64::from(report.running) >= SATURATED_UTILIZATION * slots
        })
    }

    /// Latest load report, unless it is too old.
    pub fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.duration_since(*at) < MAX_REPORT_AGE)
            .map(|(report, _)| report)
    }

    /// Share of its slots that are in use, as far as this instance knows.
    pub fn utilization(&self, now: Instant) -> f64 {
        let running = self.fresh_report(now).map_or(0, |report| report.running);
        f64::from(running.max(self.in_flight)) / f64::from(self.server.slots.max(1))
    }

    /// Its domain and slots, and the requests that a fresh report shows.
    pub fn domain_load(&self, now: Instant) -> (&Name, u32, Option<u32>) {
        let report = self.fresh_report(now).filter(|report| report.slots > 0);
        let slots = report.map_or(self.server.slots, |report| report.slots);
        let requests = report.map(|report| report.running.saturating_add(report.waiting));
        (&self.server.domain, slots, requests)
    }

    /// Bytes of the request's inputs that the server would fetch from other failure domains.
    pub fn cross_domain_bytes(&self, request: &SelectionRequest) -> u64 {
        request.remote_input_bytes(&self.server.domain)
    }

    /// Prompt tokens that the server would have to prefill. A part counts as cached only if all
    /// parts before it do; at the preferred server all shared parts count as cached.
    pub fn uncached_tokens(
        &self,
        request: &SelectionRequest,
        is_preferred: bool,
        now: Instant,
    ) -> u32 {
        let cached = request.shared_parts().iter().take_while(|part| {
            is_preferred
                || self
                    .recent_parts
                    .get(&part.id)
                    .is_some_and(|at| now.duration_since(*at) < PREFIX_CACHE_TTL)
        });
        request.tokens() - sum_tokens(cached)
    }

    /// Records that the shared parts of a request's prompt are sent to the server.
    pub fn record_parts(&mut self, request: &SelectionRequest, now: Instant) {
        for part in request.shared_parts() {
            self.recent_parts.insert(part.id.clone(), now);
        }
        if self.recent_parts.len() > RECENT_PARTS_BEFORE_CLEANUP {
            self.recent_parts
                .retain(|_, at| now.duration_since(*at) < PREFIX_CACHE_TTL);
        }
    }
}
