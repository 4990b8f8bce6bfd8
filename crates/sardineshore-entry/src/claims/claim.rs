//! One claim, shared by the stage runner and the driver.

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

/// What became of a lost call: its answer, or `None` if it did not run.
type Resolution = Option<Arc<str>>;

/// A condition that becomes true once.
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

/// One claim.
#[derive(Debug)]
pub struct Claim {
    instance: Arc<Instance>,
    request: RequestId,
    attempt: AttemptId,
    machine: Mutex<ClaimMachine>,
    actions: Sender<ClaimAction>,
    held: Latch,
    /// Whether the row was this attempt's, so that no earlier send has run or can run.
    confirmed: AtomicBool,
    told: Latch,
    finished: Mutex<Option<RequestOutcome>>,
    resolution_tx: Sender<Resolution>,
    resolution_rx: Receiver<Resolution>,
}

impl Claim {
    /// Wraps a machine that has not been started; I/O actions go to `actions`.
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
            held: Latch::default(),
            confirmed: AtomicBool::default(),
            told: Latch::default(),
            finished: Mutex::default(),
            resolution_tx,
            resolution_rx,
        }
    }

    /// Begins the claim.
    pub fn start(&self) {
        let clock = &self.instance.clock;
        let actions = self.machine().start(clock.now(), clock.wall_time());
        self.take(actions);
    }

    /// Identifier of the attempt to claim.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Gives the machine an event.
    pub fn step(&self, event: ClaimEvent) {
        let now = self.instance.clock.now();
        let actions = self.machine().step(event, now);
        self.take(actions);
    }

    /// What a peer that asks is told.
    #[must_use]
    pub fn peer_reply(&self) -> PeerReply {
        self.machine().peer_reply()
    }

    /// Waits until calls may be dispatched; false if the caller was told an outcome instead.
    pub async fn held(&self) -> bool {
        self.held.wait().await;
        self.machine().is_held()
    }

    /// Waits until the caller can be told the outcome.
    pub async fn told(&self) -> RequestOutcome {
        self.told.wait().await;
        let finished = self.finished.lock().expect("outcome lock poisoned");
        finished
            .clone()
            .expect("an outcome is set before its latch")
    }

    /// Asks to send a call at this moment; returns its run identifier, or `None` if it must not
    /// be sent.
    #[must_use]
    pub fn dispatch(&self, stage: u32, server: &ServerId, incarnation: u64) -> Option<Arc<str>> {
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
        self.take(actions);
        run_id
    }

    /// Reports the result of a call; a lost one is resolved by its backend server if it can be.
    pub async fn settle(&self, attempted: AttemptOutcome) -> AttemptOutcome {
        match &attempted {
            AttemptOutcome::Answered(_) => self.dispatched(DispatchResult::Answered),
            AttemptOutcome::NotRun { .. } => self.dispatched(DispatchResult::NotRun),
            AttemptOutcome::MayHaveRun { reason, .. } => {
                self.dispatched(DispatchResult::Lost(*reason));
                return self.resolve(attempted).await;
            }
        }
        attempted
    }

    async fn resolve(&self, attempted: AttemptOutcome) -> AttemptOutcome {
        let resolution = self.resolution_rx.recv();
        let told = self.told.wait();
        futures::pin_mut!(resolution, told);
        match futures::future::select(resolution, told).await {
            futures::future::Either::Left((Ok(Some(answer)), _)) => {
                self.note(&events::CLAIM_RESOLVED, "it ran");
                AttemptOutcome::Answered(answer.as_bytes().into())
            }
            futures::future::Either::Left((Ok(None), _)) => {
                self.note(&events::CLAIM_RESOLVED, "it did not run");
                let detail = "the backend server told that it did not run";
                AttemptOutcome::not_run(NotRunReason::NoServer, detail)
            }
            _ => attempted,
        }
    }

    fn dispatched(&self, result: DispatchResult) {
        self.step(ClaimEvent::Dispatched(result));
    }

    /// Reports how the stage runner ended.
    pub fn ended(&self, finished: &RequestOutcome) {
        let end = match finished {
            RequestOutcome::Answered(body) => match std::str::from_utf8(body) {
                Ok(text) => RunResult::Answered(text.into()),
                Err(_) => RunResult::Failed(UnknownReason::AnswerInvalid),
            },
            RequestOutcome::NotRun { reason, .. } => RunResult::GaveUp(*reason),
            RequestOutcome::Unknown { reason, .. } => RunResult::Failed(*reason),
        };
        self.step(ClaimEvent::RunEnded(end));
    }

    fn take(&self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Held => {
                    self.note(&events::CLAIMED, &*self.attempt);
                    self.confirmed.store(true, Ordering::Release);
                    self.held.set();
                }
                ClaimAction::Resolved(answer) => {
                    let _ = self.resolution_tx.try_send(answer);
                }
                ClaimAction::Reply { outcome, answer } => self.tell(&outcome, answer.as_ref()),
                ClaimAction::Dispatch { .. } => {}
                other => {
                    let _ = self.actions.try_send(other);
                }
            }
        }
    }

    fn tell(&self, outcome: &Outcome, answer: Option<&Arc<str>>) {
        self.note(&events::CLAIM_TOLD, format!("{outcome:?}"));
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
        *self.finished.lock().expect("outcome lock poisoned") = Some(finished);
        self.told.set();
        self.held.set();
    }

    /// Notes an event of the request.
    pub fn note(&self, kind: &sardineshore_core::EventKind, text: impl Into<String>) {
        self.instance
            .event_log
            .record_request(&self.request, kind, text);
    }

    fn machine(&self) -> MutexGuard<'_, ClaimMachine> {
        self.machine.lock().expect("claim lock poisoned")
    }
}
