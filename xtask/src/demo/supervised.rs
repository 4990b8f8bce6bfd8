//! Supervision of one child process: detects its exit and replaces it after a delay.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::process::{Process, Program};

/// Time that the platform takes to replace an ended process.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// A child process that is replaced when it ends.
#[derive(Debug)]
pub struct SupervisedProcess {
    /// Program to start.
    pub program: Program,
    /// `IP:PORT` at which the process serves callers or entry instances.
    pub addr: String,
    process: Process,
    /// When the exit was noticed.
    ended_at: Option<Instant>,
    /// Signal after which the exit is expected.
    expected_signal: Option<Signal>,
}

impl SupervisedProcess {
    /// Starts a program that listens at `addr`.
    pub fn start(program: Program, addr: &str, logs: &Path) -> anyhow::Result<Self> {
        let process = Process::start(&program, logs)?;
        Ok(Self {
            program,
            addr: addr.to_owned(),
            process,
            ended_at: None,
            expected_signal: None,
        })
    }

    /// Sends a signal after which the process is expected to exit.
    pub fn stop(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.expected_signal != Some(Signal::SIGKILL) {
            self.expected_signal = Some(signal);
        }
        self.process.signal(signal)
    }

    /// Process identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Sends a signal after which the process is not expected to exit.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        self.process.signal(signal)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> anyhow::Result<bool> {
        Ok(self.process.exit_status()?.is_none())
    }

    /// Describes the exit if it was unexpected: without an expected signal, or with an error status
    /// after a signal other than SIGKILL. Returns `None` once [`Self::should_restart`] has noticed
    /// the exit, so that each exit is reported once.
    pub fn unexpected_exit(&mut self) -> anyhow::Result<Option<String>> {
        let seen_before = self.ended_at.is_some();
        let Some(status) = self.process.exit_status()? else {
            return Ok(None);
        };
        let as_expected = match self.expected_signal {
            Some(Signal::SIGKILL) => true,
            Some(_) => status.success(),
            None => false,
        };
        let ignored = seen_before || as_expected;
        Ok((!ignored).then(|| format!("{} ended with {status}", self.program.name)))
    }

    /// Whether the process ended and the restart delay has passed since that was noticed.
    pub fn should_restart(&mut self) -> anyhow::Result<bool> {
        if self.process.exit_status()?.is_none() {
            return Ok(false);
        }
        let ended_at = self.ended_at.get_or_insert_with(Instant::now);
        Ok(ended_at.elapsed() >= RESTART_DELAY)
    }

    /// Starts a program as the replacement.
    pub fn replace(&mut self, program: Program, logs: &Path) -> anyhow::Result<()> {
        self.process = Process::start(&program, logs)?;
        self.program = program;
        self.ended_at = None;
        self.expected_signal = None;
        Ok(())
    }
}
