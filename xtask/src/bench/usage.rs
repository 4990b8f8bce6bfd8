//! Resource usage of a process, read from `/proc`.

use std::time::Duration;

use anyhow::Context;
use nix::unistd::{SysconfVar, sysconf};
use sardineshore_core::duration;

// Positions after the program name, which is the second field of a stat file.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// User and system processor time of a process since its start, from `/proc/PID/stat`.
pub fn cpu_time(pid: u32) -> anyhow::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(") ").context("fields of a stat file")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |field: usize| -> anyhow::Result<u64> {
        let text = fields.get(field).context("field of a stat file")?;
        Ok(text.parse()?)
    };
    let per_second = sysconf(SysconfVar::CLK_TCK)?.context("clock ticks per second")?;
    let ticks = ticks(UTIME_FIELD)? + ticks(STIME_FIELD)?;
    Ok(duration::from_secs(ticks as f64 / per_second as f64))
}

/// Resident memory of a process in KiB, from `/proc/PID/status`.
pub fn resident_kib(pid: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.context("VmRSS of a process")?.parse()?)
}
