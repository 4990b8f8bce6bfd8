//! Processes of the program under review, started as the deploy file says, and what the platform does to
//! them: it kills one that exceeds its memory, and starts those that ended again after a short delay.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::record::Record;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/sardine-serve";
/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 260;

pub struct Instance {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    internal_port: u16,
    child: Mutex<Option<Child>>,
    /// Set while the script itself ends the process.
    pub is_disturbed: AtomicBool,
    /// When the process ended by itself, or was killed as it exceeded its memory.
    pub own_ends: Mutex<Vec<u128>>,
    /// Most memory that it had in use, in bytes.
    pub peak_bytes: AtomicU64,
}

pub struct Fleet {
    pub instances: Vec<Arc<Instance>>,
    folder: PathBuf,
    store: SocketAddr,
    zones: Vec<String>,
    is_closing: AtomicBool,
    record: Arc<Record>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    listener.local_addr().expect("address")
}

fn free_port_pair() -> u16 {
    loop {
        let port = free_address().port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

/// Memory that a process has in use, in bytes; 0 if it has ended.
fn memory_in_use(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes =
        line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

impl Fleet {
    /// Starts one instance for each of the zones, and waits until all are ready.
    pub fn start(zones: &[&str], store: SocketAddr, record: &Arc<Record>) -> Option<Arc<Self>> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let mut instances = Vec::new();
        let mut known: Vec<String> = Vec::new();
        for zone in zones {
            known.push((*zone).to_owned());
            let number = known.iter().filter(|z| z == zone).count();
            instances.push(Arc::new(Instance {
                name: format!("front-{zone}-{number}"),
                zone: (*zone).to_owned(),
                front: free_address(),
                ready: free_address(),
                internal_port: free_port_pair(),
                child: Mutex::default(),
                is_disturbed: AtomicBool::new(false),
                own_ends: Mutex::default(),
                peak_bytes: AtomicU64::new(0),
            }));
        }
        known.sort();
        known.dedup();
        let fleet = Arc::new(Self {
            instances,
            folder,
            store,
            zones: known,
            is_closing: AtomicBool::new(false),
            record: record.clone(),
        });
        for instance in &fleet.instances {
            fleet.spawn(instance, true)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !fleet.instances.iter().all(|instance| instance.is_ready()) {
            if Instant::now() > until {
                fleet.close();
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        let watched = fleet.clone();
        std::thread::spawn(move || watched.watch());
        Some(fleet)
    }

    fn settings(&self, instance: &Instance, is_first_start: bool) -> String {
        let zones: String = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"north\"\n"))
            .collect();
        let Instance {
            name,
            zone,
            front,
            ready,
            internal_port,
            ..
        } = instance;
        let last_port = internal_port + 1;
        let store = self.store;
        format!(
            r#"node = "{name}"
role = "serve"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "north"
internal_port_range = [{internal_port},{last_port}]
seeds = []
bootstrap = {is_first_start}
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
{zones}[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
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
"#
        )
    }

    fn spawn(&self, instance: &Instance, is_first_start: bool) -> Option<()> {
        let path = self.folder.join(format!("{}.toml", instance.name));
        std::fs::write(&path, self.settings(instance, is_first_start)).ok()?;
        let log = self.folder.join(format!("{}.log", instance.name));
        let log = File::options().create(true).append(true).open(log).ok()?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SARDINESHORE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.record
            .add(format!("{} started, process {}", instance.name, child.id()));
        *instance.child.lock().expect("child") = Some(child);
        Some(())
    }

    /// Starts processes that ended again, forever.
    fn watch(&self) {
        let mut due: Vec<(Instant, Arc<Instance>)> = Vec::new();
        while !self.is_closing.load(Ordering::SeqCst) {
            for instance in &self.instances {
                let mut child = instance.child.lock().expect("child");
                if let Some(process) = child.as_mut() {
                    let used = memory_in_use(process.id());
                    instance.peak_bytes.fetch_max(used, Ordering::SeqCst);
                    if used > MEMORY_MB * 1_000_000 {
                        let name = &instance.name;
                        self.record.add(format!(
                            "{name} uses {used} bytes, more than memory_mb: the platform kills it"
                        ));
                        let _killed = process.kill();
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
                let ended = child
                    .as_mut()
                    .and_then(|child| child.try_wait().ok().flatten());
                let Some(status) = ended else { continue };
                *child = None;
                drop(child);
                if !instance.is_disturbed.load(Ordering::SeqCst) {
                    self.record
                        .add(format!("{} ENDED BY ITSELF: {status}", instance.name));
                    instance
                        .own_ends
                        .lock()
                        .expect("ends")
                        .push(self.record.now_ms());
                }
                due.push((Instant::now() + RESTART_DELAY, instance.clone()));
            }
            let now = Instant::now();
            for (_, instance) in due.extract_if(.., |(at, _)| *at <= now) {
                self.spawn(&instance, false);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, instance: &Instance, signal: &str) {
        let child = instance.child.lock().expect("child");
        let Some(child) = child.as_ref() else { return };
        self.record
            .add(format!("{} gets SIG{signal}", instance.name));
        let id = child.id().to_string();
        let _sent = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    /// Lines of the instances' logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for instance in &self.instances {
            let log = self.folder.join(format!("{}.log", instance.name));
            let log = std::fs::read(log).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            let lines = log.lines().filter(|line| line.contains(text));
            found.extend(lines.map(|line| format!("{}: {line}", instance.name)));
        }
        found
    }

    /// Ends all processes and removes the temporary folder.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        // The thread that starts processes again ends first.
        std::thread::sleep(Duration::from_millis(200));
        for instance in &self.instances {
            if let Some(mut child) = instance.child.lock().expect("child").take() {
                let _ended = child.kill();
                let _reaped = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Instance {
    fn is_ready(&self) -> bool {
        let client = Client::connect(self.ready, Duration::from_millis(500));
        client.is_some_and(|mut client| {
            client.send("GET", "/api/ready", &[("Host", "ready".into())], b"")
                && client
                    .receive()
                    .is_some_and(|answer| answer.status() == 200)
        })
    }
}
