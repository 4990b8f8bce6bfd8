//! Faults that a demonstration can inject, and the timeline on which they happen.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardineshore_fakes::platform::faults::{LateWrite, Outage};
use serde::{Deserialize, Serialize};

/// Kind of fault, named on the command line and in results files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Kills one entry instance with SIGKILL; it is replaced.
    KillInstance,
    /// Pauses one entry instance with SIGSTOP and continues it with SIGCONT.
    StopInstance,
    /// Kills one backend server with SIGKILL; it is replaced.
    KillServer,
    /// Makes one backend server ten times slower.
    Straggler,
    /// Makes the store of the platform refuse all calls or leave them unanswered.
    StoreOutage,
    /// Delays each call of the store.
    StoreSlow,
    /// Loses the confirmations of writes that take effect, and delays some writes.
    LostConfirmation,
    /// Multiplies the arrival rate by five for a while.
    Burst,
    /// Stops each entry instance in turn with SIGTERM; each is replaced before the next.
    RollingRestart,
    /// Sends some requests that crash every backend server that runs them.
    Poison,
}

/// All faults.
pub const ALL: &[Fault] = &[
    Fault::KillInstance,
    Fault::StopInstance,
    Fault::KillServer,
    Fault::Straggler,
    Fault::StoreOutage,
    Fault::StoreSlow,
    Fault::LostConfirmation,
    Fault::Burst,
    Fault::RollingRestart,
    Fault::Poison,
];

const STRAGGLER_FACTOR: f64 = 10.0;
const STORE_DELAY_MS: u64 = 200;
const LOST_CONFIRMATION_PROBABILITY: f64 = 0.3;
const LATE_WRITE: LateWrite = LateWrite {
    probability: 0.1,
    delay_ms: 300,
};

/// One action of a fault on the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Kills the entry instance with this number.
    KillEntry(usize),
    /// Pauses the entry instance with this number.
    StopEntry(usize),
    /// Continues the paused entry instance with this number.
    ContinueEntry(usize),
    /// Kills the backend server with this number.
    KillServer(usize),
    /// Sets the slow factor of a backend server.
    SlowServer {
        /// Number of the backend server.
        server: usize,
        /// Factor on its service times; 1 is normal speed.
        factor: f64,
    },
    /// Starts or ends an outage of the store.
    StoreOutage(Option<Outage>),
    /// Sets the delay of calls to the store, in milliseconds.
    StoreDelay(u64),
    /// Sets the lost confirmations and late writes of the store.
    StoreLoss {
        /// Probability that a confirmation is lost.
        lost: f64,
        /// Late writes, if any.
        late: Option<LateWrite>,
    },
    /// Starts a rolling restart of all entry instances.
    RollingRestart,
}

/// An action of the timeline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimelineStep {
    /// Time from the start of the load.
    pub due: Duration,
    /// Action to execute.
    pub action: Action,
}

/// Processes and time among which the timeline chooses at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Number of entry instances.
    pub entries: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Planned duration of the load.
    pub duration: Duration,
}

/// Returns the steps of all faults, sorted by due time. The same seed gives the same timeline.
#[must_use]
pub fn timeline(faults: &[Fault], seed: u64, targets: Targets) -> Vec<TimelineStep> {
    let mut rng = StdRng::seed_from_u64(seed);
    let steps = faults
        .iter()
        .flat_map(|fault| steps(*fault, &mut rng, targets));
    let mut steps: Vec<TimelineStep> = steps.collect();
    steps.sort_by_key(|step| step.due);
    steps
}

fn steps(fault: Fault, rng: &mut StdRng, targets: Targets) -> Vec<TimelineStep> {
    let entry = rng.random_range(0..targets.entries);
    let server = rng.random_range(0..targets.servers);
    let cut = rng.random_bool(0.5);
    let offset: f64 = rng.random_range(0.0..0.2);
    let at = |share: f64, action: Action| TimelineStep {
        due: targets.duration.mul_f64(share + offset),
        action,
    };
    match fault {
        Fault::KillInstance => vec![at(0.3, Action::KillEntry(entry))],
        Fault::StopInstance => vec![
            at(0.2, Action::StopEntry(entry)),
            at(0.5, Action::ContinueEntry(entry)),
        ],
        Fault::KillServer => vec![at(0.3, Action::KillServer(server))],
        Fault::Straggler => vec![
            at(0.1, slow(server, STRAGGLER_FACTOR)),
            at(0.7, slow(server, 1.0)),
        ],
        Fault::StoreOutage => vec![
            at(0.2, Action::StoreOutage(Some(Outage { cut }))),
            at(0.6, Action::StoreOutage(None)),
        ],
        Fault::StoreSlow => vec![
            at(0.2, Action::StoreDelay(STORE_DELAY_MS)),
            at(0.6, Action::StoreDelay(0)),
        ],
        Fault::LostConfirmation => vec![
            at(0.0, loss(LOST_CONFIRMATION_PROBABILITY, Some(LATE_WRITE))),
            at(0.8, loss(0.0, None)),
        ],
        Fault::RollingRestart => vec![at(0.1, Action::RollingRestart)],
        Fault::Burst | Fault::Poison => Vec::new(),
    }
}

fn slow(server: usize, factor: f64) -> Action {
    Action::SlowServer { server, factor }
}

fn loss(lost: f64, late: Option<LateWrite>) -> Action {
    Action::StoreLoss { lost, late }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KillInstance => "kill-instance",
            Self::StopInstance => "stop-instance",
            Self::KillServer => "kill-server",
            Self::Straggler => "straggler",
            Self::StoreOutage => "store-outage",
            Self::StoreSlow => "store-slow",
            Self::LostConfirmation => "lost-confirmation",
            Self::Burst => "burst",
            Self::RollingRestart => "rolling-restart",
            Self::Poison => "poison",
        })
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = ALL.iter().find(|fault| fault.to_string() == text);
        known.copied().ok_or_else(|| {
            let names: Vec<String> = ALL.iter().map(ToString::to_string).collect();
            format!(
                "{text:?} is not a fault; expected one of {}",
                names.join(", ")
            )
        })
    }
}
