//! Children end with their owner.

use std::path::Path;

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use xtask::demo::member::Member;
use xtask::demo::ports;
use xtask::demo::process::{Process, Program};

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

fn ended(signal: Signal) -> Option<String> {
    let mut member = Member::start(sleeper(), "127.0.0.1:1", dir()).unwrap();
    member.end(signal).unwrap();
    while member.runs().unwrap() {
        std::thread::yield_now();
    }
    member.surprise().unwrap()
}

#[test]
fn surprise_kill_is_expected() {
    assert_eq!(ended(Signal::SIGKILL), None);
}

#[test]
fn surprise_stop_that_is_not_graceful() {
    assert!(ended(Signal::SIGTERM).is_some());
}

#[test]
fn ports_are_distinct() {
    let mut addrs = ports::choose(50).unwrap();
    addrs.sort();
    addrs.dedup();
    assert_eq!(addrs.len(), 50);
}
