//! Model of claims: two instances receive the same request under the same idempotency key.
//!
//! The instances run [`sardineshore_core::claim::ClaimMachine`]. Everything else may happen in any
//! order: store calls are answered late, lost or refused, writes take effect late, calls to the
//! backend server are delayed or lost, instances are paused or crash, and the backend server
//! restarts and loses its memory. Time passes whether or not an instance reacts to it, which covers
//! pauses of any length. See `docs/spec/claim.md`.

mod instance;
mod server;
mod step;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use instance::Instance;
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

/// Creation time of the key and constant wall-clock time of the model, in Unix milliseconds.
const KEY_MS: u64 = 1_800_000_000_000;
const KEY: &str = "01a3185c-5000-7000-8000-000000000001";

/// Incarnation of the backend server before its first restart.
const FIRST_INCARNATION: u64 = 1;

/// Of all attempts of a request, at most one runs.
pub const AT_MOST_ONE_RUN: &str = "a request runs at most once";
/// An attempt that was reported as not run never runs.
pub const NOT_RUN_NEVER_RUNS: &str = "an attempt that was reported as not run never runs";
/// A retry isn't reported as not run if the request ran, unless the store is unavailable.
pub const RETRY_IS_NOT_DENIED: &str =
    "a retry of a request that ran is reported as not run only while the store is unavailable";
/// An answer sent to a caller was produced by a run of the request.
pub const ANSWER_COMES_FROM_RUN: &str = "an answer was produced by a run of the request";
/// The answer in the row never changes once it is recorded.
pub const RECORDED_ANSWER_IS_FINAL: &str = "a recorded answer never changes";

/// Bounds that keep the number of states finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimBounds {
    /// Maximum number of faults of any kind in one run.
    pub faults: u8,
    /// Time units after which the model ends.
    pub end_time: u8,
    /// Maximum number of calls that each stage runner sends.
    pub sends: u8,
}

impl Default for ClaimBounds {
    fn default() -> Self {
        Self {
            faults: 1,
            end_time: 2,
            sends: 1,
        }
    }
}

/// A rule that a broken variant of the model violates, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimMutation {
    /// A claim whose instance is unreachable is treated as released.
    TakeOver,
    /// A call whose connection was lost is sent again.
    Resend,
    /// A seal reported by a restarted backend server is trusted.
    TrustRestarted,
    /// A call is sent without checking the incarnation of the backend server.
    AnyIncarnation,
    /// A lost call is reported as not run.
    DenyLost,
    /// The answer of another call is accepted.
    ForeignAnswer,
    /// A release overwrites the row without checking its revision.
    UncheckedRelease,
    /// A refusal by the stage runner is reported before the row was read.
    DenyEarly,
}

impl ClaimMutation {
    /// All variants with their command-line names.
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

    /// Bounds within which the search finds the violation.
    #[must_use]
    pub fn bounds(self) -> ClaimBounds {
        match self {
            Self::TrustRestarted | Self::AnyIncarnation => ClaimBounds {
                faults: 2,
                end_time: 0,
                sends: 1,
            },
            _ => ClaimBounds {
                faults: 1,
                end_time: 2,
                sends: 2,
            },
        }
    }

    /// Invariant that the variant is expected to violate.
    #[must_use]
    pub fn expected_invariant(self) -> &'static str {
        match self {
            Self::TakeOver | Self::Resend | Self::TrustRestarted | Self::AnyIncarnation => {
                AT_MOST_ONE_RUN
            }
            Self::DenyLost => NOT_RUN_NEVER_RUNS,
            Self::DenyEarly => RETRY_IS_NOT_DENIED,
            Self::ForeignAnswer => ANSWER_COMES_FROM_RUN,
            Self::UncheckedRelease => RECORDED_ANSWER_IS_FINAL,
        }
    }
}

/// Model of two instances, one claim row and one backend server.
#[derive(Debug, Clone)]
pub struct ClaimModel {
    bounds: ClaimBounds,
    mutation: Option<ClaimMutation>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimModelState {
    time: u8,
    faults: u8,
    instances: [Instance; 2],
    table: ModelTable,
    server: Server,
    /// Calls that are still in transit after their sender gave up on them.
    orphaned: Vec<Message>,
    /// First answer that was recorded in the row.
    recorded: Option<Arc<str>>,
}

impl ClaimModel {
    /// Creates a model. With a `mutation` the model breaks that rule and reports only violations of
    /// the expected invariant.
    #[must_use]
    pub fn new(bounds: ClaimBounds, mutation: Option<ClaimMutation>) -> Self {
        Self { bounds, mutation }
    }

    fn has_mutation(&self, mutation: ClaimMutation) -> bool {
        self.mutation == Some(mutation)
    }
}

impl Model for ClaimModel {
    type State = ClaimModelState;

    fn initial_state(&self) -> ClaimModelState {
        ClaimModelState {
            time: 0,
            faults: self.bounds.faults,
            instances: ["e1", "e2"].map(Instance::new),
            table: ModelTable::default(),
            server: Server::new(FIRST_INCARNATION),
            orphaned: Vec::new(),
            recorded: None,
        }
    }

    fn next_states(&self, state: &ClaimModelState) -> Vec<(String, ClaimModelState)> {
        step::all(self, state)
    }

    fn violated_invariant(&self, state: &ClaimModelState) -> Option<&'static str> {
        let expected = self.mutation.map(ClaimMutation::expected_invariant);
        let mut violated = INVARIANTS.iter().filter(|(_, holds)| !holds(state));
        let found = violated.find(|(name, _)| expected.is_none_or(|expected| expected == *name));
        found.map(|(name, _)| *name)
    }
}

type Holds = fn(&ClaimModelState) -> bool;

const INVARIANTS: &[(&str, Holds)] = &[
    (AT_MOST_ONE_RUN, |state| state.server.runs.len() <= 1),
    (NOT_RUN_NEVER_RUNS, |state| {
        state
            .instances
            .iter()
            .all(|instance| not_run_never_runs(state, instance))
    }),
    (RETRY_IS_NOT_DENIED, |state| {
        !state.instances.iter().any(is_denied_retry)
    }),
    (ANSWER_COMES_FROM_RUN, |state| {
        state
            .instances
            .iter()
            .all(|instance| answer_comes_from_run(state, instance))
    }),
    (RECORDED_ANSWER_IS_FINAL, recorded_answer_is_final),
];

fn not_run_never_runs(state: &ClaimModelState, instance: &Instance) -> bool {
    let reported = matches!(instance.reported, Some(Outcome::NotRun { .. }));
    let prefix = format!("{}.", instance.attempt());
    !reported || !state.server.runs.iter().any(|run| run.starts_with(&prefix))
}

fn is_denied_retry(instance: &Instance) -> bool {
    match instance.reported {
        Some(Outcome::NotRun { reason }) => {
            instance.ran_before_report && reason != NotRunReason::StoreUnavailable
        }
        _ => false,
    }
}

fn answer_comes_from_run(state: &ClaimModelState, instance: &Instance) -> bool {
    if instance.reported != Some(Outcome::Answered) {
        return true;
    }
    let answer = instance.answer.as_ref();
    answer.is_some_and(|answer| state.server.runs.contains(answer))
}

fn recorded_answer_is_final(state: &ClaimModelState) -> bool {
    let Some(first) = &state.recorded else {
        return true;
    };
    let row = state
        .table
        .value()
        .and_then(|text| ClaimRow::from_json(text));
    matches!(row.map(|row| row.state), Some(ClaimState::Answered { answer }) if answer == *first)
}

/// Converts model time to a monotonic time.
fn instant(time: u8) -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + Duration::from_secs(time.into())
}

fn wall() -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(KEY_MS)
}

/// Sets every delay to one time unit, which keeps the number of distinct states small.
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

fn request(name: &str, time: u8, incarnation: u64) -> ClaimRequest {
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
        ..ClaimRequest::new(
            "customer".into(),
            key,
            instant(time) + Duration::from_secs(2),
        )
    }
}
