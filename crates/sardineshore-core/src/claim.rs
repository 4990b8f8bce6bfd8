//! At-most-once execution of non-idempotent requests.
//!
//! A request with non-idempotent stages carries an idempotency key. Each instance that receives
//! the request drives one [`ClaimMachine`]. The machine inserts a claim row for the key into the
//! table before the first non-idempotent call. Only the attempt whose row was written may send
//! that call. The machine then records the answer in the row, so that a repeated request is
//! answered without running again. It performs no I/O: [`ClaimMachine::step`] takes an event and
//! the time, and returns the actions to perform.
//!
//! ```
//! use std::time::{Duration, Instant, UNIX_EPOCH};
//! use sardineshore_core::claim::{ClaimAction, ClaimConfig, ClaimEvent, ClaimMachine};
//! use sardineshore_core::claim::{ClaimRequest, IdempotencyKey};
//! use sardineshore_core::CommitOutcome;
//!
//! let now = Instant::now();
//! let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001").unwrap();
//! let wall = UNIX_EPOCH + Duration::from_millis(key.created_ms());
//! let req = ClaimRequest::new("studio".into(), key, now + Duration::from_secs(6));
//! let mut claim = ClaimMachine::new(req, ClaimConfig::default(), now);
//! let actions = claim.start(now, wall);
//! assert!(matches!(actions[0], ClaimAction::Commit(_)));
//! let event = ClaimEvent::Committed(Ok(CommitOutcome::Applied { revision: 7 }));
//! assert!(claim.step(event, now).contains(&ClaimAction::Held));
//! ```

mod batch;
mod calls;
mod follow;
mod key;
mod message;
mod row;
mod table;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

pub use batch::{MAX_BATCH_TXNS, MemberResult, TxnBatch};
use calls::{CallState, CallTarget};
use follow::Follow;
pub use key::{IdempotencyKey, MAX_RETENTION_WINDOW, Retention, fingerprint};
pub use message::{ClaimAction, ClaimEvent, DispatchResult, PeerReply, RunReport, RunResult};
pub use row::{ClaimRow, ClaimServer, ClaimState, ClaimedCall, run_id};
use table::TableCall;

use crate::clock::unix_ms;
use crate::{
    AttemptId, CustomerId, Fingerprint, InstanceId, NotRunReason, Outcome, RequestId, Revision,
    UnknownReason,
};

/// Timeouts and retry settings of a [`ClaimMachine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// How old a key may be, and how long its row is kept.
    pub retention: Retention,
    /// Longest wait until the write of the claim row is confirmed; the request's deadline limits
    /// it too.
    pub claim_timeout: Duration,
    /// Longest time for which the write of a release or an answer is retried.
    pub write_timeout: Duration,
    /// Delay before the first retry of a failed store call. It doubles with each failure, up to
    /// [`Self::max_retry_delay`].
    pub retry_delay: Duration,
    /// Longest delay before a failed store call is retried.
    pub max_retry_delay: Duration,
    /// Interval between status queries to a peer or backend server about a run in progress.
    pub poll_interval: Duration,
    /// Status queries sent to a backend server that gives no usable answer, for one lost call.
    pub max_status_queries: u8,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            retention: Retention::default(),
            claim_timeout: Duration::from_secs(3),
            write_timeout: Duration::from_secs(120),
            retry_delay: Duration::from_millis(40),
            max_retry_delay: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
            max_status_queries: 3,
        }
    }
}

/// The request that a [`ClaimMachine`] claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Customer who sent the request; keys of different customers are independent.
    pub customer: CustomerId,
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// Fingerprint of the pipeline and the body. A repeat with another fingerprint is refused.
    pub fingerprint: Fingerprint,
    /// Identifier that this instance assigned to the request.
    pub request: RequestId,
    /// This instance.
    pub instance: InstanceId,
    /// Identifier of this attempt to claim the key; unique across all instances.
    pub attempt: AttemptId,
    /// First non-idempotent call, and the backend servers that it may be sent to.
    pub run: ClaimedCall,
    /// Deadline of the request; no call is dispatched after it.
    pub deadline: Instant,
}

impl ClaimRequest {
    /// Creates a request with empty identifiers, to be filled in with struct update syntax.
    #[must_use]
    pub fn new(customer: CustomerId, key: IdempotencyKey, deadline: Instant) -> Self {
        Self {
            customer,
            key,
            fingerprint: "".into(),
            request: "".into(),
            instance: "".into(),
            attempt: "".into(),
            run: ClaimedCall::default(),
            deadline,
        }
    }
}

/// Phase of a [`ClaimMachine`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Writing the claim row.
    Claiming,
    /// Another attempt holds the row; waiting for its outcome.
    Following(Follow),
    /// The claim is confirmed; calls may be dispatched.
    Held,
    /// The caller was sent the outcome `unknown`; an answer that comes later is still recorded.
    OutcomeUnknown,
    /// Writing that the attempt did not run.
    Releasing,
    /// Writing the answer into this row.
    Recording(ClaimRow),
    /// The machine has ended.
    Closed,
}

/// State machine that claims one non-idempotent request on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimMachine {
    req: ClaimRequest,
    cfg: ClaimConfig,
    row_key: Arc<str>,
    claimed_at_ms: u64,
    phase: Phase,
    /// Revision that the next write replaces; 0 if the row must not exist.
    base: Revision,
    /// Whether the row of this attempt is in the table, or an unconfirmed write may still put it
    /// there.
    row_may_exist: bool,
    /// Store call whose result is awaited.
    pending_call: Option<TableCall>,
    /// Consecutive failed store calls.
    failures: u8,
    /// When the current phase stops retrying its store calls.
    give_up_at: Instant,
    retry_at: Option<Instant>,
    /// Outcome sent to the caller.
    reported: Option<Outcome>,
    answer: Option<Arc<str>>,
    /// Why the request will not run, until that outcome is sent to the caller.
    not_run_reason: Option<NotRunReason>,
    calls: CallState,
}

impl ClaimMachine {
    /// Creates a machine; [`Self::start`] writes the claim.
    #[must_use]
    pub fn new(req: ClaimRequest, cfg: ClaimConfig, now: Instant) -> Self {
        let row_key = cfg.retention.row_key(&req.customer, req.key);
        let give_up_at = req.deadline.min(now + cfg.claim_timeout);
        Self {
            req,
            cfg,
            row_key,
            claimed_at_ms: 0,
            phase: Phase::Claiming,
            base: 0,
            row_may_exist: false,
            pending_call: None,
            failures: 0,
            give_up_at,
            retry_at: None,
            reported: None,
            answer: None,
            not_run_reason: None,
            calls: CallState::default(),
        }
    }

    /// Refuses a key that is outside of the retention window, or else begins to write the claim.
    /// `wall` is the wall-clock time.
    #[must_use]
    pub fn start(&mut self, now: Instant, wall: SystemTime) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        self.claimed_at_ms = unix_ms(wall);
        match self.cfg.retention.check(self.req.key, wall) {
            Ok(()) => self.write(&mut out),
            Err(reason) => {
                self.reply_not_run(reason, &mut out);
                self.close(&mut out);
            }
        }
        self.with_wake_at(now, out)
    }

    /// Handles one event and returns the actions to perform, in order.
    #[must_use]
    pub fn step(&mut self, event: ClaimEvent, now: Instant) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        match event {
            ClaimEvent::Committed(result) => self.on_committed(result, now, &mut out),
            ClaimEvent::RowRead(result) => self.on_row_read(result, now, &mut out),
            ClaimEvent::DispatchRequested {
                stage,
                server,
                incarnation,
                may_dispatch,
            } => {
                let target = CallTarget {
                    stage,
                    server,
                    incarnation,
                };
                self.on_dispatch_requested(target, may_dispatch, now, &mut out);
            }
            ClaimEvent::Dispatched(result) => self.on_dispatched(&result, now, &mut out),
            ClaimEvent::Status {
                server,
                incarnation,
                report,
            } => self.on_status(&server, incarnation, report, now, &mut out),
            ClaimEvent::PeerReplied(reply) => self.on_peer_replied(reply, now, &mut out),
            ClaimEvent::RunEnded(end) => self.on_run_ended(end, now, &mut out),
            ClaimEvent::Tick => self.on_tick(now, &mut out),
        }
        self.with_wake_at(now, out)
    }

    /// Answer to a peer that asks about this attempt.
    #[must_use]
    pub fn peer_reply(&self) -> PeerReply {
        if let Some(answer) = &self.answer {
            let answer = answer.clone();
            return PeerReply::Answered { answer };
        }
        match self.phase {
            Phase::Claiming | Phase::Held => PeerReply::InFlight,
            Phase::Releasing | Phase::Closed if !self.calls.may_have_run() => PeerReply::NeverRuns,
            _ => PeerReply::Unknown,
        }
    }

    /// Identifier of the attempt that this machine makes.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.req.attempt
    }

    /// Outcome that was sent to the caller, if any was.
    #[must_use]
    pub fn reported_outcome(&self) -> Option<&Outcome> {
        self.reported.as_ref()
    }

    /// Whether the claim is confirmed and calls may be dispatched.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Whether the machine has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Closed
    }

    fn own_row(&self, state: ClaimState) -> ClaimRow {
        ClaimRow {
            attempt: self.req.attempt.clone(),
            request: self.req.request.clone(),
            instance: self.req.instance.clone(),
            fingerprint: self.req.fingerprint.clone(),
            claimed_at_ms: self.claimed_at_ms,
            run: self.req.run.clone(),
            state,
        }
    }

    fn reply(&mut self, outcome: Outcome, answer: Option<Arc<str>>, out: &mut Vec<ClaimAction>) {
        if self.reported.is_some() {
            return;
        }
        self.reported = Some(outcome.clone());
        out.push(ClaimAction::Reply { outcome, answer });
    }

    fn reply_unknown(&mut self, reason: UnknownReason, out: &mut Vec<ClaimAction>) {
        self.reply(Outcome::Unknown { reason }, None, out);
    }

    fn close(&mut self, out: &mut Vec<ClaimAction>) {
        self.phase = Phase::Closed;
        self.retry_at = None;
        out.push(ClaimAction::Done);
    }

    fn reply_not_run(&mut self, reason: NotRunReason, out: &mut Vec<ClaimAction>) {
        self.reply(Outcome::NotRun { reason }, None, out);
    }

    /// Ends a claim that was never confirmed, and releases its row if the row may exist.
    fn withdraw_claim(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.reply_not_run(NotRunReason::StoreUnavailable, out);
        if !self.row_may_exist && self.pending_call.is_none() {
            self.close(out);
            return;
        }
        self.begin_release(now, out);
    }

    /// Releases a confirmed claim under which nothing ran. The caller gets the outcome only after
    /// the write, because a repeated request may have taken over the claim and run.
    fn release_claim(&mut self, reason: NotRunReason, now: Instant, out: &mut Vec<ClaimAction>) {
        self.not_run_reason = Some(reason);
        self.begin_release(now, out);
    }

    fn begin_release(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.phase = Phase::Releasing;
        self.begin_background_write(now);
        self.write(out);
    }

    /// Resets the retries for a write that may outlast the request.
    fn begin_background_write(&mut self, now: Instant) {
        self.failures = 0;
        self.retry_at = None;
        self.give_up_at = now + self.cfg.write_timeout;
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        match self.phase {
            Phase::Claiming if now >= self.give_up_at => {
                self.withdraw_claim(now, out);
            }
            Phase::Following(_) if now >= self.req.deadline => self.stop_following(out),
            Phase::Following(_) => self.poll_run(now, out),
            Phase::Held => self.tick_run(now, out),
            Phase::Releasing | Phase::Recording(_) if now >= self.give_up_at => {
                self.reply_not_run(NotRunReason::StoreUnavailable, out);
                self.close(out);
            }
            _ => {}
        }
        self.retry_write(now, out);
    }

    /// Adds the action that asks for the next tick, except in a phase that waits for no time.
    fn with_wake_at(&self, now: Instant, mut out: Vec<ClaimAction>) -> Vec<ClaimAction> {
        let limit = match &self.phase {
            Phase::Closed | Phase::OutcomeUnknown => return out,
            Phase::Following(_) | Phase::Held => self.req.deadline,
            Phase::Claiming | Phase::Releasing | Phase::Recording(_) => self.give_up_at,
        };
        let next = [self.retry_at, self.calls.query_at(), self.follow_poll_at()]
            .into_iter()
            .flatten()
            .fold(limit, Instant::min);
        out.push(ClaimAction::WakeAt(next.max(now)));
        out
    }
}
