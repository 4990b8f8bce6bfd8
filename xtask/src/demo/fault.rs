//! Faults that a demonstration can cause, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardineshore_fakes::platform::faults::{LateWrite, Outage};
use serde::{Deserialize, Serialize};

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL to one entry instance; a replacement follows.
    KillInstance,
    /// SIGSTOP, then SIGCONT to one entry instance.
    StopInstance,
    /// SIGKILL to one backend server; a replacement follows.
    KillServer,
    /// One backend server becomes ten times slower.
    Straggler,
    /// The platform's store refuses all calls, or leaves them without an answer.
    StoreOutage,
    /// Each call of the store takes longer.
    StoreSlow,
    /// Writes take effect although their confirmation is lost, or take effect late.
    LostConfirmation,
    /// Arrivals come five times faster.
    Burst,
    /// SIGTERM to each entry instance in turn; a replacement follows each.
    RollingRestart,
    /// Some requests crash every backend server that runs them.
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
const SLOW_STORE_MS: u64 = 200;
const LOSS: f64 = 0.3;
const LATE: LateWrite = LateWrite {
    probability: 0.1,
    delay_ms: 300,
};

/// One thing to do to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Kills an entry instance.
    KillEntry(usize),
    /// Stops an entry instance.
    StopEntry(usize),
    /// Continues a stopped entry instance.
    ContinueEntry(usize),
    /// Kills a backend server.
    KillServer(usize),
    /// Sets the factor on a backend server's times.
    SlowServer {
        /// Backend server.
        server: usize,
        /// Factor.
        factor: f64,
    },
    /// Sets the store's outage.
    StoreOutage(Option<Outage>),
    /// Sets the delay of the store's calls, in milliseconds.
    StoreDelay(u64),
    /// Sets the probability of lost confirmations, and late writes.
    StoreLoss {
        /// Probability that a confirmation is lost.
        lost: f64,
        /// Late writes.
        late: Option<LateWrite>,
    },
    /// Begins to restart all entry instances in turn.
    Roll,
}

/// An action and when it is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Time from the start of the load.
    pub due: Duration,
    /// What to do.
    pub action: Action,
}

/// What faults are chosen from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Number of entry instances.
    pub entries: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Length of the load.
    pub length: Duration,
}

/// The steps of all faults, in the order in which they are due.
#[must_use]
pub fn timeline(faults: &[Fault], seed: u64, targets: Targets) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let steps = faults
        .iter()
        .flat_map(|fault| steps(*fault, &mut rng, targets));
    let mut steps: Vec<Step> = steps.collect();
    steps.sort_by_key(|step| step.due);
    steps
}

fn steps(fault: Fault, rng: &mut StdRng, targets: Targets) -> Vec<Step> {
    let entry = rng.random_range(0..targets.entries);
    let server = rng.random_range(0..targets.servers);
    let cut = rng.random_bool(0.5);
    let shift: f64 = rng.random_range(0.0..0.2);
    let at = |share: f64, action: Action| Step {
        due: targets.length.mul_f64(share + shift),
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
            at(0.2, Action::StoreDelay(SLOW_STORE_MS)),
            at(0.6, Action::StoreDelay(0)),
        ],
        Fault::LostConfirmation => vec![at(0.0, loss(LOSS, Some(LATE))), at(0.8, loss(0.0, None))],
        Fault::RollingRestart => vec![at(0.1, Action::Roll)],
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
            format!("{text:?} is none of {}", names.join(", "))
        })
    }
}
