//! Child processes that never outlive their owner.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::Context;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A program with its arguments and the directory of its output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// Name, unique among the programs that share a directory.
    pub name: String,
    /// Path of the executable.
    pub executable: PathBuf,
    /// Arguments.
    pub args: Vec<String>,
    /// Environment variables.
    pub env: Vec<Variable>,
}

/// An environment variable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variable {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: &'static str,
}

/// A running child; dropping it kills it by its pid and reaps it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: bool,
}

impl Process {
    /// Starts a program; its output goes to `NAME.out` and `NAME.err` in `dir`.
    pub fn start(program: &Program, dir: &Path) -> anyhow::Result<Self> {
        let mut command = Command::new(&program.executable);
        command
            .args(&program.args)
            .envs(program.env.iter().map(|var| (var.name, var.value)))
            .stdin(Stdio::null())
            .stdout(append(&dir.join(format!("{}.out", program.name)))?)
            .stderr(append(&dir.join(format!("{}.err", program.name)))?);
        let child = command.spawn();
        let child = child.with_context(|| format!("{} did not start", program.name))?;
        Ok(Self {
            child,
            ended: false,
        })
    }

    /// The process's identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.poll()?.is_some() {
            return Ok(());
        }
        let pid = i32::try_from(self.pid()).context("pid out of range")?;
        kill(Pid::from_raw(pid), signal).with_context(|| format!("{signal} to {pid}"))
    }

    /// The exit status, if the process has ended.
    pub fn poll(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let status = self.child.try_wait().context("wait for a child")?;
        self.ended = status.is_some();
        Ok(status)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

fn append(path: &Path) -> anyhow::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.with_context(|| format!("can't write {}", path.display()))
}
