//! Settings of a fake backend server.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::engine::EngineSettings;

/// Settings of one fake server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSettings {
    /// Name that load reports and the execution log show.
    pub name: Arc<str>,
    /// Version of its software that load reports show; empty for none.
    pub version: Arc<str>,
    /// Kind of the server.
    pub kind: ServerKind,
    /// Mean service time of one attempt.
    pub service_time: Duration,
    /// Relative spread of the service time around its mean, from 0 to 1.
    pub jitter: f64,
    /// Maximum number of concurrent attempts.
    pub capacity: usize,
    /// Maximum number of queued attempts.
    pub max_queue: usize,
    /// Maximum age of a load report.
    pub load_lag: Duration,
    /// Seed of random service times and faults.
    pub seed: u64,
    /// Whether the server answers status queries for run identifiers.
    pub answers_status: bool,
    /// Whether the server refuses orders with an old fencing token.
    pub fencing: bool,
    /// Settings that apply if the server is a model engine.
    pub engine: EngineSettings,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            name: "server".into(),
            version: "1".into(),
            kind: ServerKind::default(),
            service_time: Duration::from_millis(20),
            jitter: 0.3,
            capacity: 8,
            max_queue: 64,
            load_lag: Duration::from_millis(100),
            seed: 1,
            answers_status: false,
            fencing: false,
            engine: EngineSettings::default(),
        }
    }
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A member of a pool of encoders, retrievers or rerankers.
    #[default]
    Pool,
    /// A plain service.
    Service,
}

impl FromStr for ServerKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "engine" => Ok(Self::Engine),
            "pool" => Ok(Self::Pool),
            "service" => Ok(Self::Service),
            _ => Err("expected engine, pool or service".into()),
        }
    }
}
