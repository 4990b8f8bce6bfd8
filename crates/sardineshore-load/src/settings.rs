//! Settings of `sardine-load`, from flags and environment variables.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use sardineshore_core::Diagnostic;
use sardineshore_wire::settings::{SettingsParser, setting};

use crate::caller::CallerSettings;
use crate::preset;
use crate::schedule::{Burst, ScheduleSettings};
use crate::workload::Workload;

/// Settings of `sardine-load`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Addresses where the entry instances accept callers, `IP:PORT`.
    pub entries: Vec<Arc<str>>,
    /// Peer addresses of the entry instances that are queried for costs, `IP:PORT`; empty for no
    /// costs.
    pub operators: Vec<Arc<str>>,
    /// Pipelines that are requested, and customers that request them.
    pub workload: Workload,
    /// Number and rate of the requests.
    pub schedule: ScheduleSettings,
    /// How callers behave.
    pub callers: CallerSettings,
    /// Largest number of logical requests in flight.
    pub in_flight: usize,
    /// File for the call log.
    pub log: Option<PathBuf>,
    /// File for the page of plots.
    pub plots: Option<PathBuf>,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

/// Declares the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sardine-load")
        .about("Open-loop load of sardineshore, free of coordinated omission")
        .version(env!("CARGO_PKG_VERSION"))
        .args(address_settings())
        .args([
            setting(
                "workload",
                "SARDINE_LOAD_WORKLOAD",
                "tangolin",
                "Built-in workload (tangolin, mangos) or JSON file",
            ),
            setting(
                "requests",
                "SARDINE_LOAD_REQUESTS",
                "1000",
                "Number of logical requests",
            ),
            setting(
                "rate",
                "SARDINE_LOAD_RATE",
                "100",
                "Mean arrivals per second",
            ),
            setting(
                "seed",
                "SARDINE_LOAD_SEED",
                "1",
                "Seed of all random choices",
            ),
            setting(
                "burst-at",
                "SARDINE_LOAD_BURST_AT",
                "0s",
                "Start of the burst",
            ),
            setting(
                "burst-length",
                "SARDINE_LOAD_BURST_LENGTH",
                "0s",
                "Length of the burst; 0s for none",
            ),
            setting(
                "burst-factor",
                "SARDINE_LOAD_BURST_FACTOR",
                "1",
                "Factor on the rate during the burst",
            ),
            setting(
                "poison",
                "SARDINE_LOAD_POISON",
                "0",
                "Number of requests that crash the server that runs them",
            ),
            setting(
                "repeats",
                "SARDINE_LOAD_REPEATS",
                "3",
                "Largest number of retries of a non-idempotent request after an uncertain outcome",
            ),
            setting(
                "grace",
                "SARDINE_LOAD_GRACE",
                "2s",
                "How long callers wait for a reply after the deadline",
            ),
            setting(
                "in-flight",
                "SARDINE_LOAD_IN_FLIGHT",
                "4096",
                "Largest number of logical requests in flight",
            ),
            setting(
                "log",
                "SARDINE_LOAD_LOG",
                "",
                "File for the call log, JSON lines",
            ),
            setting(
                "plots",
                "SARDINE_LOAD_PLOTS",
                "",
                "File for the page of plots, HTML",
            ),
            setting(
                "output",
                "SARDINE_LOAD_OUTPUT",
                "text",
                "Format of the report: text or json",
            ),
        ])
}

/// Declares the settings for the addresses of entry instances.
fn address_settings() -> [Arg; 2] {
    [
        setting(
            "entries",
            "SARDINE_LOAD_ENTRIES",
            "127.0.0.1:7000",
            "Addresses where the entry instances accept callers, IP:PORT, separated by commas",
        ),
        setting(
            "operators",
            "SARDINE_LOAD_OPERATORS",
            "",
            "Peer addresses of all entry instances, to report costs; without them there are no costs",
        ),
    ]
}

/// Parses the settings; all errors are returned together.
pub fn parse(matches: &ArgMatches) -> Result<Settings, Vec<Diagnostic>> {
    let mut parser = SettingsParser::new(matches);
    let (workload, findings) = parse_workload(&mut parser);
    let settings = Settings {
        entries: parse_addrs(&mut parser, "entries"),
        operators: match parser.optional("operators") {
            Some(_) => parse_addrs(&mut parser, "operators"),
            None => Vec::new(),
        },
        workload,
        schedule: parse_schedule(&mut parser),
        callers: CallerSettings {
            max_retries: parser.parse("repeats"),
            grace: parser.duration("grace"),
        },
        in_flight: parse_positive(&mut parser, "in-flight"),
        log: parser.optional("log").map(PathBuf::from),
        plots: parser.optional("plots").map(PathBuf::from),
        json: parse_output(&mut parser),
    };
    match parser.finish(settings) {
        Ok(settings) if findings.is_empty() => Ok(settings),
        Ok(_) => Err(findings),
        Err(mut errors) => {
            errors.extend(findings);
            Err(errors)
        }
    }
}

fn parse_workload(parser: &mut SettingsParser<'_>) -> (Workload, Vec<Diagnostic>) {
    let name = parser.text("workload");
    if let Some(workload) = preset::find(&name) {
        return (workload, Vec::new());
    }
    let text = match std::fs::read_to_string(&name) {
        Ok(text) => text,
        Err(err) => {
            let known = preset::NAMES.join(", ");
            parser.add_error(
                "workload",
                &format!(
                    "{name:?} is neither a built-in workload ({known}) nor a readable file: {err}"
                ),
            );
            return (Workload::default(), Vec::new());
        }
    };
    match Workload::from_json(&text) {
        Ok(workload) => (workload, Vec::new()),
        Err(findings) => (Workload::default(), findings),
    }
}

fn parse_addrs(parser: &mut SettingsParser<'_>, flag: &str) -> Vec<Arc<str>> {
    let text = parser.text(flag);
    let addrs: Vec<Arc<str>> = text.split(',').map(|addr| addr.trim().into()).collect();
    for addr in &addrs {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            parser.add_error(flag, &format!("{addr:?} is not IP:PORT"));
        }
    }
    addrs
}

fn parse_schedule(parser: &mut SettingsParser<'_>) -> ScheduleSettings {
    let length = parser.duration("burst-length");
    let burst = Burst {
        at: parser.duration("burst-at"),
        length,
        factor: parse_factor(parser, "burst-factor"),
    };
    ScheduleSettings {
        requests: parse_positive(parser, "requests"),
        rate: parse_factor(parser, "rate"),
        seed: parser.parse("seed"),
        burst: (length > Duration::ZERO).then_some(burst),
        poison: parser.parse("poison"),
    }
}

fn parse_positive(parser: &mut SettingsParser<'_>, flag: &str) -> usize {
    let number = parser.parse(flag);
    if number == 0 {
        parser.add_error(flag, "it is not positive");
    }
    number
}

fn parse_factor(parser: &mut SettingsParser<'_>, flag: &str) -> f64 {
    let factor: f64 = parser.parse(flag);
    if !(factor.is_finite() && factor > 0.0) {
        parser.add_error(flag, "it is not a positive number");
    }
    factor
}

fn parse_output(parser: &mut SettingsParser<'_>) -> bool {
    match parser.text("output").as_str() {
        "json" => true,
        "text" => false,
        other => {
            parser.add_error("output", &format!("{other:?} is neither text nor json"));
            false
        }
    }
}
