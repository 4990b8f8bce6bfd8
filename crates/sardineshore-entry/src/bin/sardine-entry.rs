//! `sardine-entry`: one entry instance of sardineshore.

use sardineshore_entry::{Settings, command, run};
use sardineshore_wire::settings::exit_with;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let settings = Settings::from_matches(&matches).unwrap_or_else(|findings| exit_with(&findings));
    async_std::task::block_on(run(settings))
}
