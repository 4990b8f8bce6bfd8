//! Execution log of a fake server: one JSON line per event, written before the event takes effect.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

use sardineshore_core::Clock;
use sardineshore_core::clock::unix_ms;
use sardineshore_wire::audit_log::{ExecutionEvent, ExecutionRecord};

use super::attempt::Attempt;

/// Appends to the execution log of one backend server.
#[derive(Debug)]
pub struct ExecutionLog {
    server: Arc<str>,
    clock: Arc<dyn Clock>,
    file: Mutex<File>,
}

impl ExecutionLog {
    /// Opens the log for appending; a new file is created.
    pub fn open(path: &Path, server: Arc<str>, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            server,
            clock,
            file: Mutex::new(file),
        })
    }

    /// Appends one line for an event of an attempt.
    ///
    /// # Panics
    ///
    /// Panics if the log can't be written: an audit would miss a violation if an execution were not
    /// in the log.
    pub fn write(&self, event: ExecutionEvent, attempt: &Attempt) {
        let line = ExecutionRecord {
            at_ms: unix_ms(self.clock.wall_time()),
            server: self.server.clone(),
            event,
            request: attempt.request.clone(),
            attempt: attempt.attempt.clone(),
            stage: attempt.stage.clone(),
            run_id: attempt.run_id.clone(),
            tag: attempt.tag.clone(),
        };
        let mut text = serde_json::to_string(&line).expect("a log line serializes");
        text.push('\n');
        let mut file = self.file.lock().expect("log lock poisoned");
        file.write_all(text.as_bytes())
            .expect("the execution log can be written");
    }
}

/// Reads a log; lines that don't parse, such as a last line truncated by a crash, are skipped.
pub fn read(path: &Path) -> io::Result<Vec<ExecutionRecord>> {
    let mut lines = Vec::new();
    for line in BufReader::new(File::open(path)?).lines() {
        lines.extend(serde_json::from_str::<ExecutionRecord>(&line?));
    }
    Ok(lines)
}
