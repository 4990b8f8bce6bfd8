//! Settings of `sardine-load`: flags and environment variables, checked together.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use sardineshore_core::Finding;
use sardineshore_wire::settings::{SettingsParser, setting};

use crate::caller::CallerSettings;
use crate::preset;
use crate::schedule::{Burst, ScheduleSettings};
use crate::workload::Workload;

/// Settings of `sardine-load`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Callers' addresses of the entry instances, `IP:PORT`.
    pub entries: Vec<Arc<str>>,
    /// Peer addresses of the entry instances that are asked for costs, `IP:PORT`.
    pub operators: Vec<Arc<str>>,
    /// What is asked.
    pub workload: Workload,
    /// How many requests, and when.
    pub schedule: ScheduleSettings,
    /// How callers behave.
    pub callers: CallerSettings,
    /// Largest number of logical requests in flight.
    pub in_flight: usize,
    /// Where the callers' log goes.
    pub log: Option<PathBuf>,
    /// Where the page of plots goes.
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
        .args(addresses())
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
                "How often a non-idempotent request is repeated after an outcome in doubt",
            ),
            setting(
                "grace",
                "SARDINE_LOAD_GRACE",
                "2s",
                "How long callers wait for a reply beyond the deadline",
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
                "File for the callers' log, JSON lines",
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
                "Form of the report: text or json",
            ),
        ])
}

/// Settings of where entry instances are.
fn addresses() -> [Arg; 2] {
    [
        setting(
            "entries",
            "SARDINE_LOAD_ENTRIES",
            "127.0.0.1:7000",
            "Callers' addresses of the entry instances, IP:PORT, separated by commas",
        ),
        setting(
            "operators",
            "SARDINE_LOAD_OPERATORS",
            "",
            "Peer addresses of all entry instances, to report costs; none: no costs",
        ),
    ]
}

/// Reads and checks the settings; all faults are returned together.
pub fn read(matches: &ArgMatches) -> Result<Settings, Vec<Finding>> {
    let mut checker = SettingsParser::new(matches);
    let (workload, findings) = read_workload(&mut checker);
    let settings = Settings {
        entries: read_addrs(&mut checker, "entries"),
        operators: match checker.optional("operators") {
            Some(_) => read_addrs(&mut checker, "operators"),
            None => Vec::new(),
        },
        workload,
        schedule: read_schedule(&mut checker),
        callers: CallerSettings {
            repeats: checker.parse("repeats"),
            grace: checker.duration("grace"),
        },
        in_flight: read_positive(&mut checker, "in-flight"),
        log: checker.optional("log").map(PathBuf::from),
        plots: checker.optional("plots").map(PathBuf::from),
        json: read_output(&mut checker),
    };
    match checker.finish(settings) {
        Ok(settings) if findings.is_empty() => Ok(settings),
        Ok(_) => Err(findings),
        Err(mut faults) => {
            faults.extend(findings);
            Err(faults)
        }
    }
}

fn read_workload(checker: &mut SettingsParser<'_>) -> (Workload, Vec<Finding>) {
    let name = checker.text("workload");
    if let Some(workload) = preset::find(&name) {
        return (workload, Vec::new());
    }
    let text = match std::fs::read_to_string(&name) {
        Ok(text) => text,
        Err(err) => {
            let known = preset::NAMES.join(", ");
            checker.add_error(
                "workload",
                &format!("{name:?} is none of {known}, nor a file: {err}"),
            );
            return (Workload::default(), Vec::new());
        }
    };
    match Workload::from_json(&text) {
        Ok(workload) => (workload, Vec::new()),
        Err(findings) => (Workload::default(), findings),
    }
}

fn read_addrs(checker: &mut SettingsParser<'_>, flag: &str) -> Vec<Arc<str>> {
    let text = checker.text(flag);
    let addrs: Vec<Arc<str>> = text.split(',').map(|addr| addr.trim().into()).collect();
    for addr in &addrs {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            checker.add_error(flag, &format!("{addr:?} is not IP:PORT"));
        }
    }
    addrs
}

fn read_schedule(checker: &mut SettingsParser<'_>) -> ScheduleSettings {
    let length = checker.duration("burst-length");
    let burst = Burst {
        at: checker.duration("burst-at"),
        length,
        factor: read_factor(checker, "burst-factor"),
    };
    ScheduleSettings {
        requests: read_positive(checker, "requests"),
        rate: read_factor(checker, "rate"),
        seed: checker.parse("seed"),
        burst: (length > Duration::ZERO).then_some(burst),
        poison: checker.parse("poison"),
    }
}

fn read_positive(checker: &mut SettingsParser<'_>, flag: &str) -> usize {
    let number = checker.parse(flag);
    if number == 0 {
        checker.add_error(flag, "it is not positive");
    }
    number
}

fn read_factor(checker: &mut SettingsParser<'_>, flag: &str) -> f64 {
    let factor: f64 = checker.parse(flag);
    if !(factor.is_finite() && factor > 0.0) {
        checker.add_error(flag, "it is not a positive number");
    }
    factor
}

fn read_output(checker: &mut SettingsParser<'_>) -> bool {
    match checker.text("output").as_str() {
        "json" => true,
        "text" => false,
        other => {
            checker.add_error("output", &format!("{other:?} is neither text nor json"));
            false
        }
    }
}
