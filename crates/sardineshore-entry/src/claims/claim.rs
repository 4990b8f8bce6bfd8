//! The claim of one request, shared by the stage runner and the [`driver`](super::driver).

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use sardineshore_core::claim::{
    ClaimAction, ClaimEvent, ClaimMachine, DispatchResult, PeerReply, RunResult,
};
use sardineshore_core::event::claim as events;
use sardineshore_core::{AttemptId, NotRunReason, Outcome, RequestId, ServerId, UnknownReason};

use crate::dispatch::AttemptOutcome;
use crate::instance::Instance;
use crate::job::{Job, RequestOutcome};

/// The outcome of a call whose reply was lost: its answer, or `None` if it did not run.
type Resolution = Option<Arc<str>>;

/// A flag that is set once and that tasks can wait for.
#[derive(Debug)]
struct Latch(Sender<()>, Receiver<()>);

impl Default for Latch {
    fn default() -> Self {
        let (tx, rx) = bounded(1);
        Self(tx, rx)
    }
}

impl Latch {
    fn set(&self) {
        self.0.close();
    }

    async fn wait(&self) {
        let _ = self.1.recv().await;
    }
}

/// The claim of one non-idempotent request.
#[derive(Debug)]
pub struct Claim {
    instance: Arc<Instance>,
    request: RequestId,
    attempt: AttemptId,
    machine: Mutex<ClaimMachine>,
    actions: Sender<ClaimAction>,
    held_or_decided: Latch,
    /// Whether the row was confirmed to belong to this attempt, so that no earlier send of the
    /// request has run or can run.
    confirmed: AtomicBool,
    outcome_ready: Latch,
    outcome: Mutex<Option<RequestOutcome>>,
    resolution_tx: Sender<Resolution>,
    resolution_rx: Receiver<Resolution>,
}

impl Claim {
    /// Wraps a machine that was not started yet; its I/O actions are sent to `actions`.
    #[must_use]
    pub fn new(
        instance: &Arc<Instance>,
        job: &Job,
        machine: ClaimMachine,
        actions: Sender<ClaimAction>,
    ) -> Self {
        let (resolution_tx, resolution_rx) = unbounded();
        Self {
            instance: instance.clone(),
            request: job.request.clone(),
            attempt: machine.attempt().clone(),
            machine: Mutex::new(machine),
            actions,
            held_or_decided: Latch::default(),
            confirmed: AtomicBool::default(),
            outcome_ready: Latch::default(),
            outcome: Mutex::default(),
            resolution_tx,
            resolution_rx,
        }
    }

    /// Starts the machine.
    pub fn start(&self) {
        let clock = &self.instance.clock;
        let actions = self.machine().start(clock.now(), clock.wall_time());
        self.apply(actions);
    }

    /// Identifier of the attempt that makes the claim.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Passes an event to the machine and applies the resulting actions.
    pub fn step(&self, event: ClaimEvent) {
        let now = self.instance.clock.now();
        let actions = self.machine().step(event, now);
        self.apply(actions);
    }

    /// The reply to a peer that asks for the state of this attempt.
    #[must_use]
    pub fn peer_reply(&self) -> PeerReply {
        self.machine().peer_reply()
    }

    /// Waits until the claim is held and calls may be dispatched; false if the outcome for the
    /// caller was decided first.
    pub async fn wait_until_held(&self) -> bool {
        self.held_or_decided.wait().await;
        self.machine().is_held()
    }

    /// Waits for the outcome that the caller receives.
    pub async fn wait_for_outcome(&self) -> RequestOutcome {
        self.outcome_ready.wait().await;
        let outcome = self.outcome.lock().expect("outcome lock poisoned");
        outcome.clone().expect("an outcome is set before its latch")
    }

    /// Requests permission to send a call now; returns its run identifier, or `None` if the call
    /// must not be sent.
    #[must_use]
    pub fn authorize_dispatch(
        &self,
        stage: u32,
        server: &ServerId,
        incarnation: u64,
    ) -> Option<Arc<str>> {
        let event = ClaimEvent::DispatchRequested {
            stage,
            server: server.clone(),
            incarnation,
            may_dispatch: true,
        };
        let now = self.instance.clock.now();
        let actions = self.machine().step(event, now);
        let run_id = actions.iter().find_map(|action| match action {
            ClaimAction::Dispatch { run_id, .. } => Some(run_id.clone()),
            _ => None,
        });
        self.apply(actions);
        run_id
    }

    /// Reports the result of a call. If the reply was lost, waits until the backend server reports
    /// whether the call ran, or until the outcome is decided without it.
    pub async fn record_result(&self, attempted: AttemptOutcome) -> AttemptOutcome {
        match &attempted {
            AttemptOutcome::Answered(_) => self.report_dispatch(DispatchResult::Answered),
            AttemptOutcome::NotRun { .. } => self.report_dispatch(DispatchResult::NotRun),
            AttemptOutcome::MayHaveRun { reason, .. } => {
                self.report_dispatch(DispatchResult::Lost(*reason));
                return self.wait_for_resolution(attempted).await;
            }
        }
        attempted
    }

    async fn wait_for_resolution(&self, attempted: AttemptOutcome) -> AttemptOutcome {
        let resolution = self.resolution_rx.recv();
        let outcome_ready = self.outcome_ready.wait();
        futures::pin_mut!(resolution, outcome_ready);
        match futures::future::select(resolution, outcome_ready).await {
            futures::future::Either::Left((Ok(Some(answer)), _)) => {
                self.record_event(&events::CLAIM_RESOLVED, "the call ran");
                AttemptOutcome::Answered(answer.as_bytes().into())
            }
            futures::future::Either::Left((Ok(None), _)) => {
                self.record_event(&events::CLAIM_RESOLVED, "the call did not run");
                let detail = "the backend server reported that the call did not run";
                AttemptOutcome::not_run(NotRunReason::NoServer, detail)
            }
            _ => attempted,
        }
    }

    fn report_dispatch(&self, result: DispatchResult) {
        self.step(ClaimEvent::Dispatched(result));
    }

    /// Reports the outcome of the stage runner to the machine.
    pub fn report_run(&self, outcome: &RequestOutcome) {
        let result = match outcome {
            RequestOutcome::Answered(body) => match std::str::from_utf8(body) {
                Ok(text) => RunResult::Answered(text.into()),
                Err(_) => RunResult::Failed(UnknownReason::AnswerInvalid),
            },
            RequestOutcome::NotRun { reason, .. } => RunResult::GaveUp(*reason),
            RequestOutcome::Unknown { reason, .. } => RunResult::Failed(*reason),
        };
        self.step(ClaimEvent::RunEnded(result));
    }

    fn apply(&self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Held => {
                    self.record_event(&events::CLAIMED, &*self.attempt);
                    self.confirmed.store(true, Ordering::Release);
                    self.held_or_decided.set();
                }
                ClaimAction::Resolved(answer) => {
                    let _ = self.resolution_tx.try_send(answer);
                }
                ClaimAction::Reply { outcome, answer } => self.reply(&outcome, answer.as_ref()),
                ClaimAction::Dispatch { .. } => {}
                other => {
                    let _ = self.actions.try_send(other);
                }
            }
        }
    }

    fn reply(&self, outcome: &Outcome, answer: Option<&Arc<str>>) {
        self.record_event(&events::CLAIM_TOLD, format!("{outcome:?}"));
        let finished = match outcome {
            Outcome::Answered => {
                let answer = answer.map_or(&b""[..], |answer| answer.as_bytes());
                RequestOutcome::Answered(answer.into())
            }
            Outcome::NotRun { reason } if self.confirmed.load(Ordering::Acquire) => {
                RequestOutcome::never_run(*reason, "decided by its claim")
            }
            Outcome::NotRun { reason } => RequestOutcome::not_run(*reason, "decided by its claim"),
            Outcome::Unknown { reason } => RequestOutcome::unknown(*reason, "decided by its claim"),
        };
        *self.outcome.lock().expect("outcome lock poisoned") = Some(finished);
        self.outcome_ready.set();
        self.held_or_decided.set();
    }

    /// Records an event of the request in the event log.
    pub fn record_event(&self, kind: &sardineshore_core::EventKind, text: impl Into<String>) {
        self.instance
            .event_log
            .record_request(&self.request, kind, text);
    }

    fn machine(&self) -> MutexGuard<'_, ClaimMachine> {
        self.machine.lock().expect("claim lock poisoned")
    }
}
