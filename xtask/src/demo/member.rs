//! A process that is replaced when it ends.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::process::{Process, Program};

/// Time until the platform replaces a process that has ended.
const REVIVE_AFTER: Duration = Duration::from_millis(800);
/// A process that is replaced when it ends.
#[derive(Debug)]
pub struct Member {
    /// How it is started.
    pub program: Program,
    /// `IP:PORT` for callers or entry instances.
    pub addr: String,
    process: Process,
    /// When it was seen to have ended.
    ended: Option<Instant>,
    /// Signal after which it is expected to end.
    expected: Option<Signal>,
}

impl Member {
    /// Starts a program that listens at `addr`.
    pub fn start(program: Program, addr: &str, logs: &Path) -> anyhow::Result<Self> {
        let process = Process::start(&program, logs)?;
        Ok(Self {
            program,
            addr: addr.to_owned(),
            process,
            ended: None,
            expected: None,
        })
    }

    /// Sends a signal after which the process is expected to end.
    pub fn end(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.expected != Some(Signal::SIGKILL) {
            self.expected = Some(signal);
        }
        self.process.signal(signal)
    }

    /// The process's identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        self.process.signal(signal)
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> anyhow::Result<bool> {
        Ok(self.process.poll()?.is_none())
    }

    /// Tells once if it ended without being told to, or not as it should.
    pub fn surprise(&mut self) -> anyhow::Result<Option<String>> {
        let seen_before = self.ended.is_some();
        let Some(status) = self.process.poll()? else {
            return Ok(None);
        };
        let as_expected = match self.expected {
            Some(Signal::SIGKILL) => true,
            Some(_) => status.success(),
            None => false,
        };
        let told = seen_before || as_expected;
        Ok((!told).then(|| format!("{} ended with {status}", self.program.name)))
    }

    /// Whether it ended long enough ago to be replaced.
    pub fn is_due(&mut self) -> anyhow::Result<bool> {
        if self.process.poll()?.is_none() {
            return Ok(false);
        }
        let ended = self.ended.get_or_insert_with(Instant::now);
        Ok(ended.elapsed() >= REVIVE_AFTER)
    }

    /// Starts a program in its place.
    pub fn replace(&mut self, program: Program, logs: &Path) -> anyhow::Result<()> {
        self.process = Process::start(&program, logs)?;
        self.program = program;
        self.ended = None;
        self.expected = None;
        Ok(())
    }
}
