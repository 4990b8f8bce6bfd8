//! The record of a run: what was sent, answered and run, with times since the start.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Collects lines until they are written to a file.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line, which is also printed.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let _written = writeln!(lines, "{seconds:8.3} {text}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = std::fs::write(path, lines.as_bytes()) {
            eprintln!("can't write the record: {error}");
        }
    }
}
