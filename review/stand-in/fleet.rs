//! Starts `sardine-serve` processes by the command of the deploy file, and ends them.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The command of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/sardine-serve";
const FRONT_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const FIRST_INTERNAL_PORT: u16 = 7740;

/// Ids of all processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not ended.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
}

fn signal(id: u32, name: &str) {
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &id.to_string()])
        .status();
    drop(sent);
}

/// A loopback network that nothing else uses: 127.A.B.0.
pub fn free_network() -> io::Result<String> {
    let id = std::process::id();
    for number in 0..200 {
        let (high, low) = (32 + (id / 250 + number) % 90, 1 + id % 250);
        let network = format!("127.{high}.{low}");
        let is_free = (1..=9).all(|host| {
            let ip = format!("{network}.{host}");
            let ports = [
                FRONT_PORT,
                READY_PORT,
                FIRST_INTERNAL_PORT,
                FIRST_INTERNAL_PORT + 1,
            ];
            ports
                .iter()
                .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// One instance: its settings, and its process while it runs.
pub struct Instance {
    pub name: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Instance {
    /// Writes the settings of an instance and starts it.
    pub fn start(
        name: &str,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let mut instance = Self {
            name: name.into(),
            ip: ip.into(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        };
        fs::write(&instance.settings, settings(name, zone, ip, store))?;
        instance.spawn()?;
        Ok(instance)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("SARDINESHORE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.record
            .line(&format!("{}: started as {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal: `KILL`, `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{}: SIG{name}", self.name));
            signal(child.id(), name);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        self.wait_end(Duration::from_secs(5));
    }

    /// Waits until the process has ended; returns whether it has.
    pub fn wait_end(&mut self, longest: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                RUNNING.lock().unwrap().retain(|id| *id != child.id());
                self.record.line(&format!("{}: ended, {status}", self.name));
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip.parse().unwrap(), FRONT_PORT)
    }

    /// Whether the instance says that it is ready, like the platform's question.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect((self.ip.as_str(), READY_PORT))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let head = crate::http::read_head(&mut io::BufReader::new(stream))?;
            Ok(head.is_some_and(|head| head.second_word() == "200"))
        };
        ask().unwrap_or(false)
    }

    /// Waits until the instance is ready.
    pub fn wait_ready(&self, longest: Duration) -> Result<(), crate::Failure> {
        let until = Instant::now() + longest;
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} is not ready", self.name).into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("{}: ready", self.name));
        Ok(())
    }

    /// Copies the last lines of the log that hold a word into the record.
    pub fn quote_log(&self, word: &str, most: usize) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().filter(|line| line.contains(word)).collect();
        for line in &lines[lines.len().saturating_sub(most)..] {
            self.record.line(&format!("{}: log: {line}", self.name));
        }
    }
}

/// Settings of a front machine of tangolin-tpe, on loopback addresses.
fn settings(name: &str, zone: &str, ip: &str, store: SocketAddr) -> String {
    let last_port = FIRST_INTERNAL_PORT + 15;
    format!(
        r#"node = "{name}"
role = "serve"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "tw-north"
internal_port_range = [{FIRST_INTERNAL_PORT},{last_port}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]

[zones]
tpe-a = "tw-north"
tpe-b = "tw-north"
ntp-c = "tw-north"

[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"

[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 2
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recovery_s = 12
pass_ms = 120
reuse_window_s = 9.4

[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#
    )
}
