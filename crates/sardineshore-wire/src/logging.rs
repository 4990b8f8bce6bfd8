//! Structured logging of all programs: JSON lines on standard error.
//!
//! Programs log with `slog`. Each line has the key `event`, a number from `docs/EVENTS.md`.

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Creates the root logger of a program.
///
/// `level` is the least severe level that is logged, `trace` to `critical`; `info` is used if it
/// can't be parsed. A background thread writes the lines.
pub fn root(program: &'static str, instance: &str, level: &str) -> Logger {
    let level = level.parse().unwrap_or(Level::Info);
    let json = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let json = slog_async::Async::new(json).chan_size(4096).build();
    let json = LevelFilter::new(json, level).fuse();
    Logger::root(
        json,
        o!("program" => program, "instance" => instance.to_owned()),
    )
}
