//! Runs the stages of one request in order, within the request's deadline.
//!
//! For each stage the runner selects a backend server, sends an attempt, and retries within the
//! retry budget. A non-idempotent request also has a [`Claim`], which decides its outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use sardineshore_core::claim::IdempotencyKey;
use sardineshore_core::event::routing as events;
use sardineshore_core::{
    AttemptResult, EndedAttempt, EventKind, NotRunReason, PoolId, RetryDecision, SelectedServer,
    SelectionError, SelectionRequest, ServerId, Stage, StageKind, UnknownReason,
};

use crate::claims::incarnations::probe_unknown;
use crate::claims::{Claim, Claims};
use crate::dispatch::{AttemptOutcome, StageCall};
use crate::hedge::{StageAttempts, dispatch_hedged};
use crate::instance::Instance;
use crate::job::{Job, RequestOutcome};
use crate::stream::{TokenSink, dispatch_streamed};

/// Maximum wait before a server is selected again while the pool is saturated, or while a suspect
/// request waits for servers to recover.
const MAX_SATURATED_WAIT: Duration = Duration::from_millis(50);

/// Why a request is given up shortly before the process ends.
pub const STOPPING: &str = "the instance ends";
/// Longest wait for the outcome of a claim then.
const FINAL_OUTCOME_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of a request that is given up shortly before the process ends, and may have run.
#[must_use]
pub fn given_up() -> RequestOutcome {
    RequestOutcome::unknown(UnknownReason::ConnectionLost, STOPPING)
}

/// Runs a request until it has an outcome; tokens of a streamed answer are sent to `sink`.
pub async fn run(instance: &Arc<Instance>, job: &Job, sink: Option<TokenSink>) -> RequestOutcome {
    match job.key {
        Some(key) => Box::pin(run_claimed(instance, job, sink, key)).await,
        None => run_stages(instance, job, sink, None).await,
    }
}

/// Runs a non-idempotent request; its claim decides the outcome for the caller.
async fn run_claimed(
    instance: &Arc<Instance>,
    job: &Job,
    sink: Option<TokenSink>,
    key: IdempotencyKey,
) -> RequestOutcome {
    probe_claim_servers(instance, job).await;
    let claim = Claims::begin(instance, job, key);
    let finished = {
        let stages = Box::pin(run_stages(instance, job, sink, Some(&claim)));
        let outcome = Box::pin(claim.wait_for_outcome());
        let process_ends = Box::pin(instance.shutdown.wait_for_final_replies());
        match select(select(stages, outcome), process_ends).await {
            Either::Left((Either::Left((finished, _)) | Either::Right((finished, _)), _)) => {
                Some(finished)
            }
            Either::Right(_) => None,
        }
    };
    let Some(finished) = finished else {
        claim.report_run(&given_up());
        let outcome = claim.wait_for_outcome();
        let told = async_std::future::timeout(FINAL_OUTCOME_TIMEOUT, outcome).await;
        return told.unwrap_or_else(|_| given_up());
    };
    claim.report_run(&finished);
    claim.wait_for_outcome().await
}

/// Learns the incarnations of the servers that the claim may list.
async fn probe_claim_servers(instance: &Arc<Instance>, job: &Job) {
    let first = job.pipeline.stages.iter().find(|stage| !stage.idempotent);
    if let Some(stage) = first {
        probe_unknown(instance, &stage.pool).await;
    }
}

async fn run_stages(
    instance: &Arc<Instance>,
    job: &Job,
    sink: Option<TokenSink>,
    claim: Option<&Claim>,
) -> RequestOutcome {
    let mut run = StageRunner {
        instance,
        job,
        claim,
        sink,
        document: job.body.clone(),
        not_run_ruled_out: false,
    };
    for index in 0..job.pipeline.stages.len() {
        match run.stage(index).await {
            Ok(output) => run.document = output,
            Err(failure) => return run.outcome_of(failure),
        }
    }
    RequestOutcome::Answered(run.document)
}

/// Runs the stages of one request.
struct StageRunner<'a> {
    instance: &'a Arc<Instance>,
    job: &'a Job,
    /// Claim of a non-idempotent request.
    claim: Option<&'a Claim>,
    sink: Option<TokenSink>,
    document: Arc<[u8]>,
    /// Whether the outcome "not run" is excluded, because part of the request may have run.
    not_run_ruled_out: bool,
}

/// Reason why a stage has no output.
enum StageError {
    /// No attempt of this stage ran.
    NotRun(NotRunReason, String),
    /// An attempt may have run.
    MayHaveRun(UnknownReason, String),
}

/// Attempts of one stage so far.
struct AttemptHistory {
    servers: Vec<ServerId>,
    last: Option<AttemptOutcome>,
    /// Deadline of the stage.
    deadline: Instant,
}

impl AttemptHistory {
    fn new(deadline: Instant) -> Self {
        Self {
            servers: Vec::new(),
            last: None,
            deadline,
        }
    }
}

impl StageRunner<'_> {
    /// Runs the stage at an index of the pipeline.
    async fn stage(&mut self, index: usize) -> Result<Arc<[u8]>, StageError> {
        let job = self.job;
        let stage = &job.pipeline.stages[index];
        if let Some(claim) = self.claim.filter(|_| !stage.idempotent)
            && !claim.wait_until_held().await
        {
            return Err(StageError::no_server());
        }
        let started_at = self.instance.clock.now();
        let mut history = AttemptHistory::new(self.stage_deadline(index, started_at)?);
        self.instance
            .tables
            .retries()
            .record_first_send(&stage.pool);
        loop {
            let choice = match self.choose(stage, &history).await {
                Ok(choice) => choice,
                Err(failure) => return Err(history.last.take().map_or(failure, StageError::from)),
            };
            history.servers.push(choice.server.clone());
            let attempted = self.attempt(index, &choice, &mut history).await;
            self.track_execution(stage, &attempted);
            if let AttemptOutcome::Answered(output) = attempted {
                let now = self.instance.clock.now();
                let mut timing = self.instance.tables.timing();
                timing.record_latency(&stage.pool, now.duration_since(started_at), now);
                return Ok(output);
            }
            let result = attempted.result();
            history.last = Some(attempted);
            if result == AttemptResult::Lost {
                self.instance
                    .quarantine
                    .wait_for_crash_check(&choice.server)
                    .await;
            }
            if !self
                .wait_for_retry(stage, result, history.servers.len())
                .await
            {
                return Err(history
                    .last
                    .take()
                    .map_or_else(StageError::no_server, StageError::from));
            }
        }
    }

    /// Selects a backend server; waits while all servers of the pool are at their limit.
    async fn choose(
        &self,
        stage: &Stage,
        history: &AttemptHistory,
    ) -> Result<SelectedServer, StageError> {
        let mut waited = false;
        loop {
            if self
                .instance
                .quarantine
                .is_quarantined(self.instance, self.job)
            {
                return Err(StageError::quarantined());
            }
            let now = self.instance.clock.now();
            let suspect = self
                .instance
                .quarantine
                .must_wait(self.instance, self.job, &stage.pool);
            if suspect && now < history.deadline {
                async_std::task::sleep(MAX_SATURATED_WAIT).await;
                continue;
            }
            let ask = SelectionRequest {
                pool: &stage.pool,
                request: &self.job.request,
                customer: &self.job.customer,
                prefix: self.prefix(stage),
                idempotent: stage.idempotent,
                tried_servers: &history.servers,
                origin: self.sink.as_ref().and_then(TokenSink::origin),
                deadline: history.deadline,
            };
            let chosen = self.instance.tables.router().select(&ask, now);
            match chosen {
                Ok(choice) => {
                    self.record_choice(stage, &choice);
                    return Ok(choice);
                }
                Err(SelectionError::NoServer) => {
                    self.record_event(&events::POOL_EMPTY, &stage.pool);
                    return Err(StageError::no_server());
                }
                Err(SelectionError::NoSameVersion) => {
                    self.instance
                        .metrics
                        .policy
                        .count_not_continued(&stage.pool, &events::STREAM_NOT_CONTINUED);
                    self.record_event(&events::STREAM_NOT_CONTINUED, &stage.pool);
                    return Err(StageError::no_server());
                }
                Err(SelectionError::TooLate) => return Err(StageError::deadline_unreachable()),
                Err(SelectionError::Saturated { .. }) if self.job.remaining(now).is_zero() => {
                    return Err(StageError::deadline_unreachable());
                }
                Err(SelectionError::Saturated { retry_after }) => {
                    self.instance
                        .metrics
                        .policy
                        .count_saturated_wait(&stage.pool);
                    if !waited {
                        self.record_event(&events::POOL_SATURATED, &stage.pool);
                    }
                    waited = true;
                    let wait = retry_after
                        .min(MAX_SATURATED_WAIT)
                        .min(self.job.remaining(now));
                    async_std::task::sleep(wait).await;
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        index: usize,
        choice: &SelectedServer,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        let stage = &self.job.pipeline.stages[index];
        let claim = self.claim.filter(|_| !stage.idempotent);
        let position = u32::try_from(index).unwrap_or(u32::MAX);
        let input = self.document.clone();
        let call = StageCall {
            job: self.job,
            stage,
            input,
            is_extra: history.servers.len() > 1,
            claim: claim.map(|claim| (claim, position)),
        };
        let attempts = StageAttempts {
            prefix: self.prefix(stage),
            deadline: history.deadline,
            tried: &mut history.servers,
        };
        let streams = stage.kind == StageKind::Generate && self.is_last(stage);
        let attempted = match &mut self.sink {
            Some(sink) if streams => dispatch_streamed(self.instance, &call, choice, sink).await,
            _ => dispatch_hedged(self.instance, &call, choice, attempts).await,
        };
        match claim {
            Some(claim) => claim.record_result(attempted).await,
            None => attempted,
        }
    }

    fn record_choice(&self, stage: &Stage, choice: &SelectedServer) {
        let SelectedServer {
            server,
            predicted_latency,
            ..
        } = choice;
        let text = format!(
            "stage {} to server {server}, predicted latency {} us",
            stage.name,
            predicted_latency.as_micros()
        );
        self.record_event(&events::SERVER_CHOSEN, &text);
    }

    /// Deadline of a stage: the request's deadline less the expected time of the later stages.
    fn stage_deadline(&self, index: usize, now: Instant) -> Result<Instant, StageError> {
        let stages = &self.job.pipeline.stages[index..];
        let pools: Vec<PoolId> = stages.iter().map(|stage| stage.pool.clone()).collect();
        let remaining = self.job.remaining(now);
        let split = self
            .instance
            .tables
            .timing()
            .stage_time_limit(remaining, &pools, now);
        split.map(|limit| now + limit).map_err(|_| {
            self.record_event(&events::DEADLINE_UNREACHABLE, &stages[0].name);
            StageError::deadline_unreachable()
        })
    }

    /// Key for lookups in prefix caches; 0 for stages that do not generate, as they have no such
    /// cache.
    fn prefix(&self, stage: &Stage) -> u64 {
        match stage.kind {
            StageKind::Generate => self.job.prefix,
            _ => 0,
        }
    }

    fn record_event(&self, kind: &EventKind, text: &str) {
        self.instance
            .event_log
            .record_request(&self.job.request, kind, text);
    }

    fn is_last(&self, stage: &Stage) -> bool {
        self.job
            .pipeline
            .stages
            .last()
            .is_some_and(|last| last.name == stage.name)
    }

    /// Updates whether the outcome "not run" is still possible for the request.
    fn track_execution(&mut self, stage: &Stage, attempted: &AttemptOutcome) {
        let ran = !matches!(attempted, AttemptOutcome::NotRun { .. });
        let counts = self.job.pipeline.is_idempotent() || !stage.idempotent;
        self.not_run_ruled_out |= ran && counts;
    }

    /// Waits for the retry delay and returns true; returns false if the retry policy allows no
    /// retry.
    async fn wait_for_retry(&self, stage: &Stage, result: AttemptResult, attempts: usize) -> bool {
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
                self.instance.metrics.policy.count_retry(&stage.pool);
                self.record_event(&events::ATTEMPT_RETRIED, &format!("{result:?}"));
                async_std::task::sleep(delay).await;
                true
            }
            RetryDecision::Stop(why) => {
                self.instance
                    .metrics
                    .policy
                    .count_withheld_retry(&stage.pool, why);
                self.record_event(&events::RETRY_WITHHELD, why.name());
                false
            }
        }
    }

    fn outcome_of(&self, failure: StageError) -> RequestOutcome {
        match failure {
            StageError::NotRun(reason, detail) if !self.not_run_ruled_out => {
                RequestOutcome::not_run(reason, detail)
            }
            StageError::NotRun(NotRunReason::DeadlineUnreachable, detail) => {
                RequestOutcome::unknown(UnknownReason::DeadlineExceeded, detail)
            }
            StageError::NotRun(_, detail) => {
                RequestOutcome::unknown(UnknownReason::ServerFailed, detail)
            }
            StageError::MayHaveRun(_, detail) if !self.not_run_ruled_out => {
                RequestOutcome::not_run(NotRunReason::NoServer, detail)
            }
            StageError::MayHaveRun(reason, detail) => RequestOutcome::Unknown { reason, detail },
        }
    }
}

impl StageError {
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

    fn deadline_unreachable() -> Self {
        Self::NotRun(
            NotRunReason::DeadlineUnreachable,
            "the deadline can't be met".into(),
        )
    }
}

impl From<AttemptOutcome> for StageError {
    fn from(attempted: AttemptOutcome) -> Self {
        match attempted {
            AttemptOutcome::MayHaveRun { reason, detail, .. } => Self::MayHaveRun(reason, detail),
            AttemptOutcome::NotRun { reason, detail } => Self::NotRun(reason, detail),
            AttemptOutcome::Answered(_) => Self::no_server(),
        }
    }
}
