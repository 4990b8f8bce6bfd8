//! Injects the faults of a timeline into a fleet and keeps the processes of the fleet running.

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
use super::fault::{Action, TimelineStep};
use super::fleet::Fleet;

/// Time between checks whether a killed process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Executes the steps of a timeline when they are due and records the outages that they cause.
#[derive(Debug)]
pub struct FaultInjector {
    started: Instant,
    steps: VecDeque<TimelineStep>,
    /// Active faults of the platform; each change sends the whole document.
    platform_faults: PlatformFaults,
    outages: Vec<Outage>,
    rolling_restart: Option<RollingRestart>,
}

/// Progress of a rolling restart: the entry instance that is being restarted.
#[derive(Debug, Clone, Copy)]
struct RollingRestart {
    number: usize,
    start_count: u32,
}

impl FaultInjector {
    /// Creates an injector whose timeline starts now.
    #[must_use]
    pub fn new(steps: Vec<TimelineStep>) -> Self {
        Self {
            started: Instant::now(),
            steps: steps.into(),
            platform_faults: PlatformFaults::default(),
            outages: Vec::new(),
            rolling_restart: None,
        }
    }

    /// Executes the steps that are due, restarts ended processes and continues a rolling restart.
    pub async fn tick(&mut self, fleet: &mut Fleet) -> anyhow::Result<()> {
        let elapsed = self.started.elapsed();
        while self.steps.front().is_some_and(|step| step.due <= elapsed) {
            let Some(step) = self.steps.pop_front() else {
                break;
            };
            self.execute(step.action, fleet).await?;
        }
        fleet.restart_ended().await?;
        self.continue_rolling_restart(fleet).await
    }

    /// Whether all steps are done and all processes run.
    pub fn is_done(&self, fleet: &mut Fleet) -> anyhow::Result<bool> {
        Ok(self.steps.is_empty() && self.rolling_restart.is_none() && fleet.all_running()?)
    }

    /// Periods in which entry instances were made to fail, for the audit.
    #[must_use]
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    async fn execute(&mut self, action: Action, fleet: &mut Fleet) -> anyhow::Result<()> {
        match action {
            Action::KillEntry(number) => self.kill_entry(number, fleet).await,
            Action::StopEntry(number) => self.stop_entry(number, fleet),
            Action::ContinueEntry(number) => self.continue_entry(number, fleet),
            Action::KillServer(number) => fleet.servers[number].stop(Signal::SIGKILL),
            Action::SlowServer { server, factor } => slow_server(fleet, server, factor).await,
            Action::StoreOutage(outage) => {
                self.platform_faults.outage = outage;
                self.set_platform_faults(fleet).await
            }
            Action::StoreDelay(delay_ms) => {
                self.platform_faults.delay_ms = delay_ms;
                self.set_platform_faults(fleet).await
            }
            Action::StoreLoss { lost, late } => {
                self.platform_faults.lose_confirmation = lost;
                self.platform_faults.late_write = late;
                self.set_platform_faults(fleet).await
            }
            Action::RollingRestart => self.restart_entry(0, fleet).await,
        }
    }

    /// Kills an entry instance. The outage lasts until the process has exited, because the kernel
    /// accepts connections for it until then.
    async fn kill_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        let from_ms = now_ms();
        let entry = &mut fleet.entries[number].process;
        entry.stop(Signal::SIGKILL)?;
        while entry.is_running()? {
            task::sleep(EXIT_POLL_INTERVAL).await;
        }
        self.record_outage(number, fleet, from_ms, now_ms());
        self.end_outages(number, fleet);
        Ok(())
    }

    fn stop_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        self.record_outage(number, fleet, now_ms(), u64::MAX);
        fleet.entries[number].process.signal(Signal::SIGSTOP)
    }

    fn continue_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        fleet.entries[number].process.signal(Signal::SIGCONT)?;
        self.end_outages(number, fleet);
        Ok(())
    }

    fn end_outages(&mut self, number: usize, fleet: &Fleet) {
        let addr = &fleet.entries[number].process.addr;
        let same_entry = |outage: &&mut Outage| *outage.entry == **addr;
        for outage in self.outages.iter_mut().filter(same_entry) {
            outage.until_ms = outage.until_ms.min(now_ms());
        }
    }

    fn record_outage(&mut self, number: usize, fleet: &Fleet, from_ms: u64, until_ms: u64) {
        self.outages.push(Outage {
            entry: fleet.entries[number].process.addr.as_str().into(),
            from_ms,
            until_ms,
        });
    }

    async fn set_platform_faults(&self, fleet: &Fleet) -> anyhow::Result<()> {
        control::send_json(
            Method::Post,
            &fleet.platform,
            "/v1/faults",
            &self.platform_faults,
        )
        .await
    }

    async fn restart_entry(&mut self, number: usize, fleet: &mut Fleet) -> anyhow::Result<()> {
        let start_count = fleet.entries[number].start_count;
        self.rolling_restart = Some(RollingRestart {
            number,
            start_count,
        });
        fleet.terminate(number).await
    }

    /// Restarts the next entry instance once the replacement of the previous one is ready.
    async fn continue_rolling_restart(&mut self, fleet: &mut Fleet) -> anyhow::Result<()> {
        let Some(RollingRestart {
            number,
            start_count,
        }) = self.rolling_restart
        else {
            return Ok(());
        };
        let entry = &fleet.entries[number];
        let replaced = entry.start_count > start_count;
        if !replaced || !control::responds_ok(&entry.process.addr, "/readyz").await {
            return Ok(());
        }
        if number + 1 < fleet.entries.len() {
            return self.restart_entry(number + 1, fleet).await;
        }
        self.rolling_restart = None;
        Ok(())
    }
}

/// Sets the slow factor of a backend server. An error is ignored while a process is being replaced,
/// because a replacement starts without faults.
async fn slow_server(fleet: &mut Fleet, server: usize, factor: f64) -> anyhow::Result<()> {
    let faults = ServerFaults {
        slow_factor: factor,
        ..ServerFaults::default()
    };
    let addr = &fleet.servers[server].addr;
    let set = control::send_json(Method::Post, addr, "/v1/faults", &faults).await;
    if set.is_err() && fleet.all_running()? {
        return set;
    }
    Ok(())
}

fn now_ms() -> u64 {
    unix_ms(SystemTime::now())
}
