//! Model of claims: two instances receive the same request under the same key.
//!
//! The instances run [`sardineshore_core::claim::ClaimMachine`]. Everything else may happen in any
//! order: store calls are answered late, lost or refused, writes land late, calls to the backend
//! server are delayed, dropped or lost on their way, instances are paused or crash, and the
//! backend server restarts and forgets. Time passes whether or not an instance reacts to it, so
//! that every pause is covered. See `docs/spec/claim.md`.

mod node;
mod server;
mod step;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use node::Node;
use sardineshore_core::claim::{
    ClaimConfig, ClaimRequest, ClaimRow, ClaimServer, ClaimState, ClaimedCall, IdempotencyKey,
    Retention,
};
use sardineshore_core::{NotRunReason, Outcome};
use server::{Message, Server};

use crate::Model;
use crate::table::ModelTable;

/// Name of the only backend server.
const SERVER: &str = "server";

/// Creation time of the key, and wall-clock time of the model, in milliseconds.
const KEY_MS: u64 = 1_800_000_000_000;
const KEY: &str = "01a3185c-5000-7000-8000-000000000001";

/// Incarnation of the backend server that the claims name.
const FIRST_INCARNATION: u64 = 1;

/// At most one of all attempts runs.
pub const RUNS_ONCE: &str = "a request runs at most once";
/// A request told not-run does not run.
pub const NOT_RUN_IS_TRUE: &str = "an attempt whose caller was told not-run never runs";
/// A repeat is not told not-run for a request that ran.
pub const REPEAT_IS_NOT_DENIED: &str =
    "a repeat is told not-run for a request that ran only while the store gives no answer";
/// An answer is that of the run.
pub const ANSWER_IS_THE_RUNS: &str = "an answer is the answer of a run of the request";
/// A recorded answer stays.
pub const RECORD_IS_FINAL: &str = "a recorded answer never changes";

/// Bounds of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimBounds {
    /// Faults that may happen, of any kind.
    pub faults: u8,
    /// Time units that may pass.
    pub end: u8,
    /// Calls that each stage runner may send.
    pub sends: u8,
}

impl Default for ClaimBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end: 2,
            sends: 1,
        }
    }
}

/// A rule that a variant of the model breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimBreak {
    /// A claim whose instance can't be reached counts as released.
    TakeOver,
    /// A call whose connection was lost is sent again.
    Resend,
    /// The seal of a restarted backend server counts.
    TrustRestarted,
    /// A call is sent to whatever process answers at the server's address.
    AnyIncarnation,
    /// A lost call is reported as not run.
    DenyLost,
    /// The answer of another call is taken.
    ForeignAnswer,
    /// A release ignores the revision of the row.
    UncheckedRelease,
    /// The stage runner's refusal is told before the row is known.
    DenyEarly,
}

impl ClaimBreak {
    /// All variants by name.
    pub const ALL: &[(&str, Self)] = &[
        ("take-over", Self::TakeOver),
        ("resend", Self::Resend),
        ("trust-restarted", Self::TrustRestarted),
        ("any-incarnation", Self::AnyIncarnation),
        ("deny-lost", Self::DenyLost),
        ("foreign-answer", Self::ForeignAnswer),
        ("unchecked-release", Self::UncheckedRelease),
        ("deny-early", Self::DenyEarly),
    ];

    /// Bounds within which the variant can fail.
    #[must_use]
    pub fn bounds(self) -> ClaimBounds {
        match self {
            Self::TrustRestarted | Self::AnyIncarnation => ClaimBounds {
                faults: 2,
                end: 0,
                sends: 1,
            },
            _ => ClaimBounds {
                faults: 1,
                end: 2,
                sends: 2,
            },
        }
    }

    /// Invariant that the variant must violate.
    #[must_use]
    pub fn target(self) -> &'static str {
        match self {
            Self::TakeOver | Self::Resend | Self::TrustRestarted | Self::AnyIncarnation => {
                RUNS_ONCE
            }
            Self::DenyLost => NOT_RUN_IS_TRUE,
            Self::DenyEarly => REPEAT_IS_NOT_DENIED,
            Self::ForeignAnswer => ANSWER_IS_THE_RUNS,
            Self::UncheckedRelease => RECORD_IS_FINAL,
        }
    }
}

/// The model.
#[derive(Debug, Clone)]
pub struct ClaimModel {
    bounds: ClaimBounds,
    broken: Option<ClaimBreak>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimWorld {
    at: u8,
    faults: u8,
    nodes: [Node; 2],
    table: ModelTable,
    server: Server,
    /// Calls that still travel although their sender has given them up.
    stray: Vec<Message>,
    /// The first recorded answer.
    recorded: Option<Arc<str>>,
}

impl ClaimModel {
    /// Creates a model, with one rule broken if `broken` is given.
    #[must_use]
    pub fn new(bounds: ClaimBounds, broken: Option<ClaimBreak>) -> Self {
        Self { bounds, broken }
    }

    fn breaks(&self, rule: ClaimBreak) -> bool {
        self.broken == Some(rule)
    }
}

impl Model for ClaimModel {
    type State = ClaimWorld;

    fn start(&self) -> ClaimWorld {
        ClaimWorld {
            at: 0,
            faults: self.bounds.faults,
            nodes: ["e1", "e2"].map(Node::new),
            table: ModelTable::default(),
            server: Server::new(FIRST_INCARNATION),
            stray: Vec::new(),
            recorded: None,
        }
    }

    fn steps(&self, state: &ClaimWorld) -> Vec<(String, ClaimWorld)> {
        step::all(self, state)
    }

    fn violated(&self, state: &ClaimWorld) -> Option<&'static str> {
        let target = self.broken.map(ClaimBreak::target);
        let mut violated = INVARIANTS.iter().filter(|(_, holds)| !holds(state));
        let found = violated.find(|(name, _)| target.is_none_or(|target| target == *name));
        found.map(|(name, _)| *name)
    }
}

type Holds = fn(&ClaimWorld) -> bool;

const INVARIANTS: &[(&str, Holds)] = &[
    (RUNS_ONCE, |world| world.server.runs.len() <= 1),
    (NOT_RUN_IS_TRUE, |world| {
        world.nodes.iter().all(|node| not_run_is_true(world, node))
    }),
    (REPEAT_IS_NOT_DENIED, |world| {
        !world.nodes.iter().any(denied)
    }),
    (ANSWER_IS_THE_RUNS, |world| {
        world
            .nodes
            .iter()
            .all(|node| answer_is_the_runs(world, node))
    }),
    (RECORD_IS_FINAL, record_is_final),
];

fn not_run_is_true(world: &ClaimWorld, node: &Node) -> bool {
    let told = matches!(node.told, Some(Outcome::NotRun { .. }));
    let prefix = format!("{}.", node.attempt());
    !told || !world.server.runs.iter().any(|run| run.starts_with(&prefix))
}

fn denied(node: &Node) -> bool {
    match node.told {
        Some(Outcome::NotRun { reason }) => {
            node.ran_before && reason != NotRunReason::StoreUnavailable
        }
        _ => false,
    }
}

fn answer_is_the_runs(world: &ClaimWorld, node: &Node) -> bool {
    if node.told != Some(Outcome::Answered) {
        return true;
    }
    let answer = node.answer.as_ref();
    answer.is_some_and(|answer| world.server.runs.contains(answer))
}

fn record_is_final(world: &ClaimWorld) -> bool {
    let Some(first) = &world.recorded else {
        return true;
    };
    let row = world
        .table
        .value()
        .and_then(|text| ClaimRow::from_json(text));
    matches!(row.map(|row| row.state), Some(ClaimState::Answered { answer }) if answer == *first)
}

/// Monotonic time of the model.
fn instant(at: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + Duration::from_secs(at.into())
}

fn wall() -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(KEY_MS)
}

/// All delays are one time unit, so that states repeat.
fn config() -> ClaimConfig {
    let unit = Duration::from_secs(1);
    ClaimConfig {
        retention: Retention::default(),
        claim_timeout: unit,
        write_timeout: unit,
        retry_delay: unit,
        max_retry_delay: unit,
        poll_interval: unit,
        max_status_queries: 2,
    }
}

fn request(name: &str, at: u8, incarnation: u64) -> ClaimRequest {
    let key = IdempotencyKey::parse(KEY).expect("the key is well formed");
    let server = ClaimServer {
        name: SERVER.into(),
        incarnation,
        answers_status: true,
    };
    ClaimRequest {
        fingerprint: "f".into(),
        instance: name.into(),
        attempt: format!("{name}-a").into(),
        run: ClaimedCall {
            stage: 0,
            last: true,
            servers: vec![server],
        },
        ..ClaimRequest::new("customer".into(), key, instant(at) + Duration::from_secs(2))
    }
}
