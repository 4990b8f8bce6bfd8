//! Structured logs: JSON lines on standard error, each with the number of its event.
//!
//! Programs log with `slog` and the key `event`, a number from `docs/EVENTS.md`.

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Root logger of a program; `level` is one of `trace` to `critical`, `info` if unknown.
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
