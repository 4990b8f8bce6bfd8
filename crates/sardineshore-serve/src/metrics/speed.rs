//! Metrics of the speed of servers.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// What is known of the speed of servers, and what it costs to share it.
#[derive(Debug, Clone)]
pub struct SpeedMetrics {
    /// Attempts that said something about the speed of their server, by what was measured.
    pub samples: IntCounterVec,
    /// Load figures out of range.
    pub bad_figures: IntCounter,
    /// Bytes about speeds sent to other instances.
    pub bytes: IntCounter,
    /// Servers whose lasting speed is known to differ from usual.
    pub unusual_servers: IntGauge,
}

impl SpeedMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid or taken.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let samples = IntCounterVec::new(
            Opts::new(
                "sardine_speed_samples_total",
                "Attempts that showed the speed of their server.",
            ),
            &["measured"],
        )?;
        registry.register(Box::new(samples.clone()))?;
        let bad_figures = IntCounter::new(
            "sardine_bad_load_figures_total",
            "Load figures of servers that were out of range.",
        )?;
        registry.register(Box::new(bad_figures.clone()))?;
        let bytes = IntCounter::new(
            "sardine_speed_bytes_total",
            "Bytes about speeds sent to other instances.",
        )?;
        registry.register(Box::new(bytes.clone()))?;
        let unusual_servers = IntGauge::new(
            "sardine_off_speed_servers",
            "Servers whose lasting speed differs from usual.",
        )?;
        registry.register(Box::new(unusual_servers.clone()))?;
        Ok(Self {
            samples,
            bad_figures,
            bytes,
            unusual_servers,
        })
    }
}
