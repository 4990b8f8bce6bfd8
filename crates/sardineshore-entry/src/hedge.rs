//! Hedging: a second attempt on another server if the first attempt of an idempotent stage is slow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, Future, select};
use sardineshore_core::event::routing as events;
use sardineshore_core::{SelectedServer, SelectionRequest, ServerId};

use crate::dispatch::{AttemptOutcome, StageCall, dispatch};
use crate::instance::Instance;

/// State of the attempts of one stage that a hedge needs.
#[derive(Debug)]
pub struct StageAttempts<'a> {
    /// Servers, in the order in which they were tried.
    pub tried: &'a mut Vec<ServerId>,
    /// Deadline of the stage.
    pub deadline: Instant,
    /// Hash of the prompt's prefix, for prefix caches; 0 if the stage has no prompt.
    pub prefix: u64,
}

/// Sends one attempt, and a second one on another server if the first is slow.
///
/// Returns the first answer and cancels the other attempt. A non-idempotent stage gets no second
/// attempt.
pub async fn dispatch_hedged(
    instance: &Arc<Instance>,
    call: &StageCall<'_>,
    choice: &SelectedServer,
    attempts: StageAttempts<'_>,
) -> AttemptOutcome {
    let mut first = Box::pin(dispatch(instance, call, choice));
    let Some(delay) = hedge_delay(instance, call, attempts.deadline) else {
        return first.await;
    };
    let timer = Box::pin(async_std::task::sleep(delay));
    if let Either::Left((attempted, _)) = select(&mut first, timer).await {
        return attempted;
    }
    let Some(other) = choose_hedge_server(instance, call, &attempts) else {
        return first.await;
    };
    attempts.tried.push(other.server.clone());
    let call = StageCall {
        is_extra: true,
        ..call.clone()
    };
    let second = Box::pin(dispatch(instance, &call, &other));
    combine_outcomes(first, second).await
}

fn hedge_delay(instance: &Instance, call: &StageCall<'_>, deadline: Instant) -> Option<Duration> {
    if !call.stage.idempotent || call.is_extra {
        return None;
    }
    let now = instance.clock.now();
    let objective = instance.tables.deployment().objective;
    let remaining = deadline.saturating_duration_since(now);
    let timing = instance.tables.timing();
    timing.hedge_delay(&call.stage.pool, objective, remaining, now)
}

/// Selects another server for the second attempt, if the retry budget allows one.
fn choose_hedge_server(
    instance: &Instance,
    call: &StageCall<'_>,
    attempts: &StageAttempts<'_>,
) -> Option<SelectedServer> {
    let now = instance.clock.now();
    let pool = &call.stage.pool;
    let ask = SelectionRequest {
        pool,
        request: &call.job.request,
        customer: &call.job.customer,
        prefix: attempts.prefix,
        idempotent: true,
        tried_servers: attempts.tried,
        origin: None,
        deadline: attempts.deadline,
    };
    let choice = instance.tables.router().select(&ask, now).ok()?;
    let other = !attempts.tried.contains(&choice.server);
    if !other || !instance.tables.retries().try_acquire_hedge(pool) {
        return None;
    }
    instance.metrics.policy.count_hedge(pool);
    let text = format!("stage {} to server {}", call.stage.name, choice.server);
    instance
        .event_log
        .record_request(&call.job.request, &events::HEDGE_SENT, text);
    Some(choice)
}

/// Returns the first answer. If neither attempt is answered, returns an outcome that may have run
/// in preference to one that did not run.
async fn combine_outcomes(
    first: impl Future<Output = AttemptOutcome> + Unpin,
    second: impl Future<Output = AttemptOutcome> + Unpin,
) -> AttemptOutcome {
    let (ended, other) = match select(first, second).await {
        Either::Left((ended, other)) => (ended, Either::Left(other)),
        Either::Right((ended, other)) => (ended, Either::Right(other)),
    };
    if matches!(ended, AttemptOutcome::Answered(_)) {
        return ended;
    }
    let other = other.await;
    match (&ended, &other) {
        (AttemptOutcome::MayHaveRun { .. }, AttemptOutcome::NotRun { .. }) => ended,
        _ => other,
    }
}
