//! Carries out the I/O that a claim machine asks for.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use http_types::{Method, Request, Url};
use sardineshore_core::claim::{ClaimAction, ClaimEvent, PeerReply, RunReport};
use sardineshore_core::event::claim as events;
use sardineshore_core::{ServerId, StoreError, Txn};
use sardineshore_wire::backend::{LoadReport, RunStatus};

use super::Claim;
use crate::instance::Instance;

const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TICK: Duration = Duration::from_secs(1);

type Calls = FuturesUnordered<BoxFuture<'static, ClaimEvent>>;

/// Drives a claim until nothing is left to do.
pub async fn drive(instance: Arc<Instance>, claim: Arc<Claim>, actions: Receiver<ClaimAction>) {
    let _in_flight = instance.shutdown.track_request();
    let mut calls = Calls::new();
    let mut wake_at = instance.clock.now() + IDLE_TICK;
    let mut actions = actions.fuse();
    loop {
        let wait = wake_at.saturating_duration_since(instance.clock.now());
        let mut tick = async_std::task::sleep(wait).boxed().fuse();
        futures::select! {
            action = actions.select_next_some() => match action {
                ClaimAction::WakeAt(at) => wake_at = at,
                ClaimAction::Done => break,
                action => calls.extend(call(&instance, &claim, action)),
            },
            event = calls.select_next_some() => claim.step(event),
            () = tick => {
                wake_at = instance.clock.now() + IDLE_TICK;
                claim.step(ClaimEvent::Tick);
            }
        }
    }
    instance.claims.forget(claim.attempt());
}

/// The call that an action asks for.
fn call(
    instance: &Arc<Instance>,
    claim: &Arc<Claim>,
    action: ClaimAction,
) -> Option<BoxFuture<'static, ClaimEvent>> {
    let (instance, claim) = (instance.clone(), claim.clone());
    match action {
        ClaimAction::Commit(txn) => Some(commit(instance, claim, txn).boxed()),
        ClaimAction::ReadRow(key) => Some(read(instance, key).boxed()),
        ClaimAction::AskServer { server, run_id } => Some(status(instance, server, run_id).boxed()),
        ClaimAction::AskPeer {
            instance: asked,
            attempt,
        } => {
            claim.note(&events::CLAIM_FOLLOWED, format!("{attempt} of {asked}"));
            let ask = async move {
                if asked == instance.settings.name {
                    return ClaimEvent::PeerReplied(instance.claims.peer_reply(&attempt));
                }
                let reply = match instance.claims.ports.get() {
                    Some(ports) => ports.peers.ask(&asked, &attempt).await,
                    None => PeerReply::Unreachable,
                };
                ClaimEvent::PeerReplied(reply)
            };
            Some(ask.boxed())
        }
        _ => None,
    }
}

async fn commit(instance: Arc<Instance>, claim: Arc<Claim>, txn: Txn) -> ClaimEvent {
    let result = match instance.claims.ports.get() {
        Some(ports) => ports.table.commit(&txn).await,
        None => Err(StoreError::Unavailable),
    };
    if let Err(err) = &result {
        claim.note(&events::CLAIM_STORE_FAILED, err.to_string());
    }
    ClaimEvent::Committed(result)
}

async fn read(instance: Arc<Instance>, key: Arc<str>) -> ClaimEvent {
    let result = match instance.claims.ports.get() {
        Some(ports) => ports.table.read(&key).await,
        None => Err(StoreError::Unavailable),
    };
    ClaimEvent::RowRead(result)
}

/// Asks a backend server what became of a run, then which incarnation it is: if that is the one
/// expected, the same process gave the status.
async fn status(instance: Arc<Instance>, server: ServerId, run_id: Arc<str>) -> ClaimEvent {
    let deployment = instance.tables.deployment();
    let addr = deployment.servers.get(&server).map(|known| &known.addr);
    let mut report = RunReport::NoAnswer;
    let mut incarnation = 0;
    if let Some(addr) = addr {
        report = ask_status(&instance, addr, &run_id).await;
        incarnation = incarnation_at(&instance, addr).await;
        instance.incarnations.record(&server, incarnation);
    }
    ClaimEvent::Status {
        server,
        incarnation,
        report,
    }
}

async fn ask_status(instance: &Instance, addr: &str, run_id: &str) -> RunReport {
    let path = format!("/v1/requests/{run_id}?seal=true");
    match get(instance, addr, &path).await {
        Some(RunStatus::Ran { answer }) => RunReport::Ran(answer),
        Some(RunStatus::Running) => RunReport::Running,
        Some(RunStatus::Sealed) => RunReport::Sealed,
        Some(RunStatus::NotBegun) | None => RunReport::NoAnswer,
    }
}

async fn incarnation_at(instance: &Instance, addr: &str) -> u64 {
    let report: Option<LoadReport> = get(instance, addr, "/v1/load").await;
    report.map_or(0, |report| report.incarnation)
}

async fn get<T: serde::de::DeserializeOwned>(
    instance: &Instance,
    addr: &str,
    path: &str,
) -> Option<T> {
    let url = Url::parse(&format!("http://{addr}{path}")).ok()?;
    let req = Request::new(Method::Get, url);
    let reply = instance.client.send(addr, req, STATUS_TIMEOUT).await.ok()?;
    if reply.status != 200 {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
