//! `sardine-fake-platform`: serves the fake platform until the process is killed.

use std::sync::Arc;

use anyhow::Context;
use async_std::net::TcpListener;
use clap::{ArgMatches, Command};
use sardineshore_core::{Diagnostic, SystemClock};
use sardineshore_fakes::platform::{Platform, PlatformSettings};
use sardineshore_fakes::serve::serve;
use sardineshore_wire::settings::{SettingsParser, exit_with_errors, setting};

#[derive(Debug)]
struct Settings {
    listen: String,
    platform: PlatformSettings,
}

fn command() -> Command {
    Command::new("sardine-fake-platform")
        .about("Fake platform: table, objects, instance list and weight store")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting(
            "listen",
            "SARDINE_FAKE_LISTEN",
            "",
            "Address to listen on, IP:PORT",
        ))
        .arg(setting(
            "lag",
            "SARDINE_FAKE_LAG",
            "1s",
            "Time until readers see a new instance list",
        ))
        .arg(setting(
            "writes",
            "SARDINE_FAKE_WRITES",
            "400",
            "Writes per second before calls are throttled",
        ))
        .arg(setting(
            "reads",
            "SARDINE_FAKE_READS",
            "2000",
            "Reads per second before calls are throttled",
        ))
        .arg(setting(
            "weights",
            "SARDINE_FAKE_WEIGHTS",
            "20",
            "Reads of weights per second before calls are throttled",
        ))
        .arg(setting(
            "seed",
            "SARDINE_FAKE_SEED",
            "1",
            "Seed of the random fault decisions",
        ))
}

fn check(matches: &ArgMatches) -> Result<Settings, Vec<Diagnostic>> {
    let mut checker = SettingsParser::new(matches);
    let settings = Settings {
        listen: checker.addr("listen"),
        platform: PlatformSettings {
            writes_per_second: checker.parse("writes"),
            reads_per_second: checker.parse("reads"),
            weights_per_second: checker.parse("weights"),
            lag: checker.duration("lag"),
            seed: checker.parse("seed"),
        },
    };
    checker.finish(settings)
}

#[async_std::main]
async fn main() -> anyhow::Result<()> {
    let settings =
        check(&command().get_matches()).unwrap_or_else(|findings| exit_with_errors(&findings));
    let platform = Platform::new(&settings.platform, Arc::new(SystemClock));
    let listener = TcpListener::bind(&settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    println!("listening on {}", listener.local_addr()?);
    serve(listener, Arc::new(platform)).await?;
    Ok(())
}
