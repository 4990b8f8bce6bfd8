//! Structured logs: JSON lines on standard output, bounded and never blocking.

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written; further ones are dropped and their number is reported.
const PENDING_LINES: usize = 2048;

/// Root logger of an instance.
pub fn root(instance: &str, level: Level) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .build()
        .fuse();
    let json = slog_async::Async::new(json)
        .chan_size(PENDING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let json = LevelFilter::new(json, level).fuse();
    Logger::root(json, o!("instance" => instance.to_owned()))
}
