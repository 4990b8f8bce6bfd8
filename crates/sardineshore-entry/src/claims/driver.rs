//! Performs the I/O that a claim machine requests: table access and queries to servers and peers.

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
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);

type PendingIo = FuturesUnordered<BoxFuture<'static, ClaimEvent>>;

/// Runs a claim until its machine has finished, then removes it from the active claims.
pub async fn run(instance: Arc<Instance>, claim: Arc<Claim>, actions: Receiver<ClaimAction>) {
    let _in_flight = instance.shutdown.track_request();
    let mut pending_io = PendingIo::new();
    let mut wake_at = instance.clock.now() + IDLE_TICK_INTERVAL;
    let mut actions = actions.fuse();
    loop {
        let wait = wake_at.saturating_duration_since(instance.clock.now());
        let mut tick = async_std::task::sleep(wait).boxed().fuse();
        futures::select! {
            action = actions.select_next_some() => match action {
                ClaimAction::WakeAt(at) => wake_at = at,
                ClaimAction::Done => break,
                action => pending_io.extend(start_io(&instance, &claim, action)),
            },
            event = pending_io.select_next_some() => claim.step(event),
            () = tick => {
                wake_at = instance.clock.now() + IDLE_TICK_INTERVAL;
                claim.step(ClaimEvent::Tick);
            }
        }
    }
    instance.claims.remove(claim.attempt());
}

/// Starts the I/O for an action; `None` if the action needs none.
fn start_io(
    instance: &Arc<Instance>,
    claim: &Arc<Claim>,
    action: ClaimAction,
) -> Option<BoxFuture<'static, ClaimEvent>> {
    let (instance, claim) = (instance.clone(), claim.clone());
    match action {
        ClaimAction::Commit(txn) => Some(commit(instance, claim, txn).boxed()),
        ClaimAction::ReadRow(key) => Some(read(instance, key).boxed()),
        ClaimAction::AskServer { server, run_id } => {
            Some(query_run_status(instance, server, run_id).boxed())
        }
        ClaimAction::AskPeer {
            instance: asked,
            attempt,
        } => {
            claim.record_event(
                &events::CLAIM_FOLLOWED,
                format!("asking instance {asked} about its attempt {attempt}"),
            );
            let ask = async move {
                if asked == instance.settings.name {
                    return ClaimEvent::PeerReplied(instance.claims.peer_reply(&attempt));
                }
                let reply = match instance.claims.dependencies.get() {
                    Some(dependencies) => dependencies.peers.ask(&asked, &attempt).await,
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
    let result = match instance.claims.dependencies.get() {
        Some(dependencies) => dependencies.table.commit(&txn).await,
        None => Err(StoreError::Unavailable),
    };
    if let Err(err) = &result {
        claim.record_event(&events::CLAIM_STORE_FAILED, err.to_string());
    }
    ClaimEvent::Committed(result)
}

async fn read(instance: Arc<Instance>, key: Arc<str>) -> ClaimEvent {
    let result = match instance.claims.dependencies.get() {
        Some(dependencies) => dependencies.table.read(&key).await,
        None => Err(StoreError::Unavailable),
    };
    ClaimEvent::RowRead(result)
}

/// Asks a backend server for the status of a run, then for its incarnation. If the incarnation is
/// the expected one, the status came from the process that received the call.
async fn query_run_status(
    instance: Arc<Instance>,
    server: ServerId,
    run_id: Arc<str>,
) -> ClaimEvent {
    let deployment = instance.tables.deployment();
    let addr = deployment.servers.get(&server).map(|known| &known.addr);
    let mut report = RunReport::NoAnswer;
    let mut incarnation = 0;
    if let Some(addr) = addr {
        report = fetch_run_status(&instance, addr, &run_id).await;
        incarnation = fetch_incarnation(&instance, addr).await;
        instance.incarnations.record(&server, incarnation);
    }
    ClaimEvent::Status {
        server,
        incarnation,
        report,
    }
}

async fn fetch_run_status(instance: &Instance, addr: &str, run_id: &str) -> RunReport {
    let path = format!("/v1/requests/{run_id}?seal=true");
    match get_json(instance, addr, &path).await {
        Some(RunStatus::Ran { answer }) => RunReport::Ran(answer),
        Some(RunStatus::Running) => RunReport::Running,
        Some(RunStatus::Sealed) => RunReport::Sealed,
        Some(RunStatus::NotBegun) | None => RunReport::NoAnswer,
    }
}

async fn fetch_incarnation(instance: &Instance, addr: &str) -> u64 {
    let report: Option<LoadReport> = get_json(instance, addr, "/v1/load").await;
    report.map_or(0, |report| report.incarnation)
}

async fn get_json<T: serde::de::DeserializeOwned>(
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
