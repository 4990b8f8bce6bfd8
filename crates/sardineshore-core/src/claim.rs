//! At-most-once execution of non-idempotent requests.
//!
//! A [`ClaimMachine`] follows one such request on one instance. It inserts a claim row before the
//! first non-idempotent call, lets only the claimant dispatch, records the answer, and answers a
//! repeated request without a second run. It performs no I/O: [`ClaimMachine::step`] takes an
//! event and the time, and returns actions.
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
mod follow;
mod key;
mod message;
mod row;
mod run;
mod table;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

pub use batch::{Batch, MAX_BATCH, MemberResult};
use follow::Follow;
pub use key::{IdempotencyKey, MAX_RETENTION_WINDOW, Retention, fingerprint};
pub use message::{ClaimAction, ClaimEvent, DispatchResult, PeerReply, RunReport, RunResult};
pub use row::{ClaimRow, ClaimRun, ClaimServer, ClaimState, run_id};
use run::{Run, Target};
use table::TableCall;

use crate::clock::unix_ms;
use crate::{
    AttemptId, CustomerId, Fingerprint, InstanceId, NotRunReason, Outcome, RequestId, Revision,
    UnknownReason,
};

/// Settings of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// How long keys are remembered.
    pub retention: Retention,
    /// Longest wait for the claim's confirmation.
    pub claim_timeout: Duration,
    /// Longest time for which a release or a record is retried after the caller was told.
    pub write_timeout: Duration,
    /// First delay before a failed store call is repeated; doubles up to [`Self::max_retry_delay`].
    pub retry_delay: Duration,
    /// Longest delay before a failed store call is repeated.
    pub max_retry_delay: Duration,
    /// Interval at which a peer or backend server is asked again about a run in progress.
    pub poll_interval: Duration,
    /// Number of times that a silent backend server is asked what became of a run.
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

/// The request that a claim machine follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Customer.
    pub customer: CustomerId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Fingerprint of pipeline and body.
    pub fingerprint: Fingerprint,
    /// Identifier of the request on this instance.
    pub request: RequestId,
    /// This instance.
    pub instance: InstanceId,
    /// Attempt to claim; unique across the fleet.
    pub attempt: AttemptId,
    /// The first non-idempotent call.
    pub run: ClaimRun,
    /// Deadline of the request.
    pub deadline: Instant,
}

impl ClaimRequest {
    /// Creates a request with empty identifiers, to be completed by update syntax.
    #[must_use]
    pub fn new(customer: CustomerId, key: IdempotencyKey, deadline: Instant) -> Self {
        Self {
            customer,
            key,
            fingerprint: "".into(),
            request: "".into(),
            instance: "".into(),
            attempt: "".into(),
            run: ClaimRun::default(),
            deadline,
        }
    }
}

/// What a claim machine is doing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Writing the claim.
    Claiming,
    /// Another attempt holds the row.
    Following(Follow),
    /// The claim is confirmed; calls may be dispatched.
    Held,
    /// The caller was told `unknown`; a late answer is still recorded.
    Undecided,
    /// Writing that the attempt did not run.
    Releasing,
    /// Writing the answer.
    Recording(ClaimRow),
    /// Nothing is left to do.
    Closed,
}

/// State machine of one non-idempotent request on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimMachine {
    req: ClaimRequest,
    cfg: ClaimConfig,
    row_key: Arc<str>,
    claimed_at_ms: u64,
    phase: Phase,
    /// Revision that the next write replaces; 0: the row must not exist.
    base: Revision,
    /// Whether our row stands in the table or may yet land there.
    may_stand: bool,
    call: Option<TableCall>,
    /// Failed store calls in a row.
    failures: u8,
    /// When the present phase stops trying.
    give_up_at: Instant,
    retry_at: Option<Instant>,
    told: Option<Outcome>,
    answer: Option<Arc<str>>,
    /// Why nothing shall run, until the caller can be told so.
    gave_up: Option<NotRunReason>,
    run: Run,
}

impl ClaimMachine {
    /// Creates a machine; [`Self::start`] begins the claim.
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
            may_stand: false,
            call: None,
            failures: 0,
            give_up_at,
            retry_at: None,
            told: None,
            answer: None,
            gave_up: None,
            run: Run::default(),
        }
    }

    /// Checks the key's age and begins the claim.
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
        self.finish(now, out)
    }

    /// Takes one event and returns what to do.
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
                let target = Target {
                    stage,
                    server,
                    incarnation,
                };
                self.on_dispatch_wanted(target, may_dispatch, now, &mut out);
            }
            ClaimEvent::Dispatched(result) => self.on_dispatched(&result, now, &mut out),
            ClaimEvent::Status {
                server,
                incarnation,
                report,
            } => self.on_status(&server, incarnation, report, now, &mut out),
            ClaimEvent::PeerReplied(reply) => self.on_peer(reply, now, &mut out),
            ClaimEvent::RunEnded(end) => self.on_ended(end, now, &mut out),
            ClaimEvent::Tick => self.on_tick(now, &mut out),
        }
        self.finish(now, out)
    }

    /// What this instance tells a peer that asks about the attempt.
    #[must_use]
    pub fn peer_reply(&self) -> PeerReply {
        if let Some(answer) = &self.answer {
            let answer = answer.clone();
            return PeerReply::Answered { answer };
        }
        match self.phase {
            Phase::Claiming | Phase::Held => PeerReply::InFlight,
            Phase::Releasing | Phase::Closed if !self.run.may_have_run() => PeerReply::NeverRuns,
            _ => PeerReply::Unknown,
        }
    }

    /// Attempt that the machine claims with.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.req.attempt
    }

    /// What the caller was told, once it was.
    #[must_use]
    pub fn reported_outcome(&self) -> Option<&Outcome> {
        self.told.as_ref()
    }

    /// Whether the claim is confirmed and calls may be dispatched.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Whether nothing is left to do.
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
        if self.told.is_some() {
            return;
        }
        self.told = Some(outcome.clone());
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

    /// Gives up a claim that was never confirmed, and withdraws it where it may stand.
    fn give_up_claim(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.reply_not_run(NotRunReason::StoreUnavailable, out);
        if !self.may_stand && self.call.is_none() {
            self.close(out);
            return;
        }
        self.begin_release(now, out);
    }

    /// Withdraws a confirmed claim under which nothing ran. The caller is told after the write,
    /// because a repeat may have taken the claim over and run.
    fn abandon(&mut self, reason: NotRunReason, now: Instant, out: &mut Vec<ClaimAction>) {
        self.gave_up = Some(reason);
        self.begin_release(now, out);
    }

    fn begin_release(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        self.phase = Phase::Releasing;
        self.begin_background(now);
        self.write(out);
    }

    fn begin_background(&mut self, now: Instant) {
        self.failures = 0;
        self.retry_at = None;
        self.give_up_at = now + self.cfg.write_timeout;
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        match self.phase {
            Phase::Claiming if now >= self.give_up_at => {
                self.give_up_claim(now, out);
            }
            Phase::Following(_) if now >= self.req.deadline => self.stop_following(out),
            Phase::Following(_) => self.poll_again(now, out),
            Phase::Held => self.tick_run(now, out),
            Phase::Releasing | Phase::Recording(_) if now >= self.give_up_at => {
                self.reply_not_run(NotRunReason::StoreUnavailable, out);
                self.close(out);
            }
            _ => {}
        }
        self.retry_write(now, out);
    }

    /// Adds the time of the next tick.
    fn finish(&self, now: Instant, mut out: Vec<ClaimAction>) -> Vec<ClaimAction> {
        let limit = match &self.phase {
            Phase::Closed | Phase::Undecided => return out,
            Phase::Following(_) | Phase::Held => self.req.deadline,
            Phase::Claiming | Phase::Releasing | Phase::Recording(_) => self.give_up_at,
        };
        let next = [self.retry_at, self.run.ask_at(), self.follow_poll_at()]
            .into_iter()
            .flatten()
            .fold(limit, Instant::min);
        out.push(ClaimAction::WakeAt(next.max(now)));
        out
    }
}
