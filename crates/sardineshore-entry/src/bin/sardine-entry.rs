//! `sardine-entry`: one entry instance of sardineshore.

use sardineshore_entry::{Settings, command, run};
use sardineshore_wire::settings::exit_with_errors;

#[cfg(feature = "jemalloc")]
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let settings =
        Settings::from_matches(&matches).unwrap_or_else(|findings| exit_with_errors(&findings));
    async_std::task::block_on(run(settings))
}
