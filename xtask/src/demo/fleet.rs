//! The processes of a demonstration: platform, backend servers, entry instances.

use std::path::PathBuf;

use anyhow::Context;
use http_types::Method;
use nix::sys::signal::Signal;
use sardineshore_wire::platform::{Listed, ListedRole};

use super::control;
use super::layout::{self, Layout, ServerPlan};
use super::member::Member;
use super::meter::Meter;
use super::ports;
use super::process::{Process, Program};
use super::programs::{self, flags};

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of entry instances.
    pub instances: usize,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// What runs behind the entry instances.
    pub layout: Layout,
    /// Further arguments of entry instances.
    pub entry_args: Vec<String>,
    /// Whether bytes to the platform and between entry instances are counted.
    pub metered: bool,
    /// Directory of executables.
    pub programs: PathBuf,
    /// Directory of logs.
    pub logs: PathBuf,
}

/// An entry instance.
#[derive(Debug)]
pub struct EntryMember {
    /// Its process.
    pub member: Member,
    /// `IP:PORT` for other instances and operators.
    pub peer: String,
    /// Counts the bytes to `peer`, whose place it takes in the instance list.
    meter: Option<Meter>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of starts.
    pub starts: u32,
    number: usize,
}

/// All processes of a demonstration; dropping it ends them.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    /// `IP:PORT` of the platform.
    pub platform: String,
    /// Backend servers, in the order of [`Fleet::plans`].
    pub servers: Vec<Member>,
    /// What backend servers are.
    pub plans: Vec<ServerPlan>,
    /// Entry instances.
    pub entries: Vec<EntryMember>,
    /// Processes that ended without being told to, or not as they should.
    pub surprises: Vec<String>,
    platform_meter: Option<Meter>,
    _platform: Process,
}

impl Fleet {
    /// Starts everything and puts the configuration in force.
    pub async fn start(settings: FleetSettings) -> anyhow::Result<Self> {
        let mut fleet = Self::start_stand_ins(settings).await?;
        for number in 0..fleet.settings.instances {
            fleet.start_entry(number).await?;
        }
        fleet.publish_list().await?;
        for entry in &fleet.entries {
            control::wait_listening(&entry.peer).await?;
        }
        let changes = fleet.settings.layout.changes(&fleet.plans);
        control::apply(&fleet.entries[0].peer, changes).await?;
        for entry in &fleet.entries {
            control::wait_ready(&entry.member.addr).await?;
        }
        Ok(fleet)
    }

    async fn start_stand_ins(settings: FleetSettings) -> anyhow::Result<Self> {
        let addrs = ports::choose(settings.layout.server_count() + 1)?;
        let (platform, server_addrs) = addrs.split_first().context("ports")?;
        let plans = settings.layout.servers(server_addrs);
        let platform_process =
            Process::start(&programs::platform(&settings, platform), &settings.logs)?;
        let member = |plan: &ServerPlan| {
            let program = programs::server(&settings, plan)?;
            Member::start(program, &plan.declared.addr, &settings.logs)
        };
        let servers = plans.iter().map(member).collect::<anyhow::Result<_>>()?;
        control::wait_listening(platform).await?;
        for addr in server_addrs {
            control::wait_listening(addr).await?;
        }
        Ok(Self {
            platform: platform.clone(),
            servers,
            plans,
            entries: Vec::new(),
            surprises: Vec::new(),
            platform_meter: meter(&settings, platform).await?,
            _platform: platform_process,
            settings,
        })
    }

    async fn start_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let addrs = ports::choose(2)?;
        let program = self.entry_program(number, 1, &addrs[0], &addrs[1]);
        let member = Member::start(program, &addrs[0], &self.settings.logs)?;
        self.entries.push(EntryMember {
            member,
            meter: meter(&self.settings, &addrs[1]).await?,
            peer: addrs[1].clone(),
            leaving: false,
            starts: 1,
            number,
        });
        control::wait_listening(&addrs[0]).await
    }

    fn entry_program(&self, number: usize, start: u32, addr: &str, peer: &str) -> Program {
        let name = format!("entry-{number}-{start}");
        let metered = self.platform_meter.as_ref().map(|meter| &meter.addr);
        let platform = metered.unwrap_or(&self.platform);
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

    /// Publishes the instance list.
    pub async fn publish_list(&self) -> anyhow::Result<()> {
        let entries = self.entries.iter().map(|entry| Listed {
            name: entry.member.program.name.as_str().into(),
            addr: entry.listed_addr().to_owned(),
            domain: layout::domain(entry.number),
            role: ListedRole::Entry,
            leaving: entry.leaving,
        });
        let servers = self.plans.iter().map(|plan| Listed {
            name: plan.declared.name.clone(),
            addr: plan.declared.addr.clone(),
            domain: plan.declared.domain.clone(),
            role: ListedRole::Backend,
            leaving: false,
        });
        let list: Vec<Listed> = entries.chain(servers).collect();
        control::put(Method::Put, &self.platform, "/v1/instances", &list).await
    }

    /// Tells an entry instance to stop gracefully.
    pub async fn terminate(&mut self, number: usize) -> anyhow::Result<()> {
        self.entries[number].leaving = true;
        self.publish_list().await?;
        self.entries[number].member.end(Signal::SIGTERM)
    }

    /// Notes processes that have ended and replaces them after a while.
    pub async fn revive(&mut self) -> anyhow::Result<()> {
        for server in &mut self.servers {
            if server.is_due()? {
                server.replace(server.program.clone(), &self.settings.logs)?;
            }
        }
        for number in 0..self.entries.len() {
            self.note_end(number)?;
            if self.entries[number].member.is_due()? {
                self.replace_entry(number).await?;
            }
        }
        Ok(())
    }

    fn note_end(&mut self, number: usize) -> anyhow::Result<()> {
        let surprise = self.entries[number].member.surprise()?;
        self.surprises.extend(surprise);
        Ok(())
    }

    async fn replace_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let entry = &self.entries[number];
        let start = entry.starts + 1;
        let program = self.entry_program(entry.number, start, &entry.member.addr, &entry.peer);
        let entry = &mut self.entries[number];
        entry.member.replace(program, &self.settings.logs)?;
        entry.starts = start;
        entry.leaving = false;
        self.publish_list().await
    }

    /// Whether all processes run.
    pub fn is_whole(&mut self) -> anyhow::Result<bool> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.member);
        for member in self.servers.iter_mut().chain(entries) {
            if !member.runs()? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Bytes that entry instances sent and received on control; 0 if they are not counted.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        let meters = self.entries.iter().flat_map(|entry| &entry.meter);
        let between: u64 = meters.map(Meter::bytes).sum();
        // Bytes between two instances are sent by one and received by the other.
        2 * between + self.platform_meter.as_ref().map_or(0, Meter::bytes)
    }

    /// Execution logs of all backend servers.
    #[must_use]
    pub fn execution_logs(&self) -> Vec<PathBuf> {
        let log =
            |plan: &ServerPlan| programs::execution_log(&self.settings.logs, &plan.declared.name);
        self.plans.iter().map(log).collect()
    }
}

impl EntryMember {
    fn listed_addr(&self) -> &str {
        self.meter.as_ref().map_or(&self.peer, |meter| &meter.addr)
    }
}

async fn meter(settings: &FleetSettings, target: &str) -> anyhow::Result<Option<Meter>> {
    if settings.metered {
        return Ok(Some(Meter::start(target).await?));
    }
    Ok(None)
}
