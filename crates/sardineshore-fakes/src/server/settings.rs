//! Settings of a backend server's stand-in.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::engine::EngineSettings;

/// Settings of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSettings {
    /// Name.
    pub name: Arc<str>,
    /// What the server is.
    pub kind: ServerKind,
    /// Time of one attempt.
    pub service_time: Duration,
    /// Spread of the time around its mean, between 0 and 1.
    pub jitter: f64,
    /// Attempts that run at the same time.
    pub capacity: usize,
    /// Attempts that wait at the same time.
    pub max_queue: usize,
    /// Greatest age of a load report.
    pub load_lag: Duration,
    /// Seed of times and faults.
    pub seed: u64,
    /// Whether the server answers what became of a run identifier.
    pub answers_status: bool,
    /// Whether the server refuses orders with an old fencing token.
    pub fencing: bool,
    /// Settings of a model engine.
    pub engine: EngineSettings,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            name: "server".into(),
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

/// What a server is.
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
