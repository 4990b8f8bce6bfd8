//! Sends one attempt of a stage to one backend server.
//!
//! [`start_attempt`] opens the connection and repeats all checks immediately before the send,
//! because the configuration, the claim or the deadline may have changed since the server was
//! selected.

pub mod attempt;
pub mod outcome;

use std::sync::Arc;
use std::time::Duration;

pub use attempt::{Attempt, load_figures};
pub use outcome::AttemptOutcome;
use sardineshore_core::quarantine::CallOutcome;
use sardineshore_core::{
    AttemptReport, AttemptResult, NotRunReason, SelectedServer, ServerId, Stage,
};
use sardineshore_wire::http::{ClientError, Conn, Reply, Reuse};

use crate::claims::Claim;
use crate::claims::incarnations::probe_incarnation;
use crate::instance::Instance;
use crate::job::Job;

/// Maximum time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One call of a stage, as sent to a backend server.
#[derive(Debug, Clone)]
pub struct StageCall<'a> {
    /// Request that the stage belongs to.
    pub job: &'a Job,
    /// Stage to run.
    pub stage: &'a Stage,
    /// Input of the stage: a JSON document.
    pub input: Arc<[u8]>,
    /// Whether this attempt is a retry or a hedge, so that an earlier one was sent.
    pub is_extra: bool,
    /// For a non-idempotent stage, the request's claim and the index of the stage in the pipeline.
    pub claim: Option<(&'a Claim, u32)>,
}

/// Opens a connection, runs the checks before the send and registers the attempt as in flight.
///
/// Fails with an outcome that did not run if the connection or a check fails.
pub async fn start_attempt<'a>(
    instance: &'a Arc<Instance>,
    call: &'a StageCall<'a>,
    choice: &'a SelectedServer,
) -> Result<(Attempt<'a>, Conn), AttemptOutcome> {
    let reuse = if call.stage.idempotent {
        Reuse::Idle
    } else {
        Reuse::Never
    };
    let timeout = call
        .job
        .remaining(instance.clock.now())
        .min(CONNECT_TIMEOUT);
    let checkout = instance.client.checkout(&choice.addr, reuse, timeout);
    let conn = match checkout.await {
        Ok(conn) => conn,
        Err(err) => {
            record_failed_connection(instance, &choice.server, &err);
            return Err(err.into());
        }
    };
    let incarnation = match call.claim {
        Some(_) => probe_before_call(instance, &conn, choice).await?,
        None => 0,
    };
    instance.incarnations.record(&choice.server, incarnation);
    check_before_send(instance, call, &choice.server)?;
    instance
        .quarantine
        .begin_call(instance, call.job, &choice.server)?;
    let run_id = claim_run_id(call, &choice.server, incarnation).inspect_err(|_| {
        let end = CallOutcome::Cancelled;
        instance
            .quarantine
            .end_call(instance, call.job, &choice.server, end);
    })?;
    Ok((Attempt::new(instance, call, choice, run_id), conn))
}

/// Sends one attempt and waits for its complete reply.
pub async fn dispatch(
    instance: &Arc<Instance>,
    call: &StageCall<'_>,
    choice: &SelectedServer,
) -> AttemptOutcome {
    let (attempt, conn) = match start_attempt(instance, call, choice).await {
        Ok(started) => started,
        Err(attempted) => return attempted,
    };
    let req = attempt.request(false, 0);
    let timeout = call.job.remaining(instance.clock.now());
    let belongs = |reply: &Reply| attempt.matches_reply(reply);
    match instance.client.exchange(conn, req, timeout, belongs).await {
        Ok(reply) => attempt.finish_with_reply(&reply),
        Err(err) => attempt.finish(err.into()),
    }
}

/// Incarnation of the process that a non-idempotent call is about to be sent to; 0 if its reply
/// names none. Fails if it doesn't reply in time: the call is not sent behind an unanswered request.
async fn probe_before_call(
    instance: &Instance,
    conn: &Conn,
    choice: &SelectedServer,
) -> Result<u64, AttemptOutcome> {
    let probed = probe_incarnation(instance, conn, &choice.addr).await;
    probed.map_err(|err| {
        let detail = format!("{} did not answer before the call: {err}", choice.server);
        AttemptOutcome::not_run(NotRunReason::NoServer, detail)
    })
}

/// Checks the deadline, the configuration and the server's state immediately before the send.
fn check_before_send(
    instance: &Instance,
    call: &StageCall<'_>,
    server: &ServerId,
) -> Result<(), AttemptOutcome> {
    let refused = |reason, detail| Err(AttemptOutcome::not_run(reason, detail));
    if call.job.remaining(instance.clock.now()).is_zero() {
        let detail = "the deadline passed before the send";
        return refused(NotRunReason::DeadlineUnreachable, detail);
    }
    if !instance.gate.may_dispatch() {
        let detail = "the configuration is not confirmed";
        return refused(NotRunReason::ConfigurationUnconfirmed, detail);
    }
    if !instance.tables.router().accepts_work(server) {
        return refused(NotRunReason::NoServer, "the backend server is leaving");
    }
    Ok(())
}

/// Run identifier of a non-idempotent call; `None` for an idempotent one. Fails if the claim does
/// not allow the call now.
fn claim_run_id(
    call: &StageCall<'_>,
    server: &ServerId,
    incarnation: u64,
) -> Result<Option<Arc<str>>, AttemptOutcome> {
    let Some((claim, stage)) = call.claim else {
        return Ok(None);
    };
    let run_id = claim.authorize_dispatch(stage, server, incarnation);
    let refused =
        || AttemptOutcome::not_run(NotRunReason::NoServer, "the claim does not allow the call");
    run_id.map(Some).ok_or_else(refused)
}

/// Reports a failed connection to the quarantine and to the router.
fn record_failed_connection(instance: &Instance, server: &ServerId, err: &ClientError) {
    let now = instance.clock.now();
    let feedback = AttemptReport {
        result: AttemptResult::Refused,
        ..AttemptReport::default()
    };
    instance
        .quarantine
        .record_no_connection(instance, server, err);
    let mut router = instance.tables.router();
    router.record_start(server, now);
    router.record_end(server, &feedback, now);
}
