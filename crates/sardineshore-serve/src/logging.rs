//! Structured logs: JSON lines on standard output.
//!
//! A thread writes the lines from a bounded queue, so that logging never blocks a request.

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Capacity of the queue; when it is full, lines are dropped and a later line reports how many.
const QUEUE_LINES: usize = 2048;

/// Longest text of others in a line, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Shortens text that quotes what others wrote, so that they don't decide how long a line is.
#[must_use]
pub fn shorten(mut text: String) -> String {
    if text.len() > MAX_TEXT_BYTES {
        let is_end = |end: &usize| text.is_char_boundary(*end);
        let end = (0..=MAX_TEXT_BYTES).rev().find(is_end).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}

/// Root logger of an instance: adds the instance's name to each line and drops lines below `level`.
pub fn root(instance: &str, level: Level) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .build()
        .fuse();
    let json = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let json = LevelFilter::new(json, level).fuse();
    Logger::root(json, o!("instance" => instance.to_owned()))
}
