//! Child processes that are killed when their owner is dropped.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::Context;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A program to start, with its arguments and environment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// Name of the output files; unique among the programs that share a directory.
    pub name: String,
    /// Path of the executable.
    pub executable: PathBuf,
    /// Command-line arguments.
    pub args: Vec<String>,
    /// Environment variables to set in addition to the inherited ones.
    pub env: Vec<EnvVar>,
}

/// An environment variable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnvVar {
    /// Name of the variable.
    pub name: &'static str,
    /// Value of the variable.
    pub value: &'static str,
}

/// A child process; dropping it kills the process and waits for it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    reaped: bool,
}

impl Process {
    /// Starts a program; appends its output to `NAME.out` and `NAME.err` in `dir`.
    pub fn start(program: &Program, dir: &Path) -> anyhow::Result<Self> {
        let mut command = Command::new(&program.executable);
        command
            .args(&program.args)
            .envs(program.env.iter().map(|var| (var.name, var.value)))
            .stdin(Stdio::null())
            .stdout(append(&dir.join(format!("{}.out", program.name)))?)
            .stderr(append(&dir.join(format!("{}.err", program.name)))?);
        let child = command.spawn();
        let child = child.with_context(|| format!("failed to start {}", program.name))?;
        Ok(Self {
            child,
            reaped: false,
        })
    }

    /// Process identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        let pid = i32::try_from(self.pid()).context("pid out of range")?;
        kill(Pid::from_raw(pid), signal)
            .with_context(|| format!("failed to send {signal} to process {pid}"))
    }

    /// Exit status, if the process has ended. Reaps the process.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let status = self
            .child
            .try_wait()
            .context("failed to wait for a child process")?;
        self.reaped = status.is_some();
        Ok(status)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.reaped {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

fn append(path: &Path) -> anyhow::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.with_context(|| format!("failed to open {} for writing", path.display()))
}
