//! The operators' program.

use std::sync::Arc;

use anyhow::Context;
use sardineshore_core::SystemClock;
use sardineshore_ctl::fleet::Fleet;
use sardineshore_ctl::render::{Output, render};
use sardineshore_ctl::report::{Report, exit};
use sardineshore_ctl::session::Session;
use sardineshore_ctl::settings::{self, Settings};

#[async_std::main]
async fn main() -> anyhow::Result<()> {
    let matches = settings::command().get_matches();
    let settings = match settings::check(&matches) {
        Ok(settings) => settings,
        Err(findings) => {
            let output = matches.get_one::<String>("output");
            let output = output.and_then(|text| text.parse().ok());
            finish(&[Report::Faulty { findings }], output.unwrap_or_default());
        }
    };
    let Settings {
        instances,
        output,
        call_timeout,
        session,
        steps,
    } = settings;
    let fleet = Fleet::new(&instances, call_timeout).context("create the clients")?;
    let session = Session::new(session, fleet, Arc::new(SystemClock));
    finish(&session.run(steps).await, output)
}

/// Prints the reports and ends the program.
fn finish(reports: &[Report], output: Output) -> ! {
    let printed = render(reports, output);
    print!("{}", printed.out);
    eprint!("{}", printed.err);
    std::process::exit(exit(reports) as i32)
}
