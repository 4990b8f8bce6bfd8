//! Tests that child processes end with their owner, how their exits are reported, and the choice of
//! ports.

use std::path::Path;

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use xtask::demo::ports;
use xtask::demo::process::{Process, Program};
use xtask::demo::supervised::SupervisedProcess;

fn sleeper() -> Program {
    Program {
        name: format!("xtask-sleeper-{}", std::process::id()),
        executable: "/bin/sleep".into(),
        args: vec!["60".into()],
        env: Vec::new(),
    }
}

fn dir() -> &'static Path {
    Path::new(env!("CARGO_TARGET_TMPDIR"))
}

fn pid(process: &Process) -> Pid {
    Pid::from_raw(i32::try_from(process.pid()).unwrap())
}

#[test]
fn drop_ends_child() {
    let process = Process::start(&sleeper(), dir()).unwrap();
    let pid = pid(&process);
    assert_eq!(kill(pid, None), Ok(()));
    drop(process);
    assert_eq!(kill(pid, None), Err(Errno::ESRCH));
}

#[test]
fn drop_ends_stopped_child() {
    let mut process = Process::start(&sleeper(), dir()).unwrap();
    let pid = pid(&process);
    process.signal(Signal::SIGSTOP).unwrap();
    drop(process);
    assert_eq!(kill(pid, None), Err(Errno::ESRCH));
}

fn unexpected_exit_after(signal: Signal) -> Option<String> {
    let mut process = SupervisedProcess::start(sleeper(), "127.0.0.1:1", dir()).unwrap();
    process.stop(signal).unwrap();
    while process.is_running().unwrap() {
        std::thread::yield_now();
    }
    process.unexpected_exit().unwrap()
}

#[test]
fn unexpected_exit_after_kill_is_none() {
    assert_eq!(unexpected_exit_after(Signal::SIGKILL), None);
}

#[test]
fn unexpected_exit_after_failed_stop_is_reported() {
    assert!(unexpected_exit_after(Signal::SIGTERM).is_some());
}

#[test]
fn ports_are_distinct() {
    let mut addrs = ports::choose(50).unwrap();
    addrs.sort();
    addrs.dedup();
    assert_eq!(addrs.len(), 50);
}
