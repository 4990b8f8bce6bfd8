//! What a case writes: one line for each event, with the time since the start in seconds.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file of lines that all threads write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        // The exit code tells the verdict, also if the record can't be written.
        let _written = file.write_all(line.as_bytes());
    }
}
