//! The state that all modules of one entry instance share.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use sardineshore_core::clock::unix_ms;
use sardineshore_core::{
    AdmissionConfig, AttemptId, Clock, RequestId, RetryConfig, Router, RoutingConfig,
};
use sardineshore_wire::http::Client;
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::{Claims, Incarnations};
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::quarantine::QuarantineTable;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::tables::Tables;

/// Decides, immediately before each send, whether the configuration is confirmed to be current.
pub trait DispatchGate: fmt::Debug + Send + Sync {
    /// Whether an attempt may be sent now.
    fn may_dispatch(&self) -> bool;
}

/// A gate that allows every attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenGate;

impl DispatchGate for OpenGate {
    fn may_dispatch(&self) -> bool {
        true
    }
}

/// One entry instance.
#[derive(Debug)]
pub struct Instance {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Log and recent events.
    pub event_log: EventLog,
    /// Metrics.
    pub metrics: Metrics,
    /// Check of the configuration immediately before a send.
    pub gate: Arc<dyn DispatchGate>,
    /// Shared tables.
    pub tables: Tables,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Incarnations of backend servers.
    pub incarnations: Incarnations,
    /// Requests that crash backend servers.
    pub quarantine: QuarantineTable,
    /// State of a graceful shutdown.
    pub shutdown: Shutdown,
    /// Start of the process, in milliseconds since the Unix epoch.
    started_ms: u64,
    next_id: AtomicU64,
}

impl Instance {
    /// Creates an instance; it does nothing until a listener and the background tasks run.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        gate: Arc<dyn DispatchGate>,
        log: Logger,
    ) -> Self {
        let seed = xxh3_64(settings.name.as_bytes());
        let routing = RoutingConfig {
            local_domain: settings.domain.clone(),
            seed,
            ..RoutingConfig::default()
        };
        let admission = AdmissionConfig {
            max_running: settings.max_in_flight,
            ..AdmissionConfig::default()
        };
        let retries = RetryConfig {
            seed,
            ..RetryConfig::default()
        };
        Self {
            event_log: EventLog::new(log, settings.name.clone(), clock.clone()),
            metrics: Metrics::default(),
            client: Client::default(),
            tables: Tables::new(Router::new(routing), admission, retries),
            claims: Claims::new(settings.key_retention),
            incarnations: Incarnations::default(),
            quarantine: QuarantineTable::default(),
            shutdown: Shutdown::default(),
            started_ms: unix_ms(clock.wall_time()),
            next_id: AtomicU64::new(1),
            settings,
            clock,
            gate,
        }
    }

    /// Creates a request identifier.
    pub fn new_request(&self) -> RequestId {
        self.new_id("r").into()
    }

    /// Creates an attempt identifier.
    pub fn new_attempt(&self) -> AttemptId {
        self.new_id("a").into()
    }

    /// Creates an identifier. It contains the start time of the process, so that a restarted
    /// process does not repeat identifiers.
    fn new_id(&self, kind: &str) -> String {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{}-{:x}-{n:x}", self.settings.name, self.started_ms)
    }
}
