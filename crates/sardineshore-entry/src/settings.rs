//! Settings of the entry instance, read from flags and environment variables.

use std::time::Duration;

use clap::{ArgMatches, Command};
use sardineshore_core::claim::MAX_RETENTION_WINDOW;
use sardineshore_core::{Diagnostic, DomainId, InstanceId};
use sardineshore_wire::settings::{SettingsParser, setting};

/// Checked settings of one entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, unique among the running instances.
    pub name: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// `IP:PORT` for callers, health and metrics.
    pub listen: String,
    /// `IP:PORT` for other instances and operators.
    pub peer_listen: String,
    /// `IP:PORT` of the platform's services.
    pub platform: String,
    /// Maximum time for one call to the platform.
    pub platform_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of simultaneous connections of callers.
    pub max_connections: usize,
    /// Maximum time for a caller to send one request body.
    pub receive_timeout: Duration,
    /// Maximum deadline that a caller may request.
    pub max_deadline: Duration,
    /// Maximum number of requests that run at the same time.
    pub max_in_flight: usize,
    /// Delay between reporting not ready and closing the listener.
    pub stop_delay: Duration,
    /// Maximum time that a shutdown waits for requests in flight.
    pub stop_limit: Duration,
    /// Age after which an idempotency key is rejected.
    pub key_retention: Duration,
    /// Minimum level of log lines.
    pub log_level: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            domain: "local".into(),
            listen: "127.0.0.1:0".into(),
            peer_listen: "127.0.0.1:0".into(),
            platform: "127.0.0.1:1".into(),
            platform_timeout: Duration::from_millis(500),
            max_body: 1 << 20,
            max_connections: 12_000,
            receive_timeout: Duration::from_secs(5),
            max_deadline: Duration::from_secs(60),
            max_in_flight: 1_024,
            stop_delay: Duration::from_millis(500),
            stop_limit: Duration::from_secs(60),
            key_retention: Duration::from_secs(24 * 3600),
            log_level: "info".into(),
        }
    }
}

impl Settings {
    /// Reads and checks all settings; returns all findings if any setting is invalid.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Vec<Diagnostic>> {
        let mut check = SettingsParser::new(matches);
        let settings = Self {
            name: check.text("name").into(),
            domain: check.text("domain").into(),
            listen: check.addr("listen"),
            peer_listen: check.addr("peer-listen"),
            platform: check.addr("platform"),
            platform_timeout: check.duration("platform-timeout"),
            max_body: check.parse("max-body"),
            max_connections: check.parse("max-connections"),
            receive_timeout: check.duration("receive-timeout"),
            max_deadline: check.duration("max-deadline"),
            max_in_flight: check.parse("max-in-flight"),
            stop_delay: check.duration("stop-delay"),
            stop_limit: check.duration("stop-limit"),
            key_retention: check.duration("key-retention"),
            log_level: check.text("log-level"),
        };
        if settings.log_level.parse::<slog::Level>().is_err() {
            check.add_error(
                "log-level",
                "not one of trace, debug, info, warning, error, critical",
            );
        }
        if settings.key_retention > MAX_RETENTION_WINDOW {
            check.add_error(
                "key-retention",
                "longer than 7 days, for which claims are kept",
            );
        }
        check.finish(settings)
    }
}

/// The command line of `sardine-entry`.
#[must_use]
pub fn command() -> Command {
    Command::new("sardine-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry instance of sardineshore: serves callers, routes to backend servers")
        .after_help("Faulty settings are reported together and end the program with code 2.")
        .args([
            setting(
                "name",
                "SARDINE_NAME",
                "",
                "Name, unique among the running instances",
            ),
            setting(
                "domain",
                "SARDINE_DOMAIN",
                "",
                "Failure domain of this instance",
            ),
            setting(
                "listen",
                "SARDINE_LISTEN",
                "127.0.0.1:8080",
                "IP:PORT for callers",
            ),
            setting(
                "peer-listen",
                "SARDINE_PEER_LISTEN",
                "127.0.0.1:8081",
                "IP:PORT for other instances and operators",
            ),
            setting(
                "platform",
                "SARDINE_PLATFORM",
                "",
                "IP:PORT of the platform's services",
            ),
            setting(
                "platform-timeout",
                "SARDINE_PLATFORM_TIMEOUT",
                "500ms",
                "Longest wait for one call of the platform",
            ),
            setting(
                "max-body",
                "SARDINE_MAX_BODY",
                "1048576",
                "Largest request body in bytes",
            ),
            setting(
                "max-connections",
                "SARDINE_MAX_CONNECTIONS",
                "12000",
                "Connections of callers served at the same time",
            ),
            setting(
                "receive-timeout",
                "SARDINE_RECEIVE_TIMEOUT",
                "5s",
                "Longest time for a caller to send one request",
            ),
            setting(
                "max-deadline",
                "SARDINE_MAX_DEADLINE",
                "60s",
                "Longest deadline that a caller may ask for",
            ),
            setting(
                "max-in-flight",
                "SARDINE_MAX_IN_FLIGHT",
                "1024",
                "Requests in flight at the same time",
            ),
            setting(
                "stop-delay",
                "SARDINE_STOP_DELAY",
                "500ms",
                "Time from failing readiness to closing the listener",
            ),
            setting(
                "stop-limit",
                "SARDINE_STOP_LIMIT",
                "60s",
                "Longest time that a stop waits for requests in flight",
            ),
            setting(
                "key-retention",
                "SARDINE_KEY_RETENTION",
                "24h",
                "Age after which an idempotency key is refused",
            ),
            setting(
                "log-level",
                "SARDINE_LOG_LEVEL",
                "info",
                "Lowest level of log lines",
            ),
        ])
}
