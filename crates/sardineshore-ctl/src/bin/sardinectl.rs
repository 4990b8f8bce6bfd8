//! `sardinectl`: the command-line program of operators.

use std::sync::Arc;

use anyhow::Context;
use sardineshore_core::SystemClock;
use sardineshore_ctl::client::OperatorClients;
use sardineshore_ctl::render::{OutputFormat, render};
use sardineshore_ctl::report::{Report, exit_code};
use sardineshore_ctl::session::Session;
use sardineshore_ctl::settings::{self, Settings};

#[async_std::main]
async fn main() -> anyhow::Result<()> {
    let matches = settings::command().get_matches();
    let settings = match settings::parse(&matches) {
        Ok(settings) => settings,
        Err(findings) => {
            let output = matches.get_one::<String>("output");
            let output = output.and_then(|text| text.parse().ok());
            print_and_exit(&[Report::Faulty { findings }], output.unwrap_or_default());
        }
    };
    let Settings {
        instances,
        output,
        call_timeout,
        session,
        steps,
    } = settings;
    let clients = OperatorClients::new(&instances, call_timeout).context("create the clients")?;
    let session = Session::new(session, clients, Arc::new(SystemClock));
    print_and_exit(&session.run(steps).await, output)
}

/// Prints the reports and ends the program with their exit code.
fn print_and_exit(reports: &[Report], output: OutputFormat) -> ! {
    let rendered = render(reports, output);
    print!("{}", rendered.stdout);
    eprint!("{}", rendered.stderr);
    std::process::exit(exit_code(reports) as i32)
}
