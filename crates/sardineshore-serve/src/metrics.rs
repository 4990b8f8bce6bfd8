//! Counters and histograms of an instance.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: &[f64] = &[
    0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0,
];

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers by route and status.
    pub answers: IntCounterVec,
    /// Time to the first byte of an answer by route, in seconds.
    pub first_byte: HistogramVec,
    /// Sends to servers by pool and end.
    pub sends: IntCounterVec,
    /// Calls for pieces by pool of pieces and end.
    pub piece_calls: IntCounterVec,
    /// Pieces sent.
    pub pieces: IntCounterVec,
    /// Requests that are served.
    pub active_requests: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let answers = counter(
            "sardine_answers_total",
            "Answers to callers.",
            &["route", "status"],
        )?;
        let sends = counter("sardine_sends_total", "Sends to servers.", &["pool", "end"])?;
        let piece_calls = counter("sardine_piece_calls_total", "Calls for pieces.", &["end"])?;
        let pieces = counter("sardine_pieces_total", "Pieces sent.", &["cell"])?;
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "sardine_first_byte_seconds",
                "Time to the first byte of an answer.",
            )
            .buckets(LATENCY_BOUNDS.to_vec()),
            &["route"],
        )?;
        registry.register(Box::new(first_byte.clone()))?;
        let active_requests =
            IntGauge::new("sardine_active_requests", "Requests that are served.")?;
        registry.register(Box::new(active_requests.clone()))?;
        Ok(Self {
            registry,
            answers,
            first_byte,
            sends,
            piece_calls,
            pieces,
            active_requests,
        })
    }

    /// Text form.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(fault) => format!("# {fault}\n"),
        }
    }
}
