//! Prometheus metrics of an instance.

mod evacuation;
mod speed;

pub use evacuation::EvacuationMetrics;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
pub use speed::SpeedMetrics;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0,
];

/// Every metric that an instance exports.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Responses to callers, by route and status.
    pub answers: IntCounterVec,
    /// Time from the arrival of a request to the first byte of its response, by route.
    pub first_byte: HistogramVec,
    /// Requests sent to backend servers, by pool and outcome.
    pub sends: IntCounterVec,
    /// Servers that were silent in a stream for longer than sound ones pause, by what followed.
    pub silences: IntCounterVec,
    /// Batch calls to servers of stages, by outcome.
    pub piece_calls: IntCounterVec,
    /// Pieces of stages sent in batch calls, by cell.
    pub pieces: IntCounterVec,
    /// Requests and jobs by pool, home domain and the domain that they went to, with the reason.
    pub crossings: IntCounterVec,
    /// Crashes of servers that this instance saw.
    pub crashes: IntCounter,
    /// Causes that the known crashes have.
    pub crash_causes: IntGauge,
    /// Requests not sent because their like have crashed servers.
    pub quarantined: IntCounter,
    /// Requests whose stages were refused or given up, by route, reason and whether they go on with
    /// a stream.
    pub stages_refused: IntCounterVec,
    /// Requests sent although their like are quarantined.
    pub quarantine_trials: IntCounter,
    /// Servers that are cold.
    pub cold_servers: IntGauge,
    /// Requests sent to cold servers, by pool.
    pub cold_sends: IntCounterVec,
    /// Requests that waited for their turn at a cold server, by pool.
    pub cold_waits: IntCounterVec,
    /// Requests in progress.
    pub active_requests: IntGauge,
    /// Panics that ended one piece of work, by what was done.
    pub contained_panics: IntCounterVec,
    /// Evacuated failure domains.
    pub evacuation: EvacuationMetrics,
    /// What is known of the speed of servers.
    pub speed: SpeedMetrics,
}

impl Metrics {
    /// Creates and registers every metric.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid or two metrics have the same one.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let stages_refused = counter(
            "sardine_stages_refused_total",
            "Requests whose stages were refused or given up.",
            &["route", "reason", "continues"],
        )?;
        let answers = counter(
            "sardine_answers_total",
            "Answers to callers.",
            &["route", "status"],
        )?;
        let sends = counter("sardine_sends_total", "Sends to servers.", &["pool", "end"])?;
        let silences = counter(
            "sardine_silences_total",
            "Servers that were silent in a stream.",
            &["end"],
        )?;
        let piece_calls = counter("sardine_piece_calls_total", "Calls for pieces.", &["end"])?;
        let pieces = counter("sardine_pieces_total", "Pieces sent.", &["cell"])?;
        let cold_sends = counter(
            "sardine_cold_sends_total",
            "Sends to cold servers.",
            &["pool"],
        )?;
        let cold_waits = counter(
            "sardine_cold_waits_total",
            "Requests that waited for a cold server.",
            &["pool"],
        )?;
        let cold_servers = IntGauge::new("sardine_cold_servers", "Servers that are cold.")?;
        registry.register(Box::new(cold_servers.clone()))?;
        let crossings = counter(
            "sardine_crossings_total",
            "Requests and jobs by their home domain and where they went.",
            &["pool", "from", "to", "reason"],
        )?;
        let crashes = IntCounter::new("sardine_crashes_total", "Crashes of servers seen.")?;
        registry.register(Box::new(crashes.clone()))?;
        let crash_causes = IntGauge::new("sardine_crash_causes", "Causes of known crashes.")?;
        registry.register(Box::new(crash_causes.clone()))?;
        let quarantined = IntCounter::new(
            "sardine_quarantined_total",
            "Requests not sent, as their like have crashed servers.",
        )?;
        registry.register(Box::new(quarantined.clone()))?;
        let quarantine_trials = IntCounter::new(
            "sardine_quarantine_trials_total",
            "Requests sent although their like are quarantined.",
        )?;
        registry.register(Box::new(quarantine_trials.clone()))?;
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "sardine_first_byte_seconds",
                "Time to the first byte of an answer.",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["route"],
        )?;
        registry.register(Box::new(first_byte.clone()))?;
        let active_requests =
            IntGauge::new("sardine_active_requests", "Requests that are served.")?;
        registry.register(Box::new(active_requests.clone()))?;
        let contained_panics = counter(
            "sardine_contained_panics_total",
            "Panics that ended one piece of work.",
            &["work"],
        )?;
        let evacuation = EvacuationMetrics::new(&registry)?;
        let speed = SpeedMetrics::new(&registry)?;
        Ok(Self {
            registry,
            answers,
            first_byte,
            sends,
            silences,
            piece_calls,
            pieces,
            crossings,
            crashes,
            crash_causes,
            quarantined,
            stages_refused,
            quarantine_trials,
            cold_servers,
            cold_sends,
            cold_waits,
            active_requests,
            contained_panics,
            evacuation,
            speed,
        })
    }

    /// All metrics in the Prometheus text format; a comment with the error if encoding fails.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
