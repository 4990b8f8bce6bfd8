//! Front machines: `sardine-serve` as processes of their own, started as the deploy file does.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;

const SIGTERM: i32 = 15;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Program that `deploy/system.toml` names, from the root of the repository.
const PROGRAM: &str = "target/release/sardine-serve";

/// What differs between deployments.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub memory_mb: u32,
    pub max_fds: u32,
}

/// One front machine.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
}

/// A port that is free on this address.
fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// First of two ports in a row that are free on this address.
fn free_ports(ip: Ipv4Addr) -> std::io::Result<u16> {
    for _ in 0..100 {
        let port = free_port(ip)?;
        if port < 65000 && TcpListener::bind((ip, port + 1)).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

impl Node {
    /// Prepares machine `number`, with a loopback address of its own; it is not started.
    pub fn new(number: u8, store: SocketAddr, deployment: Deployment) -> std::io::Result<Self> {
        let ip = Ipv4Addr::new(127, 0, 61, number);
        let name = format!("front-a-{number}");
        let dir = std::env::temp_dir().join(format!("review-3-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (front, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let first = free_ports(ip)?;
        let last = first + 1;
        let Deployment { memory_mb, max_fds } = deployment;
        let settings = dir.join("boot.toml");
        let text = format!(
            "node = \"{name}\"\nrole = \"serve\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"region\"\ninternal_port_range = [{first},{last}]\n\
             seeds = [\"{ip}:{control}\"]\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\n\
             entry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"]\n\
             [zones]\nzone-a = \"region\"\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n\
             grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
             fail_closed = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\n\
             recovery_s = 12\npass_ms = 120\nreuse_window_s = 10\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\ntx_ms = 5.0\n\
             part_writes_s = 200\nrow_bytes = 65536\nacross = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
             blob_mb_s = 80.0\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            name,
            front: (ip, front).into(),
            ready: (ip, ready).into(),
            settings,
            dir,
            child: None,
        })
    }

    /// Starts the process; its log goes to a file of its own.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join("log"))?;
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env("SARDINESHORE_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Id of the process; `None` if it doesn't run.
    pub fn pid(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        let runs = matches!(child.try_wait(), Ok(None));
        runs.then(|| child.id())
    }

    /// Starts the process again, as the platform does: the whole system doesn't start for the first time.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text)?;
        self.start()
    }

    /// SIGSTOP: the machine is dark.
    pub fn freeze(&mut self) {
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // SAFETY: as in `stop`.
            unsafe { kill(pid, SIGSTOP) };
        }
    }

    /// SIGTERM, and SIGKILL after `grace`. Returns the time until the process ended.
    pub fn stop(&mut self, grace: Duration) -> Duration {
        let began = Instant::now();
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // SAFETY: sends a signal to a process that this one started and has not waited for.
            unsafe { kill(pid, SIGTERM) };
        }
        while self.pid().is_some() && began.elapsed() < grace {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        began.elapsed()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended_before = child.kill();
            let _status = child.wait();
        }
    }

    /// Whether the machine answers the balancer's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let deadline = Some(Instant::now() + Duration::from_millis(500));
            let mut conn = Conn::connect(self.ready)?;
            conn.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(conn.head(deadline)?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

/// Starts all machines at about the same time and waits until they are ready.
pub fn start_all(nodes: &mut [Node]) -> Result<(), String> {
    for node in nodes.iter_mut() {
        node.start()
            .map_err(|error| format!("can't start {PROGRAM}: {error}"))?;
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if nodes.iter().all(Node::is_ready) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err("the machines are not ready after 15 s".to_owned())
}
