//! Sends one attempt of a stage to one backend server, after the last checks.

pub mod attempt;
pub mod attempted;

use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::quarantine::CallOutcome;
use sardineshore_core::{
    AttemptReport, AttemptResult, NotRunReason, SelectedServer, ServerId, Stage,
};
use sardineshore_wire::http::{Conn, Reply, Reuse};

pub use attempt::{Attempt, figures};
pub use attempted::Attempted;

use crate::claims::Claim;
use crate::claims::incarnations::probe;
use crate::instance::Instance;
use crate::job::Job;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What is sent to a backend server.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Request.
    pub job: &'a Job,
    /// Stage.
    pub stage: &'a Stage,
    /// Input of the stage, a JSON document.
    pub input: Arc<[u8]>,
    /// Whether an earlier attempt of this stage was sent.
    pub extra: bool,
    /// Claim and index of a non-idempotent stage.
    pub claimed: Option<(&'a Claim, u32)>,
}

/// Opens a connection, makes the last checks and counts the attempt in flight.
pub async fn begin<'a>(
    instance: &'a Arc<Instance>,
    call: &'a Call<'a>,
    choice: &'a SelectedServer,
) -> Result<(Attempt<'a>, Conn), Attempted> {
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
            note_refused(instance, &choice.server);
            return Err(err.into());
        }
    };
    let incarnation = match call.claimed {
        Some(_) => probe(instance, &conn, &choice.addr).await,
        None => 0,
    };
    instance.incarnations.note(&choice.server, incarnation);
    last_check(instance, call, &choice.server)?;
    instance
        .quarantine
        .begin(instance, call.job, &choice.server)?;
    let run_id = claimed_run(call, &choice.server, incarnation).inspect_err(|_| {
        let end = CallOutcome::Cancelled;
        instance
            .quarantine
            .end(instance, call.job, &choice.server, end);
    })?;
    Ok((Attempt::new(instance, call, choice, run_id), conn))
}

/// Sends one attempt and waits for its whole answer.
pub async fn dispatch(
    instance: &Arc<Instance>,
    call: &Call<'_>,
    choice: &SelectedServer,
) -> Attempted {
    let (attempt, conn) = match begin(instance, call, choice).await {
        Ok(begun) => begun,
        Err(attempted) => return attempted,
    };
    let req = attempt.request(false, 0);
    let timeout = call.job.remaining(instance.clock.now());
    let matches = |reply: &Reply| attempt.names(reply);
    match instance.client.exchange(conn, req, timeout, matches).await {
        Ok(reply) => attempt.read(&reply),
        Err(err) => attempt.end(err.into()),
    }
}

/// The checks that must hold at the moment of the send.
fn last_check(instance: &Instance, call: &Call<'_>, server: &ServerId) -> Result<(), Attempted> {
    let refused = |reason, detail| Err(Attempted::not_run(reason, detail));
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

/// Run identifier of a non-idempotent call, if its claim allows it at this moment.
fn claimed_run(
    call: &Call<'_>,
    server: &ServerId,
    incarnation: u64,
) -> Result<Option<Arc<str>>, Attempted> {
    let Some((claim, stage)) = call.claimed else {
        return Ok(None);
    };
    let run_id = claim.dispatch(stage, server, incarnation);
    let refused =
        || Attempted::not_run(NotRunReason::NoServer, "the claim does not allow the call");
    run_id.map(Some).ok_or_else(refused)
}

/// Tells the router of a connection that could not be made.
fn note_refused(instance: &Instance, server: &ServerId) {
    let now = instance.clock.now();
    let feedback = AttemptReport {
        result: AttemptResult::Refused,
        ..AttemptReport::default()
    };
    instance.quarantine.refused(instance, server);
    let mut router = instance.tables.router();
    router.record_start(server, now);
    router.record_end(server, &feedback, now);
}
