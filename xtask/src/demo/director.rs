//! Carries out the steps of a timeline against a fleet and keeps its processes running.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime};

use async_std::task;
use http_types::Method;
use nix::sys::signal::Signal;
use sardineshore_core::clock::unix_ms;
use sardineshore_fakes::platform::faults::PlatformFaults;
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_load::audit::Outage;

use super::control;
use super::fault::{Action, Step};
use super::fleet::Fleet;

/// Time between two looks at a process that was killed.
const DEATH_POLL: Duration = Duration::from_millis(1);

/// Carries out faults.
#[derive(Debug)]
pub struct Director {
    started: Instant,
    steps: VecDeque<Step>,
    platform: PlatformFaults,
    outages: Vec<Outage>,
    rolling: Option<Rolling>,
}

/// The entry instance that is being restarted.
#[derive(Debug, Clone, Copy)]
struct Rolling {
    number: usize,
    starts: u32,
}

impl Director {
    /// Starts the timeline now.
    #[must_use]
    pub fn new(steps: Vec<Step>) -> Self {
        Self {
            started: Instant::now(),
            steps: steps.into(),
            platform: PlatformFaults::default(),
            outages: Vec::new(),
            rolling: None,
        }
    }

    /// Does what is due.
    pub async fn tick(&mut self, fleet: &mut Fleet) -> anyhow::Result<()> {
        let elapsed = self.started.elapsed();
        while self.steps.front().is_some_and(|step| step.due <= elapsed) {
            let Some(step) = self.steps.pop_front() else {
                break;
            };
            self.act(step.action, fleet).await?;
        }
        fleet.revive().await?;
        self.roll_on(fleet).await
    }

    /// Whether nothing is left to do and all processes run.
    pub fn is_done(&self, fleet: &mut Fleet) -> anyhow::Result<bool> {
        Ok(self.steps.is_empty() && self.rolling.is_none() && fleet.is_whole()?)
    }

    /// Times in which entry instances were made to fail.
    #[must_use]
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    async fn act(&mut self, action: Action, fleet: &mut Fleet) -> anyhow::Result<()> {
        match action {
            Action::KillEntry(number) => self.kill_entry(number, fleet).await,
            Action::StopEntry(number) => self.stop_entry(number, fleet),
            Action::ContinueEntry(number) => self.continue_entry(number, fleet),
            Action::KillServer(number) => fleet.servers[number].end(Signal::SIGKILL),
            Action::SlowServer { server, factor } => slow_server(fleet, server, factor).await,
            Action::StoreOutage(outage) => {
                self.platform.outage = outage;
                self.set_platform(fleet).await
            }
            Action::StoreDelay(delay_ms) => {
                self.platform.delay_ms = delay_ms;
                self.set_platform(fleet).await
            }
            Action::StoreLoss { lost, late } => {
                self.platform.lose_confirmation = lost;
                self.platform.late_write = late;
                self.set_platform(fleet).await
            }
            Action::Roll => self.roll(0, fleet).await,
        }
    }

    /// The outage lasts until the process has ended: until then the system accepts connections
    /// for it.
    async fn kill_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        let from_ms = now_ms();
        let entry = &mut fleet.entries[number].member;
        entry.end(Signal::SIGKILL)?;
        while entry.runs()? {
            task::sleep(DEATH_POLL).await;
        }
        self.note_outage(number, fleet, from_ms, now_ms());
        self.close_outages(number, fleet);
        Ok(())
    }

    fn stop_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        self.note_outage(number, fleet, now_ms(), u64::MAX);
        fleet.entries[number].member.signal(Signal::SIGSTOP)
    }

    fn continue_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        fleet.entries[number].member.signal(Signal::SIGCONT)?;
        self.close_outages(number, fleet);
        Ok(())
    }

    fn close_outages(&mut self, number: usize, fleet: &Fleet) {
        let addr = &fleet.entries[number].member.addr;
        let ours = |outage: &&mut Outage| *outage.entry == **addr;
        for outage in self.outages.iter_mut().filter(ours) {
            outage.until_ms = outage.until_ms.min(now_ms());
        }
    }

    fn note_outage(&mut self, number: usize, fleet: &Fleet, from_ms: u64, until_ms: u64) {
        self.outages.push(Outage {
            entry: fleet.entries[number].member.addr.as_str().into(),
            from_ms,
            until_ms,
        });
    }

    async fn set_platform(&self, fleet: &Fleet) -> anyhow::Result<()> {
        control::put(Method::Post, &fleet.platform, "/v1/faults", &self.platform).await
    }

    async fn roll(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        let starts = fleet.entries[number].starts;
        self.rolling = Some(Rolling { number, starts });
        fleet.terminate(number).await
    }

    /// Goes on to the next entry instance once the replacement is ready.
    async fn roll_on(&mut self, fleet: &mut Fleet) -> anyhow::Result<()> {
        let Some(Rolling { number, starts }) = self.rolling else {
            return Ok(());
        };
        let entry = &fleet.entries[number];
        let replaced = entry.starts > starts;
        if !replaced || !control::answers(&entry.member.addr, "/readyz").await {
            return Ok(());
        }
        if number + 1 < fleet.entries.len() {
            return self.roll(number + 1, fleet).await;
        }
        self.rolling = None;
        Ok(())
    }
}

/// A backend server that is being replaced has no faults to set.
async fn slow_server(fleet: &mut Fleet, server: usize, factor: f64) -> anyhow::Result<()> {
    let faults = ServerFaults {
        slow_factor: factor,
        ..ServerFaults::default()
    };
    let addr = &fleet.servers[server].addr;
    let set = control::put(Method::Post, addr, "/v1/faults", &faults).await;
    if set.is_err() && fleet.is_whole()? {
        return set;
    }
    Ok(())
}

fn now_ms() -> u64 {
    unix_ms(SystemTime::now())
}
