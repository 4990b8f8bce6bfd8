//! What was sent, answered and run, with the time since the start in milliseconds.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn add(&self, line: String) {
        let at = self.started_at.elapsed();
        self.lines.lock().expect("lines").push((at, line));
    }

    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().expect("lines");
        let lines = lines
            .iter()
            .map(|(at, line)| format!("{:>7} {line}\n", at.as_millis()));
        if let Err(error) = std::fs::write(path, lines.collect::<String>()) {
            eprintln!("can't write the record: {error}");
        }
    }
}
