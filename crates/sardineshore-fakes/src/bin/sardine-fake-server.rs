//! `sardine-fake-server`: serves one fake backend server until the process is killed.

use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use async_std::net::TcpListener;
use clap::{Arg, ArgAction, ArgMatches, Command};
use sardineshore_core::{Diagnostic, SystemClock};
use sardineshore_fakes::serve::serve;
use sardineshore_fakes::server::FakeServer;
use sardineshore_fakes::server::engine::EngineSettings;
use sardineshore_fakes::server::engine::cache::CacheSettings;
use sardineshore_fakes::server::settings::ServerSettings;
use sardineshore_wire::settings::{SettingsParser, exit_with_errors, setting};

#[derive(Debug)]
struct Settings {
    listen: String,
    log: String,
    server: ServerSettings,
}

fn flag(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn engine_args() -> [Arg; 5] {
    [
        setting(
            "cache-entries",
            "SARDINE_FAKE_CACHE_ENTRIES",
            "64",
            "Prefixes that fit into an engine's cache",
        ),
        setting(
            "event-lag",
            "SARDINE_FAKE_EVENT_LAG",
            "500ms",
            "Time until an engine publishes a cache event",
        ),
        setting(
            "event-loss",
            "SARDINE_FAKE_EVENT_LOSS",
            "0.05",
            "Probability that an engine never publishes a cache event",
        ),
        setting(
            "batch-slope",
            "SARDINE_FAKE_BATCH_SLOPE",
            "0.1",
            "Growth of the time per token with each further attempt in the batch",
        ),
        setting(
            "order-time",
            "SARDINE_FAKE_ORDER_TIME",
            "200ms",
            "Time that an order to an engine takes",
        ),
    ]
}

fn command() -> Command {
    Command::new("sardine-fake-server")
        .about("Fake backend server that writes an execution log")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting(
            "listen",
            "SARDINE_FAKE_LISTEN",
            "",
            "Address to listen on, IP:PORT",
        ))
        .arg(setting(
            "name",
            "SARDINE_FAKE_NAME",
            "",
            "Name of the server",
        ))
        .arg(setting(
            "software-version",
            "SARDINE_FAKE_SOFTWARE_VERSION",
            "1",
            "Version of its software that load reports show",
        ))
        .arg(setting(
            "log",
            "SARDINE_FAKE_LOG",
            "",
            "File of the execution log, appended to",
        ))
        .arg(setting(
            "kind",
            "SARDINE_FAKE_KIND",
            "pool",
            "engine, pool or service",
        ))
        .arg(setting(
            "service-time",
            "SARDINE_FAKE_SERVICE_TIME",
            "20ms",
            "Mean time of one attempt",
        ))
        .arg(setting(
            "jitter",
            "SARDINE_FAKE_JITTER",
            "0.3",
            "Spread of the time around its mean, 0 to 1",
        ))
        .arg(setting(
            "capacity",
            "SARDINE_FAKE_CAPACITY",
            "8",
            "Attempts that run at the same time",
        ))
        .arg(setting(
            "max-queue",
            "SARDINE_FAKE_MAX_QUEUE",
            "64",
            "Attempts that wait at the same time",
        ))
        .arg(setting(
            "load-lag",
            "SARDINE_FAKE_LOAD_LAG",
            "100ms",
            "Maximum age of a load report",
        ))
        .arg(setting(
            "seed",
            "SARDINE_FAKE_SEED",
            "1",
            "Seed of random service times and faults",
        ))
        .args(engine_args())
        .arg(flag(
            "answers-status",
            "SARDINE_FAKE_ANSWERS_STATUS",
            "Answer status queries for run identifiers",
        ))
        .arg(flag(
            "fencing",
            "SARDINE_FAKE_FENCING",
            "Refuse orders with an old fencing token",
        ))
}

fn check(matches: &ArgMatches) -> Result<Settings, Vec<Diagnostic>> {
    let mut checker = SettingsParser::new(matches);
    let settings = Settings {
        listen: checker.addr("listen"),
        log: checker.text("log"),
        server: ServerSettings {
            name: checker.text("name").into(),
            version: checker.text("software-version").into(),
            kind: checker.parse("kind"),
            service_time: checker.duration("service-time"),
            jitter: fraction(&mut checker, "jitter"),
            capacity: positive(&mut checker, "capacity"),
            max_queue: checker.parse("max-queue"),
            load_lag: checker.duration("load-lag"),
            seed: checker.parse("seed"),
            answers_status: matches.get_flag("answers-status"),
            fencing: matches.get_flag("fencing"),
            engine: engine(&mut checker),
        },
    };
    checker.finish(settings)
}

/// Parses a number from 0 to 1.
fn fraction(checker: &mut SettingsParser<'_>, flag: &str) -> f64 {
    let fraction: f64 = checker.parse(flag);
    if !(0.0..=1.0).contains(&fraction) {
        checker.add_error(flag, &format!("{fraction} must be between 0 and 1"));
    }
    fraction
}

/// Parses a whole number above zero.
fn positive(checker: &mut SettingsParser<'_>, flag: &str) -> usize {
    if checker.optional(flag).as_deref() == Some("0") {
        checker.add_error(flag, "must be above zero");
    }
    checker.parse(flag)
}

fn engine(checker: &mut SettingsParser<'_>) -> EngineSettings {
    EngineSettings {
        cache: CacheSettings {
            entries: checker.parse("cache-entries"),
            event_lag: checker.duration("event-lag"),
            event_loss: fraction(checker, "event-loss"),
        },
        batch_slope: checker.parse("batch-slope"),
        order_time: checker.duration("order-time"),
    }
}

#[async_std::main]
async fn main() -> anyhow::Result<()> {
    let settings =
        check(&command().get_matches()).unwrap_or_else(|findings| exit_with_errors(&findings));
    let listener = TcpListener::bind(&settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    let clock = Arc::new(SystemClock);
    let server = FakeServer::start(settings.server, Path::new(&settings.log), clock)
        .with_context(|| format!("open the execution log {}", settings.log))?;
    println!("listening on {}", listener.local_addr()?);
    serve(listener, Arc::new(server)).await?;
    Ok(())
}
