//! Runs the stages of one request under its deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use sardineshore_core::claim::IdempotencyKey;
use sardineshore_core::event::routing as events;
use sardineshore_core::{
    AttemptResult, EndedAttempt, EventKind, NotRunReason, PoolId, RetryDecision, SelectedServer,
    SelectionError, SelectionRequest, ServerId, Stage, StageKind, UnknownReason,
};

use crate::claims::incarnations::learn;
use crate::claims::{Claim, Claims};
use crate::dispatch::{Attempted, Call};
use crate::hedge::{Attempts, dispatch_hedged};
use crate::instance::Instance;
use crate::job::{Finished, Job};
use crate::stream::{Sink, dispatch_streamed};

const SATURATED_WAIT_MAX: Duration = Duration::from_millis(50);

/// Runs a request to its end; tokens of a streamed answer go to `sink`.
pub async fn run(instance: &Arc<Instance>, job: &Job, sink: Option<Sink>) -> Finished {
    match job.key {
        Some(key) => Box::pin(run_claimed(instance, job, sink, key)).await,
        None => run_stages(instance, job, sink, None).await,
    }
}

/// Runs a non-idempotent request; its claim decides what the caller is told.
async fn run_claimed(
    instance: &Arc<Instance>,
    job: &Job,
    sink: Option<Sink>,
    key: IdempotencyKey,
) -> Finished {
    learn_incarnations(instance, job).await;
    let claim = Claims::begin(instance, job, key);
    let finished = {
        let stages = Box::pin(run_stages(instance, job, sink, Some(&claim)));
        let told = Box::pin(claim.told());
        match select(stages, told).await {
            Either::Left((finished, _)) | Either::Right((finished, _)) => finished,
        }
    };
    claim.ended(&finished);
    claim.told().await
}

/// Learns which incarnations the claim may name.
async fn learn_incarnations(instance: &Arc<Instance>, job: &Job) {
    let first = job.pipeline.stages.iter().find(|stage| !stage.idempotent);
    if let Some(stage) = first {
        learn(instance, &stage.pool).await;
    }
}

async fn run_stages(
    instance: &Arc<Instance>,
    job: &Job,
    sink: Option<Sink>,
    claim: Option<&Claim>,
) -> Finished {
    let mut run = Run {
        instance,
        job,
        claim,
        sink,
        document: job.body.clone(),
        not_run_denied: false,
    };
    for at in 0..job.pipeline.stages.len() {
        match run.stage(at).await {
            Ok(output) => run.document = output,
            Err(failure) => return run.failed(failure),
        }
    }
    Finished::Answered(run.document)
}

/// A request on its way through its stages.
struct Run<'a> {
    instance: &'a Arc<Instance>,
    job: &'a Job,
    /// Claim of a non-idempotent request.
    claim: Option<&'a Claim>,
    sink: Option<Sink>,
    document: Arc<[u8]>,
    /// Whether "not run" would be false, because something of the request may have run.
    not_run_denied: bool,
}

/// Why a stage gave no output.
enum Failure {
    /// Nothing was sent for this stage, or nothing that ran.
    NotRun(NotRunReason, String),
    /// An attempt may have run.
    MayHaveRun(UnknownReason, String),
}

/// Attempts of one stage so far.
struct Tried {
    servers: Vec<ServerId>,
    last: Option<Attempted>,
    /// When the stage must have answered.
    until: Instant,
}

impl Tried {
    fn new(until: Instant) -> Self {
        Self {
            servers: Vec::new(),
            last: None,
            until,
        }
    }
}

impl Run<'_> {
    /// Runs the stage at a position of the pipeline.
    async fn stage(&mut self, at: usize) -> Result<Arc<[u8]>, Failure> {
        let job = self.job;
        let stage = &job.pipeline.stages[at];
        if let Some(claim) = self.claim.filter(|_| !stage.idempotent)
            && !claim.held().await
        {
            return Err(Failure::no_server());
        }
        let began = self.instance.clock.now();
        let mut tried = Tried::new(self.due(at, began)?);
        self.instance
            .tables
            .retries()
            .record_first_send(&stage.pool);
        loop {
            let choice = match self.choose(stage, &tried).await {
                Ok(choice) => choice,
                Err(failure) => return Err(tried.last.take().map_or(failure, Failure::from)),
            };
            tried.servers.push(choice.server.clone());
            let attempted = self.attempt(at, &choice, &mut tried).await;
            self.note(stage, &attempted);
            if let Attempted::Answered(output) = attempted {
                let now = self.instance.clock.now();
                let mut pacing = self.instance.tables.pacing();
                pacing.answered(&stage.pool, now.duration_since(began), now);
                return Ok(output);
            }
            let result = attempted.result();
            tried.last = Some(attempted);
            if result == AttemptResult::Lost {
                self.instance.quarantine.looked_after(&choice.server).await;
            }
            if !self.again(stage, result, tried.servers.len()).await {
                return Err(tried
                    .last
                    .take()
                    .map_or_else(Failure::no_server, Failure::from));
            }
        }
    }

    /// Chooses a backend server, waiting while all are at their limit.
    async fn choose(&self, stage: &Stage, tried: &Tried) -> Result<SelectedServer, Failure> {
        let mut waited = false;
        loop {
            if self.instance.quarantine.refuses(self.instance, self.job) {
                return Err(Failure::quarantined());
            }
            let now = self.instance.clock.now();
            let suspect = self
                .instance
                .quarantine
                .must_wait(self.instance, self.job, &stage.pool);
            if suspect && now < tried.until {
                async_std::task::sleep(SATURATED_WAIT_MAX).await;
                continue;
            }
            let ask = SelectionRequest {
                pool: &stage.pool,
                request: &self.job.request,
                customer: &self.job.customer,
                prefix: self.prefix(stage),
                idempotent: stage.idempotent,
                tried_servers: &tried.servers,
                deadline: tried.until,
            };
            let chosen = self.instance.tables.router().select(&ask, now);
            match chosen {
                Ok(choice) => {
                    self.note_choice(stage, &choice);
                    return Ok(choice);
                }
                Err(SelectionError::NoServer) => {
                    self.event(&events::POOL_EMPTY, &stage.pool);
                    return Err(Failure::no_server());
                }
                Err(SelectionError::TooLate) => return Err(Failure::too_late()),
                Err(SelectionError::Saturated { .. }) if self.job.remaining(now).is_zero() => {
                    return Err(Failure::too_late());
                }
                Err(SelectionError::Saturated { retry_after }) => {
                    self.instance.metrics.policy.saturated(&stage.pool);
                    if !waited {
                        self.event(&events::POOL_SATURATED, &stage.pool);
                    }
                    waited = true;
                    let wait = retry_after
                        .min(SATURATED_WAIT_MAX)
                        .min(self.job.remaining(now));
                    async_std::task::sleep(wait).await;
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        at: usize,
        choice: &SelectedServer,
        tried: &mut Tried,
    ) -> Attempted {
        let stage = &self.job.pipeline.stages[at];
        let claim = self.claim.filter(|_| !stage.idempotent);
        let position = u32::try_from(at).unwrap_or(u32::MAX);
        let input = self.document.clone();
        let call = Call {
            job: self.job,
            stage,
            input,
            extra: tried.servers.len() > 1,
            claimed: claim.map(|claim| (claim, position)),
        };
        let attempts = Attempts {
            prefix: self.prefix(stage),
            until: tried.until,
            tried: &mut tried.servers,
        };
        let streams = stage.kind == StageKind::Generate && self.is_last(stage);
        let attempted = match &mut self.sink {
            Some(sink) if streams => dispatch_streamed(self.instance, &call, choice, sink).await,
            _ => dispatch_hedged(self.instance, &call, choice, attempts).await,
        };
        match claim {
            Some(claim) => claim.settle(attempted).await,
            None => attempted,
        }
    }

    fn note_choice(&self, stage: &Stage, choice: &SelectedServer) {
        let SelectedServer {
            server,
            predicted_latency,
            ..
        } = choice;
        let text = format!(
            "stage {} to {server}, predicted {} us",
            stage.name,
            predicted_latency.as_micros()
        );
        self.event(&events::SERVER_CHOSEN, &text);
    }

    /// When a stage must have answered: the deadline without what the later stages usually need.
    fn due(&self, at: usize, now: Instant) -> Result<Instant, Failure> {
        let stages = &self.job.pipeline.stages[at..];
        let pools: Vec<PoolId> = stages.iter().map(|stage| stage.pool.clone()).collect();
        let remaining = self.job.remaining(now);
        let split = self.instance.tables.pacing().split(remaining, &pools, now);
        split.map(|limit| now + limit).map_err(|_| {
            self.event(&events::DEADLINE_UNREACHABLE, &stages[0].name);
            Failure::too_late()
        })
    }

    /// Hash that prefix caches are looked up by; only stages that generate have them.
    fn prefix(&self, stage: &Stage) -> u64 {
        match stage.kind {
            StageKind::Generate => self.job.prefix,
            _ => 0,
        }
    }

    fn event(&self, kind: &EventKind, text: &str) {
        self.instance.journal.request(&self.job.request, kind, text);
    }

    fn is_last(&self, stage: &Stage) -> bool {
        self.job
            .pipeline
            .stages
            .last()
            .is_some_and(|last| last.name == stage.name)
    }

    /// Notes whether "not run" can still be said of the request.
    fn note(&mut self, stage: &Stage, attempted: &Attempted) {
        let ran = !matches!(attempted, Attempted::NotRun { .. });
        let counts = self.job.pipeline.is_idempotent() || !stage.idempotent;
        self.not_run_denied |= ran && counts;
    }

    /// Whether another attempt follows, after its pause.
    async fn again(&self, stage: &Stage, result: AttemptResult, attempts: usize) -> bool {
        let remaining = self.job.remaining(self.instance.clock.now());
        let ended = EndedAttempt {
            result,
            attempts,
            remaining,
            idempotent: stage.idempotent,
        };
        let decision = self.instance.tables.retries().decide(&stage.pool, ended);
        match decision {
            RetryDecision::Retry { delay } => {
                self.instance.metrics.policy.retry(&stage.pool);
                self.event(&events::ATTEMPT_RETRIED, &format!("{result:?}"));
                async_std::task::sleep(delay).await;
                true
            }
            RetryDecision::Stop(why) => {
                self.instance.metrics.policy.withheld(&stage.pool, why);
                self.event(&events::RETRY_WITHHELD, why.name());
                false
            }
        }
    }

    fn failed(&self, failure: Failure) -> Finished {
        match failure {
            Failure::NotRun(reason, detail) if !self.not_run_denied => {
                Finished::not_run(reason, detail)
            }
            Failure::NotRun(NotRunReason::DeadlineUnreachable, detail) => {
                Finished::unknown(UnknownReason::DeadlineExceeded, detail)
            }
            Failure::NotRun(_, detail) => Finished::unknown(UnknownReason::ServerFailed, detail),
            Failure::MayHaveRun(_, detail) if !self.not_run_denied => {
                Finished::not_run(NotRunReason::NoServer, detail)
            }
            Failure::MayHaveRun(reason, detail) => Finished::Unknown { reason, detail },
        }
    }
}

impl Failure {
    fn no_server() -> Self {
        Self::NotRun(
            NotRunReason::NoServer,
            "no backend server may receive work".into(),
        )
    }

    fn quarantined() -> Self {
        Self::NotRun(
            NotRunReason::Quarantined,
            "the request crashed backend servers".into(),
        )
    }

    fn too_late() -> Self {
        Self::NotRun(
            NotRunReason::DeadlineUnreachable,
            "the deadline can't be met".into(),
        )
    }
}

impl From<Attempted> for Failure {
    fn from(attempted: Attempted) -> Self {
        match attempted {
            Attempted::MayHaveRun { reason, detail, .. } => Self::MayHaveRun(reason, detail),
            Attempted::NotRun { reason, detail } => Self::NotRun(reason, detail),
            Attempted::Answered(_) => Self::no_server(),
        }
    }
}
