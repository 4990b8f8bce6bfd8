//! A second attempt beside a slow one of an idempotent stage.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, Future, select};
use sardineshore_core::event::routing as events;
use sardineshore_core::{SelectedServer, SelectionRequest, ServerId};

use crate::dispatch::{Attempted, Call, dispatch};
use crate::instance::Instance;

/// Attempts of one stage: the servers they went to and when the stage is due.
#[derive(Debug)]
pub struct Attempts<'a> {
    /// Servers, in the order in which they were tried.
    pub tried: &'a mut Vec<ServerId>,
    /// When the stage must have answered.
    pub until: Instant,
    /// Hash of the prompt's prefix; 0 if the stage has none.
    pub prefix: u64,
}

/// Sends one attempt, and a second one on another server if the first is slow.
///
/// The first answer wins; the other attempt is cancelled. Stages that are non-idempotent get no
/// second attempt.
pub async fn dispatch_hedged(
    instance: &Arc<Instance>,
    call: &Call<'_>,
    choice: &SelectedServer,
    attempts: Attempts<'_>,
) -> Attempted {
    let mut first = Box::pin(dispatch(instance, call, choice));
    let Some(delay) = delay(instance, call, attempts.until) else {
        return first.await;
    };
    let timer = Box::pin(async_std::task::sleep(delay));
    if let Either::Left((attempted, _)) = select(&mut first, timer).await {
        return attempted;
    }
    let Some(other) = second_choice(instance, call, &attempts) else {
        return first.await;
    };
    attempts.tried.push(other.server.clone());
    let call = Call {
        extra: true,
        ..call.clone()
    };
    let second = Box::pin(dispatch(instance, &call, &other));
    first_answer(first, second).await
}

fn delay(instance: &Instance, call: &Call<'_>, until: Instant) -> Option<Duration> {
    if !call.stage.idempotent || call.extra {
        return None;
    }
    let now = instance.clock.now();
    let objective = instance.tables.deployment().objective;
    let remaining = until.saturating_duration_since(now);
    let pacing = instance.tables.pacing();
    pacing.hedge_delay(&call.stage.pool, objective, remaining, now)
}

/// Another server for the second attempt, if the budget allows one.
fn second_choice(
    instance: &Instance,
    call: &Call<'_>,
    attempts: &Attempts<'_>,
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
        deadline: attempts.until,
    };
    let choice = instance.tables.router().select(&ask, now).ok()?;
    let other = !attempts.tried.contains(&choice.server);
    if !other || !instance.tables.retries().try_acquire_hedge(pool) {
        return None;
    }
    instance.metrics.policy.hedge(pool);
    let text = format!("stage {} to {}", call.stage.name, choice.server);
    instance
        .journal
        .request(&call.job.request, &events::HEDGE_SENT, text);
    Some(choice)
}

/// The first answer; without one, the end that leaves more open.
async fn first_answer(
    first: impl Future<Output = Attempted> + Unpin,
    second: impl Future<Output = Attempted> + Unpin,
) -> Attempted {
    let (ended, other) = match select(first, second).await {
        Either::Left((ended, other)) => (ended, Either::Left(other)),
        Either::Right((ended, other)) => (ended, Either::Right(other)),
    };
    if matches!(ended, Attempted::Answered(_)) {
        return ended;
    }
    let other = other.await;
    match (&ended, &other) {
        (Attempted::MayHaveRun { .. }, Attempted::NotRun { .. }) => ended,
        _ => other,
    }
}
