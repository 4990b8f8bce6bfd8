//! Fleet of processes of a demonstration: the fake platform, backend servers and entry instances.

use std::path::PathBuf;

use anyhow::Context;
use http_types::Method;
use nix::sys::signal::Signal;
use sardineshore_wire::platform::{ListedProcess, ProcessRole};

use super::layout::{self, Layout, ServerSpec};
use super::process::{Process, Program};
use super::programs::{self, flags};
use super::proxy::CountingProxy;
use super::supervised::SupervisedProcess;
use super::{control, ports};

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of entry instances.
    pub instances: usize,
    /// Seed of the fake platform and the fake servers.
    pub seed: u64,
    /// Pipelines and backend servers.
    pub layout: Layout,
    /// Additional command-line arguments of entry instances.
    pub entry_args: Vec<String>,
    /// Whether to count the bytes to the platform and between entry instances.
    pub count_bytes: bool,
    /// Directory of the executables.
    pub programs: PathBuf,
    /// Directory of the logs.
    pub logs: PathBuf,
}

/// An entry instance of the fleet.
#[derive(Debug)]
pub struct EntryProcess {
    /// Process, which is replaced when it ends.
    pub process: SupervisedProcess,
    /// `IP:PORT` for other instances and operators.
    pub peer: String,
    /// Proxy that counts the bytes to `peer`; the instance list shows its address instead.
    proxy: Option<CountingProxy>,
    /// Whether the instance list shows it as leaving.
    pub leaving: bool,
    /// Number of times that the process was started.
    pub start_count: u32,
    number: usize,
}

/// All processes of a demonstration; dropping the fleet kills them.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    /// `IP:PORT` of the platform.
    pub platform: String,
    /// Backend servers, in the order of [`Fleet::server_specs`].
    pub servers: Vec<SupervisedProcess>,
    /// Specifications of the backend servers.
    pub server_specs: Vec<ServerSpec>,
    /// Entry instances.
    pub entries: Vec<EntryProcess>,
    /// Descriptions of entry instances that exited unexpectedly or with an error.
    pub unexpected_exits: Vec<String>,
    platform_proxy: Option<CountingProxy>,
    _platform: Process,
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until every entry instance is
    /// ready.
    pub async fn start(settings: FleetSettings) -> anyhow::Result<Self> {
        let mut fleet = Self::start_fakes(settings).await?;
        for number in 0..fleet.settings.instances {
            fleet.start_entry(number).await?;
        }
        fleet.publish_list().await?;
        for entry in &fleet.entries {
            control::wait_listening(&entry.peer).await?;
        }
        let changes = fleet.settings.layout.changes(&fleet.server_specs);
        control::apply(&fleet.entries[0].peer, changes).await?;
        for entry in &fleet.entries {
            control::wait_ready(&entry.process.addr).await?;
        }
        Ok(fleet)
    }

    async fn start_fakes(settings: FleetSettings) -> anyhow::Result<Self> {
        let addrs = ports::choose(settings.layout.server_count() + 1)?;
        let (platform, server_addrs) = addrs.split_first().context("no ports were chosen")?;
        let server_specs = settings.layout.servers(server_addrs);
        let platform_process =
            Process::start(&programs::platform(&settings, platform), &settings.logs)?;
        let process = |spec: &ServerSpec| {
            let program = programs::server(&settings, spec)?;
            SupervisedProcess::start(program, &spec.declared.addr, &settings.logs)
        };
        let servers = server_specs
            .iter()
            .map(process)
            .collect::<anyhow::Result<_>>()?;
        control::wait_listening(platform).await?;
        for addr in server_addrs {
            control::wait_listening(addr).await?;
        }
        Ok(Self {
            platform: platform.clone(),
            servers,
            server_specs,
            entries: Vec::new(),
            unexpected_exits: Vec::new(),
            platform_proxy: start_proxy(&settings, platform).await?,
            _platform: platform_process,
            settings,
        })
    }

    async fn start_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let addrs = ports::choose(2)?;
        let program = self.entry_program(number, 1, &addrs[0], &addrs[1]);
        let process = SupervisedProcess::start(program, &addrs[0], &self.settings.logs)?;
        self.entries.push(EntryProcess {
            process,
            proxy: start_proxy(&self.settings, &addrs[1]).await?,
            peer: addrs[1].clone(),
            leaving: false,
            start_count: 1,
            number,
        });
        control::wait_listening(&addrs[0]).await
    }

    fn entry_program(&self, number: usize, start: u32, addr: &str, peer: &str) -> Program {
        let name = format!("entry-{number}-{start}");
        let proxy_addr = self.platform_proxy.as_ref().map(|proxy| &proxy.addr);
        let platform = proxy_addr.unwrap_or(&self.platform);
        let args = [
            ("--name", name.as_str()),
            ("--domain", &layout::domain(number)),
            ("--listen", addr),
            ("--peer-listen", peer),
            ("--platform", platform),
        ];
        Program {
            executable: self.settings.programs.join("sardine-entry"),
            args: [flags(&args), self.settings.entry_args.clone()].concat(),
            env: Vec::new(),
            name,
        }
    }

    /// Replaces the instance list of the platform.
    pub async fn publish_list(&self) -> anyhow::Result<()> {
        let entries = self.entries.iter().map(|entry| ListedProcess {
            name: entry.process.program.name.as_str().into(),
            addr: entry.listed_addr().to_owned(),
            domain: layout::domain(entry.number),
            role: ProcessRole::Entry,
            leaving: entry.leaving,
        });
        let servers = self.server_specs.iter().map(|spec| ListedProcess {
            name: spec.declared.name.clone(),
            addr: spec.declared.addr.clone(),
            domain: spec.declared.domain.clone(),
            role: ProcessRole::Backend,
            leaving: false,
        });
        let list: Vec<ListedProcess> = entries.chain(servers).collect();
        control::send_json(Method::Put, &self.platform, "/v1/instances", &list).await
    }

    /// Marks an entry instance as leaving and stops it gracefully with SIGTERM.
    pub async fn terminate(&mut self, number: usize) -> anyhow::Result<()> {
        self.entries[number].leaving = true;
        self.publish_list().await?;
        self.entries[number].process.stop(Signal::SIGTERM)
    }

    /// Records unexpected exits and restarts processes that ended some time ago.
    pub async fn restart_ended(&mut self) -> anyhow::Result<()> {
        for server in &mut self.servers {
            if server.should_restart()? {
                server.replace(server.program.clone(), &self.settings.logs)?;
            }
        }
        for number in 0..self.entries.len() {
            self.record_unexpected_exit(number)?;
            if self.entries[number].process.should_restart()? {
                self.replace_entry(number).await?;
            }
        }
        Ok(())
    }

    fn record_unexpected_exit(&mut self, number: usize) -> anyhow::Result<()> {
        let unexpected_exit = self.entries[number].process.unexpected_exit()?;
        self.unexpected_exits.extend(unexpected_exit);
        Ok(())
    }

    async fn replace_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let entry = &self.entries[number];
        let start = entry.start_count + 1;
        let program = self.entry_program(entry.number, start, &entry.process.addr, &entry.peer);
        let entry = &mut self.entries[number];
        entry.process.replace(program, &self.settings.logs)?;
        entry.start_count = start;
        entry.leaving = false;
        self.publish_list().await
    }

    /// Whether all processes run.
    pub fn all_running(&mut self) -> anyhow::Result<bool> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        for process in self.servers.iter_mut().chain(entries) {
            if !process.is_running()? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Bytes of control traffic that entry instances sent and received; 0 if they are not counted.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        let proxies = self.entries.iter().flat_map(|entry| &entry.proxy);
        let between: u64 = proxies.map(CountingProxy::bytes).sum();
        // Bytes between two instances count twice: one sends them and the other receives them.
        2 * between + self.platform_proxy.as_ref().map_or(0, CountingProxy::bytes)
    }

    /// Paths of the execution logs of all backend servers.
    #[must_use]
    pub fn execution_logs(&self) -> Vec<PathBuf> {
        let log =
            |spec: &ServerSpec| programs::execution_log(&self.settings.logs, &spec.declared.name);
        self.server_specs.iter().map(log).collect()
    }
}

impl EntryProcess {
    fn listed_addr(&self) -> &str {
        self.proxy.as_ref().map_or(&self.peer, |proxy| &proxy.addr)
    }
}

async fn start_proxy(
    settings: &FleetSettings,
    target: &str,
) -> anyhow::Result<Option<CountingProxy>> {
    if settings.count_bytes {
        return Ok(Some(CountingProxy::start(target).await?));
    }
    Ok(None)
}
